"""Run one seed: fleet, callers, faults, checks."""

import asyncio
import random
import tempfile
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, Final, NamedTuple

from soak.callers import Caller
from soak.checks import Ledger, Trouble
from soak.const import (
    CALLERS,
    KINDS,
    POLL_SECONDS,
    READ_SECONDS,
    RECOVER_SECONDS,
    SETTLE_SECONDS,
)
from soak.faults import carry_out
from soak.fleet import Fleet
from soak.schedule import Fault, make_schedule
from standins.runs import read_clock

GATEWAYS: Final = (2, 4)
DESKS: Final = (2, 3)
ENGINES: Final = 2
"""Engines of each role."""


class Outcome(NamedTuple):
    """Hold what a run has shown."""

    findings: list[str]
    counts: dict[str, int]
    faults: int
    folder: Path


async def run_seed(
    seed: int, seconds: float, scale: int = 1, spoils: bool = True
) -> Outcome:
    """Run the schedule that the seed names, and check while it runs."""
    chance = random.Random(seed)
    trouble = Trouble()
    ledger = Ledger(trouble)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    fleet = Fleet(folder, ledger, trouble, chance)
    schedule = make_schedule(seed, seconds, spoils)
    sizes = chance.randint(*GATEWAYS), ENGINES, chance.randint(*DESKS)
    try:
        await fleet.start(*(scale * size for size in sizes))
        await _run(fleet, schedule, seed, scale * CALLERS)
    finally:
        await fleet.stop()
    return Outcome(ledger.findings, dict(ledger.counts), len(schedule), folder)


async def _run(fleet: Fleet, schedule: list[Fault], seed: int, count: int) -> None:
    callers = [
        Caller(f"c{seed}-{number}", fleet.gateways, fleet.ledger, fleet.trouble)
        for number in range(count)
    ]
    watch = asyncio.create_task(_watch(fleet))
    async with asyncio.TaskGroup() as group:
        group.create_task(_play(fleet, schedule, callers))
        for caller in callers:
            group.create_task(caller.run())
    # What was called not run must not run later either.
    await asyncio.sleep(SETTLE_SECONDS)
    watch.cancel()
    await fleet.read_runs()


async def _play(fleet: Fleet, schedule: list[Fault], callers: list[Caller]) -> None:
    begin = read_clock()
    async with asyncio.TaskGroup() as group:
        for fault in schedule:
            group.create_task(_carry_at(begin + fault.at, carry_out(fleet, fault)))
    await fleet.heal()
    await _wait_served(fleet)
    for caller in callers:
        caller.is_stopping = True


async def _carry_at(at: float, fault: Coroutine[Any, Any, None]) -> None:
    await asyncio.sleep(max(0.0, at - read_clock()))
    await fault


async def _watch(fleet: Fleet) -> None:
    while True:
        await asyncio.sleep(READ_SECONDS)
        fleet.check_processes()
        await fleet.read_runs()


async def _wait_served(fleet: Fleet) -> None:
    """Wait until every gateway has served every kind that was sent after the faults."""
    begin = read_clock()
    wanted = {(gateway.name, kind) for gateway in fleet.gateways for kind in KINDS}
    while missing := [key for key in wanted if fleet.ledger.served.get(key, 0) < begin]:
        if read_clock() > begin + RECOVER_SECONDS:
            fleet.ledger.find(f"not served after the faults: {sorted(missing)}")
            return
        await asyncio.sleep(POLL_SECONDS)
