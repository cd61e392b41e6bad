"""Tests of radishtally's rows in the platform's store."""

import base64
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from adapter.store import StoreClient
from adapter.table import TABLE, StoreTable

from radishtally.store.core import (
    ABSENT,
    UNREADABLE,
    Check,
    Conflict,
    Delete,
    Invalid,
    Key,
    Put,
    Row,
    Unavailable,
    Unclear,
)
from standins.rows import RowId, Rows, Snapshot
from tests.common import run
from tests.gateway.common import serve

KEY, OTHER = Key("p", "k"), Key("p", "l")


def is_conflict(result) -> bool:
    return result.is_error() and isinstance(result.error, Conflict)


async def restore(rows: Rows, copy: Snapshot, store: StoreTable) -> None:
    """Restore the store and let its client notice the new era."""
    rows.restore(copy)
    assert (await store.get(Key("nowhere", "n"))).is_error()
    assert store.era == rows.era


def name(key: Key) -> RowId:
    """Return the store's name of a row."""
    return RowId(TABLE, key.pk, key.sk)


@asynccontextmanager
async def table(rows: Rows) -> AsyncIterator[StoreTable]:
    client = StoreClient(await serve(rows.build_app()))
    await client.start()
    yield StoreTable(client)
    await client.stop()


def test_each_row_has_its_own_revision() -> None:
    async def play() -> None:
        async with table(Rows()) as store:
            assert (await store.get(KEY)).ok is None
            assert (await store.transact([Put(KEY, {"a": 1}, ABSENT)], "w1")).is_ok()
            assert (await store.transact([Put(OTHER, {}, ABSENT)], "w2")).is_ok()
            assert (await store.transact([Put(KEY, {"a": 2}, 1)], "w3")).is_ok()
            row = (await store.get(KEY)).ok
            assert (row.rev, row.write_id, row.value) == (2, "w3", {"a": 2})

    run(play())


def test_stale_writer_gets_a_conflict() -> None:
    async def play() -> None:
        async with table(Rows()) as store:
            await store.transact([Put(KEY, {}, ABSENT)], "w1")
            again = await store.transact([Put(KEY, {}, ABSENT)], "w2")
            assert again.error == Conflict((0,))
            await store.transact([Put(KEY, {}, 1)], "w3")
            late = await store.transact([Put(OTHER, {}, ABSENT), Check(KEY, 1)], "w4")
            assert isinstance(late.error, Conflict)
            assert (await store.get(OTHER)).ok is None

    run(play())


def test_second_process_looks_up_the_current_version() -> None:
    async def play() -> None:
        rows = Rows()
        async with table(rows) as first, table(rows) as second:
            await first.transact([Put(KEY, {}, ABSENT)], "w1")
            assert (await second.transact([Put(KEY, {}, 1)], "w2")).is_ok()
            stale = await first.transact([Put(KEY, {}, 1)], "w3")
            assert stale.error == Conflict((0,))
            assert (await first.transact([Delete(KEY, 2)], "w4")).is_ok()
            assert (await second.get(KEY)).ok is None

    run(play())


# Guards against a row that nobody can replace, and against replacing what was written
# since another writer's bytes were read.
def test_bytes_of_another_writer_are_replaced_as_long_as_they_stand() -> None:
    async def play() -> None:
        rows = Rows()
        async with table(rows) as store, table(rows) as other:
            rows.write(name(KEY), "eA==")
            unread = await store.transact([Put(KEY, {}, UNREADABLE)], "w1")
            assert unread.error == Conflict((0,))
            for reader in (store, other):
                assert isinstance((await reader.get(KEY)).error, Invalid)
            put = [Put(KEY, {"a": 1}, UNREADABLE)]
            assert (await store.transact(put, "w2")).is_ok()
            assert (await other.transact(put, "w3")).error == Conflict((0,))
            assert (await other.get(KEY)).ok.write_id == "w2"
            assert (await store.transact([Put(KEY, {}, 1)], "w4")).is_ok()

    run(play())


# Guards against repeating a write over a later one. The store applied the write, its
# reply was lost, and the write was taken for one without effect.
def test_lost_reply_makes_the_outcome_unclear() -> None:
    async def play() -> None:
        rows = Rows()
        async with table(rows) as store:
            rows.fault_gate._fault = {"mode": "lose_reply", "count": 1}
            lost = await store.transact([Put(KEY, {"a": 1}, ABSENT)], "w1")
            assert isinstance(lost.error, Unclear)
            assert (await store.get(KEY)).ok.write_id == "w1"

    run(play())


def test_rows_of_a_partition_are_listed_in_order() -> None:
    async def play() -> None:
        async with table(Rows()) as store:
            for name in ("b", "a", "c"):
                await store.transact([Put(Key("p", name), {}, ABSENT)], name)
            await store.transact([Put(Key("q", "z"), {}, ABSENT)], "z")
            listed = (await store.query("p", after="a")).ok
            assert [row.key.sk for row in listed] == ["b", "c"]

    run(play())


# Guards against missing all gateways beyond the first 500: one answer of the store
# holds no more rows than that, and the following pages were not read.
def test_query_reads_more_rows_than_one_answer_holds() -> None:
    async def play() -> None:
        rows = Rows()
        async with table(rows) as store:
            keys = [Key("p", f"{number:04}") for number in range(600)]
            for start in range(0, 600, 100):
                puts = [Put(key, {}, ABSENT) for key in keys[start : start + 100]]
                assert (await store.transact(puts, f"w{start}")).is_ok()
            found = (await store.query("p", limit=1_000)).ok
            assert [row.key for row in found] == keys
            assert len((await store.query("p", limit=550)).ok) == 550

    run(play())


# Guards against all gateways exiting at every start. Another writer left an invalid row
# in radishtally's own table, and the exception from decoding it was not handled.
@pytest.mark.parametrize(
    "value",
    [
        "%%%",
        "",
        base64.b64encode(b"{").decode(),
        base64.b64encode(b"\xff\xfe").decode(),
        base64.b64encode(b"[]").decode(),
        base64.b64encode(b'{"rev": "1", "write_id": "w", "value": {}}').decode(),
        base64.b64encode(b'{"rev": 1, "write_id": "w", "value": 5}').decode(),
        base64.b64encode(b"[" * 100_000).decode(),
    ],
)
def test_invalid_row_of_another_writer_is_skipped(value: str) -> None:
    async def play() -> None:
        rows = Rows()
        async with table(rows) as store:
            await store.transact([Put(OTHER, {}, ABSENT)], "w1")
            rows.write(RowId(TABLE, KEY.pk, KEY.sk), value)
            assert isinstance((await store.get(KEY)).error, Invalid)
            assert [row.key for row in (await store.query(KEY.pk)).ok] == [OTHER]
            refused = await store.transact([Put(KEY, {}, ABSENT)], "w2")
            assert isinstance(refused.error, Conflict)

    run(play())


def test_row_has_the_era_of_its_answer() -> None:
    async def play() -> None:
        rows = Rows(era=3)
        async with table(rows) as store:
            await store.transact([Put(KEY, {"a": 1}, ABSENT)], "w1")
            assert (await store.get(KEY)).ok == Row(KEY, 1, "w1", {"a": 1}, 3)
            assert [row.era for row in (await store.query("p")).ok] == [3]
            await restore(rows, rows.take_snapshot(), store)
            assert (await store.get(KEY)).ok.era == 4

    run(play())


# Guards against overwriting another writer's row with success reported. The store was
# restored from an older copy, and assigned the version that the caller's row had to
# another write of that row with the same revision.
def test_condition_does_not_hold_by_accident_after_a_restore() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as first, table(rows) as second:
            await first.transact([Put(KEY, {}, ABSENT)], "w1")
            copy = rows.take_snapshot()
            assert (await first.transact([Put(KEY, {}, 1)], "lost")).is_ok()
            lost = rows.take_snapshot().rows[name(KEY)]
            rows.restore(copy)
            assert (await second.get(KEY)).ok.write_id == "w1"
            assert (await second.transact([Put(KEY, {}, 1)], "other")).is_ok()
            assert rows.take_snapshot().rows[name(KEY)][0] == lost[0]
            assert isinstance((await first.get(OTHER)).error, Unavailable)
            for _ in range(2):
                assert is_conflict(await first.transact([Put(KEY, {}, 2)], "w3"))
            assert (await first.get(KEY)).ok.write_id == "other"
            assert (await first.transact([Put(KEY, {}, 2)], "w4")).is_ok()

    run(play())


# The same if another caller reads the row through the table before its writer does: the
# writer has not seen that row. It is refused until it has read the row itself.
def test_row_read_by_another_caller_does_not_count_as_read_by_the_writer() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as first, table(rows) as second:
            await first.transact([Put(KEY, {}, ABSENT)], "w1")
            copy = rows.take_snapshot()
            assert (await first.transact([Put(KEY, {}, 1)], "lost")).is_ok()
            rows.restore(copy)
            await second.get(KEY)
            assert (await second.transact([Put(KEY, {}, 1)], "other")).is_ok()
            await first.get(OTHER)
            assert len((await first.query("p")).ok) == 1
            for _ in range(2):
                assert is_conflict(await first.transact([Put(KEY, {}, 2)], "w3"))
            await first.get(KEY)
            assert (await first.transact([Put(KEY, {}, 2)], "w4")).is_ok()

    run(play())


def test_row_that_survived_the_restore_is_written_with_its_new_version() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as store:
            await store.transact([Put(KEY, {}, ABSENT)], "w1")
            copy = rows.take_snapshot()
            before = rows.write(name(KEY), rows.take_snapshot().rows[name(KEY)][1])
            await store.get(KEY)
            await restore(rows, copy, store)
            rows.rewrite([name(OTHER), name(KEY)])
            assert rows.take_snapshot().rows[name(KEY)][0] >= before
            assert (await store.transact([Put(KEY, {}, 1)], "w2")).is_ok()
            assert (await store.get(KEY)).ok.write_id == "w2"

    run(play())


# A writer that never read the row in any era, or only an older revision, can't expect
# the current row: its revision comes from lost writes.
def test_row_that_was_never_read_has_to_be_read_after_a_restore() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as first, table(rows) as second:
            await first.transact([Put(KEY, {}, ABSENT)], "w1")
            assert (await second.get(OTHER)).ok is None
            await restore(rows, rows.take_snapshot(), second)
            for _ in range(2):
                assert is_conflict(await second.transact([Put(KEY, {}, 1)], "w2"))
            assert (await second.get(KEY)).ok.rev == 1
            assert (await second.transact([Put(KEY, {}, 1)], "w3")).is_ok()

    run(play())


# The same if the table had seen a later write of the row than its writer.
def test_stale_writer_is_refused_after_a_restore() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as first, table(rows) as second:
            copy = rows.take_snapshot()
            await first.transact([Put(KEY, {}, ABSENT)], "lost")
            await second.transact([Put(KEY, {}, 1)], "later")
            await first.query("p")
            rows.restore(copy)
            await second.get(KEY)
            assert (await second.transact([Put(KEY, {}, ABSENT)], "other")).is_ok()
            await first.query("p")
            await first.query("p")
            assert is_conflict(await first.transact([Put(KEY, {}, 1)], "w2"))
            assert (await first.get(KEY)).ok.write_id == "other"
            assert (await first.transact([Put(KEY, {}, 1)], "w3")).is_ok()

    run(play())


# Guards against refusing a writer again after it has read the row. A write that it had
# seen was lost, and another one with the same revision replaced it.
def test_refused_writer_succeeds_after_reading_the_row() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as first, table(rows) as second:
            copy = rows.take_snapshot()
            await first.transact([Put(KEY, {}, ABSENT)], "lost")
            rows.restore(copy)
            assert (await second.transact([Put(KEY, {}, ABSENT)], "other")).is_ok()
            assert (await first.get(OTHER)).is_error()
            assert is_conflict(await first.transact([Put(KEY, {}, ABSENT)], "w2"))
            assert (await first.get(KEY)).ok.write_id == "other"
            assert (await first.transact([Put(KEY, {}, 1)], "w3")).is_ok()

    run(play())


# Guards against a gateway that acts in a role it does not hold. Its write was sent
# before a restore and answered after it. The answer does not show whether the write was
# lost in the restore or is stored, and its versions must not be cached.
def test_write_answered_in_another_era_is_unclear() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as store:
            await store.transact([Put(KEY, {}, ABSENT)], "w1")
            rows.restore(rows.take_snapshot())
            answered = await store.transact([Put(KEY, {}, 1)], "w2")
            assert isinstance(answered.error, Unclear)
            assert KEY not in store._known
            assert (await store.get(KEY)).ok.write_id == "w2"

    run(play())


# The same with a conflict: the row is not as expected in the new era, but the write may
# have been applied in the old one, or may still be applied.
def test_refusal_in_another_era_is_unclear() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as store:
            copy = rows.take_snapshot()
            await store.transact([Put(KEY, {}, ABSENT)], "w1")
            rows.restore(copy)
            answered = await store.transact([Put(KEY, {}, 1)], "w2")
            assert isinstance(answered.error, Unclear)

    run(play())


# A restore comes between the reads of two rows that a transaction expects. The write
# would be sent with the first row's version of the old era.
def test_restore_between_the_reads_of_a_write_prevents_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as store:
            for key in (KEY, OTHER):
                await store.transact([Put(key, {}, ABSENT)], "w1")
            store._known.pop(OTHER)
            read = store.get

            async def read_late(key: Key):
                rows.restore(rows.take_snapshot())
                assert (await read(key)).is_error()
                return await read(key)

            monkeypatch.setattr(store, "get", read_late)
            sent = await store.transact([Put(KEY, {}, 1), Put(OTHER, {}, 1)], "w2")
            assert isinstance(sent.error, Unavailable)
            assert (await read(KEY)).ok.write_id == "w1"

    run(play())


# A late answer of an older era must not supply the version that a write expects.
@pytest.mark.parametrize("name", ["read_rows", "transact"])
def test_late_rows_of_an_older_era_are_not_cached(name: str) -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as store:
            await store.transact([Put(KEY, {}, ABSENT)], "w1")
            client = store._client
            call, read = getattr(client, name), client.read_rows

            async def call_late(*args):
                answer = await call(*args)
                rows.restore(rows.take_snapshot())
                await read(TABLE, OTHER.pk, OTHER.sk, "", 1)
                return answer

            setattr(client, name, call_late)
            if name == "transact":
                await store.transact([Put(KEY, {}, 1)], "w2")
            else:
                assert (await store.get(KEY)).ok.era == 1
            assert store.era == 2
            assert KEY not in store._known

    run(play())
