"""Make the HTTP library do once what it is told, and say how it failed."""

from collections.abc import Iterable
from typing import Final

import aiohttp
from aiohttp.http import HttpProcessingError

BROKEN: Final = (
    aiohttp.ClientError,
    HttpProcessingError,
    OSError,
    TimeoutError,
    ValueError,
)
"""What an exchange may end with. Any that is left out ends its task unseen, and the
request holds its place at the upstream until its deadline."""


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
