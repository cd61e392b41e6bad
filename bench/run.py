"""Run a scenario on a fleet of real processes and compute its figures."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time
import urllib.error
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from bench.actions import TakeoverTimer, carry_out
from bench.figures import describe_classes, find_recovery, find_series
from bench.fleet import ROOT, Fleet, get_json, make_environment, read_sample
from bench.kinds import KINDS, find_engine_rate
from bench.load import Plan, Record, read_records
from bench.scenarios import ENGINES, POOLS, Scenario, Variant
from bench.traces import Call, make_trace
from bench.usage import (
    QUIET_LOAD,
    UsageDelta,
    compute_delta,
    read_usage,
    wait_until_quiet,
)

LOAD_PROCESS_COUNT: Final = 2
ROLE_CHANGE_SECONDS: Final = 3.0
SETTLE_SECONDS: Final = 2.0
SAMPLE_SECONDS: Final = 0.5
MAX_MACHINE_BUSY_SHARE: Final = 0.85
"""Largest busy share of the machine at which a run still counts."""
MAX_PROCESS_SHARE: Final = 0.8
"""Largest share of a core for a load process or stand-in at which a run counts."""
MAX_SEND_DELAY_MS: Final = 50.0
"""Largest 99th percentile of the send delay at which a run still counts."""


class Outcome(NamedTuple):
    """Hold the figures of a run."""

    figures: dict[str, Any]
    """Figures of the run as a whole."""
    classes: dict[str, dict[str, Any]]
    """Figures by class of calls."""
    series: list[tuple[int, int]]
    """For each second, the calls sent and the good ones among them."""


class Sampler(threading.Thread):
    """Sample the number of draining hosts during a run."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._stop_event = threading.Event()
        self.draining_seconds = 0.0
        """Engine-seconds spent draining."""

    def run(self) -> None:
        """Sample until stopped."""
        last = time.monotonic()
        while not self._stop_event.wait(SAMPLE_SECONDS):
            now = time.monotonic()
            self.draining_seconds += self._count_draining() * (now - last)
            last = now

    def stop(self) -> None:
        """Stop sampling and wait for the thread."""
        self._stop_event.set()
        self.join()

    def _count_draining(self) -> int:
        for entry in list(self._fleet.entries):
            with contextlib.suppress(urllib.error.URLError, OSError, ValueError):
                hosts = self._fleet.status(entry)["hosts"]
                return sum(bool(host.get("draining")) for host in hosts.values())
        return 0


def make_files(scenario: Scenario, variant: Variant) -> dict[str, str]:
    """Return the sample's files and, merged last, one with the variant's settings."""
    files = read_sample(scenario.deployment)
    upstreams: dict[str, Any] = {}
    if variant.roles:
        servers = {host: {"role": role} for host, role in variant.roles.items()}
        pool = POOLS[scenario.deployment]
        upstreams = {"upstreams": {pool: {"servers": servers}}}
    files["60-measure.json"] = json.dumps({"policy": variant.policy, **upstreams})
    return files


def make_fleet(scenario: Scenario, variant: Variant) -> Fleet:
    """Make the fleet for a scenario and variant, not started yet."""
    seconds = ROLE_CHANGE_SECONDS / scenario.speed
    return Fleet(
        make_files(scenario, variant),
        entries_wanted=scenario.entries,
        engine_args=(
            f"--speed={scenario.speed}",
            f"--role-change-seconds={seconds:.2f}",
        ),
    )


def run_scenario(
    scenario: Scenario,
    variant: Variant,
    seed: int,
    folder: Path,
    max_wait_seconds: float,
) -> Outcome:
    """Run a scenario once on a new fleet."""
    engines = ENGINES[scenario.deployment]
    calls = make_trace(scenario.phases, engines, scenario.speed, seed)
    load_before = wait_until_quiet(max_wait_seconds)
    with make_fleet(scenario, variant) as fleet:
        time.sleep(SETTLE_SECONDS)
        name = f"{scenario.name}-{variant.name}-{seed}"
        with start_loads(fleet, scenario, calls, folder / name) as loads:
            return run_loads(fleet, scenario, variant, seed, loads, load_before)


class LoadProcesses(NamedTuple):
    """Hold the load processes and the paths of their records."""

    processes: list[subprocess.Popen[bytes]]
    outputs: list[Path]

    def begin(self, starts_at: float) -> None:
        """Send the start time to the load processes."""
        for process in self.processes:
            process.stdin.write(f"{starts_at}\n".encode())
            process.stdin.flush()

    def collect(self, timeout: float) -> list[Record]:
        """Wait for the load processes and read their records."""
        for process in self.processes:
            code = process.wait(timeout)
            assert code == 0, f"a load process exited with code {code}"
        return [record for path in self.outputs for record in read_records(path)]


@contextlib.contextmanager
def start_loads(
    fleet: Fleet, scenario: Scenario, calls: list[Call], path: Path
) -> Iterator[LoadProcesses]:
    """Start load processes, each with a part of the calls, and kill them on exit."""
    loads = LoadProcesses([], [])
    entries = [entry.url for entry in fleet.entries.values()]
    try:
        for number in range(LOAD_PROCESS_COUNT):
            part = calls[number::LOAD_PROCESS_COUNT]
            rotated_entries = entries[number:] + entries[:number]
            output = path.with_name(f"{path.name}.{number}.records")
            plan = Plan(rotated_entries, part, scenario.retries, str(output))
            plan_path = path.with_name(f"{path.name}.{number}.plan")
            plan_path.write_bytes(msgspec.json.encode(plan))
            loads.outputs.append(output)
            loads.processes.append(start_load(plan_path))
        for process in loads.processes:
            assert process.stdout.readline(), "a load process did not start"
        yield loads
    finally:
        for process in loads.processes:
            process.kill()
            process.wait()
            process.stdin.close()
            process.stdout.close()


def start_load(plan: Path) -> subprocess.Popen[bytes]:
    """Start one load process."""
    return subprocess.Popen(
        [sys.executable, "-m", "bench.load", str(plan)],
        cwd=ROOT,
        env=make_environment(),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )


def run_loads(
    fleet: Fleet,
    scenario: Scenario,
    variant: Variant,
    seed: int,
    loads: LoadProcesses,
    load_before: float,
) -> Outcome:
    """Run the loads, apply the scenario's actions on time and compute the figures."""
    pids, kinds = list_pids(fleet, loads)
    sampler = Sampler(fleet)
    starts_at = time.monotonic() + 0.5
    loads.begin(starts_at)
    before = read_usage(pids)
    sampler.start()
    timers = []
    for action in sorted(scenario.actions):
        time.sleep(max(0.0, starts_at + action.at - time.monotonic()))
        carry_out(action, fleet)
        if action.kind == "kill_planner":
            timers.append(TakeoverTimer(action.target, fleet))
            timers[-1].start()
    time.sleep(max(0.0, starts_at + scenario.seconds - time.monotonic()))
    after = read_usage(pids)
    records = loads.collect(timeout=120.0)
    sampler.stop()
    usage = compute_delta(before, after, kinds)
    figures = {
        "scenario": scenario.name,
        "variant": variant.name,
        "seed": seed,
        "seconds": scenario.seconds,
        "speed": scenario.speed,
        "loadavg_before": round(load_before, 2),
        **describe_machine(usage, records, load_before),
        **describe_engines(fleet),
        "engine_seconds_away": round(sampler.draining_seconds, 1),
        "takeover_seconds": [takeover.seconds for takeover in timers],
        "useful_share": find_useful_share(scenario, records),
        **describe_recovery(scenario, records),
    }
    return Outcome(
        figures,
        describe_classes(records, scenario.seconds),
        find_series(records, scenario.seconds),
    )


def list_pids(
    fleet: Fleet, loads: LoadProcesses
) -> tuple[dict[str, int], dict[str, str]]:
    """Return the process ids and the kinds of a run's processes by name."""
    groups = {
        "entry": fleet.entries,
        "agent": fleet.agents,
        "upstream": fleet.upstreams,
        "standin": fleet.standins,
    }
    pids, kinds = {}, {}
    for kind, group in groups.items():
        for name, child in group.items():
            key = f"{kind} {name}"
            pids[key], kinds[key] = child.pid, kind
    for number, process in enumerate(loads.processes):
        pids[f"load {number}"], kinds[f"load {number}"] = process.pid, "load"
    return pids, kinds


def describe_machine(
    usage: UsageDelta, records: list[Record], load_before: float
) -> dict[str, Any]:
    """Describe the processor usage and whether the run counts.

    A run does not count if the machine, a load process or a stand-in was saturated or
    calls were sent late: its figures would describe the test set-up.
    """
    send_delays = sorted(1000 * (record.sent - record.at) for record in records)
    send_delay_ms = (
        send_delays[int(0.99 * (len(send_delays) - 1))] if send_delays else 0.0
    )
    is_harness = usage.busiest.split(" ")[0] in ("load", "upstream", "standin")
    reasons = []
    if usage.machine > MAX_MACHINE_BUSY_SHARE:
        reasons.append("machine saturated")
    if is_harness and usage.busiest_share > MAX_PROCESS_SHARE:
        reasons.append(f"{usage.busiest} saturated")
    if send_delay_ms > MAX_SEND_DELAY_MS:
        reasons.append("load sent late")
    return {
        "counts": not reasons,
        "why_not": reasons,
        "was_quiet": load_before < QUIET_LOAD,
        "machine_busy": round(usage.machine, 3),
        "processor_seconds": usage.seconds,
        "busiest": usage.busiest,
        "busiest_share": round(usage.busiest_share, 3),
        "load_sent_late_p99_ms": round(send_delay_ms, 1),
        "cores": os.cpu_count(),
    }


def describe_engines(fleet: Fleet) -> dict[str, Any]:
    """Sum the counters of the upstreams that still run."""
    totals = {"role_changes": 0, "wasted_tokens": 0, "completed": 0, "cut": 0}
    double_runs = 0
    by_host = {}
    for child in fleet.upstreams.values():
        with contextlib.suppress(urllib.error.URLError, OSError):
            counts = get_json(f"{child.url}/_counts")
            if "orders" not in counts:
                double_runs += sum(runs > 1 for runs in counts.values())
                continue
            roles = [order for order in counts["orders"] if order["kind"] == "role"]
            totals["role_changes"] += len(roles)
            by_host[child.name] = counts["completed"]
            for name in ("wasted_tokens", "completed", "cut"):
                totals[name] += counts[name]
    return {**totals, "completed_by_host": by_host, "calls_run_twice": double_runs}


def find_useful_share(scenario: Scenario, records: list[Record]) -> float:
    """Compute the share of the engines' time that good answers account for."""
    seconds = sum(
        1.0 / find_engine_rate(KINDS[record.name], scenario.speed)
        for record in records
        if record.good and record.name in KINDS
    )
    return round(seconds / (ENGINES[scenario.deployment] * scenario.seconds), 3)


def describe_recovery(scenario: Scenario, records: list[Record]) -> dict[str, Any]:
    """Return the time from the first action to full goodput, if there are actions."""
    if not scenario.actions:
        return {}
    fault_at = min(action.at for action in scenario.actions)
    seconds = find_recovery(records, fault_at, scenario.seconds)
    return {"recovery_seconds": seconds}


def stop_by_signal() -> None:
    """Turn SIGTERM into SystemExit, so that the fleet is stopped."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
