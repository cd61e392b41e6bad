"""Bound the bytes of requests and answers that wait for slow hosts and callers."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from eliot import log_message

from radishtally.inbound.const import (
    FREE_BYTES,
    LARGE_SHARE,
    MIN_LARGE_BYTES,
    SMALL_SHARE,
)


class Hold:
    """Count the bytes that are held for one caller's request."""

    def __init__(self) -> None:
        self.bytes = 0
        self.request = ""


class _Waiting(NamedTuple):
    """Describe a body that waits for room."""

    size: int
    hold: Hold
    room: asyncio.Future[None]


class _Queue:
    """Give room to bodies in order, up to a limit on the bytes of all bodies."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._waiting: deque[_Waiting] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, size: int, hold: Hold) -> _Waiting:
        """Let a body wait."""
        waiting = _Waiting(size, hold, asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        return waiting

    def discard(self, waiting: _Waiting) -> None:
        """Let a body wait no longer, if it does."""
        with suppress(ValueError):
            self._waiting.remove(waiting)

    def pop_fitting(self, used: int) -> _Waiting | None:
        """Remove and return the next body if there is room for it."""
        while self._waiting and used + self._waiting[0].size <= self.limit:
            waiting = self._waiting.popleft()
            if not waiting.room.done():
                return waiting
        return None


class Buffers:
    """Give room to bodies in order, within limits for all callers.

    Small bodies count as well, but wait only once they have taken the room of their own
    besides.
    """

    def __init__(self, memory_mb: float) -> None:
        large = max(MIN_LARGE_BYTES, int(memory_mb * 1e6 * LARGE_SHARE))
        self._large = _Queue(large)
        self._small = _Queue(large + int(memory_mb * 1e6 * SMALL_SHARE))
        self._used = 0
        self._named: dict[str, Hold] = {}
        self.on_short: Callable[[], None] = lambda: None
        """Called before a body waits; may free the room of others."""

    @property
    def used(self) -> int:
        """Return the bytes held at present."""
        return self._used

    @property
    def is_short(self) -> bool:
        """Return whether bodies wait for room."""
        return bool(self._large or self._small)

    def open(self) -> Hold:
        """Begin to count what is held for a request."""
        return Hold()

    def name(self, hold: Hold, request: str) -> None:
        """Let the answer to a request count for its hold."""
        hold.request = request
        self._named[request] = hold

    def close(self, hold: Hold) -> None:
        """Free what is held for a request."""
        self._named.pop(hold.request, None)
        self.release(hold, hold.bytes)

    async def reserve_answer(self, request: str, size: int) -> None:
        """Wait for room for an answer; one without a caller counts for nobody."""
        hold = self._named.get(request)
        if hold is not None:
            await self.reserve(hold, size)

    def release_answer(self, request: str, size: int) -> None:
        """Give back room for an answer that was not needed."""
        hold = self._named.get(request)
        if hold is not None:
            self.release(hold, size)

    def release(self, hold: Hold, size: int) -> None:
        """Give back room for a body that was not needed."""
        size = min(size, hold.bytes)
        self._used -= size
        hold.bytes -= size
        self._wake()

    async def reserve(self, hold: Hold, size: int) -> None:
        """Wait for room for a body; one above the limit gets all the room there is."""
        queue = self._small if size <= FREE_BYTES else self._large
        size = min(size, queue.limit)
        if not queue and self._used + size <= queue.limit:
            self._take(hold, size)
            return
        log_message("buffers:short", used=self._used, waiting=len(queue) + 1)
        waiting = queue.add(size, hold)
        self.on_short()
        try:
            await waiting.room
        except asyncio.CancelledError:
            queue.discard(waiting)
            self._wake()
            raise

    def _take(self, hold: Hold, size: int) -> None:
        hold.bytes += size
        self._used += size

    def _wake(self) -> None:
        for queue in (self._small, self._large):
            while (waiting := queue.pop_fitting(self._used)) is not None:
                self._take(waiting.hold, waiting.size)
                waiting.room.set_result(None)
