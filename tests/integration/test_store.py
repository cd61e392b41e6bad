"""Tests of the fleet while the platform's store is unavailable."""

import urllib.error

import pytest

from bench.fleet import Fleet, post_json
from tests.integration.callers import Load
from tests.integration.common import (
    ROLES_FILE,
    configure,
    find_planner,
    has_role,
    make_roles,
    read_engine,
    read_plan,
    set_fault,
)

CALLERS = 4
TOKENS = 20


@pytest.mark.parametrize(
    "fault",
    [{"mode": "down"}, {"mode": "slow", "seconds": 5}],
    ids=["down", "slow"],
)
def test_model_requests_are_served_while_the_store_is_unavailable(
    fleet: Fleet, fault: dict[str, object]
) -> None:
    """Model requests are served without the store, and an operator's drain is refused.

    The whole platform is down or slow under load until the planner has lost its lease.
    The fleet keeps its last plan, and drains work again once the platform is back.
    """
    fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner")
    plan = read_plan(fleet)
    load = Load([entry.url for entry in fleet.entries.values()], CALLERS, TOKENS)
    for kind in ("table", "objects", "hosts"):
        set_fault(fleet.standins[kind].url, **fault)
    with pytest.raises(urllib.error.HTTPError) as error:
        set_drain(fleet, "gown-1", True)
    assert error.value.code in (503, 504)
    fleet.wait_until(lambda: find_planner(fleet) is None, "the lease to expire")
    answers = load.stop()
    assert answers
    for answer in answers:
        answer.check()
        assert answer.is_complete, answer
    for kind in ("table", "objects", "hosts"):
        set_fault(fleet.standins[kind].url, mode="up")
    assert read_plan(fleet) == plan
    fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner again")
    set_drain(fleet, "gown-1", False)


def test_last_plan_is_kept_while_the_store_is_unavailable(fleet: Fleet) -> None:
    """An agent that restarts without the store keeps its engine's role.

    An engine has changed its role by plan. While the store is down its agent is killed
    and restarted. It can't read the plan, so it doesn't change the engine.
    """
    configure(fleet, {ROLES_FILE: make_roles(gown_1="decode")})
    fleet.wait_until(lambda: has_role(fleet, "gown-1", "decode"), "the change")
    orders = len(read_engine(fleet, "gown-1")["orders"])
    set_fault(fleet.standins["table"].url, mode="down")
    fleet.kill("gown-1")
    fleet.restart("gown-1")
    fleet.wait_until(fleet.is_ready, "the engine to serve again")
    assert has_role(fleet, "gown-1", "decode")
    assert len(read_engine(fleet, "gown-1")["orders"]) == orders


def test_agent_cut_off_from_the_table_serves(fleet: Fleet) -> None:
    """An engine serves callers while its agent alone can't reach the table.

    A role change that is planned meanwhile is carried out once the agent can read the
    plan again.
    """
    fleet.network.cut("gown-2", "table")
    configure(fleet, {ROLES_FILE: make_roles(gown_2="decode")})
    load = Load([entry.url for entry in fleet.entries.values()], CALLERS, TOKENS)
    fleet.wait_until(lambda: is_planned(fleet, "gown-2"), "the plan")
    answered = len(load.answers)
    fleet.wait_until(lambda: len(load.answers) > answered + CALLERS, "more answers")
    assert has_role(fleet, "gown-2", "mixed")
    fleet.network.heal()
    fleet.wait_until(lambda: has_role(fleet, "gown-2", "decode"), "the change")
    for answer in load.stop():
        answer.check()
        assert answer.is_complete, answer


def is_planned(fleet: Fleet, host: str) -> bool:
    """Return whether the plan in force includes a host."""
    plan = read_plan(fleet)
    return plan is not None and host in plan.wanted


def set_drain(fleet: Fleet, host: str, drained: bool) -> None:
    """Drain a host or end its drain."""
    url = f"{fleet.entries['entry-1'].url}/operators/v1/hosts/{host}/drain"
    post_json(url, {"drained": drained, "cause": "test"}, fleet.operator_key)
