"""Tests of streams whose engines run different versions of their software."""

import asyncio
from typing import NamedTuple

import aiohttp

from radishtally.gateway.daemon import Gateway
from standins.spoiling import RunFault
from standins.staged import StagedEngine, make_event
from tests.common import run
from tests.gateway.common import (
    Deployment,
    deployment,
    make_prompt,
    run_gateway,
    wait_until,
)


class Received(NamedTuple):
    """What a caller received in answer to one request."""

    status: int
    body: bytes
    is_whole: bool
    headers: dict[str, str]


async def serve(
    env: Deployment, name: str, phase: str, version: str, seconds: float = 0.0
) -> StagedEngine:
    """Start an engine of a software version."""
    engine = StagedEngine(name, phase, seconds)
    engine.version = version
    await env.serve_engine(engine)
    return engine


async def ask(gateway: Gateway, name: str, **more: str) -> Received:
    """Send a request for a stream that may be resumed, and read its answer."""
    body = bytearray()
    url = f"http://{gateway.settings.address}/draft/a"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=make_prompt(name, **more), data=b"prompt") as reply,
    ):
        is_whole = True
        try:
            async for data in reply.content.iter_any():
                body += data
        except aiohttp.ClientPayloadError:
            is_whole = False
    return Received(reply.status, bytes(body), is_whole, dict(reply.headers))


async def resume(gateway: Gateway, name: str, stream: str, after: int) -> Received:
    """Take a stream up behind one of its events, as its caller does."""
    more = {"Last-Event-Id": str(after), "Resumes": stream}
    return await ask(gateway, name, **more)


def make_events(name: str, numbers: range, version: str) -> bytes:
    """Make events of an answer by an engine of a software version."""
    return b"".join(make_event(name, number, version) for number in numbers)


async def wait_for_links(*gateways: Gateway) -> None:
    """Wait until each gateway has a link to all others."""
    for gateway in gateways:
        await wait_until(
            lambda g=gateway: (
                g.peers._hub is not None
                and len(g.peers._hub.hosts) == len(gateways) - 1
            )
        )


# Guards against events of two software versions in one answer: the engine that began
# the stream leaves and breaks off, and the only other one runs another version.
def test_gateway_does_not_go_on_with_a_stream_at_another_version() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await serve(env, "p-1", "prefill", "v2")
            first = await serve(env, "d-1", "decode", "v1", 0.3)
            first.cut_after = 2
            task = asyncio.create_task(ask(env.gateway, "r1"))
            await wait_until(lambda: first.runs["r1"] == 1)
            await serve(env, "d-2", "decode", "v2")
            env.withdraw("d-1")
            await wait_until(lambda: "d-1" not in env.gateway.core.links)
            received = await task
            assert received.body == make_events("r1", range(1, 3), "v1")
            assert not received.is_whole

    run(scenario())


# Guards against events of two software versions over a caller's tries: it takes its
# stream up at a gateway that knows nothing of the first try.
def test_caller_does_not_go_on_at_another_version_at_another_gateway() -> None:
    async def scenario() -> None:
        async with (
            deployment() as env,
            run_gateway(env.store, "gateway-2") as second,
        ):
            await wait_for_links(env.gateway, second)
            await serve(env, "p-1", "prefill", "v2")
            engine = await serve(env, "d-1", "decode", "v1")
            # The route allows two attempts.
            engine.faults = iter([RunFault(cut_after=2), RunFault(cut_after=0)])
            received = await ask(env.gateway, "r1")
            assert received.body == make_events("r1", range(1, 3), "v1")
            env.withdraw("d-1")
            await serve(env, "d-2", "decode", "v2")
            for host, is_listed in (("d-1", False), ("d-2", True)):
                await wait_until(
                    lambda h=host, w=is_listed: (h in second.core.links) == w
                )
            resumed = await resume(second, "r2", "r1", 2)
            assert resumed.status == 503
            assert resumed.headers["X-Ran"] == "no"

    run(scenario())
