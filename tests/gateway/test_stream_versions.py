"""Tests of streams whose engines run different versions of their software."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import chain, repeat
from typing import NamedTuple

import aiohttp
import pytest

from radishtally.gateway.daemon import Gateway
from radishtally.serving import const
from radishtally.serving.origins import hash_stream
from standins.rows import RowId
from standins.spoiling import SOUND, RunFault
from standins.staged import EVENTS, StagedEngine, make_event
from tests.common import run
from tests.gateway.common import (
    WAIT_SECONDS,
    Deployment,
    deployment,
    make_prompt,
    make_route,
    run_gateway,
    wait_until,
)


class Scene(NamedTuple):
    """Two gateways and the decode engines before which they stand."""

    env: Deployment
    second: Gateway
    engines: dict[str, StagedEngine]


class Received(NamedTuple):
    """What a caller received in answer to one request."""

    status: int
    body: bytes
    is_whole: bool
    headers: dict[str, str]


async def serve(
    env: Deployment,
    name: str,
    phase: str,
    version: str,
    seconds: float = 0.0,
    started_ms: int = 0,
) -> StagedEngine:
    """Start an engine of a software version."""
    engine = StagedEngine(name, phase, seconds)
    engine.version = version
    engine.started_ms = started_ms
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


BROKEN_OFF = (RunFault(cut_after=2), RunFault(cut_after=0))
"""Faults of a stream that brings two events: the route allows two attempts."""


@asynccontextmanager
async def two_gateways(*versions: str) -> AsyncIterator[Scene]:
    """Run two linked gateways before one prefill engine and some decode engines."""
    async with deployment() as env, run_gateway(env.store, "gateway-2") as second:
        await wait_for_links(env.gateway, second)
        await serve(env, "p-1", "prefill", versions[0])
        engines = [
            await serve(env, f"d-{number}", "decode", version)
            for number, version in enumerate(versions, 1)
        ]
        await wait_until(lambda: len(second.core.links) == len(versions) + 1)
        yield Scene(env, second, {engine.instance: engine for engine in engines})


async def begin(scene: Scene) -> StagedEngine:
    """Let a stream begin that breaks off; return the engine that began it."""
    script = chain(BROKEN_OFF, repeat(SOUND))
    for engine in scene.engines.values():
        engine.faults = script
    received = await ask(scene.env.gateway, "r1")
    origin = scene.env.gateway.core.origins.find(hash_stream("r1"))
    assert received.body == make_events("r1", range(1, 3), origin.version)
    assert not received.is_whole
    return scene.engines[origin.host]


async def wait_for_stream(gateway: Gateway) -> None:
    """Wait until a gateway knows where the stream began."""
    await wait_until(lambda: gateway.core.origins.find(hash_stream("r1")) is not None)


async def replace_others(scene: Scene, kept: StagedEngine | None, version: str) -> None:
    """Replace all decode engines but one, as a release does."""
    gone = [name for name, engine in scene.engines.items() if engine is not kept]
    for number, name in enumerate(gone):
        await serve(scene.env, f"n-{number}", "decode", version)
        scene.env.withdraw(name)
    # Many removals at once look like an outage, so that hosts are kept for a while.
    for name in gone:
        await wait_until(lambda n=name: n not in scene.second.core.links)
        await wait_until(lambda n=name: n not in scene.env.gateway.core.links)
    await wait_until(lambda: f"n-{len(gone) - 1}" in scene.second.core.links)


def check_rest(resumed: Received, version: str, name: str = "r2") -> None:
    """Check that a caller got the rest of its stream from one version."""
    assert resumed.status == 200 and resumed.is_whole
    assert resumed.body == make_events(name, range(3, EVENTS + 1), version)


def check_refusal(resumed: Received, code: str) -> None:
    """Check that a caller was told truly that nothing has run."""
    assert (resumed.status, resumed.headers["X-Ran"]) == (503, "no")
    assert code.encode() in resumed.body


# Guards against refused streams that could go on: the gateway that began it is gone.
def test_stream_goes_on_at_its_version_after_its_gateway_was_killed() -> None:
    async def scenario() -> None:
        async with two_gateways("v1", "v2", "v1", "v2") as scene:
            engine = await begin(scene)
            await wait_for_stream(scene.second)
            await scene.env.gateway.frontend.stop()
            await scene.env.gateway.peers.stop()
            await wait_until(lambda: not scene.second.peers._hub.hosts)
            check_rest(await resume(scene.second, "r2", "r1", 2), engine.version)

    run(scenario())


# As above, but the gateway that the caller comes back to has begun again and asks.
def test_stream_goes_on_at_a_gateway_that_was_restarted() -> None:
    async def scenario() -> None:
        async with two_gateways("v1", "v2", "v1", "v2") as scene:
            engine = await begin(scene)
            await wait_for_stream(scene.second)
            async with run_gateway(scene.env.store, "gateway-3") as third:
                await wait_until(lambda: len(third.core.links) == 5)
                await wait_until(
                    lambda: third.peers._hub and len(third.peers._hub.hosts) == 2
                )
                check_rest(await resume(third, "r2", "r1", 2), engine.version)

    run(scenario())


def test_stream_goes_on_while_the_store_is_away() -> None:
    async def scenario() -> None:
        async with two_gateways("v1", "v2", "v1", "v2") as scene:
            engine = await begin(scene)
            await wait_for_stream(scene.second)
            scene.env.rows.fault_gate._fault = {"mode": "down"}
            check_rest(await resume(scene.second, "r2", "r1", 2), engine.version)

    run(scenario())


async def wait_for_stored_stream(gateway: Gateway) -> None:
    """Wait until the store tells where the stream began."""
    async with asyncio.timeout(WAIT_SECONDS):
        while await gateway.origin_store.find(hash_stream("r1")) is None:
            await asyncio.sleep(0.05)


# Guards against refused streams whose origin the store tells.
@pytest.mark.parametrize("other", ["v1", "v2"], ids=["one version", "two versions"])
def test_stream_goes_on_at_a_gateway_that_is_cut_off_from_its_peers(other: str) -> None:
    async def scenario() -> None:
        async with two_gateways("v1", other) as scene:
            await scene.second.peers.stop()
            await wait_until(lambda: not scene.second.peers._hub.hosts)
            engine = await begin(scene)
            if other != "v1":
                # One version is recorded once for all streams of the route.
                await wait_for_stored_stream(scene.env.gateway)
            check_rest(await resume(scene.second, "r2", "r1", 2), engine.version)

    run(scenario())


# Guards against a guess where neither a gateway nor the store tells the origin.
def test_stream_whose_origin_nobody_tells_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with two_gateways("v1", "v2") as scene:
            await scene.second.peers.stop()
            await wait_until(lambda: not scene.second.peers._hub.hosts)
            store = scene.env.gateway.origin_store
            monkeypatch.setattr(store, "_is_writer", lambda: False)
            await begin(scene)
            resumed = await resume(scene.second, "r2", "r1", 2)
            check_refusal(resumed, const.CODE_VERSION_UNKNOWN)

    run(scenario())


# Guards against guesses by what serves at present: a release replaces the engines
# between two tries, all of them or all but the one that began the stream.
@pytest.mark.parametrize("is_kept", [True, False], ids=["one_left", "none_left"])
def test_stream_after_a_release(is_kept: bool) -> None:
    async def scenario() -> None:
        async with two_gateways("v1", "v1", "v1") as scene:
            engine = await begin(scene)
            await wait_for_stream(scene.second)
            await replace_others(scene, engine if is_kept else None, "v2")
            scene.env.announce(
                "p-1", scene.env.addresses["p-1"], "llm", phase="prefill", version="v2"
            )
            await wait_until(lambda: scene.second.core.hosts["p-1"].version == "v2")
            resumed = await resume(scene.second, "r2", "r1", 2)
            if is_kept:
                check_rest(resumed, "v1")
            else:
                check_refusal(resumed, const.CODE_VERSION_GONE)

    run(scenario())


# Guards against mixing where a host keeps its name: the engine begins again at another
# version just after the stream began, so that it may have begun at either.
def test_stream_of_an_engine_that_begins_again_at_another_version() -> None:
    async def scenario() -> None:
        async with two_gateways("v1", "v1") as scene:
            engine = await begin(scene)
            await wait_for_stream(scene.second)
            scene.env.announce_engine(engine, version="v2")
            host = engine.instance
            await wait_until(lambda: scene.second.core.hosts[host].version == "v2")
            resumed = await resume(scene.second, "r2", "r1", 2)
            check_refusal(resumed, const.CODE_VERSION_UNKNOWN)

    run(scenario())


# The engine of an unreadable entry may have begun again just before; streams that began
# well before it are not in doubt.
@pytest.mark.parametrize("is_young", [True, False], ids=["young", "old"])
def test_stream_of_an_engine_whose_entry_cannot_be_read(
    is_young: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not is_young:
        monkeypatch.setattr(const, "VERSION_LAG_SECONDS", 0.1)

    async def scenario() -> None:
        async with two_gateways("v1", "v1", "v1") as scene:
            engine = await begin(scene)
            await wait_for_stream(scene.second)
            await asyncio.sleep(0.0 if is_young else 0.3)
            scene.env.rows.write(RowId("servers", "", engine.instance), "eA==")
            await wait_until(lambda: engine.instance not in scene.second.core.links)
            resumed = await resume(scene.second, "r2", "r1", 2)
            if is_young:
                check_refusal(resumed, const.CODE_VERSION_UNKNOWN)
            else:
                check_rest(resumed, "v1")

    run(scenario())


# Guards against streams that can't be taken up for minutes: before they began, another
# writer's bytes stood in the entry of their host until its next heartbeat.
def test_stream_that_begins_after_an_unreadable_entry_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(const, "VERSION_LAG_SECONDS", 0.1)

    async def scenario() -> None:
        async with two_gateways("v1", "v1") as scene:
            gateways = scene.env.gateway, scene.second
            for name, engine in scene.engines.items():
                scene.env.rows.write(RowId("servers", "", name), "eA==")
                for gateway in gateways:
                    await wait_until(lambda n=name, g=gateway: n not in g.core.links)
                scene.env.announce_engine(engine)
                for gateway in gateways:
                    await wait_until(lambda n=name, g=gateway: n in g.core.links)
            await asyncio.sleep(0.3)
            await begin(scene)
            await wait_for_stream(scene.second)
            check_rest(await resume(scene.second, "r2", "r1", 2), "v1")

    run(scenario())


# Guards against a stream that goes on at another upstream: its route was moved, or
# split, between two tries.
@pytest.mark.parametrize("is_split", [True, False], ids=["split", "moved"])
def test_stream_of_a_route_that_leads_elsewhere_now(is_split: bool) -> None:
    async def scenario() -> None:
        async with two_gateways("v1", "v1") as scene:
            await begin(scene)
            await wait_for_stream(scene.second)
            splits = [{"service": "desk", "weight": 99}]
            splits += [{"service": "llm", "weight": 1}] if is_split else []
            route = make_route("draft", "streaming", "", resumable=True)
            del route["service"]
            scene.env.configure({**route, "trafficSplit": splits})
            router = scene.second.router
            await wait_until(lambda: router.configuration.version == scene.env.version)
            resumed = await resume(scene.second, "r2", "r1", 2)
            if is_split:
                check_rest(resumed, "v1")
            else:
                check_refusal(resumed, const.CODE_ROUTE_MOVED)

    run(scenario())


def restart_unseen(engine: StagedEngine, version: str) -> None:
    """Start an engine again at another version, behind a cut from the store."""
    engine.restart(engine.started_ms + 1)
    engine.version = version


# Guards against a stream that goes on at an engine which has started again at another
# version, while the gateway still has the entry of its former start.
def test_stream_does_not_go_on_at_an_engine_that_restarted_unseen() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await serve(env, "p-1", "prefill", "v1", started_ms=1)
            engines = [
                await serve(env, name, "decode", "v1", 0.1, 1)
                for name in ("d-1", "d-2")
            ]
            for engine in engines:
                engine.cut_after = 2
            task = asyncio.create_task(ask(env.gateway, "r1"))
            await wait_until(lambda: any(engine.runs["r1"] for engine in engines))
            first, other = sorted(engines, key=lambda e: -e.runs["r1"])
            restart_unseen(other, "v2")
            other.cut_after = None
            received = await task
            assert received.body == make_events("r1", range(1, 3), "v1")
            assert not received.is_whole
            assert env.gateway.core.hosts[other.instance].version == ""

    run(scenario())


# Guards against a stream that goes on at the version of its engine's entry, although
# the engine had started again at another one before it began the stream.
def test_stream_of_an_engine_that_restarted_unseen_does_not_go_on() -> None:
    async def scenario() -> None:
        async with (
            deployment() as env,
            run_gateway(env.store, "gateway-2") as second,
        ):
            await wait_for_links(env.gateway, second)
            await serve(env, "p-1", "prefill", "v1", started_ms=1)
            first = await serve(env, "d-1", "decode", "v1", 0.1, 1)
            restart_unseen(first, "v2")
            first.cut_after = 2
            task = asyncio.create_task(ask(env.gateway, "r1"))
            await wait_until(lambda: first.runs["r1"] == 1)
            await serve(env, "d-2", "decode", "v1", started_ms=1)
            await wait_until(lambda: "d-2" in second.core.links)
            received = await task
            assert received.body == make_events("r1", range(1, 3), "v2")
            assert not received.is_whole
            resumed = await resume(second, "r2", "r1", 2)
            check_refusal(resumed, const.CODE_VERSION_UNKNOWN)

    run(scenario())


# Guards against a stream that is broken off, though its next engine runs as listed.
def test_stream_goes_on_at_an_engine_that_confirms_its_start() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await serve(env, "p-1", "prefill", "v1", started_ms=1)
            engines = [
                await serve(env, name, "decode", "v1", 0.1, 1)
                for name in ("d-1", "d-2")
            ]
            script = chain([RunFault(cut_after=2)], repeat(SOUND))
            for engine in engines:
                engine.faults = script
            received = await ask(env.gateway, "r1")
            assert received.body == make_events("r1", range(1, EVENTS + 1), "v1")
            assert received.is_whole

    run(scenario())


# Guards against streams that can't be taken up for as long as they last: they began
# just after a cut, during which their engines seemed to have ended.
def test_stream_of_an_engine_that_was_out_of_reach_goes_on() -> None:
    async def scenario() -> None:
        async with (
            deployment() as env,
            run_gateway(env.store, "gateway-2") as second,
        ):
            await wait_for_links(env.gateway, second)
            await serve(env, "p-1", "prefill", "v1", started_ms=1)
            script = chain(BROKEN_OFF, repeat(SOUND))
            for name in ("d-1", "d-2"):
                engine = await serve(env, name, "decode", "v1", started_ms=1)
                engine.faults = script
                await wait_until(lambda n=name: n in second.core.links)
                env.gateway.core.doubt_version(name, time.monotonic())
            received = await ask(env.gateway, "r1")
            assert received.body == make_events("r1", range(1, 3), "v1")
            check_rest(await resume(second, "r2", "r1", 2), "v1")

    run(scenario())


# Guards against a host whose version stays unknown after a probe was answered wrongly.
def test_host_that_confirms_its_start_has_its_version_again() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engine = await serve(env, "d-1", "decode", "v1", started_ms=1)
            (instance,) = env.gateway.members
            env.gateway.handle_restarted(instance)
            assert env.gateway.core.hosts["d-1"].version == ""
            env.gateway.handle_confirmed(instance, time.monotonic())
            assert env.gateway.core.hosts["d-1"].version == engine.version

    run(scenario())
