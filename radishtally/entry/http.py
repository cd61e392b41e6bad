"""Serve callers over HTTP."""

import asyncio
import math
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import msgspec
from eliot import log_message
from sanic import Request, Sanic
from sanic.exceptions import RequestCancelled, RequestTimeout, SanicException
from sanic.response import BaseHTTPResponse, HTTPResponse, raw

from radishtally.entry.callers import (
    MAX_TIMEOUT_SECONDS,
    Caller,
    Directory,
    Envelope,
    TokenRatio,
    make_call,
    make_generation,
    read_envelope,
)
from radishtally.entry.openai import (
    Answer,
    Generation,
    format_end,
    format_event,
    format_part,
    format_refusal,
    format_whole,
    parse_generation,
)
from radishtally.links.messages import CHAT, COMPLETION, Finished, Work
from radishtally.outcome import Error, Ran, Refusal, Result
from radishtally.serving.events import AbortAnswer, Deliver, Finish, FullReply, Refuse
from radishtally.serving.replies import Reply

MAX_REQUEST_BYTES: Final = 16 * 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024
CALLER_SECONDS: Final = 20.0
KEEP_ALIVE_SECONDS: Final = 75
SERVICE_METHODS: Final = ("GET", "POST", "PUT", "PATCH", "DELETE")
CODE_INTERNAL: Final = "internal_error"
NOT_READY: Final = Refusal(
    503, "not_ready", "no configuration is in force yet", Ran.NO, retry_after=1.0
)
STOPPING: Final = Refusal(
    503, "stopping", "this entry is stopping", Ran.NO, retry_after=1.0
)


Learn = Callable[[Finished], None]
"""Take from a whole answer what it tells of its prompt's tokens."""


class Front(Protocol):
    """Be what the HTTP side needs of the entry."""

    directory: Directory | None
    ratio: TokenRatio

    def open(self, work: Work, timeout: float, streamed: bool) -> asyncio.Queue[Reply]:
        """Bring a request in."""

    def close(self, request: str, done: bool) -> None:
        """Say that its caller has its answer, or is gone."""

    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests here."""

    def is_closed(self) -> bool:
        """Tell whether new requests are refused, as the process stops."""


class BoundedRequest(Request):
    """Bound the time in which a caller sends the body of its request."""

    async def receive_body(self) -> None:
        """Receive the whole body, or refuse the request."""
        # Failure: a caller sends its body a few bytes at a time, or stops. Symptom:
        # sanic bounds the silence before a request, not within a body, so connections
        # and memory are held for an hour. One bound on the whole body ends it.
        try:
            async with asyncio.timeout(self.app.config.CALLER_SECONDS):
                await super().receive_body()
        except TimeoutError:
            # The rest would be waited for once more before the connection is closed.
            self.stream.request_body = None
            self.stream.keep_alive = False
            raise RequestTimeout("the request's body did not arrive in time") from None


def make_app(front: Front, host: str, caller_seconds: float = CALLER_SECONDS) -> Sanic:
    """Make the application that callers reach."""
    app = Sanic(
        f"radishtally-{host}",
        configure_logging=False,
        env_prefix="RADISH_",
        request_class=BoundedRequest,
    )
    app.config.CALLER_SECONDS = caller_seconds
    app.config.REQUEST_TIMEOUT = caller_seconds
    app.config.RESPONSE_TIMEOUT = MAX_TIMEOUT_SECONDS + caller_seconds
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_SECONDS
    app.config.REQUEST_MAX_SIZE = MAX_REQUEST_BYTES
    app.config.REQUEST_MAX_HEADER_SIZE = MAX_HEADER_BYTES
    app.config.GRACEFUL_SHUTDOWN_TIMEOUT = 1.0
    app.config.ACCESS_LOG = False
    app.config.FALLBACK_ERROR_FORMAT = "json"
    app.ctx.front = front
    app.error_handler.add(SanicException, _answer_bad_http)
    app.error_handler.add(Exception, _answer_broken)
    app.add_route(_live, "/healthz")
    app.add_route(_ready, "/readyz")
    app.add_route(_models, "/v1/models")
    app.add_route(_model, "/v1/models/<name:str>")
    app.add_route(_chat, "/v1/chat/completions", methods=["POST"])
    app.add_route(_completion, "/v1/completions", methods=["POST"])
    app.add_route(
        _service, "/services/<service:str>/<path:path>", methods=SERVICE_METHODS
    )
    return app


def respond_refusal(refusal: Refusal) -> HTTPResponse:
    """Answer with a refusal."""
    headers = {"X-Ran": refusal.ran}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
    return respond_json(format_refusal(refusal), refusal.status, headers)


def respond_json(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> HTTPResponse:
    """Answer with JSON."""
    return raw(
        msgspec.json.encode(value),
        status=status,
        headers=headers or {},
        content_type="application/json",
    )


async def _answer_bad_http(request: Request, error: SanicException) -> HTTPResponse:
    status = error.status_code or 500
    if status < 500:
        return respond_refusal(Refusal(status, "invalid_request", str(error)))
    return respond_refusal(Refusal(status, CODE_INTERNAL, str(error), Ran.UNKNOWN))


async def _answer_broken(request: Request, error: Exception) -> HTTPResponse:
    # The error's text may hold what the caller sent, so it stays out of the log.
    where = traceback.extract_tb(error.__traceback__)[-1]
    kind = type(error).__name__
    log_message("http:broken", error=kind, file=where.filename, line=where.lineno)
    text = "the entry failed in an unforeseen way"
    return respond_refusal(Refusal(500, CODE_INTERNAL, text, Ran.UNKNOWN))


async def _live(request: Request) -> HTTPResponse:
    return respond_json({"alive": True})


async def _ready(request: Request) -> HTTPResponse:
    ready = request.app.ctx.front.is_ready()
    return respond_json({"ready": ready}, 200 if ready else 503)


def _admit(request: Request) -> Result[tuple[Caller, Envelope], Refusal]:
    front: Front = request.app.ctx.front
    if front.is_closed():
        return Error(STOPPING)
    if front.directory is None:
        return Error(NOT_READY)
    caller = front.directory.find_caller(request.headers)
    if caller.is_error():
        return caller
    policy = front.directory.configuration.policy
    if len(request.body) > policy.max_body_bytes:
        text = f"the body is over {policy.max_body_bytes} bytes"
        return Error(Refusal(413, "body_too_large", text))
    envelope = read_envelope(request.headers, policy.deadline_seconds)
    return envelope.map(lambda read: (caller.ok, read))


async def _models(request: Request) -> HTTPResponse:
    admitted = _admit(request)
    if admitted.is_error():
        return respond_refusal(admitted.error)
    models = _list_models(request.app.ctx.front.directory)
    return respond_json({"object": "list", "data": models})


async def _model(request: Request, name: str) -> HTTPResponse:
    admitted = _admit(request)
    if admitted.is_error():
        return respond_refusal(admitted.error)
    for model in _list_models(request.app.ctx.front.directory):
        if model["id"] == name:
            return respond_json(model)
    return respond_refusal(Refusal(404, "model_not_found", f"no model {name!r}"))


def _list_models(directory: Directory) -> list[dict[str, object]]:
    names = []
    for name, model in directory.configuration.models.items():
        names += [name, *model.adapters]
    return [
        {"id": name, "object": "model", "created": 0, "owned_by": "radishtally"}
        for name in names
    ]


async def _chat(request: Request) -> HTTPResponse | None:
    return await _generate(request, CHAT)


async def _completion(request: Request) -> HTTPResponse | None:
    return await _generate(request, COMPLETION)


async def _generate(request: Request, kind: str) -> HTTPResponse | None:
    admitted = _admit(request)
    if admitted.is_error():
        return respond_refusal(admitted.error)
    caller, envelope = admitted.ok
    parsed = parse_generation(request.body, kind)
    if parsed.is_error():
        return respond_refusal(parsed.error)
    front: Front = request.app.ctx.front
    generation = parsed.ok
    made = make_generation(
        caller, generation, request.body, envelope, front.directory, front.ratio
    )
    if made.is_error():
        return respond_refusal(made.error)
    work = made.ok
    answer = Answer(work.request, kind, generation.model, int(time.time()))

    def learn(end: Finished) -> None:
        front.ratio.learn(work.model, len(generation.text), end.prompt_tokens)

    async def give(parts: asyncio.Queue[Reply]) -> HTTPResponse | None:
        if generation.streamed:
            return await _stream(request, answer, generation, parts, learn)
        return await _wait_whole(answer, parts, learn)

    return await _follow(front, work, envelope, generation.streamed, give)


async def _service(request: Request, service: str, path: str) -> HTTPResponse | None:
    admitted = _admit(request)
    if admitted.is_error():
        return respond_refusal(admitted.error)
    caller, envelope = admitted.ok
    front: Front = request.app.ctx.front
    full = f"/{path}?{request.query_string}" if request.query_string else f"/{path}"
    made = make_call(
        caller,
        service,
        request.method,
        full,
        request.headers,
        request.body,
        envelope,
        front.directory,
    )
    if made.is_error():
        return respond_refusal(made.error)
    return await _follow(front, made.ok, envelope, False, _wait_call)


async def _follow(
    front: Front,
    work: Work,
    envelope: Envelope,
    streamed: bool,
    give: Callable[[asyncio.Queue[Reply]], Awaitable[HTTPResponse | None]],
) -> HTTPResponse | None:
    """Bring work in and give its answer; a caller that goes is noticed."""
    parts = front.open(work, envelope.timeout, streamed)
    done = False
    try:
        response = await give(parts)
        done = True
        if response is not None:
            response.headers["X-Request-Id"] = work.request
        return response
    finally:
        front.close(work.request, done)


async def _wait_whole(
    answer: Answer, parts: asyncio.Queue[FullReply], learn: Learn
) -> HTTPResponse:
    end = await parts.get()
    if isinstance(end, Refuse):
        return respond_refusal(end.refusal)
    if end.end.status != 200:
        return respond_engine_refusal(end.end)
    learn(end.end)
    body = format_whole(answer, end.body, end.end)
    return raw(body, content_type="application/json")


async def _wait_call(parts: asyncio.Queue[FullReply]) -> HTTPResponse:
    end = await parts.get()
    if isinstance(end, Refuse):
        return respond_refusal(end.refusal)
    headers = dict(end.end.headers)
    kind = next((v for k, v in headers.items() if k.lower() == "content-type"), None)
    return raw(end.body, status=end.end.status, headers=headers, content_type=kind)


async def _stream(
    request: Request,
    answer: Answer,
    generation: Generation,
    parts: asyncio.Queue[Reply],
    learn: Learn,
) -> HTTPResponse | None:
    """Stream an answer; what is cut short ends with an error and without [DONE]."""
    part = await parts.get()
    if isinstance(part, Refuse):
        return respond_refusal(part.refusal)
    if isinstance(part, Finish) and part.end.status != 200:
        return respond_engine_refusal(part.end)
    headers = {"Cache-Control": "no-cache", "X-Request-Id": answer.request}
    response = await request.respond(
        content_type="text/event-stream; charset=utf-8", headers=headers
    )
    decoder = TextJoiner()
    first = True
    while isinstance(part, Deliver):
        text = decoder.join(part.data)
        if text:
            await _send(request, response, format_part(answer, text, first))
            first = False
        part = await parts.get()
    if isinstance(part, AbortAnswer):
        last = format_event(format_refusal(part.refusal))
    else:
        learn(part.end)
        last = format_end(answer, part.end, generation.usage_wanted)
    await _send(request, response, last)
    await response.eof()
    return None


async def _send(request: Request, response: BaseHTTPResponse, data: bytes) -> None:
    """Send a part of a stream, or give up a caller that takes in nothing."""
    # Failure: the caller's connection has gone silent without an error. Symptom: the
    # send buffer is full for good, and the request stays open for an hour and holds up
    # a planned stop. A caller that still reads takes in a part much sooner.
    try:
        async with asyncio.timeout(request.app.config.CALLER_SECONDS):
            await response.send(data)
    except TimeoutError:
        request.transport.abort()
        raise RequestCancelled from None


class TextJoiner:
    """Hold back a character that is cut in two until its rest comes."""

    def __init__(self) -> None:
        self._rest = b""

    def join(self, data: bytes) -> str:
        """Give the text that is whole so far."""
        data = self._rest + data
        try:
            self._rest = b""
            return data.decode()
        except UnicodeDecodeError as error:
            self._rest = data[error.start :]
            return data[: error.start].decode()


def respond_engine_refusal(end: Finished) -> HTTPResponse:
    """Pass on what the engine found wrong with the request."""
    return respond_refusal(Refusal(end.status, "invalid_request", end.finish_reason))
