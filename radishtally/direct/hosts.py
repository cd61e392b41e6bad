"""Run offers at hosts without an agent and report the results as agent messages."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Final

import aiohttp
from eliot import log_message
from yarl import URL

from radishtally.containment import report_error
from radishtally.direct.answer_checks import AnswerMismatch, describe_error
from radishtally.direct.answers import AnswerReader, Receive
from radishtally.direct.const import (
    ENGINE_CALL_TIMEOUT_SECONDS,
    FREE_KV_TIMEOUT_SECONDS,
    MAX_REPORT_BYTES,
    OK,
)
from radishtally.direct.core import (
    CachedPart,
    Dialect,
    EngineReport,
    Instance,
    OrderOutcome,
    ProbeReply,
    UpstreamCall,
)
from radishtally.direct.pool import open_session
from radishtally.direct.probes import HostProbes
from radishtally.exchange import (
    EXCHANGE_ERRORS,
    SendOnce,
    decode_headers,
    read_body,
)
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
from radishtally.liveness import Patience, Sign, read_connect_error
from radishtally.outcome import Error, Ok, Ran, Result
from radishtally.routes.config import HEALTH_PATH, UpstreamTerms
from radishtally.serving.terms import Terms
from radishtally.tasks import AttemptTasks

NOT_CONNECTED: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


UNEXPECTED: Final = "unexpected error"
"""Reason of an attempt that was lost as this process met an unexpected error."""
PROBE_SIGNS: Final = {
    ProbeReply.SAME: Sign.ANSWERED,
    ProbeReply.OTHER: Sign.REPLACED,
    ProbeReply.RESTARTED: Sign.REPLACED,
    ProbeReply.UNCLEAR: Sign.UNCLEAR,
}


class DirectHosts:
    """Send requests to the hosts of all direct upstreams over HTTP."""

    def __init__(self, dialect: Dialect, receive: Receive) -> None:
        self._dialect = dialect
        self._receive = receive
        self._tasks = AttemptTasks()
        self._instances: dict[str, Instance] = {}
        self._health_paths: dict[str, str] = {}
        self._probes = HostProbes(self._query_sign, self._count_open)
        self.answers = AnswerReader(dialect, receive, self._probes)
        self.on_restarted: Callable[[Instance], None] = lambda instance: None
        """Called with a host of which another start has answered a probe."""
        self.on_confirmed: Callable[[Instance, float], None] = lambda *_: None
        """Called with a host that has named its known start, and when it was asked."""

    async def start(self) -> None:
        """Open the connection pools."""
        self._pooled = open_session(False, self._report_unrequested)
        # A host may close a pooled connection just as a call is sent on it, or the
        # connection may be dead already; it is then unknown whether the call ran. A new
        # connection that fails to open certainly carried nothing.
        self._fresh = open_session(True, self._report_unrequested)

    async def stop(self) -> None:
        """Cancel all running attempts and close the connections."""
        await asyncio.gather(*self._tasks.cancel_all(), return_exceptions=True)
        self._probes.cancel_all()
        await self._pooled.close()
        await self._fresh.close()

    def configure(self, upstreams: Iterable[UpstreamTerms]) -> None:
        """Apply the configuration of the upstreams."""
        self._health_paths = {terms.name: terms.health_path for terms in upstreams}

    def set_instance(self, instance: Instance) -> None:
        """Add or update a host's address and role."""
        self._instances[instance.host] = instance

    def forget(self, host: str) -> None:
        """Remove a host; attempts that run there continue."""
        self._instances.pop(host, None)

    def run(self, host: str, offer: Offer, terms: Terms) -> None:
        """Execute an offer; its results are reported as messages."""
        attempt_id = offer.work.request, offer.attempt
        instance = self._instances.get(host)
        if instance is None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._receive, host, Refused(*attempt_id, LEAVING, 0.0))
            return
        self._tasks.start(*attempt_id, self._run(instance, offer, terms))

    def cancel(self, message: Cancel) -> None:
        """Cancel an attempt; closing its connection makes the host drop the work."""
        self._tasks.cancel(message.request, message.attempt)

    def drop(self, kv: KvRef) -> None:
        """Free a KV cache that no engine will fetch."""
        self._tasks.spawn_detached(self._free_kv(kv))

    async def read_report(self, instance: Instance) -> Result[EngineReport, str]:
        """Query an engine's state."""
        read = await self._query(instance, self._dialect.encode_report(instance))
        return read.bind(self._dialect.read_report)

    async def read_cached_parts(
        self, instance: Instance
    ) -> Result[list[CachedPart], str]:
        """Query the prompt parts in an engine's KV cache."""
        read = await self._query(instance, self._dialect.encode_cached_parts(instance))
        return read.bind(self._dialect.read_cached_parts)

    async def _query(
        self, instance: Instance, call: UpstreamCall
    ) -> Result[bytes, str]:
        """Query an engine and return the body of its answer.

        The connection is used for this query only: the answer has no request id, so a
        late answer to an earlier request on it would be mistaken for this one.
        """
        try:
            async with (
                asyncio.timeout(ENGINE_CALL_TIMEOUT_SECONDS),
                self._send(instance.address, call, False) as response,
            ):
                self.answers.report_notice(response, instance)
                if response.status != OK:
                    return Error(f"status {response.status}")
                return Ok(await read_body(response, MAX_REPORT_BYTES))
        except EXCHANGE_ERRORS as error:
            return Error(describe_error(error))

    async def order_role(
        self, instance: Instance, role: str, owner: str, fencing: int, sequence: int
    ) -> OrderOutcome:
        """Order an engine to assume a role."""
        call = self._dialect.encode_order(instance, role, owner, fencing, sequence)
        try:
            async with (
                asyncio.timeout(ENGINE_CALL_TIMEOUT_SECONDS),
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
                error=describe_error(error),
            )
            return OrderOutcome.UNCLEAR

    async def _run(self, instance: Instance, offer: Offer, terms: Terms) -> None:
        host = instance.host
        attempt_id = offer.work.request, offer.attempt
        try:
            call = self._dialect.encode_offer(offer, terms, instance)
        except Exception as error:
            report_error(error, "request", request=attempt_id[0], upstream_host=host)
            self._receive(host, Lost(*attempt_id, Ran.NO, UNEXPECTED, 0))
            return
        repeatable = offer.work.idempotent or offer.stage == PREFILL
        has_begun = False
        sent_at = time.monotonic()
        try:
            async with self._send(instance.address, call, repeatable) as response:
                has_begun = True
                await self.answers.read(response, instance, offer, terms, sent_at)
        except NOT_CONNECTED as error:
            self._receive(host, Lost(*attempt_id, Ran.NO, UNREACHED, 0))
            log_message("upstream:unreached", upstream_host=host, error=repr(error))
        except EXCHANGE_ERRORS as error:
            # Computing the prompt does not count as running: no token was generated.
            ran = Ran.NO if offer.stage == PREFILL else Ran.UNKNOWN
            has_ended = await self._probes.has_ended(instance, error, has_begun)
            reason = ENDED if has_ended else describe_error(error)
            self._receive(host, Lost(*attempt_id, ran, reason, 0))
        except Exception as error:
            report_error(error, "request", request=attempt_id[0], upstream_host=host)
            self._receive(host, Lost(*attempt_id, Ran.UNKNOWN, UNEXPECTED, 0))

    async def _query_sign(self, instance: Instance, patience: Patience) -> Sign:
        """Query whether a host answers."""
        # An answer may end after its upstream has been removed from the configuration.
        health_path = self._health_paths.get(instance.upstream, HEALTH_PATH)
        call = self._dialect.encode_probe(instance, health_path)
        asked_at = time.monotonic()
        try:
            async with (
                asyncio.timeout(patience.answer_seconds),
                # A host above its limit of connections answers on those it has.
                self._send(instance.address, call, True) as response,
            ):
                body = await read_body(response, MAX_REPORT_BYTES)
        except aiohttp.ConnectionTimeoutError:
            return Sign.UNREACHED
        except aiohttp.ClientConnectorError as error:
            return read_connect_error(error.os_error)
        except TimeoutError:
            return Sign.SILENT
        except EXCHANGE_ERRORS:
            return Sign.CLOSED
        headers = decode_headers(response.raw_headers)
        reply = self._dialect.read_probe(response.status, headers, body, instance)
        if reply == ProbeReply.SAME:
            self.answers.report_notice(response, instance)
            if self._names_start(body, instance):
                self.on_confirmed(instance, asked_at)
        if reply == ProbeReply.RESTARTED:
            self.on_restarted(instance)
        if reply != ProbeReply.SAME or not response.usage.carried:
            # The answer may still be to come. A new connection would stay in the pool
            # and take the place of a call at a host at its limit of connections.
            response.abort()
        return PROBE_SIGNS[reply]

    def _names_start(self, body: bytes, instance: Instance) -> bool:
        """Return whether the answer to a probe names the known start of an engine."""
        if not instance.role or not instance.started_ms:
            return False
        report = self._dialect.read_report(body)
        return report.is_ok() and report.ok.started_ms == instance.started_ms

    def _count_open(
        self, instance: Instance, opened_before: float, received_after: float
    ) -> int:
        connectors = self._pooled.connector, self._fresh.connector
        return sum(
            connector.count_open(instance.address, opened_before, received_after)
            for connector in connectors
        )

    def _send(
        self, address: str, call: UpstreamCall, reuse_connection: bool
    ) -> "aiohttp.client._RequestContextManager":
        session = self._pooled if reuse_connection else self._fresh
        return session.request(
            call.method,
            URL(f"http://{address}{call.path}", encoded=True),
            data=call.body or None,
            headers=call.headers,
            allow_redirects=False,
            middlewares=(SendOnce(),),
        )

    def _report_unrequested(self) -> None:
        self.answers.on_mismatch(AnswerMismatch.UNASKED)

    async def _free_kv(self, kv: KvRef) -> None:
        call = self._dialect.encode_drop(kv)
        try:
            async with (
                asyncio.timeout(FREE_KV_TIMEOUT_SECONDS),
                self._send(kv.url, call, False) as response,
            ):
                instance = self._instances.get(kv.host)
                if instance is not None and instance.address == kv.url:
                    self.answers.report_notice(response, instance)
        except EXCHANGE_ERRORS as error:
            log_message(
                "upstream:kv_not_freed", upstream_host=kv.host, error=repr(error)
            )
