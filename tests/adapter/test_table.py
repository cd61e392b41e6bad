"""Tests of the product's rows in the platform's store."""

import base64
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from adapter.store import StoreClient
from adapter.table import TABLE, StoreTable

from radishtally.store.core import (
    ABSENT,
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
from standins.rows import Copy, Name, Rows
from tests.common import run
from tests.gateway.common import serve

KEY, OTHER = Key("p", "k"), Key("p", "l")


def is_conflict(result) -> bool:
    return result.is_error() and isinstance(result.error, Conflict)


async def restore(rows: Rows, copy: Copy, store: StoreTable) -> None:
    """Restore the store and let its client see that."""
    rows.restore(copy)
    assert (await store.get(Key("nowhere", "n"))).is_error()
    assert store.era == rows.era


def name(key: Key) -> Name:
    """Name a row as the store does."""
    return Name(TABLE, key.pk, key.sk)


@asynccontextmanager
async def table(rows: Rows) -> AsyncIterator[StoreTable]:
    client = StoreClient(await serve(rows.build_app()))
    await client.start()
    yield StoreTable(client)
    await client.stop()


def test_rows_count_their_own_writes() -> None:
    async def play() -> None:
        async with table(Rows()) as store:
            assert (await store.get(KEY)).ok is None
            assert (await store.transact([Put(KEY, {"a": 1}, ABSENT)], "w1")).is_ok()
            assert (await store.transact([Put(OTHER, {}, ABSENT)], "w2")).is_ok()
            assert (await store.transact([Put(KEY, {"a": 2}, 1)], "w3")).is_ok()
            row = (await store.get(KEY)).ok
            assert (row.rev, row.write_id, row.value) == (2, "w3", {"a": 2})

    run(play())


def test_writer_that_is_behind_meets_a_conflict() -> None:
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


def test_second_process_reads_the_version_that_it_needs() -> None:
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


# A write is taken for one that had no effect, and is made again over a later one: the
# store carried it out and its reply was lost.
def test_lost_reply_leaves_the_outcome_open() -> None:
    async def play() -> None:
        rows = Rows()
        async with table(rows) as store:
            rows.gate._fault = {"mode": "lose_reply", "count": 1}
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


# Gateways beyond the first 500 are never seen: one answer of the store holds no more
# rows than that, and the rest of what was asked for is not fetched.
def test_query_of_more_rows_than_an_answer_holds() -> None:
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


# All gateways end, and end again at each start: a row of the product's own table, by
# another writer, can't be read, and the error that this raises is taken by nobody.
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
def test_row_of_another_writer_is_left_out(value: str) -> None:
    async def play() -> None:
        rows = Rows()
        async with table(rows) as store:
            await store.transact([Put(OTHER, {}, ABSENT)], "w1")
            rows.write(Name(TABLE, KEY.pk, KEY.sk), value)
            assert isinstance((await store.get(KEY)).error, Invalid)
            assert [row.key for row in (await store.query(KEY.pk)).ok] == [OTHER]
            refused = await store.transact([Put(KEY, {}, ABSENT)], "w2")
            assert isinstance(refused.error, Conflict)

    run(play())


def test_row_tells_the_era_that_showed_it() -> None:
    async def play() -> None:
        rows = Rows(era=3)
        async with table(rows) as store:
            await store.transact([Put(KEY, {"a": 1}, ABSENT)], "w1")
            assert (await store.get(KEY)).ok == Row(KEY, 1, "w1", {"a": 1}, 3)
            assert [row.era for row in (await store.query("p")).ok] == [3]
            await restore(rows, rows.take_copy(), store)
            assert (await store.get(KEY)).ok.era == 4

    run(play())


# A write is made over another's, and its caller is told that all is well: the store
# was restored from an older copy, and gave the version that the caller's row had to
# another write of the row, whose count is the same.
def test_condition_does_not_hold_by_chance_after_a_restore() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as first, table(rows) as second:
            await first.transact([Put(KEY, {}, ABSENT)], "w1")
            copy = rows.take_copy()
            assert (await first.transact([Put(KEY, {}, 1)], "lost")).is_ok()
            lost = rows.take_copy().rows[name(KEY)]
            rows.restore(copy)
            assert (await second.get(KEY)).ok.write_id == "w1"
            assert (await second.transact([Put(KEY, {}, 1)], "other")).is_ok()
            assert rows.take_copy().rows[name(KEY)][0] == lost[0]
            assert isinstance((await first.get(OTHER)).error, Unavailable)
            for _ in range(2):
                assert is_conflict(await first.transact([Put(KEY, {}, 2)], "w3"))
            assert (await first.get(KEY)).ok.write_id == "other"
            assert (await first.transact([Put(KEY, {}, 2)], "w4")).is_ok()

    run(play())


# The same when somebody else reads the row through the table before its writer does:
# what was read is not what the writer has seen. It is refused once and reads anew.
def test_row_read_for_another_is_not_what_the_writer_saw() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as first, table(rows) as second:
            await first.transact([Put(KEY, {}, ABSENT)], "w1")
            copy = rows.take_copy()
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


def test_row_that_outlived_the_restore_is_written_under_its_new_version() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as store:
            await store.transact([Put(KEY, {}, ABSENT)], "w1")
            copy = rows.take_copy()
            before = rows.write(name(KEY), rows.take_copy().rows[name(KEY)][1])
            await store.get(KEY)
            await restore(rows, copy, store)
            rows.rewrite([name(OTHER), name(KEY)])
            assert rows.take_copy().rows[name(KEY)][0] >= before
            assert (await store.transact([Put(KEY, {}, 1)], "w2")).is_ok()
            assert (await store.get(KEY)).ok.write_id == "w2"

    run(play())


# A writer that never saw the row in any era, or only as it was further back, can't mean
# the one that stands: it counts from what is lost.
def test_row_that_was_never_seen_is_read_first_after_a_restore() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as first, table(rows) as second:
            await first.transact([Put(KEY, {}, ABSENT)], "w1")
            assert (await second.get(OTHER)).ok is None
            await restore(rows, rows.take_copy(), second)
            for _ in range(2):
                assert is_conflict(await second.transact([Put(KEY, {}, 1)], "w2"))
            assert (await second.get(KEY)).ok.rev == 1
            assert (await second.transact([Put(KEY, {}, 1)], "w3")).is_ok()

    run(play())


# The same where the table had seen a later write of the row than its writer.
def test_row_of_a_writer_that_is_behind_is_told_from_another() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as first, table(rows) as second:
            copy = rows.take_copy()
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


# A writer is refused twice though it read the row anew: a write that it had seen is
# lost, another's of the same count stands in its place, and it met that one unread.
def test_writer_that_the_store_refused_reads_and_is_let_through() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as first, table(rows) as second:
            copy = rows.take_copy()
            await first.transact([Put(KEY, {}, ABSENT)], "lost")
            rows.restore(copy)
            assert (await second.transact([Put(KEY, {}, ABSENT)], "other")).is_ok()
            assert (await first.get(OTHER)).is_error()
            assert is_conflict(await first.transact([Put(KEY, {}, ABSENT)], "w2"))
            assert (await first.get(KEY)).ok.write_id == "other"
            assert (await first.transact([Put(KEY, {}, 1)], "w3")).is_ok()

    run(play())


# A gateway takes a role that it does not hold: its write went out before a restore and
# was answered behind it. Whether the write was done before and is lost, or stands, the
# answer does not say; what it says of versions is not remembered.
def test_write_answered_in_another_era_is_unclear() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as store:
            await store.transact([Put(KEY, {}, ABSENT)], "w1")
            rows.restore(rows.take_copy())
            crossed = await store.transact([Put(KEY, {}, 1)], "w2")
            assert isinstance(crossed.error, Unclear)
            assert KEY not in store._known
            assert (await store.get(KEY)).ok.write_id == "w2"

    run(play())


# The same with a refusal: the row is not as expected in the new era, but the write may
# have been done in the old one, or be done still.
def test_refusal_in_another_era_is_unclear() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as store:
            copy = rows.take_copy()
            await store.transact([Put(KEY, {}, ABSENT)], "w1")
            rows.restore(copy)
            crossed = await store.transact([Put(KEY, {}, 1)], "w2")
            assert isinstance(crossed.error, Unclear)

    run(play())


# A restore comes between the reading of one row that a transaction expects and that of
# the next. Sent so, it would go out under the first one's version of before.
def test_restore_between_the_reads_of_a_write_keeps_it_back(
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
                rows.restore(rows.take_copy())
                assert (await read(key)).is_error()
                return await read(key)

            monkeypatch.setattr(store, "get", read_late)
            sent = await store.transact([Put(KEY, {}, 1), Put(OTHER, {}, 1)], "w2")
            assert isinstance(sent.error, Unavailable)
            assert (await read(KEY)).ok.write_id == "w1"

    run(play())


# What a late answer of an older era shows must not be what a write goes out under.
@pytest.mark.parametrize("name", ["read_rows", "transact"])
def test_late_rows_of_an_older_era_are_not_remembered(name: str) -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with table(rows) as store:
            await store.transact([Put(KEY, {}, ABSENT)], "w1")
            client = store._client
            call, read = getattr(client, name), client.read_rows

            async def call_late(*asked):
                answer = await call(*asked)
                rows.restore(rows.take_copy())
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
