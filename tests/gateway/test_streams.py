"""Answers of engines through a gateway, under failure."""

import asyncio
import time

import aiohttp
import pytest

from radishtally.engines.state import INITIAL_PREFILL_RATE, PeerShare
from radishtally.limits.breaker import CircuitBreaker
from radishtally.links.messages import WaitingTokens
from radishtally.serving.const import UNREACHED_TO_PRESUME_GONE
from standins.staged import EVENTS, StagedEngine, make_event
from tests.common import run
from tests.gateway.common import Deployment, deployment, make_prompt, wait_until


async def start_engines(env: Deployment, decode: int = 1) -> list[StagedEngine]:
    """Start one engine for prompts and some for answers."""
    engines = [StagedEngine("p-1", "prefill")]
    engines += [StagedEngine(f"d-{n}", "decode") for n in range(1, decode + 1)]
    for engine in engines:
        await env.serve_engine(engine)
    return engines


async def stream(env: Deployment, path: str, name: str, **more: str) -> bytes:
    """Send a request and take its whole answer."""
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
    """Make the whole answer to a request."""
    return b"".join(make_event(name, number) for number in range(1, EVENTS + 1))


def test_prompt_and_answer_run_at_engines_of_their_stage() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            prefill, decode = await start_engines(env)
            assert await stream(env, "/sheet/a", "r1") == make_whole("r1")
            assert decode.runs == {"r1": 1}
            assert len(prefill.handles) == 1

    run(scenario())


# All callers are refused for seconds though the only engine for answers serves most of
# them: some of its connections are reset, and it is left out as if another one could
# make its answers, since engines for prompts are left.
@pytest.mark.parametrize("host", ["p-1", "d-1"])
def test_only_engine_of_a_role_is_asked_though_it_fails(host: str) -> None:
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


def test_failing_engine_is_left_out_where_it_is_not_even_reached() -> None:
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


# The caller sees an event twice, or half of one, or a stream that ends early: an
# engine breaks off within an event and another one goes on behind the last whole one.
def test_stream_goes_on_elsewhere_without_gap_or_repeat() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            _, first, second = await start_engines(env, decode=2)
            first.cut_after = second.cut_after = 2
            assert await stream(env, "/draft/a", "r1") == make_whole("r1")
            assert first.runs + second.runs == {"r1": 2}

    run(scenario())


# The caller sees a gap or an event twice: its prompt was read by an engine that makes
# answers, as the other one had too much to read, and that engine breaks off.
def test_prompt_read_beside_answers_goes_on_elsewhere_without_gap_or_repeat() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            prefill, first, second = await start_engines(env, decode=2)
            first.cut_after = second.cut_after = 2
            busy = PeerShare((WaitingTokens(0, int(3.0 * INITIAL_PREFILL_RATE)),), 0)
            engine = env.gateway.placement._engines[prefill.instance]
            engine.take_share("peer", busy, time.monotonic())
            assert await stream(env, "/draft/a", "r1") == make_whole("r1")
            assert first.runs + second.runs == {"r1": 2}
            assert not prefill.handles

    run(scenario())


# The caller takes a part for the whole: the engine breaks off, the stream may not be
# resumed, and the end of what has come is marked like the end of an answer.
def test_stream_that_breaks_off_does_not_look_complete() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            _, decode = await start_engines(env)
            decode.cut_after = 2
            with pytest.raises(aiohttp.ClientPayloadError):
                await stream(env, "/sheet/a", "r1")
            assert decode.runs == {"r1": 1}

    run(scenario())


# On call, an answer that broke off is looked for among the refusals: the log and the
# metrics say that the request was refused, though the caller had half of an answer.
def test_stream_that_breaks_off_is_not_counted_as_refused() -> None:
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


# The caller is refused though engines are idle: the engine that made the KV cache has
# lost it, and each engine that is to fetch it refuses.
def test_lost_kv_cache_is_made_again() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            _, first, second = await start_engines(env, decode=2)
            first.loses_handles = second.loses_handles = True
            assert await stream(env, "/sheet/a", "r1") == make_whole("r1")

    run(scenario())


# An engine works on for a caller that has left: the gateway does not notice, or tells
# nobody.
def test_engine_stops_when_the_caller_leaves() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            _, decode = await start_engines(env)
            decode.seconds = 0.5
            task = asyncio.create_task(stream(env, "/sheet/a", "r1"))
            await wait_until(lambda: decode.runs["r1"] == 1)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await wait_until(lambda: decode.dropped == ["r1"])

    run(scenario())


# A caller jumps the queue or takes memory of the engines: it sends headers that only
# the system sets.
def test_headers_of_the_system_are_not_taken_from_callers() -> None:
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
