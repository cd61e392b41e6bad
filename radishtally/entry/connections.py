"""Connections of callers to an entry, within bounds on what they send."""

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Any, Final

from sanic import Request, Sanic
from sanic.exceptions import PayloadTooLarge, RequestTimeout, SanicException
from sanic.server import HttpProtocol
from sanic.server.async_server import AsyncioServer

from radishtally.inbound.bodies import NO_ROOM, TOO_SLOW, BodyReceiver
from radishtally.inbound.buffers import Buffers, Hold
from radishtally.inbound.const import (
    CHECK_SECONDS,
    CHUNKS_AT_A_TIME,
    FREE_CHUNKS,
    MIN_CHUNK_BYTES,
)
from radishtally.inbound.core import UnparsedBytes
from radishtally.inbound.departures import close_departed
from radishtally.inbound.protocol import PiecewiseProtocol
from radishtally.outcome import Error, Refusal, Result

MAX_REQUEST_BYTES: Final = 16 * 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024
READ_AHEAD_BYTES: Final = 2 * MAX_HEADER_BYTES
"""Bytes that a connection buffers before nothing more is read from it."""
IN_CHUNKS: Final = "chunked"


class BodyRefused(SanicException):
    """Refuse a request because of its body."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message, status_code=refusal.status)
        self.refusal = refusal


class BoundedRequest(Request):
    """Receive the body of a request within bounds on its time, bytes and chunks."""

    async def receive_body(self) -> None:
        """Receive the whole body or refuse the request."""
        if not self.stream.request_body:
            return
        received = await self._receive_within()
        if received.is_error():
            self._stop_reading()
            if received.error is TOO_SLOW:
                raise RequestTimeout(TOO_SLOW.message)
            raise BodyRefused(received.error)
        self.body = received.ok

    def release_body(self) -> None:
        """Give back the room of the body."""
        hold: Hold | None = getattr(self.ctx, "hold", None)
        if hold is not None:
            self.app.ctx.buffers.close(hold)

    def _stop_reading(self) -> None:
        """Let sanic close the connection after its answer without reading the rest."""
        self.stream.request_body = None
        self.stream.keep_alive = False

    async def _receive_within(self) -> Result[bytes, Refusal]:
        receiver: BodyReceiver = self.app.ctx.bodies
        hold = self.ctx.hold = self.app.ctx.buffers.open()
        length = self.stream.request_bytes
        if length > MAX_REQUEST_BYTES:
            raise PayloadTooLarge("the request's body is over the limit")
        if not await receiver.reserve(hold, length):
            return Error(NO_ROOM)
        # sanic limits the idle time before a request but not within a body. A caller
        # that sends its body in tiny pieces or stops would hold its connection and
        # memory for an hour, so one timeout covers the whole body.
        return await receiver.receive(
            self._list_pieces(),
            hold,
            self.stream.request_body != IN_CHUNKS,
            MAX_REQUEST_BYTES,
            self.app.config.CALLER_SECONDS,
        )

    async def _list_pieces(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the body; refuse one in tiny chunks."""
        is_in_chunks = self.stream.request_body == IN_CHUNKS
        count = size = 0
        async for piece in self.stream:
            yield piece
            count, size = count + 1, size + len(piece)
            if is_in_chunks and size < (count - FREE_CHUNKS) * MIN_CHUNK_BYTES:
                self._stop_reading()
                raise PayloadTooLarge("the chunks of the request's body are too small")
            if count % CHUNKS_AT_A_TIME == 0:
                # What is buffered is read without a pause.
                await asyncio.sleep(0)


class EntryProtocol(HttpProtocol):
    """Handle a caller's connection within the bounds of its application."""

    def _setup(self) -> None:
        super()._setup()
        self.request_handler = self._handle_request

    def data_received(self, data: bytes) -> None:
        """Buffer bytes, and count them as long as they belong to no request."""
        super().data_received(data)
        self._record(len(self.recv_buffer))

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back what the connection holds."""
        self._record(0)
        super().connection_lost(exc)

    async def _handle_request(self, request: BoundedRequest) -> None:
        # The request's head is no longer buffered.
        self._record(len(self.recv_buffer))
        try:
            await self.app.handle_request(request)
        finally:
            request.release_body()
            self._record(len(self.recv_buffer))
        if self.recv_buffer:
            # The rest of a pipeline would be handled without a pause.
            await asyncio.sleep(0)

    def _record(self, size: int) -> None:
        self.app.ctx.unparsed.record(self, size, self._close_if_unparsed)

    def _close_if_unparsed(self) -> None:
        # The bytes of a body are read without a record.
        if self.recv_buffer:
            self.abort()


def bound_requests(app: Sanic, memory_mb: float) -> None:
    """Add the bounds on requests to an application."""
    app.config.REQUEST_MAX_SIZE = MAX_REQUEST_BYTES
    app.config.REQUEST_MAX_HEADER_SIZE = MAX_HEADER_BYTES
    app.config.REQUEST_BUFFER_SIZE = READ_AHEAD_BYTES
    app.ctx.buffers = Buffers(memory_mb)
    app.ctx.bodies = BodyReceiver(app.ctx.buffers)
    app.ctx.unparsed = UnparsedBytes(memory_mb)


async def serve(app: Sanic, listener: socket.socket) -> AsyncioServer:
    """Serve an application on the running event loop."""
    # sanic's runner would start more processes, so only its server is used.
    server = await app.create_server(
        sock=listener, protocol=_make_protocol, return_asyncio_server=True
    )
    await server.startup()
    await server.start_serving()
    return server


async def watch_departures(server: AsyncioServer) -> None:
    """Close the connections of callers who have left, again and again."""
    while True:
        await asyncio.sleep(CHECK_SECONDS)
        connections = list(server.connections)
        close_departed([one.transport for one in connections if one.transport])


def _make_protocol(**settings: Any) -> PiecewiseProtocol:
    return PiecewiseProtocol(EntryProtocol(**settings))
