"""Tests of the row that holds from which versions streams may have begun."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from itertools import count
from typing import NamedTuple

import pytest

from radishtally.direct.core import Instance
from radishtally.gateway import source_recorder
from radishtally.gateway.source_recorder import SOURCES_KEY, SourceRecorder
from radishtally.outcome import Result
from radishtally.routes.core import Route, RouteKind, Split
from radishtally.serving.origins import CHANGE_RETENTION_SECONDS
from radishtally.serving.sources import Source, UsableSources, merge_sources
from radishtally.store.core import Key, Put, ReadError, Row
from tests.common import MemoryTable, run

ROUTE = "desk.example/draft/"
FIRST = Source(ROUTE, "llm", "v1")
NEXT = Source(ROUTE, "llm", "v2")
SOLE = {"upstream": "llm", "version": "v1"}


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


class Scene(NamedTuple):
    """A recorder with its table and clock."""

    recorder: SourceRecorder
    usable: UsableSources
    table: MemoryTable
    clock: Clock

    def read_routes(self) -> dict[str, object]:
        """Return what is stored."""
        row = self.table.rows.read(SOURCES_KEY)
        return {} if row is None else row.value["routes"]


def make_route(prefix: str, *upstreams: str) -> Route:
    """Make a route for streams that may be resumed."""
    splits = tuple(Split(upstream, 1.0) for upstream in upstreams)
    return Route(
        "draft", "desk.example", prefix, RouteKind.STREAM, splits, 5.0, 1.0, 1, 2, True
    )


def make_host(version: str, upstream: str = "llm") -> Instance:
    return Instance(
        f"{upstream}-{version}",
        upstream,
        "127.0.0.1:1",
        "howrah",
        False,
        0,
        "decode",
        version=version,
    )


@asynccontextmanager
async def run_recorder(table: MemoryTable | None = None) -> AsyncIterator[Scene]:
    """Run the recorder of one gateway in front of a table."""
    table, clock, usable = table or MemoryTable(), Clock(), UsableSources()
    writes = count(1)
    recorder = SourceRecorder(table, lambda: f"w-{next(writes)}", usable, clock)
    recorder.configure([make_route("/draft/", "llm")])
    running = asyncio.create_task(recorder.run())
    yield Scene(recorder, usable, table, clock)
    running.cancel()
    with suppress(asyncio.CancelledError):
        await running


async def wait_for(condition) -> None:  # noqa: ANN001
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


# Guards against streams that begin at a version which the store does not show: after a
# kill of all gateways they would go on at the other one.
def test_streams_begin_at_a_version_only_once_it_is_recorded() -> None:
    async def scenario() -> None:
        async with run_recorder() as scene:
            scene.recorder.note_host("llm", "v1")
            assert not scene.usable.allows(FIRST)
            await wait_for(lambda: scene.usable.allows(FIRST))
            assert scene.read_routes() == {ROUTE: SOLE}
            assert await scene.recorder.find_sole(ROUTE) == FIRST
            scene.recorder.note_host("llm", "v2")
            assert not scene.usable.allows(NEXT)
            await wait_for(lambda: scene.usable.allows(NEXT))
            assert scene.read_routes() == {ROUTE: None}
            assert await scene.recorder.find_sole(ROUTE) is None

    run(scenario())


# Guards against a guess by the versions that serve after all gateways were killed.
@pytest.mark.parametrize("version", ["v1", "v2"])
def test_gateway_that_begins_again_keeps_what_is_stored(version: str) -> None:
    async def scenario() -> None:
        table = MemoryTable()
        async with run_recorder(table) as scene:
            scene.recorder.note_host("llm", "v1")
            await wait_for(lambda: scene.usable.allows(FIRST))
        async with run_recorder(table) as scene:
            scene.recorder.note_host("llm", version)
            await wait_for(lambda: scene.usable.allows(Source(ROUTE, "llm", version)))
            sole = await scene.recorder.find_sole(ROUTE)
            assert sole == (FIRST if version == "v1" else None)

    run(scenario())


# Guards against streams that are refused for as long as the store is away.
def test_streams_begin_after_a_while_at_a_version_that_cannot_be_recorded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(source_recorder, "WAIT_SECONDS", 0.05)

    async def scenario() -> None:
        async with run_recorder() as scene:
            scene.table.down = True
            scene.recorder.note_host("llm", "v1")
            await wait_for(lambda: scene.usable.allows(FIRST))
            assert await scene.recorder.find_sole(ROUTE) is None
            scene.table.down = False
            await wait_for(lambda: scene.read_routes() == {ROUTE: SOLE})

    run(scenario())


# Guards against a store that comes back from an older copy, without a newer version.
def test_sources_are_recorded_again_in_a_new_era(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(source_recorder, "ERA_READ_SPREAD_SECONDS", 0.0)

    async def scenario() -> None:
        async with run_recorder() as scene:
            scene.recorder.note_host("llm", "v1")
            scene.recorder.note_host("llm", "v2")
            await wait_for(lambda: scene.read_routes() == {ROUTE: None})
            row = scene.table.rows.read(SOURCES_KEY)
            older = Put(SOURCES_KEY, {"routes": {ROUTE: SOLE}}, row.rev)
            scene.table.rows.apply([older], "restored")
            scene.recorder.enter_era()
            await wait_for(lambda: scene.read_routes() == {ROUTE: None})

    run(scenario())


# Guards against a route that is taken to have several sources forever after a release,
# and against one that is settled while streams of the former version may last.
def test_route_has_a_sole_source_again_long_after_a_release() -> None:
    async def scenario() -> None:
        async with run_recorder() as scene:
            scene.recorder.review([make_host("v1"), make_host("v2")])
            await wait_for(lambda: scene.read_routes() == {ROUTE: None})
            for now in range(0, int(CHANGE_RETENTION_SECONDS), 30):
                scene.clock.now = float(now)
                scene.recorder.review([make_host("v2")])
            await asyncio.sleep(0.05)
            assert scene.read_routes() == {ROUTE: None}
            scene.clock.now = CHANGE_RETENTION_SECONDS
            scene.recorder.review([make_host("v2")])
            sole = {"upstream": "llm", "version": "v2"}
            await wait_for(lambda: scene.read_routes() == {ROUTE: sole})
            # The former version has to be recorded anew if it returns.
            scene.recorder.note_host("llm", "v1")
            assert not scene.usable.allows(FIRST)
            await wait_for(lambda: scene.read_routes() == {ROUTE: None})

    run(scenario())


# Guards against a gateway without a list, which settles a route by what it last saw.
def test_time_without_a_current_list_settles_nothing() -> None:
    async def scenario() -> None:
        async with run_recorder() as scene:
            scene.recorder.review([make_host("v1"), make_host("v2")])
            await wait_for(lambda: scene.read_routes() == {ROUTE: None})
            for now in (0.0, CHANGE_RETENTION_SECONDS):
                scene.clock.now = now
                scene.recorder.review([make_host("v2")])
            await asyncio.sleep(0.05)
            assert scene.read_routes() == {ROUTE: None}

    run(scenario())


# Guards against another writer's bytes in the row: what it showed of other versions is
# lost, so that no route may have a sole source.
def test_invalid_row_shows_no_sole_source() -> None:
    async def scenario() -> None:
        async with run_recorder() as scene:
            put = Put(SOURCES_KEY, {"routes": {ROUTE: {"upstream": 7}}}, 0)
            scene.table.rows.apply([put], "foreign")
            assert await scene.recorder.find_sole(ROUTE) is None
            scene.recorder.note_host("llm", "v1")
            await wait_for(lambda: scene.usable.allows(FIRST))
            assert await scene.recorder.find_sole(ROUTE) is None

    run(scenario())


@pytest.mark.parametrize(
    ("stored", "used", "merged"),
    [
        ({}, [FIRST], SOLE),
        ({}, [FIRST, NEXT], None),
        ({ROUTE: SOLE}, [FIRST], SOLE),
        ({ROUTE: SOLE}, [NEXT], None),
        ({ROUTE: SOLE}, [FIRST._replace(upstream="other")], None),
        ({ROUTE: None}, [FIRST], None),
        # Its requests were those of the other route before.
        ({"desk.example/": SOLE}, [FIRST], None),
        ({"desk.example/draft/new/": SOLE}, [FIRST], None),
        ({"desk.example/book/": SOLE}, [FIRST], SOLE),
    ],
)
def test_merge_of_sources(stored: dict, used: list[Source], merged: object) -> None:
    assert merge_sources(stored, used) == {**stored, ROUTE: merged}


# Guards against a version that comes up just as another one is settled: streams begin
# at both, but the store shows one.
def test_version_that_returns_as_another_is_settled_is_recorded() -> None:
    async def scenario() -> None:
        async with run_recorder() as scene:
            scene.recorder.review([make_host("v1"), make_host("v2")])
            await wait_for(lambda: scene.read_routes() == {ROUTE: None})
            for now in range(0, int(CHANGE_RETENTION_SECONDS) + 30, 30):
                scene.clock.now = float(now)
                scene.recorder.review([make_host("v2")])
            scene.recorder.note_host("llm", "v1")
            await wait_for(lambda: scene.usable.allows(FIRST))
            assert scene.read_routes() == {ROUTE: None}

    run(scenario())


# Guards against a call to the store for each of many streams that are taken up at once.
def test_streams_that_are_taken_up_together_share_a_read() -> None:
    class Counted(MemoryTable):
        reads = 0

        async def get(self, key: Key) -> Result[Row | None, ReadError]:
            self.reads += 1
            return await super().get(key)

    async def scenario() -> None:
        async with run_recorder(Counted()) as scene:
            scene.recorder.note_host("llm", "v1")
            await wait_for(lambda: scene.usable.allows(FIRST))
            scene.table.reads = 0
            found = [scene.recorder.find_sole(ROUTE) for _ in range(24)]
            assert await asyncio.gather(*found) == [FIRST] * 24
            assert scene.table.reads == 1

    run(scenario())
