"""Detection of times in which the process was paused or its event loop was blocked."""

import asyncio
import time
from collections.abc import Callable
from typing import Final, NamedTuple

TICK_SECONDS: Final = 0.5
STALL_SECONDS: Final = 1.0
"""Shortest stall that is reported: half of the shortest time between two lease
renewals."""


class Stall(NamedTuple):
    """Describe a time in which the event loop did not run."""

    seconds: float
    processor_seconds: float
    """CPU time of this process during the stall: near zero if the process was
    paused."""


async def watch_stalls(
    on_stall: Callable[[Stall], None],
    clock: Callable[[], float],
    processor_clock: Callable[[], float] = time.process_time,
) -> None:
    """Report each stall right after it, until cancelled."""
    while True:
        due, used = clock() + TICK_SECONDS, processor_clock()
        await asyncio.sleep(TICK_SECONDS)
        late = clock() - due
        if late >= STALL_SECONDS:
            on_stall(Stall(round(late, 3), round(processor_clock() - used, 3)))
