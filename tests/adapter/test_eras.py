"""Tests of store calls across restores, each of which begins a new era."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from adapter.store import StoreClient
from aiohttp import web

from radishtally.store.core import Unavailable
from standins.rows import ERA_HEADER, RowId, Rows
from tests.common import run
from tests.gateway.common import WAIT_SECONDS, serve, wait_until

HOST = RowId("servers", "", "h")
HOSTS = 600
PAGE = {"rows": [], "ver": 1}


@asynccontextmanager
async def connect(app: web.Application) -> AsyncIterator[StoreClient]:
    """Run a client of a store, and collect its reports in `era_changes`."""
    client = StoreClient(await serve(app))
    client.era_changes = []
    client.on_era.append(lambda *eras: client.era_changes.append((*eras, client.era)))
    await client.start()
    async with asyncio.timeout(WAIT_SECONDS):
        yield client
    await client.stop()


def build_scripted(answers) -> web.Application:
    """Build a store whose n-th answer names the n-th era once its gate is open."""
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
    """Collect the client's log messages."""
    lines = []

    def collect(kind, **fields):
        lines.append({"message_type": kind, **fields})

    monkeypatch.setattr("adapter.store.log_message", collect)
    return lines


def test_first_era_is_reported_and_its_answer_accepted() -> None:
    async def play() -> None:
        async with connect(Rows(era=4).build_app()) as client:
            assert client.era == 0
            assert (await client.read_table("servers")).is_ok()
            assert (await client.read_table("servers")).is_ok()
            assert client.era_changes == [(0, 4, 4)]

    run(play())


def test_store_without_eras_stays_in_era_zero() -> None:
    async def play() -> None:
        rows = Rows()
        async with connect(rows.build_app()) as client:
            assert (await client.read_table("servers")).is_ok()
            rows.restore(rows.take_snapshot())
            assert (await client.transact([], [], [])).ok.status == 200
            assert (client.era, client.era_changes) == (0, [])

    run(play())


# Guards against using a version of the replaced state, or counting a lost write as
# applied. A call was sent before a restore and answered after it. The answer does not
# show which of the two states it refers to, so it is an error and has to be repeated.
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
            rows.restore(rows.take_snapshot())
            assert is_unavailable(await calls[name]())
            assert client.era_changes == [(0, 1, 1), (1, 2, 2)]
            assert (await calls[name]()).is_ok()

    run(play())


# An error answer shows the new era too. Otherwise a feed from a version that the
# restored store has not assigned yet would count as one whose history was compacted.
def test_error_answer_in_another_era_shows_the_era() -> None:
    async def play() -> None:
        rows = Rows(era=1)
        async with connect(rows.build_app()) as client:
            copy = rows.take_snapshot()
            version = rows.write(HOST, "e30=")
            assert (await client.read_table("servers")).is_ok()
            rows.restore(copy)
            assert is_unavailable(await client.follow_table("servers", version, 0.0))
            assert client.era == 2

    run(play())


# Guards against routing to a host that has left for as long as a feed may be held. The
# store was restored while a feed call was in flight, and its connection stays silent.
# Another call shows the new era, and has to abort all calls in flight.
def test_calls_in_flight_are_aborted_when_the_era_changes() -> None:
    async def play() -> None:
        silent, paths = asyncio.Event(), []

        async def answer(request: web.Request) -> web.Response:
            paths.append(request.path)
            if request.path != "/api/rows-get":
                await silent.wait()
            era = "1" if len(paths) == 1 else "2"
            return web.json_response(PAGE, headers={ERA_HEADER: era})

        app = web.Application()
        app.router.add_route("*", "/api/{name}", answer)
        async with connect(app) as client:
            assert (await client.read_table("servers")).is_ok()
            out = [
                asyncio.create_task(client.follow_table("servers", 1, 3600.0)),
                asyncio.create_task(client.transact([], [], [])),
            ]
            await wait_until(lambda: len(paths) == 3)
            assert is_unavailable(await client.read_table("op"))
            assert all(map(is_unavailable, await asyncio.gather(*out)))
            assert client.era_changes == [(0, 1, 1), (1, 2, 2)]
            assert (await client.read_table("op")).is_ok()

    run(play())


# The first era that is seen ends no earlier one. Otherwise the first reads of a gateway
# that starts would abort each other.
def test_first_era_does_not_abort_calls_in_flight() -> None:
    async def play() -> None:
        late = asyncio.Event()
        app = build_scripted([("1", late), ("1", open_gate())])
        async with connect(app) as client:
            reads = [
                asyncio.create_task(client.read_table(table))
                for table in ("servers", "op")
            ]
            await wait_until(lambda: client.era)
            late.set()
            assert all(read.is_ok() for read in await asyncio.gather(*reads))
            assert client.era_changes == [(0, 1, 1)]

    run(play())


# Guards against returning to state that the restore has removed. An answer of the old
# era arrives after one of the new era; it is rejected, and both eras are logged.
def test_answer_of_an_older_era_is_rejected(logs) -> None:
    async def play() -> None:
        gates = [open_gate() for _ in range(3)]
        app = build_scripted(zip(["2", "1", "2"], gates, strict=True))
        async with connect(app) as client:
            assert (await client.read_table("servers")).is_ok()
            assert is_unavailable(await client.read_table("servers"))
            assert (await client.read_table("servers")).is_ok()
            assert client.era_changes == [(0, 2, 2)]

    run(play())
    assert list_messages(logs, "store:era_outdated") == [
        {
            "message_type": "store:era_outdated",
            "call": "rows-get",
            "era": 1,
            "newest": 2,
        }
    ]


# Guards against rejecting all later answers because a proxy garbled the header once and
# its value was taken for an era far ahead.
@pytest.mark.parametrize(
    "text", ["", "x", "-1", "1.5", "+2", "٣", "9" * 19, "9" * 5000]
)
def test_invalid_era_header_is_ignored(logs, text: str) -> None:
    async def play() -> None:
        gates = [open_gate() for _ in range(4)]
        app = build_scripted(zip([text, "1", text, "1"], gates, strict=True))
        async with connect(app) as client:
            for _ in range(4):
                assert (await client.read_table("servers")).is_ok()
            assert client.era_changes == [(0, 1, 1)]

    run(play())
    assert len(list_messages(logs, "store:era_unreadable")) == 1


# Guards against routing to a removed host indefinitely. A long table is read in several
# pages, and the store is restored between them, so that rows of two states are mixed.
def test_pages_of_two_eras_are_not_joined() -> None:
    async def play(is_seen_between: bool) -> None:
        rows = Rows(era=1)
        for number in range(HOSTS):
            rows.write(RowId("servers", "", f"h{number:04}"), "e30=")
        async with connect(rows.build_app()) as client:
            assert (await client.read_table("op")).is_ok()
            read_page = client._read_page

            async def read_first(*args):
                client._read_page = read_page
                page = await read_page(*args)
                rows.restore(rows.take_snapshot())
                if is_seen_between:
                    await client.read_table("op")
                return page

            client._read_page = read_first
            assert is_unavailable(await client.read_table("servers"))
            assert client.era == 2
            assert len((await client.read_table("servers")).ok.rows) == HOSTS

    run(play(False))
    run(play(True))
