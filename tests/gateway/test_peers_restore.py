"""Tests of the gateways' rows and shared secret after a restore of the store."""

import asyncio
import base64
from contextlib import AsyncExitStack
from types import SimpleNamespace

import msgspec
import pytest
from eliot import add_destinations, remove_destination

from radishtally.gateway import peers, registry, roster
from radishtally.gateway.bounds import find_min_retry_rate
from radishtally.gateway.registry import GATEWAYS_PARTITION, PEER_SECRET_KEY
from radishtally.outcome import Error, Result
from radishtally.store.core import (
    ABSENT,
    Conflict,
    Key,
    Put,
    TableError,
    Unavailable,
    Unclear,
)
from standins.rows import RowId
from tests.common import run
from tests.gateway.common import Deployment, deployment, run_gateway, wait_until
from tests.gateway.test_streams import make_whole, start_engines, stream

TABLE = "radishtally"
STORE_READS = 2_000
"""Reads per second that the store serves."""
MOST_GATEWAYS = 330
AWAY = Unavailable("away")
READS_PER_GATEWAY = 3
"""Reads of a gateway in a new era: secret, own row, all rows."""


@pytest.fixture
def rare_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let gateways read the store again only in a new era, and immediately."""
    monkeypatch.setattr(peers, "STARTUP_PEER_READS", 1)
    monkeypatch.setattr(peers, "PEER_READ_SECONDS", 1000.0)
    monkeypatch.setattr(peers, "ERA_READ_SPREAD_SECONDS", 0.0)


def read_value(env: Deployment, part: str, key: str) -> str | None:
    """Return the stored form of a row."""
    _, value = env.rows._rows.get(RowId(TABLE, part, key), (0, None))
    return value


def encode_value(value: dict) -> str:
    """Encode the stored form of a row that was written once."""
    row = {"rev": 1, "write_id": "w", "value": value}
    return base64.b64encode(msgspec.json.encode(row)).decode()


def decode_value(held: str) -> dict:
    """Decode a row's value from its stored form."""
    return msgspec.json.decode(base64.b64decode(held))["value"]


async def wait_for_row(env: Deployment, part: str, key: str) -> str:
    """Wait until a row exists; return its stored form."""
    await wait_until(lambda: read_value(env, part, key) is not None)
    return read_value(env, part, key)


# Guards against dropped links to a live gateway, and against engines that are loaded
# for up to ten seconds without counting its open work. The store is restored from a
# backup from before the gateway's first write, so that its row is missing, or from
# before its latest write, so that the row has an outdated address.
@pytest.mark.parametrize("copied", [None, {"address": "127.0.0.1:9"}])
@pytest.mark.usefixtures("rare_reads")
def test_own_row_is_rewritten_immediately_in_a_new_era(copied: dict | None) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            name = RowId(TABLE, GATEWAYS_PARTITION, "gateway-1")
            value = await wait_for_row(env, GATEWAYS_PARTITION, "gateway-1")
            data = encode_value(copied) if copied else None
            env.rows.write(name, data)
            env.gateway.peers.enter_era()
            await wait_until(
                lambda: read_value(env, *name[1:]) not in {None, data},
            )
            assert decode_value(read_value(env, *name[1:])) == decode_value(value)

    run(scenario())


# Guards against a new gateway without links for ten seconds: its row is in the restored
# backup, but the other gateways have not read it yet. They must read all rows when the
# era changes.
@pytest.mark.usefixtures("rare_reads")
def test_all_rows_are_read_immediately_in_a_new_era() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            gateway = env.gateway
            await wait_until(lambda: gateway._gateway_count == 1)
            async with run_gateway(env.store, "gateway-2"):
                await wait_for_row(env, GATEWAYS_PARTITION, "gateway-2")
                gateway.peers.enter_era()
                await wait_until(lambda: gateway.peers._hub.hosts == ["gateway-2"])
                assert gateway._gateway_count == 2

    run(scenario())


# Guards against late reads of host entries after a restore: all gateways detect the new
# era at once, and reading each other's rows uses up the store's capacity. The reads
# must start after a random delay.
def test_reads_in_a_new_era_are_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(peers, "STARTUP_PEER_READS", 1)
        monkeypatch.setattr(peers, "PEER_READ_SECONDS", 1000.0)
        async with deployment() as env:
            gateway = env.gateway
            await wait_until(lambda: gateway._gateway_count == 1)
            env.rows.write(RowId(TABLE, GATEWAYS_PARTITION, "gateway-1"), None)
            drawn = []
            draw = SimpleNamespace(uniform=lambda *a: drawn.append(a) or 1000.0)
            monkeypatch.setattr(peers, "random", draw)
            gateway.peers.enter_era()
            await wait_until(lambda: (0.0, peers.ERA_READ_SPREAD_SECONDS) in drawn)
            for _ in range(50):
                await asyncio.sleep(0)
            assert read_value(env, GATEWAYS_PARTITION, "gateway-1") is None

    run(scenario())
    reads = MOST_GATEWAYS * READS_PER_GATEWAY / peers.ERA_READ_SPREAD_SECONDS
    assert reads <= STORE_READS / 2


# Guards against gateways that do not find each other: the store is away again when a
# gateway reads the rows of the new era. The failed read must be retried before the next
# regular read, which is far off.
@pytest.mark.usefixtures("rare_reads")
def test_failed_read_in_a_new_era_is_retried_until_the_store_is_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            env = await stack.enter_async_context(deployment())
            gateway = env.gateway
            await wait_until(lambda: gateway._gateway_count == 1)
            await stack.enter_async_context(run_gateway(env.store, "gateway-2"))
            await wait_for_row(env, GATEWAYS_PARTITION, "gateway-2")
            read_rows = gateway.peers._registry.read_rows
            failures = [Error(AWAY)] * 3

            async def read() -> Result:
                return failures.pop() if failures else await read_rows()

            monkeypatch.setattr(gateway.peers._registry, "read_rows", read)
            for module in (peers, registry):
                monkeypatch.setattr(module, "JOIN_POLL_SECONDS", 0.01)
            env.rows.write(RowId(TABLE, GATEWAYS_PARTITION, "gateway-1"), None)
            env.rows.fault_gate._fault = {"mode": "down", "count": 10}
            gateway.peers.enter_era()
            await wait_for_row(env, GATEWAYS_PARTITION, "gateway-1")
            await wait_until(lambda: gateway.peers._hub.hosts == ["gateway-2"])
            assert not failures

    run(scenario())


def read_secret(env: Deployment) -> str:
    return decode_value(read_value(env, *PEER_SECRET_KEY))["secret"]


def write_secret(env: Deployment, secret: str) -> None:
    """Write a secret as another gateway does that generated it first."""
    env.rows.write(RowId(TABLE, *PEER_SECRET_KEY), encode_value({"secret": secret}))


# Guards against two groups of gateways that can't link to each other and overload
# engines: the secret is lost in a restore, and the next gateway that starts generates
# another one.
@pytest.mark.usefixtures("rare_reads")
def test_gateways_from_before_a_restore_link_to_those_that_start_after_it() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            gateway = env.gateway
            await wait_until(lambda: gateway._gateway_count == 1)
            secret = read_secret(env)
            env.rows.write(RowId(TABLE, *PEER_SECRET_KEY), None)
            gateway.peers.enter_era()
            await wait_for_row(env, *PEER_SECRET_KEY)
            assert read_secret(env) == secret
            async with run_gateway(env.store, "gateway-2") as second:
                await wait_for_row(env, GATEWAYS_PARTITION, "gateway-2")
                gateway.peers.enter_era()
                await wait_until(lambda: gateway.peers._hub.hosts == ["gateway-2"])
                await wait_until(lambda: second.peers._hub.hosts == ["gateway-1"])

    run(scenario())


# As above, but a gateway that starts after the restore stores its secret first. The
# others adopt it one by one and link again. Meanwhile a running request must get its
# complete answer, and no gateway may exit.
@pytest.mark.usefixtures("rare_reads")
def test_gateways_adopt_a_secret_that_was_stored_first() -> None:
    async def scenario() -> None:
        async with deployment() as env, run_gateway(env.store, "gateway-2") as second:
            first = env.gateway
            engines = await start_engines(env)
            for engine in engines:
                engine.seconds = 0.5
            await wait_for_row(env, GATEWAYS_PARTITION, "gateway-2")
            await wait_until(lambda: first.peers._hub is not None)
            await first.peers._sync_peers()
            await wait_until(lambda: second.peers._hub.hosts == ["gateway-1"])
            write_secret(env, "another")
            work = asyncio.create_task(stream(env, "/draft/a", "r1"))
            for gateway in (first, second):
                links = gateway.peers._hub._links.copy()
                gateway.peers.enter_era()
                await wait_until(lambda g=gateway: g.peers._hub._peer_key == "another")
                await wait_until(
                    lambda g=gateway, old=links: g.peers._hub._links != old
                )
            async with run_gateway(env.store, "gateway-3") as third:
                await wait_for_row(env, GATEWAYS_PARTITION, "gateway-3")
                for gateway in (first, second):
                    gateway.peers.enter_era()
                await wait_until(lambda: len(third.peers._hub.hosts) == 2)
                await wait_until(lambda: len(first.peers._hub.hosts) == 2)
            assert read_secret(env) == "another"
            assert await work == make_whole("r1")
            assert not first.runtime.stopping.is_set()
            assert not second.runtime.stopping.is_set()

    run(scenario())


# Guards against too many retries and uncounted open work: the rows of running gateways
# are lost in a restore, so their links are closed and the retry budget is shared among
# fewer, although all of them will write their rows again.
@pytest.mark.usefixtures("rare_reads")
def test_gateways_missing_in_a_new_era_are_kept_until_they_had_time_to_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with deployment() as env, run_gateway(env.store, "gateway-2") as second:
            first = env.gateway
            await wait_for_row(env, GATEWAYS_PARTITION, "gateway-2")
            await wait_until(lambda: first.peers._hub is not None)
            await first.peers._sync_peers()
            await wait_until(lambda: first.peers._hub.hosts == ["gateway-2"])
            shared = find_min_retry_rate(first.settings.bounds, 2)
            link = first.peers._hub._links["gateway-2"]
            env.rows.write(RowId(TABLE, GATEWAYS_PARTITION, "gateway-2"), None)
            first.peers.enter_era()
            await wait_until(lambda: not first.peers._roster.is_read_pending)
            assert first.peers._hub._links == {"gateway-2": link}
            assert first.core.budgets.floor == shared
            # A gateway that does not write again is dropped after the settle time.
            monkeypatch.setattr(roster, "ERA_SETTLE_SECONDS", 0.0)
            await first.peers._sync_peers()
            await wait_until(lambda: not first.peers._hub.hosts)
            assert first.core.budgets.floor > shared
            second.peers.enter_era()
            await wait_for_row(env, GATEWAYS_PARTITION, "gateway-2")
            await first.peers._sync_peers()
            await wait_until(lambda: first.peers._hub.hosts == ["gateway-2"])
            assert first.core.budgets.floor == shared

    run(scenario())


# Guards against a replaced machine that shares the retry budget and is dialled forever:
# its row was removed, and came back with a restore. As it is unreachable, its row must
# be removed again, and it must not be kept as a gateway that may write again.
@pytest.mark.usefixtures("rare_reads")
def test_removed_gateway_whose_row_was_restored_is_removed_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            gateway = env.gateway
            await wait_until(lambda: gateway._gateway_count == 1)
            data = encode_value({"address": "127.0.0.1:9"})
            env.rows.write(RowId(TABLE, GATEWAYS_PARTITION, "gateway-0"), data)
            gateway.peers.enter_era()
            await wait_until(lambda: not gateway.peers._roster.is_read_pending)
            assert read_value(env, GATEWAYS_PARTITION, "gateway-0") == data
            assert gateway._gateway_count == 2
            monkeypatch.setattr(peers, "PEER_REMOVAL_SECONDS", -1.0)
            await gateway.peers._sync_peers()
            assert read_value(env, GATEWAYS_PARTITION, "gateway-0") is None
            monkeypatch.setattr(roster, "ERA_SETTLE_SECONDS", 0.0)
            await gateway.peers._sync_peers()
            assert gateway._gateway_count == 1

    run(scenario())


# Guards against a process exit, or a row that is never removed: the removal of a row is
# rejected, or its outcome is unclear, as its revision is from before the restore. It
# must be retried with the revision from the next read.
@pytest.mark.parametrize("error", [Conflict((0,)), Unclear("older era"), AWAY])
@pytest.mark.usefixtures("rare_reads")
def test_removal_that_fails_in_a_new_era_is_retried(
    error: TableError, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            gateway = env.gateway
            await wait_until(lambda: gateway._gateway_count == 1)
            gone = Put(
                Key(GATEWAYS_PARTITION, "gateway-0"), {"address": "127.0.0.1:9"}, ABSENT
            )
            assert (await gateway.table.transact([gone], "w")).is_ok()
            monkeypatch.setattr(peers, "PEER_REMOVAL_SECONDS", -1.0)
            monkeypatch.setattr(registry, "WRITE_TIMEOUT_SECONDS", 0.1)
            transact = gateway.table.transact
            tried, logged = [], []
            add_destinations(logged.append)
            # Messages buffered before there was a destination come first.
            logged.clear()

            async def turn_away(*args: object) -> Result:
                tried.append(args)
                return Error(error)

            monkeypatch.setattr(gateway.table, "transact", turn_away)
            await gateway.peers._sync_peers()
            remove_destination(logged.append)
            assert tried
            lines = [line for line in logged if line["message_type"] == "peers:gone"]
            assert [line["outcome"] for line in lines] == [str(error)]
            monkeypatch.setattr(gateway.table, "transact", transact)
            await gateway.peers._sync_peers()
            assert read_value(env, GATEWAYS_PARTITION, "gateway-0") is None
            assert not gateway.runtime.stopping.is_set()

    run(scenario())


# Guards against rows that stay lost: the store is restored a second time while a
# gateway rewrites its rows for the first restore, and the second one is missed.
@pytest.mark.usefixtures("rare_reads")
def test_second_restore_while_rows_are_rewritten_is_handled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            gateway = env.gateway
            await wait_until(lambda: gateway._gateway_count == 1)
            write_own_row, rewrites = gateway.peers._registry.write_own_row, []

            async def write() -> bool:
                rewrites.append(await write_own_row())
                if len(rewrites) == 1:
                    env.rows.write(RowId(TABLE, GATEWAYS_PARTITION, "gateway-1"), None)
                    env.rows.write(RowId(TABLE, *PEER_SECRET_KEY), None)
                    gateway.peers.enter_era()
                return rewrites[-1]

            monkeypatch.setattr(gateway.peers._registry, "write_own_row", write)
            gateway.peers.enter_era()
            await wait_until(lambda: len(rewrites) > 1)
            await wait_for_row(env, GATEWAYS_PARTITION, "gateway-1")
            await wait_for_row(env, *PEER_SECRET_KEY)

    run(scenario())


# As above, but the store is restored while the gateway starts. Its writes may be lost,
# and without a new read no other gateway would find it.
@pytest.mark.usefixtures("rare_reads")
def test_restore_during_startup_is_handled_after_startup(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await wait_until(lambda: env.gateway._gateway_count == 1)
            read_or_create_secret = registry.GatewayRegistry.read_or_create_secret
            found, restored = [], asyncio.Event()

            async def find(self: registry.GatewayRegistry, *known: str) -> str:
                found.append(await read_or_create_secret(self, *known))
                await restored.wait()
                return found[-1]

            monkeypatch.setattr(registry.GatewayRegistry, "read_or_create_secret", find)
            async with run_gateway(env.store, "gateway-2") as second:
                await wait_until(lambda: len(found) == 1)
                env.rows.write(RowId(TABLE, *PEER_SECRET_KEY), None)
                second.peers.enter_era()
                restored.set()
                await wait_for_row(env, *PEER_SECRET_KEY)
                assert read_secret(env) == found[0]
                await wait_for_row(env, GATEWAYS_PARTITION, "gateway-2")

    run(scenario())
