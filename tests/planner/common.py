"""Builders for the planner's views and events."""

from typing import Any, Final

from radishtally.configuration.config import Policy
from radishtally.links.messages import DECODE, MIXED, PREFILL, Load
from radishtally.planner.capacity import Speed
from radishtally.planner.demand import DemandRates, WorkCounters
from radishtally.planner.policies import EngineView, Pool, PoolView

POOL: Final = Pool("gown-llm", "howrah")
COST: Final = Policy(planning="cost", drain_seconds=5.0, min_dwell_seconds=30.0)
SPEEDS: Final = {
    MIXED: Speed(7_000.0, 640.0),
    PREFILL: Speed(9_500.0, 200.0),
    DECODE: Speed(3_900.0, 1_400.0),
}
LONG_PROMPTS: Final = DemandRates(40_000.0, 1_000.0, 20.0, 0.0)
LONG_ANSWERS: Final = DemandRates(2_000.0, 8_000.0, 40.0, 0.0)
SLOTS: Final = {MIXED: 16, PREFILL: 4, DECODE: 28}


def make_engines(*roles: str, configured: str = "") -> tuple[EngineView, ...]:
    """Make one engine for each role."""
    return tuple(
        EngineView(f"gown-{number}", role, "gown", 0, configured or role)
        for number, role in enumerate(roles)
    )


def make_view(engines: tuple[EngineView, ...], **more: Any) -> PoolView:
    """Make a view of a pool with a lasting mix."""
    defaults = {
        "demand": LONG_PROMPTS,
        "speeds": SPEEDS,
        "remaining": 600.0,
        "mix_length": 900.0,
        "history": (LONG_PROMPTS,),
        "history_seconds": 60.0,
        "last_change": None,
        "changing": False,
    }
    return PoolView(POOL, engines, **{**defaults, **more})


def make_load(host: str, role: str, **more: Any) -> Load:
    """Make the reported load of an engine."""
    slots = SLOTS[role]
    load = Load(
        host=host,
        queued=0,
        running=0,
        slots=slots,
        prefill_backlog=0.0,
        wait=0.0,
        prefill_rate=SPEEDS[role].prefill_tokens,
        decode_seconds=slots / SPEEDS[role].decode_tokens,
        role=role,
        model="gown",
        version="1",
        adapters=(),
        draining=False,
    )
    return load._replace(**more)


def add_counts(
    counts: WorkCounters, demand: DemandRates, seconds: float
) -> WorkCounters:
    """Increase the counters by the demand of some seconds."""
    return WorkCounters(
        counts.prompt_tokens + round(demand.prefill_tokens * seconds),
        counts.output_tokens + round(demand.decode_tokens * seconds),
        counts.requests + round(demand.requests * seconds),
        counts.refused + round(demand.refused * seconds),
    )
