"""Run offers at hosts that have no agent, and report as an agent would."""

import asyncio
from typing import Final

import aiohttp
from eliot import log_message
from yarl import URL

from radishtally.direct.answer_checks import AnswerMismatch, describe
from radishtally.direct.answers import AnswerReader, Receive
from radishtally.direct.const import DROP_SECONDS, OK, ORDER_SECONDS
from radishtally.direct.core import (
    CachedPart,
    Dialect,
    EngineReport,
    Instance,
    OrderOutcome,
    UpstreamCall,
)
from radishtally.direct.pool import open_session
from radishtally.direct.probes import HostProbes
from radishtally.exchange import EXCHANGE_ERRORS, SendOnce
from radishtally.links.messages import (
    ENDED,
    LEAVING,
    PREFILL,
    UNREACHED,
    Cancel,
    KvRef,
    Lost,
    Offer,
    Refused,
)
from radishtally.outcome import Error, Ok, Ran, Result
from radishtally.serving.terms import Terms
from radishtally.tasks import AttemptTasks

NOT_CONNECTED: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class DirectHosts:
    """Reach the hosts of all direct upstreams over HTTP."""

    def __init__(self, dialect: Dialect, receive: Receive) -> None:
        self._dialect = dialect
        self._receive = receive
        self._tasks = AttemptTasks()
        self._instances: dict[str, Instance] = {}
        self._probes = HostProbes()
        self.answers = AnswerReader(dialect, receive, self._probes, self._is_leaving)

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
        self._tasks.spawn_detached(self._drop(kv))

    async def read_report(self, instance: Instance) -> Result[EngineReport, str]:
        """Ask an engine what it does."""
        read = await self._ask(instance, self._dialect.encode_report(instance))
        return read.bind(self._dialect.read_report)

    async def read_cached_parts(
        self, instance: Instance
    ) -> Result[list[CachedPart], str]:
        """Ask an engine which parts of prompts it keeps."""
        read = await self._ask(instance, self._dialect.encode_cached_parts(instance))
        return read.bind(self._dialect.read_cached_parts)

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
                self.answers.report_notice(response, instance)
                if response.status != OK:
                    return Error(f"status {response.status}")
                return Ok(await response.read())
        except EXCHANGE_ERRORS as error:
            return Error(describe(error))

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
                self.answers.report_notice(response, instance)
                return self._dialect.read_order(response.status)
        except NOT_CONNECTED:
            return OrderOutcome.UNREACHED
        except EXCHANGE_ERRORS as error:
            log_message(
                "upstream:order_unclear",
                upstream_host=instance.host,
                error=describe(error),
            )
            return OrderOutcome.UNCLEAR

    async def _run(self, instance: Instance, offer: Offer, terms: Terms) -> None:
        host = instance.host
        name = offer.work.request, offer.attempt
        call = self._dialect.encode_offer(offer, terms, instance)
        repeatable = offer.work.idempotent or offer.stage == PREFILL
        try:
            async with self._send(instance.address, call, repeatable) as response:
                await self.answers.read(response, instance, offer, terms)
        except NOT_CONNECTED as error:
            self._receive(host, Lost(*name, Ran.NO, UNREACHED, 0))
            log_message("upstream:unreached", upstream_host=host, error=repr(error))
        except EXCHANGE_ERRORS as error:
            # A prompt that was to be computed has not run: no token was made of it.
            ran = Ran.NO if offer.stage == PREFILL else Ran.UNKNOWN
            has_ended = await self._probes.has_ended(instance, error)
            reason = ENDED if has_ended else describe(error)
            self._receive(host, Lost(*name, ran, reason, 0))

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

    def _note_unasked(self) -> None:
        self.answers.on_mismatch(AnswerMismatch.UNASKED)

    def _is_leaving(self, host: str) -> bool:
        """Tell whether a host ends soon, and regularly."""
        known = self._instances.get(host)
        return known is None or known.is_draining

    async def _drop(self, kv: KvRef) -> None:
        call = self._dialect.encode_drop(kv)
        try:
            async with (
                asyncio.timeout(DROP_SECONDS),
                self._send(kv.url, call, False) as response,
            ):
                instance = self._instances.get(kv.host)
                if instance is not None and instance.address == kv.url:
                    self.answers.report_notice(response, instance)
                await response.read()
        except EXCHANGE_ERRORS as error:
            log_message(
                "upstream:kv_not_freed", upstream_host=kv.host, error=repr(error)
            )
