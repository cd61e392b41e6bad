"""Cut a stream of server-sent events into whole events."""

import re
from itertools import pairwise
from typing import Final, NamedTuple

BOUNDARY: Final = re.compile(rb"\r?\n\r?\n")
ID: Final = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


class EventBatch(NamedTuple):
    """Hold whole events in a row."""

    data: bytes
    first: int
    """Id of the first of them that has one, else 0."""
    last: int
    """Id of the last of them that has one, else 0."""


def continues_stream(first: int, done: bytes) -> bool:
    """Tell whether a run that begins with an event's id goes on behind other events.

    Ids grow. Those of a stream that have grown one by one so far number its events, so
    that a greater step leaves some out.
    """
    ids = [int(found) for found in ID.findall(done)]
    if not ids or first <= ids[-1]:
        return False
    is_counting = all(after == before + 1 for before, after in pairwise(ids))
    return first == ids[-1] + 1 or not is_counting


class EventSplitter:
    """Hold back an event that has not come whole.

    A host that breaks off may do so within an event. Passed on, its beginning would
    stand before the next host's event, and the caller would read neither.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Give what has come of an event that is not whole."""
        return self._rest

    def feed(self, data: bytes) -> EventBatch | None:
        """Take what has come; give the events that are whole now, if there are any."""
        data = self._rest + data
        end = max((found.end() for found in BOUNDARY.finditer(data)), default=0)
        self._rest = data[end:]
        if not end:
            return None
        whole = data[:end]
        ids = ID.findall(whole)
        first, last = (int(ids[0]), int(ids[-1])) if ids else (0, 0)
        return EventBatch(whole, first, last)
