"""Policies that decide on the roles of a pool's engines."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final, NamedTuple

from radishtally.configuration.config import Policy
from radishtally.links.messages import DECODE, MIXED, PREFILL
from radishtally.planner.capacity import Speeds, count_roles, find_served
from radishtally.planner.demand import WINDOW_SECONDS, DemandRates

SWITCH_SECONDS: Final = 5.0
"""Time that an engine is gone for the change itself, about."""
HYSTERESIS: Final = 1.25
"""Gain over cost that a change needs: figures waver, and a change back costs again."""
FOLLOWED_LAGS: Final = 3.0
"""Lags that a mix must last to be worth following."""
MIN_GAIN: Final = 0.01
"""Gain in the served share below which the figures are not good enough."""
BUSY: Final = 0.85
IDLE: Final = 0.6
ROLES: Final = (MIXED, PREFILL, DECODE)


class Pool(NamedTuple):
    """Name the engines of one upstream in one place."""

    upstream: str
    place: str


class EngineView(NamedTuple):
    """Describe an engine as last reported."""

    host: str
    role: str
    model: str
    requests: int
    """Running and queued."""
    configured_role: str
    """Role that the operators gave it; empty if they did not name it."""
    draining: bool = False


class PoolView(NamedTuple):
    """Describe a pool as the planner sees it."""

    pool: Pool
    engines: tuple[EngineView, ...]
    demand: DemandRates
    speeds: Speeds
    """Of every role."""
    remaining: float
    """Seconds that the present mix will last."""
    mix_length: float
    """Seconds that a mix lasts from end to end."""
    history: tuple[DemandRates, ...]
    """What was asked in the last minutes, sampled."""
    span: float
    """Seconds that the history reaches back."""
    last_change: float | None
    """When the last role change was confirmed or given up."""
    changing: bool
    """A change is under way and not confirmed yet."""


class Decision(NamedTuple):
    """Give an engine a role."""

    host: str
    role: str
    cause: str
    """Text with the figures, for operators."""


class Move(NamedTuple):
    """Describe a change of one engine's role."""

    before: str
    after: str


class Estimate(NamedTuple):
    """Estimate what a move brings."""

    served_now: float
    served_during: float
    served_after: float
    gain: float
    """Requests saved once the move is done."""
    loss: float
    """Requests lost while the engine is gone, and while the mix is over."""
    seconds: float
    """Time over which the move was weighed."""


class Split(NamedTuple):
    """Count the engines of each role before, during and after a move."""

    now: dict[str, int]
    during: dict[str, int]
    after: dict[str, int]


def decide(pool: PoolView, policy: Policy, now: float) -> Decision | None:
    """Decide on the next role change of a pool, if there should be one."""
    # One change at a time: two engines gone at once is more than the estimate weighed,
    # and until the first is confirmed the reports show a pool that is half changed.
    if pool.changing:
        return None
    # Right after a change the reports still show the old split; without a dwell the
    # same shortage would be answered a second time.
    if is_dwelling(pool, policy, now):
        return None
    return POLICIES[policy.planning](pool, policy)


def is_dwelling(pool: PoolView, policy: Policy, now: float) -> bool:
    """Tell whether the last change is too young for another one."""
    if pool.last_change is None:
        return False
    return now - pool.last_change < policy.min_dwell_seconds


def keep_all(pool: PoolView, policy: Policy) -> Decision | None:
    """Leave every engine as it is."""
    return None


def restore_configured(pool: PoolView, policy: Policy) -> Decision | None:
    """Bring engines back to their configured roles, one by one."""
    for engine in sorted(pool.engines):
        wanted = engine.configured_role
        if not wanted or wanted == engine.role or not may_change(engine, pool):
            continue
        cause = f"configured as {wanted}, is {engine.role}"
        return Decision(engine.host, wanted, cause)
    return None


def follow_threshold(pool: PoolView, policy: Policy) -> Decision | None:
    """Move an engine from an idle stage to a busy one."""
    prefill, decode = find_use(pool)
    if prefill > BUSY and decode < IDLE:
        order = (Move(DECODE, PREFILL), Move(MIXED, PREFILL))
    elif decode > BUSY and prefill < IDLE:
        order = (Move(PREFILL, DECODE), Move(MIXED, DECODE))
    else:
        return None
    cause = f"prefill in use {prefill:.0%}, decode {decode:.0%}"
    for move in order:
        engine = find_engine(pool, move)
        if engine is not None:
            return Decision(engine.host, move.after, cause)
    return None


def weigh_cost(pool: PoolView, policy: Policy) -> Decision | None:
    """Change a role where it saves clearly more requests than it costs."""
    best: tuple[float, Move, Estimate] | None = None
    for move in list_moves(pool):
        estimate = estimate_move(pool, move, policy)
        net = weigh(estimate, policy)
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
    """List the moves for which there is an engine."""
    moves = [Move(a, b) for a in ROLES for b in ROLES if a != b]
    return [move for move in moves if find_engine(pool, move) is not None]


def estimate_move(pool: PoolView, move: Move, policy: Policy) -> Estimate:
    """Estimate the requests that a move saves and loses."""
    split = count_split(pool, move)
    # A mix that is over by the time the engines have followed it leaves them in the
    # wrong split for the next one. Chased each minute, the pool served fewer requests
    # than without any change; the best split for all the mixes together is wanted then.
    if pool.mix_length < FOLLOWED_LAGS * find_lag(policy):
        # A history no longer than the lag is no ground for a change either.
        seconds = max(0.0, pool.span - find_lag(policy))
        return estimate_over(pool.history, seconds, split, pool, policy)
    estimate = estimate_over((pool.demand,), pool.remaining, split, pool, policy)
    back = find_lag(policy) * rate_change(pool.history, split, pool)
    return estimate._replace(loss=estimate.loss - min(0.0, back))


def count_split(pool: PoolView, move: Move) -> Split:
    """Count the roles before, during and after a move."""
    counts = count_roles([item.role for item in pool.engines if not item.draining])
    during = {**counts, move.before: counts[move.before] - 1}
    after = {**during, move.after: during[move.after] + 1}
    return Split(counts, during, after)


def estimate_over(
    samples: Sequence[DemandRates],
    seconds: float,
    split: Split,
    pool: PoolView,
    policy: Policy,
) -> Estimate:
    """Estimate a move if what the samples ask goes on for some seconds."""
    rate = sum(item.requests for item in samples) / max(1, len(samples))
    now, during, after = (
        find_mean_served(samples, counts, pool.speeds) for counts in split
    )
    away = find_away(policy)
    gain = (after - now) * rate * max(0.0, seconds - away)
    loss = (now - during) * rate * away
    return Estimate(now, during, after, gain, loss, seconds)


def rate_change(samples: Sequence[DemandRates], split: Split, pool: PoolView) -> float:
    """Find the requests a second that a move gains where the samples' mixes come."""
    rate = sum(item.requests for item in samples) / max(1, len(samples))
    now = find_mean_served(samples, split.now, pool.speeds)
    return rate * (find_mean_served(samples, split.after, pool.speeds) - now)


def find_mean_served(
    samples: Sequence[DemandRates], counts: Mapping[str, int], speeds: Speeds
) -> float:
    """Find the served share of all requests of the samples."""
    requests = sum(item.requests for item in samples)
    if requests <= 0:
        return 1.0
    served = sum(item.requests * find_served(item, counts, speeds) for item in samples)
    return served / requests


def find_away(policy: Policy) -> float:
    """Find the seconds that a role change takes an engine away."""
    return policy.drain_seconds + SWITCH_SECONDS


def find_lag(policy: Policy) -> float:
    """Find the seconds from a turn of the mix to the end of the change it brings."""
    return WINDOW_SECONDS + policy.min_dwell_seconds + find_away(policy)


def weigh(estimate: Estimate, policy: Policy) -> float:
    """Weigh a move by the operators' policy; above 0 it is worth it."""
    if estimate.served_after - estimate.served_now < MIN_GAIN:
        return 0.0
    cost = policy.goodput_weight * estimate.loss + policy.role_change_cost
    return policy.goodput_weight * estimate.gain - HYSTERESIS * cost


def explain(pool: PoolView, move: Move, estimate: Estimate, policy: Policy) -> str:
    """Tell why the move is worth it."""
    asked = pool.demand
    return (
        f"{move.before} to {move.after}: asked {asked.requests:.1f} requests/s, "
        f"{asked.prefill_tokens:.0f} prefill and {asked.decode_tokens:.0f} decode "
        f"tokens/s; served {estimate.served_now:.0%} now, "
        f"{estimate.served_during:.0%} during, {estimate.served_after:.0%} after; "
        f"weighed over {estimate.seconds:.0f} s: saves {estimate.gain:.1f} "
        f"requests, loses {estimate.loss:.1f}, a change costs "
        f"{policy.role_change_cost:.1f}"
    )


def find_use(pool: PoolView) -> tuple[float, float]:
    """Find how much of the prefill and decode engines' time is asked for."""
    counts = count_roles([item.role for item in pool.engines if not item.draining])
    half_mixed = counts[MIXED] / 2
    mixed = pool.speeds[MIXED]
    prefill = counts[PREFILL] * pool.speeds[PREFILL].prefill_tokens
    prefill += half_mixed * mixed.prefill_tokens
    decode = counts[DECODE] * pool.speeds[DECODE].decode_tokens
    decode += half_mixed * mixed.decode_tokens
    return divide(pool.demand.prefill_tokens, prefill), divide(
        pool.demand.decode_tokens, decode
    )


def divide(asked: float, able: float) -> float:
    """Divide what is asked by what can be done."""
    if able > 0:
        return asked / able
    return float("inf") if asked > 0 else 0.0


def find_engine(pool: PoolView, move: Move) -> EngineView | None:
    """Find the engine that the move disturbs least."""
    able = [
        item
        for item in pool.engines
        if item.role == move.before and may_change(item, pool)
    ]
    # An engine away from its configured role goes first.
    return min(
        able,
        key=lambda item: (item.configured_role != move.after, item.requests, item.host),
        default=None,
    )


def may_change(engine: EngineView, pool: PoolView) -> bool:
    """Tell whether the pool still serves everything without the engine."""
    if engine.draining:
        return False
    others = [
        item for item in pool.engines if item.host != engine.host and not item.draining
    ]
    # While it changes the engine is gone: the last one of its model would leave every
    # caller of it refused, the last one of its role would stop that stage.
    if not any(item.model == engine.model for item in others):
        return False
    if any(item.role == engine.role for item in others):
        return True
    return is_surplus_role(engine.role, pool, others)


def is_surplus_role(role: str, pool: PoolView, others: list[EngineView]) -> bool:
    """Tell whether the pool does without a role.

    A role that the operators configured nowhere came from the planner alone. Its last
    engine must be able to go back, as long as mixed engines do its stage too.
    """
    if role == MIXED or any(item.configured_role == role for item in pool.engines):
        return False
    return any(item.role == MIXED for item in others)


Rule = Callable[[PoolView, Policy], Decision | None]

POLICIES: Final[dict[str, Rule]] = {
    "off": keep_all,
    "static": restore_configured,
    "threshold": follow_threshold,
    "cost": weigh_cost,
}
