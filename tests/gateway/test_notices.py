"""Tests of hosts that announce in answers that they leave, or ask for a pause."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web

from radishtally.direct.core import Instance, Notice
from radishtally.links.messages import DECODE, KvRef
from radishtally.serving.const import PAUSE_JITTER
from standins.staged import StagedEngine
from tests.common import run
from tests.gateway.common import Deployment, deployment, make_prompt, wait_until
from tests.gateway.test_calls import SIGNED, Desk, answer_whole, ask
from tests.gateway.test_streams import make_whole, stream

LEAVING = {"Server-Leaving": "1"}
DRAIN_SECONDS = 2.0
"""Time for which a host may get requests after its leaving announcement."""
SETTLE_SECONDS = 0.5
"""Time for which a host may get requests after its request for a pause."""
ALLOWED_IN_PAUSE = 2
REQUESTS = 12
PAUSE_SECONDS = 3.5
LONGEST_WAIT = PAUSE_SECONDS * (1.0 + PAUSE_JITTER) ** 2
"""Both the end of the host's pause and the callers' retries are spread."""

Answer = Callable[[web.Request], Awaitable[web.StreamResponse]]


def answer_with(answer: Answer, **headers: str) -> Answer:
    """Wrap a handler to add headers to its answers."""

    async def handle(request: web.Request) -> web.StreamResponse:
        response = await answer(request)
        response.headers.update({k.replace("_", "-"): v for k, v in headers.items()})
        return response

    return handle


async def refuse(request: web.Request) -> web.Response:
    name = request.headers["X-Request-Id"]
    return web.Response(
        status=503, headers={"X-Not-Executed": "1", "X-Request-Id": name}
    )


async def fail(request: web.Request) -> web.Response:
    headers = {**SIGNED, "X-Request-Id": request.headers["X-Request-Id"]}
    return web.Response(status=500, body=b"broken", headers=headers)


async def ask_often(env: Deployment, count: int = REQUESTS) -> list[int]:
    """Send requests concurrently; return their statuses."""
    answers = (ask(env, "/read/a", f"r-{time.monotonic()}-{n}") for n in range(count))
    return [status for status, _, _ in await asyncio.gather(*answers)]


# Guards against requests that are open when their host exits: the host announces in its
# answers that it is leaving, while the store, which would show it, is away.
@pytest.mark.parametrize("answer", [answer_whole, refuse, fail])
def test_host_that_announces_leaving_gets_no_requests(answer: Answer) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            leaving = Desk(answer_with(answer, Server_Leaving="1"))
            await env.serve_desk("leaving", leaving)
            await env.serve_desk("staying", Desk(answer_whole))
            await ask_often(env)
            assert leaving.seen
            await asyncio.sleep(DRAIN_SECONDS)
            leaving.seen.clear()
            assert await ask_often(env) == [200] * REQUESTS
            assert not leaving.seen

    run(scenario())


# As above for an engine, whose answer is a stream that has only started.
def test_engine_that_announces_leaving_gets_no_requests() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engines = [StagedEngine("p-1", "prefill")]
            engines += [StagedEngine(f"d-{n}", "decode") for n in (1, 2)]
            for engine in engines:
                await env.serve_engine(engine)
            leaving = engines[1]
            leaving.extra_headers = LEAVING
            while not leaving.runs:
                await stream(env, "/sheet/a", f"first-{time.monotonic()}")
            await asyncio.sleep(DRAIN_SECONDS)
            leaving.runs.clear()
            for number in range(REQUESTS):
                name = f"r{number}"
                assert await stream(env, "/sheet/a", name) == make_whole(name)
            assert not leaving.runs

    run(scenario())


# Guards against a host that is kept busy with refusals although it asked for a pause.
def test_host_that_asks_for_a_pause_gets_no_requests() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            pausing = Desk(answer_with(refuse, Retry_After="1.5"), answer_whole)
            await env.serve_desk("pausing", pausing)
            await env.serve_desk("other", Desk(answer_whole))
            while not pausing.seen:
                await ask(env, "/read/a", f"first-{time.monotonic()}")
            paused_at = time.monotonic()
            await asyncio.sleep(SETTLE_SECONDS)
            pausing.seen.clear()
            while time.monotonic() < paused_at + 1.3:
                assert (await ask(env, "/read/a", f"r-{time.monotonic()}"))[0] == 200
            assert len(pausing.seen) <= ALLOWED_IN_PAUSE

    run(scenario())


async def find_instance(env: Deployment, host: str) -> Instance:
    return next(item for item in env.gateway.members if item.host == host)


async def ask_report(env: Deployment, instance: Instance) -> None:
    await env.gateway.hosts.read_report(instance)


async def ask_kept(env: Deployment, instance: Instance) -> None:
    await env.gateway.hosts.read_cached_parts(instance)


async def give_order(env: Deployment, instance: Instance) -> None:
    await env.gateway.hosts.order_role(instance, DECODE, "gateway-1", 1, 0)


async def free_kv(env: Deployment, instance: Instance) -> None:
    env.gateway.hosts.drop(KvRef(instance.host, instance.address, "h", 1))
    await asyncio.gather(*env.gateway.hosts._tasks._detached)


# A leaving announcement in an answer to any query must be handled. Otherwise it would
# be lost until the next request to the host.
@pytest.mark.parametrize("question", [ask_report, ask_kept, give_order, free_kv])
def test_leaving_announcement_is_handled_in_answers_to_all_queries(
    question: Callable[[Deployment, Instance], Awaitable[None]],
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engine = StagedEngine("d-1", "decode")
            await env.serve_engine(engine)
            engine.extra_headers = LEAVING
            await question(env, await find_instance(env, "d-1"))
            assert (await find_instance(env, "d-1")).is_draining
            assert not env.gateway.core.hosts["d-1"].live

    run(scenario())


# Guards against a host without work because of an announcement by another host that now
# listens at its former address.
def test_notice_of_another_host_at_the_address_is_ignored() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engine = StagedEngine("d-1", "decode")
            await env.serve_engine(engine)
            engine.extra_headers = LEAVING
            engine.instance = "d-2"
            for question in (ask_report, give_order):
                await question(env, await find_instance(env, "d-1"))
            assert not (await find_instance(env, "d-1")).is_draining

    run(scenario())


def test_request_is_refused_promptly_if_the_only_host_is_leaving() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk(
                "leaving", Desk(answer_with(answer_whole, Server_Leaving="1"))
            )
            assert (await ask(env, "/read/a", "first"))[0] == 200
            begun = time.monotonic()
            status, headers, _ = await ask(env, "/read/a", "second")
            assert status == 503
            assert headers["X-Ran"] == "no"
            assert time.monotonic() < begun + DRAIN_SECONDS

    run(scenario())


# Guards against callers that all retry at the same moment, or wait for paused hosts.
def test_callers_get_retry_after_while_all_hosts_pause() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            pausing = Desk(
                answer_with(refuse, Retry_After=str(PAUSE_SECONDS)), answer_whole
            )
            await env.serve_desk("only", pausing)
            await ask(env, "/read/a", "first")
            pausing.seen.clear()
            waits = set()
            for number in range(REQUESTS):
                status, headers, _ = await ask(env, "/read/a", f"r{number}")
                assert status == 503
                assert headers["X-Ran"] == "no"
                waits.add(float(headers["Retry-After"]))
            assert not pausing.seen
            assert all(2.0 < wait < LONGEST_WAIT for wait in waits)

    run(scenario())


# Guards against a growing backoff for a host that was only full for a moment.
def test_pause_does_not_count_as_a_failure() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            refusal = answer_with(refuse, Retry_After="0.3")
            await env.serve_desk("only", Desk(*[refusal] * 4, answer_whole))
            for number in range(4):
                assert (await ask(env, "/read/a", f"full-{number}"))[0] in (429, 503)
                await asyncio.sleep(0.4)
            assert env.gateway.core.hosts["only"].refusals == 0
            assert (await ask(env, "/read/a", "served"))[0] == 200

    run(scenario())


def test_paused_engine_is_used_again_after_its_restart() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engine = StagedEngine("d-1", "decode")
            engine.started_ms = 1_000
            await env.serve_engine(engine)
            instance = await find_instance(env, "d-1")
            env.gateway.handle_notice(instance, Notice(pause=60.0))
            engine.restart(2_000)
            env.announce_engine(engine)
            await wait_until(lambda: env.gateway.members.starts.get("d-1") == 2_000)
            assert await stream(env, "/sheet/a", "r1") == make_whole("r1")

    run(scenario())


# Guards against a prompt that is prefilled while all decode engines pause, and whose
# caller then waits for a decode engine.
def test_callers_get_retry_after_while_all_decode_engines_pause() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engines = [StagedEngine("p-1", "prefill"), StagedEngine("d-1", "decode")]
            for engine in engines:
                await env.serve_engine(engine)
            instance = await find_instance(env, "d-1")
            env.gateway.handle_notice(instance, Notice(pause=PAUSE_SECONDS))
            begun = time.monotonic()
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"{env.url}/sheet/a", headers=make_prompt("r1"), data=b"prompt"
                ) as response,
            ):
                assert response.status == 503
                assert 2.0 < float(response.headers["Retry-After"]) < LONGEST_WAIT
            assert time.monotonic() < begun + 2.0
            assert not engines[0].handles

    run(scenario())
