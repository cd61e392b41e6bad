"""Tests of the retry budgets of several upstreams."""

from radishtally.limits.retries import RetryBudgets


# A small upstream whose hosts refuse gets more retries than requests: the requests of
# a large one beside it paid for them, though each upstream has a bound of its own.
def test_requests_of_one_upstream_pay_for_no_retry_of_another() -> None:
    budgets = RetryBudgets(0.125, 0.0)
    for _ in range(1_000):
        budgets.record_request("large", 0.0)
    for _ in range(16):
        budgets.record_request("small", 0.0)
    assert sum(budgets.spend("small", 0.0) for _ in range(100)) == 2
    assert sum(budgets.spend("large", 0.0) for _ in range(1_000)) == 125


def test_floor_holds_for_each_upstream_and_can_change() -> None:
    budgets = RetryBudgets(0.0, 1.0)
    assert budgets.spend("small", 0.0)
    assert not budgets.spend("small", 0.0)
    assert budgets.spend("large", 0.0)
    budgets.configure(0.0, 5.0)
    assert sum(budgets.spend("small", 1.0) for _ in range(10)) == 5
