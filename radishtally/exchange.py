"""Make the HTTP library do once what it is told, and say how it failed."""

from collections.abc import Iterable
from typing import Final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import HttpProcessingError

EXCHANGE_ERRORS: Final = (
    aiohttp.ClientError,
    HttpProcessingError,
    OSError,
    TimeoutError,
    ValueError,
)
"""What an exchange may end with. Any that is left out ends its task unseen, and the
request holds its place at the upstream until its deadline."""


BODILESS_STATUSES: Final = (204, 304)
Headers = tuple[tuple[str, str], ...]


def decode_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Give headers as text, in their order and as they were sent."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in raw
    )


class SendOnce:
    """Let one call go out once.

    The library sends PUT and DELETE again by itself when the connection ends without
    an answer: a dispatch would be made twice, unseen by us. Whether a call may be run
    again is for the configuration and the entry to say.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Pass the first sending on and refuse any other."""
        if self._sent:
            raise aiohttp.ClientError("the connection ended without an answer")
        self._sent = True
        return await handler(request)


class CheckedResponse(aiohttp.ClientResponse):
    """Know how the connection of an answer ended.

    An answer without a length ends with its connection. The library takes the end for
    good even if it was a reset: a caller would be given a part of an answer as a whole
    one.
    """

    _watched: ResponseHandler | None = None

    async def start(self, connection: Connection) -> "CheckedResponse":
        """Read the head, and keep hold of the connection."""
        self._watched = connection.protocol
        return await super().start(connection)

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
