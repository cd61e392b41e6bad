"""Serve callers over HTTP and pass the hosts' answers on unchanged."""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import msgspec
from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from eliot import log_message

from radishtally.exchange import Headers, decode_headers
from radishtally.gateway.connections import Connections
from radishtally.gateway.const import (
    BAD_GATEWAY,
    DEFAULT_RETRY_AFTER,
    GATEWAY_TIMEOUT,
    IDLE_MARGIN_SECONDS,
    IDLE_SWEEP_SECONDS,
    LISTEN_BACKLOG,
    MAX_HEADER_BYTES,
    NOT_RUN_STATUSES,
)
from radishtally.gateway.core import CallerDialect, CallerRequest
from radishtally.gateway.endings import Delivery, Ending
from radishtally.gateway.metrics import CONTENT_TYPE
from radishtally.gateway.requests import RoutedRequest
from radishtally.outcome import Error, Ok, Ran, Refusal, Result
from radishtally.routes.config import CallerLimits
from radishtally.serving.events import Begin, Deliver, End, Finish, Refuse
from radishtally.serving.replies import Reply

LIBRARY_KEEPALIVE_SECONDS: Final = 86_400.0
"""Stands for no bound of the library's own on idle connections: it can't follow the
configuration."""


class FrontendBackend(Protocol):
    """Be what the HTTP side needs of the gateway."""

    limits: CallerLimits | None

    def route(
        self, method: str, target: str, asked: CallerRequest, body: bytes
    ) -> Result[RoutedRequest, Refusal]:
        """Find where a request goes."""

    def record_refusal(self, request: str, refusal: Refusal) -> None:
        """Take note that a request was turned away before it came in."""

    def open(self, routed: RoutedRequest) -> asyncio.Queue[Reply]:
        """Bring a request in."""

    def close(self, request: str, given: Delivery) -> None:
        """Say that its caller has its answer, or is gone."""

    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests here."""

    def render_metrics(self) -> bytes:
        """Give the figures of the metrics address."""

    def is_stopping(self) -> bool:
        """Tell whether connections should be brought to an end."""


class HttpFrontend:
    """Listen for callers and for the balancer."""

    def __init__(self, gate: FrontendBackend, dialect: CallerDialect) -> None:
        self._backend = gate
        self._dialect = dialect
        self._sites: list[web.TCPSite] = []
        """Where callers connect."""
        self._runners: list[web.ServerRunner] = []
        self._server: web.Server | None = None
        self._connections = Connections(self._list_connections)
        self._sweeper: asyncio.Task[None] | None = None

    async def start(
        self, address: str, ready_address: str, metrics_address: str
    ) -> None:
        """Listen."""
        logging.getLogger("aiohttp.server").addHandler(_EliotHandler())
        self._server = web.Server(
            self._handle,
            handler_cancellation=True,
            keepalive_timeout=LIBRARY_KEEPALIVE_SECONDS,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            auto_decompress=False,
            access_log=None,
        )
        self._sites.append(await self._listen(self._server, address))
        await self._listen(_make_server(self._answer_ready), ready_address)
        await self._listen(_make_server(self._answer_metrics), metrics_address)
        self._sweeper = asyncio.create_task(self._sweep())

    @property
    def is_listening(self) -> bool:
        """Tell whether callers can connect."""
        return self._sweeper is not None

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for runner in self._runners:
            await runner.cleanup()

    async def stop_listening(self) -> None:
        """Take no new connections; those that are open go on."""
        for site in self._sites:
            await site.stop()
        self._sites.clear()

    async def close_idle(self) -> int:
        """Close connections that carry no request; count those that do."""
        return await self._connections.close_idle()

    def _list_connections(self) -> list[RequestHandler]:
        return [] if self._server is None else list(self._server.connections)

    async def _listen(self, server: web.Server, address: str) -> web.TCPSite:
        runner = web.ServerRunner(server, shutdown_timeout=0)
        await runner.setup()
        ip, port = address.rsplit(":", 1)
        site = web.TCPSite(runner, ip, int(port), backlog=LISTEN_BACKLOG)
        await site.start()
        self._runners.append(runner)
        return site

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        if request.path != self._dialect.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self._backend.is_ready() else 503)

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        headers = {"Content-Type": CONTENT_TYPE}
        return web.Response(body=self._backend.render_metrics(), headers=headers)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        with self._connections.track_request(request.protocol):
            return await self._answer(request)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        admitted = await self._admit(request)
        if admitted.is_error():
            name = self._dialect.read_name(decode_headers(request.raw_headers))
            self._backend.record_refusal(name, admitted.error)
            return self._respond_refusal(admitted.error)
        routed = admitted.ok
        name = routed.work.request
        parts = self._backend.open(routed)
        given = Delivery()
        try:
            return await self._deliver(request, parts, given)
        finally:
            self._backend.close(name, given)

    async def _admit(self, request: web.BaseRequest) -> Result[RoutedRequest, Refusal]:
        body = await self._read_body(request)
        if body.is_error():
            return body
        target = request.raw_path
        asked = self._dialect.read_request(target, decode_headers(request.raw_headers))
        if asked.is_error():
            return asked
        return self._backend.route(request.method, target, asked.ok, body.ok)

    async def _read_body(self, request: web.BaseRequest) -> Result[bytes, Refusal]:
        limits = self._backend.limits
        if limits is None or not request.can_read_body:
            return Ok(b"")
        body = bytearray()
        try:
            async with asyncio.timeout(limits.idle_seconds):
                async for data in request.content.iter_any():
                    body += data
                    if len(body) > limits.body_bytes:
                        text = f"the body is over {limits.body_bytes} bytes"
                        return Error(Refusal(413, "body_too_large", text))
        except TimeoutError:
            text = "the request's body did not arrive in time"
            return Error(Refusal(408, "body_too_slow", text))
        return Ok(bytes(body))

    async def _deliver(
        self, request: web.BaseRequest, parts: asyncio.Queue[Reply], given: Delivery
    ) -> web.StreamResponse:
        part = await parts.get()
        if isinstance(part, Refuse):
            response = self._respond_refusal(part.refusal)
            given.ending, given.status = Ending.REFUSED, response.status
            return response
        if isinstance(part, Finish):
            given.ending, given.status = Ending.WHOLE, part.end.status
            given.sent = len(part.body)
            return self._respond_whole(part)
        if not isinstance(part, Begin):
            raise AssertionError(f"an answer began with {part!r}")
        return await self._stream(request, part, parts, given)

    async def _stream(
        self,
        request: web.BaseRequest,
        begin: Begin,
        parts: asyncio.Queue[Reply],
        given: Delivery,
    ) -> web.StreamResponse:
        response = web.StreamResponse(status=begin.status)
        given.status = begin.status
        _copy_headers(begin.headers, response)
        response.enable_chunked_encoding()
        self._end_keep_alive(response)
        await response.prepare(request)
        while True:
            part = await parts.get()
            if isinstance(part, Deliver):
                await response.write(part.data)
                given.sent += len(part.data)
                given.last_event = part.tokens
                continue
            if isinstance(part, End):
                await response.write_eof()
                given.ending = Ending.STREAM_END
                return response
            given.ending = Ending.BROKEN_OFF
            # Only a connection that breaks tells the caller that its answer is not
            # whole: the end of the chunks would make a part of it look complete.
            if request.transport is not None:
                request.transport.abort()
            return response

    def _respond_whole(self, part: Finish) -> web.Response:
        response = web.Response(status=part.end.status, body=part.body)
        _copy_headers(part.end.headers, response)
        self._end_keep_alive(response)
        return response

    def _respond_refusal(self, refusal: Refusal) -> web.Response:
        status = _find_status(refusal)
        headers = {"X-Ran": refusal.ran}
        if status in NOT_RUN_STATUSES:
            wait = refusal.retry_after or DEFAULT_RETRY_AFTER
            headers["Retry-After"] = f"{math.ceil(wait * 1000) / 1000:g}"
        body = msgspec.json.encode(
            {"error": {"code": refusal.code, "message": refusal.message}}
        )
        response = web.Response(
            status=status, body=body, headers=headers, content_type="application/json"
        )
        self._end_keep_alive(response)
        return response

    def _end_keep_alive(self, response: web.StreamResponse) -> None:
        """Tell callers of a stopping gateway to bring their next request elsewhere."""
        if self._backend.is_stopping():
            response.force_close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(IDLE_SWEEP_SECONDS)
            limits = self._backend.limits
            if limits is not None:
                longest = limits.idle_seconds + IDLE_MARGIN_SECONDS
                await self._connections.close_long_idle(longest)


def _make_server(handler: Callable[..., Awaitable[web.Response]]) -> web.Server:
    return web.Server(handler, access_log=None)


def _find_status(refusal: Refusal) -> int:
    """Give the status that says no more than is known.

    Some statuses promise that the request did not run, and a caller then sends it
    again: it would run twice if that was not sure.
    """
    if refusal.ran == Ran.NO:
        return 503 if refusal.status == GATEWAY_TIMEOUT else refusal.status
    return BAD_GATEWAY if refusal.status in NOT_RUN_STATUSES else refusal.status


def _copy_headers(headers: Headers, response: web.StreamResponse) -> None:
    for name, value in headers:
        response.headers.add(name, value)


class _EliotHandler(logging.Handler):
    """Bring the HTTP library's own complaints into the log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one line."""
        log_message("http:library", level=record.levelname, text=record.getMessage())
