"""Speak to a plain service."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

import aiohttp

from radishtally.agent import events
from radishtally.agent.const import CALL_SECONDS, UPSTREAM_CONNECT_SECONDS
from radishtally.exchange import EXCHANGE_ERRORS, CheckedResponse, SendOnce
from radishtally.links.messages import Offer
from radishtally.outcome import Ran
from radishtally.tasks import AttemptTasks

ATTR_KEY: Final = "Idempotency-Key"
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
PASSED_BACK: Final = frozenset({"content-type", "etag", "last-modified", "location"})
DATA_BYTES: Final = 65_536


class Service:
    """Run calls at one service."""

    def __init__(self, url: str, report: Callable[[events.Event], None]) -> None:
        self._url = url
        self._report = report
        self._tasks = AttemptTasks()
        # A connection that is kept open may be closed by the service just as a call
        # goes out on it; whether the call ran can't be told then. A new connection
        # that fails surely carried nothing.
        self._session = aiohttp.ClientSession(
            auto_decompress=False,
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            response_class=CheckedResponse,
        )

    async def close(self) -> None:
        """End all calls and connections."""
        self._tasks.cancel_all()
        await self._session.close()

    async def is_up(self) -> bool:
        """Tell whether the service takes connections."""
        host, port = self._url.split("://", 1)[1].split("/", 1)[0].rsplit(":", 1)
        try:
            async with asyncio.timeout(UPSTREAM_CONNECT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    def run(self, offer: Offer) -> None:
        """Begin a call; what comes of it is reported as events."""
        self._tasks.start(offer.work.request, offer.attempt, self._run(offer))

    def abort(self, request: str, attempt: int) -> None:
        """End a call that may be run again."""
        self._tasks.cancel(request, attempt)

    async def _run(self, offer: Offer) -> None:
        work = offer.work
        attempt_id = work.request, offer.attempt
        started = time.monotonic()
        headers = dict(work.headers)
        headers["X-Request-Id"] = work.request
        headers[ATTR_KEY] = work.key or work.request
        timeout = aiohttp.ClientTimeout(
            total=max(offer.budget, 1.0) if work.idempotent else CALL_SECONDS,
            sock_connect=UPSTREAM_CONNECT_SECONDS,
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
                await self._read(attempt_id, response, started)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._report(events.Failed(*attempt_id, Ran.NO, repr(error)))
        except EXCHANGE_ERRORS as error:
            self._report(events.Failed(*attempt_id, Ran.UNKNOWN, repr(error)))

    async def _read(
        self, attempt_id: tuple[str, int], response: CheckedResponse, started: float
    ) -> None:
        size = 0
        async for data in response.content.iter_chunked(DATA_BYTES):
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                text = f"the service's answer is over {MAX_ANSWER_BYTES} bytes"
                self._report(events.Failed(*attempt_id, Ran.UNKNOWN, text))
                return
            self._report(events.Produced(*attempt_id, data, 0))
        response.check_end()
        # A process that is killed closes its connections like one that is done.
        if not response.is_framed and not await self.is_up():
            text = "the service has ended behind an answer without a length"
            self._report(events.Failed(*attempt_id, Ran.UNKNOWN, text))
            return
        headers = tuple(
            (str(key), value)
            for key, value in response.headers.items()
            if key.lower() in PASSED_BACK
        )
        seconds = time.monotonic() - started
        self._report(
            events.Completed(*attempt_id, response.status, "", 0, 0, headers, seconds)
        )
