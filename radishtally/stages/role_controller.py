"""Control loop that sets the engines' roles while this process holds the lease."""

import asyncio
import time
from collections.abc import Callable, Container
from typing import Final, Protocol

from eliot import log_message

from radishtally.direct.core import (
    EngineReport,
    Instance,
    OrderOutcome,
    is_same_start,
)
from radishtally.engines.core import Observer
from radishtally.links.gateway_messages import DemandReport
from radishtally.outcome import Result
from radishtally.stages import const
from radishtally.stages.core import Engine, RoleChange, RolePlan
from radishtally.stages.demand import DemandSums, DemandTracker
from radishtally.stages.split import Needs

PENDING_SECONDS_BY_OUTCOME: Final = {
    OrderOutcome.TAKEN: const.PENDING_SECONDS,
    OrderOutcome.HOLDS: const.PENDING_SECONDS,
    # An order without an answer may be carried out seconds later. Until then, another
    # order would move one engine too many.
    OrderOutcome.UNCLEAR: const.PENDING_SECONDS,
    # The engine is carrying out another order and will soon report its new role.
    OrderOutcome.BUSY: const.RETRY_SECONDS,
}
"""Time that an engine counts as having the ordered role, by outcome of the order; after
any other outcome it counts with its reported role."""


MIN_ENGINES: Final = 2
"""Engines that are needed to serve both roles."""


class Lease(Protocol):
    """Provide the part of the lease that the controller needs."""

    @property
    def fencing(self) -> int | None:
        """Return the fencing token if the lease is held now."""

    def give_up(self, fencing: int) -> None:
        """Release a lease whose token was refused; contend for it with a new token."""


class Orders(Protocol):
    """Send reads and orders to engines."""

    async def read_report(self, instance: Instance) -> Result[EngineReport, str]:
        """Read an engine's role and order state."""

    async def order_role(
        self, instance: Instance, role: str, owner: str, fencing: int, sequence: int
    ) -> OrderOutcome:
        """Order an engine to take a role, under a fencing token."""


class RoleController(Observer):
    """Compare the engines' roles with the demand and order changes."""

    def __init__(
        self,
        host: str,
        orders: Orders,
        list_instances: Callable[[], list[Instance]],
        lease: Lease,
        measure_rate: Callable[[str], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._host = host
        self._orders = orders
        self._list_instances = list_instances
        self._lease = lease
        self._measure_rate = measure_rate
        """Return an engine's prefill rate in tokens per second."""
        self._clock = clock
        self.is_unreachable: Callable[[str], bool] = lambda _: False
        """Return whether requests fail to reach an engine."""
        self.is_limited: Callable[[str], bool] = lambda _: False
        """Return whether an engine has named a limit on its requests."""
        self.on_report: Callable[[Instance, EngineReport], None] = lambda *_: None
        """Handle a report that was read from an engine."""
        self.on_ordered: Callable[[str, str], None] = lambda *_: None
        """Handle an engine that begins to change to a role."""
        self._plans: dict[str, RolePlan] = {}
        self._demands: dict[str, DemandTracker] = {}
        self._pending: dict[str, tuple[str, float]] = {}
        """Ordered role by engine, and the time until which it counts."""
        self._logged_changes: dict[str, list[str]] = {}
        """Last logged role changes, by upstream."""
        self._skipped_until: dict[str, float] = {}
        """Time until which an engine that could not be ordered is skipped."""

    def record_request(
        self, upstream: str, prompt_tokens: int, answer_tokens: int, now: float
    ) -> None:
        """Record the tokens to prefill and the expected answer tokens of a request."""
        self._get_tracker(upstream).record_request(prompt_tokens, answer_tokens, now)

    def record_pace(
        self, upstream: str, answers: int, events: int, seconds: float
    ) -> None:
        """Record how long new events of an answer took at a number of open answers."""
        self._get_tracker(upstream).pace.record_events(answers, events, seconds)

    def record_answer(
        self, upstream: str, events: int, expected: int, seconds: float, now: float
    ) -> None:
        """Record a complete answer: events, expected tokens and available seconds."""
        demand = self._get_tracker(upstream)
        demand.record_answer(events, expected, seconds, now)

    def record_report(self, peer: str, report: DemandReport, now: float) -> None:
        """Record the demand that another gateway reported."""
        upstream, *sums = report
        self._get_tracker(upstream).record_report(peer, DemandSums(*sums), now)

    def _get_tracker(self, upstream: str) -> DemandTracker:
        return self._demands.setdefault(upstream, DemandTracker())

    def forget_report(self, peer: str) -> None:
        """Drop the demand of a gateway that no longer reports."""
        for demand in self._demands.values():
            demand.forget_report(peer)

    def reset_engine(self, host: str) -> None:
        """Drop the pending order of an engine that has restarted."""
        self._pending.pop(host, None)
        self._skipped_until.pop(host, None)

    def build_reports(
        self, now: float, excluded: Container[str] | None = None
    ) -> list[DemandReport]:
        """Return the demand of this gateway, or of all gateways except some."""
        return [
            DemandReport(upstream, *demand.collect(now, excluded))
            for upstream, demand in self._demands.items()
        ]

    async def run(self) -> None:
        """Run the control loop until cancelled."""
        while True:
            await asyncio.sleep(const.TICK_SECONDS)
            await self._set_roles()

    async def _set_roles(self) -> None:
        """Carry out the role changes that are due now."""
        for instance, change in self._decide(self._clock()):
            await self._carry_out(instance, change)

    def _decide(self, now: float) -> list[tuple[Instance, RoleChange]]:
        """Return the due changes; plans are updated even without the lease."""
        # A draining engine takes no new work. If it counted for its role, it would be
        # replaced only after it is gone, and the others of that role would be
        # overloaded until then.
        instances = [
            item
            for item in self._list_instances()
            if item.role and not item.is_draining
        ]
        self._drop_expired(now)
        due = []
        for upstream in {item.upstream for item in instances}:
            of_upstream = [i for i in instances if i.upstream == upstream]
            by_host = {i.host: i for i in self._list_counted(of_upstream)}
            engines = [self._describe(i, now) for i in by_host.values()]
            plan = self._plans.setdefault(upstream, RolePlan())
            needs = self._measure_needs(upstream, list(by_host.values()), now)
            has_traffic = self._get_tracker(upstream).has_traffic
            changes = plan.decide(engines, needs, has_traffic, now)
            self._log_wanted(upstream, changes, needs)
            due += [(by_host[change.host], change) for change in changes]
        return [] if self._lease.fencing is None else due

    def _list_counted(self, instances: list[Instance]) -> list[Instance]:
        """List the engines to share between the roles, without those with a limit.

        An engine in need takes a few requests a second. If it counted for its role, the
        others could be given the other role, and nearly all requests refused.
        """
        unlimited = [item for item in instances if not self.is_limited(item.host)]
        return unlimited if len(unlimited) >= MIN_ENGINES else instances

    def _log_wanted(
        self, upstream: str, changes: list[RoleChange], needs: Needs | None
    ) -> None:
        """Log the wanted changes if they differ from those logged last."""
        wanted = [f"{change.host} {change.role}" for change in changes]
        if wanted == self._logged_changes.get(upstream, []):
            return
        self._logged_changes[upstream] = wanted
        log_message(
            "stage:wanted",
            upstream=upstream,
            changes=wanted,
            needs=needs and needs._asdict(),
            holds_lease=self._lease.fencing is not None,
        )

    def _measure_needs(
        self, upstream: str, instances: list[Instance], now: float
    ) -> Needs | None:
        rates = [self._measure_rate(item.host) for item in instances]
        slots = min(item.slots for item in instances)
        mean_rate = sum(rates) / len(rates)
        return self._get_tracker(upstream).measure(mean_rate, slots, now)

    def _drop_expired(self, now: float) -> None:
        """Drop expired entries, also those of removed engines."""
        self._pending = {
            host: (role, until)
            for host, (role, until) in self._pending.items()
            if now < until
        }
        self._skipped_until = {
            host: until for host, until in self._skipped_until.items() if now < until
        }

    def _describe(self, instance: Instance, now: float) -> Engine:
        role, until = self._pending.get(instance.host, ("", 0.0))
        if now >= until or role == instance.role:
            self._pending.pop(instance.host, None)
            role = instance.role
        is_orderable = instance.host not in self._skipped_until
        is_reachable = not self.is_unreachable(instance.host)
        return Engine(
            instance.host,
            instance.data_centre,
            role,
            is_orderable,
            is_reachable,
            instance.version,
        )

    async def _carry_out(self, instance: Instance, change: RoleChange) -> None:
        """Order one change, if the engine's current state and the lease allow it."""
        report = await self._orders.read_report(instance)
        if report.is_error():
            log_message("stage:engine_unread", engine=change.host, reason=report.error)
            self._skip(instance)
            return
        self.on_report(instance, report.ok)
        # A restarted engine resets its order sequence, so that an order meant for the
        # earlier start could be accepted by mistake.
        is_same = is_same_start(instance.started_ms, report.ok.started_ms)
        if not is_same or not self._is_present(instance):
            log_message(
                "stage:engine_restarted",
                engine=change.host,
                known=instance.started_ms,
                reported=report.ok.started_ms,
            )
            return
        if report.ok.is_busy or report.ok.role == change.role:
            self._mark_pending(instance, change, const.PENDING_SECONDS)
            return
        # The lease may have expired while the report was read, so it is checked again
        # right before the order.
        fencing = self._lease.fencing
        if fencing is None:
            return
        outcome = await self._orders.order_role(
            instance, change.role, self._host, fencing, report.ok.sequence
        )
        log_message(
            "stage:ordered",
            engine=change.host,
            role=change.role,
            fencing=fencing,
            sequence=report.ok.sequence,
            outcome=outcome.value,
        )
        if outcome in (OrderOutcome.TAKEN, OrderOutcome.BUSY):
            self.on_ordered(change.host, change.role)
        if outcome == OrderOutcome.STALE:
            self._lease.give_up(fencing)
        if outcome in PENDING_SECONDS_BY_OUTCOME:
            self._mark_pending(instance, change, PENDING_SECONDS_BY_OUTCOME[outcome])
        else:
            self._skip(instance)

    def _mark_pending(
        self, instance: Instance, change: RoleChange, seconds: float
    ) -> None:
        # The engine may have restarted during the exchange.
        if self._is_present(instance):
            self._pending[change.host] = (change.role, self._clock() + seconds)

    def _skip(self, instance: Instance) -> None:
        """Prefer other engines for a while to one that could not be ordered.

        Otherwise each tick would choose the same engine, and the change would be
        blocked for as long as that engine is listed.
        """
        if self._is_present(instance):
            until = self._clock() + const.RETRY_SECONDS
            self._skipped_until[instance.host] = until

    def _is_present(self, instance: Instance) -> bool:
        """Return whether an engine is still listed with the same start."""
        return any(
            item.host == instance.host
            and is_same_start(item.started_ms, instance.started_ms)
            for item in self._list_instances()
        )
