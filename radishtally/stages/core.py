"""Decide how many engines compute prompts, and which."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from radishtally.links.messages import DECODE, PREFILL
from radishtally.stages import const
from radishtally.stages.split import Needs, choose_prefill, score_split


class Engine(NamedTuple):
    """Describe an engine that can be ordered."""

    host: str
    data_centre: str
    role: str
    is_orderable: bool = True
    """Whether it can be ordered now, as far as is known."""
    is_reachable: bool = True
    """Whether requests reach it; one that crashed stays listed for seconds."""


class RoleChange(NamedTuple):
    """Ask an engine to take another role."""

    host: str
    role: str


class RolePlan:
    """Hold how the engines of one upstream are to be shared out."""

    def __init__(self) -> None:
        self._needs: Needs | None = None
        """What was needed when it was last measured."""
        self._settled_count = 0
        """Engines that the roles were last in order for."""
        self._mismatch_since: float | None = None
        self._is_moving = False
        self._last_move_at = float("-inf")

    def decide(
        self,
        engines: Sequence[Engine],
        needs: Needs | None,
        has_traffic: bool,
        now: float,
    ) -> list[RoleChange]:
        """Give the changes of role that are due now.

        Until the needs are known, roles are set before traffic has begun, or where one
        of them has no engine.
        """
        engines = _exclude_unreachable(engines)
        if not engines:
            return []
        is_first = self._needs is None and needs is not None
        self._needs = needs or self._needs
        present = sum(engine.role == PREFILL for engine in engines)
        has_both = 0 < present < len(engines)
        if has_traffic and not has_both:
            # Nothing is answered until another engine has changed its role.
            self._is_moving = True
        # A gateway that starts amid traffic would undo what another one has measured.
        if self._needs is None and has_traffic and has_both:
            return []
        wanted = self._choose_prefill_count(present, len(engines))
        if wanted == present:
            self._settle(len(engines), now)
            return []
        if self._mismatch_since is None:
            self._mismatch_since = now
        # What is once due stays so until it is done: an order may fail.
        self._is_moving |= is_first or self._is_due(present, len(engines), now)
        return choose_changes(engines, wanted) if self._is_moving else []

    def _settle(self, count: int, now: float) -> None:
        """Take that so many engines are as wanted."""
        if self._is_moving:
            self._last_move_at = now
        self._is_moving = False
        self._mismatch_since = None
        self._settled_count = count

    def _choose_prefill_count(self, present: int, count: int) -> int:
        """Choose how many engines are to read prompts: as now, where that is enough.

        An engine that changes its role serves nobody for seconds and leaves the parts
        of prompts that it keeps: only one role's lack of engines is worth that.
        """
        if count < 2:
            return 0
        if self._needs is None:
            return min(max(round(count * const.INITIAL_PREFILL_SHARE), 1), count - 1)
        wanted = choose_prefill(self._needs, count)
        weight = score_split(self._needs, present, count - present)
        best = score_split(self._needs, wanted, count - wanted)
        is_better = weight > 1.0 and best < weight * const.MAX_SCORE_RATIO
        return wanted if is_better else present

    def _is_due(self, present: int, count: int, now: float) -> bool:
        """Tell whether the roles have been other than wanted for long enough."""
        has_both = 0 < present < count
        if not has_both or not self._settled_count:
            return now >= self._mismatch_since + const.SETTLE_SECONDS
        if count != self._settled_count:
            return now >= self._mismatch_since + const.COUNT_CHANGE_SECONDS
        is_rested = now >= self._last_move_at + const.COOLDOWN_SECONDS
        return is_rested and now >= self._mismatch_since + const.DEMAND_SHIFT_SECONDS


def _exclude_unreachable(engines: Sequence[Engine]) -> Sequence[Engine]:
    """Leave out engines that requests don't reach, where a role has no others.

    While both roles have others, an engine that crashed may be back sooner than another
    one has changed, and who does not reach it may be cut off alone.
    """
    reached = [engine for engine in engines if engine.is_reachable]
    roles = {engine.role for engine in engines}
    return engines if {engine.role for engine in reached} == roles else reached


def choose_changes(engines: Sequence[Engine], wanted: int) -> list[RoleChange]:
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
        changes.append(RoleChange(chosen.host, new))
    return changes
