"""Tests of a gateway's limits derived from the deployment's bounds."""

import pytest

from radishtally.gateway.bounds import find_gather_seconds
from radishtally.gateway.config import Bounds
from radishtally.gateway.members import MISSING_GRACE_SECONDS

MANY = 10_000


def make_bounds(drain_ms: float) -> Bounds:
    return Bounds(8.0, drain_ms, 3_000.0, 0.2, 50.0, 10.0)


# Guards against overload of the store: with a fixed interval, the query rate grows with
# the number of gateways until the store rejects their calls. The interval must grow
# with their number, as far as the bounds allow.
def test_gather_time_grows_with_the_number_of_gateways() -> None:
    bounds = make_bounds(4_000.0)
    few, many = (find_gather_seconds(bounds, count) for count in (4, 68))
    assert many == pytest.approx(17 * few)


# Guards against requests to a host after its drain time: the gateway reads the removal
# of its entry late, and then keeps the host as missing.
@pytest.mark.parametrize("drain_ms", [1_000.0, 2_000.0, 4_000.0])
def test_removed_host_is_dropped_within_its_drain_time(drain_ms: float) -> None:
    bounds = make_bounds(drain_ms)
    for gateways in (1, MANY, None):
        late = find_gather_seconds(bounds, gateways) + MISSING_GRACE_SECONDS
        assert late < max(drain_ms / 1000, MISSING_GRACE_SECONDS + 0.001)
