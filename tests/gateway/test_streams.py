"""Tests of streams from engines through a gateway, under failure."""

import asyncio
import time

import aiohttp
import pytest

from radishtally.engines.state import INITIAL_PREFILL_RATE, PeerShare
from radishtally.limits.breaker import CircuitBreaker
from radishtally.links.gateway_messages import WaitingTokens
from radishtally.serving.const import UNREACHED_TO_PRESUME_GONE
from standins.staged import EVENTS, StagedEngine, make_event
from tests.common import run
from tests.gateway.common import Deployment, deployment, make_prompt, wait_until


async def start_engines(env: Deployment, decode: int = 1) -> list[StagedEngine]:
    """Start one prefill engine and some decode engines."""
    engines = [StagedEngine("p-1", "prefill")]
    engines += [StagedEngine(f"d-{n}", "decode") for n in range(1, decode + 1)]
    for engine in engines:
        await env.serve_engine(engine)
    return engines


async def stream(env: Deployment, path: str, name: str, **more: str) -> bytes:
    """Send a request and return its complete answer."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            env.url + path, headers=make_prompt(name, **more), data=b"prompt"
        ) as response,
    ):
        assert response.status == 200, await response.read()
        assert response.headers["X-Server-Signature"].startswith("by-d-")
        return await response.read()


def make_whole(name: str) -> bytes:
    """Make the complete answer to a request."""
    return b"".join(make_event(name, number) for number in range(1, EVENTS + 1))


def test_prefill_and_decode_run_at_engines_of_their_role() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            prefill, decode = await start_engines(env)
            assert await stream(env, "/sheet/a", "r1") == make_whole("r1")
            assert decode.runs == {"r1": 1}
            assert len(prefill.handles) == 1

    run(scenario())


# Guards against refusals for seconds although the only decode engine serves most
# requests: some of its connections are reset, and it is skipped because other engines
# are left, which are all prefill engines.
@pytest.mark.parametrize("host", ["p-1", "d-1"])
def test_only_engine_of_a_role_is_used_although_it_fails(host: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            prefill, decode = await start_engines(env)
            known = env.gateway.core.hosts[host]
            known.breaker = CircuitBreaker(first=60.0, longest=60.0)
            known.breaker.record_failure(time.monotonic())
            assert await stream(env, "/sheet/a", "r1") == make_whole("r1")
            assert len(prefill.handles) == 1
            assert decode.runs == {"r1": 1}

    run(scenario())


def test_failing_engine_is_skipped_if_it_is_unreachable() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            prefill, decode = await start_engines(env)
            known = env.gateway.core.hosts["p-1"]
            known.breaker = CircuitBreaker(first=60.0, longest=60.0)
            known.breaker.record_failure(time.monotonic())
            known.unreached_offers = UNREACHED_TO_PRESUME_GONE
            assert await stream(env, "/sheet/a", "r1") == make_whole("r1")
            assert not prefill.handles

    run(scenario())


# Guards against duplicate, partial or missing events: an engine aborts within an event,
# and another one resumes after the last complete event.
def test_stream_is_resumed_without_missing_or_duplicate_events() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            _, first, second = await start_engines(env, decode=2)
            first.cut_after = second.cut_after = 2
            assert await stream(env, "/draft/a", "r1") == make_whole("r1")
            assert first.runs + second.runs == {"r1": 2}

    run(scenario())


# As above, but the prompt was prefilled by the decode engine that aborts, since the
# prefill engine had too long a queue.
def test_stream_with_prefill_at_a_decode_engine_is_resumed() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            prefill, first, second = await start_engines(env, decode=2)
            first.cut_after = second.cut_after = 2
            busy = PeerShare((WaitingTokens(0, int(3.0 * INITIAL_PREFILL_RATE)),), 0)
            engine = env.gateway.placement._engines[prefill.instance]
            engine.record_peer_share("peer", busy, time.monotonic())
            assert await stream(env, "/draft/a", "r1") == make_whole("r1")
            assert first.runs + second.runs == {"r1": 2}
            assert not prefill.handles

    run(scenario())


# Guards against a partial stream that looks complete: the engine aborts, the stream is
# not resumable, and the partial answer is ended regularly.
def test_aborted_stream_does_not_look_complete() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            _, decode = await start_engines(env)
            decode.cut_after = 2
            with pytest.raises(aiohttp.ClientPayloadError):
                await stream(env, "/sheet/a", "r1")
            assert decode.runs == {"r1": 1}

    run(scenario())


# Guards against misleading metrics: a request counts as refused although its caller has
# received part of an answer.
def test_aborted_stream_is_not_counted_as_refused() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            _, decode = await start_engines(env)
            decode.cut_after = 2
            with pytest.raises(aiohttp.ClientPayloadError):
                await stream(env, "/sheet/a", "r1")
            await wait_until(lambda: not env.gateway.replies)
            text = env.gateway.render_metrics().decode()
            assert 'requests_total{kind="stream",outcome="broken_off"} 1.0' in text

    run(scenario())


# Guards against a refusal although engines are idle: the prefill engine has lost the KV
# cache, and each decode engine that tries to fetch it refuses.
def test_lost_kv_cache_is_rebuilt() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            _, first, second = await start_engines(env, decode=2)
            first.loses_handles = second.loses_handles = True
            assert await stream(env, "/sheet/a", "r1") == make_whole("r1")

    run(scenario())


# Guards against wasted work for a caller that has disconnected: the gateway does not
# detect the disconnect, or does not cancel the request at the engine.
def test_engine_stops_when_the_caller_disconnects() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            _, decode = await start_engines(env)
            decode.seconds = 0.5
            task = asyncio.create_task(stream(env, "/sheet/a", "r1"))
            await wait_until(lambda: decode.runs["r1"] == 1)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await wait_until(lambda: decode.disconnected == ["r1"])

    run(scenario())


# Guards against a caller that jumps the queue or reserves engine memory with headers
# that are for internal use.
def test_internal_headers_of_callers_are_dropped() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            _, decode = await start_engines(env)
            forged = {
                "X-Kv-Source": "127.0.0.1:1/x",
                "X-Serving-Phase": "decode",
                "X-Target-Instance": "someone",
                "X-Kv-Hold": "h",
                "X-Pin-Ms": "4000",
            }
            assert await stream(env, "/sheet/a", "r1", **forged) == make_whole("r1")
            assert decode.runs == {"r1": 1}

    run(scenario())
