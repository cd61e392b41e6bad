"""Client of the object store, which offers a subset of the S3 REST API."""

from typing import Final

from radishtally.outcome import Error, Ok, Result
from radishtally.store.client import CallError, HttpClient, NotSent, Reply
from radishtally.store.core import Unavailable

DEFAULT_TIMEOUT_SECONDS: Final = 3.0
MAX_ATTEMPTS: Final = 2
NO_SUCH_KEY: Final = b"NoSuchKey"


class HttpObjects:
    """Store immutable objects in one bucket over HTTP."""

    def __init__(
        self, url: str, bucket: str, *, timeout: float = DEFAULT_TIMEOUT_SECONDS
    ) -> None:
        self._base = f"{url.rstrip('/')}/{bucket}"
        self._client = HttpClient(timeout)

    async def put(self, key: str, body: bytes) -> Result[None, Unavailable]:
        """Store an object; the call may be retried after any error."""
        result = await self._call("PUT", key, body)
        if result.is_error():
            return Error(Unavailable(result.error.message))
        if result.ok.status != 200:
            return Error(Unavailable(f"unexpected status {result.ok.status}"))
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, Unavailable]:
        """Read an object; return None if it does not exist."""
        result = await self._call("GET", key)
        if result.is_error():
            return Error(Unavailable(result.error.message))
        reply = result.ok
        if reply.status == 200:
            return Ok(reply.body)
        # A proxy's 404 does not mean that the object is absent.
        if reply.status == 404 and NO_SUCH_KEY in reply.body:
            return Ok(None)
        return Error(Unavailable(f"unexpected status {reply.status}"))

    async def _call(
        self, method: str, key: str, body: bytes | None = None
    ) -> Result[Reply, CallError]:
        """Call the store, and retry once if the call got no reply.

        Otherwise, pooled connections that have gone silent would fail an operator's
        change although the store is up. After the first timeout the client uses new
        connections. Both operations are idempotent.
        """
        url = f"{self._base}/{key}"
        for _ in range(MAX_ATTEMPTS - 1):
            result = await self._client.call(method, url, body=body)
            if result.is_ok() or isinstance(result.error, NotSent):
                return result
        return await self._client.call(method, url, body=body)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
