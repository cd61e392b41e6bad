"""Prediction of when an upstream gets to the work that waits for it."""

from collections.abc import Iterable, Sequence
from heapq import heapify, heapreplace
from math import inf
from typing import NamedTuple

from radishtally.limits.work import Job


class Rates(NamedTuple):
    """Tell how fast an upstream works."""

    prefill_rate: float
    """Tokens a second; 0 where there is no prefill."""
    decode_seconds: float
    """Seconds a token."""
    slots: int
    """Requests at once."""

    def prefill(self, tokens: int) -> float:
        """Compute the seconds of prefill."""
        return tokens / self.prefill_rate if self.prefill_rate > 0 else 0.0

    def decode(self, tokens: int) -> float:
        """Compute the seconds of decoding."""
        return tokens * self.decode_seconds

    def take(self, job: Job) -> float:
        """Compute the seconds that a job takes if nothing else runs."""
        return self.prefill(job.prompt_tokens) + self.decode(job.output_tokens)


class Running(NamedTuple):
    """Describe a job that the upstream works on."""

    job: Job
    started: float
    prefill_left: int
    tokens_left: int


class Timeline:
    """Follow an upstream's slots and its prefill through the work before it.

    Prefill goes one after another; each job holds its slot until its last token.
    """

    def __init__(self, rates: Rates, running: Sequence[Running]) -> None:
        self._rates = rates
        self._prefilled = 0.0
        ends = []
        for item in running:
            self._prefilled += rates.prefill(max(0, item.prefill_left))
            begun = self._prefilled if item.prefill_left > 0 else 0.0
            ends.append(begun + rates.decode(max(0, item.tokens_left)))
        ends.sort()
        excess = max(0, len(ends) - rates.slots)
        self._free = ends[excess:] + [0.0] * (rates.slots - len(ends))
        heapify(self._free)

    @property
    def next_start(self) -> float:
        """Tell when the next job would start, in seconds."""
        return max(self._free[0], self._prefilled) if self._free else inf

    def peek(self, job: Job) -> float:
        """Predict the seconds to the first token of a job that came next."""
        return self.next_start + self._rates.prefill(job.prompt_tokens)

    def add(self, job: Job) -> None:
        """Put a job behind the others."""
        self.add_all((job,))

    def add_all(self, jobs: Iterable[Job]) -> None:
        """Put jobs behind the others, in order."""
        free = self._free
        if not free:
            return
        prefilled = self._prefilled
        decode_seconds = self._rates.decode_seconds
        prefill_seconds = self._rates.prefill(1)
        for job in jobs:
            start = free[0]
            if start > prefilled:
                prefilled = start
            prefilled += job.prompt_tokens * prefill_seconds
            heapreplace(free, prefilled + job.output_tokens * decode_seconds)
        self._prefilled = prefilled
