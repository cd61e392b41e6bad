"""What entries and agents cost when nobody asks for anything."""

import time
from collections.abc import Iterator
from typing import Final, NamedTuple

from bench.capacity.figures import Figure
from bench.capacity.fleets import make_fleet, wait_to_settle

SECONDS: Final = 20.0
FLEETS: Final = ((1, 2), (4, 2), (1, 26), (4, 26))
"""Entries and agents."""


class Idle(NamedTuple):
    """Hold what a fleet used in a second without requests."""

    reads: float
    writes: float
    entry: float
    """Processor seconds of one entry."""
    agent: float


def measure_fleet(entries: int, agents: int) -> Idle:
    """Watch a fleet that serves nothing."""
    fleet = make_fleet(entries, agents)
    with fleet:
        wait_to_settle(5.0)
        counts = fleet.read_table_counts()
        used = fleet.read_seconds("entry"), fleet.read_seconds("agent")
        began = time.monotonic()
        time.sleep(SECONDS)
        took = time.monotonic() - began
        after = fleet.read_table_counts()
        entry = (fleet.read_seconds("entry") - used[0]) / entries
        agent = (fleet.read_seconds("agent") - used[1]) / agents
        reads = after["reads"] - counts["reads"]
        writes = after["writes"] - counts["writes"]
    return Idle(reads / took, writes / took, entry / took, agent / took)


def measure_idle_fleets() -> Iterator[Figure]:
    """Measure idle fleets of several sizes."""
    for entries, agents in FLEETS:
        idle = measure_fleet(entries, agents)
        at = {"entries": entries, "agents": agents, "seconds": SECONDS}
        yield Figure("idle fleet, table reads", idle.reads, "1/s", at)
        yield Figure("idle fleet, table writes", idle.writes, "1/s", at)
        yield Figure("idle entry", idle.entry * 100, "% of a core", at)
        yield Figure("idle agent", idle.agent * 100, "% of a core", at)
