"""Contend for one place's planner lease, and plan while it is held."""

import asyncio
import time
from typing import Any, Final

from eliot import log_message

from radishtally.audit.store import AuditLog
from radishtally.authority.holder import LeaseHolder
from radishtally.authority.plan import PLAN, Plan, Wanted
from radishtally.authority.plans import Plans, Superseded
from radishtally.configuration.config import Configuration, Engines
from radishtally.links.hub import LinkHub
from radishtally.links.messages import Hint, Load
from radishtally.planner import core as planner
from radishtally.planner.core import Planner, Pool, handle
from radishtally.platform.core import Table

TICK_SECONDS: Final = 1.0
REREAD_SECONDS: Final = 1.0


class PlacePlanning:
    """Drive the lease and the planner of one entry for one place."""

    def __init__(
        self,
        host: str,
        place: str,
        incarnation: str,
        table: Table,
        plans: Plans,
        audit: AuditLog,
        hub: LinkHub,
    ) -> None:
        self._host = host
        self._place = place
        self._plans = plans
        self._audit = audit
        self._hub = hub
        self._planner = Planner()
        self._configuration: Configuration | None = None
        self._plan: Plan | None = None
        self._loads: dict[str, Load] = {}
        self._tasks: set[asyncio.Task] = set()
        self._lease = LeaseHolder(
            table,
            place,
            host,
            incarnation,
            on_gained=self._gained,
            on_lost=self._lost,
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
        self._configuration = configuration
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
        self._loads[load.host] = load
        counts = planner.Counts(
            load.prompt_tokens, load.output_tokens, load.requests, load.refused
        )
        self._feed(planner.Reported(Pool(upstream, place), load, counts))

    def host_gone(self, host: str) -> None:
        """Take the loss of a host."""
        self._loads.pop(host, None)
        self._feed(planner.HostGone(host))

    def describe(self) -> dict[str, Any]:
        """Tell whether this entry plans for its place."""
        return {"holds_lease": self._lease.holds(), "fencing": self._lease.fencing}

    def describe_host(self, host: str) -> dict[str, Any] | None:
        """Tell what the last plan known here wants of a host."""
        if self._plan is None or host not in self._plan.wanted:
            return None
        wanted = self._plan.wanted[host]._asdict()
        return {"number": self._plan.number, "cause": self._plan.cause, **wanted}

    def describe_pools(self) -> dict[str, Any]:
        """Tell what is asked of the place's pools, as known here."""
        now = time.monotonic()
        views = [self._planner.view(s, now) for s in self._planner.pools.values()]
        return {
            view.pool.upstream: {
                "asked": view.asked._asdict(),
                "mix_lasts": round(view.remaining, 1),
                "changing": view.changing,
                "roles": {engine.host: engine.role for engine in view.engines},
            }
            for view in views
        }

    def _feed(self, event: object) -> None:
        for command in handle(event, self._planner, time.monotonic()):
            self._spawn(self._write(command.plan))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
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
        self._feed(planner.LostLease())

    async def _take_over(self, fencing: int) -> None:
        """Read the plan as it stands before anything is planned on top of it."""
        while self._lease.fencing == fencing:
            read = await self._plans.read_plan(self._place)
            if read.is_ok():
                self._plan = read.ok
                self._feed(planner.Gained(fencing, self._read_changes()))
                return
            await asyncio.sleep(REREAD_SECONDS)

    def _read_changes(self) -> tuple[planner.Plan, ...]:
        """Give the plan's wishes that the engines have not met, one for each pool."""
        if self._plan is None:
            return ()
        found: dict[Pool, planner.Plan] = {}
        for host, wanted in self._plan.wanted.items():
            pool = self._find_pool(host)
            load = self._loads.get(host)
            met = load is not None and load.role == wanted.role
            if pool is None or (met and pool in found):
                continue
            fencing = self._plan.fencing
            found[pool] = planner.Plan(
                pool, self._plan.number, fencing, host, wanted.role, self._plan.cause
            )
        return tuple(found.values())

    def _find_pool(self, host: str) -> Pool | None:
        for name, upstream in self._list_engines():
            if host in upstream.servers:
                return Pool(name, upstream.servers[host].place)
        return None

    def _list_engines(self) -> list[tuple[str, Engines]]:
        if self._configuration is None:
            return []
        upstreams = self._configuration.upstreams.items()
        return [
            (name, found) for name, found in upstreams if isinstance(found, Engines)
        ]

    async def _write(self, change: planner.Plan) -> None:
        """Put a role change in force as the place's next plan."""
        wanted = dict(self._plan.wanted) if self._plan is not None else {}
        load = self._loads.get(change.host)
        if load is None:
            self._feed(planner.PlanNotWritten(change))
            return
        wanted[change.host] = Wanted(
            change.role, load.model, load.version, load.adapters
        )
        written = await self._plans.write_plan(
            self._place, self._plan, wanted, change.cause, self._lease
        )
        if written.is_error():
            log_message("plan:not_written", error=str(written.error))
            if isinstance(written.error, Superseded):
                self._plan = written.error.current
            self._feed(planner.PlanNotWritten(change))
            return
        self._plan = written.ok
        log_message("plan:written", number=written.ok.number, cause=change.cause)
        self._feed(planner.PlanWritten(change))
        self._hub.send(change.host, Hint(PLAN, self._place))

    def _record(self, what: str, cause: str, after: dict[str, Any]) -> None:
        self._audit.record(self._host, what, self._place, cause, {}, after)
