"""Decisions on the number of prefill engines and on which engines change roles."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from radishtally.links.messages import DECODE, PREFILL
from radishtally.stages import const
from radishtally.stages.split import Needs, choose_prefill, score_split


class Engine(NamedTuple):
    """Describe an engine whose role can be set."""

    host: str
    data_centre: str
    role: str
    is_orderable: bool = True
    """Whether orders are expected to reach it now."""
    is_reachable: bool = True
    """Whether requests reach it; an engine that crashed stays listed for seconds."""
    version: str = ""
    """Version of its software."""


class RoleChange(NamedTuple):
    """Request another role for an engine."""

    host: str
    role: str


class RolePlan:
    """Decide on the role changes of one upstream's engines."""

    def __init__(self) -> None:
        self._needs: Needs | None = None
        """Last known needs."""
        self._settled_count = 0
        """Number of engines for which the roles were last as wanted."""
        self._mismatch_since: float | None = None
        """Time since when the roles have differed from those wanted."""
        self._is_moving = False
        """Whether changes are due and not all done yet."""
        self._last_move_at = float("-inf")

    def decide(
        self,
        engines: Sequence[Engine],
        needs: Needs | None,
        has_traffic: bool,
        now: float,
    ) -> list[RoleChange]:
        """Return the role changes that are due now.

        While the needs are unknown, roles are only set before there is traffic, or if a
        role has no engine.
        """
        engines = _exclude_unreachable(engines)
        if not engines:
            return []
        is_first = self._needs is None and needs is not None
        self._needs = needs or self._needs
        current = sum(engine.role == PREFILL for engine in engines)
        has_both = 0 < current < len(engines)
        if has_traffic and not has_both:
            # No request is answered until an engine has changed its role.
            self._is_moving = True
        # A gateway that starts during traffic must not undo what another one has set.
        if self._needs is None and has_traffic and has_both:
            return []
        wanted = self._choose_prefill_count(current, len(engines))
        if wanted == current:
            self._settle(len(engines), now)
            return []
        if self._mismatch_since is None:
            self._mismatch_since = now
        # Due changes stay due until they are done, because an order may fail.
        self._is_moving |= is_first or self._is_due(current, len(engines), now)
        return choose_changes(engines, wanted) if self._is_moving else []

    def _settle(self, count: int, now: float) -> None:
        """Record that the roles are as wanted for this number of engines."""
        if self._is_moving:
            self._last_move_at = now
        self._is_moving = False
        self._mismatch_since = None
        self._settled_count = count

    def _choose_prefill_count(self, current: int, count: int) -> int:
        """Choose the number of prefill engines: the current one if it is enough.

        An engine that changes its role is out of service for seconds and loses its
        prompt cache. That is only worthwhile if a role has too few engines.
        """
        if count < 2:
            return 0
        if self._needs is None:
            return min(max(round(count * const.INITIAL_PREFILL_SHARE), 1), count - 1)
        wanted = choose_prefill(self._needs, count)
        current_score = score_split(self._needs, current, count - current)
        best_score = score_split(self._needs, wanted, count - wanted)
        is_better = (
            current_score > 1.0 and best_score < current_score * const.MAX_SCORE_RATIO
        )
        return wanted if is_better else current

    def _is_due(self, current: int, count: int, now: float) -> bool:
        """Return whether the roles have differed from those wanted for long enough."""
        has_both = 0 < current < count
        if not has_both or not self._settled_count:
            return now >= self._mismatch_since + const.SETTLE_SECONDS
        if count != self._settled_count:
            return now >= self._mismatch_since + const.COUNT_CHANGE_SECONDS
        is_cooled_down = now >= self._last_move_at + const.COOLDOWN_SECONDS
        return (
            is_cooled_down and now >= self._mismatch_since + const.DEMAND_SHIFT_SECONDS
        )


def _exclude_unreachable(engines: Sequence[Engine]) -> Sequence[Engine]:
    """Exclude unreachable engines if otherwise a role has no reachable engine.

    While both roles have reachable engines, unreachable ones still count: an engine
    that crashed may be back before another one has changed its role, and this gateway
    may be the only one that is cut off from it.
    """
    reachable = [engine for engine in engines if engine.is_reachable]
    roles = {engine.role for engine in engines}
    return engines if {engine.role for engine in reachable} == roles else reachable


def choose_changes(engines: Sequence[Engine], wanted: int) -> list[RoleChange]:
    """Choose the fewest changes that lead to the wanted number of prefill engines.

    Streams go on only at decode engines of their software version, so each version
    keeps one if possible, and gets one. Beyond that, engines are taken from the data
    centre where their role is most common, so that each one keeps both roles if
    possible and KV caches need not cross data centres.
    """
    roles = {engine.host: engine.role for engine in engines}
    wanted_roles = {PREFILL: wanted, DECODE: len(engines) - wanted}
    changes = []
    while (prefill := sum(r == PREFILL for r in roles.values())) != wanted:
        old, new = (DECODE, PREFILL) if prefill < wanted else (PREFILL, DECODE)
        candidates = [engine for engine in engines if roles[engine.host] == old]
        counts = Counter(engine.data_centre for engine in candidates)
        movable = [engine for engine in candidates if engine.is_orderable]
        # An engine that cannot be ordered may be dead. If the last orderable one were
        # moved, its role might have no live engine until the list is updated.
        if len(movable) <= min(wanted_roles[old], 1):
            break
        decoding = Counter(e.version for e in engines if roles[e.host] == DECODE)
        chosen = max(
            movable,
            key=lambda e: (
                _keeps_decoding(old, decoding[e.version]),
                counts[e.data_centre],
                e.host,
            ),
        )
        roles[chosen.host] = new
        changes.append(RoleChange(chosen.host, new))
    return changes


def _keeps_decoding(old_role: str, decoding: int) -> bool:
    """Return whether a change of role serves the streams of an engine's version.

    It does if it leaves that version a decode engine, or gives it the first one.
    """
    return decoding > 1 if old_role == DECODE else decoding == 0
