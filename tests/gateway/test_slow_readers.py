"""Tests of callers and hosts that read slowly, while others are served."""

import asyncio
import fcntl
import os
import socket
import struct
import termios
from collections.abc import AsyncIterator
from contextlib import suppress

import aiohttp
import pytest
from aiohttp import web

from tests.common import run
from tests.gateway.common import (
    LIMITS,
    WAIT_SECONDS,
    Deployment,
    deployment,
    make_headers,
    make_route,
    wait_until,
)

LARGE_BYTES = 8_000_000
"""More than the kernel buffers on both sides of a connection."""
READERS = 12
LIMIT_BYTES = 32_000_000
"""A fifth of the memory of 160 MB that the settings default to."""
MAX_UPLOAD_BYTES = 64 * 1024 * 1024
LIBRARY_BYTES = READERS * 500_000
"""What the libraries buffer between host and gateway, besides the kernel."""


class LargeDesk:
    """Send large answers, and count the bytes that were taken from them."""

    def __init__(self, is_chunked: bool = False) -> None:
        self.taken = 0
        self.is_chunked = is_chunked

    async def __call__(self, request: web.Request) -> web.StreamResponse:
        """Answer with a large or a small body, by the path."""
        size = LARGE_BYTES if "large" in request.path else 2
        names = {"X-Request-Id": request.headers["X-Request-Id"]}
        response = web.StreamResponse(headers={"X-Server-Signature": "s", **names})
        if not self.is_chunked:
            response.content_length = size
        await response.prepare(request)
        for _ in range(0, size, 50_000):
            piece = b"x" * min(size, 50_000)
            await response.write(piece)
            self.taken += len(piece)
        return response


def connect(env: Deployment, name: str) -> socket.socket:
    """Ask for a large answer on a connection from which nothing is read."""
    ip, port = env.gateway.settings.address.rsplit(":", 1)
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.connect((ip, int(port)))
    head = "".join(f"{k}: {v}\r\n" for k, v in make_headers(name).items())
    connection.sendall(f"GET /read/large HTTP/1.1\r\n{head}\r\n".encode())
    return connection


def count_bytes_on_the_way(address: str) -> int:
    """Return what the kernel buffers of all that a host of this process has sent."""
    count = 0
    for name in os.listdir("/proc/self/fd"):
        with suppress(OSError), socket.socket(fileno=os.dup(int(name))) as connection:
            if connection.family != socket.AF_INET:
                continue
            if "{}:{}".format(*connection.getsockname()) == address:
                count += ask_kernel(connection, termios.TIOCOUTQ)
            elif "{}:{}".format(*connection.getpeername()) == address:
                count += ask_kernel(connection, termios.FIONREAD)
    return count


def ask_kernel(connection: socket.socket, query: int) -> int:
    """Return the number of bytes in a queue of a connection."""
    return struct.unpack("i", fcntl.ioctl(connection, query, bytes(4)))[0]


async def ask(env: Deployment, path: str, name: str) -> tuple[int, int]:
    """Send a request; return the status and the length of its answer."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(
            f"{env.url}{path}",
            headers=make_headers(name, **{"X-Deadline-Ms": "30000"}),
        ) as response,
    ):
        return response.status, len(await response.read())


# Guards against a gateway that is killed as it holds large answers for callers who
# don't read them, also those of unknown length.
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_answers_that_nobody_reads_are_left_at_the_hosts(is_chunked: bool) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = LargeDesk(is_chunked)
            await env.serve_desk("d-1", desk, slots=200)
            readers = [connect(env, f"slow-{n}") for n in range(READERS)]
            await wait_until(lambda: env.gateway.buffers.is_short)
            for number in range(50):
                assert await ask(env, "/read/small", f"small-{number}") == (200, 2)
            on_the_way = count_bytes_on_the_way(env.addresses["d-1"])
            assert desk.taken - on_the_way <= LIMIT_BYTES + LIBRARY_BYTES
            assert env.gateway.buffers.used <= LIMIT_BYTES
            for reader in readers:
                reader.close()
            await wait_until(lambda: env.gateway.buffers.used == 0)
            assert await ask(env, "/read/large", "last") == (200, LARGE_BYTES)

    run(scenario())


# Guards against callers who read nothing and hold up all other large answers.
def test_caller_that_reads_nothing_is_cut_off_if_others_wait() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            # Room frees only when slow readers are cut off.
            env.configure(make_route("read", "safe", "desk", timeoutMs=30_000))
            await env.wait_for_configuration()
            await env.serve_desk("d-1", LargeDesk(), slots=200)
            readers = [connect(env, f"slow-{n}") for n in range(READERS)]
            await wait_until(lambda: env.gateway.buffers.is_short)
            answers = [ask(env, "/read/large", f"r-{n}") for n in range(2)]
            assert await asyncio.gather(*answers) == [(200, LARGE_BYTES)] * 2
            for reader in readers:
                reader.close()

    run(scenario())


# Guards against bodies that fill the memory while hosts don't read them, also those of
# unknown length.
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_bodies_that_no_host_reads_are_left_at_the_callers(is_chunked: bool) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            env.configure(limits={**LIMITS, "maxBodyBytes": LARGE_BYTES})
            await env.wait_for_configuration()
            release = asyncio.Event()

            async def wait(request: web.Request) -> web.StreamResponse:
                await release.wait()
                return web.Response(status=500)

            await env.serve_desk("d-1", wait, slots=200)
            posts = [
                asyncio.create_task(post(env, f"post-{n}", is_chunked))
                for n in range(READERS)
            ]
            done, _ = await asyncio.wait(posts, timeout=2.5)
            assert env.gateway.buffers.used <= LIMIT_BYTES
            # Those that had room end with 502, as the host reads nothing.
            statuses = [task.result() for task in done]
            assert statuses.count(503) >= READERS - LIMIT_BYTES // LARGE_BYTES
            assert set(statuses) <= {502, 503}
            release.set()
            await asyncio.gather(*posts)

    run(scenario())


async def post(env: Deployment, name: str, is_chunked: bool) -> int:
    """Send a large body; return the status."""

    async def list_pieces() -> AsyncIterator[bytes]:
        for _ in range(0, LARGE_BYTES, 50_000):
            yield b"x" * 50_000

    body = list_pieces() if is_chunked else b"x" * LARGE_BYTES
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"{env.url}/book/x", headers=make_headers(name), data=body
        ) as response,
    ):
        return response.status


# Guards against a gateway that reads the body of a refused request for as long as its
# caller sends it.
@pytest.mark.parametrize(
    ("head", "status"),
    [
        ("POST /none/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", 413),
        ("POST /book/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", 413),
        (f"POST /book/x HTTP/1.1\r\nContent-Length: {10**12}\r\n", 413),
    ],
    ids=["no route", "chunks", "length"],
)
def test_endless_body_of_a_refused_request_is_closed(head: str, status: int) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            ip, port = env.gateway.settings.address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port))
            names = "".join(f"{k}: {v}\r\n" for k, v in make_headers("r").items())
            writer.write(f"{head}{names}\r\n".encode())
            piece = b"4000\r\n" + 0x4000 * b"x" + b"\r\n"
            sent = 0
            with suppress(ConnectionError):
                while sent < MAX_UPLOAD_BYTES:
                    writer.write(piece)
                    await writer.drain()
                    sent += len(piece)
            assert sent < MAX_UPLOAD_BYTES
            with suppress(ConnectionError):
                assert int((await reader.readline()).split()[1]) == status
            writer.close()

    run(scenario())


# Guards against a body that trickles in after its request was refused.
def test_slow_body_of_a_refused_request_is_closed() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            ip, port = env.gateway.settings.address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port))
            names = "".join(f"{k}: {v}\r\n" for k, v in make_headers("r").items())
            length = LIMITS["maxBodyBytes"] + 1
            head = f"POST /book/x HTTP/1.1\r\nContent-Length: {length}\r\n{names}\r\n"
            writer.write(head.encode() + b"x" * (length - 1))
            async with asyncio.timeout(WAIT_SECONDS):
                assert b" 413 " in await reader.readline()
                await reader.read()
            writer.close()

    run(scenario())
