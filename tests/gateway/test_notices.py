"""Hosts that say in their answers that they leave, or ask for a pause."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web

from standins.staged import StagedEngine
from tests.common import run
from tests.gateway.common import Deployment, deployment
from tests.gateway.test_calls import SIGNED, Desk, answer_whole, ask
from tests.gateway.test_streams import make_whole, stream

LEAVING = {"Server-Leaving": "1"}
DRAIN_SECONDS = 2.0
"""Time for which a host may get requests after it was heard to leave."""
SETTLE_SECONDS = 0.5
"""Time for which a host may get requests after it has asked for a pause."""
ALLOWED_IN_PAUSE = 2
REQUESTS = 12

Answer = Callable[[web.Request], Awaitable[web.StreamResponse]]


def answer_with(answer: Answer, **headers: str) -> Answer:
    """Answer as another handler does, with more headers."""

    async def handle(request: web.Request) -> web.StreamResponse:
        response = await answer(request)
        response.headers.update({k.replace("_", "-"): v for k, v in headers.items()})
        return response

    return handle


async def refuse(request: web.Request) -> web.Response:
    return web.Response(status=503, headers={"X-Not-Executed": "1"})


async def fail(request: web.Request) -> web.Response:
    headers = {**SIGNED, "X-Request-Id": request.headers["X-Request-Id"]}
    return web.Response(status=500, body=b"broken", headers=headers)


async def ask_often(made: Deployment, count: int = REQUESTS) -> list[int]:
    """Send some requests at once; give their statuses."""
    asked = (ask(made, "/read/a", f"r-{time.monotonic()}-{n}") for n in range(count))
    return [status for status, _, _ in await asyncio.gather(*asked)]


# A host is sent requests until it ends under them: its answers say that it leaves, while
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
