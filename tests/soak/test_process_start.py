"""Test that a gateway starts under signals and beside what is not ready yet."""

import asyncio
import random
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import pytest

from soak.checks import Disturbances, Ledger
from soak.fleet import Fleet, Gateway

AWAY_SECONDS = 2.0
WAIT_SECONDS = 20.0


@asynccontextmanager
async def stopped_gateway(folder: Path) -> AsyncIterator[tuple[Fleet, Gateway]]:
    """Run a fleet whose only gateway has been killed."""
    disturbances = Disturbances()
    fleet = Fleet(folder, Ledger(disturbances), disturbances, random.Random(1))
    try:
        await fleet.start(1, 1, 1)
        (gateway,) = fleet.gateways
        gateway.is_ending = True
        gateway.process.kill()
        gateway.process.wait()
        yield fleet, gateway
    finally:
        await fleet.stop()


async def check_served(fleet: Fleet, gateway: Gateway) -> None:
    """Wait until the gateway is ready, and check that its process did not end."""
    await fleet.wait_ready(gateway)
    assert gateway.process.poll() is None
    assert gateway.was_ready


async def read_metrics(fleet: Fleet, gateway: Gateway) -> int | None:
    """Return the status of the metrics; None if none are served."""
    url = f"http://{gateway.settings['metrics_address']}/metrics"
    try:
        async with fleet.session.get(url) as reply:
            return reply.status
    except aiohttp.ClientError:
        return None


def bind(address: str) -> socket.socket:
    """Listen on an address as another process does."""
    ip, port = address.rsplit(":", 1)
    return socket.create_server((ip, int(port)))


async def wait_logged(folder: Path, gateway: Gateway, kind: str) -> None:
    """Wait until the gateway has logged a line of a kind, and still runs."""
    async with asyncio.timeout(WAIT_SECONDS):
        while kind not in (folder / "g-1.log").read_text():
            assert gateway.process.poll() is None
            await asyncio.sleep(0.05)


def remove(path: Path) -> None:
    path.unlink()


def cut_in_half(path: Path) -> None:
    path.write_text(path.read_text()[: path.stat().st_size // 2])


def empty(path: Path) -> None:
    path.write_text("")


# Guards against a process that ends since its settings are still being written.
@pytest.mark.parametrize("spoil", [remove, cut_in_half, empty])
def test_gateway_waits_for_settings_that_are_not_written_yet(
    spoil: Callable[[Path], None], tmp_path: Path
) -> None:
    async def play() -> None:
        async with stopped_gateway(tmp_path) as (fleet, gateway):
            write, path = fleet.write_settings, fleet.write_settings(gateway)
            spoil(path)
            fleet.write_settings = lambda _: path
            fleet.start_gateway(gateway)
            await wait_logged(tmp_path, gateway, "waiting for settings")
            write(gateway)
            await check_served(fleet, gateway)

    asyncio.run(play())


# Guards against a process that ends since one that has just ended, or another program,
# still holds one of its addresses.
@pytest.mark.parametrize(
    "name", ["address", "ready_address", "metrics_address", "peer_address"]
)
def test_gateway_waits_for_an_address_that_is_still_taken(
    name: str, tmp_path: Path
) -> None:
    async def play() -> None:
        async with stopped_gateway(tmp_path) as (fleet, gateway):
            with bind(gateway.settings[name]):
                fleet.start_gateway(gateway)
                await wait_logged(tmp_path, gateway, "listener:unavailable")
            await check_served(fleet, gateway)
            async with asyncio.timeout(WAIT_SECONDS):
                while await read_metrics(fleet, gateway) != 200:
                    await asyncio.sleep(0.05)
                while not can_connect(gateway.settings["peer_address"]):
                    await asyncio.sleep(0.05)

    asyncio.run(play())


def can_connect(address: str) -> bool:
    """Return whether something listens on an address."""
    ip, port = address.rsplit(":", 1)
    try:
        socket.create_connection((ip, int(port)), 1.0).close()
    except OSError:
        return False
    return True


# Guards against callers who are not served since the gateway can't serve its metrics.
def test_gateway_serves_without_metrics_if_their_address_is_taken(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        async with stopped_gateway(tmp_path) as (fleet, gateway):
            with bind(gateway.settings["metrics_address"]):
                fleet.start_gateway(gateway)
                await check_served(fleet, gateway)

    asyncio.run(play())


async def cut(fleet: Fleet, gateway: Gateway) -> None:
    gateway.store_proxy.cut()


async def reset(fleet: Fleet, gateway: Gateway) -> None:
    gateway.store_proxy.target = ("127.0.0.1", 1)


async def pause(fleet: Fleet, gateway: Gateway) -> None:
    fleet.store.process.send_signal(signal.SIGSTOP)


# Guards against a process that ends since the store is in trouble as it starts.
@pytest.mark.parametrize("disturb", [cut, reset, pause])
def test_gateway_starts_while_the_store_is_away(
    disturb: Callable[[Fleet, Gateway], Awaitable[None]], tmp_path: Path
) -> None:
    async def play() -> None:
        async with stopped_gateway(tmp_path) as (fleet, gateway):
            target = gateway.store_proxy.target
            await disturb(fleet, gateway)
            fleet.start_gateway(gateway)
            await asyncio.sleep(AWAY_SECONDS)
            assert gateway.process.poll() is None
            gateway.store_proxy.target = target
            gateway.store_proxy.heal()
            fleet.store.process.send_signal(signal.SIGCONT)
            await check_served(fleet, gateway)

    asyncio.run(play())
