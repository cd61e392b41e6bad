"""Run one seed: fleet, callers, faults, checks."""

import asyncio
import random
import tempfile
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, Final, NamedTuple

from soak.callers import Caller
from soak.checks import Disturbances, Ledger
from soak.const import (
    CALLERS,
    POLL_SECONDS,
    RECORD_POLL_SECONDS,
    RECOVERY_TIMEOUT_SECONDS,
    REQUEST_KINDS,
    SETTLE_SECONDS,
)
from soak.faults import inject
from soak.fleet import Fleet
from soak.schedule import Fault, make_schedule
from standins.runs import read_clock

GATEWAYS: Final = (2, 4)
DESKS: Final = (2, 3)
ENGINES: Final = 2
"""Engines of each role."""


class Outcome(NamedTuple):
    """Represent the results of a run."""

    findings: list[str]
    counts: dict[str, int]
    faults: int
    folder: Path


async def run_seed(
    seed: int, seconds: float, scale: int = 1, spoil_runs: bool = True
) -> Outcome:
    """Run the schedule of a seed and check the guarantees meanwhile."""
    rng = random.Random(seed)
    disturbances = Disturbances()
    ledger = Ledger(disturbances)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    fleet = Fleet(folder, ledger, disturbances, rng)
    schedule = make_schedule(seed, seconds, spoil_runs)
    sizes = rng.randint(*GATEWAYS), ENGINES, rng.randint(*DESKS)
    try:
        await fleet.start(*(scale * size for size in sizes))
        await _run(fleet, schedule, seed, scale * CALLERS)
    finally:
        await fleet.stop()
    return Outcome(ledger.findings, dict(ledger.counts), len(schedule), folder)


async def _run(fleet: Fleet, schedule: list[Fault], seed: int, count: int) -> None:
    callers = [
        Caller(f"c{seed}-{number}", fleet.gateways, fleet.ledger, fleet.disturbances)
        for number in range(count)
    ]
    monitor = asyncio.create_task(_monitor(fleet))
    async with asyncio.TaskGroup() as group:
        group.create_task(_run_schedule(fleet, schedule, callers))
        for caller in callers:
            group.create_task(caller.run())
    # A request reported as not run must not run later either.
    await asyncio.sleep(SETTLE_SECONDS)
    monitor.cancel()
    await fleet.check_records()
    fleet.ledger.count_given_up()
    fleet.ledger.check_bad_parts()
    fleet.ledger.check_limits()
    fleet.check_logs()


async def _run_schedule(
    fleet: Fleet, schedule: list[Fault], callers: list[Caller]
) -> None:
    begin = read_clock()
    async with asyncio.TaskGroup() as group:
        for fault in schedule:
            group.create_task(_inject_at(begin + fault.at, inject(fleet, fault)))
    await fleet.heal()
    await _wait_for_recovery(fleet)
    for caller in callers:
        caller.is_stopping = True


async def _inject_at(at: float, fault: Coroutine[Any, Any, None]) -> None:
    await asyncio.sleep(max(0.0, at - read_clock()))
    await fault


async def _monitor(fleet: Fleet) -> None:
    while True:
        await asyncio.sleep(RECORD_POLL_SECONDS)
        fleet.restart_exited()
        await fleet.check_records()


async def _wait_for_recovery(fleet: Fleet) -> None:
    """Wait until every gateway has served a request of every kind after the faults."""
    begin = read_clock()
    expected = {
        (gateway.name, kind) for gateway in fleet.gateways for kind in REQUEST_KINDS
    }
    while missing := [
        key for key in expected if fleet.ledger.served.get(key, 0) < begin
    ]:
        if read_clock() > begin + RECOVERY_TIMEOUT_SECONDS:
            fleet.ledger.report_finding(
                f"not served after the faults: {sorted(missing)}"
            )
            return
        await asyncio.sleep(POLL_SECONDS)
