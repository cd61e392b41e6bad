"""Measure the time from accepting a change until every process applies it."""

import json
import time
from collections.abc import Iterator
from typing import Final

from bench.capacity.figures import Figure
from bench.capacity.fleets import SharedFleet, make_fleet, wait_to_settle

FLEETS: Final = ((1, 4), (3, 17), (6, 54), (12, 78))
"""Entries and agents."""
CHANGES: Final = 5
CHANGE_TIMEOUT_SECONDS: Final = 60.0
IN_FORCE_EVENT: Final = "configuration:in_force"


def find_in_force(fleet: SharedFleet, host: str, revision: int) -> float | None:
    """Return when a host applied a revision or a later one, according to its log."""
    for line in fleet.read_log(host).splitlines():
        if IN_FORCE_EVENT not in line:
            continue
        log_line = json.loads(line)
        if log_line["revision"] >= revision:
            return log_line["timestamp"]
    return None


def time_change(fleet: SharedFleet, number: int) -> float:
    """Change a file and measure the seconds until every process applies the change."""
    text = json.dumps({"policy": {"deadline_seconds": 60 + number}})
    base = number
    revision = fleet.apply({"90-change.json": text}, fleet.operator_key, base)
    accepted = time.time()
    pending = {*fleet.entries, *fleet.agents}
    last = 0.0
    while pending and time.time() - accepted < CHANGE_TIMEOUT_SECONDS:
        for host in list(pending):
            at = find_in_force(fleet, host, revision)
            if at is not None:
                last = max(last, at)
                pending.discard(host)
        time.sleep(0.02)
    assert not pending, (
        f"change not applied after {CHANGE_TIMEOUT_SECONDS} s at {sorted(pending)}"
    )
    return last - accepted


def measure_spread() -> Iterator[Figure]:
    """Measure the spread of changes in fleets of several sizes."""
    for entries, agents in FLEETS:
        with make_fleet(entries, agents) as fleet:
            wait_to_settle()
            durations = [time_change(fleet, number + 1) for number in range(CHANGES)]
        at = {"processes": entries + agents, "entries": entries, "changes": CHANGES}
        longest = max(durations) * 1e3
        yield Figure("change in force everywhere, longest", longest, "ms", at)
