"""Find the other gateways, and tell them what this one has open."""

import asyncio
import secrets
import time
from typing import Final, Protocol

from eliot import log_message

from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.const import (
    BACKLOG_SECONDS,
    FIRST_PEER_READS,
    PEER_READ_SECONDS,
)
from radishtally.links.hub import Callbacks, LinkHub
from radishtally.links.messages import Backlog, DemandReport, Hello, Message
from radishtally.outcome import Result
from radishtally.runtime import Runtime
from radishtally.stages.const import TELL_SECONDS
from radishtally.stages.keeper import StageKeeper
from radishtally.store.core import ABSENT, Key, Put, Table
from radishtally.store.settle import transact_settled

GATEWAYS: Final = "gateways"
"""Partition of the rows in which gateways say where they listen for each other."""
SECRET: Final = Key("secrets", "peer-key")
"""Row of the secret that gateways share; the first one draws it."""
WRITE_SECONDS: Final = 2.0


class Place(Protocol):
    """Be what peers need of their gateway."""

    runtime: Runtime
    placement: EnginePlacement
    stages: StageKeeper
    table: Table

    def count_gateways(self, count: int) -> None:
        """Take how many gateways there are."""


class Peers:
    """Keep links to the other gateways."""

    def __init__(
        self, gateway: Place, host: str, data_centre: str, address: str
    ) -> None:
        self._gateway = gateway
        self._host = host
        self._data_centre = data_centre
        self._address = address
        self._incarnation = secrets.token_hex(8)
        self._hub: LinkHub | None = None

    async def run(self) -> None:
        """Join the other gateways and keep up with them for good."""
        secret = await self._find_secret()
        hello = Hello(self._host, self._data_centre, GATEWAYS, self._incarnation, 0)
        guard = self._gateway.runtime.guard_call
        callbacks = Callbacks(
            guard(self._link_up), guard(self._link_down), guard(self._receive), _is_busy
        )
        self._hub = LinkHub(hello, secret, callbacks)
        await self._hub.start(self._address)
        self._gateway.runtime.spawn(self._tell())
        self._gateway.runtime.spawn(self._tell_demand())
        await self._write_own()
        reads = 0
        while True:
            await self._read_others()
            reads += 1
            fast = reads < FIRST_PEER_READS
            await asyncio.sleep(1.0 if fast else PEER_READ_SECONDS)

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
                await self._write(Put(SECRET, drawn, ABSENT))
                continue
            await asyncio.sleep(1.0)

    async def _write_own(self) -> None:
        key = Key(GATEWAYS, self._host)
        value = {"address": self._address}
        while True:
            read = await self._gateway.table.get(key)
            if read.is_ok():
                row = read.ok
                if row is not None and row.value == value:
                    return
                rev = ABSENT if row is None else row.rev
                if (await self._write(Put(key, value, rev))).is_ok():
                    return
            await asyncio.sleep(1.0)

    async def _write(self, put: Put) -> Result:
        return await transact_settled(
            self._gateway.table,
            [put],
            secrets.token_hex(8),
            deadline=time.monotonic() + WRITE_SECONDS,
        )

    async def _read_others(self) -> None:
        read = await self._gateway.table.query(GATEWAYS, limit=1_000)
        if read.is_error():
            log_message("peers:unread", reason=str(read.error))
            return
        self._gateway.count_gateways(max(1, len(read.ok)))
        for row in read.ok:
            # One link is enough for both; who dials is settled by the names.
            if row.key.sk > self._host:
                self._hub.dial(row.key.sk, row.value["address"])

    async def _tell(self) -> None:
        """Tell the others what has changed, as often as it is of use."""
        placement = self._gateway.placement
        while True:
            await asyncio.sleep(BACKLOG_SECONDS)
            changed = placement.take_changed()
            if not changed or not self._hub.hosts:
                continue
            backlog = placement.make_backlog(changed)
            for peer in self._hub.hosts:
                self._hub.send(peer, backlog)

    async def _tell_demand(self) -> None:
        """Tell the others what has come here: one of them decides on roles for all."""
        while True:
            await asyncio.sleep(TELL_SECONDS)
            for report in self._gateway.stages.make_reports(time.monotonic()):
                for peer in self._hub.hosts:
                    self._hub.send(peer, report)

    def _link_up(self, hello: Hello) -> None:
        self._hub.send(hello.host, self._gateway.placement.make_backlog())

    def _link_down(self, host: str, reason: str) -> None:
        self._gateway.placement.forget_peer(host)

    def _receive(self, host: str, message: Message) -> None:
        now = time.monotonic()
        if isinstance(message, Backlog):
            self._gateway.placement.take_backlog(host, message, now)
        elif isinstance(message, DemandReport):
            self._gateway.stages.take_report(host, message, now)


def _is_busy(host: str) -> bool:
    """Tell that a silent link is to be noticed soon: what it told has an end."""
    return True
