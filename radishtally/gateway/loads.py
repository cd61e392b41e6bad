"""Exchange open work, demand, cached parts and suspicions with other gateways."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Final

from eliot import log_message

from radishtally.engines.placement import EnginePlacement
from radishtally.engines.staleness import PeerStaleness
from radishtally.gateway.call_exchange import CALL_MESSAGES, CallExchange
from radishtally.gateway.const import LOAD_BATCH_SECONDS
from radishtally.gateway.limit_exchange import LIMIT_MESSAGES, LimitExchange
from radishtally.gateway.topology import (
    ExchangeGroup,
    Site,
    Sites,
    find_exchange_group,
    is_collector_candidate,
    is_mesh,
    list_data_centres,
    list_gateways_in,
)
from radishtally.links.gateway_messages import (
    Backlog,
    ConfigurationRead,
    DemandReport,
    HostsRead,
    PartsRead,
    RoleOrdered,
    Suspicion,
    Suspicions,
    TableRead,
)
from radishtally.links.hub import LinkHub
from radishtally.links.kinds import Message
from radishtally.serving.host_limits import HostLimits
from radishtally.serving.prompt_suspects import PartsMessage, PromptSuspects
from radishtally.serving.suspects import Suspects, group_suspicions
from radishtally.stages.const import REPORT_INTERVAL_SECONDS
from radishtally.stages.role_controller import RoleController

COLLECT_SECONDS_PER_PEER: Final = 0.002
"""Interval between two rounds per peer of a collector. Whatever the number of peers, a
collector then sends and receives 500 messages a second each."""
MIN_CANDIDATE_SECONDS: Final = 1.0
"""Time for which a gateway must be a collector candidate before it contends for the
lease. While all gateways start, none has links yet and each would count itself as a
candidate."""
IDLE_SECONDS: Final = 0.2
"""Time within which a host's first limit is passed on."""
FULL_REFRESH_SECONDS: Final = 2.0
"""Interval between full updates, which cover all engines. A peer ignores an update
about an engine that it does not list yet, or from a gateway outside its group. Without
full updates it would miss that work until the next change and overload the engine. An
engine takes 18 bytes in a message: with 60 engines, each of 12 gateways in a mesh sends
6 KB a second."""


class LoadExchange:
    """Exchange loads with the gateways to which links are up.

    Few gateways form a mesh and send to each other directly. With more of them, one
    collector in each data centre aggregates the open work of that data centre. It sends
    the sum to the collectors of the other data centres, and to each gateway of its own
    data centre the sum of all others, as if it were the collector's own work. Messages
    then grow linearly with the number of gateways and not with its square, and the
    staleness grows with the size of a data centre. A collector for 68 gateways, sending
    every 0.14 s, used nine tenths of the 0.39 cores that it had, and took seven seconds
    to load a configuration.
    """

    def __init__(
        self,
        own_name: str,
        hub: LinkHub,
        placement: EnginePlacement,
        stages: RoleController,
        contend: Callable[[bool], None] = lambda _: None,
        suspects: Suspects | None = None,
        part_suspects: PromptSuspects | None = None,
        limits: HostLimits | None = None,
        find_start: Callable[[str], int] = lambda host: 0,
        on_permits: Callable[[str], None] = lambda host: None,
        calls: CallExchange | None = None,
    ) -> None:
        self._own_name = own_name
        self._contend = contend
        """Called with whether this gateway contends for the lease."""
        self._candidate_since: float | None = None
        self._contends = False
        self._hub = hub
        self._placement = placement
        self._stages = stages
        self._suspects = Suspects() if suspects is None else suspects
        self._part_suspects = part_suspects or PromptSuspects()
        self._limits = LimitExchange(
            own_name,
            HostLimits() if limits is None else limits,
            self._send,
            find_start,
            on_permits,
        )
        self._calls = calls
        self._sites: Sites = {own_name: Site()}
        self._linked: list[str] | None = None
        """Linked peers for which the group was computed; None to recompute it."""
        self._group = ExchangeGroup()
        self._is_candidate = True
        self._interval = LOAD_BATCH_SECONDS
        """Seconds between two rounds of messages."""
        self._reported_engines: set[str] = set()
        """Engines that peers have sent loads of since the last round."""
        self._to_relay: list[tuple[str, PartsRead | RoleOrdered]] = []
        """Messages to relay as a collector in the next round, with their sender."""
        self._role_orders: list[RoleOrdered] = []
        """Role changes that were ordered here since the last round."""
        self._suspicions_to_relay: list[tuple[str, Suspicion]] = []
        """Suspicions to relay as a collector in the next round, with their sender."""
        self._parts_to_relay: list[tuple[str, PartsMessage]] = []
        """Messages about prompt parts to relay in the same way."""
        self._reads: dict[type[TableRead], TableRead] = {
            HostsRead: HostsRead(0, 0),
            ConfigurationRead: ConfigurationRead(0, 0),
        }
        """Newest change of each table that this gateway or a peer has read."""
        self._unsent_reads: set[type[TableRead]] = set()
        self.on_table_read: Callable[[TableRead], None] = lambda read: None
        """Called when a peer has read a newer change of a table."""
        self._refreshed_at = float("-inf")

    def set_sites(self, sites: Sites) -> None:
        """Set the known gateways, including this one."""
        self._limits.set_sites(sites)
        if sites == self._sites:
            return
        self._sites = sites
        self._linked = None
        self._interval = self._find_interval()
        staleness = self._describe_others()
        self._placement.unseen_requests.peers = staleness
        if self._calls is not None:
            self._calls.set_staleness(staleness.age)

    async def run(self) -> None:
        """Send updates to the other gateways until cancelled."""
        demand_sent_at = time.monotonic()
        while True:
            await asyncio.sleep(self._interval)
            now = time.monotonic()
            self._update_group()
            self._update_contention(now)
            self._send_backlog(now)
            self._send_engine_news()
            self._send_table_reads()
            self._send_calls(now)
            self._send_changed_suspicions(now)
            if now >= demand_sent_at + REPORT_INTERVAL_SECONDS:
                demand_sent_at = now
                self._send_demand(now)

    def _send(self, peer: str, message: Message) -> None:
        self._hub.send(peer, message)

    async def run_limits(self) -> None:
        """Exchange the permits of hosts that have named a limit until cancelled."""
        while True:
            is_active = self._limits.is_active()
            await asyncio.sleep(LOAD_BATCH_SECONDS if is_active else IDLE_SECONDS)
            self._update_group()
            self._limits.run_round(time.monotonic())

    def handle_link_up(self, peer: str) -> None:
        """Send the full state to a gateway whose link has come up."""
        self._update_group()
        if peer not in self._group.recipients:
            return
        self._hub.send(peer, self._make_backlog(None, peer))
        for read in self._reads.values():
            self._hub.send(peer, read)
        self._limits.handle_link_up(peer)
        # A gateway that has just started would otherwise have all parts prefilled
        # again, at other engines.
        for parts in self._placement.list_parts():
            self._hub.send(peer, parts)
        now = time.monotonic()
        self._send_suspicions(peer, self._suspects.list_all(now))
        for message in self._part_suspects.list_all(now):
            self._hub.send(peer, message)

    def forget_peer(self, peer: str) -> None:
        """Drop the state received from a gateway whose updates no longer apply."""
        self._placement.forget_peer(peer)
        self._stages.forget_report(peer)
        if self._calls is not None:
            self._calls.forget_peer(peer, time.monotonic())

    def handle_message(self, peer: str, message: Message) -> None:
        """Apply a message from another gateway."""
        # The state sent when a link comes up is sent only once, so the group must be
        # current before the next round.
        self._update_group()
        # A gateway outside the group sends to this one only while the two disagree on
        # the collector. Its open work would be counted twice.
        if peer not in self._group.recipients:
            return
        now = time.monotonic()
        if isinstance(message, Backlog):
            self._placement.record_backlog(peer, message, now)
            self._reported_engines.update(share.host for share in message.shares)
        elif isinstance(message, DemandReport):
            self._stages.record_report(peer, message, now)
        elif isinstance(message, PartsRead):
            self._placement.record_parts(message)
            if self._is_collector:
                self._to_relay.append((peer, message))
        elif isinstance(message, RoleOrdered):
            self._placement.record_role_order(message, now)
            if self._is_collector:
                self._to_relay.append((peer, message))
        elif isinstance(message, LIMIT_MESSAGES):
            self._limits.handle_message(peer, message, now)
        elif isinstance(message, CALL_MESSAGES):
            if self._calls is not None:
                self._calls.handle_message(peer, message, self._is_collector, now)
        elif isinstance(message, TableRead):
            self._handle_table_read(message)
        elif isinstance(message, Suspicions):
            self._handle_suspicions(peer, message, now)
        elif isinstance(message, PartsMessage):
            self._handle_parts(peer, message, now)

    def record_table_read(self, read: TableRead) -> None:
        """Record a change of a table that this gateway has read."""
        if read > self._reads[type(read)]:
            self._reads[type(read)] = read
            self._unsent_reads.add(type(read))

    def _handle_table_read(self, read: TableRead) -> None:
        if read <= self._reads[type(read)]:
            return
        self._reads[type(read)] = read
        if self._is_collector:
            self._unsent_reads.add(type(read))
        else:
            self._unsent_reads.discard(type(read))
        self.on_table_read(read)

    def _send_table_reads(self) -> None:
        kinds, self._unsent_reads = self._unsent_reads, set()
        for peer in self._group.recipients:
            for kind in kinds:
                self._hub.send(peer, self._reads[kind])

    def _send_calls(self, now: float) -> None:
        if self._calls is None:
            return
        self._calls.run_round(
            self._group.recipients, self._list_excluded, len(self._sites), now
        )
        self._send_outgoing(self._calls.pop_refused(now))

    def _handle_suspicions(self, peer: str, message: Suspicions, now: float) -> None:
        for suspicion in message.suspicions:
            if self._suspects.merge(suspicion, now):
                log_message(
                    "suspects:denied",
                    content=suspicion.content,
                    ends=suspicion.ends,
                    told_by=peer,
                )
                # In a mesh no collector relays, and the direct link may be down.
                if is_mesh(self._sites):
                    self._suspects.mark_changed(suspicion.content)
        if self._is_collector:
            self._suspicions_to_relay += [
                (peer, suspicion) for suspicion in message.suspicions
            ]

    def _handle_parts(self, peer: str, message: PartsMessage, now: float) -> None:
        suspects = self._part_suspects
        merged = suspects.merge(message, now)
        if merged.denies_parts:
            log_message(
                "suspects:parts_denied",
                count=suspects.count_denied(now),
                told_by=peer,
            )
        # Many gateways may have the same to say of a part.
        if self._is_collector and merged.is_news:
            self._parts_to_relay.append((peer, message))

    @property
    def _is_collector(self) -> bool:
        return self._group.collector == self._own_name

    def _find_interval(self) -> float:
        if is_mesh(self._sites):
            return LOAD_BATCH_SECONDS
        local = list_gateways_in(self._sites, self._sites[self._own_name].data_centre)
        others = len(list_data_centres(self._sites)) - 1
        return max(LOAD_BATCH_SECONDS, (len(local) + others) * COLLECT_SECONDS_PER_PEER)

    def _describe_others(self) -> PeerStaleness:
        """Return the number of other gateways and the maximum age of their loads."""
        # The gateway itself, its collector, and the collector of another data centre.
        hops = 1 if is_mesh(self._sites) else 2
        if hops > 1 and len(list_data_centres(self._sites)) > 1:
            hops += 1
        return PeerStaleness(len(self._sites) - 1, hops * self._interval)

    def _update_group(self) -> None:
        """Update the exchange group from the links that are up."""
        linked = self._hub.hosts
        if linked == self._linked:
            return
        self._linked = linked
        self._is_candidate = is_collector_candidate(self._sites, self._own_name, linked)
        group = find_exchange_group(self._sites, self._own_name, linked)
        self._limits.update_group(group, linked)
        if group == self._group:
            return
        old, self._group = self._group, group
        self._refreshed_at = float("-inf")
        outdated = set(old.recipients) - set(group.recipients)
        if group.collector != old.collector:
            log_message(
                "peers:collector",
                collector=group.collector,
                members=len(group.members),
                collectors=group.collectors,
            )
            # Loads received from the old collector include those of other gateways, and
            # loads received directly will be part of the new collector's messages.
            if group.collector == self._own_name:
                outdated |= {old.collector} - {None}
            else:
                outdated |= set(self._hub.hosts)
        for peer in outdated:
            self.forget_peer(peer)

    def _update_contention(self, now: float) -> None:
        """Contend for the lease only as a collector candidate.

        Each read of the lease is a call to the store. The two candidates in each data
        centre are enough, since others replace them if they fail.
        """
        if not self._is_candidate:
            self._candidate_since = None
        elif self._candidate_since is None:
            self._candidate_since = now
        since = self._candidate_since
        contends = since is not None and now >= since + MIN_CANDIDATE_SECONDS
        if contends != self._contends:
            self._contends = contends
            self._contend(contends)

    def _list_excluded(self, peer: str) -> frozenset[str] | None:
        """List the gateways excluded from a peer's messages; None to send only own."""
        if not self._is_collector:
            return None
        if peer in self._group.collectors:
            # Collectors send each other only the loads of their own data centres.
            return frozenset(self._group.collectors)
        return frozenset((peer,))

    def _send_backlog(self, now: float) -> None:
        hosts: set[str] | None = self._placement.pop_changed_hosts()
        if self._is_collector:
            hosts |= self._reported_engines
        self._reported_engines.clear()
        if now >= self._refreshed_at + FULL_REFRESH_SECONDS:
            self._refreshed_at = now
            hosts = None
        if hosts is not None and not hosts:
            return
        for peer in self._group.recipients:
            self._hub.send(peer, self._make_backlog(hosts, peer))

    def record_role_order(self, host: str, role: str) -> None:
        """Record that this gateway has ordered an engine to change its role."""
        ordered = self._placement.describe_role_order(host, role)
        self._placement.record_role_order(ordered, time.monotonic())
        self._role_orders.append(ordered)

    def _send_engine_news(self) -> None:
        """Send the parts that engines were newly given, and the roles ordered."""
        news = [*self._role_orders, *self._placement.pop_sent_parts()]
        outgoing = [(self._own_name, message) for message in news]
        outgoing += self._to_relay
        self._role_orders, self._to_relay = [], []
        self._send_outgoing(outgoing)

    def _send_outgoing(self, outgoing: list[tuple[str | None, Message]]) -> None:
        """Send messages to all recipients but those that had them from their sender."""
        for peer in self._group.recipients if outgoing else ():
            excluded = self._list_excluded(peer) or ()
            for sender, message in outgoing:
                if sender not in excluded:
                    self._hub.send(peer, message)

    def _send_changed_suspicions(self, now: float) -> None:
        """Send what is known of requests under which hosts failed, in few messages."""
        changed = self._suspects.pop_changed(now)
        outgoing = [(self._own_name, suspicion) for suspicion in changed]
        outgoing += self._suspicions_to_relay
        self._suspicions_to_relay = []
        for peer in self._group.recipients if outgoing else ():
            excluded = self._list_excluded(peer) or ()
            suspicions = (
                suspicion for sender, suspicion in outgoing if sender not in excluded
            )
            self._send_suspicions(peer, suspicions)
        messages = self._part_suspects.pop_messages(now)
        outgoing_parts = [(self._own_name, message) for message in messages]
        outgoing_parts += self._parts_to_relay
        self._parts_to_relay = []
        self._send_outgoing(outgoing_parts)

    def _send_suspicions(self, peer: str, suspicions: Iterable[Suspicion]) -> None:
        for group in group_suspicions(suspicions):
            self._hub.send(peer, Suspicions(group))

    def _make_backlog(self, hosts: Iterable[str] | None, peer: str) -> Backlog:
        return self._placement.build_backlog(hosts, self._list_excluded(peer))

    def _send_demand(self, now: float) -> None:
        for peer in self._group.recipients:
            for report in self._stages.build_reports(now, self._list_excluded(peer)):
                self._hub.send(peer, report)
