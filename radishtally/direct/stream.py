"""Split a stream of server-sent events into complete events."""

import re
from itertools import pairwise
from typing import Final, NamedTuple

from radishtally.direct.answer_checks import AnswerFault

EVENT_BOUNDARY: Final = re.compile(rb"\r?\n\r?\n")
EVENT_ID: Final = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
MAX_ID_DIGITS: Final = 15  # every such integer is exact as a float


class EventBatch(NamedTuple):
    """Hold consecutive complete events."""

    data: bytes
    first: int
    """Id of the first event that has one, or 0."""
    last: int
    """Id of the last event that has one, or 0."""


def continues_stream(first: int, done: bytes) -> bool:
    """Return whether an attempt that starts at event id `first` continues `done`.

    Ids increase. If all ids of the stream so far are consecutive, they number its
    events, and a larger step means that events are missing.
    """
    ids = [int(text) for text in EVENT_ID.findall(done)]
    if not ids or first <= ids[-1]:
        return False
    ids_are_consecutive = all(after == before + 1 for before, after in pairwise(ids))
    return first == ids[-1] + 1 or not ids_are_consecutive


class EventSplitter:
    """Buffer an event until it is complete.

    A host may fail in the middle of an event. If the partial event were passed on, the
    next host's event would be appended to it and the caller could parse neither.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.fault: AnswerFault | None = None
        """Why nothing behind the events returned so far can be used."""

    @property
    def rest(self) -> bytes:
        """Data of an event that is not complete yet."""
        return self._rest

    def feed(self, data: bytes) -> EventBatch | None:
        """Add received data and return the valid events that it completes, or None."""
        data = self._rest + data
        end = max((match.end() for match in EVENT_BOUNDARY.finditer(data)), default=0)
        self._rest = data[end:]
        complete = self._cut_invalid(data[:end])
        if not complete:
            return None
        ids = EVENT_ID.findall(complete)
        first, last = (int(ids[0]), int(ids[-1])) if ids else (0, 0)
        return EventBatch(complete, first, last)

    def _cut_invalid(self, events: bytes) -> bytes:
        """Return the events before the first one whose id is out of range."""
        for match in EVENT_ID.finditer(events):
            if len(match[1]) > MAX_ID_DIGITS:
                self.fault = AnswerFault.EVENT_ID
                before = EVENT_BOUNDARY.finditer(events, 0, match.start())
                return events[: max((found.end() for found in before), default=0)]
        return events
