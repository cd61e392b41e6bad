"""Bounds on retries."""

import math
from random import Random
from typing import Final

RESERVE_SECONDS: Final = 10.0
"""Seconds of the floor that may gather unused."""
EARNED_SECONDS: Final = 10.0
"""Time in which what requests have earned fades to 37%. Kept for longer it would be
spent at once when all fails: 31 entries made 476 retries in 10 s beside 1,676 requests,
of which a fifth was allowed. Faded, what is put by is at most what 10 s earn."""
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

    def record_request(self, now: float) -> None:
        """Count a request that came in."""
        self._gather(now)
        self._earned += self.ratio

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
        self._earned *= math.exp(-passed / EARNED_SECONDS)
        gathered = self._spare + passed * self.floor
        self._spare = min(max(1.0, RESERVE_SECONDS * self.floor), gathered)


class RetryBudgets:
    """Hold a budget for each upstream.

    With one for all, a large upstream's requests would pay for the retries of a small
    one whose hosts fail: its load would be multiplied just then.
    """

    def __init__(self, ratio: float, floor: float = 1.0) -> None:
        self.ratio = ratio
        self.floor = floor
        """Retries a second that each upstream is allowed whatever comes in."""
        self._budgets: dict[str, RetryBudget] = {}

    def configure(self, ratio: float, floor: float) -> None:
        """Take other terms, for the budgets that there are too."""
        self.ratio = ratio
        self.floor = floor
        for budget in self._budgets.values():
            budget.ratio = ratio
            budget.floor = floor

    def record_request(self, upstream: str, now: float) -> None:
        """Count a request that came in for an upstream."""
        self._find(upstream).record_request(now)

    def spend(self, upstream: str, now: float) -> bool:
        """Take one retry from an upstream's budget, if there is one."""
        return self._find(upstream).spend(now)

    def _find(self, upstream: str) -> RetryBudget:
        if upstream not in self._budgets:
            self._budgets[upstream] = RetryBudget(self.ratio, self.floor)
        return self._budgets[upstream]


def backoff(attempt: int, random: Random, most: float = MAX_BACKOFF_SECONDS) -> float:
    """Draw the seconds to wait before the attempt; the first retry is attempt 1."""
    doublings = min(max(0, attempt - 1), MAX_DOUBLINGS)
    longest = min(most, FIRST_BACKOFF_SECONDS * 2**doublings)
    # Without jitter all that failed together come back together.
    return random.uniform(longest / 2, longest)
