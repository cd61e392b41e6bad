"""Tests of what a deployment's bounds leave to one gateway."""

import pytest

from radishtally.gateway.bounds import find_gathering
from radishtally.gateway.config import Bounds
from radishtally.gateway.members import MISSING_GRACE_SECONDS

MANY = 10_000


def make_bounds(drain_ms: float) -> Bounds:
    return Bounds(8.0, drain_ms, 3_000.0, 0.2, 50.0, 10.0)


# Twice as many gateways asked for changes twice as often, until the store turned their
# calls away. Together they ask as often as few, for as long as the bounds allow.
def test_gateways_gather_the_longer_the_more_they_are() -> None:
    bounds = make_bounds(4_000.0)
    few, many = (find_gathering(bounds, count) for count in (4, 68))
    assert many == pytest.approx(17 * few)


# A host gets requests after the time that it is bound to serve on: the gateway read its
# removal late, and kept it as one whose entry may have lapsed.
@pytest.mark.parametrize("drain_ms", [1_000.0, 2_000.0, 4_000.0])
def test_host_that_left_is_known_in_time(drain_ms: float) -> None:
    bounds = make_bounds(drain_ms)
    for gateways in (1, MANY, None):
        late = find_gathering(bounds, gateways) + MISSING_GRACE_SECONDS
        assert late < max(drain_ms / 1000, MISSING_GRACE_SECONDS + 0.001)
