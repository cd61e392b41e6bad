"""Count the requests that begin to run, and exchange the counts with other gateways."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from radishtally.gateway.topology import (
    Site,
    Sites,
    find_first_reachable,
    is_mesh,
    list_collector_candidates,
    list_gateways_in,
)
from radishtally.links.gateway_messages import UsageCounts
from radishtally.links.hub import LinkHub
from radishtally.links.messages import CALL, Work
from radishtally.usage.const import SEND_SECONDS
from radishtally.usage.core import UsageLedger


class _OpenWork(NamedTuple):
    """Hold an open request that has not been counted."""

    team: str
    is_call: bool
    offered_at: float | None = None
    """Unix seconds of the first offer to a host."""


class UsageRecorder:
    """Count each request once, in the window in which its host began to run it."""

    def __init__(self, ledger: UsageLedger, read_time: Callable[[], float]) -> None:
        self._ledger = ledger
        self._read_time = read_time
        self._open: dict[str, _OpenWork] = {}

    def open(self, work: Work) -> None:
        """Record that a request was opened."""
        if work.team:
            self._open[work.request] = _OpenWork(work.team, work.kind == CALL)

    def record_offer(self, request: str) -> None:
        """Record that a request is sent to a host now."""
        known = self._open.get(request)
        if known is not None and known.offered_at is None:
            self._open[request] = known._replace(offered_at=self._read_time())

    def record_begin(self, request: str) -> None:
        """Count a request that has certainly run, or is running."""
        known = self._open.pop(request, None)
        if known is None:
            return
        # A stream begins to run with its first event. A call runs as soon as the host
        # has it, and is answered only at its end.
        is_timed_by_offer = known.is_call and known.offered_at is not None
        at = known.offered_at if is_timed_by_offer else self._read_time()
        self._ledger.count(known.team, at)

    def record_unclear_end(self, request: str) -> None:
        """Count a call that may have run, as most of these have."""
        known = self._open.get(request)
        if known is not None and known.is_call:
            self.record_begin(request)

    def close(self, request: str) -> None:
        """Drop a request that has ended without running."""
        self._open.pop(request, None)


class UsageExchange:
    """Send counts to the gateways that may hold the lease.

    Each gateway sends its counts to the collector of its data centre and to the
    standby, and the collector passes them on to those of the other data centres.
    """

    def __init__(self, own_name: str, ledger: UsageLedger) -> None:
        self._own_name = own_name
        self._ledger = ledger
        self._hub: LinkHub | None = None
        self._sites: Sites = {own_name: Site()}
        self._recipients: frozenset[str] = frozenset()
        self._to_relay: list[UsageCounts] = []

    def attach(self, hub: LinkHub) -> None:
        """Send over the links of a hub from now on."""
        self._hub = hub

    def set_sites(self, sites: Sites) -> None:
        """Set the known gateways, including this one."""
        self._sites = sites

    async def run(self, read_time: Callable[[], float]) -> None:
        """Send new counts until cancelled."""
        while True:
            await asyncio.sleep(SEND_SECONDS)
            self.send(read_time())

    def send(self, now: float) -> None:
        """Send what has changed, and all counts to a new recipient."""
        changes = self._ledger.pop_changes(now)
        changes += self._to_relay
        self._to_relay = []
        if self._hub is None:
            return
        recipients = frozenset(self._find_recipients())
        for peer in recipients - self._recipients:
            self._send_to(peer, self._ledger.list_all())
        for peer in recipients & self._recipients:
            self._send_to(peer, changes)
        self._recipients = recipients

    def flush(self) -> None:
        """Send all counts of this gateway, which is about to exit."""
        if self._hub is None:
            return
        messages = self._ledger.close_all()
        for peer in self._find_recipients():
            self._send_to(peer, messages)

    def handle_message(self, peer: str, message: UsageCounts) -> None:
        """Merge the counts that another gateway has sent."""
        self._ledger.merge(message)
        # Counts from another data centre have reached the candidates of this one too.
        if self._is_local(peer) and self._is_collector() and message.gateway == peer:
            self._to_relay.append(message)

    def handle_link_down(self, peer: str) -> None:
        """Send a gateway all counts again once there is a new link to it."""
        self._recipients -= {peer}

    def _send_to(self, peer: str, messages: Iterable[UsageCounts]) -> None:
        for message in messages:
            self._hub.send(peer, message)

    def _is_local(self, peer: str) -> bool:
        """Return whether a peer may be in this gateway's data centre."""
        site, own_site = self._sites.get(peer), self._sites[self._own_name]
        # A new gateway has links seconds before its row is read.
        return site is None or site.data_centre == own_site.data_centre

    def _is_collector(self) -> bool:
        if is_mesh(self._sites):
            return False
        own = self._sites[self._own_name].data_centre
        order = list_gateways_in(self._sites, own)
        return find_first_reachable(order, self._own_name, self._hub.hosts) == (
            self._own_name
        )

    def _find_recipients(self) -> list[str]:
        """Return the linked gateways that may hold the lease."""
        linked = self._hub.hosts
        if is_mesh(self._sites):
            return linked
        candidates = list_collector_candidates(self._sites, self._own_name, linked)
        return [name for name in linked if name in candidates]
