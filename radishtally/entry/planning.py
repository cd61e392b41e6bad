"""Contend for the planner lease of one place and plan while the lease is held."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple

from eliot import log_message

from radishtally.audit.store import AuditLog
from radishtally.authority.lease_driver import LeaseDriver
from radishtally.authority.plan import PLAN
from radishtally.authority.plan_store import PlanStore
from radishtally.configuration.config import Configuration, Engines
from radishtally.containment import contain
from radishtally.links.hub import LinkHub
from radishtally.links.messages import Hint, Load
from radishtally.planner import core as planner
from radishtally.planner.core import Planner, Pool, handle
from radishtally.runtime import read_boot_clock
from radishtally.store.core import Table
from radishtally.store.ids import WriteIds

StartTask = Callable[[Coroutine[Any, Any, Any]], asyncio.Task]

TICK_SECONDS: Final = 1.0
PLAN_RETRY_SECONDS: Final = 1.0


class PlannerDependencies(NamedTuple):
    """Hold the stores and services of the entry that its planners use."""

    host: str
    write_ids: WriteIds
    table: Table
    plans: PlanStore
    audit: AuditLog
    hub: LinkHub
    start_task: StartTask


class PlacePlanner:
    """Run the lease and the planner of one entry for one place."""

    def __init__(self, place: str, dependencies: PlannerDependencies) -> None:
        self._place = place
        self._dependencies = dependencies
        self._planner = Planner()
        self._tasks: set[asyncio.Task] = set()
        self._lease = LeaseDriver(
            dependencies.table,
            place,
            dependencies.host,
            dependencies.write_ids,
            on_gained=self._on_lease_gained,
            on_lost=self._on_lease_lost,
            clock=read_boot_clock,
        )

    @property
    def holds_lease(self) -> bool:
        """Return whether this entry plans for the place now."""
        return self._lease.holds()

    def start(self) -> None:
        """Start to contend for the lease."""
        self._lease.start()
        self._spawn(self._tick())

    async def stop(self) -> None:
        """Cancel all tasks and give up the lease."""
        for task in list(self._tasks):
            task.cancel()
        await self._lease.stop()

    def configure(self, configuration: Configuration) -> None:
        """Apply the policy and the configured roles of hosts."""
        roles = {
            host: server.role
            for upstream in configuration.upstreams.values()
            if isinstance(upstream, Engines)
            for host, server in upstream.servers.items()
        }
        self._handle_event(planner.Configured(configuration.policy, roles))

    def record_load(self, upstream: str, place: str, load: Load) -> None:
        """Record a load report, whether the lease is held or not."""
        if place != self._place or not load.model:
            return
        counts = planner.WorkCounters(
            load.prompt_tokens, load.output_tokens, load.requests, load.refused
        )
        self._handle_event(planner.LoadReported(Pool(upstream, place), load, counts))

    def remove_host(self, host: str) -> None:
        """Remove a host from the planner's state."""
        self._handle_event(planner.HostGone(host))

    def describe(self) -> dict[str, Any]:
        """Return the state of the lease."""
        return dict(self._lease.describe())

    def describe_host(self, host: str) -> dict[str, Any] | None:
        """Return the host's part of the last plan known here; None if it has none."""
        plan = self._planner.plan
        if plan is None or host not in plan.wanted:
            return None
        wanted = plan.wanted[host]._asdict()
        return {"number": plan.number, "cause": plan.cause, **wanted}

    def describe_pools(self) -> dict[str, Any]:
        """Return the demand and the engines' roles in each pool of the place."""
        now = time.monotonic()
        views = [
            self._planner.describe_pool(s, now) for s in self._planner.pools.values()
        ]
        return {
            view.pool.upstream: {
                "asked": view.demand._asdict(),
                "mix_lasts": round(view.remaining, 1),
                "changing": view.changing,
                "roles": {engine.host: engine.role for engine in view.engines},
            }
            for view in views
        }

    def _handle_event(self, event: object) -> None:
        for command in handle(event, self._planner, time.monotonic()):
            self._spawn(self._write_plan(command))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._dependencies.start_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self._lease.holds():
                with contain("place", place=self._place):
                    self._handle_event(planner.Tick())

    def _on_lease_gained(self, fencing: int) -> None:
        log_message("lease:gained", place=self._place, fencing=fencing)
        self._record_audit("lease.gained", "took over", {"fencing": fencing})
        self._spawn(self._load_plan(fencing))

    def _on_lease_lost(self, cause: str) -> None:
        log_message("lease:lost", place=self._place, cause=cause)
        self._record_audit("lease.lost", cause, {})
        self._handle_event(planner.LeaseLost())

    async def _load_plan(self, fencing: int) -> None:
        """Load the stored plan, on which the next one is based."""
        while self._lease.fencing == fencing:
            read = await self._dependencies.plans.read_plan(self._place)
            # The read may outlast the lease. A late answer would reset the planner to
            # an old fencing number: writes under it are never confirmed, so the
            # planner would wait for one for as long as the lease is held.
            if self._lease.fencing != fencing:
                return
            if read.is_ok():
                self._handle_event(planner.LeaseGained(fencing, read.ok))
                return
            await asyncio.sleep(PLAN_RETRY_SECONDS)

    async def _write_plan(self, change: planner.WritePlan) -> None:
        """Write a role change as the place's next plan and notify the hosts."""
        written = await self._dependencies.plans.write_plan(
            self._place, change.previous, change.wanted, change.cause, self._lease
        )
        if written.is_error():
            log_message("plan:not_written", error=str(written.error))
            # The write may still have succeeded, or another plan is stored. Nothing
            # is planned until the plan has been read again from the table.
            await self._load_plan(change.fencing)
            return
        log_message("plan:written", number=written.ok.number, cause=change.cause)
        self._handle_event(planner.PlanWritten(written.ok))
        for host in find_changed(change):
            self._dependencies.hub.send(host, Hint(PLAN, self._place))

    def _record_audit(self, what: str, cause: str, after: dict[str, Any]) -> None:
        self._dependencies.audit.record(
            self._dependencies.host, what, self._place, cause, {}, after
        )


def find_changed(change: planner.WritePlan) -> list[str]:
    """Return the hosts whose part of the plan differs from the previous plan."""
    before = change.previous.wanted if change.previous is not None else {}
    return [h for h, wanted in change.wanted.items() if before.get(h) != wanted]
