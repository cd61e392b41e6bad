"""Know how much of the others' work an entry has not heard of yet."""

from math import exp
from typing import Final, NamedTuple

from radishtally.limits.pace import DecayingSum

RATE_SECONDS: Final = 5.0
"""Window of an entry's own requests, by which it takes those of the others: with four a
second, the share of one of 68 entries before 59 engines, it is right to a quarter."""
MIN_CANDIDATES: Final = 2
"""Engines that are compared where the news is old: the better of two drawn at random is
nearly as good as the best of all, and takes at most twice its share of what comes
unseen. Of 36 engines, compared by 70 entries with news of 0.05 s, two, three and four
gave the same waits, and all of them waits of seconds (worked out in simulated time)."""
MAX_UNSEEN: Final = 1.0
"""Requests that may have come unseen where all engines are compared: with more, two of
them meet at the same engine."""


class PeerStaleness(NamedTuple):
    """Hold who decides beside this entry, and how old its news of them is."""

    count: int = 0
    age: float = 0.0
    """Seconds, at most."""


class UnseenRequests:
    """Tell among how many engines to choose, by what others may have sent meanwhile.

    Entries that choose the best of all engines by the same old news choose the same
    one, until they hear what they have done to it: with 68 entries and news of 0.2 s,
    one engine of 35 was given five times its share of the prompts, one of 24 five times
    its share of the answers, which were cut off for want of room while others idled.
    """

    def __init__(self) -> None:
        self.peers = PeerStaleness()
        self._own = DecayingSum(RATE_SECONDS)
        self._begun_at: float | None = None

    def note(self, now: float) -> None:
        """Take in a request of this entry's own."""
        if self._begun_at is None:
            self._begun_at = now
        self._own.add(1.0, now)

    def count(self, now: float) -> float:
        """Count the requests that others were taken to send since their last news."""
        if not self.peers.count:
            return 0.0
        if self._begun_at is None:
            # All begin at once: the first requests would all go to the same engine.
            return float("inf")
        # A window that is not full yet sums up less than its length.
        passed = max(now - self._begun_at, self.peers.age)
        seconds = RATE_SECONDS * (1.0 - exp(-passed / RATE_SECONDS))
        return self._own.read(now) / seconds * self.peers.count * self.peers.age

    def count_candidates(self, engines: int, now: float) -> int:
        """Count the engines to compare: all only where little can have come unseen."""
        return (
            engines if self.count(now) <= MAX_UNSEEN else min(MIN_CANDIDATES, engines)
        )
