"""Tests of measuring what is needed of an upstream's engines."""

import pytest

from radishtally.stages import const
from radishtally.stages.demand import DemandTracker

RATE = 50_000.0
SLOTS = 64
MOST = 64 / 0.114
"""Events that an engine makes in a second, by learn_pace."""


def bring(
    demand: DemandTracker, prompt: int, answer: int, seconds: float, requests: int = 40
) -> None:
    """Let tokens come, so many a second, evenly; a tenth of them are events."""
    for number in range(int(seconds * requests)):
        now = number / requests
        tokens = answer // requests
        demand.record_request(prompt // requests, tokens, now)
        demand.record_answer(tokens // 10, tokens, 8.0, now)


def learn_pace(demand: DemandTracker) -> None:
    """Let events take 50 ms alone and 1 ms more for each other answer."""
    for answers in range(1, SLOTS + 1):
        for _ in range(20):
            demand.pace.record_events(answers, 1, 0.05 + 0.001 * answers)


# A window that is not full yet is taken for one in which little came: roles stay wrong
# for the first seconds.
@pytest.mark.parametrize("seconds", [const.MIN_DEMAND_SECONDS, 4.0, 20.0])
def test_needs_are_in_engines_from_the_first_seconds_on(seconds: float) -> None:
    demand = DemandTracker()
    learn_pace(demand)
    bring(demand, 125_000, 8_000, seconds)
    needs = demand.measure(RATE, SLOTS, seconds)
    assert needs.reading == pytest.approx(2.5, rel=0.1)
    assert needs.answering == pytest.approx(800 / MOST, rel=0.1)


def test_nothing_is_told_of_too_little() -> None:
    demand = DemandTracker()
    assert demand.measure(RATE, SLOTS, 5.0) is None
    bring(demand, 125_000, 8_000, const.MIN_DEMAND_SECONDS)
    assert demand.measure(RATE, SLOTS, const.MIN_DEMAND_SECONDS) is None
    learn_pace(demand)
    assert demand.measure(RATE, SLOTS, const.MIN_DEMAND_SECONDS / 2) is None
    assert demand.measure(RATE, SLOTS, const.MIN_DEMAND_SECONDS)


# Engines are taken from answers while these queue for full batches: few of them end,
# and what has ended looks like all that is wanted.
def test_answers_that_do_not_end_are_needed_too() -> None:
    demand = DemandTracker()
    learn_pace(demand)
    bring(demand, 1_000, 8_000, 4.0)
    assert demand.measure(RATE, SLOTS, 4.0) is not None
    for number in range(400):
        demand.record_request(0, 200, 4.0 + number / 40)
    needs = demand.measure(RATE, SLOTS, 14.0)
    assert needs.answering == pytest.approx(800 / MOST, rel=0.1)


# Roles are moved for one gateway's few long prompts: the others' demand is not seen.
def test_demand_of_all_gateways_counts() -> None:
    demand, other = DemandTracker(), DemandTracker()
    learn_pace(demand)
    for each in (demand, other):
        bring(each, 50_000, 4_000, 10.0)
    alone = demand.measure(RATE, SLOTS, 10.0)
    demand.record_report("peer", other.collect(10.0), 10.0)
    both = demand.measure(RATE, SLOTS, 10.0)
    assert both.reading == pytest.approx(2 * alone.reading)
    assert both.answering == pytest.approx(2 * alone.answering)
    later = 10.0 + const.STALE_SECONDS
    assert demand.collect(later, "third") == demand.collect(later)


# Engines are taken from answers in the first seconds: those answers that have ended are
# the short ones, and few events are told from many expected tokens.
def test_nothing_is_told_from_the_first_short_answers() -> None:
    demand = DemandTracker()
    learn_pace(demand)
    for number in range(200):
        demand.record_request(1_000, 300, number / 50)
    for number in range(50):
        demand.record_answer(5, 100, 8.0, 2.0 + number / 50)
    assert demand.measure(RATE, SLOTS, 4.0) is None
    for number in range(100):
        demand.record_answer(30, 300, 8.0, 4.0 + number / 50)
    assert demand.measure(RATE, SLOTS, 6.0) is not None
