"""Exchange with the other gateways at which software version streams began.

A gateway sends the streams that it begins to all peers of a mesh. Without a mesh it
sends them to the collector of its data centre and its standby, and the collector relays
them to those of the other data centres: so each stream is sent a few times, however
many gateways there are. A gateway that does not know a stream asks the peers that it
sends its own to.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from eliot import log_message

from radishtally.gateway.topology import (
    Site,
    Sites,
    find_first_reachable,
    is_mesh,
    list_collector_candidates,
    list_gateways_in,
)
from radishtally.links.gateway_messages import OriginQuery, OriginReply, StreamsBegun
from radishtally.links.hub import LinkHub
from radishtally.serving.const import ORIGIN_TIMEOUT_SECONDS
from radishtally.serving.origins import StreamOrigins

BATCH_SECONDS: Final = 0.05
"""Time over which new streams are batched: a caller whose gateway is killed within it
is refused when it resumes its stream."""
EXPIRY_SECONDS: Final = 1.0


class _Group(NamedTuple):
    """Hold the peers that a gateway exchanges origins with."""

    asked: tuple[str, ...] = ()
    """Peers that may know the streams of other gateways."""
    informed: tuple[str, ...] = ()
    """Peers that are sent the streams of this gateway."""
    relay_targets: tuple[str, ...] = ()
    """Peers to which this gateway, as the collector, relays those of its data centre.
    """


class _Query(NamedTuple):
    """Hold a query about a stream until it is settled."""

    due: set[str]
    """Peers whose replies are due."""
    timeout: asyncio.TimerHandle


class OriginExchange:
    """Send the origins of streams to peers, and ask them for those of others."""

    def __init__(
        self,
        own_name: str,
        data_centre: str,
        origins: StreamOrigins,
        on_settled: Callable[[bytes], None],
    ) -> None:
        self._own_name = own_name
        self._data_centre = data_centre
        self._origins = origins
        self._on_settled = on_settled
        """Called with a stream when no more replies to a query about it are due."""
        self.on_begun: Callable[[StreamsBegun], None] = lambda message: None
        """Called with the streams that have begun in this data centre."""
        self._hub: LinkHub | None = None
        self._sites: Sites = {own_name: Site(data_centre)}
        self._is_alone = False
        """Whether no other gateway is listed; False until the list was read."""
        self._data_centres: dict[str, str] = {}
        """Data centres of the linked peers, which need not be listed yet."""
        self._linked: list[str] | None = None
        """Linked peers for which the group was computed; None to compute it again."""
        self._group = _Group()
        self._to_relay: list[StreamsBegun] = []
        self._queries: dict[bytes, _Query] = {}
        """Queries with replies due, by stream."""

    def attach(self, hub: LinkHub) -> None:
        """Use the links of a hub from now on."""
        self._hub = hub

    def set_sites(self, sites: Sites) -> None:
        """Set the known gateways, including this one."""
        self._is_alone = len(sites) == 1
        if sites != self._sites:
            self._sites, self._linked = sites, None

    async def run(self) -> None:
        """Send new streams to the peers, and forget old ones, until cancelled."""
        expired_at = time.monotonic()
        while True:
            await asyncio.sleep(BATCH_SECONDS)
            now = time.monotonic()
            self.send_changes(now)
            if now >= expired_at + EXPIRY_SECONDS:
                expired_at = now
                self._origins.expire(now)

    def send_changes(self, now: float) -> None:
        """Send the streams that have begun since the last call."""
        own = self._origins.pop_changed(now)
        for message in own:
            self.on_begun(message)
        relayed, self._to_relay = self._to_relay, []
        if not own and not relayed:
            return
        self._update_group()
        for peer in self._group.informed:
            for message in own:
                self._hub.send(peer, message)
        for peer in self._group.relay_targets:
            for message in relayed:
                self._hub.send(peer, message)

    def ask(self, stream: bytes) -> None:
        """Ask the peers where a stream began."""
        self._update_group()
        if stream in self._queries:
            return
        loop = asyncio.get_running_loop()
        if self._is_alone:
            loop.call_soon(self._on_settled, stream)
            return
        timeout = loop.call_later(ORIGIN_TIMEOUT_SECONDS, self._settle, stream)
        self._queries[stream] = _Query(set(self._group.asked), timeout)
        for peer in self._group.asked:
            self._hub.send(peer, OriginQuery(stream))

    def handle_link_up(self, peer: str, data_centre: str) -> None:
        """Send the own streams to a peer that may have lost them, or missed some."""
        self._data_centres[peer] = data_centre
        self._update_group()
        if peer in self._group.informed:
            for message in self._origins.list_own(time.monotonic()):
                self._hub.send(peer, message)
        if peer in self._group.asked:
            for stream, query in list(self._queries.items()):
                query.due.add(peer)
                self._hub.send(peer, OriginQuery(stream))

    def handle_link_down(self, peer: str) -> None:
        """Expect no more replies from a peer."""
        self._data_centres.pop(peer, None)
        for stream in list(self._queries):
            self._record_reply(stream, peer)

    def handle_message(
        self, peer: str, message: StreamsBegun | OriginQuery | OriginReply
    ) -> None:
        """Apply or answer a message of another gateway."""
        now = time.monotonic()
        if isinstance(message, OriginQuery):
            origin = self._origins.describe(message.stream, now)
            self._hub.send(peer, OriginReply(message.stream, origin))
            return
        if isinstance(message, OriginReply):
            if message.origin is not None:
                self._merge(message.origin, now)
            self._record_reply(message.stream, peer)
            return
        self._merge(message, now)
        if not self._is_local(peer):
            return
        self.on_begun(message)
        self._update_group()
        if self._group.relay_targets:
            self._to_relay.append(message)

    def _merge(self, message: StreamsBegun, now: float) -> None:
        self._origins.merge(message, now)
        for stream in message.streams:
            if stream.stream in self._queries:
                self._settle(stream.stream)

    def _record_reply(self, stream: bytes, peer: str) -> None:
        query = self._queries.get(stream)
        if query is None or peer not in query.due:
            return
        query.due.remove(peer)
        if not query.due:
            self._settle(stream)

    def _settle(self, stream: bytes) -> None:
        self._queries.pop(stream).timeout.cancel()
        self._on_settled(stream)

    def _is_local(self, peer: str) -> bool:
        """Return whether a linked peer is in this gateway's data centre."""
        return self._data_centres.get(peer) == self._data_centre

    def is_first_of_data_centre(self) -> bool:
        """Return whether no reachable gateway of this data centre goes before."""
        linked = [] if self._hub is None else self._hub.hosts
        order = list_gateways_in(self._sites, self._data_centre)
        return find_first_reachable(order, self._own_name, linked) == self._own_name

    def _update_group(self) -> None:
        """Update the group from the links that are up."""
        linked = [] if self._hub is None else self._hub.hosts
        if linked == self._linked:
            return
        self._linked = linked
        before, self._group = self._group, self._find_group(linked)
        if self._group != before:
            log_message("origins:peers", **self._group._asdict())

    def _find_group(self, linked: list[str]) -> _Group:
        if is_mesh(self._sites):
            return _Group(tuple(linked), tuple(linked))
        candidates = list_collector_candidates(self._sites, self._own_name, linked)
        asked = tuple(name for name in linked if name in candidates)
        if self.is_first_of_data_centre():
            remote = tuple(name for name in asked if not self._is_local(name))
            return _Group(asked, asked, remote)
        return _Group(asked, tuple(filter(self._is_local, asked)))
