"""Split a stream of server-sent events into complete events."""

import re
from itertools import pairwise
from typing import Final, NamedTuple

EVENT_BOUNDARY: Final = re.compile(rb"\r?\n\r?\n")
EVENT_ID: Final = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


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

    @property
    def rest(self) -> bytes:
        """Data of an event that is not complete yet."""
        return self._rest

    def feed(self, data: bytes) -> EventBatch | None:
        """Add received data and return the events that it completes, or None."""
        data = self._rest + data
        end = max((match.end() for match in EVENT_BOUNDARY.finditer(data)), default=0)
        self._rest = data[end:]
        if not end:
            return None
        complete = data[:end]
        ids = EVENT_ID.findall(complete)
        first, last = (int(ids[0]), int(ids[-1])) if ids else (0, 0)
        return EventBatch(complete, first, last)
