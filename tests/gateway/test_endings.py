"""Tests of how the log and the metrics report the end of an answer."""

import asyncio
from collections.abc import Iterator, Sequence

import aiohttp
import pytest

from radishtally.gateway.endings import Delivery, Ending
from radishtally.gateway.requests import NOT_READY
from radishtally.links.messages import Finished
from radishtally.serving.events import Finish, Refuse, Shutdown
from standins.spoiling import RunFault
from standins.staged import EVENTS, StagedEngine, make_event
from tests.common import run
from tests.gateway.common import Deployment, deployment, make_prompt, wait_until

FAILED = RunFault(status=500, body="failed")
CUT = RunFault(cut_after=2)


async def begin(env: Deployment, faults: Iterator[RunFault]) -> StagedEngine:
    """Start a prefill and a decode engine; return the decode engine."""
    answering = StagedEngine("d-1", "decode")
    answering.faults = faults
    for engine in (StagedEngine("p-1", "prefill"), answering):
        await env.serve_engine(engine)
    return answering


async def ask(env: Deployment) -> None:
    """Send a request and read its answer as far as it comes."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"{env.url}/sheet/a", headers=make_prompt("r1")) as response,
    ):
        try:
            await response.read()
        except aiohttp.ClientPayloadError:
            return


# Guards against logs in which an aborted stream looks complete.
@pytest.mark.parametrize(
    ("faults", "ending", "status", "events"),
    [
        ((), Ending.STREAM_END, 200, EVENTS),
        ([CUT], Ending.BROKEN_OFF, 200, 2),
        ([FAILED], Ending.WHOLE, 500, 0),
    ],
    ids=["whole", "cut", "failed"],
)
def test_ending_of_an_answer_is_recorded(
    faults: Sequence[RunFault], ending: Ending, status: int, events: int
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await begin(env, iter(faults))
            given: list[Delivery] = []
            close = env.gateway.close

            def note(request: str, one: Delivery) -> None:
                given.append(one)
                close(request, one)

            env.gateway.close = note
            await ask(env)
            await wait_until(lambda: bool(given))
            sent = len(FAILED.body)
            if status == 200:
                sent = sum(len(make_event("r1", n + 1)) for n in range(events))
            assert given == [Delivery(ending, status, sent, events)]
            text = env.gateway.render_metrics().decode()
            assert f'ending="{ending}",kind="stream"' in text

    run(scenario())


def test_caller_disconnect_is_recorded() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            answering = await begin(env, iter(()))
            answering.seconds = 5.0
            task = asyncio.create_task(ask(env))
            await wait_until(lambda: answering.runs["r1"] == 1)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await wait_until(lambda: not env.gateway.replies)
            text = env.gateway.render_metrics().decode()
            assert f'ending="{Ending.CALLER_LEFT}",kind="stream"' in text

    run(scenario())


# Guards against a partial stream that looks complete: a reply other than its regular
# end arrives for it, or the gateway stops.
@pytest.mark.parametrize("how", ["finish", "refuse", "leave"])
def test_only_regular_end_completes_a_stream(how: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            answering = await begin(env, iter(()))
            answering.seconds = 0.2
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"{env.url}/sheet/a", headers=make_prompt("r1")
                ) as response,
            ):
                assert response.status == 200
                if how == "leave":
                    env.gateway.handle(Shutdown())
                elif how == "finish":
                    end = Finished("r1", 1, 0, 0, 500, "", 0, 0)
                    env.gateway.replies.put(Finish("r1", end, b""))
                else:
                    env.gateway.replies.put(Refuse("r1", NOT_READY))
                with pytest.raises(aiohttp.ClientPayloadError):
                    await response.read()

    run(scenario())
