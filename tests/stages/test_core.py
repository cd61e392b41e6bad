"""Tests of sharing engines out between prompts and answers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.links.messages import DECODE, PREFILL
from radishtally.stages import const
from radishtally.stages.core import (
    Demand,
    DemandSums,
    Engine,
    StagePlan,
    bound_prefill,
    choose_changes,
)

PLACES = ("a", "b", "c")


def make_engines(prefill: int, decode: int) -> list[Engine]:
    roles = [PREFILL] * prefill + [DECODE] * decode
    return [
        Engine(f"e{number}", PLACES[number % 3], role)
        for number, role in enumerate(roles)
    ]


def test_roles_are_set_once_the_list_has_settled() -> None:
    plan = StagePlan()
    engines = make_engines(3, 6)
    assert plan.decide(engines, const.START_SHARE, 0.0) == []
    changes = plan.decide(engines, const.START_SHARE, const.LACK_SECONDS)
    wanted = round(9 * const.START_SHARE)
    assert [change.role for change in changes] == [PREFILL] * (wanted - 3)


def test_shift_of_demand_must_last() -> None:
    plan = StagePlan()
    engines = make_engines(6, 3)
    plan.decide(engines, 0.66, 0.0)
    assert plan.decide(engines, 0.3, 1.0) == []
    assert plan.decide(engines, 0.66, 2.0) == []
    assert plan.decide(engines, 0.3, 10.0) == []
    plan.decide(engines, 0.3, 10.0 + const.SHIFT_SECONDS)
    later = 10.0 + const.SHIFT_SECONDS
    assert plan.decide(engines, 0.3, later + const.TICK_SECONDS)


# Answers slow down until long ones miss their deadlines: an engine for prompts leaves,
# and two of those for answers are moved over since the list is a new one.
def test_roles_keep_their_shares_when_an_engine_leaves() -> None:
    plan = StagePlan()
    plan.decide(make_engines(5, 4), 0.6, 0.0)
    left = make_engines(4, 4)
    for second in range(4):
        assert plan.decide(left, 0.75, second + 1.0) == []


# Most engines have the wrong role as traffic begins: the list was short when roles were
# first thought of, and the rounding of a share of two engines was kept for nine.
def test_share_is_not_rounded_for_a_list_that_grows() -> None:
    plan = StagePlan()
    plan.decide(make_engines(2, 0), 0.6, 0.0)
    engines = make_engines(3, 6)
    plan.decide(engines, 0.6, 0.1)
    changes = plan.decide(engines, 0.6, 0.1 + const.LACK_SECONDS)
    assert len(changes) == round(9 * const.START_SHARE) - 3


# Long answers miss their deadlines: estimated demand asks for more engines for prompts
# while those that make answers have all they can do.
@pytest.mark.parametrize(("answers", "moved"), [(30, False), (10, True)])
def test_engines_for_answers_are_taken_only_where_they_can_be_spared(
    answers: int, moved: bool
) -> None:
    plan = StagePlan()
    engines = [engine._replace(answers=answers) for engine in make_engines(5, 4)]
    changes = [plan.decide(engines, 0.9, now / 2) for now in range(20)]
    assert any(changes) == moved


@pytest.mark.parametrize(("wait", "moved"), [(0.3, False), (0.0, True)])
def test_engines_for_prompts_are_taken_only_where_no_prompt_waits(
    wait: float, moved: bool
) -> None:
    plan = StagePlan()
    engines = [engine._replace(wait=wait) for engine in make_engines(5, 4)]
    changes = [plan.decide(engines, 0.2, now / 2) for now in range(20)]
    assert any(changes) == moved


# All answers stop: the only engine that makes answers crashes, and the others compute
# prompts. One of them is moved over without waiting for demand to show it.
def test_engine_is_moved_when_a_role_is_gone() -> None:
    plan = StagePlan()
    plan.decide(make_engines(4, 2), 0.66, 0.0)
    left = make_engines(4, 0)
    plan.decide(left, 0.66, 1.0)
    changes = plan.decide(left, 0.66, 1.0 + const.SETTLE_SECONDS)
    assert [change.role for change in changes] == [DECODE] * 2


@given(st.integers(0, 12), st.integers(0, 12))
def test_changes_give_the_wanted_number(prefill: int, decode: int) -> None:
    engines = make_engines(prefill, decode)
    for share in (0.0, 0.5, 1.0):
        wanted = bound_prefill(round(share * len(engines)), len(engines))
        changes = choose_changes(engines, wanted)
        assert len(changes) == abs(prefill - wanted)
        roles = {engine.host: engine.role for engine in engines}
        roles |= dict(changes)
        assert sum(role == PREFILL for role in roles.values()) == wanted


def test_few_engines_keep_one_for_answers() -> None:
    assert bound_prefill(3, 3) == 2
    assert bound_prefill(9, 9) == 9 - const.MIN_DECODE
    assert bound_prefill(1, 1) == 0


# Roles are moved for one gateway's few long prompts: the others' demand is not seen.
def test_demand_of_all_gateways_counts() -> None:
    demand = Demand()
    demand.note(750_000, 0, 0.0)
    alone = demand.find_share(0.0)
    demand.take_report("peer", DemandSums(10.0, 60.0), 0.0)
    assert demand.find_share(0.0) < const.START_SHARE < alone
    assert demand.find_share(const.STALE_SECONDS + 1) > const.START_SHARE


def test_few_requests_say_little_against_the_assumed_share() -> None:
    demand = Demand()
    assert demand.find_share(0.0) == pytest.approx(const.START_SHARE)
    demand.note(0, 1_850, 0.0)
    assert abs(demand.find_share(0.0) - const.START_SHARE) < 0.05


# All answers stop: of two engines that make them one is dead and still listed, and the
# other one is made to read prompts in its place.
def test_last_engine_that_can_be_ordered_stays_in_its_role() -> None:
    engines = make_engines(0, 2)
    engines[1] = engines[1]._replace(is_orderable=False)
    assert choose_changes(engines, 1) == []
    engines = make_engines(0, 3)
    engines[2] = engines[2]._replace(is_orderable=False)
    assert [change.host for change in choose_changes(engines, 1)] == ["e1"]
