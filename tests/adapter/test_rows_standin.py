"""Tests of eras, copies and restores of the store's stand-in."""

import asyncio

import aiohttp
import pytest

from radishtally.exchange import SendOnce
from standins.rows import RowId, Rows
from tests.common import run, run_standin
from tests.gateway.common import WAIT_SECONDS, serve

FIRST, SECOND, THIRD = (RowId("servers", "", key) for key in "abc")
ERA = "Store-Era"


async def call(address, path, body=None):
    """Make a call on a new connection; return status, era and decoded body."""
    async with aiohttp.ClientSession() as session:
        method = "GET" if body is None else "POST"
        async with session.request(
            method, f"http://{address}{path}", json=body, middlewares=(SendOnce(),)
        ) as reply:
            page = await reply.json() if reply.status in (200, 412) else None
            return reply.status, reply.headers.get(ERA), page


async def read(address):
    """Read the era and the values of the servers table."""
    status, era, page = await call(address, "/api/rows-get?table=servers")
    assert status == 200
    return era, {row["key"]: row["value"] for row in page["rows"]}


def feed(after, wait=0):
    return f"/api/rows-feed?table=servers&after={after}&waitMs={wait}"


def test_era_is_sent_only_if_it_is_enabled() -> None:
    async def play() -> None:
        silent, telling = Rows(), Rows(era=3)
        for rows, era in ((silent, None), (telling, "3")):
            address = await serve(rows.build_app())
            assert await read(address) == (era, {})
            assert (await call(address, feed(9)))[:2] == (410, era)
            assert (await call(address, "/api/unknown"))[:2] == (404, era)
            refused = {"expected": [{**FIRST._asdict(), "ver": 4}]}
            assert (await call(address, "/api/rows-tx", refused))[:2] == (412, era)
        silent.restore(silent.take_snapshot())
        assert silent.era == 0

    run(play())


def test_restore_reverts_rows_and_reuses_versions() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        address = await serve(rows.build_app())
        rows.write(FIRST, "old")
        copy = rows.take_snapshot()
        lost = rows.write(FIRST, "new")
        rows.write(SECOND, "new")
        rows.restore(copy)
        assert await read(address) == ("2", {"a": "old"})
        assert (await call(address, feed(lost)))[0] == 410
        assert (await call(address, feed(lost - 1)))[0] == 200
        assert rows.write(THIRD, "other") == lost
        assert (await call(address, feed(lost)))[2]["rows"] == []
        rows.restore(copy)
        assert await read(address) == ("3", {"a": "old"})

    run(play())


def test_rows_are_rewritten_in_an_order_that_depends_on_the_seed() -> None:
    names = [RowId("servers", "", str(number)) for number in range(20)]

    def restore(seed):
        rows = Rows(era=1, seed=seed)
        rows.write(THIRD, "there")
        copy = rows.take_snapshot()
        for name in names:
            rows.write(name, f"value {name.key}")
        rows.write(THIRD, None)
        rows.restore(copy)
        rows.rewrite([*names, THIRD])
        return rows.take_snapshot().rows

    held = restore(1)
    assert held == restore(1)
    assert [held[name] for name in names] != [restore(2)[name] for name in names]
    assert [held[name][1] for name in names] == [f"value {n.key}" for n in names]
    assert held[THIRD][1] is None
    versions = [version for version, _ in held.values()]
    assert sorted(versions) == list(range(2, 23))


def test_restore_drops_held_feeds() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        address = await serve(rows.build_app())
        held = asyncio.create_task(call(address, feed(0, 30_000)))
        async with asyncio.timeout(WAIT_SECONDS):
            while not rows.waiting_feeds:
                await asyncio.sleep(0)
            rows.restore(rows.take_snapshot())
            with pytest.raises(aiohttp.ClientError):
                await held
        assert rows.waiting_feeds == 0

    run(play())


def test_running_process_can_be_copied_and_restored() -> None:
    with run_standin("rows", "--era", "1") as store:

        def write(value, *names):
            writes = [{**name._asdict(), "value": value} for name in names]
            store.post("/api/rows-tx", {"writes": writes})

        write("old", FIRST)
        store.post("/_copy", {})
        write("new", FIRST, SECOND)
        store.post("/_restore", {})
        assert run(read(store.address)) == ("2", {"a": "old"})
        write("new", FIRST, SECOND)
        store.post("/_restore", {"rewrite": ["servers"]})
        assert run(read(store.address)) == ("3", {"a": "new", "b": "new"})
