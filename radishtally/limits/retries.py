"""Bounds on retries."""

from random import Random
from typing import Final

RESERVE_SECONDS: Final = 10.0
"""Seconds of the floor that may gather unused."""
RESERVE_RETRIES: Final = 100.0
"""Retries earned by requests that may gather unused."""
FIRST_BACKOFF_SECONDS: Final = 0.02
MAX_BACKOFF_SECONDS: Final = 2.0
MAX_DOUBLINGS: Final = 16


class RetryBudget:
    """Allow retries as a share of the requests that come in.

    When everything fails, each request would be sent again and again, and the load
    grows by the number of tries just when there is least room. A share keeps the whole
    under (1 + ratio) times the requests; the floor lets a quiet entry retry at all.
    """

    def __init__(self, ratio: float, floor: float = 1.0) -> None:
        self.ratio = ratio
        """Retries that each request allows."""
        self.floor = floor
        """Retries a second that are allowed whatever comes in."""
        self._earned = 0.0
        self._spare = max(1.0, floor) if floor else 0.0
        self._seen: float | None = None

    def note_request(self) -> None:
        """Count a request that came in."""
        self._earned = min(RESERVE_RETRIES, self._earned + self.ratio)

    def spend(self, now: float) -> bool:
        """Take one retry from the budget, if there is one."""
        self._gather(now)
        if self._earned >= 1:
            self._earned -= 1
            return True
        if self._spare >= 1:
            self._spare -= 1
            return True
        return False

    def _gather(self, now: float) -> None:
        passed = 0.0 if self._seen is None else max(0.0, now - self._seen)
        self._seen = now
        gathered = self._spare + passed * self.floor
        self._spare = min(max(1.0, RESERVE_SECONDS * self.floor), gathered)


def backoff(attempt: int, random: Random) -> float:
    """Draw the seconds to wait before the attempt; the first retry is attempt 1."""
    doublings = min(max(0, attempt - 1), MAX_DOUBLINGS)
    longest = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**doublings)
    # Without jitter all that failed together come back together.
    return random.uniform(longest / 2, longest)
