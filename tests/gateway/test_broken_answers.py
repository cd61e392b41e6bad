"""Answers that are none in the protocol, from the callers' view."""

import pytest

from tests.common import run
from tests.gateway.broken import (
    BODY,
    BROKEN,
    BROKEN_ENDS,
    HOST_PATHS,
    SOUND,
    make_answer,
    make_broken,
    make_sound,
    serve_answering,
)
from tests.gateway.common import Deployment, deployment
from tests.gateway.test_calls import Desk, answer_whole, ask
from tests.gateway.test_spoiled_streams import Received, receive

CALLS = 12
"""Calls of which each of two hosts certainly gets some."""


async def receive_all(env: Deployment, service: str) -> dict[str, Received]:
    """Send a request to each path of a service."""
    return {path: await receive(env, path, path) for path in HOST_PATHS[service]}


# Guards against answers of hosts in trouble that reach callers, cost them their
# connection, or keep them waiting until their deadline.
@pytest.mark.parametrize("service", HOST_PATHS)
@pytest.mark.parametrize("name", BROKEN)
def test_broken_answer_is_answered_502(name: str, service: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await serve_answering(env, service, make_broken()[name])
            for path, received in (await receive_all(env, service)).items():
                if received.status == 200 and name in BROKEN_ENDS:
                    # A stream whose events have been passed on is broken off.
                    assert service == "llm" and not received.is_whole
                    continue
                assert received.status == 502, path
                assert received.is_whole and not received.signature
                assert BODY not in received.body

    run(scenario())


# Guards against a call that fails, though another host could answer it.
@pytest.mark.parametrize("name", BROKEN)
def test_call_with_a_broken_answer_is_retried(name: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = await serve_answering(env, "desk", make_broken()[name])
            await env.serve_desk("d-1", Desk(answer_whole))
            for number in range(CALLS):
                status, _, body = await ask(env, "/read/a", f"r{number}")
                assert (status, body) == (200, b"whole")
            assert host.calls

    run(scenario())


# Guards against checks that reject answers within the protocol.
@pytest.mark.parametrize("service", HOST_PATHS)
@pytest.mark.parametrize("name", SOUND)
def test_sound_answer_is_passed_on(name: str, service: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = await serve_answering(env, service, make_sound()[name])
            host.closes_by_itself = name == "no length"
            for received in (await receive_all(env, service)).values():
                assert received == Received(200, BODY, True, "by-raw")

    run(scenario())


@pytest.mark.parametrize(
    ("method", "status"),
    [("HEAD", 200), ("GET", 204), ("GET", 304), ("GET", 404), ("GET", 599)],
)
def test_answer_without_a_body_is_passed_on(method: str, status: int) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            length = 5 if method == "HEAD" else 0
            fields = b"Content-Length: %d\r\n" % length if status != 204 else b""
            start = b"HTTP/1.1 %d Any\r\n" % status
            host = await serve_answering(
                env, "desk", make_answer(b"", start, fields=fields)
            )
            for number in range(3):
                answer = await ask(env, "/read/a", f"r{number}", method)
                assert (answer[0], answer[2]) == (status, b"")
            assert host.calls == 3

    run(scenario())
