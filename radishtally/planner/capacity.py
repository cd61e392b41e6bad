"""Fluid model of the demand that a pool's engines can serve."""

from collections.abc import Mapping, Sequence
from math import inf
from typing import Final, NamedTuple

from radishtally.links.messages import DECODE, MIXED, PREFILL
from radishtally.planner.demand import DemandRates

HEADROOM: Final = 0.85
"""Utilization of an engine up to which deadlines are met."""


class Speed(NamedTuple):
    """Hold an engine's tokens per second, each for an engine that does nothing else."""

    prefill_tokens: float
    decode_tokens: float


class StageLoad(NamedTuple):
    """Compare the demand for prefill or decode with the capacity for it."""

    demand: float
    """Tokens per second, as in the other fields."""
    dedicated: float
    """Capacity of the engines of the stage's own role."""
    mixed: float
    """Capacity of one mixed engine."""

    def compute_dedicated_share(self) -> float:
        """Return the share of the demand that the dedicated engines can serve."""
        return self.dedicated / self.demand if self.demand > 0 else inf

    def compute_mixed_engines(self) -> float:
        """Return the number of mixed engines that would serve the whole demand."""
        return self.demand / self.mixed if self.mixed > 0 else inf


Speeds = Mapping[str, Speed]

RELATIVE_SPEEDS: Final[Speeds] = {
    MIXED: Speed(1.0, 1.0),
    PREFILL: Speed(1.3, 0.3),
    DECODE: Speed(0.5, 2.0),
}
"""Speed of each role relative to a mixed engine, until one of the role has reported."""


def complete_speeds(reported: Speeds) -> dict[str, Speed]:
    """Add estimated speeds for roles that no engine has reported."""
    if not reported:
        return {}
    known, speed = next(iter(sorted(reported.items())))
    base = RELATIVE_SPEEDS[known]
    prefill = speed.prefill_tokens / base.prefill_tokens
    decode = speed.decode_tokens / base.decode_tokens
    estimated = {
        role: Speed(prefill * item.prefill_tokens, decode * item.decode_tokens)
        for role, item in RELATIVE_SPEEDS.items()
    }
    return {**estimated, **reported}


def compute_served_share(
    demand: DemandRates, counts: Mapping[str, int], speeds: Speeds
) -> float:
    """Return the share of the demand that engines of these roles can serve."""
    prefill = StageLoad(
        demand.prefill_tokens,
        HEADROOM * counts.get(PREFILL, 0) * speeds[PREFILL].prefill_tokens,
        speeds[MIXED].prefill_tokens,
    )
    decode = StageLoad(
        demand.decode_tokens,
        HEADROOM * counts.get(DECODE, 0) * speeds[DECODE].decode_tokens,
        speeds[MIXED].decode_tokens,
    )
    first, second = sorted((prefill, decode), key=StageLoad.compute_dedicated_share)
    mixed = HEADROOM * counts.get(MIXED, 0)
    if mixed <= 0:
        return min(1.0, first.compute_dedicated_share())
    return min(1.0, distribute_mixed(first, second, mixed))


def distribute_mixed(first: StageLoad, second: StageLoad, mixed: float) -> float:
    """Return the served share; mixed engines first help the first, shorter stage."""
    share = first.compute_dedicated_share() + mixed / first.compute_mixed_engines()
    if share <= second.compute_dedicated_share():
        return share
    needs = first.compute_mixed_engines() + second.compute_mixed_engines()
    dedicated = first.dedicated / first.mixed + second.dedicated / second.mixed
    return (mixed + dedicated) / needs


def compute_prefill_share(demand: DemandRates, speeds: Speeds) -> float:
    """Return the share of prefill in the demanded engine-seconds."""
    mixed = speeds[MIXED]
    prefill = (
        demand.prefill_tokens / mixed.prefill_tokens if mixed.prefill_tokens else 0
    )
    decode = demand.decode_tokens / mixed.decode_tokens if mixed.decode_tokens else 0
    return prefill / (prefill + decode) if prefill + decode > 0 else 0.5


def count_roles(roles: Sequence[str]) -> dict[str, int]:
    """Count the engines of each role."""
    return {role: roles.count(role) for role in (MIXED, PREFILL, DECODE)}
