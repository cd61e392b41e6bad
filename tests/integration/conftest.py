"""Fixtures that the integration tests share."""

from collections.abc import Iterator

import pytest

from bench.fleet import Fleet
from tests.integration.common import make_fleet, restore


@pytest.fixture(scope="module")
def shared_fleet() -> Iterator[Fleet]:
    """Run one fleet for all tests of a module."""
    with make_fleet() as fleet:
        yield fleet


@pytest.fixture
def fleet(shared_fleet: Fleet) -> Iterator[Fleet]:
    """Return the module's fleet, restored to its initial state."""
    restore(shared_fleet)
    yield shared_fleet
