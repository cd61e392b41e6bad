"""Bound the bytes of requests and answers that wait for slow hosts and callers."""

import asyncio
from collections import deque
from typing import Final

from eliot import log_message

FREE_BYTES: Final = 65_536
"""Size up to which a body never waits for room: most bodies are smaller, and slow
readers of large ones must not hold them up."""
MEMORY_SHARE: Final = 0.2
"""Share of the machine's memory for bodies. Each may be copied once on its way."""
MIN_LIMIT: Final = 16 * 1024 * 1024
"""Lower bound of the limit: the largest answer must fit."""


class Hold:
    """Count the bytes that are held for one caller's request."""

    def __init__(self) -> None:
        self.bytes = 0
        self.request = ""


class Buffers:
    """Give room to bodies in order, within one limit for all callers."""

    def __init__(self, memory_mb: float) -> None:
        self._limit = max(MIN_LIMIT, int(memory_mb * 1e6 * MEMORY_SHARE))
        self._used = 0
        self._named: dict[str, Hold] = {}
        self._waiting: deque[tuple[int, Hold, asyncio.Future[None]]] = deque()

    @property
    def used(self) -> int:
        """Return the bytes held at present."""
        return self._used

    @property
    def is_short(self) -> bool:
        """Return whether bodies wait for room."""
        return bool(self._waiting)

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
        self._used -= hold.bytes
        hold.bytes = 0
        self._wake()

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
        size = min(size, self._limit)
        if size <= FREE_BYTES or (not self._waiting and self._fits(size)):
            self._take(hold, size)
            return
        log_message("buffers:short", used=self._used, waiting=len(self._waiting) + 1)
        room = asyncio.get_running_loop().create_future()
        entry = size, hold, room
        self._waiting.append(entry)
        try:
            await room
        except asyncio.CancelledError:
            if entry in self._waiting:
                self._waiting.remove(entry)
            self._wake()
            raise

    def _fits(self, size: int) -> bool:
        return self._used + size <= self._limit

    def _take(self, hold: Hold, size: int) -> None:
        hold.bytes += size
        self._used += size

    def _wake(self) -> None:
        while self._waiting and self._fits(self._waiting[0][0]):
            size, hold, room = self._waiting.popleft()
            if not room.done():
                self._take(hold, size)
                room.set_result(None)
