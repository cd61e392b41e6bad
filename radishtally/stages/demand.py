"""Sum up the work that comes to all gateways for the engines of one upstream."""

from collections.abc import Container, Sequence
from math import exp
from typing import Final, NamedTuple

from radishtally.engines.pace import AnswerPace, NeededSpeed
from radishtally.limits.pace import DecayingSum
from radishtally.stages import const
from radishtally.stages.split import Needs, find_most_events


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


NOTHING: Final = DemandSums()


class Demand:
    """Sum up what comes to all gateways, and learn what engines make of it."""

    def __init__(self) -> None:
        self._own = [DecayingSum(const.DEMAND_SECONDS) for _ in DemandSums._fields]
        self._others: dict[str, tuple[DemandSums, float]] = {}
        """Last report of each other gateway, and when it came."""
        self._begun_at: float | None = None
        """Time at which the first request came to any gateway."""
        self._was_told = False
        """Whether the needs were ever measured."""
        self.pace = AnswerPace()
        self.speed = NeededSpeed()

    @property
    def has_begun(self) -> bool:
        """Tell whether any request has come."""
        return self._begun_at is not None

    def note(self, prompt_tokens: int, answer_tokens: int, now: float) -> None:
        """Take in a prompt that is to be read and the answer that is expected."""
        self._add(DemandSums(1.0, prompt_tokens, answer_tokens), now)
        self._begin(now)

    def record_answer(
        self, events: int, expected: int, seconds: float, now: float
    ) -> None:
        """Take in a whole answer, and the time that it had."""
        ended = DemandSums(ended=1.0, ended_events=events, ended_tokens=expected)
        self._add(ended, now)
        self.speed.note(events, seconds)

    def record_report(self, peer: str, sums: DemandSums, now: float) -> None:
        """Take what has come to another gateway."""
        self._others[peer] = sums, now
        if sums.requests:
            self._begin(now)

    def forget_report(self, peer: str) -> None:
        """Forget what has come to another gateway."""
        self._others.pop(peer, None)

    def collect(self, now: float, left_out: Container[str] | None = None) -> DemandSums:
        """Give what has come to this gateway, or to all but some others."""
        own = DemandSums(*(decaying.read(now) for decaying in self._own))
        if left_out is None:
            return own
        return _add_up([own, *self._list_others(now, left_out)])

    def measure(self, rate: float, slots: int, now: float) -> Needs | None:
        """Measure the needs; none while too little was seen to tell them.

        Engines read so many tokens a second and make so many answers at a time.
        """
        total = _add_up([self.collect(now), *self._list_others(now)])
        if not self._is_told(total, now):
            return None
        passed = now - self._begun_at
        # A window that is not full yet sums up less than its length.
        seconds = const.DEMAND_SECONDS * (1.0 - exp(-passed / const.DEMAND_SECONDS))
        # Callers expect tokens, and engines put several into an event. A single
        # caller's expectation is often far off; the ratio of the sums is not. What is
        # expected counts as it comes: counted when they end, answers that engines are
        # too slow for would not count, and still fewer would be left to them.
        ratio = total.ended_events / total.ended_tokens
        most = find_most_events(self.pace.fit(slots), slots, self.speed.longest)
        return Needs(
            total.prompt_tokens / seconds / rate,
            ratio * total.answer_tokens / seconds / most,
        )

    def _is_told(self, total: DemandSums, now: float) -> bool:
        """Tell whether enough was seen."""
        is_early = not self.has_begun or now < self._begun_at + const.FIRST_SECONDS
        is_little = total.requests < const.FIRST_REQUESTS or total.ended_tokens < 1.0
        if is_early or is_little or not self.pace.is_known:
            return False
        # Those that end first are short for what was expected of them. Once that is
        # past, it holds in an overload too that few answers end.
        ended = total.ended_tokens >= const.FIRST_ENDED * total.answer_tokens
        self._was_told |= ended and total.ended >= const.FIRST_ANSWERS
        return self._was_told

    def _add(self, sums: DemandSums, now: float) -> None:
        for decaying, amount in zip(self._own, sums, strict=True):
            if amount:
                decaying.add(amount, now)

    def _begin(self, now: float) -> None:
        if self._begun_at is None:
            self._begun_at = now

    def _list_others(
        self, now: float, left_out: Container[str] = ()
    ) -> list[DemandSums]:
        """List what the other gateways have told of late."""
        return [
            sums
            for peer, (sums, at) in self._others.items()
            if peer not in left_out and now - at < const.STALE_SECONDS
        ]


def _add_up(sums: Sequence[DemandSums]) -> DemandSums:
    return DemandSums(*map(sum, zip(*sums, strict=True))) if sums else NOTHING
