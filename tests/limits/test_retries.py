"""Tests of the retry budget."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.limits.retries import FLOOR_BURST_SECONDS, RetryBudget, backoff


@given(
    ratio=st.sampled_from([0.0, 0.1, 0.5]),
    floor=st.sampled_from([0.5, 1.0, 5.0]),
    rate=st.integers(0, 200),
    seconds=st.integers(1, 30),
)
def test_retries_stay_bounded_under_total_failure(ratio, floor, rate, seconds):
    """Every request fails and is retried for as long as the budget allows.

    The hosts see at most (1 + ratio) times the requests plus the floor, instead of a
    multiple of the load while they are down.
    """
    budget = RetryBudget(ratio, floor)
    retries = 0
    for second in range(seconds):
        for _ in range(rate):
            budget.record_request(float(second))
            retries += budget.spend(float(second))
        retries += sum(budget.spend(float(second)) for _ in range(100))
    assert retries <= ratio * rate * seconds + floor * (seconds + 1) + 1


def test_retries_are_allowed_without_requests():
    budget = RetryBudget(0.1, 1.0)
    assert budget.spend(0.0)
    assert not budget.spend(0.0)
    assert budget.spend(1.0)


def test_idle_time_accumulates_a_bounded_burst():
    budget = RetryBudget(0.1, 1.0)
    budget.spend(0.0)
    burst = sum(budget.spend(3_600.0) for _ in range(100))
    assert burst == FLOOR_BURST_SECONDS


# Without decay an entry accumulates the budget of all requests since its start. When an
# upstream fails, thirty entries spend it within the same seconds, and the failing hosts
# get half as many retries as requests.
def test_old_requests_earn_no_retries():
    ratio, rate, window = 0.1, 10, 10.0
    budget = RetryBudget(ratio, 0.0)
    for number in range(1_000):
        budget.record_request(number / rate)
    retries = sum(budget.spend(1_000 / rate) for _ in range(1_000))
    assert 0 < retries <= ratio * rate * window
    budget.record_request(1_000 / rate + 5 * window)
    assert not budget.spend(1_000 / rate + 5 * window)


def test_backward_time_earns_no_retries():
    budget = RetryBudget(0.0, 1.0)
    assert budget.spend(10.0)
    assert not budget.spend(5.0)


@pytest.mark.parametrize("attempt", [0, 1, 2, 5, 1_000_000])
def test_backoff_grows_with_jitter_to_a_bound(attempt):
    random = Random(1)
    delays = [backoff(attempt, random) for _ in range(50)]
    assert len(set(delays)) > 40
    assert 0 < max(delays) <= 2.0
    assert min(delays) >= max(delays) / 2.1
