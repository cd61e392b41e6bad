"""Serve callers over HTTP and forward the hosts' answers unchanged."""

import asyncio
import logging
import math
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final, Protocol

import msgspec
from aiohttp import web
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from eliot import log_message

from radishtally.containment import report_error
from radishtally.exchange import Headers, decode_headers
from radishtally.gateway.connections import Connections
from radishtally.gateway.const import (
    BAD_GATEWAY,
    CLOSE_SECONDS,
    CROWDED_CONNECTIONS,
    CROWDED_IDLE_SECONDS,
    DEFAULT_RETRY_AFTER,
    DRAIN_SECONDS,
    GATEWAY_TIMEOUT,
    IDLE_MARGIN_SECONDS,
    IDLE_SWEEP_SECONDS,
    MAX_DRAINED_BYTES,
    MAX_PROBE_CONNECTIONS,
    NOT_RUN_STATUSES,
    PIECE_BYTES,
    SLOW_READER_SECONDS,
    UNAUTHORIZED,
)
from radishtally.gateway.core import CallerDialect, CallerRequest
from radishtally.gateway.endings import Delivery, Ending
from radishtally.gateway.metrics import CONTENT_TYPE
from radishtally.gateway.overload import GuardedListener, OverloadDetector
from radishtally.gateway.requests import RoutedRequest
from radishtally.inbound.bodies import NO_ROOM, BodyReceiver, describe_excess
from radishtally.inbound.buffers import Buffers, Hold
from radishtally.inbound.const import FREE_BYTES
from radishtally.inbound.core import UnparsedBytes
from radishtally.inbound.http import BoundedServer
from radishtally.outcome import Error, Ok, Ran, Refusal, Result
from radishtally.routes.config import CallerLimits
from radishtally.serving.events import Begin, Deliver, EndStream, Refuse, SendFullAnswer
from radishtally.serving.replies import Reply
from radishtally.startup import LISTEN_BACKLOG, START_SECONDS, open_listener

LIBRARY_KEEPALIVE_SECONDS: Final = 86_400.0
"""Keep-alive timeout of the HTTP library, long enough that it never applies: idle
connections are closed here, since the library can't follow configuration changes."""
INVALID_BODY: Final = Refusal(
    400, "invalid_body", "the framing of the request's body is not valid"
)


class FrontendBackend(Protocol):
    """Define what the HTTP frontend needs from the gateway."""

    limits: CallerLimits | None

    def route(
        self, method: str, target: str, caller_request: CallerRequest, body: bytes
    ) -> Result[RoutedRequest, Refusal]:
        """Route a request, or return why it is refused."""

    def record_refusal(self, request: str, refusal: Refusal) -> None:
        """Log and count a request that was refused before it was opened."""

    def record_refused_connection(self) -> None:
        """Count a connection that was closed unread."""

    def open(self, routed: RoutedRequest) -> asyncio.Queue[Reply]:
        """Open a request; return the queue on which its answer arrives."""

    def close(self, request: str, delivery: Delivery) -> None:
        """Close a request whose caller has its answer or has disconnected."""

    def is_ready(self) -> bool:
        """Return whether the balancer should send requests here."""

    def render_metrics(self) -> bytes:
        """Render the metrics in the text format."""

    def is_stopping(self) -> bool:
        """Return whether connections should be closed after their answer."""


class HttpFrontend:
    """Serve callers, the balancer's readiness check and the metrics over HTTP."""

    def __init__(
        self,
        backend: FrontendBackend,
        dialect: CallerDialect,
        buffers: Buffers,
        unparsed: UnparsedBytes,
    ) -> None:
        self._backend = backend
        self._dialect = dialect
        self._buffers = buffers
        self._bodies = BodyReceiver(buffers)
        self._unparsed = unparsed
        self._large: dict[str, tuple[Delivery, asyncio.Transport]] = {}
        """Connections to which large answers are being sent."""
        self._detector: OverloadDetector | None = None
        self._listener: GuardedListener | None = None
        """Listening socket for callers."""
        self._runners: list[web.ServerRunner] = []
        self._server: web.Server | None = None
        self._connections = Connections(self._list_connections)
        self._sweeper: asyncio.Task[None] | None = None
        self._serving_metrics: asyncio.Task[None] | None = None
        """Waits for the address of the metrics."""

    async def start(
        self, address: str, ready_address: str, metrics_address: str
    ) -> None:
        """Start listening on all addresses."""
        logging.getLogger("aiohttp.server").addHandler(_EliotHandler())
        self._server = BoundedServer(
            self._handle,
            self._unparsed,
            find_head_limit=self._find_head_limit,
            handler_cancellation=True,
            keepalive_timeout=LIBRARY_KEEPALIVE_SECONDS,
        )
        await self._listen(self._make_server(self._answer_ready), ready_address)
        await self._listen_to_callers(address)
        self._sweeper = asyncio.create_task(self._sweep())
        metrics = self._make_server(self._answer_metrics)
        # Callers are served without metrics too.
        self._serving_metrics = asyncio.create_task(
            self._listen(metrics, metrics_address, float("inf"))
        )

    def is_lagging(self) -> bool:
        """Return whether this process is short of processor time."""
        return self._detector is not None and self._detector.is_lagging()

    @property
    def is_listening(self) -> bool:
        """Return whether callers can connect."""
        return self._sweeper is not None

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._serving_metrics.cancel()
        await self.stop_listening()
        for runner in self._runners:
            await runner.cleanup()

    async def stop_listening(self) -> None:
        """Stop accepting connections; open ones are kept."""
        if self._listener is not None:
            self._listener.stop()

    async def close_idle(self) -> int:
        """Close connections without a request; return how many remain in use."""
        return await self._connections.close_idle()

    def _make_server(
        self, handler: Callable[..., Awaitable[web.Response]]
    ) -> BoundedServer:
        return BoundedServer(
            handler, self._unparsed, max_connections=MAX_PROBE_CONNECTIONS
        )

    def _find_head_limit(self) -> int:
        limits = self._backend.limits
        return 0 if limits is None else limits.header_bytes

    def _list_connections(self) -> list[RequestHandler]:
        return [] if self._server is None else list(self._server.connections)

    async def _listen_to_callers(self, address: str) -> None:
        runner = _make_runner(self._server)
        await runner.setup()
        self._runners.append(runner)
        loop = asyncio.get_running_loop()
        self._detector = OverloadDetector(time.monotonic, loop.call_soon)
        self._listener = GuardedListener(
            self._server,
            self._detector,
            self._backend.record_refused_connection,
        )
        self._listener.start(await open_listener(address))

    async def _listen(
        self, server: web.Server, address: str, wait_seconds: float = START_SECONDS
    ) -> None:
        runner = _make_runner(server)
        await runner.setup()
        self._runners.append(runner)
        listener = await open_listener(address, wait_seconds)
        await web.SockSite(runner, listener, backlog=LISTEN_BACKLOG).start()

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        if request.path != self._dialect.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self._backend.is_ready() else 503)

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        headers = {"Content-Type": CONTENT_TYPE}
        return web.Response(body=self._backend.render_metrics(), headers=headers)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._detector.record_begun()
        with self._connections.track_request(request.protocol):
            try:
                return await self._answer(request)
            except ConnectionError:
                raise
            except Exception as error:
                # The HTTP library answers with 500, or closes a begun answer.
                report_error(error, "request", path=request.path)
                raise

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        hold = self._buffers.open()
        try:
            return await self._answer_within(request, hold)
        finally:
            self._buffers.close(hold)

    async def _answer_within(
        self, request: web.BaseRequest, hold: Hold
    ) -> web.StreamResponse:
        admitted = await self._admit(request, hold)
        if admitted.is_error():
            name = self._dialect.read_name(decode_headers(request.raw_headers))
            self._backend.record_refusal(name, admitted.error)
            # While the rest of a body is read, nothing of it is held.
            self._buffers.close(hold)
            return await self._refuse(request, admitted.error)
        routed = admitted.ok
        name = routed.work.request
        self._buffers.name(hold, name)
        parts = self._backend.open(routed)
        delivery = Delivery()
        try:
            return await self._deliver(request, parts, delivery)
        finally:
            self._backend.close(name, delivery)

    async def _admit(
        self, request: web.BaseRequest, hold: Hold
    ) -> Result[RoutedRequest, Refusal]:
        limits = self._backend.limits
        size = request.content_length or 0
        if limits is not None and size > limits.body_bytes:
            return Error(describe_excess(limits.body_bytes))
        head_size = sum(len(name) + len(value) for name, value in request.raw_headers)
        if not await self._bodies.reserve(hold, head_size + size):
            return Error(NO_ROOM)
        body = await self._read_body(request, hold)
        if body.is_error():
            return body
        target = request.raw_path
        parsed = self._dialect.read_request(target, decode_headers(request.raw_headers))
        if parsed.is_error():
            return parsed
        return self._backend.route(request.method, target, parsed.ok, body.ok)

    async def _read_body(
        self, request: web.BaseRequest, hold: Hold
    ) -> Result[bytes, Refusal]:
        limits = self._backend.limits
        if limits is None or not request.can_read_body:
            return Ok(b"")
        try:
            return await self._bodies.receive(
                request.content.iter_any(),
                hold,
                request.content_length is not None,
                limits.body_bytes,
                limits.idle_seconds,
            )
        except RequestPayloadError:
            return Error(INVALID_BODY)

    async def _deliver(
        self, request: web.BaseRequest, parts: asyncio.Queue[Reply], delivery: Delivery
    ) -> web.StreamResponse:
        part = await parts.get()
        if isinstance(part, Refuse):
            response = self._respond_refusal(part.refusal)
            delivery.ending, delivery.status = Ending.REFUSED, response.status
            return response
        if isinstance(part, SendFullAnswer):
            delivery.ending, delivery.status = Ending.WHOLE, part.end.status
            delivery.sent = len(part.body)
            if len(part.body) > FREE_BYTES:
                return await self._send_large(request, part, delivery)
            return self._respond_whole(part)
        if not isinstance(part, Begin):
            raise AssertionError(f"unexpected first part of an answer: {part!r}")
        return await self._stream(request, part, parts, delivery)

    async def _stream(
        self,
        request: web.BaseRequest,
        begin: Begin,
        parts: asyncio.Queue[Reply],
        delivery: Delivery,
    ) -> web.StreamResponse:
        response = web.StreamResponse(status=begin.status)
        delivery.status = begin.status
        _copy_headers(begin.headers, response)
        response.enable_chunked_encoding()
        self._end_keep_alive(response)
        await response.prepare(request)
        while True:
            part = await parts.get()
            if isinstance(part, Deliver):
                await response.write(part.data)
                delivery.sent += len(part.data)
                delivery.last_event = part.tokens
                continue
            if isinstance(part, EndStream):
                await response.write_eof()
                delivery.ending = Ending.STREAM_END
                return response
            delivery.ending = Ending.BROKEN_OFF
            # Only an aborted connection shows the caller that its answer is incomplete:
            # a final chunk would make it look complete.
            if request.transport is not None:
                request.transport.abort()
            return response

    def _respond_whole(self, part: SendFullAnswer) -> web.Response:
        response = web.Response(status=part.end.status, body=part.body)
        _copy_headers(part.end.headers, response)
        self._end_keep_alive(response)
        return response

    async def _send_large(
        self, request: web.BaseRequest, part: SendFullAnswer, delivery: Delivery
    ) -> web.StreamResponse:
        """Send an answer in pieces as its caller reads it."""
        response = web.StreamResponse(status=part.end.status)
        _copy_headers(part.end.headers, response)
        response.content_length = len(part.body)
        self._end_keep_alive(response)
        await response.prepare(request)
        body = part.body
        self._large[part.request] = delivery, request.transport
        try:
            for start in range(0, len(body), PIECE_BYTES):
                delivery.read_at = time.monotonic()
                # Each piece is a copy: the connection keeps the last ones after the
                # room for the answer has been given back, and a view of them would
                # keep the whole answer in memory.
                await response.write(body[start : start + PIECE_BYTES])
            await response.write_eof()
        finally:
            del self._large[part.request]
        return response

    def _cut_off_slow_readers(self) -> None:
        """Free what callers hold who read nothing."""
        oldest = time.monotonic() - SLOW_READER_SECONDS
        for name, (delivery, transport) in list(self._large.items()):
            if delivery.read_at < oldest:
                log_message("caller:cut_off", request=name, sent=delivery.sent)
                transport.abort()

    async def _refuse(
        self, request: web.BaseRequest, refusal: Refusal
    ) -> web.StreamResponse:
        """Send a refusal, and read a bounded part of the body that is still to come.

        Closing the connection at once would reset it, and the refusal could be lost.
        The HTTP library closes it if the body has not ended then.
        """
        response = self._respond_refusal(refusal)
        if request.content.is_eof():
            return response
        await response.prepare(request)
        await response.write_eof()
        drained = 0
        with suppress(TimeoutError, RequestPayloadError):
            async with asyncio.timeout(DRAIN_SECONDS):
                async for data in request.content.iter_any():
                    drained += len(data)
                    if drained > MAX_DRAINED_BYTES:
                        break
        return response

    def _respond_refusal(self, refusal: Refusal) -> web.Response:
        status = _find_status(refusal)
        headers = {"X-Ran": refusal.ran}
        if status in NOT_RUN_STATUSES:
            wait = refusal.retry_after or DEFAULT_RETRY_AFTER
            headers["Retry-After"] = f"{math.ceil(wait * 1000) / 1000:g}"
        if status == UNAUTHORIZED:
            headers["WWW-Authenticate"] = "Bearer"
        body = msgspec.json.encode(
            {"error": {"code": refusal.code, "message": refusal.message}}
        )
        response = web.Response(
            status=status, body=body, headers=headers, content_type="application/json"
        )
        self._end_keep_alive(response)
        return response

    def _end_keep_alive(self, response: web.StreamResponse) -> None:
        """Ask the caller to close the connection if this gateway is stopping."""
        if self._backend.is_stopping():
            response.force_close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(IDLE_SWEEP_SECONDS)
            if self._buffers.is_short:
                self._cut_off_slow_readers()
                self._bodies.cut_off_slow()
            limits = self._backend.limits
            if limits is not None:
                longest = limits.idle_seconds + IDLE_MARGIN_SECONDS
                if len(self._list_connections()) > CROWDED_CONNECTIONS:
                    longest = CROWDED_IDLE_SECONDS
                await self._connections.close_long_idle(longest)


def _make_runner(server: web.Server) -> web.ServerRunner:
    # The HTTP library would wait without a limit if the timeout were 0.
    return web.ServerRunner(server, shutdown_timeout=CLOSE_SECONDS)


def _find_status(refusal: Refusal) -> int:
    """Return a status that does not promise more than is known about the request.

    Some statuses guarantee that the request did not run, and callers retry it then. It
    could run twice if that were not certain.
    """
    if refusal.ran == Ran.NO:
        return 503 if refusal.status == GATEWAY_TIMEOUT else refusal.status
    return BAD_GATEWAY if refusal.status in NOT_RUN_STATUSES else refusal.status


def _copy_headers(headers: Headers, response: web.StreamResponse) -> None:
    for name, value in headers:
        response.headers.add(name, value)


class _EliotHandler(logging.Handler):
    """Forward log records of the HTTP library to the structured log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record."""
        log_message("http:library", level=record.levelname, text=record.getMessage())
