"""Tests of the estimate of demand."""

import pytest

from radishtally.planner.demand import Demand, DemandRates, Mix, WorkCounters
from tests.planner.common import LONG_ANSWERS, LONG_PROMPTS, add_counts


def feed(demand, asked, start, seconds, counts=None, skip=()):
    counts = counts or WorkCounters(0, 0, 0, 0)
    demand.note("a", counts, start)
    for second in range(1, seconds + 1):
        counts = add_counts(counts, asked, 1.0)
        if second not in skip:
            demand.note("a", counts, start + second)
    return counts


def test_follows_what_is_asked():
    demand = Demand(0.0)
    counts = feed(demand, LONG_PROMPTS, 0.0, 60)
    assert demand.read(60.0).prefill_tokens == pytest.approx(40_000, rel=0.1)
    feed(demand, LONG_ANSWERS, 60.0, 40, counts)
    assert demand.read(100.0).prefill_tokens == pytest.approx(2_000, rel=0.5)
    assert demand.read(100.0).decode_tokens == pytest.approx(8_000, rel=0.1)


def test_a_young_window_is_not_taken_for_a_quiet_pool():
    demand = Demand(0.0)
    feed(demand, LONG_PROMPTS, 0.0, 4)
    assert demand.read(4.0).prefill_tokens == pytest.approx(40_000, rel=0.2)


def test_a_lost_report_loses_no_work():
    whole, gaps = Demand(0.0), Demand(0.0)
    feed(whole, LONG_PROMPTS, 0.0, 30)
    feed(gaps, LONG_PROMPTS, 0.0, 30, skip=(5, 6, 7, 20))
    expected = whole.read(30.0).prefill_tokens
    assert gaps.read(30.0).prefill_tokens == pytest.approx(expected, rel=0.05)


def test_a_restarted_agent_counts_from_nothing():
    demand = Demand(0.0)
    demand.note("a", WorkCounters(1_000_000, 1_000_000, 1_000, 0), 0.0)
    demand.note("a", WorkCounters(100, 10, 1, 0), 1.0)
    assert 0 < demand.read(1.0).prefill_tokens < 1_000


def test_the_first_report_of_an_old_agent_is_no_burst():
    demand = Demand(0.0)
    demand.note("a", WorkCounters(1_000_000, 1_000_000, 1_000, 0), 0.0)
    assert demand.read(1.0) == DemandRates(0.0, 0.0, 0.0, 0.0)


def test_refused_work_is_asked_for_too():
    """A pool at its limit accepts no more than it can do.

    From accepted work alone the planner would see a pool that is just busy enough.
    """
    demand = Demand(0.0)
    feed(demand, LONG_PROMPTS._replace(refused=30.0), 0.0, 60)
    assert demand.read(60.0).prefill_tokens == pytest.approx(60_000, rel=0.1)


def swing(mix, period, until):
    for second in range(until):
        share = 0.9 if second // period % 2 == 0 else 0.1
        mix.note(share, float(second))


def test_a_new_mix_is_expected_to_last_as_long_as_it_has():
    mix = Mix()
    assert mix.predict_remaining(5.0) == 0.0
    mix.note(0.5, 0.0)
    assert mix.predict_remaining(40.0) == 40.0
    assert mix.predict_remaining(100_000.0) == 900.0


def test_a_swinging_mix_is_expected_to_swing_again():
    mix = Mix()
    swing(mix, 60, 601)
    assert mix.predict_remaining(600.0) == pytest.approx(60.0)
    assert mix.predict_remaining(645.0) == pytest.approx(15.0)


def test_the_way_from_one_mix_to_another_is_no_mix():
    mix = Mix()
    mix.note(0.9, 0.0)
    for second in range(300, 310):
        mix.note(0.9 - 0.08 * (second - 300), float(second))
    assert mix.predict_remaining(311.0) > 200
    assert mix.predict_length(311.0) > 200
