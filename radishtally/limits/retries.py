"""Retry budgets and backoff."""

import math
from random import Random
from typing import Final

FLOOR_BURST_SECONDS: Final = 10.0
"""Seconds' worth of the floor rate that may accumulate unused."""
EARNED_DECAY_SECONDS: Final = 10.0
"""Time in which the budget earned by requests decays to 37%. Without decay, everything
earned before an outage is spent at once when it begins: 31 entries made 476 retries in
10 s on 1,676 requests, although only a fifth of the requests was allowed. With decay
the accumulated budget never exceeds what 10 s of requests earn."""
FIRST_BACKOFF_SECONDS: Final = 0.02
MAX_BACKOFF_SECONDS: Final = 2.0
MAX_DOUBLINGS: Final = 16


class RetryBudget:
    """Allow retries as a share of incoming requests.

    When everything fails, unlimited retries multiply the load just when capacity is
    lowest. The share keeps the total below (1 + ratio) times the requests; the floor
    allows some retries even at a low request rate.
    """

    def __init__(self, ratio: float, floor: float = 1.0) -> None:
        self.ratio = ratio
        """Retries earned per request."""
        self.floor = floor
        """Retries per second allowed at any request rate."""
        self._earned_credit = 0.0
        self._floor_credit = max(1.0, floor) if floor else 0.0
        self._updated_at: float | None = None

    def record_request(self, now: float) -> None:
        """Record an incoming request."""
        self._update_credit(now)
        self._earned_credit += self.ratio

    def spend(self, now: float) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        self._update_credit(now)
        if self._earned_credit >= 1:
            self._earned_credit -= 1
            return True
        if self._floor_credit >= 1:
            self._floor_credit -= 1
            return True
        return False

    def _update_credit(self, now: float) -> None:
        elapsed = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        self._updated_at = now
        self._earned_credit *= math.exp(-elapsed / EARNED_DECAY_SECONDS)
        credit = self._floor_credit + elapsed * self.floor
        self._floor_credit = min(max(1.0, FLOOR_BURST_SECONDS * self.floor), credit)


class RetryBudgets:
    """Keep a separate retry budget for each upstream.

    With a shared budget, the requests of a large upstream would pay for the retries of
    a small one whose hosts fail, and multiply the load of those hosts.
    """

    def __init__(self, ratio: float, floor: float = 1.0) -> None:
        self.ratio = ratio
        self.floor = floor
        """Retries per second allowed for each upstream at any request rate."""
        self._budgets: dict[str, RetryBudget] = {}

    def configure(self, ratio: float, floor: float) -> None:
        """Change the ratio and the floor, also of existing budgets."""
        self.ratio = ratio
        self.floor = floor
        for budget in self._budgets.values():
            budget.ratio = ratio
            budget.floor = floor

    def record_request(self, upstream: str, now: float) -> None:
        """Record an incoming request for an upstream."""
        self._get_budget(upstream).record_request(now)

    def spend(self, upstream: str, now: float) -> bool:
        """Spend one retry of an upstream; return False if its budget is exhausted."""
        return self._get_budget(upstream).spend(now)

    def _get_budget(self, upstream: str) -> RetryBudget:
        if upstream not in self._budgets:
            self._budgets[upstream] = RetryBudget(self.ratio, self.floor)
        return self._budgets[upstream]


def backoff(
    attempt: int, random: Random, max_seconds: float = MAX_BACKOFF_SECONDS
) -> float:
    """Return a random backoff in seconds; the first retry is attempt 1."""
    doublings = min(max(0, attempt - 1), MAX_DOUBLINGS)
    longest = min(max_seconds, FIRST_BACKOFF_SECONDS * 2**doublings)
    # Without jitter, requests that failed together would be retried together.
    return random.uniform(longest / 2, longest)
