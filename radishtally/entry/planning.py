"""Contend for one place's planner lease, and plan while it is held."""

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
from radishtally.links.hub import LinkHub
from radishtally.links.messages import Hint, Load
from radishtally.planner import core as planner
from radishtally.planner.core import Planner, Pool, handle
from radishtally.runtime import read_boot_clock
from radishtally.store.core import Table
from radishtally.store.ids import WriteIds

StartTask = Callable[[Coroutine[Any, Any, Any]], asyncio.Task]

TICK_SECONDS: Final = 1.0
REREAD_SECONDS: Final = 1.0


class Parts(NamedTuple):
    """Hold what planning for a place needs of its entry."""

    host: str
    write_ids: WriteIds
    table: Table
    plans: PlanStore
    audit: AuditLog
    hub: LinkHub
    start_task: StartTask


class PlacePlanning:
    """Drive the lease and the planner of one entry for one place."""

    def __init__(self, place: str, parts: Parts) -> None:
        self._place = place
        self._parts = parts
        self._planner = Planner()
        self._tasks: set[asyncio.Task] = set()
        self._lease = LeaseDriver(
            parts.table,
            place,
            parts.host,
            parts.write_ids,
            on_gained=self._gained,
            on_lost=self._lost,
            clock=read_boot_clock,
        )

    @property
    def holds_lease(self) -> bool:
        """Tell whether this entry plans for the place now."""
        return self._lease.holds()

    def start(self) -> None:
        """Contend for the lease from now on."""
        self._lease.start()
        self._spawn(self._tick())

    async def stop(self) -> None:
        """Give the lease up."""
        for task in list(self._tasks):
            task.cancel()
        await self._lease.stop()

    def configure(self, configuration: Configuration) -> None:
        """Take the policy and the roles that operators gave."""
        roles = {
            host: server.role
            for upstream in configuration.upstreams.values()
            if isinstance(upstream, Engines)
            for host, server in upstream.servers.items()
        }
        self._feed(planner.Configured(configuration.policy, roles))

    def report(self, upstream: str, place: str, load: Load) -> None:
        """Take a load report, with or without the lease."""
        if place != self._place or not load.model:
            return
        counts = planner.WorkCounters(
            load.prompt_tokens, load.output_tokens, load.requests, load.refused
        )
        self._feed(planner.LoadReported(Pool(upstream, place), load, counts))

    def host_gone(self, host: str) -> None:
        """Take the loss of a host."""
        self._feed(planner.HostGone(host))

    def describe(self) -> dict[str, Any]:
        """Tell whether this entry plans for its place."""
        return dict(self._lease.describe())

    def describe_host(self, host: str) -> dict[str, Any] | None:
        """Tell what the last plan known here wants of a host."""
        plan = self._planner.plan
        if plan is None or host not in plan.wanted:
            return None
        wanted = plan.wanted[host]._asdict()
        return {"number": plan.number, "cause": plan.cause, **wanted}

    def describe_pools(self) -> dict[str, Any]:
        """Tell what is asked of the place's pools, as known here."""
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

    def _feed(self, event: object) -> None:
        for command in handle(event, self._planner, time.monotonic()):
            self._spawn(self._write(command))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._parts.start_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self._lease.holds():
                self._feed(planner.Tick())

    def _gained(self, fencing: int) -> None:
        log_message("lease:gained", place=self._place, fencing=fencing)
        self._record("lease.gained", "took over", {"fencing": fencing})
        self._spawn(self._take_over(fencing))

    def _lost(self, cause: str) -> None:
        log_message("lease:lost", place=self._place, cause=cause)
        self._record("lease.lost", cause, {})
        self._feed(planner.LeaseLost())

    async def _take_over(self, fencing: int) -> None:
        """Read the plan as it stands before anything is planned on top of it."""
        while self._lease.fencing == fencing:
            read = await self._parts.plans.read_plan(self._place)
            # The answer may take longer than the lease lasts. Taken all the same, it
            # would put the planner back to a number under which no plan that it writes
            # counts as written, and it would wait for that as long as it holds.
            if self._lease.fencing != fencing:
                return
            if read.is_ok():
                self._feed(planner.LeaseGained(fencing, read.ok))
                return
            await asyncio.sleep(REREAD_SECONDS)

    async def _write(self, change: planner.WritePlan) -> None:
        """Put a role change in force as the place's next plan."""
        written = await self._parts.plans.write_plan(
            self._place, change.previous, change.wanted, change.cause, self._lease
        )
        if written.is_error():
            log_message("plan:not_written", error=str(written.error))
            # The write may stand all the same, or another plan does: only the table
            # tells, and until it is read again nothing is planned on top of it.
            await self._take_over(change.fencing)
            return
        log_message("plan:written", number=written.ok.number, cause=change.cause)
        self._feed(planner.PlanWritten(written.ok))
        for host in find_changed(change):
            self._parts.hub.send(host, Hint(PLAN, self._place))

    def _record(self, what: str, cause: str, after: dict[str, Any]) -> None:
        self._parts.audit.record(self._parts.host, what, self._place, cause, {}, after)


def find_changed(change: planner.WritePlan) -> list[str]:
    """Find the hosts for which a plan wants something new."""
    before = change.previous.wanted if change.previous is not None else {}
    return [h for h, wanted in change.wanted.items() if before.get(h) != wanted]
