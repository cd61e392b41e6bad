"""Speak to the object store: a subset of the S3 REST interface."""

from typing import Final

from radishtally.outcome import Error, Ok, Result
from radishtally.platform.client import HttpClient
from radishtally.platform.core import Unavailable

DEFAULT_TIMEOUT_SECONDS: Final = 10.0
NO_SUCH_KEY: Final = b"NoSuchKey"


class HttpObjects:
    """Keep immutable objects in one bucket over HTTP."""

    def __init__(
        self, url: str, bucket: str, *, timeout: float = DEFAULT_TIMEOUT_SECONDS
    ) -> None:
        self._base = f"{url.rstrip('/')}/{bucket}"
        self._client = HttpClient(timeout)

    async def put(self, key: str, body: bytes) -> Result[None, Unavailable]:
        """Store an object; after any error the call may be repeated."""
        result = await self._client.call("PUT", f"{self._base}/{key}", body=body)
        if result.is_error():
            return Error(Unavailable(result.error.message))
        if result.ok.status != 200:
            return Error(Unavailable(f"status {result.ok.status}"))
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, Unavailable]:
        """Read an object; none if it is not there."""
        result = await self._client.call("GET", f"{self._base}/{key}")
        if result.is_error():
            return Error(Unavailable(result.error.message))
        reply = result.ok
        if reply.status == 200:
            return Ok(reply.body)
        # A 404 of something before the store does not say that the object is absent.
        if reply.status == 404 and NO_SUCH_KEY in reply.body:
            return Ok(None)
        return Error(Unavailable(f"status {reply.status}"))

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
