"""State machine test of a store that is restored, with writers and late writes."""

import base64
import json
from typing import Any, NamedTuple

import uvloop
from adapter.store import Compacted, Page, StoreClient
from adapter.table import TABLE, StoreTable
from aiohttp import web
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from radishtally.outcome import Result
from radishtally.store.core import ABSENT, Conflict, Key, Put, Row, TableError, Unclear
from standins.common import read_json
from standins.rows import RowId, Rows, Snapshot, abort
from tests.gateway.common import serve

KEYS = st.sampled_from([Key("p", "a"), Key("p", "b")])
BOTH = st.integers(0, 1)
HOSTS = st.sampled_from("xyz")
SERVERS = "servers"


class Backup(NamedTuple):
    """Hold a copy of the store and the writes that were acknowledged by then."""

    copy: Snapshot
    acknowledged: dict[Key, str]


class LossyRows(Rows):
    """Hold writes back and apply them later, without answering them."""

    def __init__(self) -> None:
        super().__init__(era=1)
        self.holds_writes = False
        self.late: list[dict[str, Any]] = []

    async def _transact(self, request: web.Request) -> web.Response:
        if not self.holds_writes:
            return await super()._transact(request)
        self.late.append(await read_json(request, dict[str, Any]))
        return abort(request)


class Writer:
    """Update rows as last read, through a table of its own."""

    def __init__(self, client: StoreClient) -> None:
        self.client = client
        self.table = StoreTable(client)
        self.seen: dict[Key, Row | None] = {}

    async def read(self, key: Key) -> Row | None:
        """Read a row, and retry while the era changes."""
        while (read := await self.table.get(key)).is_error():
            pass
        self.seen[key] = read.ok
        return read.ok


class Follower:
    """Follow the host table; drop the version when the era changes."""

    def __init__(self, client: StoreClient) -> None:
        self.client = client
        self.version: int | None = None
        self.hosts: dict[str, bytes] = {}
        client.on_era.append(self._enter_era)

    def _enter_era(self, before: int, after: int) -> None:
        self.version = None

    async def follow(self) -> None:
        """Read changes until an answer could be applied."""
        while not self._apply(await self._read()):
            pass

    async def _read(self) -> Page | Compacted | None:
        if self.version is None:
            read = await self.client.read_table(SERVERS)
        else:
            read = await self.client.follow_table(SERVERS, self.version, 0.0)
        return None if read.is_error() else read.ok

    def _apply(self, page: Page | Compacted | None) -> bool:
        if not isinstance(page, Page):
            self.version = None if isinstance(page, Compacted) else self.version
            return False
        if self.version is None:
            self.hosts.clear()
        self.version = page.version
        for row in page.rows:
            self.hosts.pop(row.key, None)
            if row.value is not None:
                self.hosts[row.key] = row.value
        return True


class ErasMachine(RuleBasedStateMachine):
    """Check writers and followers against acknowledged writes, across restores."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = uvloop.new_event_loop()
        self.rows = LossyRows()
        self.ids = 0
        self.acknowledged: dict[Key, str] = {}
        """Id of the last acknowledged write of each row in this era."""
        self.clients: list[StoreClient] = []
        self.loop.run_until_complete(self._start())
        self.backups = [Backup(self.rows.take_snapshot(), {})]

    async def _start(self) -> None:
        address = await serve(self.rows.build_app())
        for _ in range(4):
            client = StoreClient(address)
            await client.start()
            self.clients.append(client)
        self.writers = [Writer(client) for client in self.clients[:2]]
        self.followers = [Follower(client) for client in self.clients[2:]]

    def teardown(self) -> None:
        """Check that the followers missed nothing, and stop the clients."""
        for number in range(2):
            self.follow(number)
        self.loop.run_until_complete(self._stop())
        self.loop.close()

    async def _stop(self) -> None:
        for client in self.clients:
            await client.stop()

    @rule(number=BOTH, key=KEYS)
    def read(self, number: int, key: Key) -> None:
        """Read a row and check that it is the current one."""
        row = self.loop.run_until_complete(self.writers[number].read(key))
        assert (row and row.write_id) == self._find_id(key)
        assert row is None or row.era == self.rows.era

    @rule(number=BOTH, key=KEYS)
    def list_rows(self, number: int, key: Key) -> None:
        """Read rows through a writer's table, unseen by the writer itself."""
        self.loop.run_until_complete(self.writers[number].table.query(key.pk))

    @rule(number=BOTH, key=KEYS, is_late=st.booleans())
    def write(self, number: int, key: Key, is_late: bool) -> None:
        """Write a row that expects the version its writer last read."""
        before = self._find_id(key)
        self.rows.holds_writes = is_late
        written = self._send(number, key)
        self.rows.holds_writes = False
        if written.is_ok():
            assert not is_late
        elif isinstance(written.error, Unclear):
            self._record(key)
        else:
            assert self._find_id(key) == before
        if written.is_error() and isinstance(written.error, Conflict):
            # After a conflict, a writer that reads the row again succeeds.
            self.read(number, key)
            assert self._send(number, key).is_ok()

    def _send(self, number: int, key: Key) -> Result[None, TableError]:
        writer = self.writers[number]
        row, before = writer.seen.get(key), self._find_id(key)
        self.ids += 1
        write_id = str(self.ids)
        put = Put(key, {}, ABSENT if row is None else row.rev)
        written = self.loop.run_until_complete(writer.table.transact([put], write_id))
        if written.is_ok():
            assert before == (row and row.write_id)
            assert self._find_id(key) == write_id
            self.acknowledged[key] = write_id
            writer.seen[key] = Row(key, put.expect + 1, write_id, {}, self.rows.era)
        return written

    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        """Apply a write that was held back, if its condition holds now."""
        if not self.rows.late:
            return
        number = data.draw(st.integers(0, len(self.rows.late) - 1))
        body = self.rows.late.pop(number)
        status, _ = self.rows.transact(body)
        if status == 200:
            [row] = body["writes"]
            self._record(Key(row["part"], row["key"]))

    @rule(host=HOSTS, value=st.sampled_from(["e30=", "W10=", None]))
    def announce(self, host: str, value: str | None) -> None:
        """Write a host's entry, or delete it."""
        self.rows.write(RowId(SERVERS, "", host), value)

    @rule()
    def compact(self) -> None:
        """Compact the store's history."""
        self.rows.compact()

    @rule()
    def copy(self) -> None:
        """Make a copy of the store."""
        self.backups.append(Backup(self.rows.take_snapshot(), dict(self.acknowledged)))

    @rule(data=st.data(), hosts=st.frozensets(HOSTS))
    def restore(self, data: st.DataObject, hosts: frozenset[str]) -> None:
        """Restore a copy; some hosts write their entries again."""
        backup = data.draw(st.sampled_from(self.backups))
        self._restore(backup)
        self.rows.rewrite(RowId(SERVERS, "", host) for host in hosts)

    @rule(number=BOTH, key=KEYS, lists_rows=st.booleans())
    def overtake(self, number: int, key: Key, lists_rows: bool) -> None:
        """Lose a writer's last write in a restore, and have another write the row."""
        self.copy()
        self.write(number, key, is_late=False)
        self._restore(self.backups[-1])
        self.read(1 - number, key)
        self.write(1 - number, key, is_late=False)
        if lists_rows:
            self.list_rows(number, key)

    @rule(number=BOTH)
    def follow(self, number: int) -> None:
        """Read changes, and check that the follower has the current entries."""
        follower = self.followers[number]
        self.loop.run_until_complete(follower.follow())
        current_rows = self.rows.take_snapshot().rows
        current = {
            name.key
            for name, (_, value) in current_rows.items()
            if name.table == SERVERS and value
        }
        assert follower.hosts.keys() == current
        for host, value in follower.hosts.items():
            expected = {"e30=": b"{}", "W10=": b"[]"}[
                current_rows[RowId(SERVERS, "", host)][1]
            ]
            assert value == expected

    @invariant()
    def acknowledged_writes_persist(self) -> None:
        """Check that the acknowledged writes that no restore has lost are stored."""
        for key, write_id in self.acknowledged.items():
            assert self._find_id(key) == write_id

    def _restore(self, backup: Backup) -> None:
        self.backups = self.backups[: self.backups.index(backup) + 1]
        self.rows.restore(backup.copy)
        self.acknowledged = dict(backup.acknowledged)

    def _record(self, key: Key) -> None:
        """Record a stored write that was not acknowledged."""
        found = self._find_id(key)
        if found is not None:
            self.acknowledged[key] = found

    def _find_id(self, key: Key) -> str | None:
        row = self.rows.take_snapshot().rows.get(RowId(TABLE, key.pk, key.sk))
        if row is None or row[1] is None:
            return None
        return json.loads(base64.b64decode(row[1]))["write_id"]


TestEras = ErasMachine.TestCase
TestEras.settings = settings(max_examples=100, stateful_step_count=25, deadline=None)
