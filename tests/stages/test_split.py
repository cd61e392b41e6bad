"""Tests of sharing engines out by what is needed of them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.engines.pace import Pace
from radishtally.stages.split import (
    DECODE_TARGET,
    PREFILL_TARGET,
    Needs,
    choose_prefill,
    find_max_event_rate,
    score_split,
)


# Patterns of load, worked out from nothing but rates: tokens that come a second over
# tokens that an engine reads, events over events that it makes. A fixed share of the
# engines fits one of them and ruins the next: prompts wait for seconds while engines
# for answers idle, or answers miss their deadlines while engines for prompts do.
@pytest.mark.parametrize(
    ("needs", "count", "prefill"),
    [
        # Long prompts and short answers: one engine makes all answers.
        (Needs(2.8, 0.6), 6, 5),
        # Prompts and answers of like weight.
        (Needs(2.1, 1.6), 6, 4),
        # Short prompts and long answers.
        (Needs(0.4, 3.6), 6, 1),
        # The first again, on five times the engines.
        (Needs(14.0, 3.0), 30, 25),
        # Hardly any load: the roles are as far from their targets.
        (Needs(0.1, 0.1), 8, 4),
        # One engine does both by itself.
        (Needs(0.5, 0.5), 1, 0),
    ],
)
def test_split_follows_needs(needs: Needs, count: int, prefill: int) -> None:
    assert choose_prefill(needs, count) == prefill


@given(st.floats(0.01, 30.0), st.floats(0.01, 30.0), st.integers(2, 40))
def test_no_other_split_leaves_the_worse_off_role_better(
    reading: float, answering: float, count: int
) -> None:
    needs = Needs(reading, answering)
    chosen = choose_prefill(needs, count)
    best = score_split(needs, chosen, count - chosen)
    for prefill in range(count + 1):
        assert best <= score_split(needs, prefill, count - prefill)


def test_weight_is_one_at_the_targets() -> None:
    needs = Needs(3 * PREFILL_TARGET, 2 * DECODE_TARGET)
    assert score_split(needs, 3, 2) == pytest.approx(1.0)
    assert score_split(needs, 5, 0) == float("inf")


def test_engine_makes_most_events_with_a_full_batch_or_in_time() -> None:
    pace = Pace(0.03, 0.001)
    assert find_max_event_rate(pace, 64, 10.0) == pytest.approx(64 / 0.094)
    # Answers whose events take longer than 70 ms would miss their deadlines.
    assert find_max_event_rate(pace, 64, 0.07) == pytest.approx(40 / 0.07)
    # Even alone an answer is too slow: all engines together would not be enough.
    assert find_max_event_rate(pace, 64, 0.001) == pytest.approx(32 / 0.062)
