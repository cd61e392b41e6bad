"""Discover the other gateways and keep links to them."""

import asyncio
import random
import secrets
import time
from collections.abc import Collection, Mapping
from typing import Final, Protocol

from eliot import log_message

from radishtally.authority.lease_driver import LeaseDriver
from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.cache_discovery import CacheDiscovery
from radishtally.gateway.call_exchange import CallExchange
from radishtally.gateway.const import (
    ERA_READ_SPREAD_SECONDS,
    JOIN_POLL_SECONDS,
    PEER_READ_SECONDS,
    SECRET_CHECK_SECONDS,
    STARTUP_PEER_READS,
)
from radishtally.gateway.freshness import ViewExchange
from radishtally.gateway.loads import LoadExchange
from radishtally.gateway.members import Members
from radishtally.gateway.meter import UsageMeter
from radishtally.gateway.origins import OriginExchange
from radishtally.gateway.registry import GATEWAYS_PARTITION, GatewayRegistry, read_site
from radishtally.gateway.roster import Roster
from radishtally.gateway.topology import (
    Site,
    choose_dialled,
    find_first_reachable,
    is_mesh,
    list_expected_links,
    list_gateways_in,
)
from radishtally.gateway.unreachable import UnreachablePeers
from radishtally.links.gateway_messages import (
    OriginQuery,
    OriginReply,
    StreamsBegun,
    TableRead,
    UsageCounts,
    ViewConfirmation,
    ViewRequest,
)
from radishtally.links.hub import LinkCallbacks, LinkHub
from radishtally.links.kinds import Message
from radishtally.links.messages import Hello
from radishtally.runtime import Runtime
from radishtally.serving.state import DispatchCore
from radishtally.stages.role_controller import RoleController
from radishtally.store.core import Row, Table

PEER_REMOVAL_SECONDS: Final = 600.0
"""Time for which a gateway must be unreachable before its row is removed: longer than
the likely outage of a machine that comes back under the same name."""


class GatewayParts(Protocol):
    """Give access to the parts of a gateway that peer links act on."""

    runtime: Runtime
    placement: EnginePlacement
    cache_discovery: CacheDiscovery
    stages: RoleController
    lease: LeaseDriver
    core: DispatchCore
    members: Members
    table: Table
    meter: UsageMeter
    view_exchange: ViewExchange
    origin_exchange: OriginExchange

    def set_gateway_count(self, count: int) -> None:
        """Set the number of gateways."""

    def handle_permits(self, host: str) -> None:
        """Offer the requests that wait for a host that has named a limit."""

    def handle_places(self) -> None:
        """Begin waiting calls for which peers have left places."""

    def handle_table_read(self, read: TableRead) -> None:
        """Handle a change of a table that another gateway has read."""


class Peers:
    """Keep links to the other gateways."""

    def __init__(
        self, gateway: GatewayParts, host: str, site: Site, address: str
    ) -> None:
        self._gateway = gateway
        self._host = host
        self._site = site
        self._address = address
        self._registry = GatewayRegistry(gateway.table, host, site, address)
        self._incarnation = secrets.token_hex(8)
        self._secret: str | None = None
        self._hub: LinkHub | None = None
        self._loads: LoadExchange | None = None
        self._dialled: set[str] = set()
        self._roster = Roster()
        self._unreachable_peers = UnreachablePeers()
        self._unlinked_peers = UnreachablePeers()
        """Listed peers without the link that they should have."""
        self._is_joined = False
        self._had_row = False
        """Whether an earlier start of this gateway has left a row."""
        self._reads = 0
        self._era_changed = asyncio.Event()
        """Set while the rows of a new era have not been read."""

    async def run(self) -> None:
        """Join the other gateways and follow their rows until cancelled."""
        if not self._is_joined:
            # An earlier attempt that failed holds the address.
            await self.stop()
            await self._join()
            self._is_joined = True
        while True:
            names = await self._sync_peers()
            if self._unlinked_peers.list_unreachable_for(
                SECRET_CHECK_SECONDS, time.monotonic()
            ):
                await self._sync_secret()
            self._reads += 1
            if self._had_row and self._reads == 1:
                self._gateway.runtime.spawn(self._gateway.cache_discovery.run(names))
            is_joining = self._reads < STARTUP_PEER_READS
            is_soon = is_joining or self._roster.is_read_pending
            await self._wait_for_next_read(
                JOIN_POLL_SECONDS if is_soon else PEER_READ_SECONDS
            )

    async def _join(self) -> None:
        """Listen for the other gateways, and write the row that leads them here."""
        self._secret = await self._registry.read_or_create_secret()
        hello = Hello(
            self._host, self._site.data_centre, GATEWAYS_PARTITION, self._incarnation, 0
        )
        gateway = self._gateway
        callbacks = LinkCallbacks(
            self._link_up, self._link_down, self._receive, _is_always_busy
        )
        self._hub = LinkHub(hello, self._secret, callbacks)
        self._loads = LoadExchange(
            self._host,
            self._hub,
            gateway.placement,
            gateway.stages,
            gateway.lease.contend,
            gateway.core.suspects,
            gateway.core.part_suspects,
            gateway.core.limits,
            gateway.members.starts.get,
            gateway.handle_permits,
            CallExchange(gateway.core, self._hub.send, gateway.handle_places),
        )
        self._loads.on_table_read = gateway.handle_table_read
        gateway.view_exchange.attach(self._hub)
        gateway.origin_exchange.attach(self._hub)
        gateway.meter.attach(self._hub)
        gateway.stages.on_ordered = self._loads.record_role_order
        # Callers are served without links too. The lease is not contended for until
        # links are up, and no row leads other gateways here.
        await self._hub.start(self._address, float("inf"))
        self._had_row = await self._registry.write_own_row()
        gateway.runtime.keep_running("loads", self._loads.run)
        gateway.runtime.keep_running("limits", self._loads.run_limits)

    def announce_table_read(self, read: TableRead) -> None:
        """Tell the other gateways of a change of a table that was read here."""
        if self._loads is not None:
            self._loads.record_table_read(read)

    def enter_era(self) -> None:
        """Trigger a read of the rows: the latest writes may be lost from the store."""
        self._roster.enter_era()
        self._era_changed.set()

    async def _wait_for_next_read(self, seconds: float) -> None:
        """Wait for the next read; in a new era, restore this gateway's rows first."""
        try:
            async with asyncio.timeout(seconds):
                await self._era_changed.wait()
        except TimeoutError:
            return
        # Cleared first, so that another change of era meanwhile triggers a new read.
        self._era_changed.clear()
        await asyncio.sleep(random.uniform(0.0, ERA_READ_SPREAD_SECONDS))
        await self._sync_secret()
        had_row = await self._registry.write_own_row()
        log_message("peers:row_stands", was_lost=not had_row)

    async def _sync_secret(self) -> None:
        """Make sure that the secret in use is the one in the store.

        The secret may have been lost there, or replaced by another writer. A gateway
        that starts then generates a new one, and the two groups would never link to
        each other. A valid secret is never changed, so all gateways adopt it.
        """
        secret = await self._registry.read_or_create_secret(self._secret)
        if secret == self._secret:
            return
        log_message("peers:secret_changed")
        self._secret = secret
        self._hub.change_key(secret)

    async def stop(self) -> None:
        """Close the links to the other gateways."""
        if self._hub is not None:
            await self._hub.stop()

    async def _sync_peers(self) -> Collection[str]:
        """Read the gateways' rows, update the links and return the gateways' names."""
        read = await self._registry.read_rows()
        if read.is_error():
            self._roster.record_read_failure()
            log_message("peers:unread", reason=str(read.error))
            return [self._host]
        rows = self._roster.update(read.ok, time.monotonic())
        if self._host not in read.ok:
            # Another gateway removed this row while this one was unreachable.
            await self._registry.write_own_row()
        self._update_dialled(rows)
        await self._remove_gone(rows, read.ok)
        return rows.keys() | {self._host}

    def _update_dialled(self, rows: Mapping[str, Row]) -> None:
        """Dial the chosen gateways and drop the links to others."""
        sites = {name: read_site(row) for name, row in rows.items()}
        sites[self._host] = self._site
        self._gateway.set_gateway_count(len(sites))
        self._loads.set_sites(sites)
        self._gateway.view_exchange.set_sites(sites)
        self._gateway.origin_exchange.set_sites(sites)
        self._gateway.meter.set_sites(sites)
        unresponsive = self._dialled - set(self._hub.hosts)
        dialled = set(choose_dialled(sites, self._host, unresponsive))
        for name in self._dialled - dialled:
            self._hub.stop_dialling(name)
        for name in dialled:
            self._hub.dial(name, rows[name].value["address"])
        self._dialled = dialled
        linked = self._hub.hosts
        expected = list_expected_links(sites, self._host, dialled, linked)
        self._unlinked_peers.update(expected, linked, time.monotonic())

    async def _remove_gone(
        self, rows: Mapping[str, Row], stored: Mapping[str, Row]
    ) -> None:
        """Remove the existing rows of gateways that are permanently gone.

        Machines are replaced under new names. Without cleanup the number of rows would
        grow without bound: each gateway would dial more and more dead peers, and the
        retry budget would be divided among them. A gateway that was only unreachable
        writes its row again.
        """
        now = time.monotonic()
        sites = {name: read_site(row) for name, row in rows.items()}
        # Without a mesh, a collector has links to all gateways of only its own data
        # centre.
        if is_mesh(sites):
            watched = sorted(sites)
        else:
            watched = list_gateways_in(sites, self._site.data_centre)
        self._unreachable_peers.update(
            set(watched) - {self._host}, self._hub.hosts, now
        )
        if find_first_reachable(watched, self._host, self._hub.hosts) != self._host:
            return
        for name in self._unreachable_peers.list_unreachable_for(
            PEER_REMOVAL_SECONDS, now
        ):
            if name in stored:
                await self._registry.remove(stored[name])

    def _link_up(self, hello: Hello) -> None:
        self._loads.handle_link_up(hello.host)
        self._gateway.origin_exchange.handle_link_up(hello.host, hello.place)

    def _link_down(self, host: str, reason: str) -> None:
        self._loads.forget_peer(host)
        self._gateway.origin_exchange.handle_link_down(host)
        self._gateway.meter.handle_link_down(host)

    def _receive(self, host: str, message: Message) -> None:
        if isinstance(message, ViewRequest | ViewConfirmation):
            self._gateway.view_exchange.handle_message(host, message)
        elif isinstance(message, StreamsBegun | OriginQuery | OriginReply):
            self._gateway.origin_exchange.handle_message(host, message)
        elif isinstance(message, UsageCounts):
            self._gateway.meter.handle_message(host, message)
        else:
            self._loads.handle_message(host, message)


def _is_always_busy(host: str) -> bool:
    """Return True, so that a dead link is detected soon and its loads are dropped."""
    return True
