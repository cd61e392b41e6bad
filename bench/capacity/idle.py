"""Measure what idle entries and agents cost."""

import time
from collections.abc import Iterator
from typing import Final, NamedTuple

from bench.capacity.figures import Figure
from bench.capacity.fleets import make_fleet, wait_to_settle

SECONDS: Final = 20.0
FLEETS: Final = ((1, 2), (4, 2), (1, 26), (4, 26))
"""Entries and agents."""


class Idle(NamedTuple):
    """Hold the usage per second of a fleet without requests."""

    reads: float
    writes: float
    entry: float
    """Processor seconds of one entry."""
    agent: float
    """Processor seconds of one agent."""


def measure_fleet(entries: int, agents: int) -> Idle:
    """Measure the usage of a fleet without requests."""
    fleet = make_fleet(entries, agents)
    with fleet:
        wait_to_settle(5.0)
        counts_before = fleet.read_table_counts()
        cpu_before = fleet.read_seconds("entry"), fleet.read_seconds("agent")
        started_at = time.monotonic()
        time.sleep(SECONDS)
        elapsed = time.monotonic() - started_at
        counts_after = fleet.read_table_counts()
        entry = (fleet.read_seconds("entry") - cpu_before[0]) / entries
        agent = (fleet.read_seconds("agent") - cpu_before[1]) / agents
        reads = counts_after["reads"] - counts_before["reads"]
        writes = counts_after["writes"] - counts_before["writes"]
    return Idle(reads / elapsed, writes / elapsed, entry / elapsed, agent / elapsed)


def measure_idle_fleets() -> Iterator[Figure]:
    """Measure idle fleets of several sizes."""
    for entries, agents in FLEETS:
        idle = measure_fleet(entries, agents)
        at = {"entries": entries, "agents": agents, "seconds": SECONDS}
        yield Figure("idle fleet, table reads", idle.reads, "1/s", at)
        yield Figure("idle fleet, table writes", idle.writes, "1/s", at)
        yield Figure("idle entry", idle.entry * 100, "% of a core", at)
        yield Figure("idle agent", idle.agent * 100, "% of a core", at)
