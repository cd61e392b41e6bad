"""Read answers of hosts without an agent and report them as agent messages."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

import aiohttp
import xxhash
from eliot import log_message

from radishtally.connector import ConnectionUsage
from radishtally.direct.answer_checks import (
    AnswerMismatch,
    IncompleteAnswerError,
    IncompleteReason,
    InvalidAnswerError,
    MismatchedAnswerError,
    UnframedEnd,
    find_mismatch,
)
from radishtally.direct.const import (
    FREE_STREAM_BYTES,
    MAX_ANSWER_BYTES,
    MAX_ERROR_BYTES,
    MAX_HANDLE_BYTES,
    MAX_STREAM_BYTES,
    OK,
    READ_BYTES,
    ROOM_SECONDS,
)
from radishtally.direct.core import NO_NOTICE, Dialect, Head, Instance, Notice
from radishtally.direct.pool import WatchedResponse
from radishtally.direct.probes import BROKEN_ANSWER, HostProbes
from radishtally.direct.stream import EventSplitter, continues_stream
from radishtally.exchange import BodyTooLargeError, decode_headers, read_body
from radishtally.growth import GrowingRoom
from radishtally.links.kinds import Message
from radishtally.links.messages import (
    CALL,
    PREFILL,
    REPLACED,
    Accepted,
    Begun,
    Chunk,
    Finished,
    Handover,
    Lost,
    Offer,
    Refused,
)
from radishtally.liveness import UNFRAMED_END, Evidence, Liveness
from radishtally.outcome import Ran
from radishtally.serving.terms import Terms

Receive = Callable[[str, Message], None]
AttemptId = tuple[str, int]
LIVENESS_LOSSES: Final = {
    Liveness.ALIVE: None,
    Liveness.ENDED: IncompleteReason.HOST_ENDED,
    Liveness.UNKNOWN: IncompleteReason.UNCONFIRMED,
}
START_LOSSES: Final = {
    Liveness.ALIVE: None,
    Liveness.ENDED: IncompleteReason.OTHER_START,
    Liveness.UNKNOWN: IncompleteReason.UNCONFIRMED_START,
}
UNFRAMED_ENDS: Final = {
    None: UnframedEnd.WHOLE,
    IncompleteReason.UNCONFIRMED: UnframedEnd.UNKNOWN,
}


@dataclass(slots=True)
class _Progress:
    """Track how much of an attempt's answer has been passed on."""

    offset: int
    tokens: int
    checksum: xxhash.xxh64


class AnswerReader:
    """Read answers to their end and report them as messages."""

    def __init__(
        self,
        dialect: Dialect,
        receive: Receive,
        probes: HostProbes,
    ) -> None:
        self._dialect = dialect
        self._receive = receive
        self._probes = probes
        self.on_mismatch: Callable[[AnswerMismatch], None] = lambda mismatch: None
        self.on_unframed: Callable[[UnframedEnd], None] = lambda verdict: None
        self.on_notice: Callable[[Instance, Notice, float], None] = lambda *_: None
        """Called with the time since which the host has reported its status."""
        self.is_limited: Callable[[str], bool] = lambda host: False
        """Returns whether a host has named a limit, which an answer may end."""
        self.is_doubted: Callable[[str], bool] = lambda host: False
        """Returns whether a host may have started again at another version."""
        self.reserve: Callable[[str, int], Awaitable[None]] = _reserve_nothing
        """Waits for room for an answer's bytes."""
        self.release: Callable[[str, int], None] = lambda request, size: None
        """Gives back room that an answer did not need."""

    async def read(
        self,
        response: WatchedResponse,
        instance: Instance,
        offer: Offer,
        terms: Terms,
        sent_at: float,
    ) -> None:
        """Read the answer to an offer; raise if it breaks off or is rejected."""
        host = instance.host
        attempt_id = offer.work.request, offer.attempt
        head = self._dialect.read_head(
            response.status, decode_headers(response.raw_headers)
        )
        mismatch = find_mismatch(head.names, offer.work.request, response.usage)
        if mismatch is not None:
            # Later answers on this connection could not be matched to requests either.
            response.abort()
            self._report_mismatch(mismatch, head, response.usage, instance, offer)
            raise MismatchedAnswerError(mismatch)
        if not head.is_replaced:
            self.report_notice(response, instance, sent_at)
        if head.not_run:
            reason = REPLACED if head.is_replaced else f"status {head.status}"
            self._receive(host, Refused(*attempt_id, reason, 0.0))
            return
        self._receive(host, Accepted(*attempt_id, 0.0))
        if offer.stage == PREFILL:
            await self._read_handle(response, instance, offer)
            return
        if not head.signature and head.status < 300:
            raise aiohttp.ClientPayloadError("the answer lacks the host's signature")
        if offer.work.kind == CALL or head.status != OK:
            await self._read_whole(response, instance, offer, head)
            return
        await self._stream(response, instance, offer, terms, head)

    def report_notice(
        self,
        response: WatchedResponse,
        instance: Instance,
        sent_at: float = float("-inf"),
    ) -> None:
        """Report the host status in the head of an answer, if there is any."""
        headers = decode_headers(response.raw_headers)
        notice = self._dialect.read_notice(response.status, headers)
        if notice != NO_NOTICE or self.is_limited(instance.host):
            self.on_notice(instance, notice, sent_at)

    def _report_mismatch(
        self,
        mismatch: AnswerMismatch,
        head: Head,
        usage: ConnectionUsage,
        instance: Instance,
        offer: Offer,
    ) -> None:
        self.on_mismatch(mismatch)
        log_message(
            "upstream:answer_doubted",
            request=offer.work.request,
            attempt=offer.attempt,
            upstream_host=instance.host,
            doubt=mismatch,
            names=head.names,
            status=head.status,
            signature=head.signature,
            connection_age=round(usage.age, 4),
            carried=usage.carried,
        )

    async def _check_unframed_end(
        self, instance: Instance, offer: Offer, rest: int = 0, is_empty: bool = False
    ) -> None:
        """Raise if an answer that ended with its connection may be incomplete.

        A killed process closes its connections just like one that has finished.
        """
        reason, evidence = await self._find_unframed_loss(instance, rest, is_empty)
        verdict = UNFRAMED_ENDS.get(reason, UnframedEnd.PART)
        self.on_unframed(verdict)
        log_message(
            "upstream:answer_unframed",
            request=offer.work.request,
            attempt=offer.attempt,
            upstream_host=instance.host,
            rest=rest,
            verdict=verdict,
            reason=reason,
            **({} if evidence is None else evidence.describe()),
        )
        if reason is not None:
            raise IncompleteAnswerError(reason)

    async def _find_unframed_loss(
        self, instance: Instance, rest: int, is_empty: bool
    ) -> tuple[IncompleteReason | None, Evidence | None]:
        """Return why an answer may be incomplete, and the evidence for that."""
        if rest:
            return IncompleteReason.CUT_EVENT, None
        if is_empty:
            return IncompleteReason.NO_EVENT, None
        # A leaving host may be killed before its last answers have ended.
        evidence = await self._probes.probe(instance, UNFRAMED_END)
        return LIVENESS_LOSSES[evidence.liveness], evidence

    async def _check_start(self, instance: Instance) -> None:
        """Raise if a host that goes on with a stream may have started again.

        The list shows a new start, which may have another software version, only with
        a delay, and not while the store is out of reach. The answer has begun, so a
        process that sent it can't have ended before the probe.
        """
        if not instance.started_ms:
            return
        evidence = await self._probes.probe(instance, UNFRAMED_END)
        reason = START_LOSSES[evidence.liveness]
        if reason is not None:
            raise IncompleteAnswerError(reason)

    async def _read_handle(
        self, response: WatchedResponse, instance: Instance, offer: Offer
    ) -> None:
        attempt_id = offer.work.request, offer.attempt
        body = await read_body(response, MAX_HANDLE_BYTES)
        read = self._dialect.read_handle(body, instance)
        if response.status != OK or read.is_error():
            reason = f"no KV cache, status {response.status}"
            self._receive(instance.host, Lost(*attempt_id, Ran.NO, reason, 0))
            return
        progress = _start_progress(offer)
        checksum = progress.checksum.intdigest()
        end = Handover(*attempt_id, progress.offset, checksum, read.ok)
        self._receive(instance.host, end)

    async def _read_whole(
        self, response: WatchedResponse, instance: Instance, offer: Offer, head: Head
    ) -> None:
        """Read a complete answer before passing any of it on."""
        host = instance.host
        attempt_id = offer.work.request, offer.attempt
        max_bytes = MAX_ANSWER_BYTES if head.status < 300 else MAX_ERROR_BYTES
        length = response.content_length
        if (length or 0) > max_bytes:
            raise BodyTooLargeError(max_bytes)
        # While there is no room the host can't send: nothing is read from it.
        if length is not None:
            await self.reserve(offer.work.request, length)
            body = await read_body(response, max_bytes)
        else:
            body = await self._read_growing(response, offer, max_bytes)
        response.check_end()
        if not response.is_framed:
            await self._check_unframed_end(instance, offer)
        checksum = xxhash.xxh64_intdigest(body)
        if body:
            self._receive(host, Chunk(*attempt_id, 0, body, 0))
        end = Finished(
            *attempt_id, len(body), checksum, head.status, "", 0, 0, head.headers
        )
        self._receive(host, end)

    async def _read_growing(
        self, response: WatchedResponse, offer: Offer, max_bytes: int
    ) -> bytes:
        """Read a body whose length is not known as far as there is room for it."""
        room = self._open_room(offer, max_bytes)
        body = bytearray()
        try:
            async for data in response.content.iter_chunked(READ_BYTES):
                body += data
                if len(body) > max_bytes:
                    raise BodyTooLargeError(max_bytes)
                await room.fit(len(body))
        except BaseException:
            room.shrink(0)
            raise
        room.shrink(len(body))
        return bytes(body)

    def _open_room(self, offer: Offer, max_bytes: int) -> GrowingRoom:
        request = offer.work.request
        return GrowingRoom(
            partial(self.reserve, request),
            partial(self.release, request),
            max_bytes,
            ROOM_SECONDS,
        )

    async def _stream(
        self,
        response: WatchedResponse,
        instance: Instance,
        offer: Offer,
        terms: Terms,
        head: Head,
    ) -> None:
        """Pass on the events of a stream as they become complete."""
        host = instance.host
        attempt_id = offer.work.request, offer.attempt
        if offer.done or terms.resumed_stream:
            await self._check_start(instance)
        elif self.is_doubted(host):
            # A host that has confirmed its start is doubted no longer.
            await self._probes.probe(instance, BROKEN_ANSWER)
        progress = _start_progress(offer)
        splitter = EventSplitter()
        room = self._open_room(offer, MAX_STREAM_BYTES)
        self._receive(host, Begun(*attempt_id, head.status, head.headers))
        async for data in response.content.iter_any():
            batch = splitter.feed(data)
            if batch is not None:
                is_first = progress.offset == len(offer.done)
                if is_first and not _starts_as_requested(batch.first, offer, terms):
                    raise IncompleteAnswerError(IncompleteReason.OTHER_EVENT)
                progress.tokens = max(progress.tokens, batch.last)
                self._pass_on(host, attempt_id, progress, batch.data)
            if splitter.fault is not None:
                raise InvalidAnswerError(splitter.fault)
            if progress.offset > MAX_STREAM_BYTES:
                raise BodyTooLargeError(MAX_STREAM_BYTES)
            if progress.offset > FREE_STREAM_BYTES:
                await room.fit(progress.offset)
        response.check_end()
        if not response.is_framed:
            is_empty = progress.offset == len(offer.done)
            await self._check_unframed_end(
                instance, offer, len(splitter.rest), is_empty
            )
        elif splitter.rest:
            # A regular end does not make up for the missing rest of the event.
            raise IncompleteAnswerError(IncompleteReason.CUT_EVENT)
        length, checksum = progress.offset, progress.checksum.intdigest()
        end = Finished(
            *attempt_id,
            length,
            checksum,
            head.status,
            "",
            0,
            progress.tokens,
            head.headers,
        )
        self._receive(host, end)

    def _pass_on(
        self, host: str, attempt_id: AttemptId, progress: _Progress, data: bytes
    ) -> None:
        chunk = Chunk(*attempt_id, progress.offset, data, progress.tokens)
        progress.offset += len(data)
        progress.checksum.update(data)
        self._receive(host, chunk)


async def _reserve_nothing(request: str, size: int) -> None:
    """Wait for nothing: no bound applies."""


def _starts_as_requested(first: int, offer: Offer, terms: Terms) -> bool:
    """Return whether a stream starts after the events that its caller already has."""
    if offer.done:
        return continues_stream(first, offer.done)
    return not first or first > terms.resumed_after


def _start_progress(offer: Offer) -> _Progress:
    return _Progress(len(offer.done), offer.tokens_done, xxhash.xxh64(offer.done))
