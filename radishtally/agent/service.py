"""Client of a plain HTTP service."""

import asyncio
import time
from collections.abc import Callable
from functools import partial
from typing import Final

import aiohttp
from eliot import log_message
from yarl import URL

from radishtally.agent import events
from radishtally.agent.const import (
    CALL_TIMEOUT_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    REASON_UNEXPECTED,
)
from radishtally.connector import CheckedConnector, CheckedHandler
from radishtally.exchange import EXCHANGE_ERRORS, CheckedResponse, SendOnce
from radishtally.links.messages import Offer
from radishtally.liveness import (
    UNFRAMED_END,
    Evidence,
    Liveness,
    SharedProbes,
    Sign,
    assess,
    read_connect_error,
)
from radishtally.outcome import Ran
from radishtally.tasks import AttemptTasks

KEY_HEADER: Final = "Idempotency-Key"
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
FORWARDED_HEADERS: Final = frozenset(
    {"content-type", "etag", "last-modified", "location"}
)
READ_CHUNK_BYTES: Final = 65_536
INTERMEDIARY_FAILURES: Final = (502, 503, 504)
"""Statuses that an intermediary answers with if it can't reach the service."""
QUERY_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=2 * UNFRAMED_END.answer_seconds,
    sock_connect=UNFRAMED_END.answer_seconds,
    sock_read=UNFRAMED_END.answer_seconds,
)


class ServiceResponse(CheckedResponse):
    """Provide the address of the process or relay that has answered."""

    _watched: CheckedHandler | None = None

    @property
    def peer(self) -> tuple[str, int] | None:
        """Return the IP and port of the connection's other end, if known."""
        return None if self._watched is None else self._watched.peer


class Service:
    """Run calls at one service."""

    def __init__(self, url: str, report: Callable[[events.Event], None]) -> None:
        self._url = url
        self._report = report
        self._tasks = AttemptTasks(self._report_fault)
        self._connector = CheckedConnector("service", limit=0, force_close=True)
        # The service may close a kept-open connection just as a call is sent on it, and
        # whether the call ran is then unknown. If a new connection can't be opened,
        # nothing was sent.
        self._session = aiohttp.ClientSession(
            auto_decompress=False,
            connector=self._connector,
            response_class=ServiceResponse,
        )
        self._probes = SharedProbes(self._assess)

    async def close(self) -> None:
        """Cancel all calls and close all connections."""
        self._tasks.cancel_all()
        self._probes.cancel_all()
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

    def _report_fault(self, request: str, attempt: int) -> None:
        failed = events.Failed(request, attempt, Ran.UNKNOWN, REASON_UNEXPECTED)
        self._report(failed)

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
        self, attempt_id: tuple[str, int], response: ServiceResponse, started: float
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
        if not response.is_framed:
            evidence = await self._check_unframed_end(attempt_id, response)
            if evidence.liveness != Liveness.ALIVE:
                state = f"{evidence.liveness}: {evidence.sign}"
                text = f"an answer without a length, and the service is {state}"
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

    async def _check_unframed_end(
        self, attempt_id: tuple[str, int], response: ServiceResponse
    ) -> Evidence:
        """Return evidence on whether an answer without framing has ended whole.

        A killed process closes its connections just like one that has finished.
        """
        evidence = await self._probes.probe(response.peer)
        log_message(
            "service:answer_unframed",
            request=attempt_id[0],
            attempt=attempt_id[1],
            **evidence.describe(),
        )
        return evidence

    async def _assess(self, peer: tuple[str, int] | None) -> Evidence:
        return await assess(
            self._query_sign, partial(self._count_open, peer), UNFRAMED_END
        )

    async def _query_sign(self) -> Sign:
        """Query whether the service answers a request without effect."""
        try:
            async with self._session.options(
                URL(self._url).origin(),
                timeout=QUERY_TIMEOUT,
                allow_redirects=False,
                middlewares=(SendOnce(),),
            ) as response:
                is_unclear = response.status in INTERMEDIARY_FAILURES
                return Sign.UNCLEAR if is_unclear else Sign.ANSWERED
        except aiohttp.ConnectionTimeoutError:
            return Sign.UNREACHED
        except aiohttp.ClientConnectorError as error:
            return read_connect_error(error.os_error)
        except TimeoutError:
            return Sign.SILENT
        except EXCHANGE_ERRORS:
            return Sign.CLOSED

    def _count_open(
        self,
        peer: tuple[str, int] | None,
        opened_before: float,
        received_after: float,
    ) -> int:
        if peer is None:
            return 0
        address = f"{peer[0]}:{peer[1]}"
        return self._connector.count_open(address, opened_before, received_after)
