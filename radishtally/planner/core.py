"""Planner of the engines' roles: takes events in and gives commands back."""

from functools import singledispatch
from typing import Final, NamedTuple

from radishtally.authority.plan import Plan, Wanted
from radishtally.configuration.config import Policy
from radishtally.links.messages import Load
from radishtally.planner.capacity import (
    Speed,
    complete_speeds,
    find_prefill_share,
)
from radishtally.planner.demand import Demand, DemandRates, History, Mix, WorkCounters
from radishtally.planner.policies import (
    Decision,
    EngineView,
    Pool,
    PoolView,
    decide,
)

__all__ = ["WorkCounters", "Decision", "EngineView", "Pool", "PoolView", "decide"]

STALE_SECONDS: Final = 10.0
"""Age from which a report no longer shows that the engine is there."""
CHANGE_SECONDS: Final = 60.0
"""Time beyond the drain after which an unconfirmed change no longer blocks others."""
BACKLOG_SECONDS: Final = 10.0
"""Time within which waiting prefill should be worked off."""


class LoadReported(NamedTuple):
    """Bring the load that an engine's agent reported."""

    pool: Pool
    load: Load
    counts: WorkCounters


class HostGone(NamedTuple):
    """Say that an engine's host is gone."""

    host: str


class Configured(NamedTuple):
    """Say that a configuration is in force."""

    policy: Policy
    roles: dict[str, str]
    """Configured role by host."""


class LeaseGained(NamedTuple):
    """Say that this process holds the lease, and bring the plan as it stands."""

    fencing: int
    plan: Plan | None


class LeaseLost(NamedTuple):
    """Say that this process no longer holds the lease."""


class PlanWritten(NamedTuple):
    """Say that the plan that was to be written stands in the table."""

    plan: Plan


class PlanNotWritten(NamedTuple):
    """Say that the plan surely does not stand in the table."""


class Tick(NamedTuple):
    """Say that time has passed."""


class WritePlan(NamedTuple):
    """Write a plan in a transaction that checks the lease row."""

    fencing: int
    previous: Plan | None
    wanted: dict[str, Wanted]
    cause: str


class Seen(NamedTuple):
    """Hold an engine's last report."""

    load: Load
    at: float


class PoolState:
    """Hold what the planner knows of one pool."""

    def __init__(self, pool: Pool, now: float) -> None:
        self.pool = pool
        self.seen: dict[str, Seen] = {}
        self.demand = Demand(now)
        self.mix = Mix()
        self.history = History()
        self.speeds: dict[str, Speed] = {}
        self.last_change: float | None = None

    def note_load(self, load: Load, now: float) -> None:
        """Take in an engine's load."""
        before = self.seen.get(load.host)
        self.seen[load.host] = Seen(load, now)
        if before is not None and before.load.role != load.role:
            self.last_change = now
        if load.prefill_rate > 0 and load.decode_seconds > 0:
            decode = load.slots / load.decode_seconds
            self.speeds[load.role] = Speed(load.prefill_rate, decode)

    def read_asked(self, now: float) -> DemandRates:
        """Give what is asked of the pool, with what already waits."""
        asked = self.demand.read(now)
        waiting = sum(
            item.load.prefill_backlog * item.load.prefill_rate
            for item in self.seen.values()
        )
        prefill = asked.prefill_tokens + waiting / BACKLOG_SECONDS
        return asked._replace(prefill_tokens=prefill)


class Planner:
    """Keep the view of a place's pools warm, and plan while holding the lease."""

    def __init__(self) -> None:
        self.pools: dict[Pool, PoolState] = {}
        self.policy = Policy()
        self.roles: dict[str, str] = {}
        self.fencing: int | None = None
        """Fencing number of the lease while it is held."""
        self.plan: Plan | None = None
        """Plan that stands in the table."""
        self.pending: WritePlan | None = None
        """Plan whose write has not ended."""
        self.awaited: dict[str, float] = {}
        """Since when the plan is to be carried out, by host that does not show it."""

    def get_pool(self, pool: Pool, now: float) -> PoolState:
        """Get what is known of a pool."""
        if pool not in self.pools:
            self.pools[pool] = PoolState(pool, now)
        return self.pools[pool]

    def find_load(self, host: str) -> Load | None:
        """Find the last load of an engine."""
        for state in self.pools.values():
            if host in state.seen:
                return state.seen[host].load
        return None

    def is_changing(self, state: PoolState) -> bool:
        """Tell whether a change of the pool may be under way."""
        # A host that nobody reported on yet may be of any pool.
        return any(
            host in state.seen or self.find_load(host) is None for host in self.awaited
        )

    def await_plan(self, now: float) -> None:
        """Wait for the hosts that do not show yet what the plan wants of them."""
        wanted = self.plan.wanted if self.plan is not None else {}
        self.awaited = {
            host: self.awaited.get(host, now)
            for host, item in wanted.items()
            if not shows_role(self.find_load(host), item.role)
        }

    def drop_intentions(self) -> None:
        """Forget what was planned or assumed: only the table tells the next holder."""
        self.plan = None
        self.pending = None
        self.awaited = {}

    def describe_pool(self, state: PoolState, now: float) -> PoolView:
        """Describe a pool for a decision."""
        return PoolView(
            pool=state.pool,
            engines=tuple(
                self._view_engine(item.load)
                for item in state.seen.values()
                if now - item.at < STALE_SECONDS
            ),
            demand=state.read_asked(now),
            speeds=complete_speeds(state.speeds),
            remaining=state.mix.predict_remaining(now),
            mix_length=state.mix.predict_length(now),
            history=state.history.list_asked(),
            span=state.history.find_span(now),
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
    """Take in one event and return what is to be done."""
    raise TypeError(f"unknown event: {type(event).__name__}")


@handle.register
def _(event: LoadReported, planner: Planner, now: float) -> list[WritePlan]:
    state = planner.get_pool(event.pool, now)
    state.note_load(event.load, now)
    state.demand.note(event.load.host, event.counts, now)
    confirm(event.load, planner, state, now)
    return []


@handle.register
def _(event: HostGone, planner: Planner, now: float) -> list[WritePlan]:
    for state in planner.pools.values():
        state.seen.pop(event.host, None)
        state.demand.forget(event.host)
    return []


@handle.register
def _(event: Configured, planner: Planner, now: float) -> list[WritePlan]:
    planner.policy = event.policy
    planner.roles = event.roles
    return []


@handle.register
def _(event: LeaseGained, planner: Planner, now: float) -> list[WritePlan]:
    planner.drop_intentions()
    planner.fencing = event.fencing
    planner.plan = event.plan
    # The former holder may have died in the middle of a change: it counts as under way
    # until the engine's report shows it done.
    planner.await_plan(now)
    return []


@handle.register
def _(event: LeaseLost, planner: Planner, now: float) -> list[WritePlan]:
    planner.fencing = None
    planner.drop_intentions()
    return []


@handle.register
def _(event: PlanWritten, planner: Planner, now: float) -> list[WritePlan]:
    # The lease was lost meanwhile: what stands now is read when it is gained again.
    if planner.pending is None or planner.pending.fencing != event.plan.fencing:
        return []
    planner.pending = None
    planner.plan = event.plan
    planner.await_plan(now)
    return []


@handle.register
def _(event: PlanNotWritten, planner: Planner, now: float) -> list[WritePlan]:
    planner.pending = None
    return []


@handle.register
def _(event: Tick, planner: Planner, now: float) -> list[WritePlan]:
    give_up_changes(planner, now)
    for state in planner.pools.values():
        note_mix(state, now)
    for state in planner.pools.values():
        command = plan_pool(state, planner, now)
        if command is not None:
            planner.pending = command
            return [command]
    return []


def shows_role(load: Load | None, role: str) -> bool:
    """Tell whether an engine reports to work in the role."""
    return load is not None and load.role == role and not load.draining


def confirm(load: Load, planner: Planner, state: PoolState, now: float) -> None:
    """End the wait for an engine that shows what the plan wants of it."""
    if load.host not in planner.awaited or planner.plan is None:
        return
    if not shows_role(load, planner.plan.wanted[load.host].role):
        return
    del planner.awaited[load.host]
    state.last_change = now


def note_mix(state: PoolState, now: float) -> None:
    """Follow the mix that is asked of the pool."""
    speeds = complete_speeds(state.speeds)
    asked = state.demand.read(now)
    if not speeds or not asked.requests:
        return
    state.mix.note(find_prefill_share(asked, speeds), now)
    state.history.note(asked, now)


def give_up_changes(planner: Planner, now: float) -> None:
    """Stop waiting for changes whose engines do not come back."""
    # An engine that crashed within its change would block its pool for good. The plan
    # stands: should the engine come back, it carries it out.
    longest = planner.policy.drain_seconds + CHANGE_SECONDS
    for host, since in list(planner.awaited.items()):
        if now - since >= longest:
            del planner.awaited[host]
            note_given_up(host, planner, now)


def note_given_up(host: str, planner: Planner, now: float) -> None:
    """Let the pool of the host dwell as after a change."""
    for state in planner.pools.values():
        if host in state.seen:
            state.last_change = now


def plan_pool(state: PoolState, planner: Planner, now: float) -> WritePlan | None:
    """Decide on a pool, if this process may."""
    if planner.fencing is None or not state.speeds:
        return None
    decision = decide(planner.describe_pool(state, now), planner.policy, now)
    if decision is None:
        return None
    wanted = dict(planner.plan.wanted) if planner.plan is not None else {}
    load = state.seen[decision.host].load
    as_is = Wanted(load.role, load.model, load.version, load.adapters)
    before = wanted.get(decision.host, as_is)
    wanted[decision.host] = before._replace(role=decision.role)
    return WritePlan(planner.fencing, planner.plan, wanted, decision.cause)
