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
    Unclear,
)
from standins.rows import Name, Rows
from tests.common import run
from tests.gateway.common import serve

KEY, OTHER = Key("p", "k"), Key("p", "l")


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
