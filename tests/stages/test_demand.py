"""Tests of computing the engines that the demand needs."""

import pytest

from radishtally.stages import const
from radishtally.stages.demand import DemandTracker

RATE = 50_000.0
SLOTS = 64
MAX_EVENT_RATE = 64 / 0.114
"""Event rate of an engine, according to learn_pace."""


def record_traffic(
    demand: DemandTracker, prompt: int, answer: int, seconds: float, requests: int = 40
) -> None:
    """Record evenly spaced requests, in tokens per second; 10 tokens form an event."""
    for number in range(int(seconds * requests)):
        now = number / requests
        tokens = answer // requests
        demand.record_request(prompt // requests, tokens, now)
        demand.record_answer(tokens // 10, tokens, 8.0, now)


def learn_pace(demand: DemandTracker) -> None:
    """Record event intervals of 50 ms plus 1 ms for each answer."""
    for answers in range(1, SLOTS + 1):
        for _ in range(20):
            demand.pace.record_events(answers, 1, 0.05 + 0.001 * answers)


# A window that is not full yet must not look like low demand, or roles stay wrong for
# the first seconds.
@pytest.mark.parametrize("seconds", [const.MIN_DEMAND_SECONDS, 4.0, 20.0])
def test_needs_are_right_from_the_first_seconds_on(seconds: float) -> None:
    demand = DemandTracker()
    learn_pace(demand)
    record_traffic(demand, 125_000, 8_000, seconds)
    needs = demand.measure(RATE, SLOTS, seconds)
    assert needs.reading == pytest.approx(2.5, rel=0.1)
    assert needs.answering == pytest.approx(800 / MAX_EVENT_RATE, rel=0.1)


def test_needs_are_unknown_with_too_little_data() -> None:
    demand = DemandTracker()
    assert demand.measure(RATE, SLOTS, 5.0) is None
    record_traffic(demand, 125_000, 8_000, const.MIN_DEMAND_SECONDS)
    assert demand.measure(RATE, SLOTS, const.MIN_DEMAND_SECONDS) is None
    learn_pace(demand)
    assert demand.measure(RATE, SLOTS, const.MIN_DEMAND_SECONDS / 2) is None
    assert demand.measure(RATE, SLOTS, const.MIN_DEMAND_SECONDS)


# When answers queue for full batches, few of them end. If only complete answers
# counted, engines would be taken away from decode.
def test_unfinished_answers_count_as_demand() -> None:
    demand = DemandTracker()
    learn_pace(demand)
    record_traffic(demand, 1_000, 8_000, 4.0)
    assert demand.measure(RATE, SLOTS, 4.0) is not None
    for number in range(400):
        demand.record_request(0, 200, 4.0 + number / 40)
    needs = demand.measure(RATE, SLOTS, 14.0)
    assert needs.answering == pytest.approx(800 / MAX_EVENT_RATE, rel=0.1)


# Without the demand of other gateways, roles would follow the requests of a single one.
def test_needs_include_the_demand_of_all_gateways() -> None:
    demand, other = DemandTracker(), DemandTracker()
    learn_pace(demand)
    for tracker in (demand, other):
        record_traffic(tracker, 50_000, 4_000, 10.0)
    single = demand.measure(RATE, SLOTS, 10.0)
    demand.record_report("peer", other.collect(10.0), 10.0)
    both = demand.measure(RATE, SLOTS, 10.0)
    assert both.reading == pytest.approx(2 * single.reading)
    assert both.answering == pytest.approx(2 * single.answering)
    later = 10.0 + const.STALE_SECONDS
    assert demand.collect(later, "third") == demand.collect(later)


# In the first seconds only short answers have ended, with few events for their expected
# tokens. If they were used, engines would be taken away from decode.
def test_first_short_answers_are_not_representative() -> None:
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
