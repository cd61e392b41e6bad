"""Test that a gateway stays within its memory, with real processes."""

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from aiohttp import web

from soak.checks import Disturbances, Ledger
from soak.const import DEPLOYMENT
from soak.fleet import Fleet, Gateway, allocate_ip

CALLERS = 60
ANSWER_BYTES = 4_000_000
UNREAD_SECONDS = 6.0
MEMORY_MB = 300
"""Memory of the machines of most deployments: a process above it is killed."""
SAMPLE_SECONDS = 0.02
RECEIVE_BYTES = 65_536
"""Room that a caller's kernel has for what the caller has not read."""
WAIT_SECONDS = 90.0


class Desk:
    """Answer with a large body, of known or unknown length."""

    def __init__(self, is_chunked: bool) -> None:
        self._is_chunked = is_chunked

    async def __call__(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/health":
            name = request.headers["X-Target-Instance"]
            return web.Response(headers={"X-Instance-Id": name})
        names = {"X-Request-Id": request.headers["X-Request-Id"]}
        response = web.StreamResponse(headers={"X-Server-Signature": "s", **names})
        if not self._is_chunked:
            response.content_length = ANSWER_BYTES
        await response.prepare(request)
        for _ in range(0, ANSWER_BYTES, 50_000):
            await response.write(b"x" * 50_000)
        return response


class MemoryWatch:
    """Sample the resident memory of a process."""

    def __init__(self, pid: int) -> None:
        self._path = Path(f"/proc/{pid}/status")
        self.peak_mb = 0.0

    async def run(self) -> None:
        while True:
            lines = self._path.read_text().splitlines()
            (resident,) = [line for line in lines if line.startswith("VmRSS:")]
            self.peak_mb = max(self.peak_mb, int(resident.split()[1]) / 1000)
            await asyncio.sleep(SAMPLE_SECONDS)


@asynccontextmanager
async def watched_gateway(folder: Path) -> AsyncIterator[tuple[Fleet, MemoryWatch]]:
    """Run a gateway with the usual memory, and watch what it takes."""
    disturbances = Disturbances()
    fleet = Fleet(folder, Ledger(disturbances), disturbances, random.Random(1))
    prepare = fleet._prepare_gateway

    async def prepare_with_memory(name: str) -> Gateway:
        gateway = await prepare(name)
        gateway.settings["memory_mb"] = MEMORY_MB
        return gateway

    fleet._prepare_gateway = prepare_with_memory
    watching = None
    try:
        await fleet.start(1, 0, 0)
        watch = MemoryWatch(fleet.gateways[0].process.pid)
        watching = asyncio.create_task(watch.run())
        yield fleet, watch
        assert not watching.done(), watching
    finally:
        if watching is not None:
            watching.cancel()
        await fleet.stop()


async def serve_desk(fleet: Fleet, is_chunked: bool) -> None:
    """Add a host of the plain service that sends large answers."""
    runner = web.ServerRunner(web.Server(Desk(is_chunked)))
    await runner.setup()
    site = web.TCPSite(runner, allocate_ip(), 0)
    await site.start()
    address = "{}:{}".format(*runner.addresses[0][:2])
    entry = {**DEPLOYMENT["entry"], "service": "desk", "address": address}
    await fleet._write("servers", "large", {**entry, "slots": 200})
    await asyncio.sleep(1.0)


async def ask_slowly(gateway: Gateway, number: int) -> tuple[str, int]:
    """Read an answer only after a while; return its status line and its length."""
    ip, port = gateway.settings["address"].rsplit(":", 1)
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (ip, int(port)))
    reader, writer = await asyncio.open_connection(sock=connection, limit=RECEIVE_BYTES)
    headers = {
        "Host": DEPLOYMENT["route"]["host"],
        "X-Request-Id": f"slow-{number}",
        "X-Deadline-Ms": "60000",
        "Connection": "close",
    }
    lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    writer.write(f"GET /read/large HTTP/1.1\r\n{lines}\r\n".encode())
    writer.transport.pause_reading()
    await asyncio.sleep(UNREAD_SECONDS)
    writer.transport.resume_reading()
    status = (await reader.readline()).decode().strip()
    length = 0
    try:
        while data := await reader.read(RECEIVE_BYTES):
            length += len(data)
    except ConnectionError:
        length = 0
    writer.close()
    return status, length


# Guards against a gateway that is killed for its memory as callers who have not read
# large answers for a while read on.
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_memory_is_bounded_as_slow_callers_read_on(
    is_chunked: bool, tmp_path: Path
) -> None:
    async def play() -> None:
        async with watched_gateway(tmp_path) as (fleet, watch):
            await serve_desk(fleet, is_chunked)
            await fleet.configure(timeoutMs=60_000)
            await asyncio.sleep(1.0)
            (gateway,) = fleet.gateways
            async with asyncio.timeout(WAIT_SECONDS):
                answers = await asyncio.gather(
                    *(ask_slowly(gateway, number) for number in range(CALLERS))
                )
            lengths = [length for status, length in answers if " 200 " in status]
            assert lengths
            assert min(lengths) >= ANSWER_BYTES
            assert watch.peak_mb < MEMORY_MB
            assert gateway.process.poll() is None

    asyncio.run(play())
