"""Sum up the work that comes to all gateways for the engines of one upstream."""

from collections.abc import Container, Sequence
from math import exp
from typing import Final, NamedTuple

from radishtally.engines.pace import PaceEstimator, RequiredSpeedEstimator
from radishtally.limits.pace import DecayingSum
from radishtally.stages import const
from radishtally.stages.split import Needs, find_max_event_rate


class DemandSums(NamedTuple):
    """Hold what has come within the window, and what has ended."""

    requests: float = 0.0
    prompt_tokens: float = 0.0
    """Those that no engine was known to keep."""
    answer_tokens: float = 0.0
    """As callers expect them."""
    ended: float = 0.0
    """Answers that have ended whole, as are those behind the next two."""
    ended_events: float = 0.0
    ended_tokens: float = 0.0
    """As their callers expected them."""


NO_DEMAND: Final = DemandSums()


class DemandTracker:
    """Sum up what comes to all gateways, and learn what engines make of it."""

    def __init__(self) -> None:
        self._own = [
            DecayingSum(const.DEMAND_WINDOW_SECONDS) for _ in DemandSums._fields
        ]
        self._peer_sums: dict[str, tuple[DemandSums, float]] = {}
        """Last report of each other gateway, and when it came."""
        self._started_at: float | None = None
        """Time at which the first request came to any gateway."""
        self._was_measured = False
        """Whether the needs were ever measured."""
        self.pace = PaceEstimator()
        self.speed = RequiredSpeedEstimator()

    @property
    def has_traffic(self) -> bool:
        """Tell whether any request has come."""
        return self._started_at is not None

    def record_request(
        self, prompt_tokens: int, answer_tokens: int, now: float
    ) -> None:
        """Take in a prompt that is to be read and the answer that is expected."""
        self._add(DemandSums(1.0, prompt_tokens, answer_tokens), now)
        self._mark_started(now)

    def record_answer(
        self, events: int, expected: int, seconds: float, now: float
    ) -> None:
        """Take in a whole answer, and the time that it had."""
        ended = DemandSums(ended=1.0, ended_events=events, ended_tokens=expected)
        self._add(ended, now)
        self.speed.record_answer(events, seconds)

    def record_report(self, peer: str, sums: DemandSums, now: float) -> None:
        """Take what has come to another gateway."""
        self._peer_sums[peer] = sums, now
        if sums.requests:
            self._mark_started(now)

    def forget_report(self, peer: str) -> None:
        """Forget what has come to another gateway."""
        self._peer_sums.pop(peer, None)

    def collect(self, now: float, left_out: Container[str] | None = None) -> DemandSums:
        """Give what has come to this gateway, or to all but some others."""
        own = DemandSums(*(decaying.read(now) for decaying in self._own))
        if left_out is None:
            return own
        return _add_up([own, *self._list_peer_sums(now, left_out)])

    def measure(self, rate: float, slots: int, now: float) -> Needs | None:
        """Measure the needs; none while too little was seen to tell them.

        Engines read so many tokens a second and make so many answers at a time.
        """
        total = _add_up([self.collect(now), *self._list_peer_sums(now)])
        if not self._has_enough_data(total, now):
            return None
        passed = now - self._started_at
        # A window that is not full yet sums up less than its length.
        seconds = const.DEMAND_WINDOW_SECONDS * (
            1.0 - exp(-passed / const.DEMAND_WINDOW_SECONDS)
        )
        # Callers expect tokens, and engines put several into an event. A single
        # caller's expectation is often far off; the ratio of the sums is not. What is
        # expected counts as it comes: counted when they end, answers that engines are
        # too slow for would not count, and still fewer would be left to them.
        ratio = total.ended_events / total.ended_tokens
        most = find_max_event_rate(self.pace.fit(slots), slots, self.speed.max_interval)
        return Needs(
            total.prompt_tokens / seconds / rate,
            ratio * total.answer_tokens / seconds / most,
        )

    def _has_enough_data(self, total: DemandSums, now: float) -> bool:
        """Tell whether enough was seen."""
        is_early = (
            not self.has_traffic or now < self._started_at + const.MIN_DEMAND_SECONDS
        )
        is_little = total.requests < const.MIN_REQUESTS or total.ended_tokens < 1.0
        if is_early or is_little or not self.pace.is_known:
            return False
        # Those that end first are short for what was expected of them. Once that is
        # past, it holds in an overload too that few answers end.
        ended = total.ended_tokens >= const.MIN_ENDED_SHARE * total.answer_tokens
        self._was_measured |= ended and total.ended >= const.MIN_ANSWERS
        return self._was_measured

    def _add(self, sums: DemandSums, now: float) -> None:
        for decaying, amount in zip(self._own, sums, strict=True):
            if amount:
                decaying.add(amount, now)

    def _mark_started(self, now: float) -> None:
        if self._started_at is None:
            self._started_at = now

    def _list_peer_sums(
        self, now: float, left_out: Container[str] = ()
    ) -> list[DemandSums]:
        """List what the other gateways have told of late."""
        return [
            sums
            for peer, (sums, at) in self._peer_sums.items()
            if peer not in left_out and now - at < const.STALE_SECONDS
        ]


def _add_up(sums: Sequence[DemandSums]) -> DemandSums:
    return DemandSums(*map(sum, zip(*sums, strict=True))) if sums else NO_DEMAND
