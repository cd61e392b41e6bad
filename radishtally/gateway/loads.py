"""Tell the other gateways what is open at engines and what has come, and hear it."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Final

from eliot import log_message

from radishtally.engines.placement import EnginePlacement
from radishtally.engines.staleness import PeerStaleness
from radishtally.gateway.const import LOAD_BATCH_SECONDS
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
from radishtally.links.hub import LinkHub
from radishtally.links.messages import (
    Backlog,
    DemandReport,
    Message,
    PartsRead,
    Suspicion,
    Suspicions,
)
from radishtally.serving.suspects import Suspects, group_suspicions
from radishtally.stages.const import REPORT_INTERVAL_SECONDS
from radishtally.stages.role_controller import RoleController

COLLECT_SECONDS_PER_PEER: Final = 0.002
"""Time between two rounds for each gateway that a collector tells: whatever their
number, it sends and takes 500 messages a second each."""
MIN_CANDIDATE_SECONDS: Final = 1.0
"""Time for which a gateway must be among those that may collect before it contends for
the lease: while all start, none has links yet, and each would take itself for one."""
FULL_REFRESH_SECONDS: Final = 2.0
"""Time between two rounds that name all engines. What a gateway could not take when it
was told (it did not list the engine yet, or believed others just then) would be missing
until it changes, and the engine would get too much work for as long. Each engine takes
18 bytes of a message: with 60 of them, one of 12 gateways in a mesh sends 6 KB a
second."""


class LoadExchange:
    """Exchange loads with the gateways that links are up to.

    Few gateways tell each other directly. Of many, one in each data centre collects
    what those beside it have open. It tells that to those that collect elsewhere, and
    to each beside it what all but that one have, as if that was its own: the messages
    then grow with the gateways and not with their square, and the news is as old as a
    data centre is large. One that collected for 68 told them every 0.14 s, with nine
    tenths of the 0.39 cores that it had: it took seven seconds to take a configuration.
    """

    def __init__(
        self,
        own: str,
        hub: LinkHub,
        placement: EnginePlacement,
        stages: RoleController,
        contend: Callable[[bool], None] = lambda _: None,
        suspects: Suspects | None = None,
    ) -> None:
        self._own = own
        self._contend = contend
        """Take whether this gateway contends for the lease."""
        self._candidate_since: float | None = None
        self._contends = False
        self._hub = hub
        self._placement = placement
        self._stages = stages
        self._suspects = Suspects() if suspects is None else suspects
        self._sites: Sites = {own: Site()}
        self._linked: list[str] | None = None
        """Links by which the circle was found; none where it is to be found anew."""
        self._group = ExchangeGroup()
        self._is_candidate = True
        self._interval = LOAD_BATCH_SECONDS
        """Seconds between two rounds."""
        self._reported_engines: set[str] = set()
        """Engines that others have told of since the last round."""
        self._parts_to_relay: list[tuple[str, PartsRead]] = []
        """What others have told a collector since the last round, and who."""
        self._suspicions_to_relay: list[tuple[str, Suspicion]] = []
        """The same of requests under which hosts have ended."""
        self._refreshed_at = float("-inf")

    def set_sites(self, sites: Sites) -> None:
        """Take which gateways there are, this one among them."""
        if sites == self._sites:
            return
        self._sites = sites
        self._linked = None
        self._interval = self._find_interval()
        self._placement.unseen_requests.peers = self._describe_others()

    async def run(self) -> None:
        """Tell for good."""
        demand_sent_at = time.monotonic()
        while True:
            await asyncio.sleep(self._interval)
            now = time.monotonic()
            self._update_group()
            self._update_contention(now)
            self._send_backlog(now)
            self._send_parts()
            self._send_changed_suspicions(now)
            if now >= demand_sent_at + REPORT_INTERVAL_SECONDS:
                demand_sent_at = now
                self._send_demand(now)

    def handle_link_up(self, peer: str) -> None:
        """Tell a gateway all, as its link has come up."""
        self._update_group()
        if peer not in self._group.recipients:
            return
        self._hub.send(peer, self._make_backlog(None, peer))
        # One that has just started would have all parts read again, and elsewhere.
        for parts in self._placement.list_parts():
            self._hub.send(peer, parts)
        self._send_suspicions(peer, self._suspects.list_all(time.monotonic()))

    def forget_peer(self, peer: str) -> None:
        """Forget what a gateway has told, as its link is down."""
        self._placement.forget_peer(peer)
        self._stages.forget_report(peer)

    def handle_message(self, peer: str, message: Message) -> None:
        """Take what a gateway tells."""
        # What one tells as its link comes up is told once: it can't wait for a round.
        self._update_group()
        # Another one than the collector tells this one only while the two disagree on
        # who collects: what it has open would count twice.
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
                self._parts_to_relay.append((peer, message))
        elif isinstance(message, Suspicions):
            self._handle_suspicions(peer, message, now)

    def _handle_suspicions(self, peer: str, message: Suspicions, now: float) -> None:
        for suspicion in message.suspicions:
            if self._suspects.merge(suspicion, now):
                log_message(
                    "suspects:denied",
                    content=suspicion.content,
                    ends=suspicion.ends,
                    told_by=peer,
                )
                # In a mesh nobody passes news on, and a link may be cut.
                if is_mesh(self._sites):
                    self._suspects.mark_changed(suspicion.content)
        if self._is_collector:
            self._suspicions_to_relay += [(peer, told) for told in message.suspicions]

    @property
    def _is_collector(self) -> bool:
        return self._group.collector == self._own

    def _find_interval(self) -> float:
        if is_mesh(self._sites):
            return LOAD_BATCH_SECONDS
        ours = list_gateways_in(self._sites, self._sites[self._own].data_centre)
        others = len(list_data_centres(self._sites)) - 1
        return max(LOAD_BATCH_SECONDS, (len(ours) + others) * COLLECT_SECONDS_PER_PEER)

    def _describe_others(self) -> PeerStaleness:
        """Say how many others there are, and how old news of them is at most."""
        # Each, then who collects; and who collects in the other data centre.
        hops = 1 if is_mesh(self._sites) else 2
        if hops > 1 and len(list_data_centres(self._sites)) > 1:
            hops += 1
        return PeerStaleness(len(self._sites) - 1, hops * self._interval)

    def _update_group(self) -> None:
        """Take whom to tell and to believe by the links that are up."""
        linked = self._hub.hosts
        if linked == self._linked:
            return
        self._linked = linked
        self._is_candidate = is_collector_candidate(self._sites, self._own, linked)
        circle = find_exchange_group(self._sites, self._own, linked)
        if circle == self._group:
            return
        old, self._group = self._group, circle
        self._refreshed_at = float("-inf")
        outdated = set(old.recipients) - set(circle.recipients)
        if circle.collector != old.collector:
            log_message(
                "peers:collector",
                collector=circle.collector,
                members=len(circle.members),
                collectors=circle.collectors,
            )
            # What a collector told stood for others too; and what others told directly
            # is told by the collector from now on.
            if circle.collector == self._own:
                outdated |= {old.collector} - {None}
            else:
                outdated |= set(self._hub.hosts)
        for peer in outdated:
            self.forget_peer(peer)

    def _update_contention(self, now: float) -> None:
        """Contend for the lease only as one of few.

        Each look at the lease is a call to the store. Those that collect are enough: in
        each data centre there are two, and the next ones take their places.
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
        """List whose work a peer is not told of, or none to tell it our own alone."""
        if not self._is_collector:
            return None
        if peer in self._group.collectors:
            # Each of them hears of the others' data centres from those themselves.
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

    def _send_parts(self) -> None:
        """Tell what engines were first given: nothing is told of what they keep."""
        told = [(self._own, parts) for parts in self._placement.pop_parts_read()]
        told += self._parts_to_relay
        self._parts_to_relay = []
        for peer in self._group.recipients:
            left_out = self._list_excluded(peer) or ()
            for teller, parts in told:
                if teller not in left_out:
                    self._hub.send(peer, parts)

    def _send_changed_suspicions(self, now: float) -> None:
        """Tell under which requests hosts have ended, in few messages."""
        changed = self._suspects.pop_changed(now)
        told = [(self._own, suspicion) for suspicion in changed]
        told += self._suspicions_to_relay
        self._suspicions_to_relay = []
        for peer in self._group.recipients if told else ():
            left_out = self._list_excluded(peer) or ()
            news = (suspicion for teller, suspicion in told if teller not in left_out)
            self._send_suspicions(peer, news)

    def _send_suspicions(self, peer: str, suspicions: Iterable[Suspicion]) -> None:
        for group in group_suspicions(suspicions):
            self._hub.send(peer, Suspicions(group))

    def _make_backlog(self, hosts: Iterable[str] | None, peer: str) -> Backlog:
        return self._placement.build_backlog(hosts, self._list_excluded(peer))

    def _send_demand(self, now: float) -> None:
        for peer in self._group.recipients:
            for report in self._stages.build_reports(now, self._list_excluded(peer)):
                self._hub.send(peer, report)
