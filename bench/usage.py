"""Processor time of the machine and of processes, from /proc."""

import os
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Final, NamedTuple

TICKS: Final = os.sysconf("SC_CLK_TCK")
QUIET_LOAD: Final = 4.0


class Machine(NamedTuple):
    """Count the machine's processor seconds since its start."""

    busy: float
    whole: float


class Usage(NamedTuple):
    """Hold the processor seconds of the machine and of each process at a time."""

    at: float
    machine: Machine
    processes: dict[str, float]


class UsageDelta(NamedTuple):
    """Tell what was used between two looks."""

    machine: float
    """Share of the machine that was busy, whoever used it."""
    seconds: dict[str, float]
    """Processor seconds by kind of process."""
    busiest: str
    busiest_share: float
    """Share of one processor that the busiest process used."""


def read_machine() -> Machine:
    """Read the machine's processor times."""
    fields = Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]
    ticks = [int(field) for field in fields]
    idle = ticks[3] + ticks[4]
    return Machine((sum(ticks) - idle) / TICKS, sum(ticks) / TICKS)


def read_process(pid: int) -> float | None:
    """Read a process's processor seconds; none if it is gone."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def read_usage(pids: Mapping[str, int]) -> Usage:
    """Look at the machine and at processes by name."""
    seconds = {name: read_process(pid) for name, pid in pids.items()}
    known = {name: value for name, value in seconds.items() if value is not None}
    return Usage(time.monotonic(), read_machine(), known)


def compute_delta(before: Usage, after: Usage, kinds: Mapping[str, str]) -> UsageDelta:
    """Tell what was used between two looks, by kind of process."""
    by_kind = dict.fromkeys(kinds.values(), 0.0)
    busiest, most = "", 0.0
    for name, end in after.processes.items():
        spent = end - before.processes.get(name, 0.0)
        by_kind[kinds[name]] += spent
        if spent > most:
            busiest, most = name, spent
    whole = after.machine.whole - before.machine.whole
    busy = after.machine.busy - before.machine.busy
    return UsageDelta(
        busy / whole if whole else 0.0,
        {kind: round(seconds, 2) for kind, seconds in by_kind.items()},
        busiest,
        most / max(0.001, after.at - before.at),
    )


def wait_until_quiet(patience: float) -> float:
    """Wait some seconds for the machine to be quiet; give its load average."""
    until = time.monotonic() + patience
    while (load := os.getloadavg()[0]) >= QUIET_LOAD and time.monotonic() < until:
        time.sleep(1.0)
    return load
