"""Tests of the audit trail."""

import asyncio
from collections.abc import Callable

import pytest

from radishtally.audit import store
from radishtally.audit.core import make_audit_put, read_entry
from radishtally.audit.store import AuditLog
from radishtally.outcome import Error, Result
from radishtally.store.core import Invalid, Row, TableError, Write
from tests.common import MemoryTable, run

POLL_SECONDS = 0.005


@pytest.fixture
def table() -> MemoryTable:
    return MemoryTable()


@pytest.fixture
def log(table: MemoryTable) -> AuditLog:
    times = iter(range(1000, 100_000))
    return AuditLog(table, lambda: next(times))


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(POLL_SECONDS)


def record(log: AuditLog, subject: str) -> None:
    log.record("ana", "drain", subject, "disk", {"drained": False}, {"drained": True})


async def read_subjects(log: AuditLog, limit: int, **more) -> list[str]:
    return [entry.subject for entry in (await log.read(limit, **more)).ok]


def test_entry_is_read_back_as_recorded() -> None:
    put = make_audit_put(7, "ana", "drain", "h1", "disk", {"a": 1}, {"a": 2}, "n1")
    assert put.key.sk == "0000000000007-ana-n1"
    assert put.expect is None
    entry = read_entry(Row(put.key, 1, "w", put.value)).ok
    assert entry._asdict() == put.value


def test_entries_are_read_in_order_and_by_subject(
    log: AuditLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store, "PAGE_ROWS", 2)

    async def main() -> None:
        for subject in ("h1", "h2", "h1", "h3", "h1"):
            record(log, subject)
        assert await log.write_batch()
        assert await read_subjects(log, 2) == ["h1", "h3"]
        assert await read_subjects(log, 3, newest_first=False) == ["h1", "h2", "h1"]
        assert await read_subjects(log, 9, subject="h1") == ["h1"] * 3
        oldest = await read_subjects(log, 2, subject="h1", newest_first=False)
        assert oldest == ["h1"] * 2

    run(main())


@pytest.mark.parametrize("fault", ["lose_replies", "drop_writes"])
def test_retry_of_unclear_write_adds_each_entry_once(
    table: MemoryTable, log: AuditLog, fault: str
) -> None:
    async def main() -> None:
        setattr(table, fault, 1)
        record(log, "h1")
        assert not await log.write_batch()
        assert await log.write_batch()
        assert await read_subjects(log, 9) == ["h1"]

    run(main())


def test_entries_are_buffered_up_to_the_limit_and_dropped_ones_counted(
    table: MemoryTable, log: AuditLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The store is unavailable for a long time. Entries are buffered up to the limit,
    # later ones are dropped and counted, and the buffered ones are written afterwards.
    monkeypatch.setattr(store, "MAX_BUFFERED_ENTRIES", 2)
    monkeypatch.setattr(store, "RETRY_SECONDS", POLL_SECONDS)

    async def main() -> None:
        table.down = True
        log.start()
        for subject in ("h1", "h2", "h3"):
            record(log, subject)
        await asyncio.sleep(0)
        assert (log.waiting, log.dropped) == (2, 1)
        table.down = False
        await wait_until(lambda: log.waiting == 0)
        assert await read_subjects(log, 9, newest_first=False) == ["h1", "h2"]
        await log.stop()

    run(main())


@pytest.mark.parametrize(("down", "dropped"), [(False, 0), (True, 1)])
def test_stop_writes_remaining_entries(
    table: MemoryTable, log: AuditLog, down: bool, dropped: int
) -> None:
    async def main() -> None:
        table.down = down
        log.start()
        record(log, "h1")
        await log.stop()
        assert log.dropped == dropped
        assert len(table.rows.rows) == 1 - dropped

    run(main())


class StrictTable(MemoryTable):
    """Refuse entries with the subject "too long", as a table refuses oversized rows."""

    async def transact(
        self, writes: list[Write], write_id: str
    ) -> Result[None, TableError]:
        if any(write.value["subject"] == "too long" for write in writes):
            return Error(Invalid("row too large"))
        return await super().transact(writes, write_id)


# The table refuses one entry permanently. If that entry were retried forever, no later
# entry of this process would be written.
def test_entry_that_the_table_refuses_does_not_block_others() -> None:
    table = StrictTable()
    log = AuditLog(table, lambda: 1000)

    async def main() -> None:
        for subject in ("h1", "too long", "h2", "h3"):
            record(log, subject)
        for _ in range(10):
            await log.write_batch()
        assert await read_subjects(log, 9, newest_first=False) == ["h1", "h2", "h3"]
        assert log.waiting == 0
        assert log.dropped == 1

    run(main())
