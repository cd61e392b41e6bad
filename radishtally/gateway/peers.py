"""Find the other gateways, and tell them what this one has open."""

import asyncio
import secrets
import time
from collections.abc import Collection, Mapping
from typing import Final, Protocol

from eliot import log_message

from radishtally.authority.holder import LeaseHolder
from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.absences import Absences
from radishtally.gateway.const import FIRST_PEER_READS, PEER_READ_SECONDS
from radishtally.gateway.loads import LoadExchange
from radishtally.gateway.recall import Recall
from radishtally.gateway.topology import (
    Site,
    choose_dialled,
    find_first,
    is_mesh,
    list_data_centre,
)
from radishtally.links.hub import Callbacks, LinkHub
from radishtally.links.messages import Hello, Message
from radishtally.outcome import Result
from radishtally.runtime import Runtime
from radishtally.stages.keeper import StageKeeper
from radishtally.store.core import (
    ABSENT,
    Conflict,
    Delete,
    Key,
    Put,
    Row,
    Table,
    Write,
)
from radishtally.store.settle import transact_settled

GATEWAYS: Final = "gateways"
"""Partition of the rows in which gateways say where they listen for each other."""
SECRET: Final = Key("secrets", "peer-key")
"""Row of the secret that gateways share; the first one draws it."""
WRITE_SECONDS: Final = 2.0
GONE_SECONDS: Final = 600.0
"""Time out of reach after which a gateway's row is removed: longer than any outage of a
machine that comes back as itself is likely to last."""
MAX_GATEWAYS: Final = 1_000
"""Rows that are read at most: three times the gateways that are planned for."""
JOIN_SECONDS: Final = 1.0
"""Time between two calls to the store while this gateway or others are starting."""


class Place(Protocol):
    """Be what peers need of their gateway."""

    runtime: Runtime
    placement: EnginePlacement
    recall: Recall
    stages: StageKeeper
    lease: LeaseHolder
    table: Table

    def count_gateways(self, count: int) -> None:
        """Take how many gateways there are."""


class Peers:
    """Keep links to the other gateways."""

    def __init__(self, gateway: Place, host: str, site: Site, address: str) -> None:
        self._gateway = gateway
        self._host = host
        self._site = site
        self._address = address
        self._incarnation = secrets.token_hex(8)
        self._hub: LinkHub | None = None
        self._loads: LoadExchange | None = None
        self._dialled: set[str] = set()
        self._absences = Absences()

    async def run(self) -> None:
        """Join the other gateways and keep up with them for good."""
        secret = await self._find_secret()
        hello = Hello(
            self._host, self._site.data_centre, GATEWAYS, self._incarnation, 0
        )
        gateway = self._gateway
        guard = gateway.runtime.guard_call
        callbacks = Callbacks(
            guard(self._link_up), guard(self._link_down), guard(self._receive), _is_busy
        )
        self._hub = LinkHub(hello, secret, callbacks)
        self._loads = LoadExchange(
            self._host,
            self._hub,
            gateway.placement,
            gateway.stages,
            gateway.lease.contend,
        )
        await self._hub.start(self._address)
        gateway.runtime.spawn(self._loads.run())
        is_known = await self._write_own()
        reads = 0
        while True:
            names = await self._read_others()
            reads += 1
            if is_known and reads == 1:
                gateway.runtime.spawn(gateway.recall.run(names))
            fast = reads < FIRST_PEER_READS
            await asyncio.sleep(JOIN_SECONDS if fast else PEER_READ_SECONDS)

    async def stop(self) -> None:
        """Leave the other gateways."""
        if self._hub is not None:
            await self._hub.stop()

    async def _find_secret(self) -> str:
        """Read the shared secret, or draw it."""
        while True:
            read = await self._gateway.table.get(SECRET)
            if read.is_ok() and read.ok is not None:
                return read.ok.value["secret"]
            if read.is_ok():
                drawn = {"secret": secrets.token_hex(16)}
                written = await self._write(Put(SECRET, drawn, ABSENT))
                # Ours or another's stands now.
                if written.is_ok() or isinstance(written.error, Conflict):
                    continue
                await self._wait_for_store(str(written.error))
                continue
            await self._wait_for_store(str(read.error))

    async def _write_own(self) -> bool:
        """Write this gateway's row; tell whether it stood there from an earlier start.

        Where it did not, engines keep nothing yet, or the others are at work and know.
        """
        key = Key(GATEWAYS, self._host)
        value = {"address": self._address, **self._site._asdict()}
        while True:
            read = await self._gateway.table.get(key)
            if read.is_ok():
                row = read.ok
                if row is not None and row.value == value:
                    return True
                rev = ABSENT if row is None else row.rev
                written = await self._write(Put(key, value, rev))
                if written.is_ok():
                    return row is not None
                await self._wait_for_store(str(written.error))
                continue
            await self._wait_for_store(str(read.error))

    async def _wait_for_store(self, reason: str) -> None:
        """Wait until it is worth asking the store again."""
        log_message("peers:not_joined", reason=reason)
        await asyncio.sleep(JOIN_SECONDS)

    async def _write(self, write: Write) -> Result:
        return await transact_settled(
            self._gateway.table,
            [write],
            secrets.token_hex(8),
            deadline=time.monotonic() + WRITE_SECONDS,
        )

    async def _read_others(self) -> Collection[str]:
        """Read which gateways there are, and keep up with them."""
        read = await self._gateway.table.query(GATEWAYS, limit=MAX_GATEWAYS)
        if read.is_error():
            log_message("peers:unread", reason=str(read.error))
            return [self._host]
        rows = {row.key.sk: row for row in read.ok}
        if self._host not in rows:
            # Another one has taken this gateway for gone, and it is back.
            await self._write_own()
        self._gateway.count_gateways(max(1, len(rows)))
        self._dial(rows)
        await self._remove_gone(rows)
        return rows.keys() | {self._host}

    def _dial(self, rows: Mapping[str, Row]) -> None:
        """Dial those that links are wanted to, and no others."""
        sites = {name: _read_site(row) for name, row in rows.items()}
        sites[self._host] = self._site
        self._loads.set_sites(sites)
        silent = self._dialled - set(self._hub.hosts)
        dialled = set(choose_dialled(sites, self._host, silent))
        for name in self._dialled - dialled:
            self._hub.forget(name)
        for name in dialled:
            self._hub.dial(name, rows[name].value["address"])
        self._dialled = dialled

    async def _remove_gone(self, rows: Mapping[str, Row]) -> None:
        """Remove the rows of gateways that are gone for good.

        Machines are replaced under new names. Left alone, the rows would grow in number
        for good: each gateway would dial more and more that never answer, and retries
        would be shared out among the dead. One that lives, and was only out of reach,
        writes its row again.
        """
        now = time.monotonic()
        sites = {name: _read_site(row) for name, row in rows.items()}
        # Beyond a mesh who collects has links to those of its own data centre alone.
        if is_mesh(sites):
            ours = sorted(sites)
        else:
            ours = list_data_centre(sites, self._site.data_centre)
        self._absences.note(set(ours) - {self._host}, self._hub.hosts, now)
        if find_first(ours, self._host, self._hub.hosts) != self._host:
            return
        for name in self._absences.list_longer(GONE_SECONDS, now):
            removed = await self._write(Delete(rows[name].key, rows[name].rev))
            outcome = "removed" if removed.is_ok() else str(removed.error)
            log_message("peers:gone", peer=name, outcome=outcome)

    def _link_up(self, hello: Hello) -> None:
        self._loads.greet(hello.host)

    def _link_down(self, host: str, reason: str) -> None:
        self._loads.forget(host)

    def _receive(self, host: str, message: Message) -> None:
        self._loads.take(host, message)


def _is_busy(host: str) -> bool:
    """Tell that a silent link is to be noticed soon: what it told has an end."""
    return True


def _read_site(row: Row) -> Site:
    """Read where a gateway stands; the row of another release may not say that."""
    data_centre, cores = row.value.get("data_centre"), row.value.get("cores")
    is_told = isinstance(data_centre, str) and isinstance(cores, int | float)
    return Site(data_centre, cores) if is_told else Site()
