"""Give engines their roles while this process holds the lease."""

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
from radishtally.links.messages import DemandReport
from radishtally.outcome import Result
from radishtally.stages import const
from radishtally.stages.core import Engine, RoleChange, RolePlan
from radishtally.stages.demand import DemandSums, DemandTracker
from radishtally.stages.split import Needs

PENDING_SECONDS_BY_OUTCOME: Final = {
    OrderOutcome.TAKEN: const.PENDING_SECONDS,
    OrderOutcome.HOLDS: const.PENDING_SECONDS,
    # An order without an answer may be carried out seconds later. Until then a second
    # one would move one engine more than is wanted.
    OrderOutcome.UNCLEAR: const.PENDING_SECONDS,
    # The engine is changing by another order, and says soon what it becomes.
    OrderOutcome.BUSY: const.RETRY_SECONDS,
}
"""Time for which an engine counts as having its ordered role after an outcome; after
any other one the engine stays as it is."""


class Lease(Protocol):
    """Be what the keeper needs of the lease."""

    @property
    def fencing(self) -> int | None:
        """Give the fencing number if the lease is held now."""

    def give_up(self, fencing: int) -> None:
        """Give a number up that was refused; contend for the lease under a new one."""


class Orders(Protocol):
    """Reach engines."""

    async def read_report(self, instance: Instance) -> Result[EngineReport, str]:
        """Ask an engine what it does."""

    async def order_role(
        self, instance: Instance, role: str, owner: str, fencing: int, sequence: int
    ) -> OrderOutcome:
        """Order an engine to take a role."""


class RoleController(Observer):
    """Watch the engines' roles and set them right."""

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
        """Give the prompt tokens that an engine reads in a second."""
        self._clock = clock
        self.is_unreachable: Callable[[str], bool] = lambda _: False
        """Tell whether requests don't reach an engine."""
        self.on_report: Callable[[Instance, EngineReport], None] = lambda *_: None
        """Take what an engine said when asked."""
        self._plans: dict[str, RolePlan] = {}
        self._demands: dict[str, DemandTracker] = {}
        self._pending: dict[str, tuple[str, float]] = {}
        """Role that an engine was ordered to take, and until when that counts."""
        self._logged_changes: dict[str, list[str]] = {}
        """Changes of each upstream's roles that were logged last."""
        self._skipped_until: dict[str, float] = {}
        """Engines that could not be ordered, and until when others go before them."""

    def record_request(
        self, upstream: str, prompt_tokens: int, answer_tokens: int, now: float
    ) -> None:
        """Take in tokens that are to be read and those of the answer expected."""
        self._get_tracker(upstream).record_request(prompt_tokens, answer_tokens, now)

    def record_pace(
        self, upstream: str, answers: int, events: int, seconds: float
    ) -> None:
        """Take in the time of an answer's next events, of some answers at a time."""
        self._get_tracker(upstream).pace.record_events(answers, events, seconds)

    def record_answer(
        self, upstream: str, events: int, expected: int, seconds: float, now: float
    ) -> None:
        """Take in a whole answer: events, tokens expected, seconds that it had."""
        demand = self._get_tracker(upstream)
        demand.record_answer(events, expected, seconds, now)

    def record_report(self, peer: str, report: DemandReport, now: float) -> None:
        """Take what has come to another gateway."""
        upstream, *sums = report
        self._get_tracker(upstream).record_report(peer, DemandSums(*sums), now)

    def _get_tracker(self, upstream: str) -> DemandTracker:
        return self._demands.setdefault(upstream, DemandTracker())

    def forget_report(self, peer: str) -> None:
        """Forget what came to a gateway that tells no more."""
        for demand in self._demands.values():
            demand.forget_report(peer)

    def reset_engine(self, host: str) -> None:
        """Forget what an engine was ordered, as it has started again."""
        self._pending.pop(host, None)
        self._skipped_until.pop(host, None)

    def build_reports(
        self, now: float, left_out: Container[str] | None = None
    ) -> list[DemandReport]:
        """Give what has come to this gateway, or to all but some others."""
        return [
            DemandReport(upstream, *demand.collect(now, left_out))
            for upstream, demand in self._demands.items()
        ]

    async def run(self) -> None:
        """Keep the roles for good."""
        while True:
            await asyncio.sleep(const.TICK_SECONDS)
            await self._set_roles()

    async def _set_roles(self) -> None:
        """Give the orders that are due now."""
        for instance, change in self._decide(self._clock()):
            await self._carry_out(instance, change)

    def _decide(self, now: float) -> list[tuple[Instance, RoleChange]]:
        """Give the changes that are due, the plan being followed lease or not."""
        # An engine that leaves takes no new work. Counted as one of its role it would
        # be missed only once it is gone, and the others of that role are overloaded
        # until then.
        instances = [
            item
            for item in self._list_instances()
            if item.role and not item.is_draining
        ]
        self._drop_expired(now)
        due = []
        for upstream in {item.upstream for item in instances}:
            ours = {i.host: i for i in instances if i.upstream == upstream}
            engines = [self._describe(i, now) for i in ours.values()]
            plan = self._plans.setdefault(upstream, RolePlan())
            needs = self._measure_needs(upstream, list(ours.values()), now)
            has_traffic = self._get_tracker(upstream).has_traffic
            changes = plan.decide(engines, needs, has_traffic, now)
            self._log_wanted(upstream, changes, needs)
            due += [(ours[change.host], change) for change in changes]
        return [] if self._lease.fencing is None else due

    def _log_wanted(
        self, upstream: str, changes: list[RoleChange], needs: Needs | None
    ) -> None:
        """Log what is wanted when it is another than at the last look."""
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
        mean = sum(rates) / len(rates)
        return self._get_tracker(upstream).measure(mean, slots, now)

    def _drop_expired(self, now: float) -> None:
        """Forget what no longer counts, of engines that are gone as well."""
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
            instance.host, instance.data_centre, role, is_orderable, is_reachable
        )

    async def _carry_out(self, instance: Instance, change: RoleChange) -> None:
        """Give one order, as the engine and the lease stand now."""
        report = await self._orders.read_report(instance)
        if report.is_error():
            log_message("stage:engine_unread", engine=change.host, reason=report.error)
            self._skip(instance)
            return
        self.on_report(instance, report.ok)
        # A new start counts its orders anew: one by the count of another start might be
        # carried out though nobody wants it of this one.
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
        # The lease may have lapsed while the engine was asked: an order is given only
        # by who holds it at that moment.
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
        if outcome == OrderOutcome.STALE:
            self._lease.give_up(fencing)
        if outcome in PENDING_SECONDS_BY_OUTCOME:
            self._mark_pending(instance, change, PENDING_SECONDS_BY_OUTCOME[outcome])
        else:
            self._skip(instance)

    def _mark_pending(
        self, instance: Instance, change: RoleChange, seconds: float
    ) -> None:
        # The engine may have started again while it was asked or ordered.
        if self._is_present(instance):
            self._pending[change.host] = (change.role, self._clock() + seconds)

    def _skip(self, instance: Instance) -> None:
        """Let other engines be chosen before one that could not be ordered.

        Chosen by the same rule it would be the same one at each look, and the change
        would wait for as long as that engine is listed.
        """
        if self._is_present(instance):
            until = self._clock() + const.RETRY_SECONDS
            self._skipped_until[instance.host] = until

    def _is_present(self, instance: Instance) -> bool:
        """Tell whether an engine is there, and no other start of it is known."""
        return any(
            item.host == instance.host
            and is_same_start(item.started_ms, instance.started_ms)
            for item in self._list_instances()
        )
