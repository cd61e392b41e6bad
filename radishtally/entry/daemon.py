"""Run an entry: feed requests and link events to its core, execute its commands."""

import asyncio
import hashlib
import random
import time
from functools import partial, singledispatchmethod
from typing import Final

from eliot import log_message
from sanic import HTTPResponse, Request
from sanic.server.async_server import AsyncioServer

from radishtally.authority.plan_store import PlanStore
from radishtally.claims.events import (
    ClaimOutcome,
    Granted,
    KeyReused,
    Repeated,
    StoreAway,
    UnknownOutcome,
)
from radishtally.claims.store import ClaimStore
from radishtally.configuration.store import ConfigurationStore
from radishtally.containment import report_error
from radishtally.entry.callers import Directory, TokenRatio
from radishtally.entry.connections import serve, watch_departures
from radishtally.entry.explain import RequestSteps
from radishtally.entry.http import make_app
from radishtally.entry.members import MembershipDriver
from radishtally.entry.operators import add_operator_routes
from radishtally.entry.places import PlacePlanners
from radishtally.entry.planning import PlannerDependencies
from radishtally.entry.watch import Watcher
from radishtally.limits.retries import RetryBudgets
from radishtally.links.hub import LinkCallbacks
from radishtally.links.kinds import Message
from radishtally.links.messages import Hello, Leaving, Load, Work
from radishtally.outcome import Ran, Refusal
from radishtally.process import Process
from radishtally.routing.core import POLICIES
from radishtally.runtime import Waker
from radishtally.serving import const, events
from radishtally.serving.containment import execute_contained
from radishtally.serving.core import DispatchCore, handle_event
from radishtally.serving.placement import RankedPlacement
from radishtally.serving.replies import Replies, Reply
from radishtally.settings.config import Settings
from radishtally.startup import open_listener

SHUTDOWN_POLL_SECONDS: Final = 0.02
REFUSAL_SECONDS: Final = 0.5
"""Longest time that a stop waits until callers have been told of its end."""


class EntryDaemon:
    """Run the HTTP server, core, planners and links of one entry."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.process = Process(settings)
        self.process.on_configuration = self._configure
        self.directory: Directory | None = None
        self.ratio = TokenRatio()
        self.steps = RequestSteps()
        self.replies = Replies()
        self.core = DispatchCore(
            settings.host,
            settings.place,
            random.Random(),
            on_error=lambda error, request: report_error(
                error, "request", request=request
            ),
        )
        self.waker = Waker(lambda: self.handle(events.Tick()))
        hub = self.process.make_hub(
            LinkCallbacks(self._link_up, self._link_down, self._receive, self._is_busy)
        )
        self.members = MembershipDriver(settings, hub, self.core)
        self.configurations = ConfigurationStore(
            self.process.table, self.process.objects, merge=self.process.replica.merge
        )
        holder = f"{settings.host}:{self.process.incarnation}"
        self.claims = ClaimStore(self.process.table, holder, self.process.write_ids)
        self.plans = PlanStore(
            self.process.table, settings.host, self.process.write_ids
        )
        self.planners = PlacePlanners(
            PlannerDependencies(
                settings.host,
                self.process.write_ids,
                self.process.table,
                self.plans,
                self.process.audit,
                hub,
                self.process.spawn,
            )
        )
        self.process.describe_state = lambda: {"leases": self.planners.describe()}
        self.watcher = Watcher(self)
        self._started: dict[str, float] = {}
        self._closed = False

    async def run(self) -> None:
        """Serve until the process is asked to stop, then shut down."""
        self.process.install_handlers()
        starting = self.process.hub.start(self.settings.address)
        if not await self.process.run_unless_stopping(starting):
            return
        self.process.audit.start()
        self.claims.start()
        self.watcher.start()
        server = await self._serve_http()
        log_message("entry:ready", address=self.settings.http_address)
        await self.process.stopping.wait()
        await self.planners.stop()
        await self._shut_down(server)
        self.waker.stop()
        await self.watcher.stop()
        await self.claims.stop()
        await self.process.unload()

    async def _serve_http(self) -> AsyncioServer:
        settings = self.settings
        app = make_app(self, settings.host, settings.caller_seconds, settings.memory_mb)
        add_operator_routes(app, self)
        app.register_middleware(self._disable_keep_alive, "response")
        server = await serve(app, await open_listener(settings.http_address))
        self.process.keep_running("departures", partial(watch_departures, server))
        return server

    def _disable_keep_alive(self, request: Request, response: HTTPResponse) -> None:
        """Close the connection after the response if this entry is stopping."""
        if self.process.stopping.is_set():
            request.stream.keep_alive = False

    async def _shut_down(self, server: AsyncioServer) -> None:
        """Report not ready, then refuse new requests, then wait for open ones."""
        log_message("entry:leaving", open=len(self.replies))
        await asyncio.sleep(self.settings.ready_delay)
        self._closed = True
        server.close()
        await _wait_until_idle(server, self.settings.stop_seconds)
        if server.connections:
            log_message("entry:stopped_with_work", open=len(self.replies))
            self.handle(events.Shutdown())
            await _wait_until_idle(server, REFUSAL_SECONDS)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return self.directory is not None and not self.process.stopping.is_set()

    def is_closed(self) -> bool:
        """Return whether new requests are refused because the process is stopping."""
        return self._closed

    def open(self, work: Work, timeout: float, streamed: bool) -> asyncio.Queue[Reply]:
        """Dispatch a request and return the queue of its replies."""
        now = time.monotonic()
        self._started[work.request] = now
        queue = self.replies.open(work.request)
        self.process.metrics.incr("requests")
        log_message("request:arrived", request=work.request, team=work.team)
        self.steps.record(work.request, f"arrived from team {work.team}")
        self.handle(events.Arrived(work, now + timeout, streamed))
        return queue

    def close(self, request: str, done: bool) -> None:
        """End a request: its caller has the answer or has disconnected."""
        self.replies.close(request)
        seconds = time.monotonic() - self._started.pop(request, time.monotonic())
        self.process.metrics.timing("answer", seconds * 1000)
        log_message("request:closed", request=request, seconds=round(seconds, 4))
        if not done:
            self.steps.record(request, "the caller closed its connection")
            self.handle(events.CallerGone(request))

    def handle(self, event: events.Event) -> None:
        """Pass an event to the core and execute its commands."""
        for command in handle_event(event, self.core, time.monotonic()):
            execute_contained(command, self.core, self._execute, self.replies)
        self.waker.wake_at(self.core.next_wake())

    @singledispatchmethod
    def _execute(self, command: events.Command) -> None:
        raise TypeError(f"no handler for a command of type {type(command)}")

    @_execute.register
    def _(self, command: events.Send) -> None:
        self.process.hub.send(command.host, command.message)

    @_execute.register
    def _(self, command: events.Claim) -> None:
        self.process.spawn(self._claim(command.work))

    @_execute.register
    def _(self, command: events.Release) -> None:
        work = command.work
        self.claims.release(work.team, work.key, work.request)

    @_execute.register
    def _(self, command: events.Settle) -> None:
        work = command.work
        outcome = command.status, command.headers, command.body
        self.claims.finish(work.team, work.key, work.request, *outcome)

    @_execute.register
    def _(self, command: events.Deliver) -> None:
        self.replies.put(command)

    @_execute.register
    def _(self, command: events.SendFullAnswer) -> None:
        self.steps.record(command.request, "answered whole")
        self.process.metrics.incr("answered")
        self.replies.put(command)

    @_execute.register
    def _(self, command: events.EndStream) -> None:
        self.steps.record(command.request, "answered whole")
        self.process.metrics.incr("answered")
        self.replies.put(command)

    @_execute.register
    def _(self, command: events.AbortAnswer | events.Refuse) -> None:
        refusal = command.refusal
        log_message(
            "request:refused",
            request=command.request,
            code=refusal.code,
            ran=refusal.ran,
        )
        self.steps.record(
            command.request, f"refused: {refusal.code}, ran {refusal.ran}"
        )
        self.process.metrics.incr(f"refused.{refusal.code}")
        self.replies.put(command)

    @_execute.register
    def _(self, command: events.RecordStep) -> None:
        self.steps.record(command.request, command.text)

    async def _claim(self, work: Work) -> None:
        outcome = await self._request_claim(work)
        for wait in const.OUTCOME_POLL_DELAYS:
            # The first call may still be running, or its outcome is being written to
            # the table. Polling avoids an "unknown" for a repeat that arrives just
            # before the outcome does.
            if not isinstance(outcome, UnknownOutcome):
                break
            await asyncio.sleep(wait)
            outcome = await self._request_claim(work)
        self.handle(_convert_claim_outcome(outcome, work))

    async def _request_claim(self, work: Work) -> ClaimOutcome:
        digest = hash_call(work)
        return await self.claims.claim(work.team, work.key, work.request, digest)

    def _configure(self) -> None:
        current = self.process.replica.current
        self.directory = Directory(current.configuration)
        policy = current.configuration.policy
        self.core.budgets = RetryBudgets(policy.retry_budget)
        self.core.placement = RankedPlacement(POLICIES[policy.routing])
        self.members.configure(current.configuration)
        self.planners.configure(current.configuration)

    def _link_up(self, hello: Hello) -> None:
        self.process.request_newer_configuration(hello.host, hello.revision)
        self.members.link_up(hello)
        self.handle(events.LinkUp(hello))

    def _link_down(self, host: str, reason: str) -> None:
        self.process.replica.forget_peer(host)
        self.members.link_down(host)
        self.handle(events.LinkDown(host))

    def _receive(self, host: str, message: Message) -> None:
        self.members.record_traffic(host)
        if self.process.handle_common_message(host, message):
            return
        if isinstance(message, Leaving):
            self.members.record_leave(host, message.reason)
            return
        if isinstance(message, Load) and host in self.core.hosts:
            known = self.core.hosts[host]
            self.planners.record_load(known.upstream, known.data_centre, message)
        self.handle(events.Received(host, message))

    def _is_busy(self, host: str) -> bool:
        return self.core.is_busy(host)


async def _wait_until_idle(server: AsyncioServer, seconds: float) -> None:
    """Wait until no connection carries a request, for a limited time."""
    until = time.monotonic() + seconds
    while _close_idle_connections(server) and time.monotonic() < until:
        await asyncio.sleep(SHUTDOWN_POLL_SECONDS)


def _close_idle_connections(server: AsyncioServer) -> bool:
    """Close idle connections and return whether any others are left.

    Connections are counted instead of requests because a request can be closed before
    the last byte of its answer is sent. The process must not end in between.
    """
    for connection in list(server.connections):
        connection.close_if_idle()
    return bool(server.connections)


def hash_call(work: Work) -> str:
    """Hash the method, upstream, path and body of a call.

    A repeat under the same idempotency key must have the same hash.
    """
    digest = hashlib.sha256(f"{work.method}\0{work.upstream}\0{work.path}\0".encode())
    digest.update(work.body)
    return digest.hexdigest()


def _convert_claim_outcome(outcome: ClaimOutcome, work: Work) -> events.Event:
    """Convert the outcome of a claim to the core's event for its request."""
    request = work.request
    match outcome:
        case Granted():
            return events.Granted(work)
        case Repeated(answer) if answer.body_kept:
            return events.Repeated(
                request, answer.status, tuple(map(tuple, answer.headers)), answer.body
            )
        case Repeated():
            text = "the call has run before; its answer was too large to store"
            refusal = Refusal(409, const.CODE_OUTCOME_UNKNOWN, text, Ran.UNKNOWN)
        case UnknownOutcome():
            text = "an earlier call with this key was started; its outcome is unknown"
            refusal = Refusal(409, const.CODE_OUTCOME_UNKNOWN, text, Ran.UNKNOWN)
        case KeyReused():
            text = "the idempotency key was used with another request"
            refusal = Refusal(422, const.CODE_KEY_REUSED, text)
        case StoreAway():
            text = "the idempotency key can't be claimed: the store is unavailable"
            refusal = Refusal(
                503, const.CODE_STORE_UNAVAILABLE, text, Ran.NO, const.STORE_RETRY_AFTER
            )
    return events.Denied(request, refusal)
