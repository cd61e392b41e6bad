"""Call the platform over HTTP and tell what surely was not sent."""

import asyncio
from typing import Final, NamedTuple

import aiohttp

from radishtally.connector import CheckedConnector
from radishtally.outcome import Error, Ok, Result

CONNECT_PART: Final = 0.5
"""Part of a call's timeout that may pass before the request is sent."""


class Reply(NamedTuple):
    """Hold a whole reply."""

    status: int
    body: bytes


class NotSent(NamedTuple):
    """Say that the request never left this host."""

    message: str


class NoReply(NamedTuple):
    """Say that the request may have arrived, but no whole reply came back."""

    message: str


CallError = NotSent | NoReply


class _Pool:
    """Count the calls that still use a session."""

    def __init__(self, timeout: float) -> None:
        limits = aiohttp.ClientTimeout(total=timeout, connect=timeout * CONNECT_PART)
        # Nothing in an answer says which call it belongs to.
        connector = CheckedConnector("platform")
        self.session = aiohttp.ClientSession(connector=connector, timeout=limits)
        self.calls = 0
        self.retired = False


class HttpClient:
    """Keep connections to one service of the platform."""

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
        """Send one request and read its whole reply."""
        pool = self._enter()
        try:
            async with pool.session.request(
                method, url, headers=headers, data=body, allow_redirects=False
            ) as response:
                return Ok(Reply(response.status, await response.read()))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Error(NotSent(_describe(error)))
        except TimeoutError as error:
            self._retire(pool)
            return Error(NoReply(_describe(error)))
        except (aiohttp.ClientError, OSError) as error:
            return Error(NoReply(_describe(error)))
        finally:
            await self._leave(pool)

    async def close(self) -> None:
        """Close all connections."""
        pool, self._pool = self._pool, None
        if pool is not None:
            await pool.session.close()

    def _enter(self) -> _Pool:
        # A session is bound to the running loop, so the first call makes it.
        if self._pool is None:
            self._pool = _Pool(self._timeout)
        self._pool.calls += 1
        return self._pool

    def _retire(self, pool: _Pool) -> None:
        # Failure: something between the two ends forgets open connections, which
        # then stay silent for good. Symptom: every idle connection costs the next
        # call a whole timeout. New calls therefore get new connections after the
        # first timeout, and calls under way keep the old ones to their end.
        pool.retired = True
        if self._pool is pool:
            self._pool = None

    async def _leave(self, pool: _Pool) -> None:
        pool.calls -= 1
        if pool.retired and pool.calls == 0:
            await asyncio.shield(pool.session.close())


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__
