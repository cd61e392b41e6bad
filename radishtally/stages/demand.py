"""Demand of all gateways for the engines of one upstream."""

from collections.abc import Container, Sequence
from math import exp
from typing import Final, NamedTuple

from radishtally.engines.pace import PaceEstimator, RequiredSpeedEstimator
from radishtally.limits.pace import DecayingSum
from radishtally.stages import const
from radishtally.stages.split import Needs, find_max_event_rate


class DemandSums(NamedTuple):
    """Hold decaying sums of arrived requests and of complete answers."""

    requests: float = 0.0
    prompt_tokens: float = 0.0
    """Uncached prompt tokens."""
    answer_tokens: float = 0.0
    """Answer tokens that callers expect."""
    ended: float = 0.0
    """Complete answers."""
    ended_events: float = 0.0
    """Events of the complete answers."""
    ended_tokens: float = 0.0
    """Tokens that callers expected of the complete answers."""


NO_DEMAND: Final = DemandSums()


class DemandTracker:
    """Sum up the demand of all gateways and estimate the engines that it needs."""

    def __init__(self) -> None:
        self._own = [
            DecayingSum(const.DEMAND_WINDOW_SECONDS) for _ in DemandSums._fields
        ]
        self._peer_sums: dict[str, tuple[DemandSums, float]] = {}
        """Last report of each other gateway, and the time of its arrival."""
        self._started_at: float | None = None
        """Time of the first request at any gateway."""
        self._was_measured = False
        """Whether there was ever enough data to compute the needs."""
        self.pace = PaceEstimator()
        self.required_speed = RequiredSpeedEstimator()

    @property
    def has_traffic(self) -> bool:
        """Return whether any request has arrived."""
        return self._started_at is not None

    def record_request(
        self, prompt_tokens: int, answer_tokens: int, now: float
    ) -> None:
        """Record the uncached prompt tokens and expected answer tokens of a request."""
        self._add(DemandSums(1.0, prompt_tokens, answer_tokens), now)
        self._mark_started(now)

    def record_answer(
        self, events: int, expected: int, seconds: float, now: float
    ) -> None:
        """Record a complete answer and the time available for it."""
        sums = DemandSums(ended=1.0, ended_events=events, ended_tokens=expected)
        self._add(sums, now)
        self.required_speed.record_answer(events, seconds)

    def record_report(self, peer: str, sums: DemandSums, now: float) -> None:
        """Record the demand of another gateway."""
        self._peer_sums[peer] = sums, now
        if sums.requests:
            self._mark_started(now)

    def forget_report(self, peer: str) -> None:
        """Drop the demand of another gateway."""
        self._peer_sums.pop(peer, None)

    def collect(self, now: float, excluded: Container[str] | None = None) -> DemandSums:
        """Return the demand of this gateway, or of all gateways except some."""
        own = DemandSums(*(decaying.read(now) for decaying in self._own))
        if excluded is None:
            return own
        return _add_up([own, *self._list_peer_sums(now, excluded)])

    def measure(self, rate: float, slots: int, now: float) -> Needs | None:
        """Return the engines that the demand needs; None if there is too little data.

        The rate is the prefill rate of an engine in tokens per second; slots are the
        answers that it can decode at a time.
        """
        total = _add_up([self.collect(now), *self._list_peer_sums(now)])
        if not self._has_enough_data(total, now):
            return None
        elapsed = now - self._started_at
        # A window that is not full yet covers less time than its length.
        seconds = const.DEMAND_WINDOW_SECONDS * (
            1.0 - exp(-elapsed / const.DEMAND_WINDOW_SECONDS)
        )
        # Callers expect tokens, and engines put several into an event. A single
        # expectation is often far off, but the ratio of the sums is not. Expected
        # tokens count on arrival. Counted at their end, answers that overloaded engines
        # never finish would be missed and cost decode more engines.
        ratio = total.ended_events / total.ended_tokens
        max_rate = find_max_event_rate(
            self.pace.fit(slots), slots, self.required_speed.max_interval
        )
        return Needs(
            total.prompt_tokens / seconds / rate,
            ratio * total.answer_tokens / seconds / max_rate,
        )

    def _has_enough_data(self, total: DemandSums, now: float) -> bool:
        """Return whether there is enough data to compute the needs."""
        is_early = (
            not self.has_traffic or now < self._started_at + const.MIN_DEMAND_SECONDS
        )
        is_small = total.requests < const.MIN_REQUESTS or total.ended_tokens < 1.0
        if is_early or is_small or not self.pace.is_known:
            return False
        # The first answers to end are short for their expected tokens. Once enough have
        # ended, the needs stay known, even if few answers end during an overload.
        is_representative = (
            total.ended_tokens >= const.MIN_ENDED_SHARE * total.answer_tokens
        )
        self._was_measured |= is_representative and total.ended >= const.MIN_ANSWERS
        return self._was_measured

    def _add(self, sums: DemandSums, now: float) -> None:
        for decaying, amount in zip(self._own, sums, strict=True):
            if amount:
                decaying.add(amount, now)

    def _mark_started(self, now: float) -> None:
        if self._started_at is None:
            self._started_at = now

    def _list_peer_sums(
        self, now: float, excluded: Container[str] = ()
    ) -> list[DemandSums]:
        """List the recent reports of other gateways."""
        return [
            sums
            for peer, (sums, at) in self._peer_sums.items()
            if peer not in excluded and now - at < const.STALE_SECONDS
        ]


def _add_up(sums: Sequence[DemandSums]) -> DemandSums:
    return DemandSums(*map(sum, zip(*sums, strict=True))) if sums else NO_DEMAND
