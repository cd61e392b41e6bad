"""Run a gateway: translate requests and answers to events, and commands to calls."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from typing import Any

import msgspec
from eliot import log_message

from radishtally.authority.lease_driver import LeaseDriver
from radishtally.containment import contain, contain_call, report_error
from radishtally.direct.core import Dialect, EngineReport, Instance, Notice
from radishtally.direct.hosts import DirectHosts
from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.bounds import (
    find_gather_seconds,
    find_min_retry_rate,
    hash_bounds,
    make_lease_terms,
)
from radishtally.gateway.cache_discovery import CacheDiscovery
from radishtally.gateway.changes import apply_change
from radishtally.gateway.commands import execute_command
from radishtally.gateway.config import GatewaySettings
from radishtally.gateway.const import (
    DEFAULT_GATEWAY_COUNT,
    LEAVE_MARGIN_SECONDS,
    LEAVE_POLL_SECONDS,
    MIN_LEAVE_SECONDS,
    RETRY_SHARE,
    SHUTDOWN_TIMEOUT_SECONDS,
    STAGES_LEASE,
)
from radishtally.gateway.core import CallerDialect, CallerRequest
from radishtally.gateway.endings import Delivery
from radishtally.gateway.freshness import (
    ConfigurationState,
    ConfigurationView,
    ViewConfirmer,
    ViewExchange,
)
from radishtally.gateway.http_frontend import HttpFrontend
from radishtally.gateway.members import HostChange, Members
from radishtally.gateway.meter import ReportingMeter, UsageMeter
from radishtally.gateway.metrics import GatewayMetrics
from radishtally.gateway.origin_store import OriginStore
from radishtally.gateway.origins import OriginExchange
from radishtally.gateway.peers import Peers
from radishtally.gateway.requests import (
    NAME_IN_USE,
    SENT_BACK,
    STOPPING,
    RoutedRequest,
    Router,
)
from radishtally.gateway.source_recorder import SourceRecorder
from radishtally.gateway.topology import Site
from radishtally.inbound.buffers import Buffers
from radishtally.inbound.core import UnparsedBytes
from radishtally.limits.retries import RetryBudgets
from radishtally.links.gateway_messages import (
    ConfigurationRead,
    HostsRead,
    TableRead,
)
from radishtally.links.kinds import Message
from radishtally.outcome import Error, Refusal, Result
from radishtally.routes.config import CallerLimits, FleetConfiguration
from radishtally.runtime import Runtime, Waker, read_boot_clock
from radishtally.serving import events
from radishtally.serving.containment import execute_contained
from radishtally.serving.core import DispatchCore, handle_event
from radishtally.serving.origins import UNKNOWN_VERSION
from radishtally.serving.replies import Replies, Reply
from radishtally.serving.resumption import list_locating_routes
from radishtally.serving.sources import Source, UsableSources
from radishtally.stages.role_controller import RoleController
from radishtally.store.core import Table
from radishtally.store.ids import WriteIds
from radishtally.usage.reporter import PlatformApi


class Gateway:
    """Connect the parts of one gateway."""

    def __init__(
        self,
        settings: GatewaySettings,
        caller_dialect: CallerDialect,
        host_dialect: Dialect,
        placement: EnginePlacement,
        table: Table,
        platform_api: PlatformApi | None = None,
    ) -> None:
        self.settings = settings
        self.write_ids = WriteIds(secrets.token_hex(8))
        self.table = table
        self.runtime = Runtime()
        self.view = ConfigurationView()
        self.view.limit_age(settings.bounds.revocation_ms)
        self.view_exchange = ViewExchange(
            settings.host, self.view, self._find_configuration_state
        )
        self.confirmer = ViewConfirmer(
            self.view, self.view_exchange, self._has_teams, self.runtime.spawn
        )
        self.router = Router(self._are_keys_confirmed)
        self.members = Members()
        self.placement = placement
        self.replies = Replies()
        self.metrics = GatewayMetrics()
        self.runtime.on_stall = self.metrics.count_stall
        self.runtime.on_contained = self.metrics.count_contained_error
        self.runtime.describe_state = self._describe_state
        self._era = 0
        """Newest era of the store that was seen; 0 if it reports none."""
        self._gateway_count: int | None = None
        """Number of gateways that share the retry budget; None until listed."""
        self.core = DispatchCore(
            settings.host,
            settings.data_centre,
            random.Random(),
            placement,
            RetryBudgets(
                settings.bounds.retry_ratio * RETRY_SHARE,
                find_min_retry_rate(settings.bounds, DEFAULT_GATEWAY_COUNT),
            ),
            # A host without an agent sends nothing before its answer begins, which may
            # take as long as its queue: only the deadline limits the wait.
            offer_timeout=float("inf"),
            refusals_cost_retries=True,
            prefill_counts_as_run=False,
            tracks_versions=True,
            on_error=lambda error, request: report_error(
                error, "request", request=request
            ),
        )
        self.origin_exchange = OriginExchange(
            settings.host,
            settings.data_centre,
            self.core.origins,
            self._handle_settled,
        )
        self.core.sources = UsableSources()
        self.source_recorder = SourceRecorder(
            table, self.write_ids.make, self.core.sources
        )
        self.origin_store = OriginStore(
            table,
            self.write_ids.make,
            self.source_recorder.is_ambiguous,
            self.origin_exchange.is_first_of_data_centre,
        )
        self.origin_exchange.on_begun = self.origin_store.add
        self.hosts = DirectHosts(host_dialect, self._receive)
        self.hosts.answers.on_mismatch = self.metrics.count_mismatch
        self.hosts.answers.on_unframed = self.metrics.count_unframed
        self.hosts.answers.on_notice = contain_call("host", self.handle_notice)
        self.hosts.on_restarted = contain_call("host", self.handle_restarted)
        self.hosts.on_confirmed = contain_call("host", self.handle_confirmed)
        self.hosts.answers.is_doubted = self.core.is_doubted
        self.hosts.answers.is_limited = self.core.limits.is_limited
        self.buffers = Buffers(settings.memory_mb)
        self.hosts.answers.reserve = self.buffers.reserve_answer
        self.hosts.answers.release = self.buffers.release_answer
        self.frontend = HttpFrontend(
            self, caller_dialect, self.buffers, UnparsedBytes(settings.memory_mb)
        )
        self.core.admission.is_lagging = self.frontend.is_lagging
        self._stopping_since: float | None = None
        self.lease = make_lease(self)
        self.stages = RoleController(
            settings.host,
            self.hosts,
            self.list_served_hosts,
            self.lease,
            placement.measure_rate,
        )
        self.cache_discovery = CacheDiscovery(
            settings.host, self.hosts, placement, self.list_served_hosts
        )
        self.meter = UsageMeter()
        if settings.usage is not None and platform_api is not None:
            self.meter = ReportingMeter(
                settings.host,
                settings.usage,
                table,
                self.write_ids,
                self.lease,
                platform_api,
                self.metrics.count_usage_report,
            )
        self.peers = Peers(
            self,
            settings.host,
            Site(settings.data_centre, settings.cores * settings.core_share),
            settings.peer_address,
        )
        placement.observer = self.stages
        self.stages.on_report = self._handle_report
        self.stages.is_unreachable = self.core.is_out_of_reach
        self.stages.is_limited = self.core.limits.is_limited
        self.check_table: Callable[[TableRead], None] = lambda read: None
        """Reads a table again unless a change has been read here as well."""
        self.waker = Waker(lambda: self.handle(events.Tick()))

    @property
    def limits(self) -> CallerLimits | None:
        """Return the limits on callers' requests; None without a configuration."""
        configuration = self.router.configuration
        return None if configuration is None else configuration.limits

    async def run(self) -> None:
        """Serve until a graceful stop."""
        self.runtime.install_handlers()
        await self.hosts.start()
        settings = self.settings
        starting = self.frontend.start(
            settings.address, settings.ready_address, settings.metrics_address
        )
        if not await self.runtime.run_unless_stopping(starting):
            log_message("gateway:stopped_before_start")
            return
        # Other gateways may contend already; that is known once the links are up.
        self.lease.contend(False)
        self.lease.start()
        loops = {
            "stages": self.stages.run,
            "peers": self.peers.run,
            "view": self.confirmer.run,
            "origins": self.origin_exchange.run,
            "sources": self.source_recorder.run,
            "stored origins": self.origin_store.run,
            **self.meter.list_loops(),
        }
        for name, loop in loops.items():
            self.runtime.keep_running(name, loop)
        log_message(
            "gateway:started",
            address=self.settings.address,
            mark=self._publish_settings_hash(),
        )
        await self.runtime.stopping.wait()
        resigning = self.runtime.spawn(self.lease.stop())
        await self._drain()
        self.waker.stop()
        await self._stop_parts(resigning)
        self.runtime.cancel_tasks()
        log_message("gateway:stopped", open=len(self.replies))
        self.runtime.exit_if_broken()

    def _describe_state(self) -> dict[str, Any]:
        configuration = self.router.configuration
        return {
            "lease": self.lease.describe(),
            "version": None if configuration is None else configuration.version,
        }

    async def _drain(self) -> None:
        """Report not ready to the balancer, then wait until no request is open."""
        log_message("gateway:leaving", open=len(self.replies))
        self._stopping_since = time.monotonic()
        until = self._stopping_since + self._find_grace_seconds()
        while time.monotonic() < until:
            await asyncio.sleep(LEAVE_POLL_SECONDS)
            if time.monotonic() < self._stopping_since + MIN_LEAVE_SECONDS:
                continue
            if not await self.frontend.close_idle():
                break
        # Data that arrives between the last check and the exit would not be read.
        await self.frontend.stop_listening()
        await asyncio.sleep(LEAVE_POLL_SECONDS)
        while await self.frontend.close_idle() and time.monotonic() < until:
            await asyncio.sleep(LEAVE_POLL_SECONDS)
        self.handle(events.Shutdown())
        self.meter.flush()
        await asyncio.sleep(LEAVE_POLL_SECONDS)

    async def _stop_parts(self, *more: asyncio.Task) -> None:
        """Stop the parts concurrently, so that none can exceed the grace period."""
        parts = self.frontend.stop(), self.peers.stop(), self.hosts.stop()
        tasks = [*more, *map(asyncio.create_task, parts)]
        await asyncio.wait(tasks, timeout=SHUTDOWN_TIMEOUT_SECONDS)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply reloaded settings; addresses stay unchanged until the next start."""
        known = self.settings.bounds
        fixed = msgspec.structs.replace(settings, bounds=known)
        log_message("settings:reloaded", needs_restart=fixed != self.settings)
        bounds = settings.bounds
        if self.is_stopping():
            # The platform kills the process after the grace period that applied when it
            # sent the signal. A request accepted for longer would be cut off.
            grace = known.grace_seconds
            bounds = msgspec.structs.replace(bounds, grace_seconds=grace)
        self.settings = msgspec.structs.replace(self.settings, bounds=bounds)
        log_message("settings:in_force", mark=self._publish_settings_hash())
        self.view.limit_age(bounds.revocation_ms)
        self.lease.set_terms(make_lease_terms(bounds))
        self._update_retry_budget()

    def _publish_settings_hash(self) -> str:
        """Hash the current settings, publish the hash in the metrics and return it."""
        mark = hash_bounds(self.settings.bounds)
        self.metrics.set_settings(mark)
        return mark

    def set_gateway_count(self, count: int) -> None:
        """Set how many gateways share the retry budget and the reads of the lease."""
        self._gateway_count = self.source_recorder.gateway_count = count
        self.lease.set_contender_count(count)
        self._update_retry_budget()

    def find_gather_seconds(self) -> float:
        """Return how long changes in the store may accumulate between queries.

        Until the other gateways are listed, all of them may be starting at once.
        """
        return find_gather_seconds(self.settings.bounds, self._gateway_count)

    def _update_retry_budget(self) -> None:
        bounds = self.settings.bounds
        ratio = bounds.retry_ratio * RETRY_SHARE
        count = self._gateway_count or DEFAULT_GATEWAY_COUNT
        self.core.budgets.configure(ratio, find_min_retry_rate(bounds, count))

    def render_metrics(self) -> bytes:
        """Render the metrics in the text format."""
        now = time.monotonic()
        self.metrics.set_denied(self.core.suspects.count_denied(now))
        self.metrics.set_denied_parts(self.core.part_suspects.count_denied(now))
        self.metrics.set_remembered_streams(len(self.core.origins))
        self.metrics.set_held_bytes(self.buffers.used)
        self.metrics.clear_queues()
        for upstream, queue in self.core.admission.queues.items():
            self.metrics.set_queue(upstream, queue, now)
        return self.metrics.render()

    def _has_teams(self) -> bool:
        """Return whether the current configuration has keys that may be taken away."""
        configuration = self.router.configuration
        return configuration is not None and configuration.teams is not None

    def _find_configuration_state(self) -> ConfigurationState | None:
        configuration = self.router.configuration
        if configuration is None:
            return None
        return ConfigurationState(self._era, configuration.version)

    def _are_keys_confirmed(self) -> bool:
        """Return whether keys may be accepted; if not, request a confirmation."""
        if self.view.is_fresh():
            return True
        self.confirmer.request()
        return False

    def is_ready(self) -> bool:
        """Return whether the balancer should send requests here."""
        is_configured = self.router.configuration is not None
        return is_configured and self.frontend.is_listening and not self.is_stopping()

    def is_stopping(self) -> bool:
        """Return whether connections should be closed after their answer."""
        return self.runtime.stopping.is_set()

    def configure(
        self, configuration: FleetConfiguration, *, is_rewritten: bool = False
    ) -> None:
        """Apply a configuration unless a newer one is already applied.

        A configuration that the operator has written since the store was restored is
        applied whatever its version: newer versions may be lost from the store.
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
        self.hosts.configure(configuration.upstreams.values())
        self.source_recorder.configure(configuration.routes)
        self.metrics.set_configuration(configuration.version)
        log_message("configuration:in_force", version=configuration.version)

    def enter_era(self, before: int, after: int, silence: float) -> None:
        """Handle a new era of the store; before is 0 when an era is first seen.

        Silence is the staleness, in seconds, of the known hosts and configuration.
        """
        self._era = after
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
        self.metrics.count_restore()
        self.members.enter_era(read_boot_clock())
        self.peers.enter_era()
        self.meter.enter_era()
        self.source_recorder.enter_era()
        self.origin_store.enter_era()

    def list_served_hosts(self) -> list[Instance]:
        """List the hosts of the upstreams that are configured.

        Any writer of the list can add an entry for any service, and orders would be
        sent to whatever listens at that entry's address.
        """
        configuration = self.router.configuration
        if configuration is None:
            return []
        named = configuration.upstreams
        return [host for host in self.members if host.upstream in named]

    def apply_changes(self, changes: list[HostChange]) -> None:
        """Apply changes of the upstreams' hosts."""
        for change in changes:
            with contain("host", change=change):
                apply_change(change, self)
        self.metrics.set_missing(self.members.count_missing())

    def confirm_hosts(self, age: float) -> None:
        """Record that the host list was current so many seconds ago."""
        self.core.confirm_hosts(time.monotonic() - age)
        self.source_recorder.review(self.members)

    def announce_hosts_read(self, version: int) -> None:
        """Tell the other gateways of the newest change of the host list read here."""
        self.peers.announce_table_read(HostsRead(self._era, version))

    def announce_configuration_read(self, version: int) -> None:
        """Tell the other gateways of the newest configuration read here."""
        self.peers.announce_table_read(ConfigurationRead(self._era, version))

    def handle_table_read(self, read: TableRead) -> None:
        """Check that a change of a table that a peer has read is known here."""
        if read.era == self._era:
            self.check_table(read)

    def handle_permits(self, host: str) -> None:
        """Offer the requests that wait for a host that has named a limit."""
        self.handle(events.PermitsReceived(host))

    def handle_places(self) -> None:
        """Begin waiting calls for which peers have left places."""
        self.handle(events.PlacesChanged())

    def is_own_address(self, address: str) -> bool:
        """Return whether this process, or the store, listens on an address."""
        settings = self.settings
        return address in (
            settings.address,
            settings.ready_address,
            settings.metrics_address,
            settings.peer_address,
            settings.store_address,
        )

    def set_unreadable_count(self, count: int) -> None:
        """Set the number of host entries that can't be decoded."""
        self.metrics.set_unreadable(count)

    def handle_notice(
        self, queried: Instance, notice: Notice, sent_at: float = float("-inf")
    ) -> None:
        """Handle the notices about its host in the head of an answer.

        The host has answered later than the time at which it was sent the request.
        """
        self.metrics.count_notice(notice)
        if self.members.is_present(queried):
            self.core.limits.record_answer(
                queried.host, notice.limit, sent_at, time.monotonic()
            )
        if notice.pause and self.members.is_present(queried):
            self.core.pause_host(queried.host, notice.pause, time.monotonic())
            log_message(
                "upstream:paused", upstream_host=queried.host, seconds=notice.pause
            )
        changes = self.members.record_leaving(queried) if notice.is_leaving else []
        if not changes:
            return
        log_message("upstream:leaving", upstream_host=queried.host)
        self.apply_changes(changes)

    def handle_restarted(self, queried: Instance) -> None:
        """Doubt the software version of a host that has been seen to start again."""
        known = self.core.hosts.get(queried.host)
        is_doubted = known is None or known.version == UNKNOWN_VERSION
        if is_doubted or not self.members.is_present(queried):
            return
        log_message("upstream:restarted_unlisted", upstream_host=queried.host)
        self.handle(events.VersionChanged(queried.host, UNKNOWN_VERSION, False))
        self.source_recorder.note_unknown(queried.upstream)
        # Callers may take up streams that break off now at other gateways at once.
        self.origin_exchange.send_changes(time.monotonic())

    def handle_confirmed(self, queried: Instance, asked_at: float) -> None:
        """Record that a host has still run its known start after a time."""
        if self.members.is_present(queried):
            self.core.confirm_host(queried.host, queried.version, asked_at)

    def _handle_report(self, queried: Instance, report: EngineReport) -> None:
        changes = self.members.apply_report(queried, report, read_boot_clock())
        if not changes and report.started_ms != queried.started_ms:
            log_message(
                "upstream:report_ignored",
                upstream_host=queried.host,
                queried=queried.started_ms,
                reported=report.started_ms,
            )
        self.apply_changes(changes)

    def route(
        self, method: str, target: str, caller_request: CallerRequest, body: bytes
    ) -> Result[RoutedRequest, Refusal]:
        """Route a request, or return why it is refused."""
        if caller_request.request in self.replies:
            return Error(SENT_BACK if caller_request.expected_host else NAME_IN_USE)
        routed = self.router.route(method, target, caller_request, body)
        if routed.is_ok() and not self._can_finish(routed.ok.timeout):
            return Error(STOPPING)
        return routed

    def _can_finish(self, timeout: float) -> bool:
        """Return whether a request that arrives now can finish before the exit.

        Callers with open connections go on sending after the stop begins, and if few
        gateways are left the balancer still sends requests here. A long request that
        arrives late would be cut off when the process exits.
        """
        if self._stopping_since is None:
            return True
        passed = time.monotonic() - self._stopping_since
        left = self._find_grace_seconds() - passed
        return passed < MIN_LEAVE_SECONDS or timeout < left

    def _find_grace_seconds(self) -> float:
        return self.settings.bounds.grace_seconds - LEAVE_MARGIN_SECONDS

    def open(self, routed: RoutedRequest) -> asyncio.Queue[Reply]:
        """Open a request; return the queue on which its answer arrives."""
        work = routed.work
        queue = self.replies.open(work.request)
        self.meter.open(work)
        self.metrics.record_opened(routed)
        log_message(
            "request:arrived",
            request=work.request,
            upstream=work.upstream,
            kind=work.kind,
            timeout=round(routed.timeout, 3),
            content=routed.terms.content,
            shared_parts=routed.terms.describe_shared_parts(),
            resumed_stream=routed.terms.resumed_stream,
            resumed_after=routed.terms.resumed_after,
            version=self.router.configuration.version,
        )
        now = time.monotonic()
        deadline = now + routed.timeout
        self.handle(events.Arrived(work, deadline, routed.is_streamed, routed.terms))
        return queue

    def record_refused_connection(self) -> None:
        """Count a connection that was closed unread."""
        self.metrics.count_refused_connection()

    def record_refusal(self, request: str, refusal: Refusal) -> None:
        """Log and count a refusal by the gateway itself."""
        self.metrics.count_refusal(refusal.code, refusal.ran)
        log_message(
            "request:refused",
            request=request,
            code=refusal.code,
            status=refusal.status,
            ran=refusal.ran,
            text=refusal.message,
        )

    def close(self, request: str, delivery: Delivery) -> None:
        """Close a request whose caller has its answer or has disconnected."""
        self.replies.close(request)
        if not delivery.is_done:
            self.handle(events.CallerGone(request))
        self.meter.close(request)
        outcome, seconds = self.metrics.record_closed(request, delivery.ending)
        log_message(
            "request:closed",
            request=request,
            outcome=outcome,
            ending=delivery.ending,
            status=delivery.status,
            sent=delivery.sent,
            last_event=delivery.last_event,
            seconds=round(seconds, 4),
        )

    def handle(self, event: events.Event) -> None:
        """Handle an event and execute the resulting commands."""
        for command in handle_event(event, self.core, time.monotonic()):
            execute_contained(command, self.core, self._execute, self.replies)
        self.waker.wake_at(self.core.next_wake())

    def _execute(self, command: events.Command) -> None:
        execute_command(command, self)

    def _handle_settled(self, stream: bytes) -> None:
        """Go on with the requests that wait to learn where a stream began."""
        if self.core.origins.find(stream) is not None:
            self.handle(events.OriginSettled(stream))
            return
        routes = list_locating_routes(stream, self.core)
        for route in routes:
            self.runtime.spawn(self._find_source(stream, route))

    async def _find_source(self, stream: bytes, route: str) -> None:
        """Find where a stream began that no gateway remembers."""
        source = await self.source_recorder.find_sole(route)
        if source is None:
            begin = await self.origin_store.find(stream)
            source = None if begin is None else Source(route, *begin)
        if source is not None:
            self.handle(events.SourceFound(stream, source))
        self.handle(events.OriginSettled(stream))

    def _receive(self, host: str, message: Message) -> None:
        self.handle(events.Received(host, message))


def make_lease(gateway: Gateway) -> LeaseDriver:
    """Create the lease whose holder assigns roles to engines."""
    return LeaseDriver(
        gateway.table,
        STAGES_LEASE,
        gateway.settings.host,
        gateway.write_ids,
        make_lease_terms(gateway.settings.bounds),
        on_gained=lambda fencing: log_message("lease:gained", fencing=fencing),
        on_lost=lambda cause: log_message("lease:lost", cause=cause),
        clock=read_boot_clock,
    )
