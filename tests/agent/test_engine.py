"""Tests of the engine client: the events that it reports to the core."""

import asyncio
import json

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
from tests.agent.upstream import Answer, EventRecorder, reply, serve, stream
from tests.common import run
from tests.gateway.broken import BROKEN, AnsweringHost, make_broken
from tests.gateway.common import wait_until
from tests.gateway.endless import MAX_SENT_BYTES, OK, REPORTS, EndlessServer

BODY = msgspec.json.encode({"messages": [{"role": "user", "content": "?"}]})
FINISH = b'data: {"choices": [{"text": "", "finish_reason": "stop"}]}\n\n'
DONE = b"data: [DONE]\n\n"
DEEP = b"[" * 20_000
HUGE = b"4" * 400
HUGE_USAGE = b'data: {"usage": {"prompt_tokens": %s}}\n\n' % HUGE
STATE = {
    "role": "decode",
    "model": "m",
    "version": "1",
    "adapters": [],
    "changing": False,
    "incarnation": "1",
    "fencing": 1,
    "max_batch": 8,
    "prefill_tokens_per_second": 1.0,
    "decode_seconds_per_token": 1.0,
}


def make_offer(**more: object) -> Offer:
    work = Work("r", "team", "pool", CHAT, BODY, "m", max_tokens=9)
    return Offer(work, 1, 30.0, **more)


def make_event(text: str) -> bytes:
    return b"data: " + msgspec.json.encode({"choices": [{"text": text}]}) + b"\n\n"


async def run_work(url: str, offer: Offer) -> EventRecorder:
    recorder = EventRecorder()
    client = Engine("agent-0", url, recorder.record)
    client.run(offer)
    await recorder.wait_end()
    await client.close()
    return recorder


def run_against(answer: Answer, **more: object) -> EventRecorder:
    """Run work at an engine with a scripted answer."""

    async def check() -> EventRecorder:
        async with serve(answer) as url:
            return await run_work(url, make_offer(**more))

    return run(check())


def test_parts_contain_whole_characters() -> None:
    # Guards against broken characters where an answer is cut. The network may split a
    # character's bytes, but the agent reports only whole characters.
    data = b"".join(map(make_event, ["aé", "字", "🪡", "né"])) + FINISH + DONE
    recorder = run_against(stream(*[data[n : n + 1] for n in range(len(data))]))
    assert [part.decode() for part in recorder.parts] == ["aé", "字", "🪡", "né"]
    assert recorder.events[-1].finish_reason == "stop"


@settings(max_examples=100)
@given(texts=st.lists(st.text(st.characters(codec="utf-8"), max_size=4), max_size=5))
def test_any_text_can_be_continued_after_any_part(texts: list[str]) -> None:
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
        contents = [m["content"] for m in body["messages"][1:]]
        assert contents == (["".join(texts[:count])] if done else [])


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
        (stream(make_event("a"), b'data: {"new": ' + DEEP + b"\n\n"), Ran.UNKNOWN),
        (stream(make_event("a"), HUGE_USAGE, FINISH, DONE), Ran.UNKNOWN),
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
        "deep",
        "huge count",
        "not started",
        "away",
        "broken",
        "busy",
        "not loaded",
    ],
)
def test_end_of_stream_is_reported(answer: Answer, end: object) -> None:
    last = run_against(answer).events[-1]
    if isinstance(end, type):
        assert isinstance(last, end)
    else:
        assert isinstance(last, events.Failed) and last.ran == end


# Guards against an answer that reaches the caller though it is none in the protocol.
@pytest.mark.parametrize("name", BROKEN)
def test_outcome_of_work_with_a_broken_answer_is_unknown(name: str) -> None:
    async def check() -> EventRecorder:
        host = AnsweringHost("engine", make_broken(make_event("a") + FINISH)[name])
        return await run_work(f"http://{host.listen()}", make_offer())

    last = run(check()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b'{"error": {"message": "prompt too long"}}', "prompt too long"),
        (b"rubbish", "the engine refused the request"),
        (b'{"error": "text"}', "the engine refused the request"),
        (b'{"error": ' + DEEP, "the engine refused the request"),
    ],
)
def test_refusal_of_the_request_is_reported_as_its_answer(
    body: bytes, message: str
) -> None:
    last = run_against(reply(400, body)).events[-1]
    assert isinstance(last, events.Completed)
    assert (last.status, last.finish_reason) == (400, message)


def test_work_for_unreachable_engine_did_not_run() -> None:
    async def check() -> EventRecorder:
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
def test_work_that_cannot_be_continued_fails(
    kind: str, body: bytes, done: bytes
) -> None:
    # The failure must be reported immediately. An exception would end the task without
    # a report, and the request would occupy its slot until its deadline.
    async def check() -> EventRecorder:
        work = Work("r", "team", "pool", kind, body, "m", max_tokens=9)
        async with serve(reply(200, b"")) as url:
            return await run_work(url, Offer(work, 1, 30.0, done=done))

    last = run(check()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.NO


def test_body_requests_only_the_rest() -> None:
    work = Work("r", "t", "pool", COMPLETION, b'{"prompt": "p", "n": 1}', max_tokens=9)
    offer = Offer(work, 2, 30.0, done="né".encode(), tokens_done=2)
    body = make_engine_body(offer, "handle")
    assert (body["prompt"], body["continue_from"], body["max_tokens"]) == ("pné", 2, 7)
    assert body["kv_transfer_params"] == {"handle": "handle"}
    body = make_engine_body(offer._replace(stage=PREFILL), None)
    assert body["max_tokens"] == 1
    assert body["kv_transfer_params"] == {"export": True}


def test_unresponsive_kv_source_does_not_block_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The host with the KV cache accepts the connection but never answers. The engine
    # must prefill the prompt itself after the time-out.
    monkeypatch.setattr(engine, "KV_TIMEOUT", aiohttp.ClientTimeout(total=0.1))

    async def hang(request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(30.0)
        return web.Response()

    async def check() -> EventRecorder:
        async with serve(hang) as kv_url, serve(stream(FINISH, DONE)) as url:
            return await run_work(url, make_offer(kv=KvRef("a", kv_url, "h", 1)))

    assert isinstance(run(check()).events[-1], events.Completed)


@pytest.mark.parametrize("pieces", [(), (make_event("a"),)], ids=["first", "next"])
def test_silent_stream_is_aborted(
    monkeypatch: pytest.MonkeyPatch, pieces: tuple[bytes, ...]
) -> None:
    # Guards against an answer that waits until its deadline although it could continue
    # at another host. The engine's connection goes silent before or after the first
    # token without an error, so the agent must detect it by a time-out.
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

    async def check() -> EventRecorder:
        recorder = EventRecorder()
        async with serve(answer) as url:
            client = Engine("agent-0", url, recorder.record)
            client.run(make_offer())
            while not any(isinstance(e, events.Failed) for e in recorder.events):
                await asyncio.sleep(0.01)
                client.abort_silent_streams(asyncio.get_running_loop().time())
            await client.close()
        return recorder

    recorder = run(asyncio.wait_for(check(), 20.0))
    assert len(recorder.parts) == len(pieces)
    assert recorder.events[-1].ran == Ran.UNKNOWN


# Guards against an agent that ends, or never reports an outcome: its engine answers
# with JSON that can't be decoded, or with a number that no message can carry.
@pytest.mark.parametrize(
    "body",
    [DEEP, b'{"new": ' + DEEP, b"[]", b"\xff", b'{"highest": %s}' % HUGE],
    ids=["deep", "deep field", "no object", "no text", "huge"],
)
def test_invalid_answers_of_the_engine_are_faults(body: bytes) -> None:
    async def check() -> None:
        recorder = EventRecorder()
        async with serve(reply(200, body)) as url:
            client = Engine("agent-0", url, recorder.record)
            assert (await client.read_state()).is_error()
            assert (await client.order({})).is_error()
            client.export("r", 1)
            end = await recorder.wait_end()
            await client.close()
        assert end == events.Exported("r", 1, None)

    run(check())


@pytest.mark.parametrize("field", ["fencing", "max_batch"])
def test_state_out_of_range_is_a_fault(field: str) -> None:
    async def read(state: dict[str, object]) -> bool:
        body = json.dumps(state).encode()
        async with serve(reply(200, body)) as url:
            client = Engine("agent-0", url, EventRecorder().record)
            read = await client.read_state()
            await client.close()
            return read.is_ok()

    assert run(read(STATE))
    assert not run(read({**STATE, field: 10**399}))


# Guards against an agent whose memory its engine's answer fills.
@pytest.mark.parametrize("name", REPORTS)
def test_endless_answers_of_the_engine_are_closed(name: str) -> None:
    async def check() -> None:
        server = EndlessServer(*REPORTS[name])
        recorder = EventRecorder()
        client = Engine("agent-0", f"http://{await server.listen()}", recorder.record)
        assert (await client.read_state()).is_error()
        assert (await client.order({})).is_error()
        client.export("r", 1)
        assert await recorder.wait_end() == events.Exported("r", 1, None)
        await client.close()
        await wait_until(lambda: server.closed == server.asked == 3)
        assert server.sent < MAX_SENT_BYTES

    run(check())


@pytest.mark.parametrize("name", ["header", "interim answers", "chunk size", "events"])
def test_endless_stream_of_the_engine_is_closed(name: str) -> None:
    async def check() -> None:
        answers = {**REPORTS, "events": (OK + b"\r\n", make_event("x" * 1_000))}
        server = EndlessServer(*answers[name])
        recorder = await run_work(f"http://{await server.listen()}", make_offer())
        assert isinstance(recorder.events[-1], events.Failed)
        await wait_until(lambda: server.closed == server.asked == 1)
        assert server.sent < MAX_SENT_BYTES

    run(check())
