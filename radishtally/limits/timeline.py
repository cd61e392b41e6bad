"""Prediction of when an upstream will start and finish queued work."""

from collections.abc import Iterable, Sequence
from heapq import heapify, heapreplace
from math import inf
from typing import NamedTuple

from radishtally.limits.work import Job


class Rates(NamedTuple):
    """Describe an upstream's processing rates."""

    prefill_rate: float
    """Prompt tokens per second; 0 if the upstream has no prefill."""
    decode_seconds: float
    """Seconds per output token."""
    slots: int
    """Number of concurrent requests."""

    def prefill_time(self, tokens: int) -> float:
        """Return the seconds of prefill for a number of tokens."""
        return tokens / self.prefill_rate if self.prefill_rate > 0 else 0.0

    def decode_time(self, tokens: int) -> float:
        """Return the seconds of decoding for a number of tokens."""
        return tokens * self.decode_seconds

    def service_time(self, job: Job) -> float:
        """Return the seconds that a job takes if nothing else runs."""
        return self.prefill_time(job.prompt_tokens) + self.decode_time(
            job.output_tokens
        )


class Running(NamedTuple):
    """Describe a job that the upstream is processing."""

    job: Job
    started: float
    prefill_left: int
    tokens_left: int


class Timeline:
    """Simulate an upstream's slots and prefill while it works off its jobs.

    Prefills run one after another; each job occupies its slot until its last token. All
    times are in seconds from now.
    """

    def __init__(self, rates: Rates, running: Sequence[Running]) -> None:
        self._rates = rates
        self._prefill_done_at = 0.0
        ends = []
        for item in running:
            self._prefill_done_at += rates.prefill_time(max(0, item.prefill_left))
            decode_start = self._prefill_done_at if item.prefill_left > 0 else 0.0
            ends.append(decode_start + rates.decode_time(max(0, item.tokens_left)))
        ends.sort()
        # If more jobs run than there are slots, the first to end free no slot.
        excess = max(0, len(ends) - rates.slots)
        self._slots_free_at = ends[excess:] + [0.0] * (rates.slots - len(ends))
        heapify(self._slots_free_at)

    @property
    def next_start(self) -> float:
        """Seconds until the next job would start."""
        return (
            max(self._slots_free_at[0], self._prefill_done_at)
            if self._slots_free_at
            else inf
        )

    def predict_first_token(self, job: Job) -> float:
        """Predict the seconds to the first token of a job that is added next."""
        return self.next_start + self._rates.prefill_time(job.prompt_tokens)

    def add(self, job: Job) -> None:
        """Append a job."""
        self.add_all((job,))

    def add_all(self, jobs: Iterable[Job]) -> None:
        """Append jobs in order."""
        free = self._slots_free_at
        if not free:
            return
        prefilled = self._prefill_done_at
        decode_seconds = self._rates.decode_seconds
        prefill_seconds = self._rates.prefill_time(1)
        for job in jobs:
            start = free[0]
            if start > prefilled:
                prefilled = start
            prefilled += job.prompt_tokens * prefill_seconds
            heapreplace(free, prefilled + job.output_tokens * decode_seconds)
        self._prefill_done_at = prefilled
