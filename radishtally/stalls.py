"""Notice that this process was not run, or kept its loop busy, for a while."""

import asyncio
import time
from collections.abc import Callable
from typing import Final, NamedTuple

TICK_SECONDS: Final = 0.5
STALL_SECONDS: Final = 1.0
"""Shortest stall that is told: half of the shortest time between two renewals."""


class Stall(NamedTuple):
    """Describe a time in which the loop did not run."""

    seconds: float
    processor_seconds: float
    """Processor time of this process meanwhile: near none if it was not run."""


async def watch_stalls(
    on_stall: Callable[[Stall], None],
    clock: Callable[[], float],
    processor_clock: Callable[[], float] = time.process_time,
) -> None:
    """Report each stall right after it, for good."""
    while True:
        due, used = clock() + TICK_SECONDS, processor_clock()
        await asyncio.sleep(TICK_SECONDS)
        late = clock() - due
        if late >= STALL_SECONDS:
            on_stall(Stall(round(late, 3), round(processor_clock() - used, 3)))
