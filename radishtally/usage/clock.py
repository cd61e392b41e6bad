"""Time of day that a jump of the machine's clock does not move."""

import time
from collections import deque
from collections.abc import Callable
from statistics import median

from radishtally.runtime import read_boot_clock
from radishtally.usage.const import CLOCK_SAMPLES

SAMPLE_SECONDS = 1.0


class SteadyClock:
    """Read the time of day by a steady clock and the median offset between the two."""

    def __init__(
        self,
        wall: Callable[[], float] = time.time,
        steady: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._wall = wall
        self._steady = steady
        self._offsets: deque[float] = deque(maxlen=CLOCK_SAMPLES)
        self._sampled_at = float("-inf")
        self._offset = 0.0

    def read(self) -> float:
        """Return Unix seconds."""
        now = self._steady()
        if now >= self._sampled_at + SAMPLE_SECONDS:
            self._sampled_at = now
            self._offsets.append(self._wall() - now)
            self._offset = median(self._offsets)
        return now + self._offset
