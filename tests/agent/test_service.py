"""Tests of the plain service client: the events that it reports to the core."""

import asyncio

import pytest
from aiohttp import web

from radishtally.agent import events, service
from radishtally.agent.service import Service
from radishtally.links.messages import CALL, Offer, Work
from radishtally.outcome import Ran
from standins.desk import reset
from tests.agent.upstream import Answer, EventRecorder, reply, serve, stream
from tests.common import run


def make_offer(**more: object) -> Offer:
    work = Work("r", "team", "desk", CALL, b"body", path="/remind", **more)
    return Offer(work, 1, 30.0)


async def run_call(url: str, offer: Offer) -> EventRecorder:
    recorder = EventRecorder()
    client = Service(url, recorder.record)
    client.run(offer)
    await recorder.wait_end()
    await client.close()
    return recorder


def run_against(answer: Answer, **more: object) -> EventRecorder:
    async def check() -> EventRecorder:
        async with serve(answer) as url:
            return await run_call(url, make_offer(**more))

    return run(check())


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("answer", [stream(b"half", cut=True), stream(cut=True)])
def test_outcome_of_cut_call_is_unknown(answer: Answer, idempotent: bool) -> None:
    last = run_against(answer, idempotent=idempotent).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


# Guards against taking a part of an answer for the whole. The answer has no length, and
# its connection is reset, or is closed because the service is killed.
@pytest.mark.parametrize("is_killed", [False, True], ids=["reset", "killed"])
def test_interrupted_answer_without_length_is_lost(is_killed: bool) -> None:
    async def check() -> EventRecorder:
        async def answer_raw(
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

        server = await asyncio.start_server(answer_raw, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        return await run_call(f"http://127.0.0.1:{port}", make_offer())

    last = run(check()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


def test_closed_answer_without_length_is_whole() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        await request.read()
        request.transport.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        request.transport.close()
        return web.Response()

    recorder = run_against(answer)
    assert recorder.events[-1].status == 200
    assert b"".join(recorder.parts) == b"all of it"


def test_call_to_unreachable_service_did_not_run() -> None:
    async def check() -> EventRecorder:
        async with serve(reply(200, b"")) as url:
            pass
        return await run_call(url, make_offer(idempotent=False))

    last = run(check()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.NO


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_any_status_is_reported_as_the_answer(status: int) -> None:
    recorder = run_against(reply(status, b"said"))
    assert recorder.events[-1].status == status
    assert b"".join(recorder.parts) == b"said"


def test_call_is_sent_once_with_its_key() -> None:
    # Guards against a call that runs twice. The service gets the call, and the
    # connection ends without an answer; the HTTP library would resend PUT and DELETE.
    seen = []

    async def answer(request: web.Request) -> web.StreamResponse:
        seen.append((request.method, request.headers["Idempotency-Key"]))
        request.transport.abort()
        return web.Response()

    for method in ("POST", "PUT", "DELETE"):
        run_against(answer, method=method, key="k", idempotent=False)
    assert seen == [("POST", "k"), ("PUT", "k"), ("DELETE", "k")]


def test_hung_call_frees_its_slot(monkeypatch: pytest.MonkeyPatch) -> None:
    # A service that never answers must not occupy a slot, and block a drain, for ever.
    # At its deadline the caller got the outcome "unknown".
    monkeypatch.setattr(service, "CALL_TIMEOUT_SECONDS", 0.1)

    async def hang(request: web.Request) -> web.StreamResponse:
        await request.content.read()
        await asyncio.sleep(30.0)
        return web.Response()

    last = run_against(hang, idempotent=False).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


def test_answer_size_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service, "MAX_ANSWER_BYTES", 1_000)
    last = run_against(reply(200, b"x" * 2_000)).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN
