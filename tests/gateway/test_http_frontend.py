"""What callers get who send what they should not."""

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
    """Send bytes and take all that comes until the connection ends."""
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


# The balancer goes on sending to a gateway that was told to stop, and its end cuts off
# those requests: it still calls itself ready. What comes until then is served.
def test_gateway_is_not_ready_from_the_signal_on() -> None:
    async def scenario() -> None:
        async with deployment() as env, aiohttp.ClientSession() as session:
            await env.serve_desk("d-1", Desk(answer_whole))
            env.gateway.runtime.stopping.set()
            ready = f"http://{env.gateway.settings.ready_address}/api/ready"
            async with session.get(ready) as response:
                assert response.status == 503
            assert (await ask(env, "/read/a", "r1"))[0] == 200

    run(scenario())


# The caller gets 404 although the operator has added its route, or is served by a
# route that was dropped: a configuration takes too long to come into force.
def test_configuration_comes_into_force_and_never_goes_back() -> None:
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


def test_metrics_tell_how_requests_ended() -> None:
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


# On call, nobody finds the request in any log: it was turned away before it came in,
# for a route that is not there or a stop, and the log begins with what comes in.
def test_request_turned_away_is_logged() -> None:
    lines: list[dict[str, object]] = []

    async def scenario() -> None:
        async with deployment() as env:
            assert (await ask(env, "/none/a", "r1"))[0] == 404
            env.gateway._stopping_since = time.monotonic() - 5.0
            assert (await ask(env, "/read/a", "r2"))[0] == 503

    add_destinations(lines.append)
    # The first destination is given what other tests have logged.
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


# A caller's stream is cut off without an answer: its connection was open when the
# process was told to stop, and seconds later it sends one more request on it, which
# can't end before the platform kills the process.
def test_long_request_late_in_a_stop_is_refused_at_once() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_whole))
            gateway = env.gateway
            gateway._stopping_since = time.monotonic() - 5.0
            status, headers, _ = await ask(env, "/read/a", "r1")
            assert (status, headers["X-Ran"]) == (503, "no")
            # Early in a stop, however long this takes on a busy machine.
            gateway._stopping_since = time.monotonic() + 60.0
            assert (await ask(env, "/read/a", "r2"))[0] == 200

    run(scenario())


# A caller's request gets no answer: its connection was idle when the process began to
# end it, stayed open, and what was sent on it was not read until the process was gone.
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


# A caller's request gets no answer although a host runs it. A stop closes the idle
# connections just when the request has been read from one of them and its handler has
# not begun; the handler then offers it to a host for a caller that is cut off.
def test_request_that_was_just_read_is_answered_in_a_stop() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_whole))
            front = env.gateway.frontend
            ip, port = env.url.removeprefix("http://").split(":")
            caller = socket.create_connection((ip, int(port)))
            await wait_until(lambda: len(front._server.connections) == 1)
            await asyncio.sleep(0.05)

            # Both sockets are ready in the same turn of the loop, the caller's first.
            ours, theirs = socket.socketpair()
            loop = asyncio.get_running_loop()
            loop.add_reader(ours, start_at_once, ours, front.close_idle())
            caller.sendall(b"GET /read/a HTTP/1.1\r\n" + GOOD + b"\r\n")
            theirs.send(b"now")
            reader, writer = await asyncio.open_connection(sock=caller)
            async with asyncio.timeout(5):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert answer.endswith(b"whole")
            for end in (writer, ours, theirs):
                end.close()

    run(scenario())


def start_at_once(ours: socket.socket, work: Coroutine[None, None, int]) -> None:
    """Run work up to its first wait in this turn of the loop, the rest later."""
    asyncio.get_running_loop().remove_reader(ours)
    run_next(work)


def run_next(work: Coroutine[None, None, int]) -> None:
    """Run work that waits for nothing but the loop's next turn."""
    with suppress(StopIteration):
        work.send(None)
        asyncio.get_running_loop().call_soon(run_next, work)
