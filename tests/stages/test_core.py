"""Tests of sharing engines out between prompts and answers."""

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


def play(
    plan: RolePlan,
    engines: list[Engine],
    needs: Needs | None,
    begin: float,
    end: float,
) -> list[RoleChange]:
    """Look at the engines as often as the keeper does; give all changes."""
    changes = []
    for tick in range(round((end - begin) / const.TICK_SECONDS)):
        now = begin + tick * const.TICK_SECONDS
        changes += plan.decide(engines, needs, True, now)
    return changes


def test_roles_are_set_before_traffic_once_the_list_has_settled() -> None:
    plan = RolePlan()
    engines = make_engines(3, 6)
    assert plan.decide(engines, None, False, 0.0) == []
    changes = plan.decide(engines, None, False, const.SETTLE_SECONDS)
    wanted = round(9 * const.INITIAL_PREFILL_SHARE)
    assert [change.role for change in changes] == [PREFILL] * (wanted - 3)


# Prompts wait for seconds: a gateway starts again amid traffic, takes the lease and
# brings back the shares that are assumed before traffic tells.
def test_gateway_that_starts_amid_traffic_keeps_the_roles() -> None:
    assert play(RolePlan(), make_engines(8, 1), None, 0.0, 20.0) == []


# Prompts wait for seconds though engines idle: most engines have the wrong role as
# traffic begins. Its first measure corrects that at once, nothing being learned later
# that would be worth the wait.
def test_first_measure_moves_engines_at_once() -> None:
    plan = RolePlan()
    engines = make_engines(3, 3)
    play(plan, engines, None, 0.0, 2.0)
    changes = plan.decide(engines, Needs(2.8, 0.5), True, 2.0)
    assert [change.role for change in changes] == [PREFILL] * 2


def test_shift_of_demand_must_last() -> None:
    plan = RolePlan()
    engines = make_engines(6, 3)
    fits, asks = Needs(3.0, 2.0), Needs(1.5, 4.5)
    play(plan, engines, fits, 0.0, 20.0)
    assert play(plan, engines, asks, 20.0, 20.0 + const.DEMAND_SHIFT_SECONDS - 1) == []
    assert play(plan, engines, fits, 30.0, 31.0) == []
    assert play(plan, engines, asks, 31.0, 31.0 + const.DEMAND_SHIFT_SECONDS) == []
    later = 31.0 + const.DEMAND_SHIFT_SECONDS
    assert play(plan, engines, asks, later, later + 1.0)


# An engine that changes serves nobody for seconds. Where both roles have enough engines
# none is moved, however uneven their loads are.
@given(st.floats(0.0, 4 * PREFILL_TARGET), st.floats(0.0, 2 * DECODE_TARGET))
def test_engines_stay_while_both_roles_have_enough(
    reading: float, answering: float
) -> None:
    plan = RolePlan()
    engines = make_engines(4, 2)
    assert play(plan, engines, Needs(reading, answering), 0.0, 20.0) == []


# Answers slow down until long ones miss their deadlines: an engine for prompts leaves,
# and two of those for answers are moved over since the list is a new one.
def test_roles_stay_when_an_engine_leaves_that_can_be_spared() -> None:
    plan = RolePlan()
    play(plan, make_engines(5, 4), Needs(2.2, 2.8), 0.0, 2.0)
    assert play(plan, make_engines(4, 4), Needs(2.2, 2.8), 2.0, 20.0) == []


def test_engine_is_moved_soon_when_one_leaves_that_is_missed() -> None:
    plan = RolePlan()
    needs = Needs(2.4, 1.3)
    play(plan, make_engines(6, 2), needs, 0.0, 2.0)
    left = make_engines(6, 1)
    assert play(plan, left, needs, 2.0, 2.0 + const.COUNT_CHANGE_SECONDS) == []
    later = 2.0 + const.COUNT_CHANGE_SECONDS
    (change,) = plan.decide(left, needs, True, later)
    assert change.role == DECODE


# Most engines have the wrong role as traffic begins: the list was short when roles were
# first thought of, and the rounding of a share of two engines was kept for nine.
def test_share_is_not_rounded_for_a_list_that_grows() -> None:
    plan = RolePlan()
    plan.decide(make_engines(2, 0), None, False, 0.0)
    engines = make_engines(3, 6)
    plan.decide(engines, None, False, 0.1)
    changes = plan.decide(engines, None, False, 0.1 + const.COUNT_CHANGE_SECONDS)
    assert len(changes) == round(9 * const.INITIAL_PREFILL_SHARE) - 3


# All answers stop: the only engine that makes answers crashes, and the others compute
# prompts. One of them is moved over without waiting for demand to show it.
def test_engine_is_moved_when_a_role_is_gone() -> None:
    plan = RolePlan()
    needs = Needs(1.2, 1.1)
    plan.decide(make_engines(4, 2), needs, True, 0.0)
    changes = plan.decide(make_engines(4, 0), needs, True, 1.0)
    assert [change.role for change in changes] == [DECODE] * 2


# All answers stop for eight seconds: the only engine that makes them crashes, stays
# listed for three heartbeats, and another one takes three seconds to change its role.
def test_engine_is_moved_at_once_when_no_other_of_a_role_is_reached() -> None:
    plan = RolePlan()
    needs = Needs(2.4, 0.5)
    engines = make_engines(5, 1)
    play(plan, engines, needs, 0.0, 20.0)
    engines[5] = engines[5]._replace(is_reachable=False)
    (change,) = plan.decide(engines, needs, True, 20.0)
    assert change.role == DECODE


# Engines change their roles whenever one of them crashes for a moment, or the gateway
# that orders them is cut off from one of them alone.
def test_engine_out_of_reach_counts_while_its_role_has_others() -> None:
    plan = RolePlan()
    needs = Needs(2.4, 1.3)
    engines = make_engines(4, 2)
    play(plan, engines, needs, 0.0, 20.0)
    engines[5] = engines[5]._replace(is_reachable=False)
    assert play(plan, engines, needs, 20.0, 40.0) == []


@given(st.integers(0, 12), st.integers(0, 12))
def test_changes_give_the_wanted_number(prefill: int, decode: int) -> None:
    engines = make_engines(prefill, decode)
    for needs in (Needs(1.0, 0.0), Needs(1.0, 1.0), Needs(0.0, 1.0)):
        wanted = choose_prefill(needs, len(engines))
        changes = choose_changes(engines, wanted)
        assert len(changes) == abs(prefill - wanted)
        roles = {engine.host: engine.role for engine in engines}
        roles |= dict(changes)
        assert sum(role == PREFILL for role in roles.values()) == wanted


# All answers stop: of two engines that make them one is dead and still listed, and the
# other one is made to read prompts in its place.
def test_last_engine_that_can_be_ordered_stays_in_its_role() -> None:
    engines = make_engines(0, 2)
    engines[1] = engines[1]._replace(is_orderable=False)
    assert choose_changes(engines, 1) == []
    engines = make_engines(0, 3)
    engines[2] = engines[2]._replace(is_orderable=False)
    assert [change.host for change in choose_changes(engines, 1)] == ["e1"]
