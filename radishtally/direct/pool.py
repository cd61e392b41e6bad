"""Connection pools to hosts, and responses that keep track of their connection."""

from collections.abc import Callable
from typing import Final

import aiohttp
from aiohttp.connector import Connection

from radishtally.connector import CheckedConnector, CheckedHandler, ConnectionUsage
from radishtally.direct.const import CONNECT_SECONDS, IDLE_CONNECTION_SECONDS
from radishtally.direct.sockets import open_socket
from radishtally.exchange import CheckedResponse

SKIPPED_HEADERS: Final = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that aiohttp would add; hosts receive only those of the caller."""


class WatchedResponse(CheckedResponse):
    """Record how the connection of an answer was used before."""

    usage = ConnectionUsage()
    _watched: CheckedHandler | None = None

    async def start(self, connection: Connection) -> "WatchedResponse":
        """Read the head and remember the connection."""
        self.usage = connection.protocol.usage
        return await super().start(connection)

    def abort(self) -> None:
        """Close the connection, even if aiohttp has returned it to the pool.

        aiohttp returns it at the end of an answer, which may arrive together with the
        head. If that answer belonged to another request, our own is still to come, and
        every later request on the connection would get the answer of the one before it.
        """
        self.close()
        if self._watched is not None:
            self._watched.abort()


def open_session(
    force_close: bool, on_unrequested: Callable[[], None]
) -> aiohttp.ClientSession:
    """Open a connection pool, or with `force_close` one without connection reuse."""
    extra = {} if force_close else {"keepalive_timeout": IDLE_CONNECTION_SECONDS}
    connector = CheckedConnector(
        "upstream",
        on_unrequested,
        limit=0,
        force_close=force_close,
        socket_factory=open_socket,
        **extra,
    )
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        response_class=WatchedResponse,
        skip_auto_headers=SKIPPED_HEADERS,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
