"""Answers on connections that are kept open, from hosts that answer twice."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from adapter.upstreams import PlatformUpstreams

from radishtally.links.messages import DECODE
from tests.common import run
from tests.gateway.common import LOOPBACK, Deployment, deployment
from tests.gateway.test_calls import ask

PAUSE_SECONDS = 0.02
"""Time between two parts that are to be read one by one."""
REPORT = '{"phase": "decode"}'


def make_answer(names: tuple[str, ...], body: str) -> bytes:
    """Make an answer that names requests."""
    named = "".join(f"X-Request-Id: {name}\r\n" for name in names)
    signed = f"X-Server-Signature: by-{body}\r\nContent-Length: {len(body)}\r\n"
    return f"HTTP/1.1 200 OK\r\n{named}{signed}\r\n{body}".encode()


class Host:
    """Answer each request with its name, over connections that stay open."""

    def __init__(self) -> None:
        self.connections = 0
        self.seen: list[str] = []
        self.answer: dict[str, Callable[[asyncio.StreamWriter], Awaitable[None]]] = {}
        """Requests that get another answer than that."""
        self.late = b""
        """What comes before a report on a connection that carried a request."""

    async def serve(self, env: Deployment) -> None:
        """Start, and wait until the gateway knows the host."""
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
    """Give a host that answers as told."""
    return Host()


# A caller gets another request's answer, whole and signed. A host answers r1 twice, and
# the second answer names no request. It comes with the rest of the first one, whose
# head was read before: the HTTP library gives the connection back at the first one's
# end, before it looks at what follows. r2 takes the connection and reads the second
# answer, and the check of names let pass what has none. Proof: where callers saw this,
# both such answers had no name, and had waited on a connection that was given back
# within the read that brought them.
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


# As above, but the second answer comes when the next request is out: there is nothing
# to see on the connection before. Only the missing name tells that it may be another's.
def test_answer_without_a_name_is_not_taken_for_a_late_one(host: Host) -> None:
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


# Callers get 502 from then on, request by request: a second answer, which names r1, is
# read by r2 and known as another's. As it is whole, the HTTP library has given the
# connection back by the time at which it is to be closed. r2's own answer waits there
# for r3, r3's for r4, and so on.
def test_second_answer_costs_no_later_request(host: Host) -> None:
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


def test_sound_connection_is_used_again(host: Host) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await host.serve(env)
            for number in range(5):
                status, _, _ = await ask(env, "/read/a", f"r{number}")
                assert status == 200
            assert host.connections == 1

    run(scenario())


# A gateway believes what no engine said: questions to an engine went out on the
# connections of requests, and bear no name by which answers could be told apart. The
# engine answers a prompt twice, the second time late, when its report is asked for. As
# a report, the handle of a KV cache says that the engine has no role and took no order
# since its start.
def test_second_answer_to_a_prompt_is_not_taken_for_a_report(host: Host) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host.late = make_answer(("r1",), '{"kvHandle": "h"}')
            await host.serve(env)
            await ask(env, "/read/a", "r1")
            (instance,) = env.gateway.members
            read = await env.gateway.hosts.read_report(instance)
            assert read.ok.role == DECODE

    run(scenario())


def test_report_without_a_role_is_no_report() -> None:
    assert PlatformUpstreams().read_report(b'{"kvHandle": "h"}').is_error()
