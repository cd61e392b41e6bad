"""Estimate of the demand on a pool, from a decaying window of reports."""

from collections import deque
from math import exp
from typing import Final, NamedTuple

WINDOW_SECONDS: Final = 10.0
MIN_MIX_SHIFT: Final = 0.15
"""Change of the prefill share that counts as a new mix."""
MIN_MIX_SECONDS: Final = 2 * WINDOW_SECONDS
"""Shorter mixes are treated as transitions between two others."""
MAX_MIXES: Final = 8
"""Past mixes whose lengths are kept."""
MAX_REMAINING_SECONDS: Final = 900.0
SAMPLE_SECONDS: Final = 30.0
MAX_SAMPLES: Final = 40
"""Twenty minutes. Shorter histories hold an odd number of mixes, and the best split
alternates with them."""
REFUSALS_PER_REQUEST: Final = 3.0
"""Approximate number of refusals caused by one lost request."""


class WorkCounters(NamedTuple):
    """Count an agent's work since its start; cumulative, so lost reports do no harm."""

    prompt_tokens: int
    """Uncached prompt tokens of accepted requests."""
    output_tokens: int
    """Output tokens of accepted requests."""
    requests: int
    refused: int


class DemandRates(NamedTuple):
    """Hold the demand on a pool per second."""

    prefill_tokens: float
    decode_tokens: float
    requests: float
    refused: float


class DecayingRate:
    """Estimate a rate over an exponentially decaying window."""

    __slots__ = ("_started_at", "_updated_at", "_sum", "_window")

    def __init__(self, now: float, window: float = WINDOW_SECONDS) -> None:
        self._window = window
        self._started_at = now
        self._updated_at = now
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._decay(now)
        self._sum += amount

    def read(self, now: float) -> float:
        """Return the amount per second."""
        self._decay(now)
        # Without the correction, a window that is not full yet would show too little.
        filled = 1.0 - exp(-(now - self._started_at) / self._window)
        return self._sum / (self._window * max(filled, 0.1))

    def _decay(self, now: float) -> None:
        if now <= self._updated_at:
            return
        self._sum *= exp(-(now - self._updated_at) / self._window)
        self._updated_at = now


class DemandEstimator:
    """Estimate the demand on one pool."""

    def __init__(self, now: float) -> None:
        self._rates = tuple(DecayingRate(now) for _ in WorkCounters._fields)
        self._counters: dict[str, WorkCounters] = {}

    def record_counters(self, host: str, counts: WorkCounters, now: float) -> None:
        """Record the counters of one agent."""
        before = self._counters.get(host)
        self._counters[host] = counts
        if before is None:
            # Work before the first report cannot be assigned to a time.
            return
        has_restarted = any(new < old for new, old in zip(counts, before, strict=True))
        base = WorkCounters(0, 0, 0, 0) if has_restarted else before
        for rate, new, old in zip(self._rates, counts, base, strict=True):
            rate.add(new - old, now)

    def forget(self, host: str) -> None:
        """Drop an agent that was removed."""
        self._counters.pop(host, None)

    def read(self, now: float) -> DemandRates:
        """Return the demand per second, including refused requests."""
        prompts, outputs, requests, refused = (rate.read(now) for rate in self._rates)
        if requests <= 0:
            return DemandRates(0.0, 0.0, 0.0, refused / REFUSALS_PER_REQUEST)
        # Accepted requests alone never exceed the capacity of the pool.
        scale = 1.0 + refused / REFUSALS_PER_REQUEST / requests
        return DemandRates(prompts * scale, outputs * scale, requests * scale, refused)


class MixTracker:
    """Track the prefill share of the demand and predict how long it will last."""

    def __init__(self) -> None:
        self._reference_share: float | None = None
        self._started_at = 0.0
        self._lengths: deque[float] = deque(maxlen=MAX_MIXES)

    def record_share(self, share: float, now: float) -> None:
        """Record the current share."""
        if self._reference_share is None:
            self._start_mix(share, now)
            return
        if abs(share - self._reference_share) < MIN_MIX_SHIFT:
            return
        length = now - self._started_at
        if length >= MIN_MIX_SECONDS:
            self._lengths.append(length)
        self._start_mix(share, now)

    def predict_remaining(self, now: float) -> float:
        """Predict the seconds that the current mix will last."""
        if self._reference_share is None:
            return 0.0
        age = now - self._started_at
        remaining = [length - age for length in self._lengths if length > age]
        if remaining:
            return min(sum(remaining) / len(remaining), MAX_REMAINING_SECONDS)
        # Longer than any earlier mix: it is expected to last as long again.
        return min(age, MAX_REMAINING_SECONDS)

    def predict_length(self, now: float) -> float:
        """Predict the total length of the current kind of mix."""
        if self._reference_share is None:
            return 0.0
        age = now - self._started_at
        if not self._lengths:
            return 2 * age
        return max(age, sum(self._lengths) / len(self._lengths))

    def _start_mix(self, share: float, now: float) -> None:
        self._reference_share = share
        self._started_at = now


class DemandHistory:
    """Keep samples of the demand of the last minutes."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, DemandRates]] = deque(maxlen=MAX_SAMPLES)

    def add_sample(self, demand: DemandRates, now: float) -> None:
        """Add a sample if the last one is old enough."""
        if self._samples and now - self._samples[-1][0] < SAMPLE_SECONDS:
            return
        self._samples.append((now, demand))

    def list_samples(self) -> tuple[DemandRates, ...]:
        """List the samples."""
        return tuple(demand for _, demand in self._samples)

    def measure_span(self, now: float) -> float:
        """Return the age of the oldest sample in seconds."""
        return now - self._samples[0][0] if self._samples else 0.0
