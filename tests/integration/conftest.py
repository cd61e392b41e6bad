"""Fleets that the integration tests share."""

from collections.abc import Iterator

import pytest

from bench.fleet import Fleet
from tests.integration.common import make_fleet, restore


@pytest.fixture(scope="module")
def shared_fleet() -> Iterator[Fleet]:
    """Run one fleet for the tests of a module."""
    with make_fleet() as fleet:
        yield fleet


@pytest.fixture
def fleet(shared_fleet: Fleet) -> Iterator[Fleet]:
    """Give the module's fleet as it was at its start."""
    restore(shared_fleet)
    yield shared_fleet
