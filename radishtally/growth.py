"""Room for a body whose length is not known while it is read."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

FIRST_BYTES: Final = 65_536
GROWTH_FACTOR: Final = 4


class GrowingRoom:
    """Reserve room in growing steps, up to the largest body that is accepted.

    Bodies that wait for more room keep what they have, and could wait for each other
    for ever: so each step has a time limit.
    """

    def __init__(
        self,
        reserve: Callable[[int], Awaitable[None]],
        release: Callable[[int], None],
        max_bytes: int,
        step_seconds: float,
    ) -> None:
        self._reserve = reserve
        self._release = release
        self._max_bytes = max_bytes
        self._step_seconds = step_seconds
        self._reserved = 0

    async def fit(self, size: int) -> None:
        """Wait until there is room for so many bytes; raise TimeoutError if none is."""
        while size > self._reserved < self._max_bytes:
            target = max(FIRST_BYTES, GROWTH_FACTOR * self._reserved)
            more = min(target, self._max_bytes) - self._reserved
            async with asyncio.timeout(self._step_seconds):
                await self._reserve(more)
            self._reserved += more

    def shrink(self, size: int) -> None:
        """Give back what a body of so many bytes does not need."""
        unused = max(0, self._reserved - size)
        self._reserved -= unused
        self._release(unused)
