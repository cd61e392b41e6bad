"""Tests of dividing engines between prefill and decode."""

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


# The needs are load over capacity: tokens per second over the prefill rate of an
# engine, events per second over its event rate. A fixed split suits one load pattern
# and fails for the next: prompts wait for seconds while decode engines are idle, or
# answers miss their deadlines while prefill engines are idle.
@pytest.mark.parametrize(
    ("needs", "count", "prefill"),
    [
        # Long prompts and short answers: one engine decodes all answers.
        (Needs(2.8, 0.6), 6, 5),
        # Prompts and answers of similar weight.
        (Needs(2.1, 1.6), 6, 4),
        # Short prompts and long answers.
        (Needs(0.4, 3.6), 6, 1),
        # The first pattern with five times as many engines.
        (Needs(14.0, 3.0), 30, 25),
        # Hardly any load: both roles are equally far from their targets.
        (Needs(0.1, 0.1), 8, 4),
        # A single engine has both roles.
        (Needs(0.5, 0.5), 1, 0),
    ],
)
def test_split_follows_needs(needs: Needs, count: int, prefill: int) -> None:
    assert choose_prefill(needs, count) == prefill


@given(st.floats(0.01, 30.0), st.floats(0.01, 30.0), st.integers(2, 40))
def test_no_other_split_scores_better(
    reading: float, answering: float, count: int
) -> None:
    needs = Needs(reading, answering)
    chosen = choose_prefill(needs, count)
    best = score_split(needs, chosen, count - chosen)
    for prefill in range(count + 1):
        assert best <= score_split(needs, prefill, count - prefill)


def test_score_is_one_at_the_targets() -> None:
    needs = Needs(3 * PREFILL_TARGET, 2 * DECODE_TARGET)
    assert score_split(needs, 3, 2) == pytest.approx(1.0)
    assert score_split(needs, 5, 0) == float("inf")


def test_max_event_rate_is_bound_by_batch_and_deadlines() -> None:
    pace = Pace(0.03, 0.001)
    assert find_max_event_rate(pace, 64, 10.0) == pytest.approx(64 / 0.094)
    # Answers whose events take longer than 70 ms would miss their deadlines.
    assert find_max_event_rate(pace, 64, 0.07) == pytest.approx(40 / 0.07)
    # Even a single answer is too slow, so at least half a batch is assumed.
    assert find_max_event_rate(pace, 64, 0.001) == pytest.approx(32 / 0.062)
