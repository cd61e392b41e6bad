"""Tests of the rows that hold where streams began, for when no gateway remembers it."""

import asyncio
from itertools import count
from typing import NamedTuple

import pytest

from radishtally.gateway.origin_store import (
    MAX_STREAMS_PER_ROW,
    PARTITION,
    PRUNE_MARGIN_SECONDS,
    READ_SECONDS,
    Begin,
    OriginStore,
)
from radishtally.links.gateway_messages import RememberedStream, StreamsBegun
from radishtally.serving.origins import hash_stream
from radishtally.store.core import Key, Put
from tests.common import MemoryTable, run

LIFE_SECONDS = 20.0


class Clock:
    now = 1_000.0

    def __call__(self) -> float:
        return self.now


class Scene(NamedTuple):
    """The store of one gateway, with its table and clock."""

    origins: OriginStore
    table: MemoryTable
    clock: Clock
    ambiguous: set[str]
    """Upstreams whose streams may have begun at several versions."""
    writers: set[str]
    """Gateways that write for their data centre."""

    def begin(self, *names: str, version: str = "v1", upstream: str = "llm") -> None:
        """Record that streams have begun."""
        streams = tuple(
            RememberedStream(hash_stream(name), LIFE_SECONDS, 0.0) for name in names
        )
        self.origins.add(StreamsBegun(upstream, version, "host", streams))

    def count_rows(self) -> int:
        return len(self.table.rows.query(PARTITION, "", "", 10_000, False))


def make_scene(table: MemoryTable | None = None, name: str = "g-1") -> Scene:
    table, clock, writes = table or MemoryTable(), Clock(), count(1)
    ambiguous, writers = {"llm"}, {name}
    origins = OriginStore(
        table,
        lambda: f"{name}-{next(writes)}",
        ambiguous.__contains__,
        lambda: name in writers,
        clock,
        clock,
    )
    return Scene(origins, table, clock, ambiguous, writers)


async def find(scene: Scene, name: str) -> Begin | None:
    return await scene.origins.find(hash_stream(name))


# Guards against streams that are refused as no gateway is left that remembers them.
def test_origins_outlive_the_gateway_that_wrote_them() -> None:
    async def scenario() -> None:
        scene = make_scene()
        scene.begin("a", "b")
        scene.begin("c", version="v2")
        assert await scene.origins.write()
        other = make_scene(scene.table, "g-2")
        found = [await find(other, name) for name in ("a", "b", "c", "d")]
        v1, v2 = Begin("llm", "v1"), Begin("llm", "v2")
        assert found == [v1, v1, v2, None]

    run(scenario())


# Guards against calls to the store for streams whose route tells where they began, and
# from each gateway of a data centre.
@pytest.mark.parametrize("is_writer", [True, False])
def test_nothing_is_written_without_need(is_writer: bool) -> None:
    async def scenario() -> None:
        scene = make_scene()
        scene.begin("a")
        (scene.ambiguous if is_writer else scene.writers).clear()
        assert await scene.origins.write()
        assert scene.table.transactions == 0
        # Both may change while the stream can still be resumed.
        scene.ambiguous.add("llm")
        scene.writers.add("g-1")
        assert await scene.origins.write()
        assert await find(scene, "a") == Begin("llm", "v1")
        assert await scene.origins.write()
        assert scene.table.transactions == 1

    run(scenario())


# Guards against processor time that grows with the streams while nothing is written.
def test_streams_that_need_not_be_written_are_not_looked_up() -> None:
    class CountingDict(dict):
        lookups = 0

        def __getitem__(self, key: bytes) -> object:
            self.lookups += 1
            return super().__getitem__(key)

    async def scenario() -> None:
        scene = make_scene()
        scene.begin(*(f"s-{n}" for n in range(100)))
        scene.ambiguous.clear()
        streams = scene.origins._streams = CountingDict(scene.origins._streams)
        assert await scene.origins.write()
        assert streams.lookups == 0

    run(scenario())


# Guards against a write each interval for a stream that two gateways tell differently.
def test_stream_of_two_upstreams_is_unknown_and_written_once() -> None:
    async def scenario() -> None:
        scene = make_scene()
        scene.ambiguous.add("other")
        scene.begin("a")
        await scene.origins.write()
        scene.begin("a", upstream="other")
        for _ in range(3):
            await scene.origins.write()
        assert scene.table.transactions == 2
        assert await find(make_scene(scene.table), "a") is None

    run(scenario())


# Guards against a stream that goes on at a version that has come into doubt, or that
# two gateways tell differently.
@pytest.mark.parametrize("version", ["", "v2"])
def test_contradicting_origins_are_unknown(version: str) -> None:
    async def scenario() -> None:
        scene = make_scene()
        scene.begin("a")
        await scene.origins.write()
        scene.begin("a", version=version)
        await scene.origins.write()
        assert await find(make_scene(scene.table), "a") is None

    run(scenario())


# Guards against a doubt about a stream that comes after all rows were read.
def test_doubt_after_a_read_is_seen() -> None:
    async def scenario() -> None:
        scene = make_scene()
        scene.begin("a", "b")
        await scene.origins.write()
        other = make_scene(scene.table, "g-2")
        assert await find(other, "a") == Begin("llm", "v1")
        scene.begin("b", version="")
        await scene.origins.write()
        other.clock.now += READ_SECONDS
        assert await find(other, "b") is None
        assert await find(other, "a") == Begin("llm", "v1")

    run(scenario())


# Guards against a row of another writer that hides all origins, or ends its reader.
@pytest.mark.parametrize(
    "value",
    [
        {},
        {"expires": 1e999, "origins": 7},
        {"expires": 10**400, "origins": []},
        {"expires": 5, "origins": [{"upstream": "llm", "version": 3, "streams": []}]},
        {
            "expires": 5,
            "origins": [{"upstream": "llm", "version": "v2", "streams": ["*"]}],
        },
    ],
)
def test_invalid_row_names_no_origin(value: dict[str, object]) -> None:
    async def scenario() -> None:
        scene = make_scene()
        scene.table.rows.apply([Put(Key(PARTITION, "x"), value, 0)], "foreign")
        scene.begin("a")
        await scene.origins.write()
        assert await find(scene, "a") == Begin("llm", "v1")
        await scene.origins._prune()

    run(scenario())


# Guards against origins that are lost in an outage or a restore of the store.
def test_origins_are_written_again_after_trouble_of_the_store() -> None:
    async def scenario() -> None:
        scene = make_scene()
        scene.begin("a")
        scene.table.down = True
        assert not await scene.origins.write()
        assert await find(scene, "a") is None
        scene.table.down = False
        scene.table.lose_replies = 1
        assert not await scene.origins.write()
        assert await scene.origins.write()
        assert await find(scene, "a") == Begin("llm", "v1")
        scene.origins._table = scene.table.__class__()
        scene.origins.enter_era()
        assert await find(scene, "a") is None
        assert await scene.origins.write()
        scene.clock.now += 1.0
        assert await find(scene, "a") == Begin("llm", "v1")

    run(scenario())


# Guards against rows that pile up, also those of gateways that are gone.
def test_old_rows_are_removed() -> None:
    async def scenario() -> None:
        scene = make_scene()
        scene.begin("a")
        await scene.origins.write()
        other = make_scene(scene.table, "g-2")
        other.begin("b")
        await other.origins.write()
        assert scene.count_rows() == 2
        other.clock.now += LIFE_SECONDS
        await other.origins._prune()
        assert scene.count_rows() == 2
        other.clock.now += PRUNE_MARGIN_SECONDS + 1.0
        await other.origins._prune()
        assert scene.count_rows() == 0
        # Nothing is left to write of streams that can't be resumed any longer.
        await other.origins.write()
        assert scene.count_rows() == 0

    run(scenario())


# Guards against rows above the store's size.
def test_many_streams_are_written_in_rows_of_bounded_size() -> None:
    async def scenario() -> None:
        scene = make_scene()
        scene.begin(*(f"s-{n}" for n in range(2 * MAX_STREAMS_PER_ROW + 1)))
        await scene.origins.write()
        assert scene.count_rows() == 3
        assert scene.table.transactions == 1

    run(scenario())


# Guards against a call to the store for each of many streams that are taken up at once.
def test_streams_that_are_taken_up_together_share_a_read() -> None:
    async def scenario() -> None:
        scene = make_scene()
        scene.begin(*(f"s-{n}" for n in range(24)))
        await scene.origins.write()
        reads = []
        query = scene.table.query

        async def count_reads(*args: object, **more: object) -> object:
            reads.append(args)
            return await query(*args, **more)

        scene.table.query = count_reads
        found = await asyncio.gather(*(find(scene, f"s-{n}") for n in range(24)))
        assert found == [Begin("llm", "v1")] * 24
        assert len(reads) == 1

    run(scenario())
