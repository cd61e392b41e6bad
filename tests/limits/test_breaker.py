"""Tests of the circuit breaker."""

from hypothesis import given
from hypothesis import strategies as st

from radishtally.limits.breaker import CircuitBreaker


def test_a_failing_peer_is_probed_at_growing_intervals():
    """A peer is down and every probe fails.

    The probes become rarer, so that a dead peer costs almost nothing, and a single
    success closes the breaker at once.
    """
    breaker = CircuitBreaker(first=1.0, longest=5.0)
    assert breaker.allows(0.0)
    now, intervals = 0.0, []
    for _ in range(5):
        breaker.record_failure(now)
        steps = [now + 0.5 * step for step in range(20)]
        allowed = next(step for step in steps if breaker.allows(step))
        intervals.append(allowed - now)
        now = allowed
        breaker.record_offer(now)
    assert intervals == [1.0, 2.0, 4.0, 5.0, 5.0]
    breaker.record_success()
    assert breaker.allows(now)


def test_only_one_request_probes():
    breaker = CircuitBreaker(first=1.0)
    breaker.record_failure(0.0)
    assert breaker.allows(1.0)
    breaker.record_offer(1.0)
    assert not breaker.allows(1.5)


def test_a_lost_probe_does_not_exclude_the_peer_for_good():
    """The probe's caller cancels it, so the breaker gets no result."""
    breaker = CircuitBreaker(first=1.0)
    breaker.record_failure(0.0)
    breaker.record_offer(1.0)
    assert breaker.allows(2.0)


@given(st.integers(1, 100))
def test_requests_that_fail_together_count_once(number):
    breaker = CircuitBreaker(first=1.0)
    for _ in range(number):
        breaker.record_failure(0.0)
    assert breaker.allows(1.0)


def test_offers_to_a_healthy_peer_change_nothing():
    breaker = CircuitBreaker()
    breaker.record_offer(0.0)
    assert breaker.allows(0.0)
