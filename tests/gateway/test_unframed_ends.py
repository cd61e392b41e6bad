"""Tests of answers without framing whose hosts crash or exit directly after them."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
from aiohttp import web

from radishtally.routes.config import HEALTH_PATH
from tests.common import run
from tests.gateway.common import LOOPBACK, Deployment, deployment, wait_until
from tests.gateway.crashing import CrashingServer
from tests.gateway.test_calls import answer_whole, ask

HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Signature: by-desk\r\nX-Request-Id: "
PART = b"only a part"
DELIVERY_SECONDS = 0.02
PIECE_BYTES = 65_536


class CrashingDesk(CrashingServer):
    """Answer without framing, and crash."""

    def __init__(self) -> None:
        self.answers = 0
        self.prepare: Callable[[], Awaitable[None]] | None = None
        """Callback that runs before the answer."""

    async def answer(self, request: web.Request) -> web.Response:
        """Send a possibly partial answer, and crash."""
        self.answers += 1
        if self.prepare is not None:
            await self.prepare()
        name = request.headers["X-Request-Id"].encode()
        request.transport.write(HEAD + name + b"\r\n\r\n" + PART)
        await asyncio.sleep(DELIVERY_SECONDS)
        self.abort_all()
        return web.Response()

    def build_app(self) -> web.Application:
        """Build the application."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.answer)
        return app


# Guards against a partial answer that looks complete: the host is killed, and the
# kernel closes its connections in the same way as a process that has finished.
def test_partial_answer_of_a_killed_host_is_not_returned() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = CrashingDesk()
            env.announce("d-1", await desk.listen(desk.build_app()), "desk")
            await env.wait_for("d-1")
            status, _, body = await ask(env, "/book/a", "r1", "POST")
            assert (status, desk.answers) == (502, 1)
            assert PART not in body

    run(scenario())


def test_call_is_retried_if_its_host_was_killed() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = CrashingDesk()
            env.announce("d-1", await desk.listen(desk.build_app()), "desk")
            await env.wait_for("d-1")
            await env.serve_desk("d-2", answer_whole)
            answers = [await ask(env, "/read/a", f"r{number}") for number in range(8)]
            assert desk.answers == 1
            assert [(status, body) for status, _, body in answers] == [
                (200, b"whole")
            ] * 8

    run(scenario())


class LeavingDesk(CrashingDesk):
    """Answer without framing while it leaves, and then live on or be killed."""

    def __init__(self, env: Deployment, is_killed: bool, is_gone: bool) -> None:
        super().__init__()
        self.address = ""
        """Address in its entry."""
        self.prepare = self.leave
        self._deployment = env
        self._is_killed = is_killed
        self._is_gone = is_gone

    async def leave(self) -> None:
        """Change or remove the entry, and wait until the gateway has seen that."""
        env = self._deployment
        if self._is_gone:
            env.withdraw("d-1")
        else:
            env.announce("d-1", self.address, "desk", state="draining")
        await wait_until(lambda: not env.gateway.core.hosts["d-1"].live)

    async def answer(self, request: web.Request) -> web.Response:
        """Answer a health check, or a call without framing."""
        if request.path == HEALTH_PATH:
            return web.Response(headers={"X-Instance-Id": "d-1"})
        if self._is_killed:
            return await super().answer(request)
        await self.leave()
        name = request.headers["X-Request-Id"].encode()
        request.transport.write(HEAD + name + b"\r\n\r\n" + PART)
        await asyncio.sleep(DELIVERY_SECONDS)
        request.transport.close()
        return web.Response()


async def ask_leaving(desk: LeavingDesk, env: Deployment) -> tuple[int, bytes]:
    """Ask a host that leaves while it answers; return the status and the body."""
    env.announce("d-1", desk.address, "desk")
    await env.wait_for("d-1")
    status, _, body = await ask(env, "/book/a", "r1", "POST")
    return status, body


# Guards against a part that looks complete: a leaving host is killed before its last
# answer has ended, as platforms do that take machines away at short notice.
@pytest.mark.parametrize("is_gone", [False, True], ids=["draining", "gone"])
def test_part_of_a_leaving_host_that_is_killed_is_not_returned(is_gone: bool) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = LeavingDesk(env, True, is_gone)
            desk.address = await desk.listen(desk.build_app())
            status, body = await ask_leaving(desk, env)
            assert status == 502
            assert PART not in body

    run(scenario())


# Guards against a complete answer that is dropped because its host is leaving.
@pytest.mark.parametrize("is_gone", [False, True], ids=["draining", "gone"])
def test_last_answer_of_a_leaving_host_that_lives_is_returned(is_gone: bool) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = LeavingDesk(env, False, is_gone)
            desk.address = await desk.listen(desk.build_app())
            assert await ask_leaving(desk, env) == (200, PART)

    run(scenario())


class Relay:
    """Relay connections to a host and keep listening after it has crashed."""

    def __init__(self, target: str) -> None:
        self._ip, port = target.rsplit(":", 1)
        self._port = int(port)

    async def listen(self) -> str:
        """Listen until the event loop ends; return the address."""
        server = await asyncio.start_server(self._carry, LOOPBACK, 0)
        ip, port = server.sockets[0].getsockname()
        return f"{ip}:{port}"

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far = await asyncio.open_connection(self._ip, self._port)
        except ConnectionRefusedError:
            writer.transport.abort()
            return
        await asyncio.gather(_copy(reader, far[1]), _copy(far[0], writer))


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with suppress(ConnectionError):
        while part := await reader.read(PIECE_BYTES):
            writer.write(part)
    writer.close()


# Guards against a partial answer that looks complete: the host is killed behind a
# relay, which keeps listening and closes each connection as soon as it has accepted it.
def test_part_of_an_answer_is_not_given_where_a_relay_listens_for_its_host() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = CrashingDesk()
            relay = Relay(await desk.listen(desk.build_app()))
            env.announce("d-1", await relay.listen(), "desk")
            await env.wait_for("d-1")
            status, _, body = await ask(env, "/book/a", "r1", "POST")
            assert (status, desk.answers) == (502, 1)
            assert PART not in body

    run(scenario())
