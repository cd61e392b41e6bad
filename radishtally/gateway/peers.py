"""Find the other gateways, and tell them what this one has open."""

import asyncio
import random
import secrets
import time
from collections.abc import Collection, Mapping
from typing import Final, Protocol

from eliot import log_message

from radishtally.authority.lease_driver import LeaseDriver
from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.absences import Absences
from radishtally.gateway.const import (
    ERA_LOOK_SECONDS,
    FIRST_PEER_READS,
    JOIN_SECONDS,
    PEER_READ_SECONDS,
)
from radishtally.gateway.loads import LoadExchange
from radishtally.gateway.recall import Recall
from radishtally.gateway.register import GATEWAYS, Register, read_site
from radishtally.gateway.roster import Roster
from radishtally.gateway.topology import (
    Site,
    choose_dialled,
    find_first,
    is_mesh,
    list_data_centre,
)
from radishtally.links.hub import LinkCallbacks, LinkHub
from radishtally.links.messages import Hello, Message
from radishtally.runtime import Runtime
from radishtally.serving.state import DispatchCore
from radishtally.stages.role_controller import RoleController
from radishtally.store.core import Row, Table

GONE_SECONDS: Final = 600.0
"""Time out of reach after which a gateway's row is removed: longer than any outage of a
machine that comes back as itself is likely to last."""


class GatewayParts(Protocol):
    """Be what peers need of their gateway."""

    runtime: Runtime
    placement: EnginePlacement
    recall: Recall
    stages: RoleController
    lease: LeaseDriver
    core: DispatchCore
    table: Table

    def count_gateways(self, count: int) -> None:
        """Take how many gateways there are."""


class Peers:
    """Keep links to the other gateways."""

    def __init__(
        self, gateway: GatewayParts, host: str, site: Site, address: str
    ) -> None:
        self._gateway = gateway
        self._host = host
        self._site = site
        self._address = address
        self._register = Register(gateway.table, host, site, address)
        self._incarnation = secrets.token_hex(8)
        self._secret: str | None = None
        self._hub: LinkHub | None = None
        self._loads: LoadExchange | None = None
        self._dialled: set[str] = set()
        self._roster = Roster()
        self._absences = Absences()
        self._era_risen = asyncio.Event()
        """Set while the rows of a new era have not been looked at."""

    async def run(self) -> None:
        """Join the other gateways and keep up with them for good."""
        self._secret = await self._register.find_secret()
        hello = Hello(
            self._host, self._site.data_centre, GATEWAYS, self._incarnation, 0
        )
        gateway = self._gateway
        guard = gateway.runtime.guard_call
        callbacks = LinkCallbacks(
            guard(self._link_up),
            guard(self._link_down),
            guard(self._receive),
            _is_always_busy,
        )
        self._hub = LinkHub(hello, self._secret, callbacks)
        self._loads = LoadExchange(
            self._host,
            self._hub,
            gateway.placement,
            gateway.stages,
            gateway.lease.contend,
            gateway.core.suspects,
        )
        await self._hub.start(self._address)
        gateway.runtime.spawn(self._loads.run())
        stood_before = await self._register.write_own()
        reads = 0
        while True:
            names = await self._follow_rows()
            reads += 1
            if stood_before and reads == 1:
                gateway.runtime.spawn(gateway.recall.run(names))
            is_joining = reads < FIRST_PEER_READS
            is_soon = is_joining or self._roster.is_unread
            await self._pause(JOIN_SECONDS if is_soon else PEER_READ_SECONDS)

    def enter_era(self) -> None:
        """Look at the rows anew: what was written last may be gone from the store."""
        self._roster.enter_era()
        self._era_risen.set()

    async def _pause(self, seconds: float) -> None:
        """Wait until the rows are to be read again; write anew what a new era lacks."""
        try:
            async with asyncio.timeout(seconds):
                await self._era_risen.wait()
        except TimeoutError:
            return
        # Cleared first: should the era rise again meanwhile, all is looked at again.
        self._era_risen.clear()
        await asyncio.sleep(random.uniform(0.0, ERA_LOOK_SECONDS))
        await self._share_secret()
        stood = await self._register.write_own()
        log_message("peers:row_stands", was_lost=not stood)

    async def _share_secret(self) -> None:
        """See to it that the secret in use is the one that stands in the store.

        It may be gone from there. One that starts then draws another, and the two
        groups would never link: neither changes the row, so all take what stands in it.
        """
        secret = await self._register.find_secret(self._secret)
        if secret == self._secret:
            return
        log_message("peers:secret_changed")
        self._secret = secret
        self._hub.change_key(secret)

    async def stop(self) -> None:
        """Leave the other gateways."""
        if self._hub is not None:
            await self._hub.stop()

    async def _follow_rows(self) -> Collection[str]:
        """Read which gateways there are, keep up with them and give their names."""
        read = await self._register.read_rows()
        if read.is_error():
            self._roster.note_unread()
            log_message("peers:unread", reason=str(read.error))
            return [self._host]
        rows = self._roster.take(read.ok, time.monotonic())
        if self._host not in read.ok:
            # Another one has taken this gateway for gone, and it is back.
            await self._register.write_own()
        self._gateway.count_gateways(max(1, len(rows)))
        self._dial(rows)
        await self._remove_gone(rows, read.ok)
        return rows.keys() | {self._host}

    def _dial(self, rows: Mapping[str, Row]) -> None:
        """Dial those that links are wanted to, and no others."""
        sites = {name: read_site(row) for name, row in rows.items()}
        sites[self._host] = self._site
        self._loads.set_sites(sites)
        silent = self._dialled - set(self._hub.hosts)
        dialled = set(choose_dialled(sites, self._host, silent))
        for name in self._dialled - dialled:
            self._hub.stop_dialling(name)
        for name in dialled:
            self._hub.dial(name, rows[name].value["address"])
        self._dialled = dialled

    async def _remove_gone(
        self, rows: Mapping[str, Row], standing: Mapping[str, Row]
    ) -> None:
        """Remove the rows that stand of gateways that are gone for good.

        Machines are replaced under new names. Left alone, the rows would grow in number
        for good: each gateway would dial more and more that never answer, and retries
        would be shared out among the dead. One that lives, and was only out of reach,
        writes its row again.
        """
        now = time.monotonic()
        sites = {name: read_site(row) for name, row in rows.items()}
        # Beyond a mesh who collects has links to those of its own data centre alone.
        if is_mesh(sites):
            watched = sorted(sites)
        else:
            watched = list_data_centre(sites, self._site.data_centre)
        self._absences.note(set(watched) - {self._host}, self._hub.hosts, now)
        if find_first(watched, self._host, self._hub.hosts) != self._host:
            return
        for name in self._absences.list_longer(GONE_SECONDS, now):
            if name in standing:
                await self._register.remove(standing[name])

    def _link_up(self, hello: Hello) -> None:
        self._loads.greet(hello.host)

    def _link_down(self, host: str, reason: str) -> None:
        self._loads.forget(host)

    def _receive(self, host: str, message: Message) -> None:
        self._loads.take(host, message)


def _is_always_busy(host: str) -> bool:
    """Tell that a silent link is to be noticed soon: what it told has an end."""
    return True
