"""Open pools of connections to hosts, and watch the answers on them."""

import asyncio
from collections.abc import Callable
from typing import Final

import aiohttp
from aiohttp.connector import Connection

from radishtally.connector import CheckedConnector, CheckedHandler, ConnectionUsage
from radishtally.direct.const import CONNECT_SECONDS, POOL_SECONDS
from radishtally.direct.sockets import open_socket
from radishtally.exchange import CheckedResponse

SKIPPED_HEADERS: Final = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that the library would add of its own: hosts get the caller's alone."""


class WatchedResponse(CheckedResponse):
    """Know how the connection of an answer was before it."""

    usage = ConnectionUsage()
    _watched: CheckedHandler | None = None

    async def start(self, connection: Connection) -> "WatchedResponse":
        """Read the head, and keep hold of the connection."""
        self.usage = connection.protocol.usage
        return await super().start(connection)

    def abort(self) -> None:
        """Close the connection, also if the library has given it back.

        It does so at the end of an answer, which may have come with the head. If that
        was another request's, the own one is still to come: each later request on the
        connection would be given the answer of the one before it.
        """
        self.close()
        if self._watched is not None:
            self._watched.abort()


async def is_connection_refused(address: str) -> bool:
    """Tell whether nothing listens at an IP and port that can be reached."""
    ip, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(ip, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


def open_session(
    force_close: bool, on_unasked: Callable[[], None]
) -> aiohttp.ClientSession:
    """Open a pool of connections, or one that opens a connection for each request."""
    more = {} if force_close else {"keepalive_timeout": POOL_SECONDS}
    connector = CheckedConnector(
        "upstream",
        on_unasked,
        limit=0,
        force_close=force_close,
        socket_factory=open_socket,
        **more,
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
