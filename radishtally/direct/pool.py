"""Open pools of connections to hosts, and watch the answers on them."""

import asyncio
from collections.abc import Callable
from typing import Final

import aiohttp
from aiohttp.connector import Connection

from radishtally.connector import KeepingConnector, KeptHandler, Usage
from radishtally.direct.const import CONNECT_SECONDS, POOL_SECONDS
from radishtally.direct.sockets import open_socket

SKIPPED_HEADERS: Final = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that the library would add of its own: hosts get the caller's alone."""

BODILESS_STATUSES: Final = (204, 304)


class WatchedResponse(aiohttp.ClientResponse):
    """Know how the connection of an answer was before it, and how it ended.

    An answer without a length ends with its connection. The library takes the end for
    good even if it was a reset: a caller would be given a part of an answer as a whole
    one.
    """

    usage = Usage()
    _watched: KeptHandler | None = None

    async def start(self, connection: Connection) -> "WatchedResponse":
        """Read the head, and keep hold of the connection."""
        self._watched = connection.protocol
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

    def check_end(self) -> None:
        """Raise if an answer without a length ended otherwise than by a close."""
        if self.is_framed or self._watched is None:
            return
        error = self._watched.exception()
        if isinstance(error, OSError) and not isinstance(
            error, aiohttp.ServerDisconnectedError
        ):
            raise aiohttp.ClientPayloadError("the connection was reset") from error

    @property
    def is_framed(self) -> bool:
        """Tell whether the answer's end is marked, by its head, length or chunks."""
        if self.status in BODILESS_STATUSES or self.method == "HEAD":
            return True
        coding = self.headers.get("Transfer-Encoding", "").lower()
        return "Content-Length" in self.headers or "chunked" in coding


async def is_refused(address: str) -> bool:
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
    connector = KeepingConnector(
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
