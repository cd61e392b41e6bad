"""Tests of the exchange with an engine: what of it the agent's core hears."""

import asyncio

import aiohttp
import msgspec
import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtally.agent import engine, events
from radishtally.agent.engine import Engine, make_engine_body
from radishtally.agent.sse import read_parts
from radishtally.links.messages import CHAT, COMPLETION, PREFILL, KvRef, Offer, Work
from radishtally.outcome import Ran
from tests.agent.upstream import Answer, Reports, reply, serve, stream
from tests.common import run

BODY = msgspec.json.encode({"messages": [{"role": "user", "content": "?"}]})
FINISH = b'data: {"choices": [{"text": "", "finish_reason": "stop"}]}\n\n'
DONE = b"data: [DONE]\n\n"


def make_offer(**more: object) -> Offer:
    work = Work("r", "team", "pool", CHAT, BODY, "m", max_tokens=9)
    return Offer(work, 1, 30.0, **more)


def make_event(text: str) -> bytes:
    return b"data: " + msgspec.json.encode({"choices": [{"text": text}]}) + b"\n\n"


async def run_work(url: str, offer: Offer) -> Reports:
    reports = Reports()
    driver = Engine("agent-0", url, reports.take)
    driver.run(offer)
    await reports.wait_end()
    await driver.close()
    return reports


def ask(answer: Answer, **more: object) -> Reports:
    """Run work at an engine that answers so."""

    async def check() -> Reports:
        async with serve(answer) as url:
            return await run_work(url, make_offer(**more))

    return run(check())


def test_parts_are_whole_characters() -> None:
    # The caller sees no broken character wherever its answer is cut: the network may
    # part a character's bytes, but what the agent passes on is whole text.
    data = b"".join(map(make_event, ["aé", "字", "🪡", "né"])) + FINISH + DONE
    reports = ask(stream(*[data[n : n + 1] for n in range(len(data))]))
    assert [part.decode() for part in reports.parts] == ["aé", "字", "🪡", "né"]
    assert reports.events[-1].finish_reason == "stop"


@settings(max_examples=100)
@given(texts=st.lists(st.text(st.characters(codec="utf-8"), max_size=4), max_size=5))
def test_any_text_can_be_gone_on_from_at_any_part(texts: list[str]) -> None:
    async def lines() -> object:
        for text in texts:
            for line in make_event(text).splitlines(keepends=True):
                yield line

    async def read() -> list[bytes]:
        return [part.text.encode() async for part in read_parts(lines())]

    parts = asyncio.run(read())
    for count in range(len(parts) + 1):
        done = b"".join(parts[:count])
        body = make_engine_body(make_offer(done=done, tokens_done=count), None)
        said = [m["content"] for m in body["messages"][1:]]
        assert said == (["".join(texts[:count])] if done else [])


@pytest.mark.parametrize(
    ("answer", "end"),
    [
        (stream(make_event("a"), FINISH), events.Completed),
        (stream(make_event("a")), Ran.UNKNOWN),
        (stream(make_event("a"), DONE), Ran.UNKNOWN),
        (stream(make_event("a"), cut=True), Ran.UNKNOWN),
        (stream(b'data: {"error": "out of memory"}\n\n'), Ran.UNKNOWN),
        (stream(b"data: {rubbish\n\n"), Ran.UNKNOWN),
        (stream(b'data: {"choices": 3}\n\n'), Ran.UNKNOWN),
        (stream(b"data: " + b"x" * 3_000_000), Ran.UNKNOWN),
        (reply(503, b'{"error": {"code": "not_started"}}'), Ran.NO),
        (reply(503, b"away"), Ran.UNKNOWN),
        (reply(500, b""), Ran.UNKNOWN),
        (reply(429, b""), Ran.UNKNOWN),
        (reply(404, b""), Ran.NO),
    ],
    ids=[
        "no DONE",
        "no reason",
        "DONE without reason",
        "reset",
        "error event",
        "rubbish",
        "wrong type",
        "endless line",
        "not started",
        "away",
        "broken",
        "busy",
        "not loaded",
    ],
)
def test_ends_are_told_truly(answer: Answer, end: object) -> None:
    last = ask(answer).events[-1]
    if isinstance(end, type):
        assert isinstance(last, end)
    else:
        assert isinstance(last, events.Failed) and last.ran == end


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b'{"error": {"message": "prompt too long"}}', "prompt too long"),
        (b"rubbish", "the engine refused the request"),
        (b'{"error": "text"}', "the engine refused the request"),
    ],
)
def test_refusal_of_the_request_is_its_answer(body: bytes, message: str) -> None:
    last = ask(reply(400, body)).events[-1]
    assert isinstance(last, events.Completed)
    assert (last.status, last.finish_reason) == (400, message)


def test_engine_that_is_away_ran_nothing() -> None:
    async def check() -> Reports:
        async with serve(reply(200, b"")) as url:
            pass
        return await run_work(url, make_offer())

    last = run(check()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.NO


@pytest.mark.parametrize(
    ("kind", "body", "done"),
    [
        (CHAT, BODY, "é".encode()[:1]),
        (CHAT, b"{}", b"a"),
        (COMPLETION, b'{"prompt": [1, 2]}', b"a"),
        (COMPLETION, b"[]", b""),
    ],
    ids=["cut character", "no messages", "prompt of numbers", "no object"],
)
def test_what_cannot_be_gone_on_from_is_told(
    kind: str, body: bytes, done: bytes
) -> None:
    # The caller is told at once. Raised, the fault would end the task unseen, and the
    # request would hold its place until its deadline.
    async def check() -> Reports:
        work = Work("r", "team", "pool", kind, body, "m", max_tokens=9)
        async with serve(reply(200, b"")) as url:
            return await run_work(url, Offer(work, 1, 30.0, done=done))

    last = run(check()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.NO


def test_body_asks_for_the_rest_only() -> None:
    work = Work("r", "t", "pool", COMPLETION, b'{"prompt": "p", "n": 1}', max_tokens=9)
    offer = Offer(work, 2, 30.0, done="né".encode(), tokens_done=2)
    body = make_engine_body(offer, "handle")
    assert (body["prompt"], body["continue_from"], body["max_tokens"]) == ("pné", 2, 7)
    assert body["kv_transfer_params"] == {"handle": "handle"}
    body = make_engine_body(offer._replace(stage=PREFILL), None)
    assert body["max_tokens"] == 1
    assert body["kv_transfer_params"] == {"export": True}


def test_silent_cache_holder_does_not_hold_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The caller's answer goes on after a moment. The host that holds the KV cache
    # takes the connection and says nothing; the prompt is prefilled anew instead.
    monkeypatch.setattr(engine, "KV_TIMEOUT", aiohttp.ClientTimeout(total=0.1))

    async def hang(request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(30.0)
        return web.Response()

    async def check() -> Reports:
        async with serve(hang) as holder, serve(stream(FINISH, DONE)) as url:
            return await run_work(url, make_offer(kv=KvRef("a", holder, "h", 1)))

    assert isinstance(run(check()).events[-1], events.Completed)


@pytest.mark.parametrize("pieces", [(), (make_event("a"),)], ids=["first", "next"])
def test_silent_stream_is_given_up(
    monkeypatch: pytest.MonkeyPatch, pieces: tuple[bytes, ...]
) -> None:
    # The caller sees its answer go on elsewhere and not end at its deadline. The
    # engine's connection goes silent before the first token or behind one; no error
    # tells of it, so the agent counts the time since the last sign.
    monkeypatch.setattr(engine, "FIRST_TOKEN_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(engine, "NEXT_TOKEN_TIMEOUT_SECONDS", 0.05)

    async def answer(request: web.Request) -> web.StreamResponse:
        if request.path.endswith("/cancel"):
            return web.Response()
        response = web.StreamResponse()
        await response.prepare(request)
        for piece in pieces:
            await response.write(piece)
        await asyncio.Event().wait()
        return response

    async def check() -> Reports:
        reports = Reports()
        async with serve(answer) as url:
            driver = Engine("agent-0", url, reports.take)
            driver.run(make_offer())
            while not any(isinstance(e, events.Failed) for e in reports.events):
                await asyncio.sleep(0.01)
                driver.abort_silent_streams(asyncio.get_running_loop().time())
            await driver.close()
        return reports

    reports = run(asyncio.wait_for(check(), 20.0))
    assert len(reports.parts) == len(pieces)
    assert reports.events[-1].ran == Ran.UNKNOWN
