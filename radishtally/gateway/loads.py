"""Tell the other gateways what is open at engines and what has come, and hear it."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Final

from eliot import log_message

from radishtally.engines.placement import EnginePlacement
from radishtally.engines.staleness import PeerStaleness
from radishtally.gateway.const import BACKLOG_SECONDS
from radishtally.gateway.topology import (
    Circle,
    Site,
    Sites,
    find_circle,
    is_mesh,
    list_data_centre,
    list_data_centres,
    may_collect,
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

COLLECT_SECONDS: Final = 0.002
"""Time between two rounds for each gateway that a collector tells: whatever their
number, it sends and takes 500 messages a second each."""
CANDIDATE_SECONDS: Final = 1.0
"""Time for which a gateway must be among those that may collect before it contends for
the lease: while all start, none has links yet, and each would take itself for one."""
REFRESH_SECONDS: Final = 2.0
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
        self._circle = Circle()
        self._may_collect = True
        self._interval = BACKLOG_SECONDS
        """Seconds between two rounds."""
        self._heard: set[str] = set()
        """Engines that others have told of since the last round."""
        self._heard_parts: list[tuple[str, PartsRead]] = []
        """What others have told a collector since the last round, and who."""
        self._heard_suspicions: list[tuple[str, Suspicion]] = []
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
        told_demand = time.monotonic()
        while True:
            await asyncio.sleep(self._interval)
            now = time.monotonic()
            self._follow_links()
            self._follow_candidates(now)
            self._tell_backlog(now)
            self._tell_parts()
            self._tell_suspicions(now)
            if now >= told_demand + REPORT_INTERVAL_SECONDS:
                told_demand = now
                self._tell_demand(now)

    def greet(self, peer: str) -> None:
        """Tell a gateway all, as its link has come up."""
        self._follow_links()
        if peer not in self._circle.audience:
            return
        self._hub.send(peer, self._make_backlog(None, peer))
        # One that has just started would have all parts read again, and elsewhere.
        for parts in self._placement.list_parts():
            self._hub.send(peer, parts)
        self._send_suspicions(peer, self._suspects.list_all(time.monotonic()))

    def forget(self, peer: str) -> None:
        """Forget what a gateway has told, as its link is down."""
        self._placement.forget_peer(peer)
        self._stages.forget_report(peer)

    def take(self, peer: str, message: Message) -> None:
        """Take what a gateway tells."""
        # What one tells as its link comes up is told once: it can't wait for a round.
        self._follow_links()
        # Another one than the collector tells this one only while the two disagree on
        # who collects: what it has open would count twice.
        if peer not in self._circle.audience:
            return
        now = time.monotonic()
        if isinstance(message, Backlog):
            self._placement.record_backlog(peer, message, now)
            self._heard.update(share.host for share in message.shares)
        elif isinstance(message, DemandReport):
            self._stages.record_report(peer, message, now)
        elif isinstance(message, PartsRead):
            self._placement.record_parts(message)
            if self._collects:
                self._heard_parts.append((peer, message))
        elif isinstance(message, Suspicions):
            self._take_suspicions(peer, message, now)

    def _take_suspicions(self, peer: str, message: Suspicions, now: float) -> None:
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
        if self._collects:
            self._heard_suspicions += [(peer, told) for told in message.suspicions]

    @property
    def _collects(self) -> bool:
        return self._circle.collector == self._own

    def _find_interval(self) -> float:
        if is_mesh(self._sites):
            return BACKLOG_SECONDS
        ours = list_data_centre(self._sites, self._sites[self._own].data_centre)
        others = len(list_data_centres(self._sites)) - 1
        return max(BACKLOG_SECONDS, (len(ours) + others) * COLLECT_SECONDS)

    def _describe_others(self) -> PeerStaleness:
        """Say how many others there are, and how old news of them is at most."""
        # Each, then who collects; and who collects in the other data centre.
        tellers = 1 if is_mesh(self._sites) else 2
        if tellers > 1 and len(list_data_centres(self._sites)) > 1:
            tellers += 1
        return PeerStaleness(len(self._sites) - 1, tellers * self._interval)

    def _follow_links(self) -> None:
        """Take whom to tell and to believe by the links that are up."""
        linked = self._hub.hosts
        if linked == self._linked:
            return
        self._linked = linked
        self._may_collect = may_collect(self._sites, self._own, linked)
        circle = find_circle(self._sites, self._own, linked)
        if circle == self._circle:
            return
        old, self._circle = self._circle, circle
        self._refreshed_at = float("-inf")
        outdated = set(old.audience) - set(circle.audience)
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
            self.forget(peer)

    def _follow_candidates(self, now: float) -> None:
        """Contend for the lease only as one of few.

        Each look at the lease is a call to the store. Those that collect are enough: in
        each data centre there are two, and the next ones take their places.
        """
        if not self._may_collect:
            self._candidate_since = None
        elif self._candidate_since is None:
            self._candidate_since = now
        since = self._candidate_since
        contends = since is not None and now >= since + CANDIDATE_SECONDS
        if contends != self._contends:
            self._contends = contends
            self._contend(contends)

    def _list_left_out(self, peer: str) -> frozenset[str] | None:
        """List whose work a peer is not told of, or none to tell it our own alone."""
        if not self._collects:
            return None
        if peer in self._circle.collectors:
            # Each of them hears of the others' data centres from those themselves.
            return frozenset(self._circle.collectors)
        return frozenset((peer,))

    def _tell_backlog(self, now: float) -> None:
        hosts: set[str] | None = self._placement.pop_changed_hosts()
        if self._collects:
            hosts |= self._heard
        self._heard.clear()
        if now >= self._refreshed_at + REFRESH_SECONDS:
            self._refreshed_at = now
            hosts = None
        if hosts is not None and not hosts:
            return
        for peer in self._circle.audience:
            self._hub.send(peer, self._make_backlog(hosts, peer))

    def _tell_parts(self) -> None:
        """Tell what engines were first given: nothing is told of what they keep."""
        told = [(self._own, parts) for parts in self._placement.pop_parts_read()]
        told += self._heard_parts
        self._heard_parts = []
        for peer in self._circle.audience:
            left_out = self._list_left_out(peer) or ()
            for teller, parts in told:
                if teller not in left_out:
                    self._hub.send(peer, parts)

    def _tell_suspicions(self, now: float) -> None:
        """Tell under which requests hosts have ended, in few messages."""
        changed = self._suspects.pop_changed(now)
        told = [(self._own, suspicion) for suspicion in changed]
        told += self._heard_suspicions
        self._heard_suspicions = []
        for peer in self._circle.audience if told else ():
            left_out = self._list_left_out(peer) or ()
            news = (suspicion for teller, suspicion in told if teller not in left_out)
            self._send_suspicions(peer, news)

    def _send_suspicions(self, peer: str, suspicions: Iterable[Suspicion]) -> None:
        for group in group_suspicions(suspicions):
            self._hub.send(peer, Suspicions(group))

    def _make_backlog(self, hosts: Iterable[str] | None, peer: str) -> Backlog:
        return self._placement.make_backlog(hosts, self._list_left_out(peer))

    def _tell_demand(self, now: float) -> None:
        for peer in self._circle.audience:
            for report in self._stages.build_reports(now, self._list_left_out(peer)):
                self._hub.send(peer, report)
