"""Tests of calls to a store that is restored from an older copy."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from adapter.store import StoreClient
from aiohttp import web

from radishtally.store.core import Unavailable
from standins.rows import ERA_HEADER, Name, Rows
from tests.common import run
from tests.gateway.common import WAIT_SECONDS, serve, wait_until

HOST = Name("servers", "", "h")
HOSTS = 600
PAGE = {"rows": [], "ver": 1}


@asynccontextmanager
async def connect(app: web.Application) -> AsyncIterator[StoreClient]:
    """Run a client before a store, and keep the rises that it tells in `told`."""
    client = StoreClient(await serve(app))
    client.told = []
    client.on_era.append(lambda *eras: client.told.append((*eras, client.era)))
    await client.start()
    async with asyncio.timeout(WAIT_SECONDS):
        yield client
    await client.stop()


def build_scripted(answers) -> web.Application:
    """Build a store whose n-th answer names the n-th era and comes when it may."""
    turns = iter(answers)

    async def answer(request: web.Request) -> web.Response:
        era, gate = next(turns)
        await gate.wait()
        headers = {} if era is None else {ERA_HEADER: era}
        return web.json_response(PAGE, headers=headers)

    app = web.Application()
    app.router.add_route("*", "/api/{name}", answer)
    return app


def open_gate() -> asyncio.Event:
    gate = asyncio.Event()
    gate.set()
    return gate


def is_unavailable(result) -> bool:
    return result.is_error() and isinstance(result.error, Unavailable)


def list_messages(logs, kind):
    return [line for line in logs if line["message_type"] == kind]


@pytest.fixture
def logs(monkeypatch):
    """Keep what the client logs."""
    lines = []

    def keep(kind, **fields):
        lines.append({"message_type": kind, **fields})

    monkeypatch.setattr("adapter.store.log_message", keep)
    return lines


def test_first_era_is_told_and_its_answer_taken() -> None:
    async def play() -> None:
        async with connect(Rows(era=4).build_app()) as client:
            assert client.era == 0
            assert (await client.read_table("servers")).is_ok()
            assert (await client.read_table("servers")).is_ok()
            assert client.told == [(0, 4, 4)]

    run(play())


def test_store_without_eras_is_in_one_for_ever() -> None:
    async def play() -> None:
        rows = Rows()
        async with connect(rows.build_app()) as client:
            assert (await client.read_table("servers")).is_ok()
            rows.restore(rows.take_copy())
            assert (await client.transact([], [], [])).ok.status == 200
            assert (client.era, client.told) == (0, [])

    run(play())


# A gateway goes by a version of a store that no longer is, or takes a write for done
# that is lost: the answer to a call from before the restore was made behind it. Which
# of the two stores it speaks of can't be told, so it is an error, and is asked again.
@pytest.mark.parametrize("name", ["read", "write", "follow"])
def test_call_answered_in_another_era_fails(name: str) -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with connect(rows.build_app()) as client:
            calls = {
                "read": lambda: client.read_table("servers"),
                "write": lambda: client.transact([], [], []),
                "follow": lambda: client.follow_table("servers", 0, 0.0),
            }
            assert (await calls[name]()).is_ok()
            rows.restore(rows.take_copy())
            assert is_unavailable(await calls[name]())
            assert client.told == [(0, 1, 1), (1, 2, 2)]
            assert (await calls[name]()).is_ok()

    run(play())


# Also a refusal tells of the restore: a feed behind a version that the store has not
# given out yet would else be taken for one whose history is merely gone.
def test_refusal_in_another_era_tells_the_era() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with connect(rows.build_app()) as client:
            copy = rows.take_copy()
            version = rows.write(HOST, "e30=")
            assert (await client.read_table("servers")).is_ok()
            rows.restore(copy)
            assert is_unavailable(await client.follow_table("servers", version, 0.0))
            assert client.era == 2

    run(play())


# A host that has left gets work for as long as a feed may be held: the store was
# restored while a feed was out on a connection that lives on, and says nothing there.
# Another call has shown the new era long since; it ends all that are out.
def test_calls_that_are_out_end_when_the_era_rises() -> None:
    async def play() -> None:
        silent, asked = asyncio.Event(), []

        async def answer(request: web.Request) -> web.Response:
            asked.append(request.path)
            if request.path != "/api/rows-get":
                await silent.wait()
            era = "1" if len(asked) == 1 else "2"
            return web.json_response(PAGE, headers={ERA_HEADER: era})

        app = web.Application()
        app.router.add_route("*", "/api/{name}", answer)
        async with connect(app) as client:
            assert (await client.read_table("servers")).is_ok()
            out = [
                asyncio.create_task(client.follow_table("servers", 1, 3600.0)),
                asyncio.create_task(client.transact([], [], [])),
            ]
            await wait_until(lambda: len(asked) == 3)
            assert is_unavailable(await client.read_table("op"))
            assert all(map(is_unavailable, await asyncio.gather(*out)))
            assert client.told == [(0, 1, 1), (1, 2, 2)]
            assert (await client.read_table("op")).is_ok()

    run(play())


# At first sight of an era nothing has ended: a gateway that starts would lose its
# first reads to each other.
def test_calls_that_are_out_at_first_sight_go_on() -> None:
    async def play() -> None:
        late = asyncio.Event()
        app = build_scripted([("1", late), ("1", open_gate())])
        async with connect(app) as client:
            asked = [
                asyncio.create_task(client.read_table(table))
                for table in ("servers", "op")
            ]
            await wait_until(lambda: client.era)
            late.set()
            assert all(read.is_ok() for read in await asyncio.gather(*asked))
            assert client.told == [(0, 1, 1)]

    run(play())


# A gateway goes back to what was lost: an answer of the old era comes behind one of
# the new. It is not believed, and leaves a line that names both.
def test_answer_of_an_older_era_is_not_believed(logs) -> None:
    async def play() -> None:
        gates = [open_gate() for _ in range(3)]
        app = build_scripted(zip(["2", "1", "2"], gates, strict=True))
        async with connect(app) as client:
            assert (await client.read_table("servers")).is_ok()
            assert is_unavailable(await client.read_table("servers"))
            assert (await client.read_table("servers")).is_ok()
            assert client.told == [(0, 2, 2)]

    run(play())
    assert list_messages(logs, "store:era_outdated") == [
        {
            "message_type": "store:era_outdated",
            "call": "rows-get",
            "era": 1,
            "newest": 2,
        }
    ]


# An operator searches in vain why all answers are refused: something before the store
# garbled the header once, and its number was taken for an era far ahead.
@pytest.mark.parametrize(
    "text", ["", "x", "-1", "1.5", "+2", "٣", "9" * 19, "9" * 5000]
)
def test_header_that_is_no_whole_number_counts_as_none(logs, text: str) -> None:
    async def play() -> None:
        gates = [open_gate() for _ in range(4)]
        app = build_scripted(zip([text, "1", text, "1"], gates, strict=True))
        async with connect(app) as client:
            for _ in range(4):
                assert (await client.read_table("servers")).is_ok()
            assert client.told == [(0, 1, 1)]

    run(play())
    assert len(list_messages(logs, "store:era_unreadable")) == 1


# A host that was removed gets work for good: a long table is read in several answers,
# the store is restored between them, and rows of two stores are put together.
def test_pages_of_two_eras_are_not_joined() -> None:
    async def play(is_seen_between: bool) -> None:
        rows = Rows(era=1)
        for number in range(HOSTS):
            rows.write(Name("servers", "", f"h{number:04}"), "e30=")
        async with connect(rows.build_app()) as client:
            assert (await client.read_table("op")).is_ok()
            read_page = client._read_page

            async def read_first(*asked):
                client._read_page = read_page
                page = await read_page(*asked)
                rows.restore(rows.take_copy())
                if is_seen_between:
                    await client.read_table("op")
                return page

            client._read_page = read_first
            assert is_unavailable(await client.read_table("servers"))
            assert client.era == 2
            assert len((await client.read_table("servers")).ok.rows) == HOSTS

    run(play(False))
    run(play(True))
