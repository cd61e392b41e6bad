"""Fixtures of the tests with clients that don't keep to the limits."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.clients.common import (
    GatewayDeployment,
    Process,
    run_gateway,
    start_deployment,
)
from tests.common import StartStandIn


@pytest.fixture(scope="module")
def deployment(start_shared_standin: StartStandIn) -> GatewayDeployment:
    """Run what all gateways of a module need."""
    return start_deployment(start_shared_standin)


@pytest.fixture
def gateway(deployment: GatewayDeployment, tmp_path: Path) -> Iterator[Process]:
    """Run a gateway for one test."""
    with run_gateway(deployment, tmp_path) as process:
        yield process
