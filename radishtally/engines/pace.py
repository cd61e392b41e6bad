"""Estimate how decoding slows down with the number of concurrent answers."""

from typing import Final, NamedTuple

DECAY_EVENTS: Final = 2_000.0
"""Number of answer events over which the weight of older ones decays: some seconds of
one gateway's traffic at a moderate load, long enough for the batch sizes to vary."""
FULL_BATCH_SLOWDOWN: Final = 3.0
"""Ratio of the event interval in a full batch to that of a single answer, assumed until
several batch sizes have been observed. Two models showed ratios of 2.1 and 4.2; if the
ratio is too low, engines are moved away from decode before its real need is known."""
PRIOR_SQUARED_DEVIATION: Final = 5_000.0
"""Weight of the assumed slowdown in the fit, as a sum of squared deviations of batch
sizes: that of 200 events whose batch sizes are 5 away from the mean (200 * 5 ** 2)."""
MIN_EVENTS: Final = 50.0
"""Events needed before the fit is used."""
MAX_INTERVAL_SECONDS: Final = 2.0
"""Longer pauses are stalls, of an engine or of this process, and are ignored."""
DECAY_ANSWERS: Final = 200.0
"""Number of complete answers over which the weight of older ones decays."""
MIN_ANSWERS: Final = 20.0
"""Complete answers needed before the required speed is used: their lengths differ by a
factor of 100."""
SPEED_MARGIN: Final = 2.0
"""Factor over the speed that answers need on average, weighted by their events: answers
of twice the length, or with half the time, then still meet their deadlines."""
MIN_ANSWER_SECONDS: Final = 0.5
"""Lower bound for the time that is left for an answer."""


class Pace(NamedTuple):
    """Describe the seconds between two events of an answer, by batch size."""

    base: float
    """Constant part of the interval."""
    per_answer: float
    """Increase for each concurrent answer."""

    def interval_at(self, answers: float) -> float:
        """Return the event interval for a number of concurrent answers."""
        return self.base + self.per_answer * answers


class PaceEstimator:
    """Fit event intervals to batch sizes by linear regression with decaying weights."""

    def __init__(self) -> None:
        self._count = 0.0
        self._answers = 0.0
        """Weighted mean of the concurrent answers."""
        self._seconds = 0.0
        """Weighted mean of the event intervals."""
        self._squares = 0.0
        """Weighted sum of the squared deviations of the concurrent answers."""
        self._codeviation = 0.0
        """Weighted sum of the products of both deviations."""

    @property
    def is_known(self) -> bool:
        """Return whether enough events were timed."""
        return self._count >= MIN_EVENTS

    def record_events(self, answers: int, events: int, seconds: float) -> None:
        """Record how long new events of an answer took at a number of open answers."""
        if events < 1 or seconds >= MAX_INTERVAL_SECONDS:
            return
        interval = seconds / events
        decay = 1.0 - min(1.0, events / DECAY_EVENTS)
        self._count = self._count * decay + events
        self._squares *= decay
        self._codeviation *= decay
        weight = events / self._count
        answers_deviation = answers - self._answers
        interval_deviation = interval - self._seconds
        self._answers += weight * answers_deviation
        self._seconds += weight * interval_deviation
        self._squares += events * answers_deviation * (answers - self._answers)
        self._codeviation += events * answers_deviation * (interval - self._seconds)

    def fit(self, slots: int) -> Pace:
        """Return the fitted pace, for engines with the given batch size."""
        # The slope that the assumed slowdown implies for the observed mean.
        slope = (FULL_BATCH_SLOWDOWN - 1.0) / slots
        assumed = self._seconds * slope / (1.0 + slope * self._answers)
        weighted = self._codeviation + PRIOR_SQUARED_DEVIATION * assumed
        per_answer = max(0.0, weighted / (self._squares + PRIOR_SQUARED_DEVIATION))
        # The constant part is at least one slot's share of the observed mean.
        base = max(self._seconds - per_answer * self._answers, self._seconds / slots)
        return Pace(base, per_answer)


class RequiredSpeedEstimator:
    """Estimate how fast answers must be decoded to meet their deadlines."""

    def __init__(self) -> None:
        self._events = 0.0
        self._speeds = 0.0
        """Decaying sum of the required speeds, weighted by events."""
        self._answers = 0.0

    def record_answer(self, events: int, seconds: float) -> None:
        """Record a complete answer's events and the time available for them."""
        if events < 1:
            return
        decay = 1.0 - 1.0 / DECAY_ANSWERS
        self._events = self._events * decay + events
        speed = events / max(seconds, MIN_ANSWER_SECONDS)
        self._speeds = self._speeds * decay + events * speed
        self._answers = self._answers * decay + 1.0

    @property
    def max_interval(self) -> float:
        """Return the longest allowed event interval; infinite with too few answers."""
        if self._answers < MIN_ANSWERS:
            return float("inf")
        return self._events / (self._speeds * SPEED_MARGIN)
