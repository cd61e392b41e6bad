"""Test that series of signals and configurations lose no request."""

import asyncio
import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from pathlib import Path

import pytest

from soak.checks import Disturbances, Ledger
from soak.const import DEPLOYMENT, GRACE_SECONDS
from soak.fleet import Fleet, Gateway
from soak.wire import Connection

CALLERS = 16
GATEWAYS = 2
SERIES_SECONDS = 9.0
"""Longer than the grace period of a stop."""
REQUEST_SECONDS = 20.0
NAMES = count(1)
KINDS = ("read", "book", "draft", "sheet")


@asynccontextmanager
async def run_fleet(folder: Path) -> AsyncIterator[Fleet]:
    """Run gateways in front of hosts of both kinds."""
    disturbances = Disturbances()
    fleet = Fleet(folder, Ledger(disturbances), disturbances, random.Random(1))
    try:
        await fleet.start(GATEWAYS, 2, 2)
        yield fleet
    finally:
        await fleet.stop()


def make_request(kind: str, name: str) -> bytes:
    headers = {
        "Host": DEPLOYMENT["route"]["host"],
        "X-Request-Id": name,
        "X-Deadline-Ms": 4000,
        "X-Model": "m",
        "X-Token-Count": "200,40",
        "X-Prompt-Prefix": f"a1:100,{name}:100",
        "Content-Length": 2,
    }
    lines = [f"{field}: {value}" for field, value in headers.items()]
    return "\r\n".join([f"POST /{kind}/1 HTTP/1.1", *lines, "", "ok"]).encode()


async def call_on(gateway: Gateway, unanswered: set[str], until: float) -> int:
    """Send requests on each connection until it is closed; count the answers."""
    loop, connection, answered = asyncio.get_running_loop(), None, 0
    while loop.time() < until:
        if connection is None or not connection.is_open:
            connection = Connection(gateway.address)
            try:
                await connection.open()
            except OSError:
                await asyncio.sleep(0.05)
                continue
        kind = random.choice(KINDS)
        name = f"{kind}-{next(NAMES)}"
        try:
            async with asyncio.timeout(REQUEST_SECONDS):
                await connection.fetch(make_request(kind, name))
        except TimeoutError:
            connection.close()
        if connection.answer.is_complete:
            answered += 1
        else:
            unanswered.add(name)
    return answered


async def hang_up(fleet: Fleet, gateway: Gateway) -> None:
    """Change settings again and again, and tell so."""
    for number in range(1000):
        gateway.settings["bounds"]["grace_seconds"] = GRACE_SECONDS + number % 2
        fleet.write_settings(gateway)
        fleet.signal_gateway(gateway, signal.SIGHUP)
        await asyncio.sleep(0.05)


async def configure(fleet: Fleet, gateway: Gateway) -> None:
    """Write new configurations in quick succession."""
    for number in range(1000):
        await fleet.configure(targetLatencyMs=1000 + number % 2)
        await asyncio.sleep(0.05)


async def terminate(fleet: Fleet, gateway: Gateway) -> None:
    """Stop the gateway with several signals, and start it again."""
    for _ in range(5):
        fleet.signal_gateway(gateway, signal.SIGTERM)
        await asyncio.sleep(0.1)
    await fleet.restart_gateway(gateway, signal.SIGTERM)


SERIES = {
    "hangups": [hang_up],
    "configurations": [configure],
    "stops": [terminate],
    "all": [hang_up, configure, terminate],
}


# Guards against requests that were passed on and end without an answer, as signals,
# stops and new configurations follow each other closely.
@pytest.mark.parametrize("name", SERIES)
def test_series_leave_no_request_without_an_answer(name: str, tmp_path: Path) -> None:
    async def play() -> None:
        async with run_fleet(tmp_path) as fleet:
            unanswered: set[str] = set()
            until = asyncio.get_running_loop().time() + SERIES_SECONDS
            callers = [
                asyncio.create_task(call_on(fleet.gateways[n % 2], unanswered, until))
                for n in range(CALLERS)
            ]
            tasks = [
                asyncio.create_task(disturb(fleet, fleet.gateways[0]))
                for disturb in SERIES[name]
            ]
            answered = sum(await asyncio.gather(*callers))
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            records = [record for reader in fleet._readers for record in reader.read()]
            passed_on = {getattr(record, "id", "") for record in records}
            lost = unanswered & passed_on
            print(
                f"{answered} answered, {len(unanswered)} unanswered, {len(lost)} lost"
            )
            assert answered > 10 * CALLERS
            assert not lost
            assert not fleet.ledger.findings

    asyncio.run(play())
