"""Tests of the retry budgets of several upstreams."""

from radishtally.limits.retries import RetryBudgets


# Guards against a small upstream with more retries than requests. Requests of a large
# upstream must not add to the retry budget of the small one.
def test_retry_budgets_of_upstreams_are_separate() -> None:
    budgets = RetryBudgets(0.125, 0.0)
    for _ in range(1_000):
        budgets.record_request("large", 0.0)
    for _ in range(16):
        budgets.record_request("small", 0.0)
    assert sum(budgets.spend("small", 0.0) for _ in range(100)) == 2
    assert sum(budgets.spend("large", 0.0) for _ in range(1_000)) == 125


def test_floor_applies_to_each_upstream_and_can_change() -> None:
    budgets = RetryBudgets(0.0, 1.0)
    assert budgets.spend("small", 0.0)
    assert not budgets.spend("small", 0.0)
    assert budgets.spend("large", 0.0)
    budgets.configure(0.0, 5.0)
    assert sum(budgets.spend("small", 1.0) for _ in range(10)) == 5
