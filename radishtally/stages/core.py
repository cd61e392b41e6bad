"""Decide how many engines compute prompts, and which."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from radishtally.engines.state import START_RATE
from radishtally.limits.pace import Decaying
from radishtally.links.messages import DECODE, PREFILL
from radishtally.stages import const


class Engine(NamedTuple):
    """Describe an engine that can be ordered."""

    host: str
    data_centre: str
    role: str
    answers: int = 0
    """Answers that it is making."""
    wait: float = 0.0
    """Seconds until it begins one more prompt."""
    is_orderable: bool = True
    """Whether it can be ordered now, as far as is known."""


class Change(NamedTuple):
    """Ask an engine to take another role."""

    host: str
    role: str


class DemandSums(NamedTuple):
    """Hold what has come within the window, in seconds of engines' time."""

    prefill: float
    decode: float


class Demand:
    """Sum up what comes to all gateways."""

    def __init__(self) -> None:
        self._prefill = Decaying(const.DEMAND_SECONDS)
        self._decode = Decaying(const.DEMAND_SECONDS)
        self._others: dict[str, tuple[DemandSums, float]] = {}
        """Last report of each other gateway, and when it came."""

    def note(self, uncached_tokens: int, output_tokens: int, now: float) -> None:
        """Take in a prompt that is to be read and the answer that is to be made."""
        prefill = uncached_tokens / START_RATE * const.PREFILL_RESERVE
        self._prefill.add(prefill, now)
        self._decode.add(output_tokens / const.DECODE_RATE, now)

    def take_report(self, peer: str, sums: DemandSums, now: float) -> None:
        """Take what has come to another gateway."""
        self._others[peer] = sums, now

    def forget_report(self, peer: str) -> None:
        """Forget what has come to another gateway."""
        self._others.pop(peer, None)

    def collect(self, now: float, collected_for: str | None = None) -> DemandSums:
        """Give what has come to this gateway, or to all but one other."""
        own = DemandSums(self._prefill.read(now), self._decode.read(now))
        if collected_for is None:
            return own
        return _add_up([own, *self._list_others(now, collected_for)])

    def find_share(self, now: float) -> float:
        """Find the share of prompts in the engines' time.

        Prompts differ by a hundredfold in length, so what has come is weighed against
        the share that is assumed: a few long prompts are no shift of the mix.
        """
        prefill, decode = _add_up([self.collect(now), *self._list_others(now)])
        assumed = const.START_SHARE * const.ASSUMED_SECONDS
        return (prefill + assumed) / (prefill + decode + const.ASSUMED_SECONDS)

    def _list_others(self, now: float, but: str | None = None) -> list[DemandSums]:
        """List what the other gateways have told of late."""
        return [
            sums
            for peer, (sums, at) in self._others.items()
            if peer != but and now - at < const.STALE_SECONDS
        ]


def _add_up(sums: Sequence[DemandSums]) -> DemandSums:
    return DemandSums(
        sum(item.prefill for item in sums), sum(item.decode for item in sums)
    )


class StagePlan:
    """Hold how the engines of one upstream are to be shared out."""

    def __init__(self) -> None:
        self._share = const.START_SHARE
        """Share of the engines that are to compute prompts."""
        self._off_since: float | None = None
        self._lack_since: float | None = None
        self._moved_at = float("-inf")

    def decide(
        self, engines: Sequence[Engine], demand: float, now: float
    ) -> list[Change]:
        """Give the changes of role that are due now, by the share of demand."""
        if not engines:
            return []
        self._follow(engines, demand, now)
        wanted = self._count_wanted(engines)
        if not self._is_due(engines, wanted, now):
            return []
        return choose_changes(engines, wanted)

    def _count_wanted(self, engines: Sequence[Engine]) -> int:
        """Count the engines that are to compute prompts.

        The share stays as it is when engines come or go: the mix has not changed. Nor
        is an engine moved for what is little more than rounding.
        """
        count = len(engines)
        exact = count * self._share
        present = sum(engine.role == PREFILL for engine in engines)
        is_near = abs(present - exact) <= 0.5 + const.ROUNDING_MARGIN
        if is_near and bound_prefill(present, count) == present:
            return present
        return bound_prefill(round(exact), count)

    def _follow(self, engines: Sequence[Engine], demand: float, now: float) -> None:
        """Bring the share up to date."""
        count = len(engines)
        old = self._count_wanted(engines)
        new = bound_prefill(round(count * demand), count)
        is_off = abs(count * demand - old) > 0.5 + const.SHARE_MARGIN
        if new == old or not is_off or not can_spare(engines, more_prefill=new > old):
            self._off_since = None
            return
        if self._off_since is None:
            self._off_since = now
        settled = now >= self._off_since + const.SHIFT_SECONDS
        if settled and now >= self._moved_at + const.REST_SECONDS:
            self._share = new / count
            self._moved_at = now
            self._off_since = None
            # Demand has been watched for long enough already.
            self._lack_since = float("-inf")

    def _is_due(self, engines: Sequence[Engine], wanted: int, now: float) -> bool:
        """Tell whether the roles have been other than wanted for long enough."""
        roles = Counter(engine.role for engine in engines)
        if roles[PREFILL] == wanted:
            self._lack_since = None
            return False
        if self._lack_since is None:
            self._lack_since = now
        has_both = 0 < roles[PREFILL] < len(engines)
        wait = const.LACK_SECONDS if has_both else const.SETTLE_SECONDS
        return now >= self._lack_since + wait


def can_spare(engines: Sequence[Engine], more_prefill: bool) -> bool:
    """Tell whether the role that would lose an engine can do without it.

    Demand is an estimate: moved by it alone, engines were taken from answers while the
    others had twice as many as let long ones end before their deadline.
    """
    if more_prefill:
        answers = [engine.answers for engine in engines if engine.role != PREFILL]
        return sum(answers) <= const.FEW_ANSWERS * (len(answers) - 1)
    waits = [engine.wait for engine in engines if engine.role == PREFILL]
    return sum(waits) <= const.SHORT_WAIT * len(waits)


def bound_prefill(wanted: int, count: int) -> int:
    """Bound the number of engines that compute prompts."""
    if count < 2:
        return 0
    least_decode = const.MIN_DECODE if count >= const.MANY else 1
    return min(max(wanted, 1), count - least_decode)


def choose_changes(engines: Sequence[Engine], wanted: int) -> list[Change]:
    """Choose the fewest changes that give the wanted number of prefill engines.

    Engines are taken from where their role is most common, so that each data centre
    keeps both roles if it can: a KV cache then need not cross between data centres.
    """
    roles = {engine.host: engine.role for engine in engines}
    wanted_roles = {PREFILL: wanted, DECODE: len(engines) - wanted}
    changes = []
    while (prefill := sum(r == PREFILL for r in roles.values())) != wanted:
        old, new = (DECODE, PREFILL) if prefill < wanted else (PREFILL, DECODE)
        having = [engine for engine in engines if roles[engine.host] == old]
        counts = Counter(engine.data_centre for engine in having)
        movable = [engine for engine in having if engine.is_orderable]
        # An engine that can't be ordered may be dead. Were the last one that can taken
        # from a role, nobody might be left in it until the list says so.
        if len(movable) <= min(wanted_roles[old], 1):
            break
        chosen = max(movable, key=lambda e: (counts[e.data_centre], e.host))
        roles[chosen.host] = new
        changes.append(Change(chosen.host, new))
    return changes
