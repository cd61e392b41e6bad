"""Fixtures and profiles that the tests share."""

from collections.abc import Iterator

import pytest
from hypothesis import settings

from tests.common import StartStandIn, starter

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


@pytest.fixture
def start_standin() -> Iterator[StartStandIn]:
    """Start stand-ins for one test."""
    with starter() as start:
        yield start


@pytest.fixture(scope="module")
def start_shared_standin() -> Iterator[StartStandIn]:
    """Start stand-ins for all tests of a module."""
    with starter() as start:
        yield start
