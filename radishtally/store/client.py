"""HTTP client for the platform that distinguishes unsent requests from lost replies."""

import asyncio
from typing import Final, NamedTuple

import aiohttp

from radishtally.connector import CheckedConnector
from radishtally.exchange import EXCHANGE_ERRORS, read_body
from radishtally.outcome import Error, Ok, Result

CONNECT_TIMEOUT_FRACTION: Final = 0.5
"""Connect timeout, as a fraction of a call's total timeout."""
MAX_REPLY_BYTES: Final = 64 * 1024 * 1024
"""Largest reply, such as an object with a set of configuration files."""


class Reply(NamedTuple):
    """Represent a complete reply."""

    status: int
    body: bytes


class NotSent(NamedTuple):
    """Error: the request was never sent."""

    message: str


class NoReply(NamedTuple):
    """Error: the request may have arrived, but no complete reply came back."""

    message: str


CallError = NotSent | NoReply


class _Pool:
    """Hold a session, and count the calls that use it."""

    def __init__(self, timeout: float) -> None:
        limits = aiohttp.ClientTimeout(
            total=timeout, connect=timeout * CONNECT_TIMEOUT_FRACTION
        )
        # Replies carry no request id, so a reply can't be matched to its call.
        connector = CheckedConnector("platform")
        self.session = aiohttp.ClientSession(connector=connector, timeout=limits)
        self.calls = 0
        self.retired = False


class HttpClient:
    """Call one service of the platform over pooled connections."""

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._pool: _Pool | None = None

    async def call(
        self,
        method: str,
        url: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Result[Reply, CallError]:
        """Send one request and read its complete reply."""
        pool = self._acquire_pool()
        try:
            async with pool.session.request(
                method, url, headers=headers, data=body, allow_redirects=False
            ) as response:
                body = await read_body(response, MAX_REPLY_BYTES)
                return Ok(Reply(response.status, body))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Error(NotSent(_describe(error)))
        except TimeoutError as error:
            self._retire_pool(pool)
            return Error(NoReply(_describe(error)))
        except EXCHANGE_ERRORS as error:
            return Error(NoReply(_describe(error)))
        finally:
            await self._release_pool(pool)

    async def close(self) -> None:
        """Close all connections."""
        pool, self._pool = self._pool, None
        if pool is not None:
            await pool.session.close()

    def _acquire_pool(self) -> _Pool:
        # A session is bound to the running event loop, so the first call creates it.
        if self._pool is None:
            self._pool = _Pool(self._timeout)
        self._pool.calls += 1
        return self._pool

    def _retire_pool(self, pool: _Pool) -> None:
        # Failure: a device on the network path drops its state of open connections,
        # which then stay silent forever. Symptom: each idle connection costs the next
        # call that uses it a full timeout. Therefore, after the first timeout, new
        # calls get new connections, and calls in flight finish on the old ones.
        pool.retired = True
        if self._pool is pool:
            self._pool = None

    async def _release_pool(self, pool: _Pool) -> None:
        pool.calls -= 1
        if pool.retired and pool.calls == 0:
            await asyncio.shield(pool.session.close())


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__
