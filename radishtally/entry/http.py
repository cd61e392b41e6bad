"""Serve the HTTP API for callers."""

import asyncio
import math
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import msgspec
from eliot import log_message
from sanic import Request, Sanic
from sanic.exceptions import RequestCancelled, SanicException
from sanic.response import BaseHTTPResponse, HTTPResponse, raw

from radishtally.entry.callers import (
    MAX_TIMEOUT_SECONDS,
    Caller,
    Directory,
    RequestOptions,
    TokenRatio,
    make_call_work,
    make_generation_work,
    read_options,
)
from radishtally.entry.connections import (
    BodyRefused,
    BoundedRequest,
    bound_requests,
)
from radishtally.entry.openai import (
    AnswerMetadata,
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
from radishtally.serving.events import (
    AbortAnswer,
    Deliver,
    FullReply,
    Refuse,
    SendFullAnswer,
)
from radishtally.serving.replies import Reply
from radishtally.settings.config import DEFAULT_MEMORY_MB

CALLER_TIMEOUT_SECONDS: Final = 20.0
KEEP_ALIVE_SECONDS: Final = 75
SERVICE_METHODS: Final = ("GET", "POST", "PUT", "PATCH", "DELETE")
CODE_INTERNAL: Final = "internal_error"
NOT_READY: Final = Refusal(
    503, "not_ready", "no configuration is in force yet", Ran.NO, retry_after=1.0
)
STOPPING: Final = Refusal(
    503, "stopping", "this entry is stopping", Ran.NO, retry_after=1.0
)


RecordTokenCount = Callable[[Finished], None]
"""Record the token count of a prompt from its complete answer."""


class Backend(Protocol):
    """Provide the functions of the entry that the HTTP server uses."""

    directory: Directory | None
    ratio: TokenRatio

    def open(self, work: Work, timeout: float, streamed: bool) -> asyncio.Queue[Reply]:
        """Dispatch a request and return the queue of its replies."""

    def close(self, request: str, done: bool) -> None:
        """End a request: its caller has the answer or has disconnected."""

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""

    def is_closed(self) -> bool:
        """Return whether new requests are refused because the process is stopping."""


def make_app(
    backend: Backend,
    host: str,
    caller_seconds: float = CALLER_TIMEOUT_SECONDS,
    memory_mb: float = DEFAULT_MEMORY_MB,
) -> Sanic:
    """Create the sanic application with the callers' routes."""
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
    app.config.GRACEFUL_SHUTDOWN_TIMEOUT = 1.0
    app.config.ACCESS_LOG = False
    app.config.FALLBACK_ERROR_FORMAT = "json"
    bound_requests(app, memory_mb)
    app.ctx.backend = backend
    app.error_handler.add(BodyRefused, _respond_body_refused)
    app.error_handler.add(SanicException, _respond_sanic_error)
    app.error_handler.add(Exception, _respond_internal_error)
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
    """Return the response for a refusal."""
    headers = {"X-Ran": refusal.ran}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
    return respond_json(format_refusal(refusal), refusal.status, headers)


def respond_json(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> HTTPResponse:
    """Return a JSON response."""
    return raw(
        msgspec.json.encode(value),
        status=status,
        headers=headers or {},
        content_type="application/json",
    )


async def _respond_sanic_error(request: Request, error: SanicException) -> HTTPResponse:
    status = error.status_code or 500
    if status < 500:
        return respond_refusal(Refusal(status, "invalid_request", str(error)))
    return respond_refusal(Refusal(status, CODE_INTERNAL, str(error), Ran.UNKNOWN))


async def _respond_body_refused(request: Request, error: BodyRefused) -> HTTPResponse:
    return respond_refusal(error.refusal)


async def _respond_internal_error(request: Request, error: Exception) -> HTTPResponse:
    # The error's text may contain the caller's data, so it is not logged.
    where = traceback.extract_tb(error.__traceback__)[-1]
    kind = type(error).__name__
    log_message("http:broken", error=kind, file=where.filename, line=where.lineno)
    text = "the entry failed with an internal error"
    return respond_refusal(Refusal(500, CODE_INTERNAL, text, Ran.UNKNOWN))


async def _live(request: Request) -> HTTPResponse:
    return respond_json({"alive": True})


async def _ready(request: Request) -> HTTPResponse:
    ready = request.app.ctx.backend.is_ready()
    return respond_json({"ready": ready}, 200 if ready else 503)


def _admit(request: Request) -> Result[tuple[Caller, RequestOptions], Refusal]:
    backend: Backend = request.app.ctx.backend
    if backend.is_closed():
        return Error(STOPPING)
    if backend.directory is None:
        return Error(NOT_READY)
    caller = backend.directory.find_caller(request.headers)
    if caller.is_error():
        return caller
    policy = backend.directory.configuration.policy
    if len(request.body) > policy.max_body_bytes:
        text = f"the body is over {policy.max_body_bytes} bytes"
        return Error(Refusal(413, "body_too_large", text))
    options = read_options(request.headers, policy.deadline_seconds)
    return options.map(lambda read: (caller.ok, read))


async def _models(request: Request) -> HTTPResponse:
    admitted = _admit(request)
    if admitted.is_error():
        return respond_refusal(admitted.error)
    models = _list_models(request.app.ctx.backend.directory)
    return respond_json({"object": "list", "data": models})


async def _model(request: Request, name: str) -> HTTPResponse:
    admitted = _admit(request)
    if admitted.is_error():
        return respond_refusal(admitted.error)
    for model in _list_models(request.app.ctx.backend.directory):
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
    caller, options = admitted.ok
    parsed = parse_generation(request.body, kind)
    if parsed.is_error():
        return respond_refusal(parsed.error)
    backend: Backend = request.app.ctx.backend
    generation = parsed.ok
    made = make_generation_work(
        caller, generation, request.body, options, backend.directory, backend.ratio
    )
    if made.is_error():
        return respond_refusal(made.error)
    work = made.ok
    answer = AnswerMetadata(work.request, kind, generation.model, int(time.time()))

    def record_tokens(end: Finished) -> None:
        backend.ratio.record_count(work.model, len(generation.text), end.prompt_tokens)

    async def respond(parts: asyncio.Queue[Reply]) -> HTTPResponse | None:
        if generation.streamed:
            return await _stream(request, answer, generation, parts, record_tokens)
        return await _respond_whole(answer, parts, record_tokens)

    return await _serve_work(backend, work, options, generation.streamed, respond)


async def _service(request: Request, service: str, path: str) -> HTTPResponse | None:
    admitted = _admit(request)
    if admitted.is_error():
        return respond_refusal(admitted.error)
    caller, options = admitted.ok
    backend: Backend = request.app.ctx.backend
    full = f"/{path}?{request.query_string}" if request.query_string else f"/{path}"
    made = make_call_work(
        caller,
        service,
        request.method,
        full,
        request.headers,
        request.body,
        options,
        backend.directory,
    )
    if made.is_error():
        return respond_refusal(made.error)
    return await _serve_work(backend, made.ok, options, False, _respond_call)


async def _serve_work(
    backend: Backend,
    work: Work,
    options: RequestOptions,
    streamed: bool,
    respond: Callable[[asyncio.Queue[Reply]], Awaitable[HTTPResponse | None]],
) -> HTTPResponse | None:
    """Dispatch work, send its answer and report whether it was sent completely."""
    parts = backend.open(work, options.timeout, streamed)
    done = False
    try:
        response = await respond(parts)
        done = True
        if response is not None:
            response.headers["X-Request-Id"] = work.request
        return response
    finally:
        backend.close(work.request, done)


async def _respond_whole(
    answer: AnswerMetadata,
    parts: asyncio.Queue[FullReply],
    record_tokens: RecordTokenCount,
) -> HTTPResponse:
    end = await parts.get()
    if isinstance(end, Refuse):
        return respond_refusal(end.refusal)
    if end.end.status != 200:
        return respond_engine_refusal(end.end)
    record_tokens(end.end)
    body = format_whole(answer, end.body, end.end)
    return raw(body, content_type="application/json")


async def _respond_call(parts: asyncio.Queue[FullReply]) -> HTTPResponse:
    end = await parts.get()
    if isinstance(end, Refuse):
        return respond_refusal(end.refusal)
    headers = dict(end.end.headers)
    kind = next((v for k, v in headers.items() if k.lower() == "content-type"), None)
    return raw(end.body, status=end.end.status, headers=headers, content_type=kind)


async def _stream(
    request: Request,
    answer: AnswerMetadata,
    generation: Generation,
    parts: asyncio.Queue[Reply],
    record_tokens: RecordTokenCount,
) -> HTTPResponse | None:
    """Stream an answer; an aborted one ends with an error and without [DONE]."""
    part = await parts.get()
    if isinstance(part, Refuse):
        return respond_refusal(part.refusal)
    if isinstance(part, SendFullAnswer) and part.end.status != 200:
        return respond_engine_refusal(part.end)
    headers = {"Cache-Control": "no-cache", "X-Request-Id": answer.request}
    response = await request.respond(
        content_type="text/event-stream; charset=utf-8", headers=headers
    )
    decoder = Utf8StreamDecoder()
    first = True
    while isinstance(part, Deliver):
        text = decoder.decode(part.data)
        if text:
            await _send(request, response, format_part(answer, text, first))
            first = False
        part = await parts.get()
    if isinstance(part, AbortAnswer):
        last = format_event(format_refusal(part.refusal))
    else:
        record_tokens(part.end)
        last = format_end(answer, part.end, generation.usage_wanted)
    await _send(request, response, last)
    await response.eof()
    return None


async def _send(request: Request, response: BaseHTTPResponse, data: bytes) -> None:
    """Send a part of a stream, or abort if the caller stops reading."""
    # If the caller's connection goes silent without an error, the send buffer stays
    # full, so the request would stay open for an hour and delay a planned stop. A
    # caller that still reads makes room for a part much sooner than the timeout.
    try:
        async with asyncio.timeout(request.app.config.CALLER_SECONDS):
            await response.send(data)
    except TimeoutError:
        request.transport.abort()
        raise RequestCancelled from None


class Utf8StreamDecoder:
    """Decode UTF-8 in pieces; an incomplete character waits for its other bytes."""

    def __init__(self) -> None:
        self._rest = b""

    def decode(self, data: bytes) -> str:
        """Return the text of all characters that are complete so far."""
        data = self._rest + data
        try:
            self._rest = b""
            return data.decode()
        except UnicodeDecodeError as error:
            self._rest = data[error.start :]
            return data[: error.start].decode()


def respond_engine_refusal(end: Finished) -> HTTPResponse:
    """Return the response for a request that the engine refused, with its reason."""
    return respond_refusal(Refusal(end.status, "invalid_request", end.finish_reason))
