"""Weigh how an upstream's engines can be shared out between prompts and answers."""

from typing import Final, NamedTuple

from radishtally.engines.pace import Pace

PREFILL_TARGET: Final = 0.6
"""Part of their time that engines for prompts can be busy. They read one prompt after
another, so the mean wait is busy / (1 - busy) times half the length of a prompt that
just then holds up others (Pollaczek-Khinchine): 0.75 of it at 0.6, 2 at 0.8. Prompts
differ by a hundredfold in length, so that length is several times the mean one."""
DECODE_TARGET: Final = 0.7
"""Part of the most events that engines for answers can make. Answers share an engine,
so nobody waits until its batch is full: at 0.7 one of 40 is that in less than 1 of 100
moments, one of 64 in less than 1 of 1,000; at 0.85 in 9 to 16 and in 2 to 6 of 100
(worked out: arrivals at random, shared processor, an event in a full batch taking two
to four times a lone one's time). What is left bears a burst of 1.4 times the load."""
MIN_BATCH_SHARE: Final = 0.5
"""Part of a batch that engines are taken to fill at least."""


class Needs(NamedTuple):
    """Hold what has to be done, in engines that do nothing else."""

    reading: float
    answering: float


def score_split(needs: Needs, prefill: int, decode: int) -> float:
    """Weigh a split: over 1 the worse off of the two roles has too few engines."""
    if prefill < 1 or decode < 1:
        return float("inf")
    reading = needs.reading / (prefill * PREFILL_TARGET)
    answering = needs.answering / (decode * DECODE_TARGET)
    return max(reading, answering)


def choose_prefill(needs: Needs, count: int) -> int:
    """Choose how many of some engines are to read prompts."""
    if count < 2:
        return 0
    return min(range(1, count), key=lambda n: (score_split(needs, n, count - n), n))


def find_max_event_rate(pace: Pace, slots: int, longest: float) -> float:
    """Find the events a second that an engine makes at most.

    Where an event may take so many seconds at the longest, or long answers don't end
    before their deadlines, fewer answers are to be made at a time. A batch is taken to
    be half full all the same: the fewer answers the slower the engine as a whole.
    """
    answers = float(slots)
    if pace.per_answer > 0:
        answers = min(answers, (longest - pace.base) / pace.per_answer)
    answers = max(answers, slots * MIN_BATCH_SHARE)
    return answers / pace.interval_at(answers)
