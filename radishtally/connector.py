"""Keep connections open for later requests, unless something comes unasked."""

import select
import time
from collections.abc import Callable
from functools import partial
from typing import Any, Final, NamedTuple

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import HttpProcessingError
from eliot import log_message

HEAD_END: Final = b"\r\n\r\n"


class ConnectionUsage(NamedTuple):
    """Describe a connection at the moment at which a request takes it."""

    age: float = 0.0
    """Seconds since it was opened."""
    carried: int = 0
    """Requests that it carried before."""


class CheckedHandler(ResponseHandler):
    """Read the answers on one connection, and close it if one comes unasked.

    An answer that comes while no request is out belongs to an earlier one, whatever it
    says. Left where it is it would be read as the answer to the next request.
    """

    def __init__(
        self, loop: Any, service: str, on_unsolicited: Callable[[], None]
    ) -> None:
        super().__init__(loop=loop)
        self.usage = ConnectionUsage()
        self._service = service
        self._on_unasked = on_unsolicited
        self._opened_at = time.monotonic()
        self._requests = 0
        self._is_idle = False
        self._is_begun = False

    @property
    def is_kept(self) -> bool:
        """Tell whether the connection has carried a request."""
        return self._requests > 0

    def begin(self) -> None:
        """Take note that a request takes the connection."""
        self.usage = self._measure()
        self._requests += 1
        self._is_idle = False
        self._is_begun = False

    def rest(self) -> None:
        """Take note that the request is answered."""
        self._is_idle = True

    def data_received(self, data: bytes) -> None:
        """Take what came."""
        # The library calls without data when it goes on with what it has read.
        is_unasked = self._is_idle and data
        for part in self._split(data):
            super().data_received(part)
        # The library gives the connection back as soon as it has found an answer's end,
        # and then goes on to what follows in the same bytes.
        if is_unasked or (self._is_idle and len(self)):
            self._on_unasked()
            self.drop()

    def _split(self, data: bytes) -> tuple[bytes, ...]:
        """Part the first head of an answer from what follows it.

        The library throws a whole answer away if it can't read what follows it in the
        same bytes, such as a second answer behind the last one of a connection. A head
        that was read before is kept, and the answer is delivered.
        """
        if self._is_begun:
            return (data,)
        end = data.find(HEAD_END)
        if end < 0:
            return (data,)
        self._is_begun = True
        end += len(HEAD_END)
        return (data[:end], data[end:]) if end < len(data) else (data,)

    def has_unread(self) -> bool:
        """Tell whether anything has come that no request has taken.

        The kernel may hold bytes, or the connection's end, since the loop last looked;
        the parser may hold the beginning of a head, whose rest would then be read as
        the beginning of the next answer.
        """
        if self.transport is None:
            return False
        return self._has_bytes() or self._has_part()

    def _has_bytes(self) -> bool:
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poller.poll(0))

    def _has_part(self) -> bool:
        # A connection that is taken gets a new parser: this one is not needed any more.
        try:
            return self._parser is not None and self._parser.feed_eof() is not None
        except HttpProcessingError:
            return True

    def drop(self) -> None:
        """Close a connection on which something came unasked."""
        if self.transport is None:
            return
        usage = self._measure()
        # A connection that was reset has no other end any more.
        peer = self.transport.get_extra_info("peername") or ("unknown", 0)
        log_message(
            f"{self._service}:connection_dropped",
            address=f"{peer[0]}:{peer[1]}",
            connection_age=round(usage.age, 4),
            carried=usage.carried,
            answers=len(self),
        )
        self.abort()

    def _measure(self) -> ConnectionUsage:
        return ConnectionUsage(time.monotonic() - self._opened_at, self._requests)


class CheckedConnector(aiohttp.TCPConnector):
    """Keep connections to a service, and pass none on that holds anything to read."""

    def __init__(
        self,
        service: str,
        on_unsolicited: Callable[[], None] = lambda: None,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        # The library has no public way to be given a protocol.
        self._factory = partial(CheckedHandler, self._loop, service, on_unsolicited)

    async def connect(self, *args: Any, **options: Any) -> Connection:
        """Take a connection that is kept open, or open one."""
        while True:
            connection = await super().connect(*args, **options)
            handler = connection.protocol
            # What came since the loop last looked has not been read yet.
            if not handler.is_kept or not handler.has_unread():
                break
            handler.drop()
            connection.close()
        handler.begin()
        connection.add_callback(handler.rest)
        return connection
