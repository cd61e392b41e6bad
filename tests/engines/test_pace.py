"""Tests of learning how answers slow each other down."""

import random

import pytest

from radishtally.engines.pace import (
    FULL_BATCH_SLOWDOWN,
    MIN_ANSWERS,
    PaceEstimator,
    RequiredSpeedEstimator,
)

SLOTS = 64


# How much a full batch slows answers down differs by a factor of four from one model to
# the next: assumed, it leaves answers short of engines at one and prompts at another.
@pytest.mark.parametrize(("alone", "each"), [(0.030, 0.0012), (0.036, 0.0003)])
def test_line_is_found_through_scattered_times(alone: float, each: float) -> None:
    pace, chance = PaceEstimator(), random.Random(1)
    for _ in range(1_000):
        answers = chance.randint(2, 40)
        seconds = (alone + each * answers) * chance.uniform(0.7, 1.3)
        pace.record_events(answers, 1, seconds)
    fitted = pace.fit(SLOTS)
    assert fitted.interval_at(20) == pytest.approx(alone + each * 20, rel=0.05)
    assert fitted.interval_at(SLOTS) == pytest.approx(alone + each * SLOTS, rel=0.15)


def test_slowdown_is_assumed_until_it_is_seen() -> None:
    pace = PaceEstimator()
    for _ in range(100):
        pace.record_events(8, 1, 0.045)
    fitted = pace.fit(SLOTS)
    assert fitted.interval_at(8) == pytest.approx(0.045)
    assert fitted.interval_at(SLOTS) == pytest.approx(
        FULL_BATCH_SLOWDOWN * fitted.base, rel=0.01
    )


def test_model_that_turns_slower_is_followed() -> None:
    pace = PaceEstimator()
    for seconds in (0.03, 0.09):
        for number in range(10_000):
            pace.record_events(5 + number % 10, 1, seconds)
    assert pace.fit(SLOTS).interval_at(10) == pytest.approx(0.09, rel=0.05)


# Engines look too slow for any answer: a paused process finds seconds between events.
def test_stall_is_no_pace() -> None:
    pace = PaceEstimator()
    for _ in range(100):
        pace.record_events(4, 1, 0.04)
    pace.record_events(4, 1, 5.0)
    assert pace.fit(SLOTS).interval_at(4) == pytest.approx(0.04)


def test_events_that_come_together_count_each() -> None:
    pace = PaceEstimator()
    for _ in range(50):
        pace.record_events(4, 5, 0.2)
    assert pace.is_known
    assert pace.fit(SLOTS).interval_at(4) == pytest.approx(0.04)


def test_long_answers_bound_the_time_of_an_event() -> None:
    speed = RequiredSpeedEstimator()
    speed.record_answer(40, 8.0)
    assert speed.max_interval == float("inf")
    for _ in range(int(MIN_ANSWERS) + 5):
        speed.record_answer(40, 8.0)
    # Twice as fast as 40 events in 8 s.
    assert speed.max_interval == pytest.approx(0.1, rel=0.05)
