"""Client of a plain HTTP service."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

import aiohttp

from radishtally.agent import events
from radishtally.agent.const import CALL_TIMEOUT_SECONDS, CONNECT_TIMEOUT_SECONDS
from radishtally.exchange import EXCHANGE_ERRORS, CheckedResponse, SendOnce
from radishtally.links.messages import Offer
from radishtally.outcome import Ran
from radishtally.tasks import AttemptTasks

KEY_HEADER: Final = "Idempotency-Key"
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
FORWARDED_HEADERS: Final = frozenset(
    {"content-type", "etag", "last-modified", "location"}
)
READ_CHUNK_BYTES: Final = 65_536


class Service:
    """Run calls at one service."""

    def __init__(self, url: str, report: Callable[[events.Event], None]) -> None:
        self._url = url
        self._report = report
        self._tasks = AttemptTasks()
        # The service may close a kept-open connection just as a call is sent on it, and
        # whether the call ran is then unknown. If a new connection can't be opened,
        # nothing was sent.
        self._session = aiohttp.ClientSession(
            auto_decompress=False,
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            response_class=CheckedResponse,
        )

    async def close(self) -> None:
        """Cancel all calls and close all connections."""
        self._tasks.cancel_all()
        await self._session.close()

    async def is_up(self) -> bool:
        """Return whether the service accepts connections."""
        host, port = self._url.split("://", 1)[1].split("/", 1)[0].rsplit(":", 1)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    def run(self, offer: Offer) -> None:
        """Start a call; its results are reported as events."""
        self._tasks.start(offer.work.request, offer.attempt, self._run(offer))

    def abort(self, request: str, attempt: int) -> None:
        """Cancel a call that may be run again."""
        self._tasks.cancel(request, attempt)

    async def _run(self, offer: Offer) -> None:
        work = offer.work
        attempt_id = work.request, offer.attempt
        started = time.monotonic()
        headers = dict(work.headers)
        headers["X-Request-Id"] = work.request
        headers[KEY_HEADER] = work.key or work.request
        timeout = aiohttp.ClientTimeout(
            total=max(offer.budget, 1.0) if work.idempotent else CALL_TIMEOUT_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )
        try:
            async with self._session.request(
                work.method,
                f"{self._url}/{work.path.lstrip('/')}",
                data=work.body or None,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
                middlewares=(SendOnce(),),
            ) as response:
                await self._read_response(attempt_id, response, started)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._report(events.Failed(*attempt_id, Ran.NO, repr(error)))
        except EXCHANGE_ERRORS as error:
            self._report(events.Failed(*attempt_id, Ran.UNKNOWN, repr(error)))

    async def _read_response(
        self, attempt_id: tuple[str, int], response: CheckedResponse, started: float
    ) -> None:
        size = 0
        async for data in response.content.iter_chunked(READ_CHUNK_BYTES):
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                text = f"the service's answer is over {MAX_ANSWER_BYTES} bytes"
                self._report(events.Failed(*attempt_id, Ran.UNKNOWN, text))
                return
            self._report(events.Produced(*attempt_id, data, 0))
        response.check_end()
        # A killed process closes its connections like one that has sent everything, so
        # an answer without a length counts as whole only if the service is still up.
        if not response.is_framed and not await self.is_up():
            text = "the service has ended behind an answer without a length"
            self._report(events.Failed(*attempt_id, Ran.UNKNOWN, text))
            return
        headers = tuple(
            (str(key), value)
            for key, value in response.headers.items()
            if key.lower() in FORWARDED_HEADERS
        )
        seconds = time.monotonic() - started
        self._report(
            events.Completed(*attempt_id, response.status, "", 0, 0, headers, seconds)
        )
