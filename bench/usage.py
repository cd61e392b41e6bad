"""Read the processor time of the machine and of processes from /proc."""

import os
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Final, NamedTuple

TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
QUIET_LOAD: Final = 4.0


class Machine(NamedTuple):
    """Hold the machine's processor seconds since boot, summed over its cores."""

    busy: float
    total: float


class Usage(NamedTuple):
    """Hold the processor seconds of the machine and of each process at one moment."""

    at: float
    machine: Machine
    processes: dict[str, float]


class UsageDelta(NamedTuple):
    """Describe the processor usage between two readings."""

    machine: float
    """Busy share of the machine, including processes of others."""
    seconds: dict[str, float]
    """Processor seconds by kind of process."""
    busiest: str
    busiest_share: float
    """Share of one core that the busiest process used."""


def read_machine() -> Machine:
    """Read the machine's processor times."""
    fields = Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]
    ticks = [int(field) for field in fields]
    idle = ticks[3] + ticks[4]
    return Machine(
        (sum(ticks) - idle) / TICKS_PER_SECOND, sum(ticks) / TICKS_PER_SECOND
    )


def read_process(pid: int) -> float | None:
    """Read a process's processor seconds; None if it has exited."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_usage(pids: Mapping[str, int]) -> Usage:
    """Read the usage of the machine and of the given processes."""
    seconds = {name: read_process(pid) for name, pid in pids.items()}
    known = {name: value for name, value in seconds.items() if value is not None}
    return Usage(time.monotonic(), read_machine(), known)


def compute_delta(before: Usage, after: Usage, kinds: Mapping[str, str]) -> UsageDelta:
    """Compute the usage between two readings, summed by kind of process."""
    by_kind = dict.fromkeys(kinds.values(), 0.0)
    busiest, busiest_seconds = "", 0.0
    for name, end in after.processes.items():
        spent = end - before.processes.get(name, 0.0)
        by_kind[kinds[name]] += spent
        if spent > busiest_seconds:
            busiest, busiest_seconds = name, spent
    total = after.machine.total - before.machine.total
    busy = after.machine.busy - before.machine.busy
    return UsageDelta(
        busy / total if total else 0.0,
        {kind: round(seconds, 2) for kind, seconds in by_kind.items()},
        busiest,
        busiest_seconds / max(0.001, after.at - before.at),
    )


def wait_until_quiet(max_wait_seconds: float) -> float:
    """Wait up to a limit for a load average below `QUIET_LOAD`; return the last one."""
    until = time.monotonic() + max_wait_seconds
    while (load := os.getloadavg()[0]) >= QUIET_LOAD and time.monotonic() < until:
        time.sleep(1.0)
    return load
