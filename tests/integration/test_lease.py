"""Test that a plan has no effect once its writer's lease has gone to another."""

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
LATE_SECONDS: Final = 5.0
"""Longer than the lease and its margin together."""
WAIT_SECONDS: Final = 30.0
TABLE: Final = "radishtally"
WANTED: Final = {"gown-1": Wanted("decode", "gown-llm", "1")}
AUDIT: Final = Put(Key("audit", "late"), {"what": "plan"}, ABSENT)


class Planner:
    """Hold one contender for the place's lease, behind a proxy of its own."""

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
    """Stand between the planners and the table."""
    network = Network()
    yield network
    network.stop()


@pytest.fixture
def table(start_standin: StartStandIn) -> StandIn:
    """Run a table."""
    return start_standin("table")


@asynccontextmanager
async def contend(network: Network, table: StandIn) -> AsyncIterator[list[Planner]]:
    """Give a planner that holds the lease and one that would take it over."""
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


def test_a_plan_that_arrives_after_the_lease_has_gone_has_no_effect(
    network: Network, table: StandIn
) -> None:
    """Operators see the new planner's plan alone, though the old one's comes late.

    The old planner holds the lease when it sends its plan, but the path to the table
    holds everything up until the lease has lapsed and another one has it. The plan
    arrives then. It names the revision of a lease row that no longer stands.
    """

    async def live() -> None:
        async with contend(network, table) as (old, new):
            plan = make_next_plan(PLACE, None, old.lease.fencing, "late", WANTED)
            writes = make_plan_writes(plan, ABSENT, old.lease.make_check(), AUDIT)
            network.delay("old", "table", LATE_SECONDS)
            arrives_at = time.monotonic() + LATE_SECONDS
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

    run(live())


def test_a_planner_whose_lease_has_lapsed_writes_nothing(
    network: Network, table: StandIn
) -> None:
    """Operators see nothing of a planner that is cut off from the table and comes back.

    It believes in its last word on the lease, but counts the time from before it asked
    for it: it has stopped before another one may begin.
    """

    async def live() -> None:
        async with contend(network, table) as (old, new):
            network.cut("old", "table")
            await wait_until(new.lease.holds)
            assert not old.lease.holds() and old.lease.fencing is None
            network.heal()
            refused = await old.plans.write_plan(PLACE, None, WANTED, "old", old.lease)
            assert refused.error == NotHeld()
            assert await read_plan(new) is None

    run(live())


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition."""
    async with asyncio.timeout(WAIT_SECONDS):
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
