"""Tests of the client of the platform's store."""

import asyncio

import pytest
from adapter.store import StoreClient
from aiohttp import web

from standins.rows import RowId, Rows
from tests.common import READ_SECONDS, answer_twice, run
from tests.gateway.common import WAIT_SECONDS, serve

HOSTS = 600


# Guards against routing to a removed host indefinitely. A long list is read in several
# pages, and the host's entry is removed after its page was read. A feed from the last
# page's version would miss the removal.
def test_change_while_a_long_table_is_read_is_not_missed() -> None:
    async def play() -> None:
        rows = Rows()
        for number in range(HOSTS):
            rows.write(RowId("servers", "", f"h{number:04}"), "e30=")
        client = StoreClient(await serve(rows.build_app()))
        await client.start()
        read_page = client._read_page

        async def read_first(*args):
            client._read_page = read_page
            page = await read_page(*args)
            rows.write(RowId("servers", "", "h0000"), None)
            return page

        client._read_page = read_first
        page = (await client.read_table("servers")).ok
        assert len(page.rows) == HOSTS
        changes = (await client.follow_table("servers", page.version, 0.0)).ok
        assert [(row.key, row.value) for row in changes.rows] == [("h0000", None)]
        await client.stop()

    run(play())


# Guards against noticing a host's departure seconds late. The store was available
# again, but the pending feed call had been sent before, and its answer was lost.
def test_feed_call_without_an_answer_times_out_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("adapter.store.CALL_TIMEOUT_SECONDS", 3600.0)
    monkeypatch.setattr("adapter.store.FEED_GRACE_SECONDS", 0.05, raising=False)

    async def keep_silent(request: web.Request) -> web.Response:
        return await asyncio.Event().wait()

    async def play() -> None:
        app = web.Application()
        app.router.add_get("/api/rows-feed", keep_silent)
        client = StoreClient(await serve(app))
        await client.start()
        async with asyncio.timeout(WAIT_SECONDS):
            read = await client.follow_table("servers", 4, 0.0)
        assert read.is_error()
        await client.stop()

    run(play())


# Guards against a gateway that exits at every start. Another writer left a value that
# is not base64, and the exception from decoding it was not handled.
def test_value_that_is_not_base64_counts_as_empty() -> None:
    async def play() -> None:
        rows = Rows()
        rows.write(RowId("servers", "", "a"), "%%%")
        rows.write(RowId("servers", "", "aa"), "abc")
        rows.write(RowId("servers", "", "b"), "e30=")
        client = StoreClient(await serve(rows.build_app()))
        await client.start()
        page = (await client.read_table("servers")).ok
        assert [row.value for row in page.rows] == [b"", b"", b"{}"]
        changes = (await client.follow_table("servers", 0, 0.0)).ok
        assert [row.value for row in changes.rows] == [b"", b"", b"{}"]
        await client.stop()

    run(play())


# Guards against applying rows of another table or of an earlier call. The store answers
# a call twice, and the second answer stays on the connection that the next call reuses.
# An answer does not name the call that it belongs to.
def test_duplicate_answer_is_not_taken_for_the_next_one() -> None:
    async def play() -> None:
        pages = b'{"rows": [], "ver": 1}', b'{"rows": [], "ver": 2}'
        async with answer_twice(*pages) as address:
            client = StoreClient(address)
            await client.start()
            assert (await client.read_table("servers")).ok.version == 1
            await asyncio.sleep(3 * READ_SECONDS)
            assert (await client.read_table("op")).ok.version == 2
            await client.stop()

    run(play())


# Guards against requests to a host of another upstream, and a configuration in force
# that nobody wrote: a feed returns the rows of all parts of a table.
def test_rows_of_other_parts_are_left_out() -> None:
    async def play() -> None:
        rows = Rows()
        rows.write(RowId("servers", "", "h-1"), "e30=")
        client = StoreClient(await serve(rows.build_app()))
        await client.start()
        version = (await client.read_table("servers")).ok.version
        rows.write(RowId("servers", "plan", "h-1"), "eA==")
        foreign = (await client.follow_table("servers", version, 0.0)).ok
        assert not foreign.rows
        assert foreign.version > version
        rows.write(RowId("servers", "", "h-2"), "e30=")
        rows.write(RowId("servers", "plan", "h-1"), None)
        own = (await client.follow_table("servers", foreign.version, 0.0)).ok
        assert [row.key for row in own.rows] == ["h-2"]
        page = (await client.read_table("servers")).ok
        assert [row.key for row in page.rows] == ["h-1", "h-2"]
        await client.stop()

    run(play())
