"""Client of a model engine."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Final

import aiohttp
import msgspec
from expression import Error, Ok, Result

from radishtally.agent import events
from radishtally.agent.const import (
    CONNECT_TIMEOUT_SECONDS,
    FIRST_TOKEN_TIMEOUT_SECONDS,
    NEXT_TOKEN_TIMEOUT_SECONDS,
    PREFILL_TIMEOUT_FACTOR,
    REASON_UNEXPECTED,
)
from radishtally.agent.sse import Done, read_parts
from radishtally.connector import CheckedConnector
from radishtally.decoding import DECODE_ERRORS, decode
from radishtally.exchange import EXCHANGE_ERRORS, BodyTooLargeError, read_body
from radishtally.links.messages import CHAT, PREFILL, KvRef, Offer
from radishtally.numbers import Count, NonNegative
from radishtally.outcome import Fault, Ran
from radishtally.tasks import AttemptTasks

CALL_TIMEOUT: Final = aiohttp.ClientTimeout(total=2.0)
KV_TIMEOUT: Final = aiohttp.ClientTimeout(total=2.0)
"""Prefilling again costs less than waiting longer for a host that may be gone."""
STREAM_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
)
NOT_FOUND: Final = 404
RETRYABLE_STATUSES: Final = frozenset({408, 425, 429})
"""Client error statuses that do not mean that the request itself is at fault."""
MAX_LINE_BYTES: Final = 1024 * 1024
MAX_REPLY_BYTES: Final = 1024 * 1024
"""Largest answer of the engine other than a stream or a KV cache."""
MAX_KV_BYTES: Final = 256 * 1024 * 1024
"""Largest KV cache that is copied; with a larger one the prompt is prefilled again."""
MAX_STREAM_BYTES: Final = 16 * 1024 * 1024
"""Largest text of one answer."""
COMPLETION_PATHS: Final = {True: "/v1/chat/completions", False: "/v1/completions"}
"""Paths for chats (true) and for plain completions (false)."""


class EngineState(msgspec.Struct):
    """Hold the state that the engine reports."""

    role: str
    model: str
    version: str
    adapters: tuple[str, ...]
    changing: bool
    incarnation: str
    fencing: Count
    max_batch: Count
    prefill_tokens_per_second: NonNegative
    decode_seconds_per_token: NonNegative


class OrderReply(msgspec.Struct):
    """Hold the body of the engine's answer to an order."""

    highest: Count = 0
    """Highest fencing token that the engine has seen, if it refuses a lower one."""


class ExportReply(msgspec.Struct):
    """Locate an exported KV cache."""

    handle: str
    tokens: Count


_STATE_DECODER: Final = msgspec.json.Decoder(EngineState)
_ORDER_DECODER: Final = msgspec.json.Decoder(OrderReply)
_EXPORT_DECODER: Final = msgspec.json.Decoder(ExportReply)


class Engine:
    """Run work at one engine and send it orders."""

    def __init__(
        self, host: str, url: str, report: Callable[[events.Event], None]
    ) -> None:
        self._host = host
        self._url = url
        self._report = report
        # A connection that is kept open may have been dropped silently, and work sent
        # on it would wait until its time-out. A new connection to an engine on the
        # same host costs little.
        self._session = aiohttp.ClientSession(
            read_bufsize=MAX_LINE_BYTES,
            connector=CheckedConnector("engine", limit=0, force_close=True),
        )
        self._tasks = AttemptTasks(self._report_fault)
        self._token_deadlines: dict[tuple[str, int], float] = {}
        """Time by which each running attempt must produce its next token."""
        self._prefill_rate = float("inf")

    async def close(self) -> None:
        """Cancel all work and close all connections."""
        self._tasks.cancel_all()
        await self._session.close()

    async def read_state(self) -> Result[EngineState, Fault]:
        """Read the engine's state."""
        try:
            async with self._session.get(
                f"{self._url}/state", timeout=CALL_TIMEOUT
            ) as response:
                body = await read_body(response, MAX_REPLY_BYTES)
        except EXCHANGE_ERRORS as error:
            return Error(Fault(repr(error), self._url))
        read = decode(_STATE_DECODER, body)
        if read.is_error():
            return Error(Fault(read.error, self._url))
        state = read.ok
        self._prefill_rate = state.prefill_tokens_per_second or float("inf")
        return Ok(state)

    async def order(
        self, body: dict[str, Any]
    ) -> Result[tuple[int, OrderReply], Fault]:
        """Send an order; return the status and the body of the engine's answer."""
        try:
            async with self._session.post(
                f"{self._url}/orders", json=body, timeout=CALL_TIMEOUT
            ) as response:
                status = response.status
                answer = await read_body(response, MAX_REPLY_BYTES)
        except EXCHANGE_ERRORS as error:
            return Error(Fault(repr(error), self._url))
        read = decode(_ORDER_DECODER, answer)
        if read.is_error():
            return Error(Fault(read.error, self._url))
        return Ok((status, read.ok))

    def _report_fault(self, request: str, attempt: int) -> None:
        failed = events.Failed(request, attempt, Ran.UNKNOWN, REASON_UNEXPECTED)
        self._report(failed)

    def run(self, offer: Offer) -> None:
        """Start work; its results are reported as events."""
        self._tasks.start(offer.work.request, offer.attempt, self._run(offer))

    def abort(self, request: str, attempt: int) -> None:
        """Cancel work without reporting an outcome."""
        self._tasks.cancel(request, attempt)
        self._tasks.spawn_detached(self._cancel(request, attempt))

    def abort_silent_streams(self, now: float) -> None:
        """Abort streams that have not produced a token in time.

        A connection that a device between its ends has dropped gives no error, only
        silence, and its answer would wait until its deadline. The rest is generated
        elsewhere. The first token gets several times the expected prefill time.
        """
        for attempt_id, deadline in list(self._token_deadlines.items()):
            if now <= deadline:
                continue
            del self._token_deadlines[attempt_id]
            self.abort(*attempt_id)
            reason = "the engine's stream went silent"
            self._report(events.Failed(*attempt_id, Ran.UNKNOWN, reason))

    def _get_first_token_timeout(self, offer: Offer) -> float:
        prefill = (offer.work.prompt_tokens + offer.tokens_done) / self._prefill_rate
        return FIRST_TOKEN_TIMEOUT_SECONDS + PREFILL_TIMEOUT_FACTOR * prefill

    def export(self, request: str, attempt: int) -> None:
        """Stop work and export its KV cache for another engine."""
        task = self._tasks.pop(request, attempt)
        self._tasks.spawn_detached(self._export(request, attempt, task))

    async def _run(self, offer: Offer) -> None:
        attempt_id = offer.work.request, offer.attempt
        ran = Ran.NO
        started = time.monotonic()
        self._token_deadlines[attempt_id] = started + self._get_first_token_timeout(
            offer
        )
        try:
            kv = await self._import_kv(offer.kv)
            body = make_engine_body(offer, kv)
            headers = {"X-Request-Id": make_engine_id(*attempt_id)}
            path = COMPLETION_PATHS[offer.work.kind == CHAT]
            async with self._session.post(
                self._url + path, json=body, headers=headers, timeout=STREAM_TIMEOUT
            ) as response:
                if response.status != 200:
                    for event in await _explain_refusal(attempt_id, response):
                        self._report(event)
                    return
                ran = Ran.UNKNOWN
                await self._read_stream(attempt_id, response, started)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._report(events.Failed(*attempt_id, Ran.NO, repr(error)))
        except EXCHANGE_ERRORS as error:
            ran = Ran.UNKNOWN if not isinstance(error, ValueError) else ran
            self._report(events.Failed(*attempt_id, ran, repr(error)))
        finally:
            self._token_deadlines.pop(attempt_id, None)

    async def _read_stream(
        self,
        attempt_id: tuple[str, int],
        response: aiohttp.ClientResponse,
        started: float,
    ) -> None:
        reason, prompt_tokens, output_tokens = None, 0, 0
        size = 0
        async for part in read_parts(response.content):
            if isinstance(part, Done):
                break
            if part.text:
                self._token_deadlines[attempt_id] = (
                    time.monotonic() + NEXT_TOKEN_TIMEOUT_SECONDS
                )
                text = part.text.encode()
                size += len(text)
                if size > MAX_STREAM_BYTES:
                    raise BodyTooLargeError(MAX_STREAM_BYTES)
                self._report(events.Produced(*attempt_id, text, 1))
            reason = part.finish_reason or reason
            if part.usage is not None:
                prompt_tokens = part.usage.prompt_tokens
                output_tokens = part.usage.completion_tokens
        # A stream without a finish reason was cut, even if it ended regularly.
        if reason is None:
            self._report(
                events.Failed(*attempt_id, Ran.UNKNOWN, "the engine's stream was cut")
            )
            return
        seconds = time.monotonic() - started
        counts = prompt_tokens, output_tokens
        self._report(events.Completed(*attempt_id, 200, reason, *counts, (), seconds))

    async def _import_kv(self, kv: KvRef | None) -> str | None:
        """Copy a KV cache to the engine; return None if it must prefill the prompt."""
        if kv is None:
            return None
        try:
            async with self._session.get(
                f"{kv.url}/kv/{kv.handle}", timeout=KV_TIMEOUT
            ) as response:
                if response.status != 200:
                    return None
                blob = await read_body(response, MAX_KV_BYTES)
            async with self._session.post(
                f"{self._url}/kv/import",
                params={"handle": kv.handle},
                data=blob,
                timeout=KV_TIMEOUT,
            ) as response:
                return kv.handle if response.status == 200 else None
        except EXCHANGE_ERRORS:
            return None

    async def _export(
        self, request: str, attempt: int, task: asyncio.Task | None
    ) -> None:
        kv = None
        body = {"request_id": make_engine_id(request, attempt)}
        try:
            async with self._session.post(
                f"{self._url}/kv/export", json=body, timeout=CALL_TIMEOUT
            ) as response:
                if response.status == 200:
                    body = await read_body(response, MAX_REPLY_BYTES)
                    read = decode(_EXPORT_DECODER, body)
                    if read.is_ok():
                        found = read.ok.handle, read.ok.tokens
                        kv = KvRef(self._host, self._url, *found)
        except EXCHANGE_ERRORS:
            kv = None
        if task is not None:
            task.cancel()
            await self._cancel(request, attempt)
        self._report(events.Exported(request, attempt, kv))

    async def _cancel(self, request: str, attempt: int) -> None:
        engine_id = make_engine_id(request, attempt)
        try:
            async with self._session.post(
                f"{self._url}/v1/requests/{engine_id}/cancel", timeout=CALL_TIMEOUT
            ):
                pass
        except EXCHANGE_ERRORS:
            return


def make_engine_id(request: str, attempt: int) -> str:
    """Make the id under which the engine knows an attempt."""
    return f"{request}-{attempt}"


def make_engine_body(offer: Offer, kv_handle: str | None) -> dict[str, Any]:
    """Make the engine's request body, which asks for the rest of the answer only."""
    work = offer.work
    body = msgspec.json.decode(work.body, type=dict[str, Any])
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["priority"] = work.priority
    body["max_tokens"] = max(1, work.max_tokens - offer.tokens_done)
    body.pop("max_completion_tokens", None)
    transfer: dict[str, Any] = {}
    if kv_handle is not None:
        transfer["handle"] = kv_handle
    if offer.stage == PREFILL:
        body["max_tokens"] = 1
        transfer["export"] = True
    if transfer:
        body["kv_transfer_params"] = transfer
    if offer.done:
        _append_done_text(body, offer)
    return body


def _append_done_text(body: dict[str, Any], offer: Offer) -> None:
    done = offer.done.decode()
    if offer.work.kind == CHAT:
        messages = msgspec.convert(body.get("messages"), list[Any])
        body["messages"] = [*messages, {"role": "assistant", "content": done}]
        body["continue_final_message"] = True
        body["add_generation_prompt"] = False
        return
    body["prompt"] = msgspec.convert(body.get("prompt"), str) + done
    body["continue_from"] = len(done)


async def _explain_refusal(
    attempt_id: tuple[str, int], response: aiohttp.ClientResponse
) -> list[events.Event]:
    body = await read_body(response, MAX_REPLY_BYTES)
    status = response.status
    if status >= 500 or status in RETRYABLE_STATUSES:
        # Only an explicit "not_started" means that the work did not run.
        ran = Ran.NO if b"not_started" in body else Ran.UNKNOWN
        return [events.Failed(*attempt_id, ran, f"engine answered {status}")]
    if status == NOT_FOUND:
        return [events.Failed(*attempt_id, Ran.NO, "model or adapter not loaded")]
    # The request itself is at fault, so another engine would refuse it too.
    return [events.Completed(*attempt_id, status, _read_message(body), 0, 0, (), 0.0)]


def _read_message(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body)["error"]["message"])
    except (*DECODE_ERRORS, KeyError, TypeError):
        return "the engine refused the request"
