"""Measure the cost of links and of the messages sent over them."""

import asyncio
import json
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from typing import Final

import uvloop

from bench.capacity.figures import Figure
from bench.capacity.peer import NEAR, make_hub, make_load
from bench.capacity.usage import read_resident, read_usage
from bench.fleet import ROOT
from radishtally.links.codec import encode_frame
from radishtally.links.hub import LinkHub
from radishtally.links.kinds import Message
from radishtally.links.messages import Chunk, Ping, Pong

DIRECTIONS: Final = ("send", "receive")
MESSAGES: Final = 8_000
BATCH: Final = 16
EXCHANGES: Final = 4_000
MANY_LINKS: Final = (20, 200, 1_000)
IDLE_SECONDS: Final = 15.0
ENVELOPE_BYTES: Final = 5 + 9 + 52
"""Headers of gRPC and HTTP/2 frames, and of TCP/IP with timestamps."""


class LocalEnd:
    """Manage this process's end of the links to a peer process."""

    def __init__(self, pongs: int = 0) -> None:
        self.hub = make_hub(NEAR, self._receive)
        self.pongs = pongs
        self.pid = 0
        self._ponged = asyncio.Event()

    def _receive(self, host: str, message: Message) -> None:
        if isinstance(message, Pong):
            self.pongs += 1
            self._ponged.set()

    async def wait_pong(self, host: str) -> None:
        """Ping a peer and wait for the pong, which follows all earlier messages."""
        self._ponged.clear()
        self.hub._links[host].ping()
        await self._ponged.wait()

    def read_seconds(self) -> tuple[float, float]:
        """Return the processor seconds of this process and of the peer process."""
        return read_usage().seconds, read_usage(self.pid).seconds


@asynccontextmanager
async def open_links(count: int, reports: bool) -> AsyncIterator[LocalEnd]:
    """Dial this many hosts of a peer process, as an entry dials its agents."""
    local = LocalEnd()
    kind = "reports" if reports else "silent"
    command = [sys.executable, "-m", "bench.capacity.peer", str(count), kind]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as process:
        local.pid = process.pid
        try:
            addresses = json.loads(process.stdout.readline())
            for host, address in addresses.items():
                local.hub.dial(host, address)
            while len(local.hub.hosts) < count:
                await asyncio.sleep(0.05)
            yield local
        finally:
            await local.hub.stop()
            process.kill()


async def send_all(local: LocalEnd, host: str, message: Message, batch: int) -> None:
    """Send `MESSAGES` messages in frames of `batch`, and wait until all are read."""
    for _ in range(MESSAGES // batch):
        for _ in range(batch):
            local.hub.send(host, message)
        while local.hub._links[host]._outbox:
            await asyncio.sleep(0)
    await local.wait_pong(host)


async def measure_messages() -> list[Figure]:
    """Measure the cost of one message at the sender and at the receiver."""
    figures = []
    async with open_links(1, reports=False) as local:
        [host] = local.hub.hosts
        for size in (40, 400, 2_000):
            for batch in (1, BATCH):
                message = Chunk("r" * 32, 1, 100_000, b"x" * size, 1)
                await send_all(local, host, message, batch)
                before = local.read_seconds()
                await send_all(local, host, message, batch)
                after = local.read_seconds()
                at = {"data_bytes": size, "messages_per_frame": batch}
                for end, one, two in zip(DIRECTIONS, before, after, strict=True):
                    cost = (two - one) / MESSAGES * 1e6
                    figures.append(Figure(f"message, {end}", cost, "us", at))
    return figures


async def measure_exchange() -> list[Figure]:
    """Measure a ping answered with a pong and a load report."""
    async with open_links(1, reports=True) as local:
        [host] = local.hub.hosts
        before = local.read_seconds()
        for _ in range(EXCHANGES):
            await local.wait_pong(host)
        after = local.read_seconds()
    figures = [
        Figure(f"ping/load exchange, {end}", (two - one) / EXCHANGES * 1e6, "us")
        for end, one, two in zip(("entry", "agent"), before, after, strict=True)
    ]
    request_bytes = len(encode_frame([Ping(1_000, 100)])) + ENVELOPE_BYTES
    reply = [Pong(1_000, 100), make_load("gown-1")]
    reply_bytes = len(encode_frame(reply)) + ENVELOPE_BYTES
    figures.append(
        Figure("ping/load exchange, wire", request_bytes + reply_bytes, "bytes")
    )
    return figures


def count_sent(hub: LinkHub) -> int:
    """Return the number of frames that a hub's links have sent."""
    streams = [link._stream._stream for link in hub._links.values()]
    return sum(stream.connection.messages_sent for stream in streams)


def count_received(hub: LinkHub) -> int:
    """Return the number of frames that a hub's links have received."""
    streams = [link._stream._stream for link in hub._links.values()]
    return sum(stream.connection.messages_received for stream in streams)


async def measure_idle(links: int) -> list[Figure]:
    """Measure links that carry only heartbeats."""
    resident_before = read_resident()
    async with open_links(links, reports=True) as local:
        await asyncio.sleep(1.0)
        memory = (read_resident() - resident_before) / links * 1e3
        before = local.read_seconds()
        frames = count_sent(local.hub), count_received(local.hub)
        await asyncio.sleep(IDLE_SECONDS)
        after = local.read_seconds()
        sent = count_sent(local.hub) - frames[0]
        received = count_received(local.hub) - frames[1]
    at = {"links": links, "seconds": IDLE_SECONDS}
    entry, agent = (two - one for one, two in zip(before, after, strict=True))
    share = 100 / IDLE_SECONDS
    return [
        Figure("memory, link", memory, "kB", at),
        Figure("idle links, entry", entry * share, "% of a core", at),
        Figure("idle links, agents together", agent * share, "% of a core", at),
        Figure("idle links, frames sent by entry", sent / IDLE_SECONDS, "1/s", at),
        Figure("idle links, frames sent by agents", received / IDLE_SECONDS, "1/s", at),
    ]


def measure_links() -> Iterator[Figure]:
    """Measure messages, exchanges and idle links."""
    for links in MANY_LINKS:
        yield from uvloop.run(measure_idle(links))
    yield from uvloop.run(measure_messages())
    yield from uvloop.run(measure_exchange())
