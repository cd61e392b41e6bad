"""Tests of the lease driver, and of plans and drains in the table."""

import asyncio
from collections.abc import Callable

import pytest

from radishtally.audit.core import AUDIT_PARTITION, read_entry
from radishtally.authority.lease_driver import LeaseDriver
from radishtally.authority.lease_events import LeaseTerms
from radishtally.authority.plan import Drain, Wanted
from radishtally.authority.plan_store import NotHeld, PlanStore, Superseded
from radishtally.store.core import Check, Key, Put, Unavailable
from radishtally.store.ids import WriteIds
from tests.common import MemoryTable, run

PLACE = "salt-lake"
LONG = LeaseTerms(granted=60.0, read_every=0.05)
"""Long enough not to lapse when the machine is busy."""
SHORT = LeaseTerms(granted=0.6, margin=0.1, renew_every=0.1, read_every=0.05)
WANTED = {"h1": Wanted("decode", "gown", "1", ("silk",))}
OTHER = {"h1": Wanted("mixed", "gown", "1"), "h2": Wanted("mixed", "gown", "1")}
POLL_SECONDS = 0.005


class FixedLease:
    """Return a fixed view of the lease, as a paused holder has it."""

    def __init__(self, fencing: int, rev: int) -> None:
        self.fencing: int | None = fencing
        self.rev = rev

    def make_check(self) -> Check | None:
        return Check(Key("lease", PLACE), self.rev)


async def wait_for(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(POLL_SECONDS)


@pytest.fixture
def table() -> MemoryTable:
    return MemoryTable()


@pytest.fixture
def plans(table: MemoryTable) -> PlanStore:
    return PlanStore(table, "e1", WriteIds("e1-0"), clock_ms=lambda: 1000)


@pytest.fixture
def lease(table: MemoryTable) -> FixedLease:
    """Return a lease whose row is at revision 1."""
    run(table.transact([make_lease_put(0)], "w"))
    return FixedLease(1, 1)


def make_lease_put(expect: int) -> Put:
    return Put(Key("lease", PLACE), {}, expect)


def make_holder(
    table: MemoryTable, name: str, seen: list[str], terms: LeaseTerms = LONG
) -> LeaseDriver:
    return LeaseDriver(
        table,
        PLACE,
        name,
        WriteIds(f"{name}-0"),
        terms,
        on_gained=lambda fencing: seen.append(f"{name} gained {fencing}"),
        on_lost=lambda cause: seen.append(f"{name} lost: {cause}"),
    )


def test_lease_is_handed_over_when_its_holder_stops(table: MemoryTable) -> None:
    async def play() -> list[str]:
        seen: list[str] = []
        first, second = (make_holder(table, name, seen) for name in ("a", "b"))
        first.start()
        await wait_for(first.holds)
        second.start()
        await first.stop()
        await wait_for(second.holds)
        assert not first.holds()
        await second.stop()
        return seen

    expected = ["a gained 1", "a lost: resigned", "b gained 2", "b lost: resigned"]
    assert run(play()) == expected


def test_lease_lapses_while_the_store_is_unavailable(table: MemoryTable) -> None:
    async def play() -> list[str]:
        seen: list[str] = []
        holder = make_holder(table, "a", seen, SHORT)
        holder.start()
        await wait_for(holder.holds)
        table.down = True
        await wait_for(lambda: len(seen) == 2)
        assert holder.fencing is None
        table.down = False
        await wait_for(holder.holds)
        await holder.stop()
        return seen[:3]

    expected = ["a gained 1", "a lost: not renewed in time", "a gained 2"]
    assert run(play()) == expected


@pytest.mark.parametrize("fault", ["lose_replies", "drop_writes"])
def test_lease_is_gained_over_unclear_writes(table: MemoryTable, fault: str) -> None:
    async def play() -> None:
        seen: list[str] = []
        holder = make_holder(table, "a", seen)
        setattr(table, fault, 1)
        holder.start()
        await wait_for(holder.holds)
        await holder.stop()
        assert seen[0] == "a gained 1"

    run(play())


def test_plan_is_written_with_its_audit_entry(
    table: MemoryTable, plans: PlanStore, lease: FixedLease
) -> None:
    async def play() -> None:
        first = (await plans.write_plan(PLACE, None, WANTED, "mix", lease)).ok
        second = (await plans.write_plan(PLACE, first, OTHER, "drain", lease)).ok
        assert (second.number, second.fencing) == (2, 1)
        assert (await plans.read_plan(PLACE)).ok == second
        rows = (await table.query(AUDIT_PARTITION)).ok
        entry = read_entry(rows[-1]).ok
        assert (entry.who, entry.what, entry.cause) == ("e1", "plan", "drain")
        assert entry.before["h1"]["role"] == "decode"
        assert entry.after["h2"]["role"] == "mixed"

    run(play())


def test_plan_of_a_paused_holder_has_no_effect(
    table: MemoryTable, plans: PlanStore, lease: FixedLease
) -> None:
    # A planner decides and is paused, and another one takes over its lease. It resumes
    # with its old view of the lease and writes its plan. The lease row has moved on, so
    # neither the plan nor its audit entry is written.
    async def play() -> None:
        await table.transact([make_lease_put(1)], "takeover")
        result = await plans.write_plan(PLACE, None, WANTED, "mix", lease)
        assert result.is_error()
        assert (await plans.read_plan(PLACE)).ok is None
        assert (await table.query(AUDIT_PARTITION)).ok == []

    run(play())


def test_plan_is_written_despite_a_renewal_of_its_own_lease(
    table: MemoryTable, plans: PlanStore, lease: FixedLease
) -> None:
    # The lease is renewed between the check and the write. Its holder is the same, so
    # the plan is written in a second attempt under the renewed revision.
    class Renewed(FixedLease):
        def make_check(self) -> Check | None:
            check = super().make_check()
            self.rev = 2
            return check

    async def play() -> None:
        await table.transact([make_lease_put(1)], "renewal")
        result = await plans.write_plan(PLACE, None, WANTED, "mix", Renewed(1, 1))
        assert result.ok.number == 1

    run(play())


def test_plan_built_on_an_older_one_is_refused(
    plans: PlanStore, lease: FixedLease
) -> None:
    async def play() -> None:
        first = (await plans.write_plan(PLACE, None, WANTED, "mix", lease)).ok
        result = await plans.write_plan(PLACE, None, OTHER, "mix", lease)
        assert isinstance(result.error, Superseded)
        assert result.error.current == first

    run(play())


def test_plan_without_the_lease_is_not_written(
    plans: PlanStore, lease: FixedLease
) -> None:
    lease.fencing = None
    result = run(plans.write_plan(PLACE, None, WANTED, "mix", lease))
    assert isinstance(result.error, NotHeld)


def test_plan_is_refused_while_the_store_is_unavailable(
    table: MemoryTable, plans: PlanStore, lease: FixedLease
) -> None:
    table.down = True
    result = run(plans.write_plan(PLACE, None, WANTED, "mix", lease))
    assert isinstance(result.error, Unavailable)


@pytest.mark.parametrize("lost", [0, 1])
def test_drain_is_written_with_its_audit_entry(
    table: MemoryTable, plans: PlanStore, lost: int
) -> None:
    async def play() -> None:
        table.lose_replies = lost
        await plans.write_drain("h1", True, "ana", "disk")
        await plans.write_drain("h1", False, "ana", "mended")
        expected = {"h1": Drain("h1", False, "ana", "mended")}
        assert (await plans.read_drains()).ok == expected
        entries = [
            read_entry(row).ok for row in (await table.query(AUDIT_PARTITION)).ok
        ]
        assert [entry.what for entry in entries] == ["drain", "undrain"]
        assert entries[1].before["cause"] == "disk"

    run(play())


# Guards against a plan that is missing from the audit trail: one process plans for two
# places in the same millisecond, and both plans have the same number.
def test_plans_of_two_places_in_one_millisecond_are_both_recorded(
    table: MemoryTable, plans: PlanStore, lease: FixedLease
) -> None:
    async def play() -> None:
        assert (await plans.write_plan(PLACE, None, WANTED, "mix", lease)).is_ok()
        assert (await plans.write_plan("howrah", None, OTHER, "mix", lease)).is_ok()
        entries = [
            read_entry(row).ok for row in (await table.query(AUDIT_PARTITION)).ok
        ]
        assert {entry.subject for entry in entries} == {PLACE, "howrah"}

    run(play())
