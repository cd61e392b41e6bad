"""Split a stream of server-sent events into complete events."""

import re
from itertools import pairwise
from typing import Final, NamedTuple

from radishtally.direct.answer_checks import AnswerFault

EVENT_BOUNDARY: Final = re.compile(rb"\r?\n\r?\n")
EVENT_ID: Final = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
MAX_EVENT_BYTES: Final = 1024 * 1024
BOUNDARY_BYTES: Final = 4
"""Bytes of the longest boundary."""
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
        self._rest = bytearray()
        self.fault: AnswerFault | None = None
        """Why nothing behind the events returned so far can be used."""

    @property
    def rest(self) -> bytes:
        """Data of an event that is not complete yet."""
        return bytes(self._rest)

    def feed(self, data: bytes) -> EventBatch | None:
        """Add received data and return the valid events that it completes, or None."""
        searched = max(0, len(self._rest) + 1 - BOUNDARY_BYTES)
        self._rest += data
        complete = self._pop_complete(searched)
        if len(self._rest) > MAX_EVENT_BYTES:
            self.fault = AnswerFault.EVENT_BYTES
        ids = EVENT_ID.findall(complete)
        if any(len(text) > MAX_ID_DIGITS for text in ids):
            self.fault = AnswerFault.EVENT_ID
            complete = _cut_invalid(complete)
            ids = EVENT_ID.findall(complete)
        if not complete:
            return None
        first, last = (int(ids[0]), int(ids[-1])) if ids else (0, 0)
        return EventBatch(complete, first, last)

    def _pop_complete(self, searched: int) -> bytes:
        """Remove and return the complete events; no boundary begins before `searched`.

        An event may arrive in many pieces, and is not searched again for each of them.
        """
        # A match would keep the buffer from being resized.
        ends = [found.end() for found in EVENT_BOUNDARY.finditer(self._rest, searched)]
        end = max(ends, default=0)
        complete = bytes(self._rest[:end])
        del self._rest[:end]
        return complete


def _cut_invalid(events: bytes) -> bytes:
    """Return the events before the first one whose id is out of range."""
    invalid = next(
        match.start()
        for match in EVENT_ID.finditer(events)
        if len(match[1]) > MAX_ID_DIGITS
    )
    before = EVENT_BOUNDARY.finditer(events, 0, invalid)
    return events[: max((found.end() for found in before), default=0)]
