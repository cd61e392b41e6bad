"""Tests of the gateways' rows and shared secret in the store."""

import asyncio

import pytest
from eliot import add_destinations, remove_destination

from radishtally.gateway import registry
from radishtally.gateway.registry import (
    GATEWAYS_PARTITION,
    PEER_SECRET_KEY,
    GatewayRegistry,
    read_site,
)
from radishtally.gateway.topology import Site
from radishtally.outcome import Error, Result
from radishtally.store.core import (
    ABSENT,
    Conflict,
    Key,
    Put,
    Row,
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


# Guards against a busy loop of calls to an overloaded store: the secret is missing and
# the store rejects the write.
def test_rejected_write_is_retried_after_a_delay(
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


# Guards against gateways that can't link to each other: the secret is lost in a restore
# of the store, and the next gateway that starts generates another one.
def test_secret_in_use_is_written_again_if_missing() -> None:
    async def scenario() -> None:
        table = MemoryTable()
        assert await make_registry(table).read_or_create_secret("ours") == "ours"
        assert (await table.get(PEER_SECRET_KEY)).ok.value == OURS
        assert await make_registry(table, "gateway-2").read_or_create_secret() == "ours"

    run(scenario())


# Guards against two groups of gateways with different secrets: a gateway that started
# after the restore has stored another one. All must adopt it, as it is never changed.
def test_stored_secret_is_adopted_by_gateways_with_another_one() -> None:
    async def scenario() -> None:
        table = MemoryTable()
        table.rows.apply([Put(PEER_SECRET_KEY, OTHERS, ABSENT)], "w")
        assert await make_registry(table).read_or_create_secret("ours") == "others"
        assert (await table.get(PEER_SECRET_KEY)).ok.value == OTHERS

    run(scenario())


# As above, but the other secret is written between this gateway's read, which finds
# none, and its write. An unconditional write would replace a secret in use.
def test_secret_that_was_stored_first_is_adopted() -> None:
    class Raced(MemoryTable):
        async def transact(self, *args: object) -> Result:
            self.rows.apply([Put(PEER_SECRET_KEY, OTHERS, ABSENT)], "w")
            return await super().transact(*args)

    async def scenario() -> None:
        table = Raced()
        assert await make_registry(table).read_or_create_secret("ours") == "others"
        assert (await table.get(PEER_SECRET_KEY)).ok.value == OTHERS

    run(scenario())


# Guards against gateways that end because another writer has replaced the secret.
@pytest.mark.parametrize("value", [{}, {"secret": 7}, {"secret": ""}, {"secret": [[]]}])
def test_invalid_secret_is_replaced(value: dict[str, object]) -> None:
    async def scenario() -> None:
        table = MemoryTable()
        table.rows.apply([Put(PEER_SECRET_KEY, value, ABSENT)], "w")
        assert await make_registry(table).read_or_create_secret("ours") == "ours"
        assert (await table.get(PEER_SECRET_KEY)).ok.value == OURS

    run(scenario())


# Guards against a gateway that ends on the row of another one, replaced by another
# writer: an address can't be dialled, or a number exceeds the range of a float.
@pytest.mark.parametrize(
    "value",
    [
        {},
        {"address": 7},
        {"address": "127.0.0.1"},
        {"address": "gateway:8104"},
        {"address": f"127.0.0.1:{'9' * 5000}"},
    ],
    ids=["missing", "number", "no port", "name", "digits"],
)
def test_row_without_a_valid_address_is_left_out(value: dict[str, object]) -> None:
    async def scenario() -> None:
        table = MemoryTable()
        await make_registry(table).write_own_row()
        table.rows.apply([Put(Key(GATEWAYS_PARTITION, "g-2"), value, ABSENT)], "w")
        rows = await make_registry(table).read_rows()
        assert list(rows.ok) == ["gateway-1"]

    run(scenario())


@pytest.mark.parametrize("cores", [10**400, float("inf"), -1, "1", None])
def test_site_out_of_range_counts_as_unknown(cores: object) -> None:
    value = {"data_centre": "howrah", "cores": cores}
    assert read_site(Row(PEER_SECRET_KEY, 1, "w", value)) == Site()


# Around a restore, writes may end with an unclear outcome. The secret must then be
# neither abandoned nor generated again, but retried until it is stored.
@pytest.mark.parametrize("fault", ["lose_replies", "drop_writes"])
def test_secret_whose_write_is_unclear_is_retried_until_it_is_stored(
    fault: str,
) -> None:
    async def scenario() -> None:
        table = MemoryTable()
        setattr(table, fault, 1)
        assert await make_registry(table).read_or_create_secret("ours") == "ours"
        assert (await table.get(PEER_SECRET_KEY)).ok.value == OURS

    run(scenario())


# Guards against a process exit, or a gateway that the others never find: its row was
# read before the restore, so a write with that revision is rejected or its outcome is
# unclear. The gateway must log it, read the row again and write with its new revision.
@pytest.mark.parametrize("error", [Conflict((0,)), Unclear("older era"), AWAY])
def test_own_row_is_written_after_a_failed_write_in_a_new_era(
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


# As above: a write whose outcome is unclear until its deadline does not count as done.
def test_own_row_whose_write_stays_unclear_is_read_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(registry, "JOIN_POLL_SECONDS", 0.0)
        monkeypatch.setattr(registry, "WRITE_TIMEOUT_SECONDS", 0.01)
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
