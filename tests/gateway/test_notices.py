"""Hosts that say in their answers that they leave, or ask for a pause."""

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
"""Time for which a host may get requests after it was heard to leave."""
SETTLE_SECONDS = 0.5
"""Time for which a host may get requests after it has asked for a pause."""
ALLOWED_IN_PAUSE = 2
REQUESTS = 12
PAUSE_SECONDS = 3.5
LONGEST_WAIT = PAUSE_SECONDS * (1.0 + PAUSE_JITTER) ** 2
"""Both the host's return and the callers' are spread."""

Answer = Callable[[web.Request], Awaitable[web.StreamResponse]]


def answer_with(answer: Answer, **headers: str) -> Answer:
    """Answer as another handler does, with more headers."""

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


async def ask_often(made: Deployment, count: int = REQUESTS) -> list[int]:
    """Send some requests at once; give their statuses."""
    asked = (ask(made, "/read/a", f"r-{time.monotonic()}-{n}") for n in range(count))
    return [status for status, _, _ in await asyncio.gather(*asked)]


# A host gets requests until it ends under them: its answers say that it leaves, while
# the store that would say so is away.
@pytest.mark.parametrize("answer", [answer_whole, refuse, fail])
def test_host_whose_answer_says_that_it_leaves_is_left_alone(answer: Answer) -> None:
    async def play() -> None:
        async with deployment() as made:
            leaving = Desk(answer_with(answer, Server_Leaving="1"))
            await made.serve_desk("leaving", leaving)
            await made.serve_desk("staying", Desk(answer_whole))
            await ask_often(made)
            assert leaving.seen
            await asyncio.sleep(DRAIN_SECONDS)
            leaving.seen.clear()
            assert await ask_often(made) == [200] * REQUESTS
            assert not leaving.seen

    run(play())


# The same at an engine, whose answer is a stream that has only begun.
def test_engine_whose_answer_says_that_it_leaves_is_left_alone() -> None:
    async def play() -> None:
        async with deployment() as made:
            engines = [StagedEngine("p-1", "prefill")]
            engines += [StagedEngine(f"d-{n}", "decode") for n in (1, 2)]
            for engine in engines:
                await made.serve_engine(engine)
            leaving = engines[1]
            leaving.notice = LEAVING
            while not leaving.runs:
                await stream(made, "/sheet/a", f"first-{time.monotonic()}")
            await asyncio.sleep(DRAIN_SECONDS)
            leaving.runs.clear()
            for number in range(REQUESTS):
                name = f"r{number}"
                assert await stream(made, "/sheet/a", name) == make_whole(name)
            assert not leaving.runs

    run(play())


# A host that asks for a pause is kept busy by refusing all the while.
def test_host_that_asks_for_a_pause_is_left_alone() -> None:
    async def play() -> None:
        async with deployment() as made:
            pausing = Desk(answer_with(refuse, Retry_After="1.5"), answer_whole)
            await made.serve_desk("pausing", pausing)
            await made.serve_desk("other", Desk(answer_whole))
            while not pausing.seen:
                await ask(made, "/read/a", f"first-{time.monotonic()}")
            paused_at = time.monotonic()
            await asyncio.sleep(SETTLE_SECONDS)
            pausing.seen.clear()
            while time.monotonic() < paused_at + 1.3:
                assert (await ask(made, "/read/a", f"r-{time.monotonic()}"))[0] == 200
            assert len(pausing.seen) <= ALLOWED_IN_PAUSE

    run(play())


async def find_instance(made: Deployment, host: str) -> Instance:
    return next(item for item in made.gateway.members if item.host == host)


async def ask_report(made: Deployment, instance: Instance) -> None:
    await made.gateway.hosts.read_report(instance)


async def ask_kept(made: Deployment, instance: Instance) -> None:
    await made.gateway.hosts.read_cached_parts(instance)


async def give_order(made: Deployment, instance: Instance) -> None:
    await made.gateway.hosts.order_role(instance, DECODE, "gateway-1", 1, 0)


async def free_kv(made: Deployment, instance: Instance) -> None:
    made.gateway.hosts.drop(KvRef(instance.host, instance.address, "h", 1))
    await asyncio.gather(*made.gateway.hosts._tasks._detached)


# Whatever a gateway asks a host, the answer says that it leaves: heard there alone, it
# would be lost until the next request has met the host.
@pytest.mark.parametrize("question", [ask_report, ask_kept, give_order, free_kv])
def test_answer_to_any_question_says_that_a_host_leaves(
    question: Callable[[Deployment, Instance], Awaitable[None]],
) -> None:
    async def play() -> None:
        async with deployment() as made:
            engine = StagedEngine("d-1", "decode")
            await made.serve_engine(engine)
            engine.notice = LEAVING
            await question(made, await find_instance(made, "d-1"))
            assert (await find_instance(made, "d-1")).is_draining
            assert not made.gateway.core.hosts["d-1"].live

    run(play())


# A host that stays is left alone for what the next one at its former address says.
def test_word_of_another_host_at_the_address_is_not_taken() -> None:
    async def play() -> None:
        async with deployment() as made:
            engine = StagedEngine("d-1", "decode")
            await made.serve_engine(engine)
            engine.notice = LEAVING
            engine.instance = "d-2"
            for question in (ask_report, give_order):
                await question(made, await find_instance(made, "d-1"))
            assert not (await find_instance(made, "d-1")).is_draining

    run(play())


def test_only_host_that_leaves_is_not_waited_for() -> None:
    async def play() -> None:
        async with deployment() as made:
            await made.serve_desk(
                "leaving", Desk(answer_with(answer_whole, Server_Leaving="1"))
            )
            assert (await ask(made, "/read/a", "first"))[0] == 200
            begun = time.monotonic()
            status, headers, _ = await ask(made, "/read/a", "second")
            assert status == 503
            assert headers["X-Ran"] == "no"
            assert time.monotonic() < begun + DRAIN_SECONDS

    run(play())


# All callers come back at the same moment, or wait for hosts that take nothing.
def test_callers_are_told_when_all_hosts_pause() -> None:
    async def play() -> None:
        async with deployment() as made:
            pausing = Desk(
                answer_with(refuse, Retry_After=str(PAUSE_SECONDS)), answer_whole
            )
            await made.serve_desk("only", pausing)
            await ask(made, "/read/a", "first")
            pausing.seen.clear()
            waits = set()
            for number in range(REQUESTS):
                status, headers, _ = await ask(made, "/read/a", f"r{number}")
                assert status == 503
                assert headers["X-Ran"] == "no"
                waits.add(float(headers["Retry-After"]))
            assert not pausing.seen
            assert all(2.0 < wait < LONGEST_WAIT for wait in waits)

    run(play())


# A host that was full for a moment is left out for longer and longer, as if it failed.
def test_pause_is_no_fault_of_its_host() -> None:
    async def play() -> None:
        async with deployment() as made:
            refusal = answer_with(refuse, Retry_After="0.3")
            await made.serve_desk("only", Desk(*[refusal] * 4, answer_whole))
            for number in range(4):
                assert (await ask(made, "/read/a", f"full-{number}"))[0] in (429, 503)
                await asyncio.sleep(0.4)
            assert made.gateway.core.hosts["only"].refusals == 0
            assert (await ask(made, "/read/a", "served"))[0] == 200

    run(play())


def test_engine_that_pauses_is_used_again_after_its_restart() -> None:
    async def play() -> None:
        async with deployment() as made:
            engine = StagedEngine("d-1", "decode")
            engine.born = 1_000
            await made.serve_engine(engine)
            instance = await find_instance(made, "d-1")
            made.gateway.take_notice(instance, Notice(pause=60.0))
            engine.restart(2_000)
            made.announce_engine(engine)
            await wait_until(lambda: made.gateway.members.starts.get("d-1") == 2_000)
            assert await stream(made, "/sheet/a", "r1") == make_whole("r1")

    run(play())


# The engines that make answers pause: a prompt would be read, and its caller kept
# waiting for an engine that takes it.
def test_callers_are_told_when_all_engines_for_answers_pause() -> None:
    async def play() -> None:
        async with deployment() as made:
            engines = [StagedEngine("p-1", "prefill"), StagedEngine("d-1", "decode")]
            for engine in engines:
                await made.serve_engine(engine)
            instance = await find_instance(made, "d-1")
            made.gateway.take_notice(instance, Notice(pause=PAUSE_SECONDS))
            begun = time.monotonic()
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"{made.url}/sheet/a", headers=make_prompt("r1"), data=b"prompt"
                ) as response,
            ):
                assert response.status == 503
                assert 2.0 < float(response.headers["Retry-After"]) < LONGEST_WAIT
            assert time.monotonic() < begun + 2.0
            assert not engines[0].handles

    run(play())
