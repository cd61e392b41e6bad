"""Seconds that calls take at the hosts of an upstream."""

from typing import Final

from radishtally.admission.split import WorkClass

INITIAL_SECONDS: Final = 0.1
"""Assumed until the first calls are answered."""
SMOOTHING: Final = 0.05
"""Weight of the newest answer: the mean covers some tens of them."""
MAX_CLASSES: Final = 1_024


class CallDurations:
    """Average the seconds of calls, for all and by class."""

    def __init__(self) -> None:
        self.mean = INITIAL_SECONDS
        self._by_class: dict[WorkClass, float] = {}

    def record(self, work: WorkClass, seconds: float) -> None:
        """Record how long a call took that was answered."""
        self.mean += SMOOTHING * (seconds - self.mean)
        known = self._by_class.pop(work, self.mean)
        if len(self._by_class) >= MAX_CLASSES:
            del self._by_class[next(iter(self._by_class))]
        self._by_class[work] = known + SMOOTHING * (seconds - known)

    def find(self, work: WorkClass) -> float:
        """Return the average seconds of a class."""
        return self._by_class.get(work, self.mean)
