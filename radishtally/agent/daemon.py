"""Run the agent's core: feed it events and execute its commands."""

import asyncio
import time
from functools import singledispatchmethod
from typing import Final

from eliot import log_message

from radishtally.agent import events
from radishtally.agent.const import STATE_POLL_SECONDS
from radishtally.agent.core import AgentCore, handle_event
from radishtally.agent.engine import Engine, EngineState
from radishtally.agent.orders import DrainFollower, OrderDriver
from radishtally.agent.service import Service
from radishtally.authority.plan import DRAIN, PLAN
from radishtally.authority.plan_store import PlanStore
from radishtally.configuration.config import Service as ServiceConfig
from radishtally.containment import contain, report_error
from radishtally.links.hub import LinkCallbacks
from radishtally.links.kinds import Message
from radishtally.links.messages import Hello, Hint, Offer
from radishtally.process import Process
from radishtally.runtime import Waker
from radishtally.settings.config import Settings

DEFAULT_SLOTS: Final = 32
FLUSH_POLL_SECONDS: Final = 0.01


class AgentDaemon:
    """Connect the agent's core to its links, upstream, drains and orders."""

    def __init__(self, settings: Settings) -> None:
        self.process = Process(settings)
        self.settings = settings
        self.core = AgentCore(settings.host, settings.upstream.name)
        self.core.on_error = lambda error, request: report_error(
            error, "request", request=request
        )
        self.waker = Waker(lambda: self.handle(events.Tick()))
        self.drained = asyncio.Event()
        self.drains = DrainFollower(settings.host, self.process.table, self)
        self.orders: OrderDriver | None = None
        self.process.make_hub(
            LinkCallbacks(self._link_up, self._link_down, self._receive, self._is_busy)
        )

    async def run(self) -> None:
        """Serve until the process is stopped."""
        upstream = self.settings.upstream
        is_engine = upstream.kind == "engine"
        self.upstream: Engine | Service = (
            Engine(self.settings.host, upstream.url, self.handle)
            if is_engine
            else Service(upstream.url, self.handle)
        )
        self.process.install_handlers()
        starting = self.process.hub.start(self.settings.address)
        if not await self.process.run_unless_stopping(starting):
            return
        self.process.audit.start()
        watch = self._watch_engine if is_engine else self._watch_service
        self.process.keep_running("upstream", watch)
        self.process.keep_running("drains", self.drains.run)
        if is_engine:
            self._start_orders()
        self.handle(events.Tick())
        log_message("agent:ready", address=self.settings.address)
        await self.process.stopping.wait()
        if self.orders is not None:
            await self.orders.stop()
        await self._drain_and_flush()
        self.waker.stop()
        await self.upstream.close()
        await self.process.unload()

    def _start_orders(self) -> None:
        settings, process = self.settings, self.process
        plans = PlanStore(process.table, settings.host, process.write_ids)
        self.orders = OrderDriver(
            settings.host, settings.place, plans, self.upstream, process.audit, self
        )
        self.orders.start()

    def find_drain_seconds(self) -> float:
        """Return the seconds that running answers get before they are handed over."""
        current = self.process.replica.current
        if current is None:
            return self.settings.stop_seconds / 2
        return current.configuration.policy.drain_seconds

    def handle(self, event: events.Event) -> None:
        """Handle an event in the core and execute the resulting commands."""
        for command in handle_event(event, self.core, time.monotonic()):
            with contain("request", command=type(command).__name__):
                self._execute(command)
        self.waker.wake_at(self.core.next_wake(time.monotonic()))

    async def _drain_and_flush(self) -> None:
        """Drain the agent for its stop and wait until the answers are delivered."""
        log_message("agent:leaving")
        # The port stays open so that an entry whose link breaks now can reconnect for
        # the rest of its answers, and so that no other agent sends orders to the engine
        # before this one has ended.
        self.drained.clear()
        seconds = min(self.find_drain_seconds(), self.settings.stop_seconds / 2)
        self.handle(events.Drain("stopping", seconds, final=True))
        try:
            async with asyncio.timeout(self.settings.stop_seconds):
                await self.drained.wait()
                await self._flush_links()
        except TimeoutError:
            log_message("agent:stopped_with_work", running=len(self.core.running))

    async def _flush_links(self) -> None:
        """Wait until the entries have received the ends of their answers.

        If the process exits with unread input, the kernel resets the connection and
        drops unsent output, and the entry would treat a whole answer as cut.
        """
        self.process.hub.flush()
        while not self.process.hub.is_flushed():
            await asyncio.sleep(FLUSH_POLL_SECONDS)

    @singledispatchmethod
    def _execute(self, command: events.Command) -> None:
        raise TypeError(f"no handler for a command of type {type(command)}")

    @_execute.register
    def _(self, command: events.Send) -> None:
        self.process.hub.send(command.host, command.message)

    @_execute.register
    def _(self, command: events.Run) -> None:
        work = command.offer.work
        log_message("work:run", request=work.request, attempt=command.offer.attempt)
        self.process.metrics.incr("run")
        self.upstream.run(command.offer)

    @_execute.register
    def _(self, command: events.Abort) -> None:
        log_message("work:abort", request=command.request, attempt=command.attempt)
        self.upstream.abort(command.request, command.attempt)

    @_execute.register
    def _(self, command: events.Export) -> None:
        self.upstream.export(command.request, command.attempt)

    @_execute.register
    def _(self, command: events.Drained) -> None:
        self.drained.set()
        if self.orders is not None:
            self.orders.drained()

    def _link_up(self, hello: Hello) -> None:
        self.process.request_newer_configuration(hello.host, hello.revision)
        self.handle(events.LinkUp(hello.host))

    def _link_down(self, host: str, reason: str) -> None:
        self.process.replica.forget_peer(host)
        self.handle(events.LinkDown(host))

    def _receive(self, host: str, message: Message) -> None:
        if self.process.handle_common_message(host, message):
            return
        if isinstance(message, Hint):
            self._handle_hint(message)
            return
        if isinstance(message, Offer):
            attempt_id = message.work.request, message.attempt
            log_message(
                "work:offered", request=attempt_id[0], attempt=attempt_id[1], entry=host
            )
        self.handle(events.Received(host, message))

    def _handle_hint(self, hint: Hint) -> None:
        if hint.pk == DRAIN:
            self.drains.hint()
        elif hint.pk == PLAN and self.orders is not None:
            self.orders.hint()

    def _is_busy(self, host: str) -> bool:
        return bool(self.core.running) or len(self.core.queue) > 0

    async def _watch_engine(self) -> None:
        while True:
            outcome = await self.upstream.read_state()
            self.upstream.abort_silent_streams(time.monotonic())
            state = outcome.ok if outcome.is_ok() else None
            self.handle(_describe_engine(state))
            await asyncio.sleep(STATE_POLL_SECONDS)

    async def _watch_service(self) -> None:
        while True:
            up = await self.upstream.is_up()
            self.handle(
                events.UpstreamRead(up, self._get_slots(), 0, 0, "mixed", "", "", ())
            )
            await asyncio.sleep(STATE_POLL_SECONDS)

    def _get_slots(self) -> int:
        current = self.process.replica.current
        if current is None:
            return DEFAULT_SLOTS
        found = current.configuration.upstreams.get(self.settings.upstream.name)
        return found.slots if isinstance(found, ServiceConfig) else DEFAULT_SLOTS


def _describe_engine(state: EngineState | None) -> events.UpstreamRead:
    if state is None:
        return events.UpstreamRead(False, 0, 1.0, 1.0, "", "", "", ())
    return events.UpstreamRead(
        not state.changing,
        state.max_batch,
        state.prefill_tokens_per_second,
        state.decode_seconds_per_token,
        state.role,
        state.model,
        state.version,
        state.adapters,
    )
