"""Tests that a plan has no effect once its writer has lost the lease."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from typing import Final

import pytest

from bench.network import Network
from radishtally.authority.lease_driver import LeaseDriver
from radishtally.authority.lease_events import LeaseTerms
from radishtally.authority.plan import Plan, Wanted, make_next_plan, make_plan_writes
from radishtally.authority.plan_store import NotHeld, PlanStore
from radishtally.store.core import ABSENT, Key, Put
from radishtally.store.ids import WriteIds
from radishtally.store.table import HttpTable
from tests.common import StandIn, StartStandIn
from tests.integration.common import PLACE, run

TERMS: Final = LeaseTerms(granted=2.0, margin=0.2, renew_every=0.5, read_every=0.1)
DELAY_SECONDS: Final = 5.0
"""Longer than the lease and its margin together."""
WAIT_TIMEOUT_SECONDS: Final = 30.0
TABLE: Final = "radishtally"
WANTED: Final = {"gown-1": Wanted("decode", "gown-llm", "1")}
AUDIT: Final = Put(Key("audit", "late"), {"what": "plan"}, ABSENT)


class Planner:
    """Contend for the place's lease, behind a separate proxy."""

    def __init__(self, name: str, network: Network, address: str) -> None:
        url = f"http://{network.add(name, 'table', address)}"
        self.table = HttpTable(url, TABLE)
        self.plans = PlanStore(self.table, name, WriteIds(name))
        self.lease = LeaseDriver(
            self.table,
            PLACE,
            name,
            WriteIds(f"{name}-lease"),
            TERMS,
            on_gained=lambda _: None,
            on_lost=lambda _: None,
        )


@pytest.fixture
def network() -> Iterator[Network]:
    """Run the proxies between the planners and the table."""
    network = Network()
    yield network
    network.stop()


@pytest.fixture
def table(start_standin: StartStandIn) -> StandIn:
    """Run the stand-in of the table."""
    return start_standin("table")


@asynccontextmanager
async def run_two_planners(
    network: Network, table: StandIn
) -> AsyncIterator[list[Planner]]:
    """Run a planner that holds the lease and one that contends for it."""
    planners = [Planner(name, network, table.address) for name in ("old", "new")]
    old, new = planners
    old.lease.start()
    await wait_until(old.lease.holds)
    new.lease.start()
    try:
        yield planners
    finally:
        network.heal()
        for planner in planners:
            await planner.lease.stop()
            await planner.table.close()


def test_plan_that_arrives_after_the_lease_was_lost_has_no_effect(
    network: Network, table: StandIn
) -> None:
    """A plan that is delayed until another planner holds the lease is not written.

    The old planner holds the lease when it sends its plan. The path to the table delays
    it until the lease has expired and the new planner holds it. The plan's condition on
    the revision of the lease row then fails.
    """

    async def check() -> None:
        async with run_two_planners(network, table) as (old, new):
            plan = make_next_plan(PLACE, None, old.lease.fencing, "late", WANTED)
            writes = make_plan_writes(plan, ABSENT, old.lease.make_check(), AUDIT)
            network.delay("old", "table", DELAY_SECONDS)
            arrives_at = time.monotonic() + DELAY_SECONDS
            late = await old.table.transact(writes, "late")
            assert late.is_error()
            await wait_until(new.lease.holds)
            assert not old.lease.holds()
            await wait_until(lambda: time.monotonic() > arrives_at)
            await wait_until(lambda: read_cancelled(table) > 0)
            assert await read_plan(new) is None
            written = await new.plans.write_plan(PLACE, None, WANTED, "new", new.lease)
            assert written.ok == await read_plan(new)
            assert written.ok.fencing == 2

    run(check())


def test_planner_whose_lease_has_expired_writes_nothing(
    network: Network, table: StandIn
) -> None:
    """A planner that was cut off from the table writes no plan after it is back.

    It measures the lease's duration from before it sent its last renewal, so its lease
    expires by its own clock before another planner may gain it.
    """

    async def check() -> None:
        async with run_two_planners(network, table) as (old, new):
            network.cut("old", "table")
            await wait_until(new.lease.holds)
            assert not old.lease.holds() and old.lease.fencing is None
            network.heal()
            refused = await old.plans.write_plan(PLACE, None, WANTED, "old", old.lease)
            assert refused.error == NotHeld()
            assert await read_plan(new) is None

    run(check())


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition."""
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


async def read_plan(planner: Planner) -> Plan | None:
    """Read the plan in force."""
    read = await planner.plans.read_plan(PLACE)
    assert read.is_ok(), str(read)
    return read.ok


def read_cancelled(table: StandIn) -> int:
    """Count the transactions whose condition failed."""
    return table.get("/_counts")["cancelled"]
