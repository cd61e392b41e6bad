"""Tell the other gateways what is open at engines and what has come, and hear it."""

import asyncio
import time
from collections.abc import Collection, Iterable
from typing import Final

from eliot import log_message

from radishtally.engines.news import Circle
from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.const import BACKLOG_SECONDS
from radishtally.gateway.topology import choose_collector
from radishtally.links.hub import LinkHub
from radishtally.links.messages import Backlog, DemandReport, Message, PartsRead
from radishtally.stages.const import TELL_SECONDS
from radishtally.stages.keeper import StageKeeper

COLLECT_SECONDS: Final = 0.002
"""Time between two rounds of a collector for each gateway: whatever their number, it
sends and takes 500 messages a second each."""
REFRESH_SECONDS: Final = 2.0
"""Time between two rounds that name all engines. What a gateway could not take when it
was told (it did not list the engine yet, or believed others just then) would be missing
until it changes, and the engine would get too much work for as long. Each engine takes
18 bytes of a message: with 60 of them, one of 12 gateways in a mesh sends 6 KB a
second."""


class LoadExchange:
    """Exchange loads with the gateways that links are up to.

    Few gateways tell each other directly. Of many, one collects what the others have
    open, and tells each what all but itself have, as if that was its own: the messages
    then grow with the gateways and not with their square.
    """

    def __init__(
        self, own: str, hub: LinkHub, placement: EnginePlacement, stages: StageKeeper
    ) -> None:
        self._own = own
        self._hub = hub
        self._placement = placement
        self._stages = stages
        self._names: Collection[str] = (own,)
        self._collector: str | None = None
        """Who collects, where one does."""
        self._heard: set[str] = set()
        """Engines that others have told of since the last round."""
        self._heard_parts: list[tuple[str, PartsRead]] = []
        """What others have told a collector since the last round, and who."""
        self._refreshed_at = float("-inf")

    def set_names(self, names: Collection[str]) -> None:
        """Take which gateways there are."""
        self._names = names

    async def run(self) -> None:
        """Tell for good."""
        told_demand = time.monotonic()
        while True:
            await asyncio.sleep(self._find_interval())
            now = time.monotonic()
            self._follow_collector()
            self._placement.unseen.circle = self._describe_circle()
            self._tell_backlog(now)
            self._tell_parts()
            if now >= told_demand + TELL_SECONDS:
                told_demand = now
                self._tell_demand(now)

    def greet(self, peer: str) -> None:
        """Tell a gateway all, as its link has come up."""
        if peer not in self._list_audience():
            return
        self._hub.send(peer, self._make_backlog(None, peer))
        # One that has just started would have all parts read again, and elsewhere.
        for parts in self._placement.list_parts():
            self._hub.send(peer, parts)

    def forget(self, peer: str) -> None:
        """Forget what a gateway has told, as its link is down."""
        self._placement.forget_peer(peer)
        self._stages.forget_report(peer)

    def take(self, peer: str, message: Message) -> None:
        """Take what a gateway tells."""
        # Another one than the collector tells this one only while the two disagree on
        # who collects: what it has open would count twice.
        if peer not in self._list_audience():
            return
        now = time.monotonic()
        if isinstance(message, Backlog):
            self._placement.take_backlog(peer, message, now)
            self._heard.update(share.host for share in message.shares)
        elif isinstance(message, DemandReport):
            self._stages.take_report(peer, message, now)
        elif isinstance(message, PartsRead):
            self._placement.take_parts(message)
            if self._collector == self._own:
                self._heard_parts.append((peer, message))

    def _find_interval(self) -> float:
        if self._collector is None:
            return BACKLOG_SECONDS
        return max(BACKLOG_SECONDS, len(self._names) * COLLECT_SECONDS)

    def _describe_circle(self) -> Circle:
        """Say how many others there are, and how old what they told is at most."""
        hops = 1 if self._collector in (None, self._own) else 2
        return Circle(len(self._names) - 1, hops * self._find_interval())

    def _follow_collector(self) -> None:
        collector = choose_collector(self._names, self._own, self._hub.hosts)
        if collector == self._collector:
            return
        log_message("peers:collector", collector=collector, gateways=len(self._names))
        old, self._collector = self._collector, collector
        self._refreshed_at = float("-inf")
        # What a collector told stood for others too; and what others told directly is
        # told by the collector from now on.
        if collector != self._own:
            outdated = self._hub.hosts
        else:
            outdated = [] if old is None else [old]
        for peer in outdated:
            self.forget(peer)

    def _list_audience(self) -> list[str]:
        """List the gateways that are told, and believed."""
        if self._collector in (None, self._own):
            return self._hub.hosts
        return [self._collector]

    def _tell_backlog(self, now: float) -> None:
        hosts: set[str] | None = self._placement.take_changed()
        if self._collector == self._own:
            hosts |= self._heard
        self._heard.clear()
        if now >= self._refreshed_at + REFRESH_SECONDS:
            self._refreshed_at = now
            hosts = None
        if hosts is not None and not hosts:
            return
        for peer in self._list_audience():
            self._hub.send(peer, self._make_backlog(hosts, peer))

    def _tell_parts(self) -> None:
        """Tell what engines were first given: nothing is told of what they keep."""
        told = [(self._own, parts) for parts in self._placement.take_read()]
        told += self._heard_parts
        self._heard_parts = []
        for peer in self._list_audience():
            for teller, parts in told:
                if teller != peer:
                    self._hub.send(peer, parts)

    def _make_backlog(self, hosts: Iterable[str] | None, peer: str) -> Backlog:
        collects = self._collector == self._own
        return self._placement.make_backlog(hosts, peer if collects else None)

    def _tell_demand(self, now: float) -> None:
        collects = self._collector == self._own
        for peer in self._list_audience():
            for report in self._stages.make_reports(now, peer if collects else None):
                self._hub.send(peer, report)
