"""Tests of settings that are read again while a gateway runs."""

import msgspec

from radishtally.gateway.const import RETRY_PART
from radishtally.gateway.daemon import Gateway
from tests.common import run
from tests.gateway.common import deployment

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
