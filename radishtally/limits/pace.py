"""Observation of what an upstream's work takes at present."""

from collections import deque
from math import exp
from typing import Final, NamedTuple

from radishtally.limits.timeline import Rates
from radishtally.limits.work import Job

PACE_SECONDS: Final = 2.0
"""Window of the seconds a token: long enough for some steps of a full batch."""
MIN_TOKENS: Final = 4.0
RECENT_SECONDS: Final = 5.0
RECENT: Final = 512
MAX_SHARE: Final = 0.95
"""Share of the slots' time that higher priorities are taken to keep at most."""


class DecayingSum:
    """Sum amounts over an exponentially decaying window."""

    __slots__ = ("_seen", "_sum", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._seen = 0.0
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._sum = self.read(now) + amount
        self._seen = max(self._seen, now)

    def read(self, now: float) -> float:
        """Give the sum as it is now."""
        return self._sum * exp(-max(0.0, now - self._seen) / self._window)


class Pace:
    """Average the seconds a token over the last seconds of all running answers.

    An engine that computes long prompts beside gives each answer its next token only
    after a part of them: decoding then takes several times the engine's own figure.
    With that figure far too much was admitted, and was cut at its deadline.
    """

    __slots__ = ("_seconds", "_tokens")

    def __init__(self) -> None:
        self._seconds = DecayingSum(PACE_SECONDS)
        self._tokens = DecayingSum(PACE_SECONDS)

    def note(self, seconds: float, tokens: int, now: float) -> None:
        """Take in the time that an answer's next tokens took."""
        self._seconds.add(seconds, now)
        self._tokens.add(tokens, now)

    def adjust(self, rates: Rates, now: float) -> Rates:
        """Give the rates with the present pace, which is never below the lone one."""
        tokens = self._tokens.read(now)
        if tokens < MIN_TOKENS:
            return rates
        seconds = self._seconds.read(now) / tokens
        return rates._replace(decode_seconds=max(rates.decode_seconds, seconds))


class Admitted(NamedTuple):
    """Remember a job that was admitted a short while ago."""

    at: float
    team: str
    priority: int
    slack: float
    """Seconds to its latest start when it came."""
    seconds: float
    """Slot time."""


class Passing:
    """Predict how much of the work to come will pass a job that waits.

    Work that waits is passed by what comes meanwhile with a higher priority, and by its
    own team's more urgent work. What was admitted by the queue alone was cut at its
    deadline, or given back when its caller could do nothing else.
    """

    def __init__(self) -> None:
        self._recent: deque[Admitted] = deque(maxlen=RECENT)

    def note(self, admitted: Admitted) -> None:
        """Take in a job that was admitted."""
        self._recent.append(admitted)

    def stretch(
        self, wait: float, job: Job, slack: float, slots: int, now: float
    ) -> float:
        """Stretch a wait by the work that is likely to come and pass meanwhile."""
        if wait <= 0:
            return wait
        left = self.find_left(job.priority, slots, now)
        passing = sum(
            item.seconds * min(wait, max(0.0, slack - item.slack))
            for item in self._recent
            if item.priority == job.priority and item.team == job.team
        )
        return (wait + passing / (RECENT_SECONDS * slots)) / left

    def find_left(self, priority: int, slots: int, now: float) -> float:
        """Find the share of the slots' time that higher priorities leave."""
        self._forget(now)
        higher = sum(item.seconds for item in self._recent if item.priority < priority)
        return 1.0 - min(MAX_SHARE, higher / (RECENT_SECONDS * slots))

    def _forget(self, now: float) -> None:
        recent = self._recent
        while recent and recent[0].at < now - RECENT_SECONDS:
            recent.popleft()
