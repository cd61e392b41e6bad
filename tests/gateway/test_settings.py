"""Tests of settings that are read again while a gateway runs."""

import re

import msgspec

from radishtally.gateway.const import RETRY_PART
from radishtally.gateway.daemon import Gateway
from tests.common import run
from tests.gateway.common import deployment, run_gateway

REQUESTS = 100


def count_retries(gateway: Gateway) -> int:
    """Count the retries that some requests allow at once."""
    budgets = gateway.core.budgets
    for _ in range(REQUESTS):
        budgets.note_request("desk", 0.0)
    return sum(budgets.spend("desk", 0.0) for _ in range(REQUESTS))


# Operators change a bound and are told that no restart is needed, and the gateway goes
# by the old one until its end: bounds were taken over as it started.
def test_bounds_that_are_read_again_come_into_force() -> None:
    async def play() -> None:
        async with deployment() as made:
            gateway = made.gateway
            before = count_retries(gateway)
            bounds = msgspec.structs.replace(
                gateway.settings.bounds, retry_ratio=1.0, lease_ms=60_000.0
            )
            settings = msgspec.structs.replace(gateway.settings, bounds=bounds)
            gateway.take_settings(settings)
            assert before < RETRY_PART * REQUESTS <= count_retries(gateway)
            assert gateway.lease._core.terms.granted >= 60.0

    run(play())


def read_marks(gateway: Gateway) -> list[str]:
    """Read from the metrics by which settings a gateway goes."""
    text = gateway.render_metrics().decode()
    return re.findall(r'radishtally_settings{mark="(\w+)"} 1.0', text)


# The settings change in one data centre after the other, reminders come twice, and
# nobody can tell by which settings a gateway goes, nor by which configuration: logs and
# metrics said neither. Gateways of one version of the settings bear one mark.
def test_metrics_tell_which_settings_are_in_force() -> None:
    async def play() -> None:
        async with deployment() as made, run_gateway(made.store, "gateway-2") as other:
            gateway = made.gateway
            (first,) = read_marks(gateway)
            assert read_marks(other) == [first]
            bounds = msgspec.structs.replace(gateway.settings.bounds, retry_ratio=1.0)
            gateway.take_settings(
                msgspec.structs.replace(gateway.settings, bounds=bounds)
            )
            (second,) = read_marks(gateway)
            assert second != first
            assert read_marks(other) == [first]

    run(play())


def test_metrics_tell_which_configuration_is_in_force() -> None:
    async def play() -> None:
        async with deployment() as made:
            version = made.gateway.router.configuration.version
            text = made.gateway.render_metrics().decode()
            assert f"radishtally_configuration_version {float(version)}" in text

    run(play())
