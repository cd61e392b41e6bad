"""Processes under test, and crowds of clients that don't keep to the limits."""

import asyncio
import base64
import itertools
import json
import os
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any, Final, NamedTuple

from bench.fleet import make_environment
from soak.const import DEPLOYMENT
from soak.fleet import PROGRAM
from tests.common import ROOT, StandIn, StartStandIn, allocate_address

MEMORY_MB: Final = 160
"""Memory of the smallest machines that gateways run on: one above it is killed."""
CLIENTS: Final = 60
MAX_SENT_BYTES: Final = 16_000_000
"""What each client of a crowd sends at most."""
PIECE_BYTES: Final = 65_536
WAIT_SECONDS: Final = 60.0
DRAIN_SECONDS: Final = 5.0
"""Time after which a client whose bytes are not read stops sending."""
SETTLE_SECONDS: Final = 2.0
"""Time after which the requests of connections have begun to be handled."""
SPARE_DESCRIPTORS: Final = 20
"""Descriptors that a process may open for other purposes meanwhile."""
HOST_LINE: Final = f"Host: {DEPLOYMENT['route']['host']}\r\n"
REQUEST_NUMBERS: Final = itertools.count(1)


class Process(NamedTuple):
    """Control a process under test."""

    process: subprocess.Popen[bytes]
    addresses: dict[str, str]
    """Its listeners' addresses by name."""

    def read_peak_mb(self) -> float:
        """Return the largest resident memory so far, in megabytes."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        (peak,) = [line for line in lines if line.startswith("VmHWM:")]
        return int(peak.split()[1]) * 1024 / 1e6

    def count_descriptors(self) -> int:
        """Return the number of its open file descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def check(self, max_mb: float = MEMORY_MB) -> None:
        """Check that the process lives and has stayed within its memory."""
        assert self.process.poll() is None
        peak_mb = self.read_peak_mb()
        print(f"peak: {peak_mb:.0f} MB, bound: {max_mb} MB")
        assert peak_mb < max_mb


class GatewayDeployment(NamedTuple):
    """Hold the stand-ins before and behind the gateways under test."""

    store: StandIn
    desk: StandIn


def start_deployment(start_standin: StartStandIn, **changes: Any) -> GatewayDeployment:
    """Start a store with changed routes, and a host of the plain service."""
    store = start_standin("rows")
    desk = start_standin("desk", "--instance", "d-1", "--log", os.devnull)
    routes = [
        {**DEPLOYMENT["route"], **changes, "prefix": f"/{one['name']}/", **one}
        for one in DEPLOYMENT["routes"]
    ]
    value = {name: DEPLOYMENT[name] for name in ("services", "limits")}
    write(store, "op", "config", {"version": 1, "routes": routes, **value})
    entry = {**DEPLOYMENT["entry"], "service": "desk", "address": desk.address}
    write(store, "servers", "d-1", entry)
    return GatewayDeployment(store, desk)


def write(store: StandIn, table: str, key: str, value: Any) -> None:
    """Write a row as the operator and the hosts do."""
    encoded = base64.b64encode(json.dumps(value).encode()).decode()
    store.post("/_write", {"table": table, "key": key, "value": encoded})


@contextmanager
def run_gateway(deployment: GatewayDeployment, folder: Path) -> Iterator[Process]:
    """Run a gateway that serves ordinary requests."""
    ip = allocate_address()
    addresses = {
        "callers": f"{ip}:8101",
        "ready": f"{ip}:8102",
        "metrics": f"{ip}:9464",
        "peers": f"{ip}:8104",
    }
    settings = {
        "host": "g-1",
        "data_centre": "howrah",
        "cores": 1.0,
        "core_share": 0.8,
        "memory_mb": MEMORY_MB,
        "address": addresses["callers"],
        "ready_address": addresses["ready"],
        "metrics_address": addresses["metrics"],
        "peer_address": addresses["peers"],
        "store_address": deployment.store.address,
        "bounds": dict(DEPLOYMENT["bounds"]),
    }
    path = folder / "gateway.json"
    path.write_text(json.dumps(settings))
    environment = {**make_environment(), "RADISHTALLY_CONFIG": str(path)}
    with (
        (folder / "gateway.log").open("ab") as log,
        subprocess.Popen(
            [sys.executable, str(PROGRAM), "gateway"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        ) as process,
    ):
        try:
            gateway = Process(process, addresses)
            asyncio.run(ask_gateway(gateway))
            yield gateway
        finally:
            process.kill()


def make_head(
    path: str, method: str = "GET", more: str = "", deadline_ms: int = 4000
) -> bytes:
    """Make the head of an ordinary request, with further lines."""
    names = f"X-Request-Id: r-{next(REQUEST_NUMBERS)}\r\n"
    names += f"X-Deadline-Ms: {deadline_ms}\r\n"
    return f"{method} {path} HTTP/1.1\r\n{HOST_LINE}{names}{more}\r\n".encode()


def make_bad_heads(get: str, post: str) -> dict[str, tuple[bytes, bytes]]:
    """Make heads that are bad, or over the limit, for requests with these paths.

    Each is the first bytes of a client, and those that it sends again and again.
    """
    start, long_value = make_head(get)[:-2], 60_000 * "v"
    chunked = make_head(post, "POST", "Transfer-Encoding: chunked\r\n")
    upgrade = make_head(get, more="Connection: Upgrade\r\nUpgrade: websocket\r\n")
    long_lines = "".join(f"f-{n}: {long_value}\r\n" for n in range(128)).encode()
    short_fields = "".join(f"f-{n}: v\r\n" for n in range(500)).encode()
    any_bytes = bytes(range(256))
    return {
        "field": (start + b"X-Field: ", b"x"),
        "name": (start, b"x"),
        "target": (f"GET {get}".encode(), b"x"),
        "method": (b"G", b"G"),
        "binary": (b"", any_bytes),
        "upgrade": (upgrade, any_bytes),
        "empty lines": (b"", b"\r\n"),
        "folds": (start + b"X-Field: a\r\n", b" b\r\n"),
        "long lines": (start, long_lines),
        "short fields": (b"", start + short_fields + b"\r\n"),
        "chunk size": (chunked, b"0"),
        "chunk extension": (chunked + b"1;x=", b"x"),
        "trailer field": (chunked + b"0\r\nX-Field: ", b"x"),
        "trailers": (chunked + b"0\r\n", b"X-Field: a\r\n"),
    }


async def ask(address: str, make_request: Callable[[], bytes]) -> None:
    """Send an ordinary request until it is answered with 200, as its caller may."""
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            with suppress(OSError, asyncio.IncompleteReadError, ValueError):
                status = await ask_once(address, make_request())
                if status == 200:
                    return
            await asyncio.sleep(0.1)


async def ask_once(address: str, request: bytes) -> int:
    """Send a request on a connection of its own; return its status."""
    reader, writer = await connect(address)
    try:
        writer.write(request)
        return int((await reader.readline()).split()[1])
    except IndexError:
        raise ConnectionError("closed without an answer") from None
    finally:
        writer.transport.abort()


async def ask_gateway(gateway: Process) -> None:
    """Send a gateway an ordinary request of each kind that it answers itself."""
    await ask(gateway.addresses["callers"], lambda: make_head("/read/x"))
    await ask(gateway.addresses["ready"], lambda: make_head("/api/ready"))
    await ask(gateway.addresses["metrics"], lambda: make_head("/metrics"))


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an address."""
    ip, port = address.rsplit(":", 1)
    return await asyncio.open_connection(ip, int(port))


async def open_crowd(
    address: str, clients: int
) -> list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect clients one after the other; one that is turned away tries again."""
    crowd = []
    while len(crowd) < clients:
        with suppress(ConnectionError):
            crowd.append(await connect(address))
    return crowd


async def send_endlessly(
    writer: asyncio.StreamWriter,
    first: bytes,
    piece: bytes,
    max_bytes: int = MAX_SENT_BYTES,
) -> None:
    """Send a piece again and again, until the server closes or reads no more."""
    with suppress(ConnectionError, TimeoutError):
        writer.write(first)
        for _ in range(0, max_bytes, len(piece)):
            writer.write(piece)
            async with asyncio.timeout(DRAIN_SECONDS):
                await writer.drain()


async def play_crowd(
    address: str,
    send: Callable[[asyncio.StreamWriter], Awaitable[None]],
    clients: int = CLIENTS,
    while_open: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Let clients send side by side; disconnect them once all have ended."""
    crowd = await open_crowd(address, clients)
    try:
        await asyncio.gather(*(send(writer) for _, writer in crowd))
        if while_open is not None:
            await while_open()
    finally:
        for _, writer in crowd:
            writer.transport.abort()


async def play_endless_crowd(
    address: str, first: bytes, unit: bytes, clients: int = CLIENTS
) -> None:
    """Let clients send some first bytes, and then a unit again and again."""
    piece = unit * max(1, PIECE_BYTES // len(unit))
    send = partial(send_endlessly, first=first, piece=piece)
    await play_crowd(address, send, clients)


async def wait_until_connected(process: Process, before: int) -> None:
    """Wait until a process has accepted most of a crowd's connections and read them."""
    async with asyncio.timeout(WAIT_SECONDS):
        while process.count_descriptors() < before + CLIENTS // 2:
            await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLE_SECONDS)


async def wait_for_descriptors(process: Process, before: int) -> None:
    """Wait until a process has given back the descriptors of its clients."""
    async with asyncio.timeout(WAIT_SECONDS):
        while process.count_descriptors() > before + SPARE_DESCRIPTORS:
            await asyncio.sleep(0.05)
