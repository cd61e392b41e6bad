"""Tests of the HTTP frontend: bad requests, readiness, metrics and stop."""

import asyncio
import socket
import time
from collections.abc import Coroutine
from contextlib import suppress

import aiohttp
import pytest
from eliot import add_destinations, remove_destination

from tests.common import run
from tests.gateway.common import Deployment, deployment, wait_until
from tests.gateway.test_calls import Desk, answer_whole, ask


async def send_raw(env: Deployment, data: bytes) -> bytes:
    """Send raw bytes and read until the connection closes."""
    reader, writer = await asyncio.open_connection(
        *env.url.removeprefix("http://").split(":")
    )
    writer.write(data)
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    return answer


CLOSE = b"Connection: close\r\n"
GOOD = b"Host: desk.example\r\nX-Request-Id: r1\r\n" + CLOSE


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (
            b"GET /read/a HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n",
            400,
        ),
        (b"GET /none/a HTTP/1.1\r\n" + GOOD + b"\r\n", 404),
        (b"GET /read HTTP/1.1\r\n" + GOOD + b"\r\n", 404),
        (b"GET /read/a HTTP/1.1\r\n" + GOOD + b"X-Request-Id: r2\r\n\r\n", 400),
        (b"GET /read/a HTTP/1.1\r\n" + GOOD + b"X-Deadline-Ms: soon\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (
            b"POST /book/a HTTP/1.1\r\n"
            + GOOD
            + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /book/a HTTP/1.1\r\n"
            + GOOD
            + b"Content-Length: 100001\r\n\r\n"
            + b"x" * 100_001,
            413,
        ),
    ],
)
def test_bad_request_is_refused_and_reaches_no_host(data: bytes, status: int) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = Desk(answer_whole)
            await env.serve_desk("d-1", desk)
            answer = await send_raw(env, data)
            assert answer.startswith(f"HTTP/1.1 {status} ".encode()) or (
                status == 400 and answer.startswith(b"HTTP/1.0 400 ")
            )
            assert not desk.seen

    run(scenario())


def test_gateway_without_configuration_is_not_ready() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            ready = f"http://{env.gateway.settings.ready_address}/api/ready"
            async with aiohttp.ClientSession() as session:
                async with session.get(ready) as response:
                    assert response.status == 200
                env.gateway.router.configuration = None
                async with session.get(ready) as response:
                    assert response.status == 503

    run(scenario())


# Guards against requests cut off at the exit of a stopping gateway, because it still
# reports ready and the balancer keeps sending. Requests that arrive are still served.
def test_gateway_is_not_ready_after_the_stop_signal() -> None:
    async def scenario() -> None:
        async with deployment() as env, aiohttp.ClientSession() as session:
            await env.serve_desk("d-1", Desk(answer_whole))
            env.gateway.runtime.stopping.set()
            ready = f"http://{env.gateway.settings.ready_address}/api/ready"
            async with session.get(ready) as response:
                assert response.status == 503
            assert (await ask(env, "/read/a", "r1"))[0] == 200

    run(scenario())


# Guards against 404 for a route that was just added, and against service by a removed
# route: new configurations must be applied promptly, and older ones never.
def test_new_configuration_is_applied_and_older_one_is_ignored() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_whole))
            env.configure()
            newest = env.version
            await wait_until(lambda: env.gateway.router.configuration.version == newest)
            env.version -= 6
            env.configure()
            await env.serve_desk("d-2", Desk(answer_whole))
            assert env.gateway.router.configuration.version == newest

    run(scenario())


def test_metrics_count_requests_by_outcome() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_whole))
            await ask(env, "/read/a", "r1")
            await ask(env, "/draft/a", "r2", "POST")
            url = f"http://{env.gateway.settings.metrics_address}/metrics"
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                text = await response.text()
            ended = "radishtally_requests_total"
            assert f'{ended}{{kind="call",outcome="answered"}} 1.0' in text
            assert f'{ended}{{kind="stream",outcome="refused"}} 1.0' in text
            assert 'radishtally_whole_seconds_count{kind="call"} 1.0' in text

    run(scenario())


# Guards against requests that are missing in the log: they are refused before they are
# opened, for a missing route or a stop, and only opened requests are logged.
def test_refused_request_is_logged() -> None:
    lines: list[dict[str, object]] = []

    async def scenario() -> None:
        async with deployment() as env:
            assert (await ask(env, "/none/a", "r1"))[0] == 404
            env.gateway._stopping_since = time.monotonic() - 5.0
            assert (await ask(env, "/read/a", "r2"))[0] == 503

    add_destinations(lines.append)
    # The first destination receives the buffered messages of earlier tests.
    lines.clear()
    try:
        run(scenario())
    finally:
        remove_destination(lines.append)
    refused = [line for line in lines if line["message_type"] == "request:refused"]
    assert [(line["request"], line["status"]) for line in refused] == [
        ("r1", 404),
        ("r2", 503),
    ]


# Guards against a stream that is cut off: seconds after the stop signal, a caller sends
# one more request on an open connection, which can't finish before the platform kills
# the process.
def test_long_request_late_in_a_stop_is_refused_immediately() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_whole))
            gateway = env.gateway
            gateway._stopping_since = time.monotonic() - 5.0
            status, headers, _ = await ask(env, "/read/a", "r1")
            assert (status, headers["X-Ran"]) == (503, "no")
            # Early in a stop, even on a busy machine.
            gateway._stopping_since = time.monotonic() + 60.0
            assert (await ask(env, "/read/a", "r2"))[0] == 200

    run(scenario())


# Guards against a request without an answer: an idle connection stays open during a
# stop, but is no longer read, so a request sent on it is lost when the process exits.
@pytest.mark.parametrize("used", [True, False])
def test_idle_connection_is_closed_in_a_stop(used: bool) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_whole))
            address = env.url.removeprefix("http://").split(":")
            reader, writer = await asyncio.open_connection(*address)
            if used:
                kept = GOOD.replace(CLOSE, b"")
                writer.write(b"GET /read/a HTTP/1.1\r\n" + kept + b"\r\n")
                async with asyncio.timeout(5):
                    assert await reader.readuntil(b"whole")
            await wait_until(lambda: len(env.gateway.frontend._server.connections) == 1)
            await asyncio.sleep(0.05)
            assert await env.gateway.frontend.close_idle() == 0
            async with asyncio.timeout(5):
                assert await reader.read() == b""
            writer.close()

    run(scenario())


# Guards against a request that a host runs without an answer to the caller: a stop
# closes an idle connection after a request was read from it and before its handler has
# started, which then offers the request to a host.
def test_request_that_was_just_read_is_answered_in_a_stop() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_whole))
            frontend = env.gateway.frontend
            ip, port = env.url.removeprefix("http://").split(":")
            caller = socket.create_connection((ip, int(port)))
            await wait_until(lambda: len(frontend._server.connections) == 1)
            await asyncio.sleep(0.05)

            # Both sockets become ready in the same event loop iteration, the caller's
            # first.
            receiver, sender = socket.socketpair()
            loop = asyncio.get_running_loop()
            loop.add_reader(
                receiver, start_immediately, receiver, frontend.close_idle()
            )
            caller.sendall(b"GET /read/a HTTP/1.1\r\n" + GOOD + b"\r\n")
            sender.send(b"now")
            reader, writer = await asyncio.open_connection(sock=caller)
            async with asyncio.timeout(5):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert answer.endswith(b"whole")
            for end in (writer, receiver, sender):
                end.close()

    run(scenario())


def start_immediately(
    receiver: socket.socket, work: Coroutine[None, None, int]
) -> None:
    """Run a coroutine up to its first await in this iteration, the rest later."""
    asyncio.get_running_loop().remove_reader(receiver)
    run_next(work)


def run_next(work: Coroutine[None, None, int]) -> None:
    """Step a coroutine that only yields to the next event loop iteration."""
    with suppress(StopIteration):
        work.send(None)
        asyncio.get_running_loop().call_soon(run_next, work)
