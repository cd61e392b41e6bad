"""Estimates of an upstream's current decode speed and of overtaking work."""

from collections import deque
from math import exp
from typing import Final, NamedTuple

from radishtally.limits.timeline import Rates
from radishtally.limits.work import Job

PACE_WINDOW_SECONDS: Final = 2.0
"""Window for averaging the seconds per token; spans several steps of a full batch."""
MIN_TOKENS: Final = 4.0
"""Tokens in the window below which the nominal time per token is used."""
ADMISSION_WINDOW_SECONDS: Final = 5.0
MAX_RECENT_ADMISSIONS: Final = 512
MAX_HIGHER_PRIORITY_SHARE: Final = 0.95
"""Upper bound on the share of slot time that is attributed to higher priorities."""


class DecayingSum:
    """Sum amounts over an exponentially decaying window."""

    __slots__ = ("_updated_at", "_sum", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._updated_at = 0.0
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._sum = self.read(now) + amount
        self._updated_at = max(self._updated_at, now)

    def read(self, now: float) -> float:
        """Return the current value of the sum."""
        return self._sum * exp(-max(0.0, now - self._updated_at) / self._window)


class DecodePace:
    """Average the recent seconds per token over all running answers.

    An engine that also computes long prompts produces each answer's next token only
    after a chunk of prefill, so decoding takes several times the engine's nominal time
    per token. Admission by the nominal time admits far too much work, which is then cut
    off at its deadline.
    """

    __slots__ = ("_seconds", "_tokens")

    def __init__(self) -> None:
        self._seconds = DecayingSum(PACE_WINDOW_SECONDS)
        self._tokens = DecayingSum(PACE_WINDOW_SECONDS)

    def record(self, seconds: float, tokens: int, now: float) -> None:
        """Record the time that an answer's next tokens took."""
        self._seconds.add(seconds, now)
        self._tokens.add(tokens, now)

    def adjust(self, rates: Rates, now: float) -> Rates:
        """Return the rates with the observed seconds per token if that is higher."""
        tokens = self._tokens.read(now)
        if tokens < MIN_TOKENS:
            return rates
        seconds = self._seconds.read(now) / tokens
        return rates._replace(decode_seconds=max(rates.decode_seconds, seconds))


class AdmittedJob(NamedTuple):
    """Describe a recently admitted job."""

    at: float
    """Time of admission."""
    team: str
    priority: int
    slack: float
    """Seconds to its latest start at admission."""
    seconds: float
    """Slot time that it takes."""


class OvertakeEstimator:
    """Predict how much future work will overtake a queued job.

    A queued job is overtaken by later arrivals of a higher priority and by more urgent
    work of its own team. Admission by the present queue alone accepts jobs that are
    then cut off at their deadline, or returned too late for their caller to try
    elsewhere.
    """

    def __init__(self) -> None:
        self._recent: deque[AdmittedJob] = deque(maxlen=MAX_RECENT_ADMISSIONS)

    def record(self, admitted: AdmittedJob) -> None:
        """Record an admitted job."""
        self._recent.append(admitted)

    def extend_wait(
        self, wait: float, job: Job, slack: float, slots: int, now: float
    ) -> float:
        """Extend a predicted wait by the work that is likely to overtake the job."""
        if wait <= 0:
            return wait
        share_left = self.find_remaining_share(job.priority, slots, now)
        # A job like this item that arrives t seconds from now overtakes if t is below
        # the difference in slack.
        overtaking = sum(
            item.seconds * min(wait, max(0.0, slack - item.slack))
            for item in self._recent
            if item.priority == job.priority and item.team == job.team
        )
        return (wait + overtaking / (ADMISSION_WINDOW_SECONDS * slots)) / share_left

    def find_remaining_share(self, priority: int, slots: int, now: float) -> float:
        """Return the share of slot time that higher priorities leave."""
        self._drop_old(now)
        higher = sum(item.seconds for item in self._recent if item.priority < priority)
        return 1.0 - min(
            MAX_HIGHER_PRIORITY_SHARE, higher / (ADMISSION_WINDOW_SECONDS * slots)
        )

    def _drop_old(self, now: float) -> None:
        recent = self._recent
        while recent and recent[0].at < now - ADMISSION_WINDOW_SECONDS:
            recent.popleft()
