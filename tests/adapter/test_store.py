"""Tests of calls to the platform's store."""

import asyncio

import pytest
from adapter.store import StoreClient
from aiohttp import web

from standins.rows import Name, Rows
from tests.common import READ_SECONDS, answer_twice, run
from tests.gateway.common import WAIT_SECONDS, serve

HOSTS = 600


# A host that has left gets work for good: its entry was removed while a long list was
# read in several answers, behind the one it stood in; the changes are then followed
# from the newest version, and the removal lies before that.
def test_change_while_a_long_table_is_read_is_not_missed() -> None:
    async def play() -> None:
        rows = Rows()
        for number in range(HOSTS):
            rows.write(Name("servers", "", f"h{number:04}"), "e30=")
        client = StoreClient(await serve(rows.build_app()))
        await client.start()
        read_page = client._read_page

        async def read_first(*asked):
            client._read_page = read_page
            page = await read_page(*asked)
            rows.write(Name("servers", "", "h0000"), None)
            return page

        client._read_page = read_first
        page = (await client.read_table("servers")).ok
        assert len(page.rows) == HOSTS
        changes = (await client.follow_table("servers", page.version, 0.0)).ok
        assert [(row.key, row.value) for row in changes.rows] == [("h0000", None)]
        await client.stop()

    run(play())


# A gateway learns of a host's leaving seconds late: the store was back, but the
# question that was to tell so had been asked before, and its answer never came.
def test_question_whose_answer_is_lost_is_given_up_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("adapter.store.CALL_SECONDS", 3600.0)
    monkeypatch.setattr("adapter.store.ANSWER_SECONDS", 0.05, raising=False)

    async def keep_silent(request: web.Request) -> web.Response:
        return await asyncio.Event().wait()

    async def play() -> None:
        app = web.Application()
        app.router.add_get("/api/rows-feed", keep_silent)
        client = StoreClient(await serve(app))
        await client.start()
        async with asyncio.timeout(WAIT_SECONDS):
            asked = await client.follow_table("servers", 4, 0.0)
        assert asked.is_error()
        await client.stop()

    run(play())


# A gateway ends, and ends again at each start: a value by another writer is no base64,
# and the error that this raises is taken by nobody.
def test_value_that_is_no_base64_is_an_empty_one() -> None:
    async def play() -> None:
        rows = Rows()
        rows.write(Name("servers", "", "a"), "%%%")
        rows.write(Name("servers", "", "aa"), "abc")
        rows.write(Name("servers", "", "b"), "e30=")
        client = StoreClient(await serve(rows.build_app()))
        await client.start()
        page = (await client.read_table("servers")).ok
        assert [row.value for row in page.rows] == [b"", b"", b"{}"]
        changes = (await client.follow_table("servers", 0, 0.0)).ok
        assert [row.value for row in changes.rows] == [b"", b"", b"{}"]
        await client.stop()

    run(play())


# A gateway goes by rows of another table, or of another time: the store answers a
# question twice, and the second answer waits on the connection that the next question
# takes. Nothing in an answer says which question it belongs to.
def test_second_answer_of_the_store_is_not_taken_for_the_next_one() -> None:
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
