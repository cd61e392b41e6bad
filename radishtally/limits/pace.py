"""Observation of what an upstream's work takes at present."""

from math import exp
from typing import Final

from radishtally.limits.timeline import Rates
from radishtally.limits.work import Job

PACE_SECONDS: Final = 2.0
"""Window of the seconds a token: long enough for some steps of a full batch."""
MIN_TOKENS: Final = 4.0
SHARE_SECONDS: Final = 5.0
MAX_SHARE: Final = 0.95


class Decaying:
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
        self._seconds = Decaying(PACE_SECONDS)
        self._tokens = Decaying(PACE_SECONDS)

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


class Shares:
    """Follow the share of the slots' time that each priority takes."""

    __slots__ = ("_by_priority",)

    def __init__(self) -> None:
        self._by_priority: dict[int, Decaying] = {}

    def note(self, job: Job, seconds: float, now: float) -> None:
        """Take in the slot time of a job that was admitted."""
        if job.priority not in self._by_priority:
            self._by_priority[job.priority] = Decaying(SHARE_SECONDS)
        self._by_priority[job.priority].add(seconds, now)

    def find_left(self, priority: int, slots: int, now: float) -> float:
        """Find the share that work of higher priority leaves.

        Work that waits is passed by all of higher priority that comes meanwhile. What
        was admitted by the queue alone was given back seconds later, refused too late
        for its caller to do anything else.
        """
        higher = sum(
            work.read(now)
            for item, work in self._by_priority.items()
            if item < priority
        )
        return 1.0 - min(MAX_SHARE, higher / (SHARE_SECONDS * slots))
