"""Requests under which one host after another ends."""

from tests.common import run
from tests.gateway.ending import Fleet, run_fleet, wait_for_engines

REPEATS = 12
ENDS_ALLOWED = 3
RETRIES_ALLOWED = 3
"""Times that a request may reach hosts after that many have ended under it."""


async def repeat_poison(fleet: Fleet, times: int = REPEATS) -> list[int]:
    """Send the poison prompt again and again, to one gateway after the other."""
    statuses = []
    for number in range(times):
        status, _ = await fleet.send(number, f"poison-{number}")
        statuses.append(status)
        await fleet.start_ended()
        await wait_for_engines(fleet)
    return statuses


# A caller repeats a request that ends each engine which runs it: all end in turn, again
# and again, with all that others have open there.
def test_request_that_ends_hosts_is_not_sent_on_for_good() -> None:
    async def play() -> None:
        async with run_fleet(answering=3) as fleet:
            await repeat_poison(fleet)
            assert fleet.arrivals <= ENDS_ALLOWED + RETRIES_ALLOWED

    run(play())


# The same through several gateways, none of which has seen three ends by itself.
def test_gateways_know_a_request_that_ended_hosts_of_others() -> None:
    async def play() -> None:
        async with run_fleet(answering=3, gateways=3) as fleet:
            await repeat_poison(fleet)
            assert fleet.arrivals <= ENDS_ALLOWED + RETRIES_ALLOWED

    run(play())
