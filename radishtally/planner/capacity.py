"""Fluid model of what a pool's engines can serve."""

from collections.abc import Mapping, Sequence
from math import inf
from typing import Final, NamedTuple

from radishtally.links.messages import DECODE, MIXED, PREFILL
from radishtally.planner.demand import DemandRates

HEADROOM: Final = 0.85
"""Share of an engine's time that can be used before deadlines are missed."""


class Speed(NamedTuple):
    """Tell what one engine of a role does each second if it does nothing else."""

    prefill_tokens: float
    decode_tokens: float


class Stage(NamedTuple):
    """Set what is asked of prefill or decode beside what there is for it."""

    asked: float
    """Tokens a second, as the others."""
    dedicated: float
    """What the engines of the stage's own role do."""
    mixed: float
    """What one mixed engine does."""

    def find_share(self) -> float:
        """Find the share that the dedicated engines serve."""
        return self.dedicated / self.asked if self.asked > 0 else inf

    def find_need(self) -> float:
        """Find the mixed engines that it would take to serve everything."""
        return self.asked / self.mixed if self.mixed > 0 else inf


Speeds = Mapping[str, Speed]

RELATIVE_SPEEDS: Final[Speeds] = {
    MIXED: Speed(1.0, 1.0),
    PREFILL: Speed(1.3, 0.3),
    DECODE: Speed(0.5, 2.0),
}
"""Speed of a role beside a mixed engine, until an engine of the role reported."""


def complete_speeds(seen: Speeds) -> dict[str, Speed]:
    """Add the speeds of roles that no engine has at present."""
    if not seen:
        return {}
    known, speed = next(iter(sorted(seen.items())))
    base = RELATIVE_SPEEDS[known]
    prefill = speed.prefill_tokens / base.prefill_tokens
    decode = speed.decode_tokens / base.decode_tokens
    guessed = {
        role: Speed(prefill * item.prefill_tokens, decode * item.decode_tokens)
        for role, item in RELATIVE_SPEEDS.items()
    }
    return {**guessed, **seen}


def find_served(asked: DemandRates, counts: Mapping[str, int], speeds: Speeds) -> float:
    """Find the share of what is asked that engines of these roles can serve."""
    prefill = Stage(
        asked.prefill_tokens,
        HEADROOM * counts.get(PREFILL, 0) * speeds[PREFILL].prefill_tokens,
        speeds[MIXED].prefill_tokens,
    )
    decode = Stage(
        asked.decode_tokens,
        HEADROOM * counts.get(DECODE, 0) * speeds[DECODE].decode_tokens,
        speeds[MIXED].decode_tokens,
    )
    first, second = sorted((prefill, decode), key=Stage.find_share)
    mixed = HEADROOM * counts.get(MIXED, 0)
    if mixed <= 0:
        return min(1.0, first.find_share())
    return min(1.0, fill_up(first, second, mixed))


def fill_up(first: Stage, second: Stage, mixed: float) -> float:
    """Find the served share when mixed engines help the stage that is short first."""
    alone = first.find_share() + mixed / first.find_need()
    if alone <= second.find_share():
        return alone
    needs = first.find_need() + second.find_need()
    dedicated = first.dedicated / first.mixed + second.dedicated / second.mixed
    return (mixed + dedicated) / needs


def find_prefill_share(asked: DemandRates, speeds: Speeds) -> float:
    """Find the share of prefill in the engine-seconds that are asked."""
    mixed = speeds[MIXED]
    prefill = asked.prefill_tokens / mixed.prefill_tokens if mixed.prefill_tokens else 0
    decode = asked.decode_tokens / mixed.decode_tokens if mixed.decode_tokens else 0
    return prefill / (prefill + decode) if prefill + decode > 0 else 0.5


def count_roles(roles: Sequence[str]) -> dict[str, int]:
    """Count the engines of each role."""
    return {role: roles.count(role) for role in (MIXED, PREFILL, DECODE)}
