"""Tests that only the holder of the lease orders role changes, one at a time."""

import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import pytest

from bench.fleet import ROOT, Fleet, get_json, make_environment
from tests.integration.callers import Stream
from tests.integration.common import (
    PLACE,
    ROLES_FILE,
    configure,
    find_planner,
    has_role,
    make_fleet,
    make_roles,
    read_engine,
    read_plan,
    read_state,
    set_fault,
)

EXIT_ADDRESS = 3
TOKENS = 5
CHECKS_FILE = "62-fencing.json"


@pytest.fixture
def fleet(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    """Run a fleet whose engines check fencing numbers only if the test asks for it."""
    checks = getattr(request, "param", False)
    servers = {"upstreams": {"gown-llm": {"checks_fencing": checks}}}
    with make_fleet(files={CHECKS_FILE: servers}) as fleet:
        yield fleet


with_and_without_fencing_checks = pytest.mark.parametrize(
    "fleet", [True, False], ids=["fencing checked", "fencing ignored"], indirect=True
)


@with_and_without_fencing_checks
def test_planner_that_lost_its_lease_while_paused_writes_no_plan(
    fleet: Fleet,
) -> None:
    """A planner that is paused while it holds the lease doesn't undo a later change.

    Operators change a role, and the other entry takes over the lease and plans. The old
    planner resumes with the old configuration, in which the engine has the wrong role,
    and believes that it still holds the lease. Its plan must have no effect.
    """
    fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner")
    old = find_planner(fleet)
    other = next(entry for entry in fleet.entries if entry != old)
    fleet.pause(old)
    configure(fleet, {ROLES_FILE: make_roles(gown_1="decode")}, other)
    fleet.wait_until(lambda: has_role(fleet, "gown-1", "decode"), "the change")
    plan = read_plan(fleet)
    fleet.resume(old)
    fleet.wait_until(lambda: has_lost_lease(fleet, old), "the old one to see its loss")
    wait_for_revision(fleet, old)
    assert read_plan(fleet) == plan
    assert [order["role"] for order in list_orders(fleet, "gown-1")] == ["decode"]
    assert list_orders(fleet, "gown-1")[0]["fencing"] == plan.fencing >= 2
    assert list_lease_holders(fleet) == [other]


def test_only_one_entry_plans_for_a_place(fleet: Fleet) -> None:
    """Each change is planned by one entry and ordered once.

    Both entries are in the place and see the same engines. Two roles are changed at
    once. The holder of the lease plans one after the other, the other entry none.
    """
    fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner")
    roles = make_roles(gown_1="decode", gown_2="prefill")
    configure(fleet, {ROLES_FILE: roles})
    fleet.wait_until(lambda: has_role(fleet, "gown-1", "decode"), "the first change")
    fleet.wait_until(lambda: has_role(fleet, "gown-2", "prefill"), "the second change")
    assert len(list_lease_holders(fleet)) == 1
    for host in ("gown-1", "gown-2"):
        assert len(list_orders(fleet, host)) == 1
        assert read_engine(fleet, host)["conflicts"] == 0
    assert read_plan(fleet).number == 2


def test_planner_is_replaced_after_a_kill(fleet: Fleet) -> None:
    """A change is carried out although the planner died.

    The planner is killed before it learns of the change. Its lease expires, and the
    other entry takes over under a higher fencing number, which engines that check
    fencing numbers accept.
    """
    fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner")
    old = find_planner(fleet)
    other = next(entry for entry in fleet.entries if entry != old)
    fleet.kill(old)
    configure(fleet, {ROLES_FILE: make_roles(gown_1="decode")}, other)
    fleet.wait_until(lambda: has_role(fleet, "gown-1", "decode"), "the change")
    [order] = list_orders(fleet, "gown-1")
    assert order["fencing"] == read_plan(fleet).fencing >= 2


def test_planner_cut_off_from_the_table_is_replaced(fleet: Fleet) -> None:
    """A change is carried out although the planner can't reach the table.

    The planner still reaches all agents. Its lease expires by its own clock before
    the other entry may take over. It continues to serve callers, and its plans have
    no effect.
    """
    fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner")
    old = find_planner(fleet)
    other = next(entry for entry in fleet.entries if entry != old)
    fleet.network.cut(old, "table")
    configure(fleet, {ROLES_FILE: make_roles(gown_1="decode")}, other)
    fleet.wait_until(
        lambda: list_lease_holders(fleet) == [other], "the other one to take over"
    )
    fleet.wait_until(lambda: has_role(fleet, "gown-1", "decode"), "the change")
    [order] = list_orders(fleet, "gown-1")
    assert order["fencing"] == read_plan(fleet).fencing >= 2
    answer = Stream(fleet.entries[old].url, "still served", TOKENS).wait()
    answer.check()
    assert answer.is_complete


def test_agent_killed_during_a_change_orders_it_once(fleet: Fleet) -> None:
    """A change is ordered once although the agent died during it.

    The agent is killed after its engine has begun to change, and restarted at once. It
    reads the engine's state, finds that it is changing and waits for the end.
    """
    configure(fleet, {ROLES_FILE: make_roles(gown_1="decode")})
    fleet.wait_until(lambda: read_state(fleet, "gown-1")["changing"], "the change")
    fleet.kill("gown-1")
    fleet.restart("gown-1")
    fleet.wait_until(lambda: has_role(fleet, "gown-1", "decode"), "its end")
    fleet.wait_until(fleet.is_ready, "the engine to serve again")
    assert len(list_orders(fleet, "gown-1")) == 1
    assert read_engine(fleet, "gown-1")["conflicts"] == 0


def test_second_agent_does_not_start_while_the_first_is_paused(fleet: Fleet) -> None:
    """A second agent exits with its own exit code while the first one is paused.

    The first agent is paused during a change. The second one can't know what the paused
    one may still order, above all where the engine ignores fencing numbers. It fails to
    bind the port, which the kernel keeps for the paused process. After the first agent
    is killed, its replacement starts and completes the change.
    """
    configure(fleet, {ROLES_FILE: make_roles(gown_1="decode")})
    fleet.wait_until(lambda: read_state(fleet, "gown-1")["changing"], "the change")
    fleet.pause("gown-1")
    assert start_second_agent(fleet, "gown-1") == EXIT_ADDRESS
    fleet.kill("gown-1")
    fleet.restart("gown-1")
    fleet.wait_until(lambda: has_role(fleet, "gown-1", "decode"), "its end")
    fleet.wait_until(fleet.is_ready, "the engine to serve again")
    assert len(list_orders(fleet, "gown-1")) == 1
    assert read_engine(fleet, "gown-1")["conflicts"] == 0


def test_order_is_not_repeated_after_a_lost_reply(fleet: Fleet) -> None:
    """A change is ordered once although the reply to the order was lost.

    The agent is cut off from its engine as soon as the change has begun. It reads the
    engine's state before it orders anything else.
    """
    configure(fleet, {ROLES_FILE: make_roles(gown_1="decode")})
    fleet.wait_until(lambda: read_state(fleet, "gown-1")["changing"], "the change")
    fleet.network.cut("gown-1", "upstream")
    fleet.wait_until(lambda: has_role(fleet, "gown-1", "decode"), "its end")
    fleet.network.heal()
    fleet.wait_until(fleet.is_ready, "the engine to serve again")
    assert len(list_orders(fleet, "gown-1")) == 1
    assert read_engine(fleet, "gown-1")["conflicts"] == 0


def test_plan_is_written_once_despite_lost_replies(fleet: Fleet) -> None:
    """A plan is written once and ordered once although the table's reply was lost.

    The table applies writes but loses its replies when a role change is planned. The
    planner reads the plan back and continues from it.
    """
    fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner")
    configure(fleet, {ROLES_FILE: make_roles(gown_1="decode")})
    set_fault(fleet.standins["table"].url, mode="lose_reply", count=8)
    fleet.wait_until(lambda: has_role(fleet, "gown-1", "decode"), "the change")
    assert read_plan(fleet).number == 1
    assert len(list_orders(fleet, "gown-1")) == 1


def list_orders(fleet: Fleet, host: str) -> list[dict[str, Any]]:
    """List the orders that an engine has accepted."""
    return read_engine(fleet, host)["orders"]


def list_lease_holders(fleet: Fleet) -> list[str]:
    """List the entries that report to hold the place's lease."""
    statuses = {entry: fleet.status(entry)["planner"] for entry in fleet.entries}
    return [
        entry
        for entry, planner in statuses.items()
        if planner.get(PLACE, {}).get("holds_lease")
    ]


def has_lost_lease(fleet: Fleet, entry: str) -> bool:
    """Return whether an entry that responds no longer holds the lease."""
    return entry not in list_lease_holders(fleet)


def wait_for_revision(fleet: Fleet, entry: str) -> None:
    """Wait until an entry has the newest revision of all entries."""
    url = "/operators/v1/configuration"

    def read(one: str) -> int:
        key = fleet.operator_key
        return get_json(fleet.entries[one].url + url, key)["revision"]

    newest = max(read(one) for one in fleet.entries)
    fleet.wait_until(lambda: read(entry) == newest, "the configuration to arrive")


def start_second_agent(fleet: Fleet, host: str) -> int:
    """Start a second process with a host's settings; return its exit code."""
    settings = fleet.folder / f"{host}.json"
    command = [sys.executable, "-m", "radishtally.daemon", "--settings", str(settings)]
    done = subprocess.run(
        command, cwd=ROOT, env=make_environment(), capture_output=True, timeout=60
    )
    return done.returncode
