"""Tests of the planner's lease when entries stall, leave and return."""

import time
from typing import Any, Final

import pytest

from bench.fleet import Fleet
from radishtally.entry.places import find_contenders
from tests.integration.common import (
    PLACE,
    ROLES_FILE,
    configure,
    find_planner,
    has_role,
    make_fleet,
    make_roles,
    read_engine,
    read_log,
    read_plan,
    set_fault,
)

ENTRIES: Final = 4
STALL_SECONDS: Final = 14.0
"""Longer than a lease and its margin together."""


def find_lines(fleet: Fleet, entry: str, kind: str) -> list[dict[str, Any]]:
    """Find an entry's log lines of one kind about the place."""
    return [
        line
        for line in read_log(fleet, entry)
        if line.get("message_type") == kind and line["place"] == PLACE
    ]


def list_gained_fencing_numbers(fleet: Fleet) -> list[int]:
    """List the fencing numbers under which the place's lease was gained."""
    return [
        line["fencing"]
        for entry in fleet.entries
        for line in find_lines(fleet, entry, "lease:gained")
    ]


def is_planning(fleet: Fleet, entry: str) -> bool:
    """Return whether an entry contends for the place's lease."""
    return PLACE in fleet.status(entry)["planner"]


def list_entry(fleet: Fleet, entry: str, state: str) -> None:
    """Change an entry's state in the platform's host list."""
    settings = fleet.settings[entry]
    fleet.list_host(entry, settings["place"], "entry", settings["address"], state)


def wait_for_lost_write(fleet: Fleet, entry: str) -> None:
    """Wait until a lease write that starts after this call has failed."""
    known = len(find_lines(fleet, entry, "lease:write_failed"))

    def has_lost() -> bool:
        # One write may already have been in flight.
        return len(find_lines(fleet, entry, "lease:write_failed")) > known + 1

    fleet.wait_until(has_lost, "a write to be lost")


# Guards against two planners under one fencing number: an entry that stops contending
# and returns could mistake its own old lease row for the result of a lost write.
def test_no_entry_gains_a_lease_while_the_table_loses_all_writes() -> None:
    with make_fleet(entries_wanted=ENTRIES) as fleet:
        places = dict.fromkeys(fleet.entries, PLACE)
        others = find_contenders(PLACE, places)
        [last] = places.keys() - set(others)
        for entry in others:
            fleet.network.cut(entry, "table")
        list_entry(fleet, others[0], "leaving")
        fleet.wait_until(lambda: find_planner(fleet) == last, "the last one to plan")
        gained = list_gained_fencing_numbers(fleet)
        set_fault(fleet.standins["table"].url, mode="lose_write")
        fleet.network.heal()
        fleet.wait_until(lambda: find_planner(fleet) is None, "the lease to expire")
        list_entry(fleet, others[0], "live")
        fleet.wait_until(lambda: not is_planning(fleet, last), "it to leave")
        list_entry(fleet, others[0], "leaving")
        fleet.wait_until(lambda: is_planning(fleet, last), "it to come back")
        wait_for_lost_write(fleet, last)
        assert list_gained_fencing_numbers(fleet) == gained
        set_fault(fleet.standins["table"].url, mode="up")
        fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner")
        numbers = list_gained_fencing_numbers(fleet)
        assert len(numbers) == len(set(numbers)) == len(gained) + 1


def pause_entries(fleet: Fleet, *entries: str) -> None:
    """Pause entries for longer than a lease lasts; resume them in the given order."""
    for entry in entries:
        fleet.pause(entry)
    until = time.monotonic() + STALL_SECONDS
    fleet.wait_until(lambda: time.monotonic() > until, "the stall to end")
    for entry in entries:
        fleet.resume(entry)
        assert fleet.status(entry), "a response shows that the entry runs again"


def has_logged_stall(fleet: Fleet, entry: str) -> bool:
    """Return whether an entry has logged a stall of about the length of the pause."""
    return any(
        line["seconds"] > STALL_SECONDS - 1 and PLACE in line["leases"]
        for line in read_log(fleet, entry)
        if line.get("message_type") == "process:stalled"
    )


# Guards against a needless change of planner, during which no roles change: a contender
# that stalled together with the holder takes over as it resumes, although the holder is
# alive and renews the lease just as soon.
def test_planner_does_not_change_when_all_entries_stall() -> None:
    with make_fleet() as fleet:
        fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner")
        old = find_planner(fleet)
        [other] = fleet.entries.keys() - {old}
        fleet.wait_until(lambda: is_planning(fleet, other), "the other to contend")
        pause_entries(fleet, other, old)
        fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner")
        assert find_planner(fleet) == old
        assert find_lines(fleet, other, "lease:gained") == []
        for entry in fleet.entries:
            fleet.wait_until(
                lambda e=entry: has_logged_stall(fleet, e), "the stall to be logged"
            )


# Guards against an order that is repeated or undone: a planner that was paused rightly
# regains the lease while its successor stalls, and still has its old plan in memory.
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_planner_that_regains_its_lease_does_not_use_its_old_plan(
    checks_fencing: bool,
) -> None:
    servers = {"upstreams": {"gown-llm": {"checks_fencing": checks_fencing}}}
    with make_fleet(files={"62-fencing.json": servers}) as fleet:
        fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner")
        old = find_planner(fleet)
        [other] = fleet.entries.keys() - {old}
        fleet.pause(old)
        configure(fleet, {ROLES_FILE: make_roles(gown_1="decode")}, other)
        fleet.wait_until(lambda: has_role(fleet, "gown-1", "decode"), "the change")
        plan = read_plan(fleet)
        fleet.resume(old)
        fleet.pause(other)
        gained = len(find_lines(fleet, old, "lease:gained"))
        fleet.wait_until(
            lambda: len(find_lines(fleet, old, "lease:gained")) > gained,
            "the old planner to take over",
        )
        fleet.resume(other)
        assert find_planner(fleet) == old
        assert not fleet.status(other)["planner"][PLACE]["holds_lease"]
        numbers = list_gained_fencing_numbers(fleet)
        assert len(numbers) == len(set(numbers))
        assert read_plan(fleet) == plan
        orders = read_engine(fleet, "gown-1")["orders"]
        assert [order["role"] for order in orders] == ["decode"]
        assert orders[0]["fencing"] == plan.fencing
