"""Tests of estimating demand and mixes."""

import pytest

from radishtally.planner.demand import (
    DemandEstimator,
    DemandRates,
    MixTracker,
    WorkCounters,
)
from tests.planner.common import LONG_ANSWERS, LONG_PROMPTS, add_counts


def feed(estimator, demand, start, seconds, counts=None, skip=()):
    counts = counts or WorkCounters(0, 0, 0, 0)
    estimator.record_counters("a", counts, start)
    for second in range(1, seconds + 1):
        counts = add_counts(counts, demand, 1.0)
        if second not in skip:
            estimator.record_counters("a", counts, start + second)
    return counts


def test_estimate_follows_the_demand():
    estimator = DemandEstimator(0.0)
    counts = feed(estimator, LONG_PROMPTS, 0.0, 60)
    assert estimator.read(60.0).prefill_tokens == pytest.approx(40_000, rel=0.1)
    feed(estimator, LONG_ANSWERS, 60.0, 40, counts)
    assert estimator.read(100.0).prefill_tokens == pytest.approx(2_000, rel=0.5)
    assert estimator.read(100.0).decode_tokens == pytest.approx(8_000, rel=0.1)


def test_new_window_does_not_underestimate_demand():
    estimator = DemandEstimator(0.0)
    feed(estimator, LONG_PROMPTS, 0.0, 4)
    assert estimator.read(4.0).prefill_tokens == pytest.approx(40_000, rel=0.2)


def test_lost_reports_lose_no_work():
    complete, gaps = DemandEstimator(0.0), DemandEstimator(0.0)
    feed(complete, LONG_PROMPTS, 0.0, 30)
    feed(gaps, LONG_PROMPTS, 0.0, 30, skip=(5, 6, 7, 20))
    expected = complete.read(30.0).prefill_tokens
    assert gaps.read(30.0).prefill_tokens == pytest.approx(expected, rel=0.05)


def test_restarted_agent_counts_from_zero():
    estimator = DemandEstimator(0.0)
    estimator.record_counters("a", WorkCounters(1_000_000, 1_000_000, 1_000, 0), 0.0)
    estimator.record_counters("a", WorkCounters(100, 10, 1, 0), 1.0)
    assert 0 < estimator.read(1.0).prefill_tokens < 1_000


def test_first_report_of_a_long_running_agent_is_no_burst():
    estimator = DemandEstimator(0.0)
    estimator.record_counters("a", WorkCounters(1_000_000, 1_000_000, 1_000, 0), 0.0)
    assert estimator.read(1.0) == DemandRates(0.0, 0.0, 0.0, 0.0)


def test_refused_requests_count_as_demand():
    """A saturated pool accepts no more than it can serve.

    By accepted requests alone, its demand would seem to match its capacity.
    """
    estimator = DemandEstimator(0.0)
    feed(estimator, LONG_PROMPTS._replace(refused=30.0), 0.0, 60)
    assert estimator.read(60.0).prefill_tokens == pytest.approx(60_000, rel=0.1)


def alternate(mix, period, until):
    for second in range(until):
        share = 0.9 if second // period % 2 == 0 else 0.1
        mix.record_share(share, float(second))


def test_new_mix_is_expected_to_last_as_long_again():
    mix = MixTracker()
    assert mix.predict_remaining(5.0) == 0.0
    mix.record_share(0.5, 0.0)
    assert mix.predict_remaining(40.0) == 40.0
    assert mix.predict_remaining(100_000.0) == 900.0


def test_alternating_mix_is_expected_to_alternate_again():
    mix = MixTracker()
    alternate(mix, 60, 601)
    assert mix.predict_remaining(600.0) == pytest.approx(60.0)
    assert mix.predict_remaining(645.0) == pytest.approx(15.0)


def test_transition_between_mixes_is_no_mix():
    mix = MixTracker()
    mix.record_share(0.9, 0.0)
    for second in range(300, 310):
        mix.record_share(0.9 - 0.08 * (second - 300), float(second))
    assert mix.predict_remaining(311.0) > 200
    assert mix.predict_length(311.0) > 200
