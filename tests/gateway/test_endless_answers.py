"""Answers that go on without end, in a head or a body, from the callers' view."""

import asyncio

import pytest

from radishtally.links.messages import KvRef
from standins.staged import EVENTS, StagedEngine
from tests.common import run
from tests.gateway.common import Deployment, deployment, wait_until
from tests.gateway.endless import (
    CHUNK,
    CHUNKED,
    FAILED,
    HEADS,
    MAX_SENT_BYTES,
    NAMED,
    OK,
    REPORTS,
    EndlessServer,
)
from tests.gateway.test_calls import Desk, answer_whole, ask
from tests.gateway.test_spoiled_streams import make_events, receive

FULL = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + NAMED
BODIES = {
    "chunks": (CHUNKED, CHUNK),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"),
    "no framing": (OK + b"\r\n", b"x"),
    "length": (OK + b"Content-Length: 99999999999999\r\n\r\n", b"x"),
    "failure": (FAILED + b"\r\n", b"x"),
    "failure in chunks": (FAILED + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "refusal": (FULL + b"\r\n", b"x"),
    "refusal in chunks": (FULL + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
}


async def check_closed(env: Deployment, host: EndlessServer) -> None:
    """Check that all endless answers are closed soon, and the gateway goes on."""
    await wait_until(lambda: host.asked and host.closed == host.asked)
    assert host.sent < MAX_SENT_BYTES
    assert not env.gateway.runtime.broken
    assert not env.gateway.runtime.contained_errors


async def serve_endless(env: Deployment, host: EndlessServer, **more: str) -> None:
    """Add a host whose answers are endless, besides those that are there."""
    address = await host.listen()
    env.announce("endless", address, more.pop("service", "desk"), **more)
    await env.wait_for("endless")


# Guards against a gateway that a host's bytes keep busy, or whose memory they fill.
@pytest.mark.parametrize("name", [*HEADS, *BODIES])
def test_endless_answer_to_a_call_is_closed_and_retried(name: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = EndlessServer(*{**HEADS, **BODIES}[name], path="/read/")
            await serve_endless(env, host)
            asking = asyncio.create_task(ask(env, "/read/a", "r1"))
            await wait_until(lambda: host.asked > 0)
            await env.serve_desk("d-1", Desk(answer_whole))
            assert (await asking)[0] in (200, 429, 502)
            await check_closed(env, host)
            for number in range(4):
                status, _, body = await ask(env, "/read/a", f"after-{number}")
                assert (status, body) == (200, b"whole")
            await check_closed(env, host)

    run(scenario())


EVENT = b"id: 1\ndata: x\n\n"
STREAMS = {
    "event": (OK + b"\r\nid: 1\ndata: ", b"x"),
    "event of lines": (OK + b"\r\n", b"id: 1\ndata: x\n"),
    "event in chunks": (CHUNKED, b"10\r\ndata: xxxxxxxxx\n\r\n"),
    "events": (OK + b"\r\n", EVENT),
}


# Guards against a stream that fills a gateway's memory or keeps it busy: an event goes
# on without a blank line, or events go on for ever.
@pytest.mark.parametrize("name", [*STREAMS, *HEADS])
def test_endless_stream_is_closed(name: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = EndlessServer(*{**HEADS, **STREAMS}[name], path="/draft/")
            await serve_endless(env, host, service="llm", phase="decode")
            received = await receive(env, "/draft/a")
            assert not (received.status == 200 and received.is_whole)
            await check_closed(env, host)

    run(scenario())


def test_stream_whose_event_goes_on_is_resumed_elsewhere() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            first = make_events(1)
            host = EndlessServer(
                OK + b"\r\n" + first + b"id: 2\ndata: ", b"x", "/draft/"
            )
            await serve_endless(env, host, service="llm", phase="decode")
            receiving = asyncio.create_task(receive(env, "/draft/a"))
            await wait_until(lambda: host.asked > 0)
            await env.serve_engine(StagedEngine("e-1", "decode"))
            received = await receiving
            assert (received.body, received.is_whole) == (make_events(EVENTS), True)
            await check_closed(env, host)

    run(scenario())


# Guards against a report, a list of cached parts, the answer to an order or to the
# release of a KV cache that fills a gateway's memory within its time limit.
@pytest.mark.parametrize("name", REPORTS)
def test_endless_answer_about_an_engine_is_closed(name: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = EndlessServer(*REPORTS[name])
            await serve_endless(env, host, service="llm", phase="decode")
            hosts = env.gateway.hosts
            instance = hosts._instances["endless"]
            assert (await hosts.read_report(instance)).is_error()
            assert (await hosts.read_cached_parts(instance)).is_error()
            await hosts.order_role(instance, "prefill", "g", 1, 0)
            await hosts._free_kv(KvRef("endless", instance.address, "h", 1))
            await check_closed(env, host)

    run(scenario())


@pytest.mark.parametrize("name", REPORTS)
def test_endless_handle_is_closed_and_the_prompt_prefilled_elsewhere(name: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = EndlessServer(*REPORTS[name], path="/draft/")
            await serve_endless(env, host, service="llm", phase="prefill")
            for phase in ("prefill", "decode"):
                await env.serve_engine(StagedEngine(phase, phase))
            for number in range(4):
                received = await receive(env, "/draft/a", f"r{number}")
                assert received.is_whole
            await check_closed(env, host)

    run(scenario())
