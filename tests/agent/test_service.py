"""Tests of the exchange with a plain service: what of it the agent's core hears."""

import asyncio

import pytest
from aiohttp import web

from radishtally.agent import events, service
from radishtally.agent.service import Service
from radishtally.links.messages import CALL, Offer, Work
from radishtally.outcome import Ran
from standins.desk import reset
from tests.agent.upstream import Answer, Reports, reply, serve, stream
from tests.common import run


def make_offer(**more: object) -> Offer:
    work = Work("r", "team", "desk", CALL, b"body", path="/remind", **more)
    return Offer(work, 1, 30.0)


async def run_call(url: str, offer: Offer) -> Reports:
    reports = Reports()
    driver = Service(url, reports.take)
    driver.run(offer)
    await reports.wait_end()
    await driver.close()
    return reports


def ask(answer: Answer, **more: object) -> Reports:
    async def check() -> Reports:
        async with serve(answer) as url:
            return await run_call(url, make_offer(**more))

    return run(check())


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("answer", [stream(b"half", cut=True), stream(cut=True)])
def test_cut_call_may_have_run(answer: Answer, idempotent: bool) -> None:
    last = ask(answer, idempotent=idempotent).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


# A part of an answer is taken for the whole: it has no length, and its connection is
# reset, or closed by a service that is killed.
@pytest.mark.parametrize("is_killed", [False, True], ids=["reset", "killed"])
def test_unframed_answer_of_a_service_that_broke_off_is_lost(is_killed: bool) -> None:
    async def play() -> Reports:
        async def serve_one(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nonly a part")
            await asyncio.sleep(0.02)
            if is_killed:
                server.close()
                writer.close()
            else:
                reset(writer)

        server = await asyncio.start_server(serve_one, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        return await run_call(f"http://127.0.0.1:{port}", make_offer())

    last = run(play()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


def test_unframed_answer_that_is_closed_is_whole() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        await request.read()
        request.transport.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        request.transport.close()
        return web.Response()

    reports = ask(answer)
    assert reports.events[-1].status == 200
    assert b"".join(reports.parts) == b"all of it"


def test_service_that_is_away_ran_nothing() -> None:
    async def check() -> Reports:
        async with serve(reply(200, b"")) as url:
            pass
        return await run_call(url, make_offer(idempotent=False))

    last = run(check()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.NO


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_any_status_is_the_services_answer(status: int) -> None:
    reports = ask(reply(status, b"said"))
    assert reports.events[-1].status == status
    assert b"".join(reports.parts) == b"said"


def test_call_is_sent_once_under_its_key() -> None:
    # The crew is sent once. The service takes the call and the connection ends without
    # an answer; the HTTP library would send PUT and DELETE again by itself.
    seen = []

    async def answer(request: web.Request) -> web.StreamResponse:
        seen.append((request.method, request.headers["Idempotency-Key"]))
        request.transport.abort()
        return web.Response()

    for method in ("POST", "PUT", "DELETE"):
        ask(answer, method=method, key="k", idempotent=False)
    assert seen == [("POST", "k"), ("PUT", "k"), ("DELETE", "k")]


def test_hung_call_gives_its_place_back(monkeypatch: pytest.MonkeyPatch) -> None:
    # The caller was told "unknown" at its deadline. A service that never answers must
    # not hold a place of the agent, and a drain, for ever.
    monkeypatch.setattr(service, "CALL_TIMEOUT_SECONDS", 0.1)

    async def hang(request: web.Request) -> web.StreamResponse:
        await request.content.read()
        await asyncio.sleep(30.0)
        return web.Response()

    last = ask(hang, idempotent=False).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


def test_answer_has_bounded_size(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service, "MAX_ANSWER_BYTES", 1_000)
    last = ask(reply(200, b"x" * 2_000)).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN
