"""Read the answers of hosts that have no agent, and report as an agent would."""

from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
import xxhash
from eliot import log_message

from radishtally.connector import ConnectionUsage
from radishtally.direct.answer_checks import (
    AnswerMismatch,
    IncompleteAnswerError,
    IncompleteReason,
    MismatchedAnswerError,
    find_mismatch,
)
from radishtally.direct.const import MAX_ANSWER_BYTES, OK, READ_BYTES
from radishtally.direct.core import NO_NOTICE, Dialect, Head, Instance, Notice
from radishtally.direct.pool import WatchedResponse
from radishtally.direct.probes import HostProbes
from radishtally.direct.stream import EventSplitter, continues_stream
from radishtally.exchange import decode_headers
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
    Message,
    Offer,
    Refused,
)
from radishtally.outcome import Ran
from radishtally.serving.terms import Terms

Receive = Callable[[str, Message], None]
Name = tuple[str, int]


@dataclass(slots=True)
class _Progress:
    """Follow the answer to one attempt."""

    offset: int
    tokens: int
    checksum: xxhash.xxh64


class AnswerReader:
    """Read answers, each to the end that its host gives it."""

    def __init__(
        self,
        dialect: Dialect,
        receive: Receive,
        probes: HostProbes,
        is_leaving: Callable[[str], bool],
    ) -> None:
        self._dialect = dialect
        self._receive = receive
        self._probes = probes
        self._is_leaving = is_leaving
        self.on_mismatch: Callable[[AnswerMismatch], None] = lambda doubt: None
        self.on_notice: Callable[[Instance, Notice], None] = lambda host, notice: None

    async def read(
        self, response: WatchedResponse, instance: Instance, offer: Offer, terms: Terms
    ) -> None:
        """Read the answer to an offer; raise if it breaks off or is not taken."""
        host = instance.host
        name = offer.work.request, offer.attempt
        head = self._dialect.read_head(
            response.status, decode_headers(response.raw_headers)
        )
        doubt = find_mismatch(head.names, offer.work.request, response.usage)
        if doubt is not None:
            # Whatever follows on the connection can't be told apart either.
            response.abort()
            self._note_doubt(doubt, head, response.usage, instance, offer)
            raise MismatchedAnswerError(doubt)
        self.report_notice(response, instance)
        if head.not_run:
            reason = REPLACED if head.is_replaced else f"status {head.status}"
            self._receive(host, Refused(*name, reason, 0.0))
            return
        self._receive(host, Accepted(*name, 0.0))
        if offer.stage == PREFILL:
            await self._read_handle(response, instance, offer)
            return
        if not head.signature and head.status < 300:
            raise aiohttp.ClientPayloadError("the answer is not the host's own")
        if offer.work.kind == CALL or head.status != OK:
            await self._collect(response, instance, offer, head)
            return
        await self._follow(response, instance, offer, terms, head)

    def report_notice(self, response: WatchedResponse, instance: Instance) -> None:
        """Take what the head of any answer says of its host."""
        headers = decode_headers(response.raw_headers)
        notice = self._dialect.read_notice(response.status, headers)
        if notice != NO_NOTICE:
            self.on_notice(instance, notice)

    def _note_doubt(
        self,
        doubt: AnswerMismatch,
        head: Head,
        usage: ConnectionUsage,
        instance: Instance,
        offer: Offer,
    ) -> None:
        self.on_mismatch(doubt)
        log_message(
            "upstream:answer_doubted",
            request=offer.work.request,
            attempt=offer.attempt,
            upstream_host=instance.host,
            doubt=doubt,
            names=head.names,
            status=head.status,
            signature=head.signature,
            connection_age=round(usage.age, 4),
            carried=usage.carried,
        )

    async def _check_close(
        self, instance: Instance, offer: Offer, rest: int = 0, is_empty: bool = False
    ) -> None:
        """Raise if an answer that ended with its connection may lack a part.

        A process that is killed closes its connections like one that is done.
        """
        # What leaves ends soon after its last answer.
        is_leaving = self._is_leaving(instance.host)
        has_ended = not is_leaving and await self._probes.probe(instance)
        log_message(
            "upstream:answer_unframed",
            request=offer.work.request,
            attempt=offer.attempt,
            upstream_host=instance.host,
            rest=rest,
            has_ended=has_ended,
        )
        if rest:
            raise IncompleteAnswerError(IncompleteReason.CUT_EVENT)
        if is_empty:
            raise IncompleteAnswerError(IncompleteReason.NO_EVENT)
        if has_ended:
            raise IncompleteAnswerError(IncompleteReason.HOST_ENDED)

    async def _read_handle(
        self, response: WatchedResponse, instance: Instance, offer: Offer
    ) -> None:
        name = offer.work.request, offer.attempt
        read = self._dialect.read_handle(await response.read(), instance)
        if response.status != OK or read.is_error():
            reason = f"no KV cache, status {response.status}"
            self._receive(instance.host, Lost(*name, Ran.NO, reason, 0))
            return
        progress = _begin(offer)
        checksum = progress.checksum.intdigest()
        end = Handover(*name, progress.offset, checksum, read.ok)
        self._receive(instance.host, end)

    async def _collect(
        self, response: WatchedResponse, instance: Instance, offer: Offer, head: Head
    ) -> None:
        """Take an answer as a whole before any of it is passed on."""
        host = instance.host
        name = offer.work.request, offer.attempt
        body = bytearray()
        async for data in response.content.iter_chunked(READ_BYTES):
            body += data
            if len(body) > MAX_ANSWER_BYTES:
                text = f"the answer is over {MAX_ANSWER_BYTES} bytes"
                raise aiohttp.ClientPayloadError(text)
        response.check_end()
        if not response.is_framed:
            await self._check_close(instance, offer)
        checksum = xxhash.xxh64_intdigest(bytes(body))
        if body:
            self._receive(host, Chunk(*name, 0, bytes(body), 0))
        end = Finished(*name, len(body), checksum, head.status, "", 0, 0, head.headers)
        self._receive(host, end)

    async def _follow(
        self,
        response: WatchedResponse,
        instance: Instance,
        offer: Offer,
        terms: Terms,
        head: Head,
    ) -> None:
        """Pass on the events of a stream as they come whole."""
        host = instance.host
        name = offer.work.request, offer.attempt
        progress = _begin(offer)
        splitter = EventSplitter()
        self._receive(host, Begun(*name, head.status, head.headers))
        async for data in response.content.iter_any():
            found = splitter.feed(data)
            if found is None:
                continue
            is_first = progress.offset == len(offer.done)
            if is_first and not _begins_as_asked(found.first, offer, terms):
                raise IncompleteAnswerError(IncompleteReason.OTHER_EVENT)
            progress.tokens = max(progress.tokens, found.last)
            self._pass_on(host, name, progress, found.data)
        response.check_end()
        if not response.is_framed:
            is_empty = progress.offset == len(offer.done)
            await self._check_close(instance, offer, len(splitter.rest), is_empty)
        if splitter.rest:
            self._pass_on(host, name, progress, splitter.rest)
        length, checksum = progress.offset, progress.checksum.intdigest()
        end = Finished(
            *name, length, checksum, head.status, "", 0, progress.tokens, head.headers
        )
        self._receive(host, end)

    def _pass_on(self, host: str, name: Name, progress: _Progress, data: bytes) -> None:
        chunk = Chunk(*name, progress.offset, data, progress.tokens)
        progress.offset += len(data)
        progress.checksum.update(data)
        self._receive(host, chunk)


def _begins_as_asked(first: int, offer: Offer, terms: Terms) -> bool:
    """Tell whether a run begins behind what its caller has, by its first event's id."""
    if offer.done:
        return continues_stream(first, offer.done)
    return not first or first > terms.resumed_after


def _begin(offer: Offer) -> _Progress:
    return _Progress(len(offer.done), offer.tokens_done, xxhash.xxh64(offer.done))
