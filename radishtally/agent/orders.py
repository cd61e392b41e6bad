"""Apply the planner's plans and the operators' drains to one host."""

import asyncio
import time
from functools import singledispatchmethod
from typing import Final, Protocol

from eliot import log_message

from radishtally.agent import events
from radishtally.agent.engine import Engine, EngineState
from radishtally.audit.store import AuditLog
from radishtally.authority import order_events as orders
from radishtally.authority.order_events import OrderTimings
from radishtally.authority.orders import OrderCore
from radishtally.authority.plan import Drain, make_drain_key, read_drain_row
from radishtally.authority.plan_store import PlanStore
from radishtally.driver import CoreDriver
from radishtally.outcome import Ok, Result
from radishtally.store.core import Invalid, Row, Table

DRAIN_REASON: Final = "drained by an operator"
CHANGE_REASON: Final = "change of the engine"
DRAIN_POLL_SECONDS: Final = 10.0
ORDER_ACCEPTED_STATUSES: Final = (200, 202)
ORDER_STALE_STATUS: Final = 409
ORDER_BUSY_STATUS: Final = 423


class AgentControl(Protocol):
    """Describe the part of the agent that drains and orders use."""

    def handle(self, event: events.Event) -> None:
        """Handle an event in the agent's core."""

    def find_drain_seconds(self) -> float:
        """Return the seconds that running answers get before they are handed over."""


class DrainFollower:
    """Follow the operators' drain row of the host and drain the agent accordingly."""

    def __init__(self, host: str, table: Table, agent: AgentControl) -> None:
        self._host = host
        self._table = table
        self._agent = agent
        self._drained = False
        self._hinted = asyncio.Event()

    def hint(self) -> None:
        """Read the drain row immediately."""
        self._hinted.set()

    async def run(self) -> None:
        """Poll the drain row; while it can't be read, keep the last value."""
        while True:
            self._hinted.clear()
            read = await self._table.get(make_drain_key(self._host))
            drain = read.bind(_read_drain)
            if drain.is_ok():
                self._apply(drain.ok is not None and drain.ok.drained)
            try:
                await asyncio.wait_for(self._hinted.wait(), DRAIN_POLL_SECONDS)
            except TimeoutError:
                continue

    def _apply(self, drained: bool) -> None:
        if drained == self._drained:
            return
        self._drained = drained
        log_message("host:drain", drained=drained)
        if not drained:
            self._agent.handle(events.Undrain(DRAIN_REASON))
            return
        seconds = self._agent.find_drain_seconds()
        self._agent.handle(events.Drain(DRAIN_REASON, seconds))


def _read_drain(row: Row | None) -> Result[Drain | None, Invalid]:
    return Ok(None) if row is None else read_drain_row(row)


class OrderDriver(CoreDriver):
    """Run the order core of one engine."""

    def __init__(
        self,
        host: str,
        place: str,
        plans: PlanStore,
        engine: Engine,
        audit: AuditLog,
        agent: AgentControl,
    ) -> None:
        self._host = host
        self._place = place
        self._plans = plans
        self._engine = engine
        self._audit = audit
        self._agent = agent
        super().__init__(OrderCore(host, OrderTimings()), orders.Tick())
        self._waits_for_drain = False

    @property
    def changing(self) -> bool:
        """Whether the engine is changing or an order to it is in flight."""
        return self._core.changing

    async def stop(self) -> None:
        """Send no more orders; an order that was sent is not revoked."""
        await self._cancel_all()

    def hint(self) -> None:
        """Read the plan immediately."""
        self._handle(orders.HintReceived())

    def drained(self) -> None:
        """Notify the order core that the engine has no work left."""
        if self._waits_for_drain:
            self._waits_for_drain = False
            self._handle(orders.Drained())

    @singledispatchmethod
    def _execute(self, command: orders.Command) -> None:
        raise TypeError(f"no handler for a command of type {type(command)}")

    @_execute.register
    def _(self, command: orders.ReadPlan) -> None:
        self._start_call(self._read_plan())

    @_execute.register
    def _(self, command: orders.ReadEngine) -> None:
        self._start_call(self._read_engine())

    @_execute.register
    def _(self, command: orders.StartDrain) -> None:
        self._waits_for_drain = True
        seconds = self._agent.find_drain_seconds()
        self._agent.handle(events.Drain(CHANGE_REASON, seconds))

    @_execute.register
    def _(self, command: orders.EndDrain) -> None:
        self._waits_for_drain = False
        self._agent.handle(events.Undrain(CHANGE_REASON))

    @_execute.register
    def _(self, command: orders.SendOrder) -> None:
        self._start_call(self._send_order(command))

    @_execute.register
    def _(self, command: orders.RecordAudit) -> None:
        self._audit.record(
            self._host,
            command.what,
            self._host,
            command.cause,
            command.before,
            command.after,
        )

    @_execute.register
    def _(self, command: orders.WakeAt) -> None:
        self._schedule_tick(command.time)

    async def _read_plan(self) -> None:
        asked_at = time.monotonic()
        plan = await self._plans.read_plan(self._place)
        if plan.is_error():
            self._handle(orders.PlanUnreadable())
            return
        self._handle(orders.PlanRead(plan.ok, asked_at))

    async def _read_engine(self) -> None:
        asked_at = time.monotonic()
        state = await self._engine.read_state()
        if state.is_error():
            self._handle(orders.EngineUnreachable())
            return
        self._handle(orders.EngineRead(_describe(state.ok), asked_at))

    async def _send_order(self, order: orders.SendOrder) -> None:
        outcome, highest = await self._try_order(order)
        log_message("engine:order", order=order.order_id, outcome=outcome)
        self._handle(orders.OrderAnswered(order.order_id, outcome, highest))

    async def _try_order(self, order: orders.SendOrder) -> tuple[str, int]:
        # The process may have been paused since it decided on the order, and the plan
        # that was current then may have been replaced.
        if time.monotonic() > order.send_before:
            return orders.NOT_SENT, 0
        body = {
            "order_id": order.order_id,
            "fencing": order.fencing,
            "kind": order.kind,
            "role": order.wanted.role,
            "model": order.wanted.model,
            "version": order.wanted.version,
            "adapter": order.adapter,
        }
        response = await self._engine.order(body)
        if response.is_error():
            return orders.UNCLEAR, 0
        status, reply = response.ok
        if status in ORDER_ACCEPTED_STATUSES:
            return orders.ACCEPTED, 0
        if status == ORDER_STALE_STATUS:
            return orders.STALE, reply.highest
        if status == ORDER_BUSY_STATUS:
            return orders.BUSY, 0
        return orders.REJECTED, 0


def _describe(state: EngineState) -> orders.EngineStatus:
    return orders.EngineStatus(
        state.role,
        state.model,
        state.version,
        state.adapters,
        state.changing,
        state.incarnation,
        state.fencing,
    )
