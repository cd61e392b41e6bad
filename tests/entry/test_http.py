"""Tests of the HTTP server: refusals, timeouts, streams and disconnects."""

import asyncio
import json

import pytest

from radishtally.entry.connections import MAX_HEADER_BYTES, MAX_REQUEST_BYTES
from radishtally.entry.http import Backend, Utf8StreamDecoder
from radishtally.outcome import Ran, Refusal
from tests.common import run
from tests.entry.http_backend import (
    CHAT_BODY,
    CHAT_PATH,
    KEY,
    Reply,
    Wire,
    format_request,
    serve,
)

CHUNKED = f"POST {CHAT_PATH} HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
LOST = Refusal(502, "upstream_lost", "the upstream is gone", Ran.UNKNOWN)
BUSY = Refusal(429, "overloaded", "no room", Ran.NO, 0.2)


def ask(*args: object, **more: object) -> Reply:
    """Send one request to a backend that answers `whole`."""

    async def ask_once() -> Reply:
        async with serve() as wire:
            wire.backend.whole = b"whole"
            reply = await wire.ask(*args, **more)
            if reply.status >= 400:
                assert wire.backend.works == [], "refused but dispatched"
            return reply

    return run(ask_once())


def change(**fields: object) -> dict:
    return {**CHAT_BODY, **fields}


BAD_BODIES = [
    b"",
    b"{",
    b"[]",
    b"null",
    b"\xff",
    b"[" * 100_000,
    b'{"model": "gown-llm", "messages": [{"role": "user", "content": "\xff"}]}',
    b'{"model": "gown-llm", "messages": [{"role": "user", "content": "\\ud800"}]}',
    {},
    change(model=3),
    change(messages=[]),
    change(messages="text"),
    change(messages=[{"content": "x"}]),
    change(messages=[{"role": "user", "content": 5}]),
    change(max_tokens=0),
    change(max_tokens=-1),
    change(max_tokens=1.5),
    change(max_tokens="4"),
    change(stream="yes"),
    change(stream_options={"include_usage": 5}),
    change(n=2),
    change(n=0),
    change(tools=[{"type": "function"}]),
    change(logprobs=True),
]

BAD_HEADERS = [
    b"Idempotency-Key: " + b"k" * 256,
    b"Idempotency-Key: \xff\xfe",
    b"Idempotency-Key: a\x01b",
    b"X-Request-Timeout: soon",
    b"X-Request-Timeout: 0",
    b"X-Request-Timeout: -1",
    b"X-Request-Timeout: nan",
    b"X-Request-Timeout: inf",
    b"X-Request-Timeout: 3601",
]

BAD_REQUESTS = [
    ("/nowhere", {}, "POST", KEY, 404, "invalid_request"),
    (CHAT_PATH, b"", "GET", KEY, 405, "invalid_request"),
    (CHAT_PATH, CHAT_BODY, "POST", "no-key", 401, "invalid_api_key"),
    (CHAT_PATH, CHAT_BODY, "POST", "", 401, "invalid_api_key"),
    (CHAT_PATH, CHAT_BODY, "POST", b"\xff\xfe", 401, "invalid_api_key"),
    (CHAT_PATH, CHAT_BODY, "POST", "lagna-operator-key", 401, "invalid_api_key"),
    (CHAT_PATH, change(model="no-model"), "POST", KEY, 404, "model_not_found"),
    ("/v1/completions", {"model": "gown-llm"}, "POST", KEY, 400, "invalid_request"),
    ("/v1/models/no-model", b"", "GET", KEY, 404, "model_not_found"),
    ("/v1/models", b"", "GET", "no-key", 401, "invalid_api_key"),
    ("/services/none/x", {}, "POST", KEY, 404, "service_not_found"),
    ("/services/gown-llm/x", {}, "POST", KEY, 404, "service_not_found"),
    ("/services/booking-app/../x", {}, "POST", KEY, 400, "invalid_request"),
    ("/services/booking-app/a/%2e%2E/x", {}, "POST", KEY, 400, "invalid_request"),
]


def check_refusal(reply: Reply, status: int, code: str) -> None:
    """Check that a refusal has the format that client libraries expect."""
    assert reply.status == status
    assert reply.headers["x-ran"] == "no"
    assert reply.error["code"] == code
    assert reply.error["ran"] == "no"
    assert reply.error["message"]
    assert reply.error["type"].endswith("_error")


@pytest.mark.parametrize("body", BAD_BODIES, ids=lambda body: str(body)[-40:])
def test_bad_body(body: object) -> None:
    check_refusal(ask(CHAT_PATH, body), 400, "invalid_request")


@pytest.mark.parametrize("header", BAD_HEADERS, ids=lambda header: str(header)[:40])
def test_bad_header(header: bytes) -> None:
    check_refusal(ask(headers=header + b"\r\n"), 400, "invalid_request")


@pytest.mark.parametrize(
    ("path", "body", "method", "key", "status", "code"), BAD_REQUESTS
)
def test_refusal(
    path: str, body: object, method: str, key: str | bytes, status: int, code: str
) -> None:
    check_refusal(ask(path, body, method=method, key=key), status, code)


def test_upstream_not_allowed_for_team() -> None:
    reply = ask("/services/booking-app/slots", {}, key="lagna-seamstress-key")
    check_refusal(reply, 403, "upstream_not_allowed")


def test_headers_are_copied_to_the_work() -> None:
    async def check() -> None:
        async with serve() as wire:
            wire.backend.whole = b"whole"
            headers = b"Idempotency-Key: k-1\r\nX-Request-Timeout: 2.5\r\n"
            reply = await wire.ask(headers=headers)
            assert reply.status == 200
            work = wire.backend.works[0]
            assert (work.team, work.key) == ("demo", "k-1")
            assert wire.backend.timeouts == [2.5]
            assert reply.headers["x-request-id"] == work.request
            assert wire.backend.closed == [True]

    run(check())


def test_oversized_body_by_policy() -> None:
    async def check() -> Reply:
        async with serve() as wire:
            policy = wire.backend.directory.configuration.policy
            return await wire.ask(body=b"x" * (policy.max_body_bytes + 1))

    check_refusal(run(check()), 413, "body_too_large")


def test_oversized_body_is_refused_before_it_is_sent() -> None:
    async def check() -> Reply:
        async with serve() as wire:
            head = f"POST {CHAT_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: "
            return await wire.send(f"{head}{MAX_REQUEST_BYTES + 1}\r\n\r\n".encode())

    check_refusal(run(check()), 413, "invalid_request")


def test_oversized_header() -> None:
    reply = ask(headers=b"X-Long: " + b"x" * MAX_HEADER_BYTES + b"\r\n")
    check_refusal(reply, 413, "invalid_request")


@pytest.mark.parametrize(
    "data",
    [
        b"garbage\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        CHUNKED + b"zz\r\n",
    ],
)
def test_malformed_http(data: bytes) -> None:
    async def check() -> Reply:
        async with serve() as wire:
            return await wire.send(data)

    check_refusal(run(check()), 400, "invalid_request")


@pytest.mark.parametrize(
    "sent",
    [
        f"POST {CHAT_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{{".encode(),
        f"POST {CHAT_PATH} HTTP/1.1\r\nHo".encode(),
    ],
    ids=["body", "header"],
)
def test_sender_that_stops_is_refused(sent: bytes) -> None:
    # A caller starts a request and then stops sending. After the timeout it gets a
    # refusal and is disconnected; otherwise its connection would stay for an hour.
    async def check() -> Reply:
        async with serve(caller_seconds=0.1) as wire:
            return await wire.send(sent)

    check_refusal(run(check()), 408, "invalid_request")


def test_slow_sender_is_refused() -> None:
    # A caller sends its body byte by byte, so that no idle timeout would expire. The
    # timeout covers the whole body, so the caller is refused before its last byte.
    async def check() -> bytes:
        async with serve(caller_seconds=0.2) as wire, asyncio.timeout(30):
            transport, collector = await wire.connect()
            head = f"POST {CHAT_PATH} HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"
            transport.write(head.encode())
            while not collector.closed.is_set():
                transport.write(b"x")
                await asyncio.sleep(0.02)
            return bytes(collector.received)

    assert run(check()).startswith(b"HTTP/1.1 408 ")


def test_no_configuration_yet() -> None:
    async def check() -> None:
        async with serve() as wire:
            wire.backend.directory = None
            check_refusal(await wire.ask(), 503, "not_ready")
            assert (await wire.ask("/readyz", b"", method="GET")).status == 503
            assert (await wire.ask("/healthz", b"", method="GET")).status == 200

    run(check())


def test_stopping_entry_refuses_new_requests() -> None:
    async def check() -> None:
        async with serve() as wire:
            wire.backend.stopping = True
            reply = await wire.ask()
            check_refusal(reply, 503, "stopping")
            assert reply.headers["retry-after"] == "1"
            assert (await wire.ask("/readyz", b"", method="GET")).status == 503

    run(check())


def test_refusal_in_place_of_an_answer() -> None:
    async def check(streamed: bool) -> None:
        async with serve() as wire:
            wire.backend.parts = [BUSY]
            reply = await wire.ask(body=change(stream=streamed))
            check_refusal(reply, 429, "overloaded")
            assert reply.headers["retry-after"] == "1"
            assert reply.error["retry_after"] == 0.2

    run(check(False))
    run(check(True))


def test_internal_error_is_not_reported_as_not_run() -> None:
    # The entry's code raises while it dispatches a request. How far the request got
    # is unknown, so the refusal must not say "not run", and neither the caller nor
    # the log may get the text of the exception.
    async def check() -> Reply:
        async with serve() as wire:
            wire.backend.broken = True
            return await wire.ask()

    reply = run(check())
    assert (reply.status, reply.headers["x-ran"]) == (500, "unknown")
    assert b"prompt" not in reply.body


def read_events(reply: Reply) -> list[str]:
    parts = reply.body.decode().split("\n\n")
    assert parts.pop() == ""
    return [part.removeprefix("data: ") for part in parts]


def read_text(events: list[str]) -> str:
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events]
    return "".join(delta.get("content", "") for delta in deltas)


def test_stream() -> None:
    async def check() -> Reply:
        async with serve() as wire:
            text = "Ärmel 刺繍".encode()
            wire.backend.parts = [text[:1], text[1:8], text[8:10], text[10:]]
            wire.backend.whole = text
            return await wire.ask(body=change(stream=True))

    reply = run(check())
    assert reply.headers["content-type"].startswith("text/event-stream")
    *events, done = read_events(reply)
    assert done == "[DONE]"
    assert read_text(events) == "Ärmel 刺繍"
    assert json.loads(events[-1])["choices"][0]["finish_reason"] == "stop"
    assert json.loads(events[0])["choices"][0]["delta"]["role"] == "assistant"


def test_stream_with_usage() -> None:
    async def check() -> Reply:
        async with serve() as wire:
            wire.backend.whole = b"x"
            body = change(stream=True, stream_options={"include_usage": True})
            return await wire.ask(body=body)

    *_, usage, done = read_events(run(check()))
    assert done == "[DONE]"
    counts = json.loads(usage)["usage"]
    assert counts == {"prompt_tokens": 3, "completion_tokens": 4, "total_tokens": 7}


@pytest.mark.parametrize("streamed", [False, True])
@pytest.mark.parametrize("model", ["gown-llm", "fabric-tag"])
def test_complete_answers_update_the_token_ratio_of_their_model(
    streamed: bool, model: str
) -> None:
    # Long prompts are admitted by an estimate. It is updated for the model, also when
    # an adapter was requested, by streams as well as by answers in one piece.
    async def check() -> dict[str, float]:
        async with serve() as wire:
            wire.backend.whole = b"x"
            await wire.ask(body=change(stream=streamed, model=model))
            return wire.backend.ratio.by_model

    characters = len(CHAT_BODY["messages"][0]["content"])
    assert run(check()) == {"gown-llm": pytest.approx(3 / characters)}


def test_aborted_stream_does_not_look_complete() -> None:
    # The upstream is lost after half of the answer was sent, and no host continues it.
    # The stream ends with an error, without a finish reason and without [DONE], so
    # that no client library treats the half as a complete answer.
    async def check() -> Reply:
        async with serve() as wire:
            wire.backend.parts = [b"half of", LOST]
            return await wire.ask(body=change(stream=True))

    *events, last = read_events(run(check()))
    assert read_text(events) == "half of"
    assert all(not json.loads(e)["choices"][0]["finish_reason"] for e in events)
    assert json.loads(last)["error"]["code"] == "upstream_lost"
    assert json.loads(last)["error"]["ran"] == "unknown"


def test_engine_refusal_is_passed_on() -> None:
    async def check(streamed: bool) -> None:
        async with serve() as wire:
            wire.backend.whole = b"x"
            wire.backend.status = 400
            reply = await wire.ask(body=change(stream=streamed))
            check_refusal(reply, 400, "invalid_request")

    run(check(False))
    run(check(True))


def test_disconnected_caller_ends_its_request() -> None:
    # A caller disconnects while it waits for its answer. The backend must learn that
    # the request was not answered, so that the work can be cancelled.
    async def check() -> None:
        async with serve() as wire:
            await disconnect_early(wire)
            async with asyncio.timeout(30):
                await wire.backend.was_closed.wait()
            assert wire.backend.closed == [False]

    async def disconnect_early(wire: Wire) -> None:
        _, writer = await asyncio.open_connection(wire.ip, wire.port)
        body = json.dumps(CHAT_BODY).encode()
        head = f"POST {CHAT_PATH} HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        while not wire.backend.works:
            await asyncio.sleep(0.01)
        writer.close()

    run(check())


def test_caller_that_stops_reading_is_disconnected() -> None:
    # A caller requests a stream and then reads nothing, as if its connection had gone
    # silent. The buffers fill up. After the timeout the entry closes the connection
    # and cancels the work instead of waiting for an hour.
    async def check() -> list[bool]:
        async with serve(caller_seconds=0.1) as wire, asyncio.timeout(30):
            wire.backend.parts = [b"x" * 1_000_000] * 100
            wire.backend.whole = b"x"
            transport, _ = await wire.connect()
            transport.pause_reading()
            body = change(stream=True)
            transport.write(format_request(CHAT_PATH, body, "POST", KEY, b""))
            await wire.backend.was_closed.wait()
            transport.abort()
            return wire.backend.closed

    assert run(check()) == [False]


def test_decoder_keeps_incomplete_characters() -> None:
    decoder = Utf8StreamDecoder()
    data = "a刺b".encode()
    assert "".join(decoder.decode(data[i : i + 1]) for i in range(len(data))) == "a刺b"


def test_fake_backend_implements_the_protocol() -> None:
    async def check() -> Backend:
        async with serve() as wire:
            return wire.backend

    names = [name for name in vars(Backend) if not name.startswith("_")]
    backend = run(check())
    assert all(hasattr(backend, name) for name in names)
