"""Time from the acceptance of a change until it is in force everywhere."""

import json
import time
from collections.abc import Iterator
from typing import Final

from bench.capacity.figures import Figure
from bench.capacity.fleets import SharedFleet, make_fleet, wait_to_settle

FLEETS: Final = ((1, 4), (3, 17), (6, 54), (12, 78))
"""Entries and agents."""
CHANGES: Final = 5
LIMIT_SECONDS: Final = 60.0
EVENT: Final = "configuration:in_force"


def find_in_force(fleet: SharedFleet, host: str, revision: int) -> float | None:
    """Find when a revision came into force at a host, by its log."""
    for line in fleet.read_log(host).splitlines():
        if EVENT not in line:
            continue
        said = json.loads(line)
        if said["revision"] >= revision:
            return said["timestamp"]
    return None


def time_change(fleet: SharedFleet, number: int) -> float:
    """Change a file and give the seconds until every process has it in force."""
    text = json.dumps({"policy": {"deadline_seconds": 60 + number}})
    base = number
    revision = fleet.apply({"90-change.json": text}, fleet.operator_key, base)
    accepted = time.time()
    left = {*fleet.entries, *fleet.agents}
    last = 0.0
    while left and time.time() - accepted < LIMIT_SECONDS:
        for host in list(left):
            at = find_in_force(fleet, host, revision)
            if at is not None:
                last = max(last, at)
                left.discard(host)
        time.sleep(0.02)
    assert not left, f"not in force after {LIMIT_SECONDS} s at {sorted(left)}"
    return last - accepted


def measure_spread() -> Iterator[Figure]:
    """Measure fleets of several sizes."""
    for entries, agents in FLEETS:
        with make_fleet(entries, agents) as fleet:
            wait_to_settle()
            took = [time_change(fleet, number + 1) for number in range(CHANGES)]
        at = {"processes": entries + agents, "entries": entries, "changes": CHANGES}
        longest = max(took) * 1e3
        yield Figure("change in force everywhere, longest", longest, "ms", at)
