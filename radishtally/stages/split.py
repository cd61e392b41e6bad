"""Division of an upstream's engines between prefill and decode."""

from typing import Final, NamedTuple

from radishtally.engines.pace import Pace

PREFILL_TARGET: Final = 0.6
"""Target utilization of prefill engines. They work on one prompt at a time, so the mean
wait is busy / (1 - busy) times half the length of a prompt that is blocking others
(Pollaczek-Khinchine): 0.75 of that length at 0.6, 2 at 0.8. Prompt lengths differ by a
factor of 100, so the length of a blocking prompt is several times the mean."""
DECODE_TARGET: Final = 0.7
"""Target share of the decode engines' maximum event rate. Answers share an engine, so
none waits until the batch is full. At 0.7, a batch of 40 is full less than 1 % of the
time and one of 64 less than 0.1 %; at 0.85, 9 to 16 % and 2 to 6 %. This is for
processor sharing with random arrivals, where events in a full batch take two to four
times as long as those of a single answer. The reserve absorbs a burst of 1.4 times the
load."""
MIN_BATCH_SHARE: Final = 0.5
"""Lower bound for the share of a batch that engines are assumed to fill."""


class Needs(NamedTuple):
    """Hold the work to be done, as the number of fully busy engines it takes."""

    reading: float
    """Prefill engines."""
    answering: float
    """Decode engines."""


def score_split(needs: Needs, prefill: int, decode: int) -> float:
    """Score a split, lower is better: above 1, one of the roles has too few engines."""
    if prefill < 1 or decode < 1:
        return float("inf")
    prefill_load = needs.reading / (prefill * PREFILL_TARGET)
    decode_load = needs.answering / (decode * DECODE_TARGET)
    return max(prefill_load, decode_load)


def choose_prefill(needs: Needs, count: int) -> int:
    """Choose how many of the engines should be prefill engines."""
    if count < 2:
        return 0
    return min(range(1, count), key=lambda n: (score_split(needs, n, count - n), n))


def find_max_event_rate(pace: Pace, slots: int, max_interval: float) -> float:
    """Return the maximum event rate of an engine, in events per second.

    If events must not take longer than max_interval, so that long answers meet their
    deadlines, fewer answers can be decoded at a time. At least half a batch is assumed,
    because an engine with fewer concurrent answers has a lower total rate.
    """
    answers = float(slots)
    if pace.per_answer > 0:
        answers = min(answers, (max_interval - pace.base) / pace.per_answer)
    answers = max(answers, slots * MIN_BATCH_SHARE)
    return answers / pace.interval_at(answers)
