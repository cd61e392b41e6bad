"""Decide which orders an agent gives to its engine.

The agent carries out the plan row that it read itself; a message is only a hint to
read it. One order is under way at a time, and after an order whose fate is unknown
none is given until the engine has been seen quiet for the settle time.
"""

import hashlib
from functools import singledispatchmethod
from typing import Any, NamedTuple

from radishtally.authority.order_events import (
    ACCEPTED,
    ADAPTER,
    MAX_BACKOFF_DOUBLINGS,
    MODEL,
    NOT_SENT,
    REJECTED,
    ROLE,
    STALE,
    UNCLEAR,
    Command,
    Drained,
    EndDrain,
    EngineRead,
    EngineStatus,
    EngineUnreachable,
    Event,
    HintReceived,
    OrderAnswered,
    OrderTimings,
    PlanRead,
    PlanUnreadable,
    ReadEngine,
    ReadPlan,
    RecordAudit,
    SendOrder,
    StartDrain,
    Tick,
    WakeAt,
)
from radishtally.authority.plan import Plan, Wanted


class _Step(NamedTuple):
    kind: str
    adapter: str = ""


class _Sent(NamedTuple):
    order: SendOrder
    before: EngineStatus
    taken_at: float = float("inf")


class OrderCore:
    """Bring one engine to what the plan wants, one order at a time."""

    def __init__(self, host: str, terms: OrderTimings) -> None:
        self._host = host
        self._terms = terms
        self._plan: Plan | None = None
        self._plan_asked_at = float("-inf")
        self._plan_read_at = float("-inf")
        self._reading_plan = False
        self._hinted = True
        self._hinted_at = float("-inf")
        self._highest = (0, 0)
        self._engine: EngineStatus | None = None
        self._engine_asked_at = float("-inf")
        self._engine_read_at = float("-inf")
        self._reading_engine = False
        # A predecessor in this host's slot may have died with an order on its way.
        self._settled = False
        self._quiet_since: float | None = None
        self._draining = False
        self._drained_at: float | None = None
        self._sent: _Sent | None = None
        self._taken: _Sent | None = None
        self._round = 0
        self._failures = 0
        self._retry_at = float("-inf")

    @property
    def plan(self) -> Plan | None:
        """Give the last plan that was read."""
        return self._plan

    @property
    def changing(self) -> bool:
        """Tell whether the engine changes, or an order to it is under way."""
        if self._sent is not None or self._taken is not None:
            return True
        return self._engine is not None and self._engine.changing

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take one event and give the commands that follow."""
        commands = self._take(event, now)
        commands += self._decide(now)
        return commands + self._read(now) + [WakeAt(self._next_time(now))]

    @singledispatchmethod
    def _take(self, event: Event, now: float) -> list[Command]:
        raise TypeError(f"unknown event {event!r}")

    @_take.register
    def _(self, event: Tick, now: float) -> list[Command]:
        return []

    @_take.register
    def _(self, event: HintReceived, now: float) -> list[Command]:
        self._hint(now)
        return []

    @_take.register
    def _(self, event: PlanRead, now: float) -> list[Command]:
        self._reading_plan = False
        # A read that was asked for before the hint may have missed what it told of.
        self._hinted = event.asked_at < self._hinted_at
        plan = event.plan
        if plan is None:
            return []
        if (plan.fencing, plan.number) < self._highest:
            # Something newer has been seen; an order by this plan could undo it.
            return []
        if self._plan is not None and plan.number != self._plan.number:
            self._forget_failures()
        self._highest = (plan.fencing, plan.number)
        self._plan = plan
        self._plan_asked_at = event.asked_at
        return []

    @_take.register
    def _(self, event: PlanUnreadable, now: float) -> list[Command]:
        self._reading_plan = False
        self._plan_asked_at = float("-inf")
        # An engine held empty for an order that can't be given now serves nobody.
        return self._end_drain()

    @_take.register
    def _(self, event: EngineRead, now: float) -> list[Command]:
        self._reading_engine = False
        engine = event.engine
        restarted = (
            self._engine is not None and self._engine.incarnation != engine.incarnation
        )
        self._engine = engine
        self._engine_asked_at = event.asked_at
        if engine.fencing > self._highest[0]:
            self._highest = (engine.fencing, 0)
            self._hint(now)
        self._watch_quiet(engine, event.asked_at, now, restarted)
        return self._conclude(engine, event.asked_at, now)

    @_take.register
    def _(self, event: EngineUnreachable, now: float) -> list[Command]:
        self._reading_engine = False
        self._engine_asked_at = float("-inf")
        # What does not answer may still hold an unread order.
        self._quiet_since = None
        return []

    @_take.register
    def _(self, event: Drained, now: float) -> list[Command]:
        if self._draining and self._drained_at is None:
            self._drained_at = now
            self._engine_read_at = float("-inf")
            self._plan_read_at = float("-inf")
        return []

    @_take.register
    def _(self, event: OrderAnswered, now: float) -> list[Command]:
        sent = self._sent
        if sent is None or sent.order.order_id != event.order_id:
            return []
        self._sent = None
        self._engine_asked_at = float("-inf")
        if event.outcome == ACCEPTED:
            self._taken = sent._replace(taken_at=now)
            return []
        if event.outcome == UNCLEAR:
            self._settled = False
            self._quiet_since = None
            return []
        if event.outcome == STALE:
            self._highest = max(self._highest, (event.highest, 0))
        if event.outcome in (STALE, NOT_SENT):
            self._hint(now)
        if event.outcome == REJECTED:
            return self._fail(sent, "the engine rejected the order", now)
        return []

    def _watch_quiet(
        self, engine: EngineStatus, asked_at: float, now: float, restarted: bool
    ) -> None:
        """Find out whether an order of unknown fate may still take effect.

        An order left behind by a dead predecessor, or one whose reply was lost, may
        arrive after the next order and undo it. It sits on this host's own sockets, so
        an engine that has answered twice over the settle time without starting to
        change has read whatever was sent to it before.
        """
        if self._settled:
            return
        if engine.changing or restarted:
            self._quiet_since = None
            return
        if self._quiet_since is None:
            self._quiet_since = now
            return
        self._settled = asked_at - self._quiet_since >= self._terms.settle

    def _conclude(
        self, engine: EngineStatus, asked_at: float, now: float
    ) -> list[Command]:
        """Compare the engine with the order that it took."""
        taken = self._taken
        if taken is None or engine.changing or asked_at < taken.taken_at:
            return []
        self._taken = None
        order = taken.order
        if not _is_done(_Step(order.kind, order.adapter), order.wanted, engine):
            # Crashed half-way, or the same order id was known and did nothing.
            self._round += 1
            return self._fail(taken, "the change did not last", now)
        self._forget_failures()
        cause = self._plan.cause if self._plan else ""
        before, after = _describe(taken.before), _describe(engine)
        return [RecordAudit(f"engine:{order.kind}", cause, before, after)]

    def _fail(self, sent: _Sent, cause: str, now: float) -> list[Command]:
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        self._retry_at = now + self._terms.backoff * 2**doublings
        self._failures += 1
        after = {"order": sent.order.order_id, "failures": self._failures}
        record = RecordAudit(
            "engine:order-failed", cause, _describe(sent.before), after
        )
        return [record, *self._end_drain()]

    def _hint(self, now: float) -> None:
        self._hinted = True
        self._hinted_at = now

    def _forget_failures(self) -> None:
        self._failures = 0
        self._retry_at = float("-inf")

    def _end_drain(self) -> list[Command]:
        if not self._draining or self.changing:
            return []
        self._draining = False
        self._drained_at = None
        return [EndDrain()]

    def _decide(self, now: float) -> list[Command]:
        """Take the next step towards the plan, if one may be taken."""
        engine = self._engine
        if engine is None or self.changing:
            return []
        wanted = self._get_wanted()
        if wanted is None:
            return self._end_drain()
        step = _find_step(wanted, engine)
        if step is None:
            return self._end_drain()
        if not self._settled or now < self._retry_at or not self._is_fresh(now):
            return []
        if not self._draining:
            self._draining = True
            return [StartDrain(f"plan {self._plan.number}: {self._plan.cause}")]
        if not self._is_drained():
            return []
        return [self._order(step, wanted, engine, now)]

    def _get_wanted(self) -> Wanted | None:
        """Give what the plan wants, unless something newer than the plan was seen."""
        if self._plan is None:
            return None
        if (self._plan.fencing, self._plan.number) < self._highest:
            return None
        return self._plan.wanted.get(self._host)

    def _is_fresh(self, now: float) -> bool:
        """Tell whether plan and engine were read recently enough for a step."""
        oldest = min(self._plan_asked_at, self._engine_asked_at)
        return not self._hinted and now - oldest < self._terms.fresh

    def _is_drained(self) -> bool:
        """Tell whether the engine is empty and all was read again since."""
        if self._drained_at is None:
            return False
        return min(self._plan_asked_at, self._engine_asked_at) >= self._drained_at

    def _order(
        self, step: _Step, wanted: Wanted, engine: EngineStatus, now: float
    ) -> SendOrder:
        order = SendOrder(
            self._name_order(step, wanted, engine),
            self._plan.fencing,
            step.kind,
            wanted,
            step.adapter,
            min(self._plan_asked_at, self._engine_asked_at) + self._terms.fresh,
        )
        self._sent = _Sent(order, engine)
        return order

    def _name_order(self, step: _Step, wanted: Wanted, engine: EngineStatus) -> str:
        """Name an order so that its repeat has the same name and a new one has not."""
        what = repr((step, wanted, engine.incarnation, self._round))
        digest = hashlib.sha256(what.encode()).hexdigest()[:12]
        return f"{self._host}-{self._plan.number}-{digest}"

    def _read(self, now: float) -> list[Command]:
        """Ask for what the next decision needs."""
        commands: list[Command] = []
        if not self._reading_engine and now >= self._next_engine_read():
            self._reading_engine = True
            self._engine_read_at = now
            commands.append(ReadEngine())
        if not self._reading_plan and now >= self._next_plan_read():
            self._reading_plan = True
            self._plan_read_at = now
            commands.append(ReadPlan())
        return commands

    def _next_engine_read(self) -> float:
        wait = self._terms.busy_poll if self.changing else self._terms.poll
        return self._engine_read_at + wait

    def _next_plan_read(self) -> float:
        soon = self._hinted or self._draining or self._differs()
        wait = self._terms.poll if soon else self._terms.plan_poll
        return self._plan_read_at + wait

    def _differs(self) -> bool:
        wanted = self._get_wanted()
        if wanted is None or self._engine is None:
            return False
        return _find_step(wanted, self._engine) is not None

    def _next_time(self, now: float) -> float:
        times = [now + self._terms.poll]
        if not self._reading_engine:
            times.append(self._next_engine_read())
        if not self._reading_plan:
            times.append(self._next_plan_read())
        return max(now, min(times))


def _find_step(wanted: Wanted, engine: EngineStatus) -> _Step | None:
    """Find the first order that brings the engine nearer to what is wanted."""
    steps = [_Step(MODEL), _Step(ROLE)]
    steps += [_Step(ADAPTER, adapter) for adapter in wanted.adapters]
    return next((step for step in steps if not _is_done(step, wanted, engine)), None)


def _is_done(step: _Step, wanted: Wanted, engine: EngineStatus) -> bool:
    if step.kind == MODEL:
        return (engine.model, engine.version) == (wanted.model, wanted.version)
    if step.kind == ROLE:
        return engine.role == wanted.role
    return step.adapter in engine.adapters


def _describe(engine: EngineStatus) -> dict[str, Any]:
    return engine._asdict()
