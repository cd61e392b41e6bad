"""Fixtures and the Hypothesis profile that the tests share."""

from collections.abc import Iterator

import pytest
from hypothesis import settings

from bench.fleet import Fleet, read_sample
from tests.common import StartStandIn, make_standin_starter

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


@pytest.fixture
def start_standin() -> Iterator[StartStandIn]:
    """Provide a function that starts stand-ins for one test."""
    with make_standin_starter() as start:
        yield start


@pytest.fixture(scope="module")
def start_shared_standin() -> Iterator[StartStandIn]:
    """Provide a function that starts stand-ins for all tests of a module."""
    with make_standin_starter() as start:
        yield start


@pytest.fixture(scope="module")
def small_fleet() -> Iterator[Fleet]:
    """Run one entry, one engine and one plain service for all tests of a module."""
    fleet = Fleet(
        read_sample("lagna"),
        entries_wanted=1,
        engine_args=("--speed=20",),
        servers_wanted=lambda name: name in {"gown-1", "booking-1"},
    )
    with fleet:
        yield fleet
