"""HTTP exchanges without hidden retries, and with checks for truncated answers."""

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
"""Exceptions that an HTTP exchange may raise. Any other one ends its task unhandled,
and the request occupies its slot at the upstream until its deadline."""


BODILESS_STATUSES: Final = (204, 304)
Headers = tuple[tuple[str, str], ...]


def decode_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Decode headers, keeping their order and spelling."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in raw
    )


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """Raised when a body exceeds its limit."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"the body is larger than {max_bytes} bytes")


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Read a whole body; raise BodyTooLargeError if it exceeds a limit."""
    body = bytearray()
    if (response.content_length or 0) > max_bytes:
        raise BodyTooLargeError(max_bytes)
    async for data in response.content.iter_any():
        body += data
        if len(body) > max_bytes:
            raise BodyTooLargeError(max_bytes)
    return bytes(body)


class SendOnce:
    """Send a request at most once.

    The library resends PUT and DELETE by itself if the connection ends without an
    answer, so a dispatch could run twice unnoticed. Whether a call may be retried is
    up to the configuration and the entry.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Pass the first attempt on and fail any other."""
        if self._sent:
            raise aiohttp.ClientError("the connection ended without an answer")
        self._sent = True
        return await handler(request)


class CheckedResponse(aiohttp.ClientResponse):
    """Detect answers that a connection reset has truncated.

    An answer without a length ends with its connection. The library accepts that end
    even if it was a reset, and a caller would get a truncated answer as a complete one.
    """

    _watched: ResponseHandler | None = None

    async def start(self, connection: Connection) -> "CheckedResponse":
        """Read the head, and keep a reference to the connection's protocol."""
        self._watched = connection.protocol
        return await super().start(connection)

    def check_end(self) -> None:
        """Raise an error if an answer without a length did not end with a close."""
        if self.is_framed or self._watched is None:
            return
        error = self._watched.exception()
        if isinstance(error, OSError) and not isinstance(
            error, aiohttp.ServerDisconnectedError
        ):
            raise aiohttp.ClientPayloadError("the connection was reset") from error

    @property
    def is_framed(self) -> bool:
        """Return whether the answer's end is defined by its head, length or chunks."""
        if self.status in BODILESS_STATUSES or self.method == "HEAD":
            return True
        coding = self.headers.get("Transfer-Encoding", "").lower()
        return "Content-Length" in self.headers or "chunked" in coding
