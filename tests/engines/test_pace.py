"""Tests of estimating how decode slows down with the batch size."""

import random

import pytest

from radishtally.engines.pace import (
    FULL_BATCH_SLOWDOWN,
    MIN_ANSWERS,
    PaceEstimator,
    RequiredSpeedEstimator,
)

SLOTS = 64


# The slowdown of a full batch differs by a factor of four between models. An assumed
# value would leave decode short of engines for one model and prefill for another.
@pytest.mark.parametrize(("base", "per_answer"), [(0.030, 0.0012), (0.036, 0.0003)])
def test_fit_recovers_the_line_from_noisy_intervals(
    base: float, per_answer: float
) -> None:
    pace, rng = PaceEstimator(), random.Random(1)
    for _ in range(1_000):
        answers = rng.randint(2, 40)
        seconds = (base + per_answer * answers) * rng.uniform(0.7, 1.3)
        pace.record_events(answers, 1, seconds)
    fitted = pace.fit(SLOTS)
    assert fitted.interval_at(20) == pytest.approx(base + per_answer * 20, rel=0.05)
    assert fitted.interval_at(SLOTS) == pytest.approx(
        base + per_answer * SLOTS, rel=0.15
    )


def test_slowdown_is_assumed_until_observed() -> None:
    pace = PaceEstimator()
    for _ in range(100):
        pace.record_events(8, 1, 0.045)
    fitted = pace.fit(SLOTS)
    assert fitted.interval_at(8) == pytest.approx(0.045)
    assert fitted.interval_at(SLOTS) == pytest.approx(
        FULL_BATCH_SLOWDOWN * fitted.base, rel=0.01
    )


def test_fit_follows_a_model_that_becomes_slower() -> None:
    pace = PaceEstimator()
    for seconds in (0.03, 0.09):
        for number in range(10_000):
            pace.record_events(5 + number % 10, 1, seconds)
    assert pace.fit(SLOTS).interval_at(10) == pytest.approx(0.09, rel=0.05)


# A paused process observes seconds between events, and engines would look too slow.
def test_stalls_are_ignored() -> None:
    pace = PaceEstimator()
    for _ in range(100):
        pace.record_events(4, 1, 0.04)
    pace.record_events(4, 1, 5.0)
    assert pace.fit(SLOTS).interval_at(4) == pytest.approx(0.04)


def test_events_received_together_are_counted_individually() -> None:
    pace = PaceEstimator()
    for _ in range(50):
        pace.record_events(4, 5, 0.2)
    assert pace.is_known
    assert pace.fit(SLOTS).interval_at(4) == pytest.approx(0.04)


def test_deadlines_bound_the_event_interval() -> None:
    speed = RequiredSpeedEstimator()
    speed.record_answer(40, 8.0)
    assert speed.max_interval == float("inf")
    for _ in range(int(MIN_ANSWERS) + 5):
        speed.record_answer(40, 8.0)
    # Twice as fast as 40 events in 8 s.
    assert speed.max_interval == pytest.approx(0.1, rel=0.05)
