"""What gateways know of each other once the store was restored."""

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
from standins.rows import Name
from tests.common import run
from tests.gateway.common import Deployment, deployment, run_gateway, wait_until
from tests.gateway.test_streams import make_whole, start_engines, stream

TABLE = "radishtally"
STORE_READS = 2_000
"""Reads a second that the store carries out."""
MOST_GATEWAYS = 330
AWAY = Unavailable("away")
LOOK_READS = 3
"""Reads by which a gateway looks at a new era: secret, own row, all rows."""


@pytest.fixture
def seldom_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let only a new era make gateways read the store again, and at once."""
    monkeypatch.setattr(peers, "STARTUP_PEER_READS", 1)
    monkeypatch.setattr(peers, "PEER_READ_SECONDS", 1000.0)
    monkeypatch.setattr(peers, "ERA_READ_SPREAD_SECONDS", 0.0)


def read_value(env: Deployment, part: str, key: str) -> str | None:
    """Read what the store holds as a row."""
    _, value = env.rows._rows.get(Name(TABLE, part, key), (0, None))
    return value


def encode_value(value: dict) -> str:
    """Make what the store holds as a row that was written once."""
    row = {"rev": 1, "write_id": "w", "value": value}
    return base64.b64encode(msgspec.json.encode(row)).decode()


def decode_value(held: str) -> dict:
    """Read a row's value from what the store holds."""
    return msgspec.json.decode(base64.b64decode(held))["value"]


async def wait_for_row(env: Deployment, part: str, key: str) -> str:
    """Wait until a row stands; give what the store holds as such."""
    await wait_until(lambda: read_value(env, part, key) is not None)
    return read_value(env, part, key)


# The others drop their links to a living gateway, and load its engines without knowing
# what it has open there, for up to ten seconds. The store comes back from a copy of
# before the gateway's first write, so its row is missing, or of before its latest one,
# so it names another place. Only the next read of the partition noticed the former.
@pytest.mark.parametrize("copied", [None, {"address": "127.0.0.1:9"}])
@pytest.mark.usefixtures("seldom_reads")
def test_own_row_is_written_again_at_once_in_a_new_era(copied: dict | None) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            name = Name(TABLE, GATEWAYS_PARTITION, "gateway-1")
            value = await wait_for_row(env, GATEWAYS_PARTITION, "gateway-1")
            data = encode_value(copied) if copied else None
            env.rows.write(name, data)
            env.gateway.peers.enter_era()
            await wait_until(
                lambda: read_value(env, *name[1:]) not in {None, data},
            )
            assert decode_value(read_value(env, *name[1:])) == decode_value(value)

    run(scenario())


# A gateway that has just started gets no links from the others for ten seconds. It is
# in the restored copy, they haven't read it yet, and the rise of the era is a sign
# that much may be otherwise than they know.
@pytest.mark.usefixtures("seldom_reads")
def test_others_are_read_at_once_in_a_new_era() -> None:
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


# Hosts' entries are read late just after a restore: all gateways see the new era at
# once, and their looks at each other's rows take all calls that the store carries out.
# A gateway's look begins some time after the rise, another one's at another time.
def test_looks_at_a_new_era_are_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(peers, "STARTUP_PEER_READS", 1)
        monkeypatch.setattr(peers, "PEER_READ_SECONDS", 1000.0)
        async with deployment() as env:
            gateway = env.gateway
            await wait_until(lambda: gateway._gateway_count == 1)
            env.rows.write(Name(TABLE, GATEWAYS_PARTITION, "gateway-1"), None)
            drawn = []
            draw = SimpleNamespace(uniform=lambda *a: drawn.append(a) or 1000.0)
            monkeypatch.setattr(peers, "random", draw)
            gateway.peers.enter_era()
            await wait_until(lambda: (0.0, peers.ERA_READ_SPREAD_SECONDS) in drawn)
            for _ in range(50):
                await asyncio.sleep(0)
            assert read_value(env, GATEWAYS_PARTITION, "gateway-1") is None

    run(scenario())
    reads = MOST_GATEWAYS * LOOK_READS / peers.ERA_READ_SPREAD_SECONDS
    assert reads <= STORE_READS / 2


# A gateway is not found by those that start later, and does not find them. The store
# is away again just when it looks at the new era: its look fails, and nothing makes it
# look again before the next read, which is far off.
@pytest.mark.usefixtures("seldom_reads")
def test_store_that_is_away_in_a_new_era_is_asked_until_it_is_back(
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
            env.rows.write(Name(TABLE, GATEWAYS_PARTITION, "gateway-1"), None)
            env.rows.gate._fault = {"mode": "down", "count": 10}
            gateway.peers.enter_era()
            await wait_for_row(env, GATEWAYS_PARTITION, "gateway-1")
            await wait_until(lambda: gateway.peers._hub.hosts == ["gateway-2"])
            assert not failures

    run(scenario())


def read_secret(env: Deployment) -> str:
    return decode_value(read_value(env, *PEER_SECRET_KEY))["secret"]


def write_secret(env: Deployment, secret: str) -> None:
    """Write a secret as another gateway does that was the first one."""
    env.rows.write(Name(TABLE, *PEER_SECRET_KEY), encode_value({"secret": secret}))


# Gateways that start after a restore never link to those from before it, until these
# restart: engines get too much work, as neither group knows what the other has open.
# The secret was lost with the newest writes, and whoever starts next draws another.
@pytest.mark.usefixtures("seldom_reads")
def test_gateways_from_before_a_restore_link_to_those_that_start_after_it() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            gateway = env.gateway
            await wait_until(lambda: gateway._gateway_count == 1)
            secret = read_secret(env)
            env.rows.write(Name(TABLE, *PEER_SECRET_KEY), None)
            gateway.peers.enter_era()
            await wait_for_row(env, *PEER_SECRET_KEY)
            assert read_secret(env) == secret
            async with run_gateway(env.store, "gateway-2") as second:
                await wait_for_row(env, GATEWAYS_PARTITION, "gateway-2")
                gateway.peers.enter_era()
                await wait_until(lambda: gateway.peers._hub.hosts == ["gateway-2"])
                await wait_until(lambda: second.peers._hub.hosts == ["gateway-1"])

    run(scenario())


# As above, but one that starts after the restore was sooner, and its secret stands.
# The others take it one by one and link anew; a request that is being answered
# meanwhile has its whole answer, and no gateway ends.
@pytest.mark.usefixtures("seldom_reads")
def test_gateways_take_the_secret_of_one_that_was_sooner() -> None:
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


# Hosts that fail are asked more often than agreed, and gateways don't know what others
# have open: their rows are gone with the store's newest writes, so the links to them
# end and the retries are shared among fewer, though all are at work and write again.
@pytest.mark.usefixtures("seldom_reads")
def test_gateways_that_a_new_era_lacks_are_kept_until_they_may_have_written(
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
            env.rows.write(Name(TABLE, GATEWAYS_PARTITION, "gateway-2"), None)
            first.peers.enter_era()
            await wait_until(lambda: not first.peers._roster.is_read_pending)
            assert first.peers._hub._links == {"gateway-2": link}
            assert first.core.budgets.floor == shared
            # One that did not write again is let go in the end.
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


# Gateways share their retries with a machine that was replaced, and dial it for good:
# its row was removed, and came back with the copy from which the store was restored.
# Being out of reach it is removed anew, and not kept as one that may write again.
@pytest.mark.usefixtures("seldom_reads")
def test_removed_gateway_that_came_back_with_the_copy_is_removed_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            gateway = env.gateway
            await wait_until(lambda: gateway._gateway_count == 1)
            data = encode_value({"address": "127.0.0.1:9"})
            env.rows.write(Name(TABLE, GATEWAYS_PARTITION, "gateway-0"), data)
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


# The process ends, or the row stays for good. The removal of a gateway's row is turned
# away, or left open, as its revision is of before the restore: that is no broken
# invariant, and the next read gives the revision under which it can be removed.
@pytest.mark.parametrize("error", [Conflict((0,)), Unclear("older era"), AWAY])
@pytest.mark.usefixtures("seldom_reads")
def test_removal_that_a_new_era_turns_away_is_tried_again(
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
            monkeypatch.setattr(registry, "WRITE_SECONDS", 0.1)
            transact = gateway.table.transact
            tried, logged = [], []
            add_destinations(logged.append)
            # Lines of before there was any destination come first.
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


# What is written in a look is gone for good: the store is restored a second time while
# the look is under way, and the gateway takes the rise for the one that it looks at.
@pytest.mark.usefixtures("seldom_reads")
def test_second_restore_within_a_look_leads_to_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            gateway = env.gateway
            await wait_until(lambda: gateway._gateway_count == 1)
            write_own_row, looks = gateway.peers._registry.write_own_row, []

            async def write() -> bool:
                looks.append(await write_own_row())
                if len(looks) == 1:
                    env.rows.write(Name(TABLE, GATEWAYS_PARTITION, "gateway-1"), None)
                    env.rows.write(Name(TABLE, *PEER_SECRET_KEY), None)
                    gateway.peers.enter_era()
                return looks[-1]

            monkeypatch.setattr(gateway.peers._registry, "write_own_row", write)
            gateway.peers.enter_era()
            await wait_until(lambda: len(looks) > 1)
            await wait_for_row(env, GATEWAYS_PARTITION, "gateway-1")
            await wait_for_row(env, *PEER_SECRET_KEY)

    run(scenario())


# As above, but the store is restored while the gateway starts, when what it has
# written may be lost too: it goes on as if it had joined, and nobody finds it.
@pytest.mark.usefixtures("seldom_reads")
def test_restore_within_the_start_is_looked_at_once_started(
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
                env.rows.write(Name(TABLE, *PEER_SECRET_KEY), None)
                second.peers.enter_era()
                restored.set()
                await wait_for_row(env, *PEER_SECRET_KEY)
                assert read_secret(env) == found[0]
                await wait_for_row(env, GATEWAYS_PARTITION, "gateway-2")

    run(scenario())
