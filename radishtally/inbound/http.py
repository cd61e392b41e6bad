"""HTTP servers that bound what a connection holds, and stop at its first error."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Final

from aiohttp import web
from aiohttp.http import HttpProcessingError, HttpRequestParser
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, RequestPayloadError

from radishtally.inbound.const import (
    BODY_READ_AHEAD_BYTES,
    CHECK_SECONDS,
    ERROR_TEXT_BYTES,
    FIELD_BYTES,
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    PARSED_REQUESTS,
)
from radishtally.inbound.core import UnparsedBytes
from radishtally.inbound.departures import close_departed
from radishtally.inbound.protocol import PiecewiseProtocol

NOTHING: Final = ((), False, b"")
"""Result of feeding a parser from which no request has come out."""
TUNNEL_METHOD: Final = "CONNECT"
UNBOUNDED_LINE: Final = 2**31 - 1
"""Limit on single lines in the library's parser: the whole head is bounded here."""


class BoundedServer(web.Server):
    """Serve HTTP within bounds on unparsed bytes and, if wanted, on connections."""

    def __init__(
        self,
        handler: Callable[..., Any],
        unparsed: UnparsedBytes,
        find_head_limit: Callable[[], int] = lambda: 0,
        max_connections: int | None = None,
        **more: Any,
    ) -> None:
        super().__init__(handler, access_log=None, lingering_time=0, **more)
        self.unparsed = unparsed
        self._find_head_limit = find_head_limit
        self._max_connections = max_connections
        self._departures: asyncio.Task[None] | None = None

    def __call__(self) -> PiecewiseProtocol:
        """Make the protocol of a new connection."""
        return PiecewiseProtocol(BoundedHandler(self, loop=self._loop, **self._kwargs))

    def compute_head_limit(self) -> int:
        """Return the largest size of a head, in bytes."""
        return max(MAX_HEAD_BYTES, 2 * self._find_head_limit())

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Count a new connection; close the oldest one at the limit."""
        super().connection_made(handler, transport)
        if self._departures is None:
            self._departures = self._loop.create_task(self._close_departed())
        limit = self._max_connections
        if limit is not None and len(self._connections) > limit:
            next(iter(self._connections.values())).abort()

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections."""
        if self._departures is not None:
            self._departures.cancel()
        await super().shutdown(timeout)

    async def _close_departed(self) -> None:
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            close_departed(list(self._connections.values()))


class BoundedHandler(RequestHandler):
    """Handle the requests of a connection whose parser is bounded."""

    __slots__ = ()

    def __init__(self, manager: BoundedServer, **more: Any) -> None:
        super().__init__(manager, **more)
        # The library has no setting for this.
        self._max_msg_queue_size = PARSED_REQUESTS
        self._msg_queue_resume_size = PARSED_REQUESTS // 2
        parser = HttpRequestParser(
            self,
            self._loop,
            BODY_READ_AHEAD_BYTES,
            max_line_size=UNBOUNDED_LINE,
            max_field_size=UNBOUNDED_LINE,
            max_headers=MAX_FIELDS,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=PARSED_REQUESTS,
        )
        self._parser = BoundedParser(
            parser, manager.compute_head_limit(), self._record, self._stop_reading
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection holds."""
        self._record(0)
        super().connection_lost(exc)

    def _record(self, size: int) -> None:
        if self._manager is not None:
            self._manager.unparsed.record(self, size, self._abort)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _stop_reading(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()


class BoundedParser:
    """Count what a parser of the HTTP library holds; feed it nothing after an error."""

    def __init__(
        self,
        parser: HttpRequestParser,
        head_limit: int,
        record: Callable[[int], None],
        stop: Callable[[], None],
    ) -> None:
        self._parser = parser
        self._head_limit = head_limit
        self._record = record
        self._stop = stop
        self._is_stopped = False
        self._unparsed = 0
        """Bytes since the last request, or the last bytes of its body."""
        self._fields = 0
        """Lines in them."""
        self._queued: deque[int] = deque()
        """Sizes of the requests that have not begun to be handled."""
        self._payload = EMPTY_PAYLOAD
        """Body of the last request."""
        self.feed_eof = parser.feed_eof
        self.pause_reading = parser.pause_reading
        self.set_upgraded = parser.set_upgraded

    def feed_data(self, data: bytes) -> tuple[Sequence[Any], bool, bytes]:
        """Parse bytes; raise HttpProcessingError once, at the first error."""
        if self._is_stopped:
            return NOTHING
        body_bytes = self._payload.total_bytes
        try:
            messages = self._parse(data)
        except HttpProcessingError as error:
            text = error.message[:ERROR_TEXT_BYTES]
            self._end(text)
            raise HttpProcessingError(code=error.code, message=text) from None
        self._unparsed += len(data)
        self._fields += data.count(b"\n")
        if messages:
            self._queued += [self._measure() // len(messages)] * len(messages)
            self._payload = messages[-1][1]
        if messages or self._payload.total_bytes != body_bytes:
            self._unparsed = self._fields = 0
        if self._unparsed > self._head_limit:
            text = f"more than {self._head_limit} bytes outside of a body"
            self._end(text)
            raise HttpProcessingError(code=400, message=text)
        self._record_size()
        return messages, False, b""

    def message_consumed(self) -> None:
        """Record that the handling of a request begins."""
        self._parser.message_consumed()
        if self._queued:
            self._queued.popleft()
        self._record_size()

    def _parse(self, data: bytes) -> list[Any]:
        """Parse bytes; requests to change the protocol are served as ordinary ones."""
        parsed: list[Any] = []
        while True:
            messages, is_upgraded, data = self._parser.feed_data(data)
            parsed += messages
            if not is_upgraded:
                return parsed
            if parsed[-1][0].method == TUNNEL_METHOD:
                raise HttpProcessingError(code=400, message="tunnels are not supported")
            self._parser.set_upgraded(False)

    def _measure(self) -> int:
        return self._unparsed + FIELD_BYTES * self._fields

    def _record_size(self) -> None:
        unread = 0 if self._payload.is_eof() else self._payload._size
        self._record(self._measure() + sum(self._queued) + unread)

    def _end(self, text: str) -> None:
        self._is_stopped = True
        if not self._payload.is_eof():
            # The library leaves its reader waiting for the rest.
            self._payload.set_exception(RequestPayloadError(text))
        self._stop()
