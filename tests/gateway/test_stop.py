"""Tests of requests that are open when a gateway is stopped."""

import asyncio
import socket
import time

import msgspec
import pytest
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from radishtally.gateway import daemon
from radishtally.gateway.connections import Connections
from radishtally.gateway.const import HANDLER_LOOP_ITERATIONS
from radishtally.gateway.daemon import Gateway
from radishtally.gateway.http_frontend import HttpFrontend
from tests.common import run
from tests.gateway.common import Deployment, deployment, wait_until
from tests.gateway.test_calls import SIGNED, Desk, answer_whole, ask

KEPT = b"Host: desk.example\r\nX-Request-Id: r%d\r\n\r\n"
LARGE = 12 * 1024 * 1024
"""Size of an answer that exceeds all socket buffers."""
SMALL_BUFFER = 4096


def connect(env: Deployment, receive_buffer: int | None = None) -> socket.socket:
    """Open a connection to the gateway as a caller."""
    ip, port = env.url.removeprefix("http://").split(":")
    caller = socket.socket()
    if receive_buffer is not None:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    caller.connect((ip, int(port)))
    return caller


def set_grace(gateway: Gateway, seconds: float) -> None:
    """Set a gateway's time from the stop signal to the platform's kill."""
    bounds = msgspec.structs.replace(gateway.settings.bounds, grace_seconds=seconds)
    settings = msgspec.structs.replace(gateway.settings, bounds=bounds)
    gateway.apply_settings(settings)


async def wait_until_idle(frontend: HttpFrontend) -> None:
    """Wait until no connection carries a request."""
    async with asyncio.timeout(5):
        while await frontend.close_idle():
            await asyncio.sleep(0.005)


async def answer_large(request: web.Request) -> web.Response:
    headers = {**SIGNED, "X-Request-Id": request.headers["X-Request-Id"]}
    return web.Response(body=b"x" * LARGE, headers=headers)


async def answer_never(request: web.Request) -> web.Response:
    await asyncio.Event().wait()
    raise AssertionError


# Guards against a partial answer for a caller that reads slowly: the answer was passed
# to the HTTP library as a whole, so its connection counts as idle, and the process
# exits while the rest is still buffered.
def test_stop_waits_for_answers_that_are_still_being_sent() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_large))
            frontend = env.gateway.frontend
            with connect(env, SMALL_BUFFER) as caller:
                caller.sendall(b"GET /read/a HTTP/1.1\r\n" + KEPT % 1)
                await wait_until(lambda: len(env.gateway.replies) == 1)
                await wait_until(lambda: len(env.gateway.core.requests) == 0)
                assert await frontend.close_idle() == 1

                reader, writer = await asyncio.open_connection(sock=caller)
                async with asyncio.timeout(20):
                    head = await reader.readuntil(b"\r\n\r\n")
                    assert head.startswith(b"HTTP/1.1 200 ")
                    assert len(await reader.readexactly(LARGE)) == LARGE
                await wait_until_idle(frontend)
                writer.close()

    run(scenario())


# Guards against a stop that never ends, as a caller doesn't read its answer.
def test_stop_ends_beside_an_answer_that_nobody_reads() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_large))
            frontend = env.gateway.frontend
            with connect(env, SMALL_BUFFER) as caller:
                caller.sendall(b"GET /read/a HTTP/1.1\r\n" + KEPT % 1)
                await wait_until(lambda: len(env.gateway.replies) == 1)
                await wait_until(lambda: len(env.gateway.core.requests) == 0)
                async with asyncio.timeout(5):
                    await frontend.stop()

    run(scenario())


# Guards against a caller that gets neither an answer nor a refusal: its host has not
# answered when the gateway's grace period ends, and the connection is closed with the
# process. The caller must be told that the outcome is unknown.
@pytest.mark.parametrize("path", ["/read/a", "/book/a"])
def test_request_without_answer_is_refused_at_the_end_of_a_stop(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(daemon, "MIN_LEAVE_SECONDS", 0.0)

    async def scenario() -> None:
        async with deployment() as env:
            desk = Desk(answer_never)
            await env.serve_desk("d-1", desk)
            set_grace(env.gateway, 1.5)
            asking = asyncio.create_task(ask(env, path, "r1"))
            await wait_until(lambda: len(desk.seen) == 1)
            env.gateway.runtime.stopping.set()
            async with asyncio.timeout(5):
                status, headers, _ = await asking
            assert (status, headers.get("X-Ran")) == (502, "unknown")

    run(scenario())


# Guards against a request that is cut off: it arrives late in a stop and is accepted,
# since reloaded settings have a longer grace period than the one that the platform
# applies.
def test_settings_reloaded_during_a_stop_do_not_extend_it() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_whole))
            env.gateway.runtime.stopping.set()
            await wait_until(lambda: env.gateway._stopping_since is not None)
            env.gateway._stopping_since = time.monotonic() - 5.0
            set_grace(env.gateway, 60.0)
            status, headers, _ = await ask(env, "/read/a", "r1")
            assert (status, headers.get("X-Ran")) == (503, "no")

    run(scenario())


class LoopIterations:
    """Count event loop iterations from the read of a request to its handler."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 0
        self.waited: list[int] = []
        self._since = 0
        self._take = RequestHandler.data_received
        self._count = Connections._change_count
        monkeypatch.setattr(
            RequestHandler, "data_received", lambda *given: self._record_read(*given)
        )
        monkeypatch.setattr(
            Connections, "_change_count", lambda *given: self._record_use(*given)
        )

    def start(self) -> None:
        """Start counting iterations."""
        self.now += 1
        asyncio.get_running_loop().call_soon(self.start)

    def _record_read(self, connection: RequestHandler, data: bytes) -> None:
        if data:
            self._since = self.now
        self._take(connection, data)

    def _record_use(
        self, connections: Connections, connection: RequestHandler, change: int
    ) -> None:
        if change > 0:
            self.waited.append(self.now - self._since)
        self._since = self.now
        self._count(connections, connection, change)


# Guards against a request that a host runs without an answer to the caller. A stop
# pauses reading and closes idle connections a fixed number of event loop iterations
# later. Another release of the HTTP library, or another code path, may take more
# iterations to start the handler.
@pytest.mark.parametrize("is_pipelined", [True, False])
def test_handler_starts_within_the_expected_loop_iterations(
    is_pipelined: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    iterations = LoopIterations(monkeypatch)
    data = [b"GET /read/a HTTP/1.1\r\n" + KEPT % number for number in range(3)]

    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_whole))
            iterations.start()
            with connect(env) as caller:
                reader, writer = await asyncio.open_connection(sock=caller)
                if is_pipelined:
                    writer.write(b"".join(data))
                for request in data:
                    if not is_pipelined:
                        writer.write(request)
                    async with asyncio.timeout(5):
                        assert await reader.readuntil(b"whole")
                writer.close()

    run(scenario())
    assert len(iterations.waited) == len(data)
    # One iteration is a margin.
    assert max(iterations.waited) < HANDLER_LOOP_ITERATIONS
