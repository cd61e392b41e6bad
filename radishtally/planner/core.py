"""Planner of the engines' roles: handles events and returns commands."""

from functools import singledispatch
from typing import Final, NamedTuple

from radishtally.authority.plan import Plan, Wanted
from radishtally.configuration.config import Policy
from radishtally.links.messages import Load
from radishtally.planner.capacity import (
    Speed,
    complete_speeds,
    compute_prefill_share,
)
from radishtally.planner.demand import (
    DemandEstimator,
    DemandHistory,
    DemandRates,
    MixTracker,
    WorkCounters,
)
from radishtally.planner.policies import (
    Decision,
    EngineView,
    Pool,
    PoolView,
    decide,
)

__all__ = ["WorkCounters", "Decision", "EngineView", "Pool", "PoolView", "decide"]

STALE_SECONDS: Final = 10.0
"""Age beyond which a report no longer shows that the engine is alive."""
CHANGE_TIMEOUT_SECONDS: Final = 60.0
"""Time after the drain until an unconfirmed change stops blocking others."""
BACKLOG_SECONDS: Final = 10.0
"""Time within which waiting prefill should be done."""


class LoadReported(NamedTuple):
    """Event: an engine's agent reported its load."""

    pool: Pool
    load: Load
    counts: WorkCounters


class HostGone(NamedTuple):
    """Event: an engine's host was removed."""

    host: str


class Configured(NamedTuple):
    """Event: a configuration is in force."""

    policy: Policy
    roles: dict[str, str]
    """Configured roles by host."""


class LeaseGained(NamedTuple):
    """Event: this process holds the lease, and the stored plan has been read."""

    fencing: int
    plan: Plan | None


class LeaseLost(NamedTuple):
    """Event: this process no longer holds the lease."""


class PlanWritten(NamedTuple):
    """Event: the plan was written to the table."""

    plan: Plan


class PlanNotWritten(NamedTuple):
    """Event: the plan was definitely not written to the table."""


class Tick(NamedTuple):
    """Event: time has passed."""


class WritePlan(NamedTuple):
    """Command: write a plan in a transaction that checks the lease row."""

    fencing: int
    previous: Plan | None
    wanted: dict[str, Wanted]
    cause: str


class TimedLoad(NamedTuple):
    """Hold an engine's last reported load and its time."""

    load: Load
    at: float


class PoolState:
    """Hold the planner's state of one pool."""

    def __init__(self, pool: Pool, now: float) -> None:
        self.pool = pool
        self.reports: dict[str, TimedLoad] = {}
        self.demand = DemandEstimator(now)
        self.mix = MixTracker()
        self.history = DemandHistory()
        self.speeds: dict[str, Speed] = {}
        self.last_change: float | None = None

    def record_load(self, load: Load, now: float) -> None:
        """Record an engine's load."""
        before = self.reports.get(load.host)
        self.reports[load.host] = TimedLoad(load, now)
        if before is not None and before.load.role != load.role:
            self.last_change = now
        if load.prefill_rate > 0 and load.decode_seconds > 0:
            decode = load.slots / load.decode_seconds
            self.speeds[load.role] = Speed(load.prefill_rate, decode)

    def estimate_demand(self, now: float) -> DemandRates:
        """Return the demand on the pool, including queued prefill."""
        demand = self.demand.read(now)
        waiting = sum(
            item.load.prefill_backlog * item.load.prefill_rate
            for item in self.reports.values()
        )
        prefill = demand.prefill_tokens + waiting / BACKLOG_SECONDS
        return demand._replace(prefill_tokens=prefill)


class Planner:
    """Track a place's pools, and plan role changes while holding the lease."""

    def __init__(self) -> None:
        self.pools: dict[Pool, PoolState] = {}
        self.policy = Policy()
        self.roles: dict[str, str] = {}
        self.fencing: int | None = None
        """Fencing token of the lease; None if it is not held."""
        self.plan: Plan | None = None
        """Plan as last read from or written to the table."""
        self.pending: WritePlan | None = None
        """Plan whose write is in flight."""
        self.unconfirmed: dict[str, float] = {}
        """Time since when a host's planned change has been unconfirmed."""

    def get_pool(self, pool: Pool, now: float) -> PoolState:
        """Return the state of a pool; create it if needed."""
        if pool not in self.pools:
            self.pools[pool] = PoolState(pool, now)
        return self.pools[pool]

    def find_load(self, host: str) -> Load | None:
        """Return the last load of an engine."""
        for state in self.pools.values():
            if host in state.reports:
                return state.reports[host].load
        return None

    def is_changing(self, state: PoolState) -> bool:
        """Return whether a role change of the pool may be in progress."""
        # A host without a report may belong to any pool.
        return any(
            host in state.reports or self.find_load(host) is None
            for host in self.unconfirmed
        )

    def track_unconfirmed(self, now: float) -> None:
        """Track the hosts that do not yet report their planned role."""
        wanted = self.plan.wanted if self.plan is not None else {}
        self.unconfirmed = {
            host: self.unconfirmed.get(host, now)
            for host, item in wanted.items()
            if not reports_role(self.find_load(host), item.role)
        }

    def reset_plan(self) -> None:
        """Drop the plan and pending changes: the next lease holder reads the table."""
        self.plan = None
        self.pending = None
        self.unconfirmed = {}

    def describe_pool(self, state: PoolState, now: float) -> PoolView:
        """Build the view of a pool that policies decide on."""
        return PoolView(
            pool=state.pool,
            engines=tuple(
                self._view_engine(item.load)
                for item in state.reports.values()
                if now - item.at < STALE_SECONDS
            ),
            demand=state.estimate_demand(now),
            speeds=complete_speeds(state.speeds),
            remaining=state.mix.predict_remaining(now),
            mix_length=state.mix.predict_length(now),
            history=state.history.list_samples(),
            history_seconds=state.history.measure_span(now),
            last_change=state.last_change,
            changing=self.pending is not None or self.is_changing(state),
        )

    def _view_engine(self, load: Load) -> EngineView:
        return EngineView(
            host=load.host,
            role=load.role,
            model=load.model,
            requests=load.running + load.queued,
            configured_role=self.roles.get(load.host, ""),
            draining=load.draining,
        )


@singledispatch
def handle(event: object, planner: Planner, now: float) -> list[WritePlan]:
    """Handle one event and return the commands to execute."""
    raise TypeError(f"unknown event: {type(event).__name__}")


@handle.register
def _(event: LoadReported, planner: Planner, now: float) -> list[WritePlan]:
    state = planner.get_pool(event.pool, now)
    state.record_load(event.load, now)
    state.demand.record_counters(event.load.host, event.counts, now)
    confirm_change(event.load, planner, state, now)
    return []


@handle.register
def _(event: HostGone, planner: Planner, now: float) -> list[WritePlan]:
    for state in planner.pools.values():
        state.reports.pop(event.host, None)
        state.demand.forget(event.host)
    return []


@handle.register
def _(event: Configured, planner: Planner, now: float) -> list[WritePlan]:
    planner.policy = event.policy
    planner.roles = event.roles
    return []


@handle.register
def _(event: LeaseGained, planner: Planner, now: float) -> list[WritePlan]:
    planner.reset_plan()
    planner.fencing = event.fencing
    planner.plan = event.plan
    # The former holder may have crashed during a change, which counts as in progress
    # until the engine reports its new role.
    planner.track_unconfirmed(now)
    return []


@handle.register
def _(event: LeaseLost, planner: Planner, now: float) -> list[WritePlan]:
    planner.fencing = None
    planner.reset_plan()
    return []


@handle.register
def _(event: PlanWritten, planner: Planner, now: float) -> list[WritePlan]:
    # The lease was lost meanwhile; the stored plan is read when it is gained again.
    if planner.pending is None or planner.pending.fencing != event.plan.fencing:
        return []
    planner.pending = None
    planner.plan = event.plan
    planner.track_unconfirmed(now)
    return []


@handle.register
def _(event: PlanNotWritten, planner: Planner, now: float) -> list[WritePlan]:
    planner.pending = None
    return []


@handle.register
def _(event: Tick, planner: Planner, now: float) -> list[WritePlan]:
    drop_overdue_changes(planner, now)
    for state in planner.pools.values():
        record_mix(state, now)
    for state in planner.pools.values():
        command = plan_pool(state, planner, now)
        if command is not None:
            planner.pending = command
            return [command]
    return []


def reports_role(load: Load | None, role: str) -> bool:
    """Return whether an engine reports to be active in the role."""
    return load is not None and load.role == role and not load.draining


def confirm_change(load: Load, planner: Planner, state: PoolState, now: float) -> None:
    """Confirm the change of an engine that reports its planned role."""
    if load.host not in planner.unconfirmed or planner.plan is None:
        return
    if not reports_role(load, planner.plan.wanted[load.host].role):
        return
    del planner.unconfirmed[load.host]
    state.last_change = now


def record_mix(state: PoolState, now: float) -> None:
    """Record the current mix and demand of the pool."""
    speeds = complete_speeds(state.speeds)
    demand = state.demand.read(now)
    if not speeds or not demand.requests:
        return
    state.mix.record_share(compute_prefill_share(demand, speeds), now)
    state.history.add_sample(demand, now)


def drop_overdue_changes(planner: Planner, now: float) -> None:
    """Stop waiting for changes that were not confirmed in time."""
    # An engine that crashed during its change would block its pool forever. The plan
    # stays in force: if the engine comes back, it carries the change out.
    timeout = planner.policy.drain_seconds + CHANGE_TIMEOUT_SECONDS
    for host, since in list(planner.unconfirmed.items()):
        if now - since >= timeout:
            del planner.unconfirmed[host]
            record_abandoned_change(host, planner, now)


def record_abandoned_change(host: str, planner: Planner, now: float) -> None:
    """Start the dwell time of the host's pool, as after a change."""
    for state in planner.pools.values():
        if host in state.reports:
            state.last_change = now


def plan_pool(state: PoolState, planner: Planner, now: float) -> WritePlan | None:
    """Plan a change of a pool, if this process holds the lease."""
    if planner.fencing is None or not state.speeds:
        return None
    decision = decide(planner.describe_pool(state, now), planner.policy, now)
    if decision is None:
        return None
    wanted = dict(planner.plan.wanted) if planner.plan is not None else {}
    load = state.reports[decision.host].load
    as_is = Wanted(load.role, load.model, load.version, load.adapters)
    before = wanted.get(decision.host, as_is)
    wanted[decision.host] = before._replace(role=decision.role)
    return WritePlan(planner.fencing, planner.plan, wanted, decision.cause)
