"""Decide which orders an agent gives to its engine.

The agent acts only on a plan row that it has read itself; a message is merely a hint
to read it. At most one order is in flight. After an order with an unknown outcome, no
other is given until the engine has been observed idle for the settle time.
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
    """Represent one change that brings the engine closer to the wanted state."""

    kind: str
    adapter: str = ""


class _SentOrder(NamedTuple):
    """Represent an order and the engine's state before it."""

    order: SendOrder
    before: EngineStatus
    accepted_at: float = float("inf")


class OrderCore:
    """Bring one engine to the state that the plan wants, one order at a time."""

    def __init__(self, host: str, terms: OrderTimings) -> None:
        self._host = host
        self._terms = terms
        self._plan: Plan | None = None
        self._plan_asked_at = float("-inf")
        self._plan_read_at = float("-inf")
        self._reading_plan = False
        self._needs_plan_read = True
        self._plan_read_needed_at = float("-inf")
        # Highest fencing token seen, and the highest plan number under it.
        self._highest_seen = (0, 0)
        self._engine: EngineStatus | None = None
        self._engine_asked_at = float("-inf")
        self._engine_read_at = float("-inf")
        self._reading_engine = False
        # Whether no order of unknown outcome can still take effect. False at first: a
        # previous agent on this host may have died with an order in flight.
        self._settled = False
        self._idle_since: float | None = None
        self._draining = False
        self._drained_at: float | None = None
        self._sent: _SentOrder | None = None
        self._accepted: _SentOrder | None = None
        # Part of the order id; a new generation makes the engine run an order again.
        self._generation = 0
        self._failures = 0
        self._retry_at = float("-inf")

    @property
    def plan(self) -> Plan | None:
        """Return the last plan that was read."""
        return self._plan

    @property
    def changing(self) -> bool:
        """Return whether the engine is changing, or an order to it is in flight."""
        if self._sent is not None or self._accepted is not None:
            return True
        return self._engine is not None and self._engine.changing

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle one event and return the resulting commands."""
        commands = self._apply(event, now)
        commands += self._decide(now)
        return commands + self._request_reads(now) + [WakeAt(self._next_wake_at(now))]

    @singledispatchmethod
    def _apply(self, event: Event, now: float) -> list[Command]:
        raise TypeError(f"unknown event {event!r}")

    @_apply.register
    def _(self, event: Tick, now: float) -> list[Command]:
        return []

    @_apply.register
    def _(self, event: HintReceived, now: float) -> list[Command]:
        self._require_plan_read(now)
        return []

    @_apply.register
    def _(self, event: PlanRead, now: float) -> list[Command]:
        self._reading_plan = False
        # A read sent before the hint may have missed the change that it announced.
        self._needs_plan_read = event.asked_at < self._plan_read_needed_at
        plan = event.plan
        if plan is None:
            return []
        if (plan.fencing, plan.number) < self._highest_seen:
            # A newer plan or fencing token has been seen; an order from this older plan
            # could undo changes made under the newer one.
            return []
        if self._plan is not None and plan.number != self._plan.number:
            self._reset_failures()
        self._highest_seen = (plan.fencing, plan.number)
        self._plan = plan
        self._plan_asked_at = event.asked_at
        return []

    @_apply.register
    def _(self, event: PlanUnreadable, now: float) -> list[Command]:
        self._reading_plan = False
        self._plan_asked_at = float("-inf")
        # No order can be sent without a fresh plan, so a drained engine would idle.
        return self._end_drain()

    @_apply.register
    def _(self, event: EngineRead, now: float) -> list[Command]:
        self._reading_engine = False
        engine = event.engine
        restarted = (
            self._engine is not None and self._engine.incarnation != engine.incarnation
        )
        self._engine = engine
        self._engine_asked_at = event.asked_at
        if engine.fencing > self._highest_seen[0]:
            self._highest_seen = (engine.fencing, 0)
            self._require_plan_read(now)
        self._check_settled(engine, event.asked_at, now, restarted)
        return self._check_accepted(engine, event.asked_at, now)

    @_apply.register
    def _(self, event: EngineUnreachable, now: float) -> list[Command]:
        self._reading_engine = False
        self._engine_asked_at = float("-inf")
        # An engine that does not answer may still have an unread order in its socket.
        self._idle_since = None
        return []

    @_apply.register
    def _(self, event: Drained, now: float) -> list[Command]:
        if self._draining and self._drained_at is None:
            self._drained_at = now
            self._engine_read_at = float("-inf")
            self._plan_read_at = float("-inf")
        return []

    @_apply.register
    def _(self, event: OrderAnswered, now: float) -> list[Command]:
        sent = self._sent
        if sent is None or sent.order.order_id != event.order_id:
            return []
        self._sent = None
        self._engine_asked_at = float("-inf")
        if event.outcome == ACCEPTED:
            self._accepted = sent._replace(accepted_at=now)
            return []
        if event.outcome == UNCLEAR:
            self._settled = False
            self._idle_since = None
            return []
        if event.outcome == STALE:
            self._highest_seen = max(self._highest_seen, (event.highest, 0))
        if event.outcome in (STALE, NOT_SENT):
            self._require_plan_read(now)
        if event.outcome == REJECTED:
            return self._record_failure(sent, "the engine rejected the order", now)
        return []

    def _check_settled(
        self, engine: EngineStatus, asked_at: float, now: float, restarted: bool
    ) -> None:
        """Update whether an order of unknown outcome may still take effect.

        An order from an agent that died, or one whose reply was lost, may arrive after
        the next order and undo it. Such an order waits in a socket of this host. An
        engine that every read over the settle time shows idle has read everything that
        was sent to it before.
        """
        if self._settled:
            return
        if engine.changing or restarted:
            self._idle_since = None
            return
        if self._idle_since is None:
            self._idle_since = now
            return
        self._settled = asked_at - self._idle_since >= self._terms.settle

    def _check_accepted(
        self, engine: EngineStatus, asked_at: float, now: float
    ) -> list[Command]:
        """Check whether the order that the engine accepted has taken effect."""
        accepted = self._accepted
        if accepted is None or engine.changing or asked_at < accepted.accepted_at:
            return []
        self._accepted = None
        order = accepted.order
        if not _is_done(_Step(order.kind, order.adapter), order.wanted, engine):
            # The engine crashed midway, or it knew the order id and did nothing.
            self._generation += 1
            return self._record_failure(accepted, "the change did not last", now)
        self._reset_failures()
        cause = self._plan.cause if self._plan else ""
        before, after = _describe(accepted.before), _describe(engine)
        return [RecordAudit(f"engine:{order.kind}", cause, before, after)]

    def _record_failure(
        self, sent: _SentOrder, cause: str, now: float
    ) -> list[Command]:
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        self._retry_at = now + self._terms.backoff * 2**doublings
        self._failures += 1
        after = {"order": sent.order.order_id, "failures": self._failures}
        record = RecordAudit(
            "engine:order-failed", cause, _describe(sent.before), after
        )
        return [record, *self._end_drain()]

    def _require_plan_read(self, now: float) -> None:
        self._needs_plan_read = True
        self._plan_read_needed_at = now

    def _reset_failures(self) -> None:
        self._failures = 0
        self._retry_at = float("-inf")

    def _end_drain(self) -> list[Command]:
        if not self._draining or self.changing:
            return []
        self._draining = False
        self._drained_at = None
        return [EndDrain()]

    def _decide(self, now: float) -> list[Command]:
        """Start the next step towards the plan, if one is allowed now."""
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
        return [self._make_order(step, wanted, engine, now)]

    def _get_wanted(self) -> Wanted | None:
        """Return the wanted state, unless a newer plan or fencing token was seen."""
        if self._plan is None:
            return None
        if (self._plan.fencing, self._plan.number) < self._highest_seen:
            return None
        return self._plan.wanted.get(self._host)

    def _is_fresh(self, now: float) -> bool:
        """Return whether plan and engine were read recently enough for a step."""
        oldest = min(self._plan_asked_at, self._engine_asked_at)
        return not self._needs_plan_read and now - oldest < self._terms.max_read_age

    def _is_drained(self) -> bool:
        """Return whether the engine is drained, and plan and engine were read since."""
        if self._drained_at is None:
            return False
        return min(self._plan_asked_at, self._engine_asked_at) >= self._drained_at

    def _make_order(
        self, step: _Step, wanted: Wanted, engine: EngineStatus, now: float
    ) -> SendOrder:
        order = SendOrder(
            self._make_order_id(step, wanted, engine),
            self._plan.fencing,
            step.kind,
            wanted,
            step.adapter,
            min(self._plan_asked_at, self._engine_asked_at) + self._terms.max_read_age,
        )
        self._sent = _SentOrder(order, engine)
        return order

    def _make_order_id(self, step: _Step, wanted: Wanted, engine: EngineStatus) -> str:
        """Build an order id that a retry of the order shares and no other order has."""
        # The digest covers the class and field names of `step` and `wanted`. Renaming
        # one changes the ids, and an order retried after an upgrade is taken for new.
        identity = repr((step, wanted, engine.incarnation, self._generation))
        digest = hashlib.sha256(identity.encode()).hexdigest()[:12]
        return f"{self._host}-{self._plan.number}-{digest}"

    def _request_reads(self, now: float) -> list[Command]:
        """Request the reads that the next decision needs."""
        commands: list[Command] = []
        if not self._reading_engine and now >= self._next_engine_read_at():
            self._reading_engine = True
            self._engine_read_at = now
            commands.append(ReadEngine())
        if not self._reading_plan and now >= self._next_plan_read_at():
            self._reading_plan = True
            self._plan_read_at = now
            commands.append(ReadPlan())
        return commands

    def _next_engine_read_at(self) -> float:
        wait = self._terms.busy_poll if self.changing else self._terms.poll
        return self._engine_read_at + wait

    def _next_plan_read_at(self) -> float:
        soon = self._needs_plan_read or self._draining or self._engine_differs()
        wait = self._terms.poll if soon else self._terms.plan_poll
        return self._plan_read_at + wait

    def _engine_differs(self) -> bool:
        wanted = self._get_wanted()
        if wanted is None or self._engine is None:
            return False
        return _find_step(wanted, self._engine) is not None

    def _next_wake_at(self, now: float) -> float:
        times = [now + self._terms.poll]
        if not self._reading_engine:
            times.append(self._next_engine_read_at())
        if not self._reading_plan:
            times.append(self._next_plan_read_at())
        return max(now, min(times))


def _find_step(wanted: Wanted, engine: EngineStatus) -> _Step | None:
    """Find the first step that the engine still needs to reach the wanted state."""
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
