"""Tests of the planning policies."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.configuration.config import Policy
from radishtally.links.messages import DECODE, MIXED, PREFILL
from radishtally.planner.capacity import complete_speeds, compute_served_share
from radishtally.planner.demand import DemandRates
from radishtally.planner.policies import decide
from tests.planner.common import (
    COST,
    LONG_ANSWERS,
    LONG_PROMPTS,
    SPEEDS,
    make_engines,
    make_view,
)

SPLIT = make_engines(PREFILL, PREFILL, DECODE, DECODE, DECODE, MIXED)
THRESHOLD = Policy(planning="threshold")


@pytest.mark.parametrize(
    ("demand", "counts", "expected"),
    [
        (DemandRates(5_950, 0, 1, 0), {MIXED: 1}, 1.0),
        (DemandRates(11_900, 0, 1, 0), {MIXED: 1}, 0.5),
        (DemandRates(5_950, 544, 1, 0), {MIXED: 1}, 0.5),
        (DemandRates(5_950, 544, 1, 0), {MIXED: 2}, 1.0),
        (DemandRates(1_000, 100, 1, 0), {PREFILL: 3}, 0.0),
        (DemandRates(0, 0, 0, 0), {}, 1.0),
    ],
)
def test_served_share(demand, counts, expected):
    assert compute_served_share(demand, counts, SPEEDS) == pytest.approx(
        expected, abs=1e-6
    )


def test_speeds_of_absent_roles_are_estimated_from_others():
    speeds = complete_speeds({PREFILL: SPEEDS[PREFILL]})
    assert set(speeds) == {MIXED, PREFILL, DECODE}
    assert speeds[PREFILL] == SPEEDS[PREFILL]
    assert speeds[MIXED].prefill_tokens < speeds[PREFILL].prefill_tokens
    assert complete_speeds({}) == {}


@pytest.mark.parametrize(
    ("policy", "engines", "more", "expected"),
    [
        (Policy(), SPLIT, {}, None),
        (COST, SPLIT, {}, PREFILL),
        (COST, SPLIT, {"demand": LONG_ANSWERS}, DECODE),
        (COST, SPLIT, {"demand": DemandRates(5_000, 500, 5, 0)}, None),
        (COST, SPLIT, {"remaining": 10.0}, None),
        (COST, SPLIT, {"changing": True}, None),
        (COST, SPLIT, {"last_change": 80.0}, None),
        (COST, SPLIT, {"last_change": 70.0}, PREFILL),
        (Policy(planning="cost", role_change_cost=1e6), SPLIT, {}, None),
        (Policy(planning="cost", goodput_weight=0.0), SPLIT, {}, None),
        (THRESHOLD, SPLIT, {}, PREFILL),
        (THRESHOLD, SPLIT, {"demand": LONG_ANSWERS}, DECODE),
        (THRESHOLD, SPLIT, {"demand": DemandRates(5_000, 500, 5, 0)}, None),
        (THRESHOLD, SPLIT, {"changing": True}, None),
        (Policy(planning="static"), SPLIT, {}, None),
        (
            Policy(planning="static"),
            make_engines(MIXED, PREFILL, configured=MIXED),
            {},
            MIXED,
        ),
    ],
)
def test_decision(policy, engines, more, expected):
    decision = decide(make_view(engines, **more), policy, 100.0)
    assert (decision.role if decision else None) == expected


def test_cause_contains_figures():
    decision = decide(make_view(SPLIT), COST, 100.0)
    for part in ("asked 20.0 requests/s", "over 600 s", "saves", "a change costs 1.0"):
        assert part in decision.cause


def test_least_busy_engine_is_moved():
    engines = tuple(
        engine._replace(requests=0 if number == 3 else 5)
        for number, engine in enumerate(SPLIT)
    )
    assert decide(make_view(engines), COST, 100.0).host == "gown-3"


def test_higher_cost_of_change_needs_a_longer_mix():
    """Lagna favours goodput, Brolga few changes; only the weights differ."""
    view = make_view(SPLIT, remaining=60.0)
    lagna = Policy(planning="cost", drain_seconds=5.0, goodput_weight=4.0)
    brolga = Policy(planning="cost", drain_seconds=5.0, role_change_cost=500.0)
    assert decide(view, lagna, 100.0) is not None
    assert decide(view, brolga, 100.0) is None


ROLES = st.sampled_from([MIXED, PREFILL, DECODE])
ENGINES = st.lists(
    st.tuples(ROLES, ROLES, st.sampled_from(["gown", "sari"]), st.booleans()),
    min_size=1,
    max_size=9,
)
RATES = st.floats(0.0, 100_000.0)
DEMANDS = st.builds(DemandRates, RATES, RATES, st.floats(0.0, 200.0), st.just(0.0))
PLANNING = st.sampled_from(["off", "static", "threshold", "cost"])


@given(ENGINES, DEMANDS, PLANNING)
def test_last_engine_of_a_role_or_model_is_never_moved(items, demand, planning):
    """An engine that changes its role is out of service for seconds.

    Without the last engine of a model, all its callers would be refused; without the
    last engine of a role, requests of its stage would find no host. Only a role that no
    operator configured may end, if mixed engines serve its stage.
    """
    engines = tuple(
        make_engines(role)[0]._replace(
            host=f"gown-{number}",
            model=model,
            configured_role=wanted,
            draining=draining,
        )
        for number, (role, wanted, model, draining) in enumerate(items)
    )
    policy = Policy(planning=planning, role_change_cost=0.0)
    decision = decide(make_view(engines, demand=demand), policy, 100.0)
    if decision is None:
        return
    chosen = next(item for item in engines if item.host == decision.host)
    others = [item for item in engines if item != chosen and not item.draining]
    assert decision.role != chosen.role
    assert not chosen.draining
    assert chosen.model in {item.model for item in others}
    roles = {item.role for item in others}
    configured = {item.configured_role for item in engines}
    is_surplus = chosen.role not in configured and MIXED in roles
    assert chosen.role in roles or is_surplus


@given(ENGINES, DEMANDS, st.floats(0.0, 30.0, exclude_max=True))
def test_no_second_change_within_the_dwell_time(items, demand, passed):
    engines = make_engines(*(role for role, _, _, _ in items))
    view = make_view(engines, demand=demand, last_change=100.0)
    for planning in ("static", "threshold", "cost"):
        policy = Policy(planning=planning, role_change_cost=0.0)
        assert decide(view, policy, 100.0 + passed) is None


def test_long_prompts_exceed_the_capacity():
    assert (
        compute_served_share(LONG_PROMPTS, {PREFILL: 2, DECODE: 3, MIXED: 1}, SPEEDS)
        < 0.6
    )
