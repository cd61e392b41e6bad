"""Tests of permits for requests to a host with a limit."""

import pytest

from radishtally.limits.shares import (
    DEMAND_EXPIRY_SECONDS,
    HOLD_SECONDS,
    WINDOW_SECONDS,
    PermitIssuer,
    PermitPool,
    Want,
)

TRANSIT_SECONDS = 0.1


@pytest.fixture
def pool() -> PermitPool:
    """Provide the pool of a host that takes four requests a second."""
    return PermitPool(4.0)


def issue_all(issuer: PermitIssuer, seconds: float, step: float = 0.05) -> int:
    """Issue whatever the limit allows, step by step; return the number."""
    steps = int(seconds / step)
    return sum(issuer.issue(1000, number * step) for number in range(steps))


@pytest.mark.parametrize("limit", [0.2, 1.0, 4.4, 50.0])
def test_issued_permits_stay_within_the_limit(limit: float) -> None:
    issuer = PermitIssuer(limit, 0.0, TRANSIT_SECONDS)
    issued = issue_all(issuer, 40.0)
    assert 0.8 * limit * 40.0 <= issued + 1 <= limit * 40.0 + 2


def test_lower_limit_holds_at_once() -> None:
    issuer = PermitIssuer(100.0, 0.0, TRANSIT_SECONDS)
    assert issue_all(issuer, 10.0) > 800
    issuer.change_limit(1.0, 10.0)
    assert issuer.issue(100, 10.0) <= 1
    assert issuer.issue(100, 10.5) == 0
    assert issuer.issue(100, 11.1) == 1


# Guards against a host that gets nothing while each of its answers names another limit.
def test_limit_that_changes_often_is_used() -> None:
    issuer = PermitIssuer(4.0, 0.0, TRANSIT_SECONDS)
    issued = 0
    for number in range(400):
        now = number * 0.05
        issuer.change_limit(4.0 + number % 2 / 10, now)
        issued += issuer.issue(1000, now)
    assert issued >= 0.8 * 4.0 * 20.0


def test_unused_permits_are_issued_again() -> None:
    issuer = PermitIssuer(1.0, 0.0, TRANSIT_SECONDS)
    assert issuer.issue(5, WINDOW_SECONDS) == 2
    later = WINDOW_SECONDS + HOLD_SECONDS + 0.01
    assert issuer.issue(5, later) == 0
    issuer.take_back(2, later)
    assert issuer.issue(5, later) == 2


# Guards against a burst of requests with permits of an earlier time.
def test_permit_expires(pool: PermitPool) -> None:
    pool.wants[""] = Want(2, 1.0, 0.0)
    assert pool.distribute(2, 0.0) == {}
    assert pool.use(0.1)
    assert not pool.has_permit(HOLD_SECONDS)
    assert not pool.use(HOLD_SECONDS)
    assert pool.unused == 1


def test_permits_that_nobody_wants_any_more_are_returned(pool: PermitPool) -> None:
    pool.wants["g-2"] = Want(1, 1.0, 0.0)
    assert pool.distribute(3, 0.0) == {"g-2": 1}
    assert pool.unused == 2


def test_want_of_a_silent_process_is_forgotten(pool: PermitPool) -> None:
    pool.wants["g-2"] = Want(3, 2.0, 0.0)
    assert pool.sum_wants(1.0).count == 3
    assert pool.sum_wants(DEMAND_EXPIRY_SECONDS).count == 0


def test_permits_are_wanted_for_waiting_requests_and_high_demand(
    pool: PermitPool,
) -> None:
    pool.update_own_want(0.0)
    assert pool.wants[""].count == 0
    pool.waiting["r1"] = 1.0
    pool.update_own_want(0.5)
    assert pool.wants[""].count == 1
    pool.update_own_want(1.0)
    assert pool.wants[""].count == 0
    for number in range(40):
        pool.demand.record(1.0 + number / 20)
    pool.update_own_want(3.0)
    assert pool.wants[""].count == 2
