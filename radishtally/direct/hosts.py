"""Run offers at hosts that have no agent, and report as an agent would."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import aiohttp
import xxhash
from eliot import log_message
from yarl import URL

from radishtally.connector import Usage
from radishtally.direct.const import (
    DROP_SECONDS,
    MAX_ANSWER_BYTES,
    ORDER_SECONDS,
    READ_BYTES,
)
from radishtally.direct.core import (
    NO_NOTICE,
    Dialect,
    EngineReport,
    Head,
    Instance,
    KeptPart,
    Notice,
    OrderOutcome,
    UpstreamCall,
)
from radishtally.direct.doubts import (
    Doubt,
    Flaw,
    FlawedAnswerError,
    ForeignAnswerError,
    find_doubt,
)
from radishtally.direct.pool import WatchedResponse, is_refused, open_session
from radishtally.direct.stream import EventCutter, is_next
from radishtally.exchange import (
    BROKEN,
    SendOnce,
    decode_headers,
)
from radishtally.links.messages import (
    CALL,
    ENDED,
    LEAVING,
    PREFILL,
    REPLACED,
    UNREACHED,
    Accepted,
    Begun,
    Cancel,
    Chunk,
    Finished,
    Handover,
    KvRef,
    Lost,
    Message,
    Offer,
    Refused,
)
from radishtally.outcome import Error, Ok, Ran, Result
from radishtally.serving.terms import Terms
from radishtally.tasks import AttemptTasks

OK: Final = 200
NOT_CONNECTED: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)

Receive = Callable[[str, Message], None]
Name = tuple[str, int]


@dataclass(slots=True)
class _Progress:
    """Follow the answer to one attempt."""

    offset: int
    tokens: int
    checksum: xxhash.xxh64


class DirectHosts:
    """Reach the hosts of all direct upstreams over HTTP."""

    def __init__(self, dialect: Dialect, receive: Receive) -> None:
        self._dialect = dialect
        self._receive = receive
        self._tasks = AttemptTasks()
        self._instances: dict[str, Instance] = {}
        self._looks: dict[Instance, asyncio.Task[bool]] = {}
        """Looks under way whether hosts have ended."""
        self.on_doubt: Callable[[Doubt], None] = lambda doubt: None
        self.on_notice: Callable[[Instance, Notice], None] = lambda host, notice: None

    async def start(self) -> None:
        """Open the pools of connections."""
        self._pooled = open_session(False, self._note_unasked)
        # A connection that is kept open may be closed by its host just as a call goes
        # out on it, or may have died unnoticed; whether the call ran can't be told
        # then. A new connection that fails surely carried nothing.
        self._fresh = open_session(True, self._note_unasked)

    async def stop(self) -> None:
        """End all that is under way and close the connections."""
        await asyncio.gather(*self._tasks.cancel_all(), return_exceptions=True)
        await self._pooled.close()
        await self._fresh.close()

    def set_instance(self, instance: Instance) -> None:
        """Take where a host is and what it does."""
        self._instances[instance.host] = instance

    def forget(self, host: str) -> None:
        """Forget a host; what runs there goes on."""
        self._instances.pop(host, None)

    def run(self, host: str, offer: Offer, terms: Terms) -> None:
        """Carry out an offer; what comes of it is reported as messages."""
        name = offer.work.request, offer.attempt
        instance = self._instances.get(host)
        if instance is None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._receive, host, Refused(*name, LEAVING, 0.0))
            return
        self._tasks.start(*name, self._run(instance, offer, terms))

    def cancel(self, message: Cancel) -> None:
        """End an attempt: the closed connection tells its host to drop the work."""
        self._tasks.cancel(message.request, message.attempt)

    def drop(self, kv: KvRef) -> None:
        """Free a KV cache that nobody will fetch."""
        self._tasks.keep(self._drop(kv))

    async def read_report(self, instance: Instance) -> Result[EngineReport, str]:
        """Ask an engine what it does."""
        read = await self._ask(instance, self._dialect.encode_report(instance))
        return read.bind(self._dialect.read_report)

    async def read_kept(self, instance: Instance) -> Result[list[KeptPart], str]:
        """Ask an engine which parts of prompts it keeps."""
        read = await self._ask(instance, self._dialect.encode_kept(instance))
        return read.bind(self._dialect.read_kept)

    async def _ask(self, instance: Instance, call: UpstreamCall) -> Result[bytes, str]:
        """Give the body of an engine's answer to a question about itself.

        Its connection carries nothing else: the answer bears no name, and one that was
        late for an earlier request would be believed.
        """
        try:
            async with (
                asyncio.timeout(ORDER_SECONDS),
                self._send(instance.address, call, False) as response,
            ):
                self._take_notice(response, instance)
                if response.status != OK:
                    return Error(f"status {response.status}")
                return Ok(await response.read())
        except BROKEN as error:
            return Error(_describe(error))

    async def order_role(
        self, instance: Instance, role: str, owner: str, fencing: int, sequence: int
    ) -> OrderOutcome:
        """Order an engine to take a role."""
        call = self._dialect.encode_order(instance, role, owner, fencing, sequence)
        try:
            async with (
                asyncio.timeout(ORDER_SECONDS),
                self._send(instance.address, call, False) as response,
            ):
                self._take_notice(response, instance)
                return self._dialect.read_order(response.status)
        except NOT_CONNECTED:
            return OrderOutcome.UNREACHED
        except BROKEN as error:
            log_message(
                "upstream:order_unclear",
                upstream_host=instance.host,
                error=_describe(error),
            )
            return OrderOutcome.UNCLEAR

    async def _run(self, instance: Instance, offer: Offer, terms: Terms) -> None:
        host = instance.host
        name = offer.work.request, offer.attempt
        call = self._dialect.encode_offer(offer, terms, instance)
        repeatable = offer.work.idempotent or offer.stage == PREFILL
        try:
            async with self._send(instance.address, call, repeatable) as response:
                await self._read(response, instance, offer)
        except NOT_CONNECTED as error:
            self._receive(host, Lost(*name, Ran.NO, UNREACHED, 0))
            log_message("upstream:unreached", upstream_host=host, error=repr(error))
        except BROKEN as error:
            # A prompt that was to be computed has not run: no token was made of it.
            ran = Ran.NO if offer.stage == PREFILL else Ran.UNKNOWN
            has_ended = await self._has_ended(instance, error)
            reason = ENDED if has_ended else _describe(error)
            self._receive(host, Lost(*name, ran, reason, 0))

    async def _has_ended(self, instance: Instance, error: BaseException) -> bool:
        """Tell whether an answer broke off because its host has ended.

        A reset, a cut link and a spoiled answer look alike on the connection, and say
        nothing of the request. Answers that break off together are looked into once.
        """
        is_foreign = isinstance(error, ForeignAnswerError)
        if is_foreign or not isinstance(error, aiohttp.ClientError):
            return False
        return await self._look_for_end(instance)

    async def _look_for_end(self, instance: Instance) -> bool:
        look = self._looks.get(instance)
        if look is None:
            look = asyncio.create_task(_look_for_end(instance))
            self._looks[instance] = look
            look.add_done_callback(lambda _: self._looks.pop(instance))
        return await asyncio.shield(look)

    def _send(
        self, address: str, call: UpstreamCall, on_kept: bool
    ) -> "aiohttp.client._RequestContextManager":
        session = self._pooled if on_kept else self._fresh
        return session.request(
            call.method,
            URL(f"http://{address}{call.path}", encoded=True),
            data=call.body or None,
            headers=call.headers,
            allow_redirects=False,
            middlewares=(SendOnce(),),
        )

    async def _read(
        self, response: WatchedResponse, instance: Instance, offer: Offer
    ) -> None:
        host = instance.host
        name = offer.work.request, offer.attempt
        head = self._dialect.read_head(
            response.status, decode_headers(response.raw_headers)
        )
        doubt = find_doubt(head.names, offer.work.request, response.usage)
        if doubt is not None:
            # Whatever follows on the connection can't be told apart either.
            response.abort()
            self._note_doubt(doubt, head, response.usage, instance, offer)
            raise ForeignAnswerError(doubt)
        self._take_notice(response, instance)
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
        await self._follow(response, instance, offer, head)

    def _take_notice(self, response: WatchedResponse, instance: Instance) -> None:
        headers = decode_headers(response.raw_headers)
        notice = self._dialect.read_notice(response.status, headers)
        if notice != NO_NOTICE:
            self.on_notice(instance, notice)

    def _note_doubt(
        self, doubt: Doubt, head: Head, usage: Usage, instance: Instance, offer: Offer
    ) -> None:
        self.on_doubt(doubt)
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
        known = self._instances.get(instance.host)
        # What leaves ends soon after its last answer.
        is_leaving = known is None or known.is_draining
        has_ended = not is_leaving and await self._look_for_end(instance)
        log_message(
            "upstream:answer_unframed",
            request=offer.work.request,
            attempt=offer.attempt,
            upstream_host=instance.host,
            rest=rest,
            has_ended=has_ended,
        )
        if rest:
            raise FlawedAnswerError(Flaw.CUT_EVENT)
        if is_empty:
            raise FlawedAnswerError(Flaw.NO_EVENT)
        if has_ended:
            raise FlawedAnswerError(Flaw.HOST_ENDED)

    def _note_unasked(self) -> None:
        self.on_doubt(Doubt.UNASKED)

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
        self, response: WatchedResponse, instance: Instance, offer: Offer, head: Head
    ) -> None:
        """Pass on the events of a stream as they come whole."""
        host = instance.host
        name = offer.work.request, offer.attempt
        progress = _begin(offer)
        cutter = EventCutter()
        self._receive(host, Begun(*name, head.status, head.headers))
        async for data in response.content.iter_any():
            found = cutter.feed(data)
            if found is None:
                continue
            is_rest = progress.offset == len(offer.done) > 0
            if is_rest and not is_next(found.first, offer.done):
                raise FlawedAnswerError(Flaw.OTHER_EVENT)
            progress.tokens = max(progress.tokens, found.last)
            self._pass_on(host, name, progress, found.data)
        response.check_end()
        if not response.is_framed:
            is_empty = progress.offset == len(offer.done)
            await self._check_close(instance, offer, len(cutter.rest), is_empty)
        if cutter.rest:
            self._pass_on(host, name, progress, cutter.rest)
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

    async def _drop(self, kv: KvRef) -> None:
        call = self._dialect.encode_drop(kv)
        try:
            async with (
                asyncio.timeout(DROP_SECONDS),
                self._send(kv.url, call, False) as response,
            ):
                instance = self._instances.get(kv.host)
                if instance is not None and instance.address == kv.url:
                    self._take_notice(response, instance)
                await response.read()
        except BROKEN as error:
            log_message(
                "upstream:kv_not_freed", upstream_host=kv.host, error=repr(error)
            )


def _begin(offer: Offer) -> _Progress:
    return _Progress(len(offer.done), offer.tokens_done, xxhash.xxh64(offer.done))


async def _look_for_end(instance: Instance) -> bool:
    has_ended = await is_refused(instance.address)
    if has_ended:
        log_message("upstream:ended", upstream_host=instance.host)
    return has_ended


def _describe(error: BaseException) -> str:
    # Texts of the library's errors hold parts of answers.
    if isinstance(error, ForeignAnswerError | FlawedAnswerError):
        return str(error)
    return type(error).__name__
