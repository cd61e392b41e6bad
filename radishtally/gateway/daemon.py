"""Run a gateway: turn callers and hosts into events, commands into calls."""

import asyncio
import random
import secrets
import time
from typing import Any

import msgspec
from eliot import log_message

from radishtally.authority.lease_driver import LeaseDriver
from radishtally.direct.core import Dialect, EngineReport, Instance, Notice
from radishtally.direct.hosts import DirectHosts
from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.bounds import (
    find_gathering,
    find_retry_floor,
    make_lease_terms,
    mark_bounds,
)
from radishtally.gateway.changes import carry_out
from radishtally.gateway.commands import carry_out_command
from radishtally.gateway.config import GatewaySettings
from radishtally.gateway.const import (
    ASSUMED_GATEWAYS,
    LEAVE_MARGIN_SECONDS,
    LEAVE_POLL_SECONDS,
    LEAVE_SECONDS,
    RETRY_PART,
    STAGES,
    UNLOAD_SECONDS,
)
from radishtally.gateway.core import CallerDialect, CallerRequest
from radishtally.gateway.endings import Given
from radishtally.gateway.front import Front
from radishtally.gateway.members import HostChange, Members
from radishtally.gateway.metrics import GatewayMetrics
from radishtally.gateway.peers import Peers
from radishtally.gateway.recall import Recall
from radishtally.gateway.requests import NAME_IN_USE, STOPPING, Routed, Router
from radishtally.gateway.topology import Site
from radishtally.limits.retries import RetryBudgets
from radishtally.links.messages import Message
from radishtally.outcome import Error, Refusal, Result
from radishtally.routes.config import CallerLimits, FleetConfiguration
from radishtally.runtime import Runtime, Waker, read_boot_clock
from radishtally.serving import events
from radishtally.serving.core import DispatchCore, handle_event
from radishtally.serving.replies import Replies, Reply
from radishtally.stages.role_controller import RoleController
from radishtally.store.core import Table
from radishtally.store.ids import WriteIds


class Gateway:
    """Hold one gateway's parts together."""

    def __init__(
        self,
        settings: GatewaySettings,
        callers: CallerDialect,
        upstreams: Dialect,
        placement: EnginePlacement,
        table: Table,
    ) -> None:
        self.settings = settings
        self.write_ids = WriteIds(secrets.token_hex(8))
        self.table = table
        self.runtime = Runtime()
        self.router = Router()
        self.members = Members()
        self.placement = placement
        self.replies = Replies()
        self.metrics = GatewayMetrics()
        self.runtime.on_stall = self.metrics.note_stall
        self.runtime.describe_beliefs = self._describe_beliefs
        self._gateways: int | None = None
        """Gateways that share the retries, once they are listed."""
        self.core = DispatchCore(
            settings.host,
            settings.data_centre,
            random.Random(),
            placement,
            RetryBudgets(
                settings.bounds.retry_ratio * RETRY_PART,
                find_retry_floor(settings.bounds, ASSUMED_GATEWAYS),
            ),
            # A host without an agent says nothing before its answer begins, and that
            # may take as long as its queue: only the deadline bounds it.
            offer_timeout=float("inf"),
            refusals_cost_retries=True,
            prefill_counts_as_run=False,
        )
        self.hosts = DirectHosts(upstreams, self.runtime.guard_call(self._receive))
        self.hosts.answers.on_mismatch = self.metrics.doubted
        self.hosts.answers.on_notice = self.runtime.guard_call(self.take_notice)
        self.front = Front(self, callers)
        self._stop_begun: float | None = None
        self.lease = make_lease(self)
        self.stages = RoleController(
            settings.host,
            self.hosts,
            self.list_served_hosts,
            self.lease,
            placement.measure_rate,
        )
        self.recall = Recall(
            settings.host, self.hosts, placement, self.list_served_hosts
        )
        self.peers = Peers(
            self,
            settings.host,
            Site(settings.data_centre, settings.cores * settings.core_share),
            settings.peer_address,
        )
        placement.observer = self.stages
        self.stages.on_report = self._take_report
        self.stages.is_unreachable = self.core.is_out_of_reach
        self.waker = Waker(lambda: self.handle(events.Tick()))

    @property
    def limits(self) -> CallerLimits | None:
        """Give what a caller may send, once a configuration says so."""
        configuration = self.router.configuration
        return None if configuration is None else configuration.limits

    async def run(self) -> None:
        """Serve until a planned stop."""
        self.runtime.watch_loop()
        await self.hosts.start()
        settings = self.settings
        await self.front.start(
            settings.address, settings.ready_address, settings.metrics_address
        )
        # Others may be there that contend already: the links tell.
        self.lease.contend(False)
        self.lease.start()
        self.runtime.spawn(self.stages.run())
        self.runtime.spawn(self.peers.run())
        log_message("gateway:started", address=self.settings.address, mark=self._mark())
        await self.runtime.stopping.wait()
        resigning = self.runtime.spawn(self.lease.stop())
        await self._leave()
        self.waker.stop()
        await self._unload(resigning)
        self.runtime.cancel_tasks()
        log_message("gateway:stopped", open=len(self.replies))
        self.runtime.exit()

    def _describe_beliefs(self) -> dict[str, Any]:
        configuration = self.router.configuration
        return {
            "lease": self.lease.describe(),
            "version": None if configuration is None else configuration.version,
        }

    async def _leave(self) -> None:
        """Leave in good order: red to the balancer, then out when nothing is open."""
        log_message("gateway:leaving", open=len(self.replies))
        self._stop_begun = time.monotonic()
        until = self._stop_begun + self._grace()
        while time.monotonic() < until and not self.runtime.broken:
            await asyncio.sleep(LEAVE_POLL_SECONDS)
            if time.monotonic() < self._stop_begun + LEAVE_SECONDS:
                continue
            if not await self.front.close_idle():
                break
        # What comes in between the last look and the end would be read by nobody.
        await self.front.stop_listening()
        await asyncio.sleep(LEAVE_POLL_SECONDS)
        while await self.front.close_idle() and time.monotonic() < until:
            await asyncio.sleep(LEAVE_POLL_SECONDS)
        self.handle(events.Shutdown())
        await asyncio.sleep(LEAVE_POLL_SECONDS)

    async def _unload(self, *more: asyncio.Task) -> None:
        """Stop the parts together: what hangs would outlast the platform's grace."""
        parts = self.front.stop(), self.peers.stop(), self.hosts.stop()
        tasks = [*more, *map(asyncio.create_task, parts)]
        await asyncio.wait(tasks, timeout=UNLOAD_SECONDS)

    def take_settings(self, settings: GatewaySettings) -> None:
        """Take settings that were read again; addresses stay until the next start."""
        known = self.settings.bounds
        fixed = msgspec.structs.replace(settings, bounds=known)
        log_message("settings:reloaded", needs_restart=fixed != self.settings)
        bounds = settings.bounds
        if self.is_stopping():
            # The platform's kill comes as long after its signal as was in force then:
            # a request that is taken for a longer time would be cut off.
            grace = known.grace_seconds
            bounds = msgspec.structs.replace(bounds, grace_seconds=grace)
        self.settings = msgspec.structs.replace(self.settings, bounds=bounds)
        log_message("settings:in_force", mark=self._mark())
        self.lease.set_terms(make_lease_terms(bounds))
        self._share_retries()

    def _mark(self) -> str:
        """Mark the settings in force, in the metrics too."""
        mark = mark_bounds(self.settings.bounds)
        self.metrics.set_settings(mark)
        return mark

    def count_gateways(self, count: int) -> None:
        """Take how many gateways share the retries, and the looks at the lease."""
        self._gateways = count
        self.lease.set_contender_count(count)
        self._share_retries()

    def find_gathering(self) -> float:
        """Find how long changes of the store may be gathered before more are asked for.

        Until the other gateways are listed, all of them may be starting at once.
        """
        return find_gathering(self.settings.bounds, self._gateways)

    def _share_retries(self) -> None:
        bounds = self.settings.bounds
        ratio = bounds.retry_ratio * RETRY_PART
        count = self._gateways or ASSUMED_GATEWAYS
        self.core.budgets.configure(ratio, find_retry_floor(bounds, count))

    def render_metrics(self) -> bytes:
        """Give the figures of the metrics address."""
        self.metrics.set_denied(self.core.suspects.count_denied(time.monotonic()))
        return self.metrics.render()

    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests here."""
        return self.router.configuration is not None and not self.is_stopping()

    def is_stopping(self) -> bool:
        """Tell whether connections should be brought to an end."""
        return self.runtime.stopping.is_set()

    def configure(
        self, configuration: FleetConfiguration, *, is_rewritten: bool = False
    ) -> None:
        """Bring a configuration into force, unless a newer one is.

        One that the operator has written since the store was restored holds whatever
        its number: the newer ones may be gone from the store.
        """
        known = self.router.configuration
        if known is not None and known.version >= configuration.version:
            if not is_rewritten or known == configuration:
                return
            log_message(
                "configuration:rewritten",
                before=known.version,
                version=configuration.version,
            )
        self.router.configure(configuration)
        self.placement.configure(configuration.upstreams.values())
        self.metrics.set_configuration(configuration.version)
        log_message("configuration:in_force", version=configuration.version)

    def enter_era(self, before: int, after: int, silence: float) -> None:
        """Take that the store is in another era; before is 0 at first sight.

        What was believed of hosts and configuration is as many seconds old.
        """
        held_lease = self.lease.fencing is not None
        self.lease.enter_era(after)
        if not before:
            log_message("store:era_seen", era=after)
            return
        configuration = self.router.configuration
        log_message(
            "store:restored",
            before=before,
            after=after,
            silence=round(silence, 3),
            held_lease=held_lease,
            version=None if configuration is None else configuration.version,
            hosts=len(list(self.members)),
        )
        self.metrics.note_restore()
        self.members.enter_era(read_boot_clock())
        self.peers.enter_era()

    def list_served_hosts(self) -> list[Instance]:
        """List the hosts of the upstreams that the configuration names.

        Whoever may write to the list can name any service there. An order would go to
        the entry's address, whoever listens there.
        """
        configuration = self.router.configuration
        if configuration is None:
            return []
        named = configuration.upstreams
        return [host for host in self.members if host.upstream in named]

    def apply(self, changes: list[HostChange]) -> None:
        """Take what became of the upstreams' hosts."""
        for change in changes:
            carry_out(change, self)
        self.metrics.set_missing(self.members.count_missing())

    def count_unreadable(self, count: int) -> None:
        """Take how many entries of the list can't be read."""
        self.metrics.set_unreadable(count)

    def take_notice(self, asked: Instance, notice: Notice) -> None:
        """Take what the head of an answer says of its host."""
        self.metrics.noticed(notice)
        if notice.pause and self.members.is_present(asked):
            self.core.pause_host(asked.host, notice.pause, time.monotonic())
            log_message(
                "upstream:paused", upstream_host=asked.host, seconds=notice.pause
            )
        changes = self.members.take_leaving(asked) if notice.is_leaving else []
        if not changes:
            return
        log_message("upstream:leaving", upstream_host=asked.host)
        self.apply(changes)

    def _take_report(self, asked: Instance, report: EngineReport) -> None:
        self.apply(self.members.take_report(asked, report))

    def route(
        self, method: str, target: str, asked: CallerRequest, body: bytes
    ) -> Result[Routed, Refusal]:
        """Find where a request goes."""
        if asked.request in self.replies:
            return Error(NAME_IN_USE)
        routed = self.router.route(method, target, asked, body)
        if routed.is_ok() and not self._may_finish(routed.ok.timeout):
            return Error(STOPPING)
        return routed

    def _may_finish(self, timeout: float) -> bool:
        """Tell whether a request that comes now will have its answer in time.

        Callers whose connections are open when the stop begins go on sending, and
        where few gateways are left the balancer sends to this one all the same. What
        comes late and lasts long would be cut off by the end of the process.
        """
        if self._stop_begun is None:
            return True
        passed = time.monotonic() - self._stop_begun
        left = self._grace() - passed
        return passed < LEAVE_SECONDS or timeout < left

    def _grace(self) -> float:
        return self.settings.bounds.grace_seconds - LEAVE_MARGIN_SECONDS

    def open(self, routed: Routed) -> asyncio.Queue[Reply]:
        """Bring a request in."""
        work = routed.work
        queue = self.replies.open(work.request)
        self.metrics.opened(routed)
        log_message(
            "request:arrived",
            request=work.request,
            upstream=work.upstream,
            kind=work.kind,
            timeout=round(routed.timeout, 3),
            content=routed.terms.content,
            version=self.router.configuration.version,
        )
        now = time.monotonic()
        deadline = now + routed.timeout
        self.handle(events.Arrived(work, deadline, routed.is_streamed, routed.terms))
        return queue

    def note_refusal(self, request: str, refusal: Refusal) -> None:
        """Take note of an answer of the gateway's own."""
        self.metrics.refused(refusal.code, refusal.ran)
        log_message(
            "request:refused",
            request=request,
            code=refusal.code,
            status=refusal.status,
            ran=refusal.ran,
            text=refusal.message,
        )

    def close(self, request: str, given: Given) -> None:
        """Say that the caller has its answer, or is gone."""
        self.replies.close(request)
        if not given.is_done:
            self.handle(events.CallerGone(request))
        outcome, seconds = self.metrics.closed(request, given.ending)
        log_message(
            "request:closed",
            request=request,
            outcome=outcome,
            ending=given.ending,
            status=given.status,
            sent=given.sent,
            last_event=given.last_event,
            seconds=round(seconds, 4),
        )

    def handle(self, event: events.Event) -> None:
        """Give the core an event and carry out its commands."""
        with self.runtime.guard():
            for command in handle_event(event, self.core, time.monotonic()):
                carry_out_command(command, self)
            self.waker.wake_at(self.core.next_wake())

    def _receive(self, host: str, message: Message) -> None:
        self.handle(events.Received(host, message))


def make_lease(gateway: Gateway) -> LeaseDriver:
    """Make the lease under which one gateway gives engines their roles."""
    return LeaseDriver(
        gateway.table,
        STAGES,
        gateway.settings.host,
        gateway.write_ids,
        make_lease_terms(gateway.settings.bounds),
        on_gained=lambda fencing: log_message("lease:gained", fencing=fencing),
        on_lost=lambda cause: log_message("lease:lost", cause=cause),
        clock=read_boot_clock,
    )
