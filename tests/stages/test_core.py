"""Tests of deciding on the engines' roles."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.links.messages import DECODE, PREFILL
from radishtally.stages import const
from radishtally.stages.core import Engine, RoleChange, RolePlan, choose_changes
from radishtally.stages.split import (
    DECODE_TARGET,
    PREFILL_TARGET,
    Needs,
    choose_prefill,
)

PLACES = ("a", "b", "c")


def make_engines(prefill: int, decode: int) -> list[Engine]:
    roles = [PREFILL] * prefill + [DECODE] * decode
    return [
        Engine(f"e{number}", PLACES[number % 3], role)
        for number, role in enumerate(roles)
    ]


def run_plan(
    plan: RolePlan,
    engines: list[Engine],
    needs: Needs | None,
    begin: float,
    end: float,
) -> list[RoleChange]:
    """Run the plan at the interval of the control loop; return all changes."""
    changes = []
    for tick in range(round((end - begin) / const.TICK_SECONDS)):
        now = begin + tick * const.TICK_SECONDS
        changes += plan.decide(engines, needs, True, now)
    return changes


def test_roles_are_set_before_traffic_once_the_list_is_stable() -> None:
    plan = RolePlan()
    engines = make_engines(3, 6)
    assert plan.decide(engines, None, False, 0.0) == []
    changes = plan.decide(engines, None, False, const.SETTLE_SECONDS)
    wanted = round(9 * const.INITIAL_PREFILL_SHARE)
    assert [change.role for change in changes] == [PREFILL] * (wanted - 3)


# A gateway that restarts during traffic and takes the lease must not restore the
# initial split, or prompts wait for seconds.
def test_gateway_started_during_traffic_keeps_the_roles() -> None:
    assert run_plan(RolePlan(), make_engines(8, 1), None, 0.0, 20.0) == []


# If most engines have the wrong role when traffic starts, prompts wait for seconds
# while engines are idle. The first known needs are applied immediately, because waiting
# for more data would not improve them enough.
def test_first_needs_move_engines_immediately() -> None:
    plan = RolePlan()
    engines = make_engines(3, 3)
    run_plan(plan, engines, None, 0.0, 2.0)
    changes = plan.decide(engines, Needs(2.8, 0.5), True, 2.0)
    assert [change.role for change in changes] == [PREFILL] * 2


def test_demand_shift_must_persist() -> None:
    plan = RolePlan()
    engines = make_engines(6, 3)
    matching, shifted = Needs(3.0, 2.0), Needs(1.5, 4.5)
    run_plan(plan, engines, matching, 0.0, 20.0)
    assert (
        run_plan(plan, engines, shifted, 20.0, 20.0 + const.DEMAND_SHIFT_SECONDS - 1)
        == []
    )
    assert run_plan(plan, engines, matching, 30.0, 31.0) == []
    assert (
        run_plan(plan, engines, shifted, 31.0, 31.0 + const.DEMAND_SHIFT_SECONDS) == []
    )
    later = 31.0 + const.DEMAND_SHIFT_SECONDS
    assert run_plan(plan, engines, shifted, later, later + 1.0)


# An engine that changes its role is out of service for seconds. While both roles have
# enough engines, none is moved, however uneven their loads are.
@given(st.floats(0.0, 4 * PREFILL_TARGET), st.floats(0.0, 2 * DECODE_TARGET))
def test_engines_stay_while_both_roles_have_enough(
    reading: float, answering: float
) -> None:
    plan = RolePlan()
    engines = make_engines(4, 2)
    assert run_plan(plan, engines, Needs(reading, answering), 0.0, 20.0) == []


# When a prefill engine that can be spared leaves, no decode engines may be moved just
# because the list has changed: answers would slow down and miss their deadlines.
def test_roles_stay_when_a_spare_engine_leaves() -> None:
    plan = RolePlan()
    run_plan(plan, make_engines(5, 4), Needs(2.2, 2.8), 0.0, 2.0)
    assert run_plan(plan, make_engines(4, 4), Needs(2.2, 2.8), 2.0, 20.0) == []


def test_engine_is_moved_soon_when_a_needed_one_leaves() -> None:
    plan = RolePlan()
    needs = Needs(2.4, 1.3)
    run_plan(plan, make_engines(6, 2), needs, 0.0, 2.0)
    remaining = make_engines(6, 1)
    assert run_plan(plan, remaining, needs, 2.0, 2.0 + const.COUNT_CHANGE_SECONDS) == []
    later = 2.0 + const.COUNT_CHANGE_SECONDS
    (change,) = plan.decide(remaining, needs, True, later)
    assert change.role == DECODE


# If the list is short at first, the split that was rounded for two engines must not be
# kept for nine, or most engines have the wrong role when traffic starts.
def test_initial_split_follows_a_growing_list() -> None:
    plan = RolePlan()
    plan.decide(make_engines(2, 0), None, False, 0.0)
    engines = make_engines(3, 6)
    plan.decide(engines, None, False, 0.1)
    changes = plan.decide(engines, None, False, 0.1 + const.COUNT_CHANGE_SECONDS)
    assert len(changes) == round(9 * const.INITIAL_PREFILL_SHARE) - 3


# When the decode engines crash, all answers stop. Prefill engines are moved without
# waiting for the demand to show it.
def test_engines_are_moved_when_a_role_has_none_left() -> None:
    plan = RolePlan()
    needs = Needs(1.2, 1.1)
    plan.decide(make_engines(4, 2), needs, True, 0.0)
    changes = plan.decide(make_engines(4, 0), needs, True, 1.0)
    assert [change.role for change in changes] == [DECODE] * 2


# When the only decode engine crashes, it stays listed for three heartbeats, and another
# engine takes three seconds to change its role. Waiting for the list would stop all
# answers for eight seconds.
def test_engine_is_moved_immediately_when_a_role_is_unreachable() -> None:
    plan = RolePlan()
    needs = Needs(2.4, 0.5)
    engines = make_engines(5, 1)
    run_plan(plan, engines, needs, 0.0, 20.0)
    engines[5] = engines[5]._replace(is_reachable=False)
    (change,) = plan.decide(engines, needs, True, 20.0)
    assert change.role == DECODE


# Engines must not change roles whenever one of them crashes for a moment, or only the
# gateway that orders them is cut off from one.
def test_unreachable_engine_counts_while_its_role_has_others() -> None:
    plan = RolePlan()
    needs = Needs(2.4, 1.3)
    engines = make_engines(4, 2)
    run_plan(plan, engines, needs, 0.0, 20.0)
    engines[5] = engines[5]._replace(is_reachable=False)
    assert run_plan(plan, engines, needs, 20.0, 40.0) == []


@given(st.integers(0, 12), st.integers(0, 12))
def test_changes_lead_to_the_wanted_number(prefill: int, decode: int) -> None:
    engines = make_engines(prefill, decode)
    for needs in (Needs(1.0, 0.0), Needs(1.0, 1.0), Needs(0.0, 1.0)):
        wanted = choose_prefill(needs, len(engines))
        changes = choose_changes(engines, wanted)
        assert len(changes) == abs(prefill - wanted)
        roles = {engine.host: engine.role for engine in engines}
        roles |= dict(changes)
        assert sum(role == PREFILL for role in roles.values()) == wanted


# Of two decode engines, one is dead but still listed. If the other one were moved to
# prefill, all answers would stop.
def test_last_orderable_engine_stays_in_its_role() -> None:
    engines = make_engines(0, 2)
    engines[1] = engines[1]._replace(is_orderable=False)
    assert choose_changes(engines, 1) == []
    engines = make_engines(0, 3)
    engines[2] = engines[2]._replace(is_orderable=False)
    assert [change.host for change in choose_changes(engines, 1)] == ["e1"]


# Guards against streams that can't go on although hosts of their version serve: all
# decode engines of the version were made prefill engines, or none was made one.
@pytest.mark.parametrize(
    ("wanted", "described", "changed"),
    [
        (4, ("pv2", "dv2", "dv2", "pv1", "pv1", "dv1"), "e2"),
        (2, ("pv1", "pv2", "pv2", "dv2", "dv2", "dv2"), "e0"),
    ],
    ids=["keeps", "gets"],
)
def test_each_version_keeps_or_gets_a_decode_engine(
    wanted: int, described: tuple[str, ...], changed: str
) -> None:
    roles = {"p": PREFILL, "d": DECODE}
    engines = [
        engine._replace(role=roles[text[0]], version=text[1:])
        for engine, text in zip(make_engines(3, 3), described, strict=True)
    ]
    assert [change.host for change in choose_changes(engines, wanted)] == [changed]
