"""Know how much of the others' work an entry has not heard of yet."""

from math import exp
from typing import Final, NamedTuple

from radishtally.limits.pace import Decaying

RATE_SECONDS: Final = 5.0
"""Window of an entry's own requests, by which it takes those of the others: with four a
second, the share of one of 68 entries before 59 engines, it is right to a quarter."""
FEWEST: Final = 2
"""Engines that are compared at least: the better of two drawn at random is all but as
good as the best of all, and takes at most twice its share of what comes unseen."""


class Others(NamedTuple):
    """Hold who decides beside this entry, and how old its news of them is."""

    count: int = 0
    age: float = 0.0
    """Seconds, at most."""


class UnseenWork:
    """Tell among how many engines to choose, by what others may have sent meanwhile.

    Entries that choose the best of all engines by the same old news choose the same
    one, until they hear what they have done to it: with 68 entries and news of 0.2 s,
    one engine of 35 was given five times its share of the prompts, one of 24 five times
    its share of the answers, which were cut off for want of room while others idled.
    """

    def __init__(self) -> None:
        self.others = Others()
        self._own = Decaying(RATE_SECONDS)
        self._begun_at: float | None = None

    def note(self, now: float) -> None:
        """Take in a request of this entry's own."""
        if self._begun_at is None:
            self._begun_at = now
        self._own.add(1.0, now)

    def count(self, now: float) -> float:
        """Count the requests that others were taken to send since their last news."""
        if self._begun_at is None:
            return 0.0
        # A window that is not full yet sums up less than its length.
        passed = max(now - self._begun_at, self.others.age)
        seconds = RATE_SECONDS * (1.0 - exp(-passed / RATE_SECONDS))
        if not seconds:
            return 0.0
        rate = self._own.read(now) / seconds
        return rate * self.others.count * self.others.age

    def count_candidates(self, engines: int, now: float) -> int:
        """Count the engines to compare: few enough that one unseen request or less
        went to the same one.
        """
        unseen = self.count(now)
        if unseen * FEWEST >= engines:
            return min(FEWEST, engines)
        return engines if unseen <= 1.0 else -int(-engines // unseen)
