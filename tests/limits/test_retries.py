"""Tests of the retry budget."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.limits.retries import RESERVE_SECONDS, RetryBudget, backoff


@given(
    ratio=st.sampled_from([0.0, 0.1, 0.5]),
    floor=st.sampled_from([0.5, 1.0, 5.0]),
    rate=st.integers(0, 200),
    seconds=st.integers(1, 30),
)
def test_retries_stay_bounded_under_total_failure(ratio, floor, rate, seconds):
    """Every request fails and is retried for as long as the budget gives.

    The caller sees a refusal; the hosts see (1 + ratio) times the requests at most, and
    the floor, instead of many times the load while they are down.
    """
    budget = RetryBudget(ratio, floor)
    retries = 0
    for second in range(seconds):
        for _ in range(rate):
            budget.record_request(float(second))
            retries += budget.spend(float(second))
        retries += sum(budget.spend(float(second)) for _ in range(100))
    assert retries <= ratio * rate * seconds + floor * (seconds + 1) + 1


def test_a_quiet_entry_may_retry():
    budget = RetryBudget(0.1, 1.0)
    assert budget.spend(0.0)
    assert not budget.spend(0.0)
    assert budget.spend(1.0)


def test_a_pause_gathers_no_burst():
    budget = RetryBudget(0.1, 1.0)
    budget.spend(0.0)
    burst = sum(budget.spend(3_600.0) for _ in range(100))
    assert burst == RESERVE_SECONDS


# An upstream's failing hosts get half as many requests again as come in, for seconds:
# while all went well the entry had put by its share of every request since its start,
# and thirty entries spent it within the same seconds.
def test_requests_of_long_ago_pay_for_no_retry():
    ratio, rate, window = 0.1, 10, 10.0
    budget = RetryBudget(ratio, 0.0)
    for number in range(1_000):
        budget.record_request(number / rate)
    retries = sum(budget.spend(1_000 / rate) for _ in range(1_000))
    assert 0 < retries <= ratio * rate * window
    budget.record_request(1_000 / rate + 5 * window)
    assert not budget.spend(1_000 / rate + 5 * window)


def test_time_that_steps_back_gathers_nothing():
    budget = RetryBudget(0.0, 1.0)
    assert budget.spend(10.0)
    assert not budget.spend(5.0)


@pytest.mark.parametrize("attempt", [0, 1, 2, 5, 1_000_000])
def test_backoff_grows_with_jitter_to_a_bound(attempt):
    random = Random(1)
    drawn = [backoff(attempt, random) for _ in range(50)]
    assert len(set(drawn)) > 40
    assert 0 < max(drawn) <= 2.0
    assert min(drawn) >= max(drawn) / 2.1
