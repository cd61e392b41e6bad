"""Connection pool that checks answers as they come in, and drops unsolicited data."""

import asyncio
import re
import select
import time
from collections.abc import Callable
from functools import partial
from typing import Any, Final, NamedTuple

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import HttpProcessingError, RawResponseMessage
from aiohttp.streams import StreamReader
from eliot import log_message

from radishtally.answer_syntax import SyntaxFault, find_fault

CONTINUE: Final = 100
OK: Final = 200
BLANK_LINE: Final = re.compile(rb"\n\r?\n")
BLANK_LINE_BYTES: Final = 3
"""Length of the longest match of a blank line."""
MAX_HEAD_BYTES: Final = 64 * 1024
"""Largest head of an answer, with any interim answers before it."""
MAX_FRAMING_BYTES: Final = 512 * 1024  # data that is not parsed yet counts as framing
"""Most bytes that may have come beyond twice those of the body."""
PIECE_BYTES: Final = 16 * 1024
"""Most bytes that are parsed at once of a body whose end only the parser finds."""


class AnswerSyntaxError(aiohttp.ClientPayloadError):
    """Raised when an answer does not keep to the protocol."""

    def __init__(self, fault: SyntaxFault) -> None:
        super().__init__(f"invalid answer: {fault}")


class ConnectionUsage(NamedTuple):
    """Describe a connection at the time at which a request acquires it."""

    age: float = 0.0
    """Seconds since the connection was opened."""
    carried: int = 0
    """Number of earlier requests on the connection."""


class CheckedHandler(ResponseHandler):
    """Read the answers on one connection, and close it on unsolicited data.

    Data that arrives while no request is in flight belongs to an earlier request. It
    would otherwise be read as the answer to the next one.
    """

    def __init__(
        self,
        loop: Any,
        service: str,
        on_unsolicited: Callable[[], None],
        open_handlers: "set[CheckedHandler]",
    ) -> None:
        super().__init__(loop=loop)
        self.usage = ConnectionUsage()
        self.peer: tuple[str, int] | None = None
        self._service = service
        self._on_unsolicited = on_unsolicited
        self._open_handlers = open_handlers
        self._opened_at = 0.0
        self._received_at = 0.0
        self._requests = 0
        self._is_idle = False
        self._reset()

    @property
    def is_reused(self) -> bool:
        """Return whether the connection has carried a request before."""
        return self._requests > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the open connection."""
        super().connection_made(transport)
        self._opened_at = time.monotonic()
        name = transport.get_extra_info("peername")
        # The name of an IPv6 peer also has a flow label and a scope.
        self.peer = name and name[:2]
        self._open_handlers.add(self)

    def eof_received(self) -> None:
        """Remove a connection that its peer has closed."""
        self._open_handlers.discard(self)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the closed connection."""
        self._open_handlers.discard(self)
        super().connection_lost(exc)

    def leads_to(
        self, address: tuple[str, int], opened_before: float, received_after: float
    ) -> bool:
        """Return whether this is open to an address, by monotonic times."""
        is_open = self.transport is not None and not self.transport.is_closing()
        is_older = self._opened_at < opened_before
        is_active = self._received_at >= received_after
        return is_open and is_older and is_active and self.peer == address

    def begin_request(self) -> None:
        """Record that a request has acquired the connection."""
        self.usage = self._measure_usage()
        self._requests += 1
        self._is_idle = False
        self._reset()

    def _reset(self) -> None:
        """Expect the answer to another request."""
        self._parsed_bytes = 0
        self._unparsed = b""
        """Received data that is parsed when the reader of the body has caught up."""
        self._head_tail = b""
        """Last bytes of a head that is incomplete."""
        self._body: StreamReader | None = None
        """Body of the answer; None before its head has been parsed."""
        self._bytes_left = 0
        """Bytes of the body that are to come, if it has a length."""
        self._has_second_answer = False
        """Whether another answer has been parsed behind the one that is awaited."""

    def end_request(self) -> None:
        """Record that the request has been answered."""
        self._is_idle = True

    def data_received(self, data: bytes) -> None:
        """Parse received data up to the end of the answer, and close on any other."""
        self._received_at = time.monotonic()
        if self._parser is None:
            # The library keeps the data until the request is sent.
            super().data_received(data)
            return
        if self._is_idle and data:
            self._drop_unsolicited(len(data))
            return
        if not data:
            # The library resumes the parsing of what it has buffered.
            super().data_received(data)
        rest = memoryview(self._unparsed + data)
        while rest and self._can_parse():
            size = self._measure_piece(rest)
            self._parse(bytes(rest[:size]))
            rest = rest[size:]
        self._unparsed = bytes(rest) if self._reading_paused else b""
        if self._has_second_answer or (rest and self._is_complete()):
            self._drop_unsolicited(len(rest))

    def _can_parse(self) -> bool:
        """Return whether the answer goes on, and its reader has caught up."""
        is_open = self.transport is not None
        return is_open and not self._reading_paused and not self._is_complete()

    def _is_complete(self) -> bool:
        return self._body is not None and self._body.is_eof()

    def _measure_piece(self, data: memoryview) -> int:
        """Return how many bytes to parse next: those of a head, or some of the body.

        The library parses all answers in the bytes that it gets, and discards a
        complete one if it can't parse what follows.
        """
        if self._body is None:
            return self._find_head_end(data[: MAX_HEAD_BYTES + 1 - self._parsed_bytes])
        return min(len(data), self._bytes_left or PIECE_BYTES)

    def _find_head_end(self, data: memoryview) -> int:
        """Return the number of bytes up to the end of a head, or of all."""
        start = self._head_tail + data[:BLANK_LINE_BYTES]
        found = BLANK_LINE.search(start)
        if found is not None:
            return found.end() - len(self._head_tail)
        found = BLANK_LINE.search(data)
        return len(data) if found is None else found.end()

    def _parse(self, piece: bytes) -> None:
        if self._body is None:
            tail = (self._head_tail + piece)[-BLANK_LINE_BYTES:]
            self._head_tail = b"" if BLANK_LINE.search(tail) else tail
        elif self._bytes_left:
            self._bytes_left -= len(piece)
        self._parsed_bytes += len(piece)
        super().data_received(piece)
        self._check_overhead()

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Check a parsed head and accept it with its body; skip interim answers."""
        message, body = data
        if self._body is not None:
            self._has_second_answer = True
            return
        reason = message.reason.encode("utf-8", "surrogateescape")
        fault = find_fault(
            tuple(message.version), message.code, reason, message.raw_headers
        )
        if fault is not None:
            self._fail(AnswerSyntaxError(fault))
            return
        if CONTINUE <= message.code < OK:
            return
        self._body = body
        self._bytes_left = int(message.headers.get("Content-Length", 0))
        super().feed_data(data, size)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Fail the answer; at an error of the parser, close the connection too."""
        if isinstance(exc, HttpProcessingError):
            self._fail(AnswerSyntaxError(SyntaxFault.UNPARSED))
            return
        super().set_exception(exc, *cause)

    def _check_overhead(self) -> None:
        """Fail an answer whose head or framing goes on without end."""
        if self._body is None:
            max_bytes = MAX_HEAD_BYTES
        else:
            max_bytes = MAX_FRAMING_BYTES + 2 * self._body.total_bytes
        if self._parsed_bytes <= max_bytes:
            return
        self._fail(aiohttp.ClientPayloadError("the head or the framing is too large"))

    def _fail(self, error: aiohttp.ClientPayloadError) -> None:
        """Close the connection, and fail the answer unless it is complete."""
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)
        self.abort()
        self.set_exception(error)

    def has_unread_data(self) -> bool:
        """Return whether data has arrived that belongs to no request.

        The kernel may have received bytes, or the connection's end, since the loop last
        polled. The parser may hold the beginning of a head, whose rest would be read as
        the beginning of the next answer.
        """
        if self.transport is None:
            return False
        return self._has_unread_bytes() or self._has_partial_head()

    def _has_unread_bytes(self) -> bool:
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poller.poll(0))

    def _has_partial_head(self) -> bool:
        # An acquired connection gets a new parser, so this one is no longer needed.
        try:
            return self._parser is not None and self._parser.feed_eof() is not None
        except HttpProcessingError:
            return True

    def _drop_unsolicited(self, size: int) -> None:
        self._on_unsolicited()
        self.drop(size)

    def drop(self, size: int = 0) -> None:
        """Close the connection after unsolicited data or its end, and log that."""
        if self.transport is None:
            return
        usage = self._measure_usage()
        # A connection that was reset has no peer name any more.
        peer = self.transport.get_extra_info("peername") or ("unknown", 0)
        log_message(
            f"{self._service}:connection_dropped",
            address=f"{peer[0]}:{peer[1]}",
            connection_age=round(usage.age, 4),
            carried=usage.carried,
            bytes=size,
        )
        self.abort()

    def _measure_usage(self) -> ConnectionUsage:
        return ConnectionUsage(time.monotonic() - self._opened_at, self._requests)


class CheckedConnector(aiohttp.TCPConnector):
    """Pool connections to a service, and reuse none that has unread data."""

    def __init__(
        self,
        service: str,
        on_unsolicited: Callable[[], None] = lambda: None,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._open_handlers: set[CheckedHandler] = set()
        # The library has no public way to set the protocol class.
        self._factory = partial(
            CheckedHandler, self._loop, service, on_unsolicited, self._open_handlers
        )

    def count_open(
        self, address: str, opened_before: float, received_after: float
    ) -> int:
        """Count the open connections to an IP and port, by monotonic times.

        Counts those opened before a time on which data has arrived after another time.
        """
        ip, port = address.rsplit(":", 1)
        return sum(
            handler.leads_to((ip, int(port)), opened_before, received_after)
            for handler in self._open_handlers
        )

    async def connect(self, *args: Any, **options: Any) -> Connection:
        """Acquire an idle connection without unread data, or open a new one."""
        while True:
            connection = await super().connect(*args, **options)
            handler = connection.protocol
            # Data that arrived since the loop last polled has not been read yet.
            if not handler.is_reused or not handler.has_unread_data():
                break
            handler.drop()
            connection.close()
        handler.begin_request()
        connection.add_callback(handler.end_request)
        return connection
