"""Estimate of what callers ask of a pool, from a decaying window of reports."""

from collections import deque
from math import exp
from typing import Final, NamedTuple

WINDOW_SECONDS: Final = 10.0
TURN: Final = 0.15
"""Change of the prefill share from which it is another mix."""
SETTLE_SECONDS: Final = 2 * WINDOW_SECONDS
"""Shortest time that counts as a mix and not as the way to another."""
PHASES: Final = 8
MAX_REMAINING_SECONDS: Final = 900.0
SAMPLE_SECONDS: Final = 30.0
SAMPLES: Final = 40
"""Twenty minutes: fewer hold an odd number of mixes, and the best split sways."""
TRIES: Final = 3.0
"""Refusals that one lost request leaves behind, about."""


class WorkCounters(NamedTuple):
    """Count an agent's work since its start, so that a lost report loses nothing."""

    prompt_tokens: int
    """Uncached, of accepted work."""
    output_tokens: int
    """Of accepted work."""
    requests: int
    refused: int


class DemandRates(NamedTuple):
    """Tell what is asked of a pool each second."""

    prefill_tokens: float
    decode_tokens: float
    requests: float
    refused: float


class Rate:
    """Estimate a rate over an exponentially decaying window."""

    __slots__ = ("_begun", "_seen", "_sum", "_window")

    def __init__(self, now: float, window: float = WINDOW_SECONDS) -> None:
        self._window = window
        self._begun = now
        self._seen = now
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._decay(now)
        self._sum += amount

    def read(self, now: float) -> float:
        """Give the amount a second."""
        self._decay(now)
        # A young window has not filled yet; undivided it would show too little.
        filled = 1.0 - exp(-(now - self._begun) / self._window)
        return self._sum / (self._window * max(filled, 0.1))

    def _decay(self, now: float) -> None:
        if now <= self._seen:
            return
        self._sum *= exp(-(now - self._seen) / self._window)
        self._seen = now


class Demand:
    """Estimate what is asked of one pool."""

    def __init__(self, now: float) -> None:
        self._rates = tuple(Rate(now) for _ in WorkCounters._fields)
        self._seen: dict[str, WorkCounters] = {}

    def note(self, host: str, counts: WorkCounters, now: float) -> None:
        """Take in the counts of one agent."""
        before = self._seen.get(host)
        self._seen[host] = counts
        if before is None:
            # What was done before the first report has no known time.
            return
        restarted = any(new < old for new, old in zip(counts, before, strict=True))
        base = WorkCounters(0, 0, 0, 0) if restarted else before
        for rate, new, old in zip(self._rates, counts, base, strict=True):
            rate.add(new - old, now)

    def forget(self, host: str) -> None:
        """Forget an agent that is gone."""
        self._seen.pop(host, None)

    def read(self, now: float) -> DemandRates:
        """Give what is asked each second, with what was refused."""
        prompts, outputs, requests, refused = (rate.read(now) for rate in self._rates)
        if requests <= 0:
            return DemandRates(0.0, 0.0, 0.0, refused / TRIES)
        # Accepted work alone never shows more than the pool can do.
        whole = 1.0 + refused / TRIES / requests
        return DemandRates(prompts * whole, outputs * whole, requests * whole, refused)


class Mix:
    """Follow the prefill share of the work and predict how long it will last."""

    def __init__(self) -> None:
        self._anchor: float | None = None
        self._since = 0.0
        self._lengths: deque[float] = deque(maxlen=PHASES)

    def note(self, share: float, now: float) -> None:
        """Take in the share as it is now."""
        if self._anchor is None:
            self._begin(share, now)
            return
        if abs(share - self._anchor) < TURN:
            return
        length = now - self._since
        if length >= SETTLE_SECONDS:
            self._lengths.append(length)
        self._begin(share, now)

    def predict_remaining(self, now: float) -> float:
        """Predict the seconds that the present mix will last."""
        if self._anchor is None:
            return 0.0
        age = now - self._since
        rests = [length - age for length in self._lengths if length > age]
        if rests:
            return min(sum(rests) / len(rests), MAX_REMAINING_SECONDS)
        # Older than any mix seen so far: what has lasted long will last as long again.
        return min(age, MAX_REMAINING_SECONDS)

    def predict_length(self, now: float) -> float:
        """Predict how long the mixes of this time last from end to end."""
        if self._anchor is None:
            return 0.0
        age = now - self._since
        if not self._lengths:
            return 2 * age
        return max(age, sum(self._lengths) / len(self._lengths))

    def _begin(self, share: float, now: float) -> None:
        self._anchor = share
        self._since = now


class History:
    """Keep samples of what was asked in the last minutes."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, DemandRates]] = deque(maxlen=SAMPLES)

    def note(self, asked: DemandRates, now: float) -> None:
        """Take a sample, if the last one is old enough."""
        if self._samples and now - self._samples[-1][0] < SAMPLE_SECONDS:
            return
        self._samples.append((now, asked))

    def list_asked(self) -> tuple[DemandRates, ...]:
        """List the samples."""
        return tuple(asked for _, asked in self._samples)

    def find_span(self, now: float) -> float:
        """Find the seconds that the samples reach back."""
        return now - self._samples[0][0] if self._samples else 0.0
