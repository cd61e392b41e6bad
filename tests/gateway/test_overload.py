"""Tests of a gateway that gets more new connections than it can serve."""

import asyncio
import socket
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import pytest
from aiohttp import web

from radishtally.gateway import http_frontend, overload
from radishtally.gateway.daemon import Gateway
from tests.common import run
from tests.gateway.common import deployment, make_headers, wait_until

BUSY_SECONDS = 0.01
"""Time for which each request occupies the gateway: it can serve 100 a second."""
CONNECTIONS = 1_600
FIRST_JUDGED = 400
"""Connections of the first second, in which the gateway learns what it can serve."""
INTERVAL_SECONDS = 0.0025
IN_TIME_SECONDS = 4.0
"""The callers' deadline. A shorter time would judge the machine that runs the test."""
MIN_IN_TIME_SHARE = 0.75
MIN_SERVED = 50
"""A quarter of what the gateway can serve while the connections come."""
GIVE_UP_SECONDS = 12.0


class Try(NamedTuple):
    """What became of a connection."""

    answer: bytes
    """Empty if it was closed with its request unread."""
    seconds: float


def occupy(gateway: Gateway) -> None:
    """Let each request occupy the gateway's event loop for a while."""
    route: Callable[..., object] = gateway.route

    def route_slowly(*args: object) -> object:
        time.sleep(BUSY_SECONDS)
        return route(*args)

    gateway.route = route_slowly


async def connect(address: tuple[str, int], number: int) -> Try:
    """Send a request on a new connection."""
    started = time.monotonic()
    head = "".join(f"{k}: {v}\r\n" for k, v in make_headers(f"r{number}").items())
    request = f"GET /read/a HTTP/1.1\r\n{head}Connection: close\r\n\r\n"
    answer = b""
    try:
        async with asyncio.timeout(GIVE_UP_SECONDS):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(request.encode())
                answer = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        pass
    return Try(answer, time.monotonic() - started)


def send_connections(address: tuple[str, int], tries: list[Try]) -> None:
    """Open the connections one after another, in an event loop of their own."""

    async def send() -> None:
        tasks = []
        for number in range(CONNECTIONS):
            tasks.append(asyncio.create_task(connect(address, number)))
            await asyncio.sleep(INTERVAL_SECONDS)
        tries.extend(await asyncio.gather(*tasks))

    asyncio.run(send())


async def flood(gateway: Gateway) -> list[Try]:
    """Send a gateway more new connections than it can serve."""
    ip, port = gateway.settings.address.rsplit(":", 1)
    tries: list[Try] = []
    thread = threading.Thread(target=send_connections, args=((ip, int(port)), tries))
    thread.start()
    while thread.is_alive():
        await asyncio.sleep(0.05)
    return tries


async def answer_empty(request: web.Request) -> web.Response:
    """Answer a call of the plain service."""
    names = {name: request.headers[name] for name in ("X-Request-Id",)}
    return web.Response(body=b"ok", headers={"X-Server-Signature": "s", **names})


# Guards against a balancer that sends most new connections to one gateway: all of them
# were read, and hardly any was answered before its caller had given up.
def test_gateway_turns_away_what_it_cannot_serve_in_time() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", answer_empty)
            occupy(env.gateway)
            tries = await flood(env.gateway)
            read = [one for one in tries[FIRST_JUDGED:] if one.answer]
            served = [one for one in read if one.answer.startswith(b"HTTP/1.1 200")]
            in_time = [one for one in served if one.seconds <= IN_TIME_SECONDS]
            assert len(read) < len(tries) - FIRST_JUDGED
            assert len(served) >= MIN_SERVED
            assert len(in_time) >= MIN_IN_TIME_SHARE * len(read)

    run(scenario())


# Guards against connections that a gateway refuses although it can serve them.
def test_gateway_turns_nothing_away_below_its_capacity() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", answer_empty)
            tries = [
                await connect(_split(env.gateway.settings.address), number)
                for number in range(200)
            ]
            assert all(one.answer.startswith(b"HTTP/1.1 200") for one in tries)

    run(scenario())


# Guards against connections refused after a pause of the process, as in a freeze.
def test_gateway_serves_what_has_waited_for_the_end_of_a_pause() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", answer_empty)
            address = _split(env.gateway.settings.address)
            waiting = [asyncio.create_task(connect(address, n)) for n in range(10)]
            await asyncio.sleep(0)
            time.sleep(0.5)
            tries = await asyncio.gather(*waiting)
            assert all(one.answer.startswith(b"HTTP/1.1 200") for one in tries)

    run(scenario())


# Guards against file descriptors that run out while callers open new connections and
# keep the old ones.
def test_idle_connections_are_closed_early_if_there_are_many(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_frontend, "CROWDED_CONNECTIONS", 20)
    monkeypatch.setattr(overload, "MAX_CONNECTIONS", 40)

    async def scenario() -> None:
        async with deployment() as env:
            address = _split(env.gateway.settings.address)
            opened = [await asyncio.open_connection(*address) for _ in range(60)]
            server = env.gateway.frontend._server
            await wait_until(lambda: len(server.connections) <= 20)
            assert (await connect(address, 1)).answer.startswith(b"HTTP/1.1 503")
            for _, writer in opened:
                writer.close()

    run(scenario())


def _split(address: str) -> tuple[str, int]:
    ip, port = address.rsplit(":", 1)
    socket.inet_aton(ip)
    return ip, int(port)
