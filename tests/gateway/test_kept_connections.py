"""Tests of kept-alive connections to hosts that answer a request twice."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from adapter.upstreams import PlatformUpstreams

from radishtally.links.messages import DECODE
from tests.common import run
from tests.gateway.common import LOOPBACK, Deployment, deployment
from tests.gateway.test_calls import ask

PAUSE_SECONDS = 0.02
"""Pause between two writes, so that they are read separately."""
REPORT = '{"phase": "decode"}'


def make_answer(names: tuple[str, ...], body: str) -> bytes:
    """Make an answer that carries these request ids."""
    named = "".join(f"X-Request-Id: {name}\r\n" for name in names)
    signed = f"X-Server-Signature: by-{body}\r\nContent-Length: {len(body)}\r\n"
    return f"HTTP/1.1 200 OK\r\n{named}{signed}\r\n{body}".encode()


class Host:
    """Answer each request with its id, over kept-alive connections."""

    def __init__(self) -> None:
        self.connections = 0
        self.seen: list[str] = []
        self.answer: dict[str, Callable[[asyncio.StreamWriter], Awaitable[None]]] = {}
        """Request ids that get a different answer."""
        self.late = b""
        """Data sent before a report on a connection that has carried a request."""

    async def serve(self, env: Deployment) -> None:
        """Listen, and wait until the gateway has discovered the host."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        env.announce("d-1", f"{LOOPBACK}:{port}", "desk")
        await env.wait_for("d-1")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        is_new = True
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET /api/report"):
                    late = b"" if is_new else self.late
                    writer.write(late + make_answer((), REPORT))
                    continue
                is_new = False
                name = _find_name(head)
                self.seen.append(name)
                if name in self.answer:
                    await self.answer[name](writer)
                else:
                    writer.write(make_answer((name,), name))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _find_name(head: bytes) -> str:
    lines = head.decode().splitlines()
    return next(
        line.split(": ")[1]
        for line in lines
        if line.lower().startswith("x-request-id: ")
    )


@pytest.fixture
def host() -> Host:
    """Return a host whose answers can be scripted."""
    return Host()


# Guards against a caller that gets the complete and signed answer to another request.
# A host answers r1 twice, and the second answer carries no request id. It arrives in
# the same read as the end of the first answer, whose head was read before. The HTTP
# library releases the connection at the end of the first answer, before it looks at the
# remaining data. r2 acquires the connection and reads the second answer, which passes a
# check of the id that accepts answers without one.
@pytest.mark.parametrize("names", [(), ("r2", "r1")])
@pytest.mark.parametrize("is_split", [True, False])
def test_second_answer_is_not_given_to_the_next_caller(
    host: Host, names: tuple[str, ...], is_split: bool
) -> None:
    async def answer_twice(writer: asyncio.StreamWriter) -> None:
        first, second = make_answer(("r1",), "r1"), make_answer(names, "twice")
        cut = first.index(b"\r\n\r\n") + 5 if is_split else len(first)
        writer.write(first[:cut])
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(first[cut:] + second)

    async def scenario() -> None:
        async with deployment() as env:
            host.answer["r1"] = answer_twice
            await host.serve(env)
            assert (await ask(env, "/read/a", "r1"))[2] == b"r1"
            await asyncio.sleep(3 * PAUSE_SECONDS)
            status, _, body = await ask(env, "/read/a", "r2")
            assert (status, body) == (200, b"r2")

    run(scenario())


# As above, but the second answer arrives after the next request was sent, so nothing is
# visible on the connection before. Only the missing id shows that the answer may belong
# to another request.
def test_late_answer_without_id_is_not_taken_for_the_next_one(host: Host) -> None:
    async def answer_late(writer: asyncio.StreamWriter) -> None:
        writer.write(make_answer((), "r1 again") + make_answer(("r2",), "r2"))

    async def scenario() -> None:
        async with deployment() as env:
            host.answer["r2"] = answer_late
            await host.serve(env)
            assert (await ask(env, "/read/a", "r1"))[2] == b"r1"
            status, _, body = await ask(env, "/read/a", "r2")
            assert (status, b"r1" in body) == (502, False)
            status, _, body = await ask(env, "/read/a", "r3")
            assert (status, body) == (200, b"r3")

    run(scenario())


# Guards against 502 for all later requests: a second answer with the id r1 is read by
# r2 and rejected. As it is complete, the HTTP library has released the connection
# before it can be closed. The answer to r2 is then read by r3, that to r3 by r4, etc.
def test_second_answer_does_not_fail_later_requests(host: Host) -> None:
    async def answer_late(writer: asyncio.StreamWriter) -> None:
        writer.write(make_answer(("r1",), "r1"))
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(make_answer(("r2",), "r2"))

    async def scenario() -> None:
        async with deployment() as env:
            host.answer["r2"] = answer_late
            await host.serve(env)
            assert (await ask(env, "/read/a", "r1"))[2] == b"r1"
            assert (await ask(env, "/read/a", "r2"))[0] == 502
            for number in range(3, 7):
                status, _, body = await ask(env, "/read/a", f"r{number}")
                assert (status, body) == (200, f"r{number}".encode())

    run(scenario())


def test_healthy_connection_is_reused(host: Host) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await host.serve(env)
            for number in range(5):
                status, _, _ = await ask(env, "/read/a", f"r{number}")
                assert status == 200
            assert host.connections == 1

    run(scenario())


# Guards against a false report: report queries share connections with requests, and
# have no id by which their answers could be recognized. An engine answers a prompt
# twice, and the second answer arrives when its report is queried. A KV cache handle
# parsed as a report means that the engine has no role and no orders since its start.
def test_second_answer_to_a_prompt_is_not_parsed_as_a_report(host: Host) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host.late = make_answer(("r1",), '{"kvHandle": "h"}')
            await host.serve(env)
            await ask(env, "/read/a", "r1")
            (instance,) = env.gateway.members
            read = await env.gateway.hosts.read_report(instance)
            assert read.ok.role == DECODE

    run(scenario())


def test_report_without_a_role_is_rejected() -> None:
    assert PlatformUpstreams().read_report(b'{"kvHandle": "h"}').is_error()
