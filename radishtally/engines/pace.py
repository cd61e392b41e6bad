"""Learn how the answers of an upstream's engines slow down with their number."""

from typing import Final, NamedTuple

MEMORY_EVENTS: Final = 2_000.0
"""Events of answers that are remembered: some seconds of one gateway's at a moderate
load, in which the number of answers at an engine goes up and down by itself."""
FULL_BATCH_SLOWDOWN: Final = 3.0
"""Times the time of a lone answer's event that one takes in a full batch, assumed until
other numbers of answers have been seen. Two models were seen to take 2.1 and 4.2 times;
assumed too low, engines are taken from answers before these show what they need."""
PRIOR_WEIGHT: Final = 5_000.0
"""Weight of that assumption: as much as 200 events at numbers that differ by 5."""
MIN_EVENTS: Final = 50.0
"""Events from which the line is told."""
MAX_INTERVAL_SECONDS: Final = 2.0
"""Pauses from here on are no pace but a stall, of an engine or of this process."""
MEMORY_ANSWERS: Final = 200.0
"""Whole answers that are remembered."""
MIN_ANSWERS: Final = 20.0
"""Whole answers from which the needed speed is told: their lengths differ by a
hundredfold."""
SPEED_MARGIN: Final = 2.0
"""Times the speed that an event's mean answer needs to end in time that engines are to
keep: answers of twice the length, or half the time, then still end in time."""
MIN_ANSWER_SECONDS: Final = 0.5
"""Least time that is taken to be left for an answer."""


class Pace(NamedTuple):
    """Hold the seconds from one event of an answer to its next one."""

    base: float
    """Where no other answer is made."""
    per_answer: float
    """More for each answer that is made at the same time."""

    def interval_at(self, answers: float) -> float:
        """Give the seconds where so many answers are made at a time."""
        return self.base + self.per_answer * answers


class PaceEstimator:
    """Fit a line through the times that events took, recent ones counting more."""

    def __init__(self) -> None:
        self._count = 0.0
        self._answers = 0.0
        """Mean of what was seen, as is the next."""
        self._seconds = 0.0
        self._spread = 0.0
        """Sums of products of the distances to the means, as is the next."""
        self._common = 0.0

    @property
    def is_known(self) -> bool:
        """Tell whether enough events were timed."""
        return self._count >= MIN_EVENTS

    def record_events(self, answers: int, events: int, seconds: float) -> None:
        """Take in the time of an answer's next events, of some answers at a time."""
        if events < 1 or seconds >= MAX_INTERVAL_SECONDS:
            return
        each = seconds / events
        forget = 1.0 - min(1.0, events / MEMORY_EVENTS)
        self._count = self._count * forget + events
        self._spread *= forget
        self._common *= forget
        part = events / self._count
        off_answers = answers - self._answers
        off_seconds = each - self._seconds
        self._answers += part * off_answers
        self._seconds += part * off_seconds
        self._spread += events * off_answers * (answers - self._answers)
        self._common += events * off_answers * (each - self._seconds)

    def fit(self, slots: int) -> Pace:
        """Give the line, for engines that make so many answers at most."""
        # What the assumed slowdown makes of the mean that was seen.
        rise = (FULL_BATCH_SLOWDOWN - 1.0) / slots
        assumed = self._seconds * rise / (1.0 + rise * self._answers)
        weighted = self._common + PRIOR_WEIGHT * assumed
        each = max(0.0, weighted / (self._spread + PRIOR_WEIGHT))
        # Even alone an answer's event takes a part of what was seen.
        alone = max(self._seconds - each * self._answers, self._seconds / slots)
        return Pace(alone, each)


class RequiredSpeedEstimator:
    """Learn how fast whole answers have to be made to end in time."""

    def __init__(self) -> None:
        self._events = 0.0
        self._speeds = 0.0
        self._answers = 0.0

    def record_answer(self, events: int, seconds: float) -> None:
        """Take in a whole answer's events, and the time that it had for them."""
        if events < 1:
            return
        forget = 1.0 - 1.0 / MEMORY_ANSWERS
        self._events = self._events * forget + events
        speed = events / max(seconds, MIN_ANSWER_SECONDS)
        self._speeds = self._speeds * forget + events * speed
        self._answers = self._answers * forget + 1.0

    @property
    def max_interval(self) -> float:
        """Give the seconds that an event may take, infinite while little was seen."""
        if self._answers < MIN_ANSWERS:
            return float("inf")
        return self._events / (self._speeds * SPEED_MARGIN)
