"""What gateways write for each other, and read."""

import asyncio

import pytest
from eliot import add_destinations, remove_destination

from radishtally.gateway import registry
from radishtally.gateway.registry import PEER_SECRET_KEY, GatewayRegistry
from radishtally.gateway.topology import Site
from radishtally.outcome import Error, Result
from radishtally.store.core import (
    ABSENT,
    Conflict,
    Put,
    TableError,
    Unavailable,
    Unclear,
)
from tests.common import MemoryTable, run

AWAY = Unavailable("away")
OURS = {"secret": "ours"}
OTHERS = {"secret": "others"}


def make_registry(table: MemoryTable, host: str = "gateway-1") -> GatewayRegistry:
    return GatewayRegistry(table, host, Site("howrah", 0.8), "127.0.0.1:8104")


# The store gets calls without end from a gateway that is starting, just as it turns
# writes away for its load: the secret is not there yet, and can't be written.
def test_store_that_turns_writes_away_is_asked_again_after_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class Busy(MemoryTable):
        calls = 0

        async def transact(self, *_: object) -> Result:
            self.calls += 1
            await asyncio.sleep(0)
            return Error(Unavailable("too many calls"))

    async def scenario() -> None:
        table = Busy()
        monkeypatch.setattr(registry, "JOIN_POLL_SECONDS", 1000.0)
        finding = asyncio.create_task(make_registry(table).read_or_create_secret())
        for _ in range(50):
            await asyncio.sleep(0)
        finding.cancel()
        assert table.calls == 1

    run(scenario())


# Gateways that start after a restore never link to those from before it. The secret
# was lost with the store's newest writes, and the next one to start draws another.
def test_secret_in_use_is_written_again_where_none_stands() -> None:
    async def scenario() -> None:
        table = MemoryTable()
        assert await make_registry(table).read_or_create_secret("ours") == "ours"
        assert (await table.get(PEER_SECRET_KEY)).ok.value == OURS
        assert await make_registry(table, "gateway-2").read_or_create_secret() == "ours"

    run(scenario())


# Two groups of gateways go on under a secret each. A gateway that started after the
# restore has drawn another one first: all must take that one, as it never goes away.
def test_secret_that_stands_is_taken_by_those_that_know_another() -> None:
    async def scenario() -> None:
        table = MemoryTable()
        table.rows.apply([Put(PEER_SECRET_KEY, OTHERS, ABSENT)], "w")
        assert await make_registry(table).read_or_create_secret("ours") == "others"
        assert (await table.get(PEER_SECRET_KEY)).ok.value == OTHERS

    run(scenario())


# As above, but the other one is written between this gateway's read, which finds none,
# and its write. Written without a condition, it would replace what others have read.
def test_secret_that_came_first_is_taken() -> None:
    class Raced(MemoryTable):
        async def transact(self, *args: object) -> Result:
            self.rows.apply([Put(PEER_SECRET_KEY, OTHERS, ABSENT)], "w")
            return await super().transact(*args)

    async def scenario() -> None:
        table = Raced()
        assert await make_registry(table).read_or_create_secret("ours") == "others"
        assert (await table.get(PEER_SECRET_KEY)).ok.value == OTHERS

    run(scenario())


# Writes of before the restore end unclear, and so may those behind it. The secret is
# neither given up nor drawn anew then: it is asked for until it stands.
@pytest.mark.parametrize("fault", ["lose_replies", "drop_writes"])
def test_secret_whose_write_is_unclear_is_asked_for_until_it_stands(
    fault: str,
) -> None:
    async def scenario() -> None:
        table = MemoryTable()
        setattr(table, fault, 1)
        assert await make_registry(table).read_or_create_secret("ours") == "ours"
        assert (await table.get(PEER_SECRET_KEY)).ok.value == OURS

    run(scenario())


# The process ends, or the others never find this gateway. Its row was read before the
# restore, so the write under that revision is turned away or left open: it reads the
# row again, says so in the log, and writes under what stands now.
@pytest.mark.parametrize("error", [Conflict((0,)), Unclear("older era"), AWAY])
def test_own_row_is_written_though_a_new_era_turns_a_write_away(
    error: TableError, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Restored(MemoryTable):
        errors = [error]

        async def transact(self, *args: object) -> Result:
            if self.errors:
                return Error(self.errors.pop())
            return await super().transact(*args)

    async def scenario() -> None:
        monkeypatch.setattr(registry, "JOIN_POLL_SECONDS", 0.0)
        table, logged = Restored(), []
        add_destinations(logged.append)
        logged.clear()
        assert not await make_registry(table).write_own_row()
        remove_destination(logged.append)
        assert await make_registry(table).write_own_row()
        assert not table.errors
        lines = [line for line in logged if line["message_type"] == "peers:not_joined"]
        settled = [] if isinstance(error, Unclear) else [str(error)]
        assert [line["reason"] for line in lines] == settled

    run(scenario())


# As above: a write that is left open until its time is over is not taken for done.
def test_own_row_whose_write_stays_unclear_is_read_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(registry, "JOIN_POLL_SECONDS", 0.0)
        monkeypatch.setattr(registry, "WRITE_SECONDS", 0.01)
        table, logged = MemoryTable(), []
        table.drop_writes = 1_000_000
        add_destinations(logged.append)
        logged.clear()
        writing = asyncio.create_task(make_registry(table).write_own_row())
        async with asyncio.timeout(10.0):
            while not any("Unclear" in str(line.get("reason")) for line in logged):
                await asyncio.sleep(0.005)
        remove_destination(logged.append)
        assert not writing.done()
        table.drop_writes = 0
        assert not await writing
        assert await make_registry(table).write_own_row()

    run(scenario())
