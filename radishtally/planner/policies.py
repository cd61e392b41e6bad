"""Policies that decide on the roles of a pool's engines."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final, NamedTuple

from radishtally.configuration.config import Policy
from radishtally.links.messages import DECODE, MIXED, PREFILL
from radishtally.planner.capacity import Speeds, compute_served_share, count_roles
from radishtally.planner.demand import WINDOW_SECONDS, DemandRates

ROLE_CHANGE_SECONDS: Final = 5.0
"""Approximate time that an engine is out of service for the change itself."""
HYSTERESIS: Final = 1.25
"""Required ratio of gain to cost: estimates fluctuate, and reverting costs again."""
MIN_MIX_LAGS: Final = 3.0
"""Number of lags that mixes must last to be worth following."""
MIN_GAIN: Final = 0.01
"""Gain in the served share below which the estimates are too inaccurate."""
BUSY_UTILIZATION: Final = 0.85
"""Utilization above which a stage needs another engine."""
IDLE_UTILIZATION: Final = 0.6
"""Utilization below which a stage can spare an engine."""
ROLES: Final = (MIXED, PREFILL, DECODE)


class Pool(NamedTuple):
    """Identify the engines of one upstream in one place."""

    upstream: str
    place: str


class EngineView(NamedTuple):
    """Describe an engine by its last report."""

    host: str
    role: str
    model: str
    requests: int
    """Running and queued requests."""
    configured_role: str
    """Role set by operators; empty if not configured."""
    draining: bool = False


class PoolView(NamedTuple):
    """Describe the pool that a policy decides on."""

    pool: Pool
    engines: tuple[EngineView, ...]
    demand: DemandRates
    speeds: Speeds
    """Speeds of every role."""
    remaining: float
    """Predicted seconds that the current mix will last."""
    mix_length: float
    """Predicted total length of a mix in seconds."""
    history: tuple[DemandRates, ...]
    """Samples of the demand of the last minutes."""
    history_seconds: float
    """Seconds that the history covers."""
    last_change: float | None
    """Time at which the last role change was confirmed or abandoned."""
    changing: bool
    """Whether a change is in progress and not confirmed yet."""


class Decision(NamedTuple):
    """Assign a role to an engine."""

    host: str
    role: str
    cause: str
    """Explanation with figures, for operators."""


class Move(NamedTuple):
    """Describe a change of one engine's role."""

    before: str
    after: str


class Estimate(NamedTuple):
    """Hold the estimated effects of a move."""

    served_now: float
    served_during: float
    served_after: float
    gain: float
    """Requests saved once the move is done."""
    loss: float
    """Requests lost while the engine is away and after the mix has ended."""
    seconds: float
    """Time over which the move was evaluated."""


class MoveCounts(NamedTuple):
    """Count the engines of each role before, during and after a move."""

    now: dict[str, int]
    during: dict[str, int]
    after: dict[str, int]


def decide(pool: PoolView, policy: Policy, now: float) -> Decision | None:
    """Decide on the next role change of a pool, if there should be one."""
    # One change at a time: the estimate does not cover two engines being away, and
    # until the first change is confirmed, reports show an intermediate state of the
    # pool.
    if pool.changing:
        return None
    # Right after a change, reports still show the old split. Without the dwell time,
    # the same shortage would cause a second change.
    if is_dwelling(pool, policy, now):
        return None
    return POLICIES[policy.planning](pool, policy)


def is_dwelling(pool: PoolView, policy: Policy, now: float) -> bool:
    """Return whether the dwell time after the last change is not over."""
    if pool.last_change is None:
        return False
    return now - pool.last_change < policy.min_dwell_seconds


def keep_all(pool: PoolView, policy: Policy) -> Decision | None:
    """Keep all roles as they are."""
    return None


def restore_configured(pool: PoolView, policy: Policy) -> Decision | None:
    """Return engines to their configured roles, one at a time."""
    for engine in sorted(pool.engines):
        wanted = engine.configured_role
        if not wanted or wanted == engine.role or not may_change(engine, pool):
            continue
        cause = f"configured as {wanted}, is {engine.role}"
        return Decision(engine.host, wanted, cause)
    return None


def follow_threshold(pool: PoolView, policy: Policy) -> Decision | None:
    """Move an engine from an idle stage to a busy one."""
    prefill, decode = compute_utilization(pool)
    if prefill > BUSY_UTILIZATION and decode < IDLE_UTILIZATION:
        order = (Move(DECODE, PREFILL), Move(MIXED, PREFILL))
    elif decode > BUSY_UTILIZATION and prefill < IDLE_UTILIZATION:
        order = (Move(PREFILL, DECODE), Move(MIXED, DECODE))
    else:
        return None
    cause = f"prefill in use {prefill:.0%}, decode {decode:.0%}"
    for move in order:
        engine = find_engine(pool, move)
        if engine is not None:
            return Decision(engine.host, move.after, cause)
    return None


def follow_cost(pool: PoolView, policy: Policy) -> Decision | None:
    """Change a role if it saves clearly more requests than it costs."""
    best: tuple[float, Move, Estimate] | None = None
    for move in list_moves(pool):
        estimate = estimate_move(pool, move, policy)
        net = compute_net_gain(estimate, policy)
        if net > 0 and (best is None or net > best[0]):
            best = (net, move, estimate)
    if best is None:
        return None
    _, move, estimate = best
    engine = find_engine(pool, move)
    if engine is None:
        return None
    return Decision(engine.host, move.after, explain(pool, move, estimate, policy))


def list_moves(pool: PoolView) -> list[Move]:
    """List the moves for which an engine is available."""
    moves = [Move(a, b) for a in ROLES for b in ROLES if a != b]
    return [move for move in moves if find_engine(pool, move) is not None]


def estimate_move(pool: PoolView, move: Move, policy: Policy) -> Estimate:
    """Estimate the requests that a move saves and loses."""
    split = count_move_roles(pool, move)
    # If a mix ends before the engines have adapted to it, they have the wrong split for
    # the next one. With a new mix each minute, following it serves fewer requests than
    # no change at all. The best split for all recent mixes together is chosen then.
    if pool.mix_length < MIN_MIX_LAGS * compute_lag(policy):
        # A history that is no longer than the lag does not justify a change either.
        seconds = max(0.0, pool.history_seconds - compute_lag(policy))
        return estimate_for_demand(pool.history, seconds, split, pool, policy)
    estimate = estimate_for_demand((pool.demand,), pool.remaining, split, pool, policy)
    history_gain = compute_lag(policy) * estimate_gain_rate(pool.history, split, pool)
    return estimate._replace(loss=estimate.loss - min(0.0, history_gain))


def count_move_roles(pool: PoolView, move: Move) -> MoveCounts:
    """Count the roles before, during and after a move."""
    counts = count_roles([item.role for item in pool.engines if not item.draining])
    during = {**counts, move.before: counts[move.before] - 1}
    after = {**during, move.after: during[move.after] + 1}
    return MoveCounts(counts, during, after)


def estimate_for_demand(
    samples: Sequence[DemandRates],
    seconds: float,
    split: MoveCounts,
    pool: PoolView,
    policy: Policy,
) -> Estimate:
    """Estimate a move, assuming that the sampled demand continues for some seconds."""
    rate = sum(item.requests for item in samples) / max(1, len(samples))
    now, during, after = (
        compute_mean_served_share(samples, counts, pool.speeds) for counts in split
    )
    downtime = compute_downtime(policy)
    gain = (after - now) * rate * max(0.0, seconds - downtime)
    loss = (now - during) * rate * downtime
    return Estimate(now, during, after, gain, loss, seconds)


def estimate_gain_rate(
    samples: Sequence[DemandRates], split: MoveCounts, pool: PoolView
) -> float:
    """Return the requests per second that a move gains for the sampled demand."""
    rate = sum(item.requests for item in samples) / max(1, len(samples))
    now = compute_mean_served_share(samples, split.now, pool.speeds)
    return rate * (compute_mean_served_share(samples, split.after, pool.speeds) - now)


def compute_mean_served_share(
    samples: Sequence[DemandRates], counts: Mapping[str, int], speeds: Speeds
) -> float:
    """Return the served share of all sampled requests."""
    requests = sum(item.requests for item in samples)
    if requests <= 0:
        return 1.0
    served = sum(
        item.requests * compute_served_share(item, counts, speeds) for item in samples
    )
    return served / requests


def compute_downtime(policy: Policy) -> float:
    """Return the seconds that a role change takes an engine out of service."""
    return policy.drain_seconds + ROLE_CHANGE_SECONDS


def compute_lag(policy: Policy) -> float:
    """Return the seconds from a new mix to the end of the role change for it."""
    return WINDOW_SECONDS + policy.min_dwell_seconds + compute_downtime(policy)


def compute_net_gain(estimate: Estimate, policy: Policy) -> float:
    """Return a move's net gain by the operators' policy; above 0 it is worthwhile."""
    if estimate.served_after - estimate.served_now < MIN_GAIN:
        return 0.0
    cost = policy.goodput_weight * estimate.loss + policy.role_change_cost
    return policy.goodput_weight * estimate.gain - HYSTERESIS * cost


def explain(pool: PoolView, move: Move, estimate: Estimate, policy: Policy) -> str:
    """Explain why the move is worthwhile."""
    demand = pool.demand
    return (
        f"{move.before} to {move.after}: asked {demand.requests:.1f} requests/s, "
        f"{demand.prefill_tokens:.0f} prefill and {demand.decode_tokens:.0f} decode "
        f"tokens/s; served {estimate.served_now:.0%} now, "
        f"{estimate.served_during:.0%} during, {estimate.served_after:.0%} after; "
        f"weighed over {estimate.seconds:.0f} s: saves {estimate.gain:.1f} "
        f"requests, loses {estimate.loss:.1f}, a change costs "
        f"{policy.role_change_cost:.1f}"
    )


def compute_utilization(pool: PoolView) -> tuple[float, float]:
    """Return the utilization of prefill and decode capacity by the demand."""
    counts = count_roles([item.role for item in pool.engines if not item.draining])
    half_mixed = counts[MIXED] / 2
    mixed = pool.speeds[MIXED]
    prefill = counts[PREFILL] * pool.speeds[PREFILL].prefill_tokens
    prefill += half_mixed * mixed.prefill_tokens
    decode = counts[DECODE] * pool.speeds[DECODE].decode_tokens
    decode += half_mixed * mixed.decode_tokens
    return compute_ratio(pool.demand.prefill_tokens, prefill), compute_ratio(
        pool.demand.decode_tokens, decode
    )


def compute_ratio(demand: float, capacity: float) -> float:
    """Divide demand by capacity; infinite for demand without capacity."""
    if capacity > 0:
        return demand / capacity
    return float("inf") if demand > 0 else 0.0


def find_engine(pool: PoolView, move: Move) -> EngineView | None:
    """Return the engine that is least affected by the move."""
    candidates = [
        item
        for item in pool.engines
        if item.role == move.before and may_change(item, pool)
    ]
    # An engine away from its configured role goes first.
    return min(
        candidates,
        key=lambda item: (item.configured_role != move.after, item.requests, item.host),
        default=None,
    )


def may_change(engine: EngineView, pool: PoolView) -> bool:
    """Return whether the pool serves all models and stages without the engine."""
    if engine.draining:
        return False
    others = [
        item for item in pool.engines if item.host != engine.host and not item.draining
    ]
    # The engine is out of service during the change. Without the last engine of a
    # model, all its callers would be refused; without the last of a role, its stage
    # would stop.
    if not any(item.model == engine.model for item in others):
        return False
    if any(item.role == engine.role for item in others):
        return True
    return is_surplus_role(engine.role, pool, others)


def is_surplus_role(role: str, pool: PoolView, others: list[EngineView]) -> bool:
    """Return whether the pool can do without a role.

    A role that is configured for no engine was introduced by the planner. Its last
    engine must be able to return, as long as mixed engines also serve its stage.
    """
    if role == MIXED or any(item.configured_role == role for item in pool.engines):
        return False
    return any(item.role == MIXED for item in others)


PlanningPolicy = Callable[[PoolView, Policy], Decision | None]

POLICIES: Final[dict[str, PlanningPolicy]] = {
    "off": keep_all,
    "static": restore_configured,
    "threshold": follow_threshold,
    "cost": follow_cost,
}
