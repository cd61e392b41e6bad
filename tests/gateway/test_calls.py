"""Calls to plain services through a gateway, under failure."""

import asyncio
import socket
import struct

import aiohttp
import pytest
from aiohttp import web

from radishtally.limits.retries import RetryBudgets
from radishtally.serving.const import REFUSALS_TO_TRIP_BREAKER
from tests.common import run
from tests.gateway.common import (
    AUTHORITY,
    Deployment,
    deployment,
    make_headers,
    wait_until,
)

SIGNED = {"X-Server-Signature": "by-desk"}


async def ask(
    env: Deployment, path: str, name: str, method: str = "GET", body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    """Send one request over a new connection; return status, headers and body."""
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method, env.url + path, headers=make_headers(name), data=body or None
        ) as response,
    ):
        return response.status, dict(response.headers), await response.read()


class Desk:
    """Return scripted answers and record the requests."""

    def __init__(self, *answers: object) -> None:
        self.answers = list(answers)
        self.seen: list[web.Request] = []
        self.bodies: list[bytes] = []

    async def __call__(self, request: web.Request) -> web.StreamResponse:
        """Return the next answer; the last one is repeated."""
        self.bodies.append(await request.read())
        self.seen.append(request)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        return await answer(request)


async def answer_whole(request: web.Request) -> web.Response:
    headers = {**SIGNED, "X-Request-Id": request.headers["X-Request-Id"]}
    return web.Response(body=b"whole", headers=headers)


async def answer_failure(request: web.Request) -> web.Response:
    headers = {**SIGNED, "X-Request-Id": request.headers["X-Request-Id"]}
    return web.Response(status=500, body=b"broken", headers=headers)


async def answer_not_run(request: web.Request) -> web.Response:
    return web.Response(status=503, headers={"X-Not-Executed": "1"})


async def answer_other(request: web.Request) -> web.Response:
    headers = {**SIGNED, "X-Request-Id": "another"}
    return web.Response(body=b"another caller's", headers=headers)


async def answer_unsigned(request: web.Request) -> web.Response:
    return web.Response(body=b"who says so?")


async def reset_without_answer(request: web.Request) -> web.Response:
    request.transport.abort()
    return web.Response()


def reset(request: web.Request) -> None:
    """Reset the connection instead of closing it."""
    peer = request.transport.get_extra_info("socket")
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    request.transport.abort()


async def reset_unframed(request: web.Request) -> web.Response:
    name = request.headers["X-Request-Id"].encode()
    head = b"HTTP/1.1 200 OK\r\nX-Server-Signature: by-desk\r\nX-Request-Id: "
    request.transport.write(head + name + b"\r\n\r\nonly a part")
    await asyncio.sleep(0.05)
    reset(request)
    return web.Response()


async def close_unframed(request: web.Request) -> web.Response:
    name = request.headers["X-Request-Id"].encode()
    head = b"HTTP/1.1 200 OK\r\nX-Server-Signature: by-desk\r\nX-Request-Id: "
    request.transport.write(head + name + b"\r\n\r\nall of it")
    request.transport.close()
    return web.Response()


def test_answer_passes_unchanged() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = Desk(answer_whole)
            await env.serve_desk("d-1", desk)
            status, headers, body = await ask(env, "/book/a?b=%20c", "r1", "POST", b"x")
            assert (status, body) == (200, b"whole")
            assert headers["X-Server-Signature"] == "by-desk"
            (seen,) = desk.seen
            assert seen.raw_path == "/book/a?b=%20c"
            assert seen.headers["Host"] == AUTHORITY
            assert seen.headers["X-Target-Instance"] == "d-1"
            assert 0 < int(seen.headers["X-Deadline-Ms"]) <= 4000
            assert desk.bodies == [b"x"]

    run(scenario())


# Guards against 200 with a partial body: an answer without a length ends with its
# connection, and the HTTP library takes a reset of the connection for its end.
def test_reset_does_not_end_answer_without_length() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(reset_unframed))
            status, _, body = await ask(env, "/book/a", "r1", "POST")
            assert status == 502
            assert b"only a part" not in body

    run(scenario())


def test_close_ends_answer_without_length() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(close_unframed))
            status, _, body = await ask(env, "/book/a", "r1", "POST")
            assert (status, body) == (200, b"all of it")

    run(scenario())


# Guards against a call that runs twice: the host ran it and its answer was lost, but
# the caller is told that it did not run, and retries. Only a refusal by the host itself
# proves that a call did not run.
@pytest.mark.parametrize(
    "answer", [reset_without_answer, answer_other, answer_unsigned]
)
def test_call_that_may_have_run_is_neither_retried_nor_reported_as_not_run(
    answer: object,
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            first, second = Desk(answer), Desk(answer)
            await env.serve_desk("d-1", first)
            await env.serve_desk("d-2", second)
            status, headers, body = await ask(env, "/book/a", "r1", "POST")
            assert status == 502
            assert headers["X-Ran"] == "unknown"
            assert b"caller's" not in body
            assert len(first.seen) + len(second.seen) == 1

    run(scenario())


def test_refused_call_goes_to_another_host() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            refusing, taking = Desk(answer_not_run), Desk(answer_whole)
            await env.serve_desk("d-1", refusing)
            await env.serve_desk("d-2", taking)
            env.gateway.core.budgets = RetryBudgets(1.0, 1.0)
            for number in range(4):
                status, _, _ = await ask(env, "/book/a", f"r{number}", "POST")
                assert status == 200
            assert len(taking.seen) == 4
            # A host that refuses repeatedly is skipped for a while.
            assert len(refusing.seen) <= REFUSALS_TO_TRIP_BREAKER

    run(scenario())


def test_call_refused_by_all_hosts_is_reported_as_not_run() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_not_run))
            status, headers, _ = await ask(env, "/book/a", "r1", "POST")
            assert status in (429, 503)
            assert headers["X-Ran"] == "no"
            assert float(headers["Retry-After"]) > 0

    run(scenario())


def test_failed_safe_call_is_retried() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            first, second = (Desk(answer_failure, answer_whole) for _ in range(2))
            await env.serve_desk("d-1", first)
            await env.serve_desk("d-2", second)
            status, _, body = await ask(env, "/read/a", "r1")
            assert (status, body) in [(200, b"whole"), (500, b"broken")]
            assert len(first.seen) + len(second.seen) == 2

    run(scenario())


# Guards against 502 instead of a host's own 500: the call failed at one host, was
# retried at another and failed there too. The host's answer must be forwarded.
def test_failure_at_all_hosts_returns_a_hosts_own_answer() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_failure))
            await env.serve_desk("d-2", Desk(answer_failure))
            status, headers, body = await ask(env, "/read/a", "r1")
            assert (status, body) == (500, b"broken")
            assert headers["X-Server-Signature"] == "by-desk"

    run(scenario())


def test_failed_unsafe_call_is_not_retried() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            first, second = Desk(answer_failure), Desk(answer_failure)
            await env.serve_desk("d-1", first)
            await env.serve_desk("d-2", second)
            status, _, body = await ask(env, "/book/a", "r1", "POST")
            assert (status, body) == (500, b"broken")
            assert len(first.seen) + len(second.seen) == 1

    run(scenario())


# Guards against a caller that waits forever: while its request is open, a second
# request with the same id arrives, replaces it, and receives its answer.
def test_second_open_request_with_same_id_is_refused_and_first_answered() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            go_on = asyncio.Event()

            async def answer_later(request: web.Request) -> web.Response:
                await go_on.wait()
                return await answer_whole(request)

            desk = Desk(answer_later)
            await env.serve_desk("d-1", desk)
            first = asyncio.create_task(ask(env, "/read/a", "r1"))
            await wait_until(lambda: len(desk.seen) == 1)
            second = asyncio.create_task(ask(env, "/read/a", "r1"))
            async with asyncio.timeout(5):
                await asyncio.wait({second}, timeout=1)
                go_on.set()
                assert (await first)[0] == 200
                status, headers, _ = await second
            assert (status, headers.get("X-Ran")) == (409, "no")
            assert len(desk.seen) == 1

    run(scenario())
