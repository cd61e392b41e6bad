"""Tests of a store that is restored from an older copy, on a simulated clock."""

import asyncio
import itertools
import json
from bisect import bisect_left
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any, Final, NamedTuple

import pytest
from adapter import const
from adapter.config import decode_configuration
from adapter.store import Page, StoreClient, StoredRow
from adapter.watch import StoreWatcher, TableWatch

from radishtally.gateway.bounds import find_gather_seconds
from radishtally.gateway.freshness import ConfigurationView
from radishtally.gateway.members import HostChange, Members
from radishtally.outcome import Error, Ok, Result
from radishtally.routes.config import FleetConfiguration
from radishtally.runtime import Runtime
from radishtally.store.core import Unavailable
from tests.adapter.test_outages import BOUNDS, ROUND_TRIP_SECONDS, simulated_time
from tests.gateway.common import ENTRY, LIMITS, make_gateway, make_route

UNAVAILABLE: Final = Error(Unavailable("away"))
READS_PER_SECOND: Final = 2_000
"""Read calls a second that the store allows for all gateways together."""
DRAIN_SECONDS: Final = 2.0
SLOW_SECONDS: Final = 0.25
"""Response time of a slow store."""
OUTAGE_SECONDS: Final = 0.3
"""Default length of an outage: too short for entries to lapse."""


class Copy(NamedTuple):
    """Hold a snapshot of the store."""

    rows: dict[tuple[str, str], StoredRow]
    version: int


class EraStore:
    """Simulate a store that can be restored from a copy, and record the calls."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0
        self.era = 1
        self.calls: list[tuple[float, int]] = []
        """Times of the calls, and the eras that the callers knew then."""
        self.available_at = 0.0
        self.round_trip = ROUND_TRIP_SECONDS
        self.changed = asyncio.Event()

    def write(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        self.rows[table, key] = StoredRow(key, value, self.version)
        self.wake()

    def beat(self, host: str, **more: Any) -> None:
        """Renew an entry, which is no change in the feed and keeps the version."""
        row = self.rows[const.HOSTS_TABLE, host]
        value = json.dumps({**json.loads(row.value), **more}).encode()
        self.rows[const.HOSTS_TABLE, host] = row._replace(value=value)

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def take_copy(self) -> Copy:
        return Copy(dict(self.rows), self.version)

    def restore(self, copy: Copy, seconds: float = OUTAGE_SECONDS) -> None:
        self.rows, self.version = dict(copy.rows), copy.version
        self.era += 1
        self.available_at = asyncio.get_running_loop().time() + seconds
        self.wake()

    def is_unavailable(self) -> bool:
        return asyncio.get_running_loop().time() < self.available_at


class FeedPosition(NamedTuple):
    """Identify a version that a feed starts after, or that an answer goes up to."""

    table: str
    era: int
    version: int


class EraClient:
    """Call the store, and track its era as the adapter's client does."""

    def __init__(self, store: EraStore) -> None:
        self.store = store
        self.era = 0
        self.on_era: list[Callable[[int, int], None]] = []
        self.requested: list[FeedPosition] = []
        self.answered: list[FeedPosition] = []
        self._era_changed = asyncio.Event()

    async def read_table(self, table: str) -> Result:
        return await self._call(table, None, 0.0)

    async def follow_table(self, table: str, after: int, wait: float) -> Result:
        self.requested.append(FeedPosition(table, self.era, after))
        return await self._call(table, after, wait)

    async def _call(self, table: str, after: int | None, wait: float) -> Result:
        sent, era_changed = self.era, self._era_changed
        loop = asyncio.get_running_loop()
        self.store.calls.append((loop.time(), sent))
        answer = asyncio.create_task(self._answer(table, after, wait))
        ended = asyncio.create_task(era_changed.wait())
        try:
            await asyncio.wait({answer, ended}, return_when=asyncio.FIRST_COMPLETED)
            if not answer.done():
                return UNAVAILABLE
            result = answer.result()
            if result.is_ok():
                self._record_era(self.store.era)
            if result.is_error() or (sent and sent != self.era):
                return UNAVAILABLE
            self.answered.append(FeedPosition(table, self.era, result.ok.version))
            return result
        finally:
            answer.cancel()
            ended.cancel()

    def _record_era(self, era: int) -> None:
        if era <= self.era:
            return
        before, self.era = self.era, era
        for listener in self.on_era:
            listener(before, era)
        self._era_changed.set()
        self._era_changed = asyncio.Event()

    async def _answer(self, table: str, after: int | None, wait: float) -> Result:
        loop, store = asyncio.get_running_loop(), self.store
        until, era = loop.time() + wait, store.era
        await asyncio.sleep(store.round_trip)
        while True:
            if store.is_unavailable() or (after is not None and era != store.era):
                return UNAVAILABLE
            rows = [
                row
                for (name, _), row in store.rows.items()
                if name == table
                and (row.value is not None if after is None else row.version > after)
            ]
            if after is None or rows or loop.time() >= until:
                rows.sort(key=lambda row: row.version)
                return Ok(Page(tuple(rows), store.version))
            try:
                async with asyncio.timeout(until - loop.time()):
                    await store.changed.wait()
            except TimeoutError:
                continue


class Listener:
    """Stand in for one of several gateways."""

    def __init__(self, store: EraStore, gateways: int | None) -> None:
        self.loop = asyncio.get_running_loop()
        self.members = Members()
        self.view = ConfigurationView()
        self.runtime = Runtime()
        self.gateways = gateways
        self.configured: list[tuple[int, bool]] = []
        self.changes: list[HostChange] = []
        self.client = EraClient(store)
        self.watcher = StoreWatcher(self.client, self, self.loop.time)
        self.watcher.start()

    def enter_era(self, before: int, after: int, silence: float) -> None:
        assert silence >= 0.0
        if before:
            self.members.enter_era(self.loop.time())

    def find_gather_seconds(self) -> float:
        return find_gather_seconds(BOUNDS, self.gateways)

    def confirm_hosts(self, age: float) -> None:
        assert age >= 0.0

    def announce_configuration_read(self, version: int) -> None:
        """Ignore it."""

    def announce_hosts_read(self, version: int) -> None:
        """Ignore the newest change, as there are no peers."""

    def is_own_address(self, address: str) -> bool:
        return False

    def set_unreadable_count(self, count: int) -> None:
        assert count == 0

    def apply_changes(self, changes: list[HostChange]) -> None:
        self.changes += changes

    def configure(self, configuration: Any, *, is_rewritten: bool = False) -> None:
        self.configured.append((configuration.version, is_rewritten))

    def list_serving(self) -> set[str]:
        return {i.host for i in self.members if not i.is_draining}


def make_entry(host: str, beats: int = 1, **more: Any) -> bytes:
    address = f"10.0.0.{1 + ord(host) - ord('a')}:80"
    entry = {**ENTRY, "service": "desk", "address": address, "sequence": beats}
    return json.dumps({**entry, **more}).encode()


def play(scenario: Callable[[EraStore], Any]) -> None:
    """Run a scenario with a store that lists three hosts."""

    async def start() -> None:
        store = EraStore()
        for host in "abc":
            store.write(const.HOSTS_TABLE, host, make_entry(host))
        await scenario(store)

    with simulated_time() as runner:
        runner.run(start())


async def wait_until(condition: Callable[[], bool], seconds: float) -> None:
    """Wait until a condition holds; fail after a timeout."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


def count_peak_calls(times: list[float]) -> int:
    """Count the calls in the busiest second."""
    times = sorted(times)
    return max(bisect_left(times, at + 1.0) - n for n, at in enumerate(times))


# Guards against routing to a draining host indefinitely. Its change got a version that
# the old era had assigned too, so a feed from the old era's last version misses it as
# soon as the restored store is beyond that version, though the answer looks complete.
@pytest.mark.parametrize("value", [None, make_entry("b", 9, state="draining")])
def test_no_feed_starts_at_a_version_of_another_era(value: bytes | None) -> None:
    async def scenario(store: EraStore) -> None:
        listener = Listener(store, 4)
        await asyncio.sleep(1.0)
        copy = store.take_copy()
        for beats in range(2, 9):
            store.write(const.HOSTS_TABLE, "a", make_entry("a", beats, slots=beats))
        await asyncio.sleep(1.0)
        store.restore(copy)
        store.write(const.HOSTS_TABLE, "b", value)
        for beats in range(9, 20):
            store.write(const.HOSTS_TABLE, "c", make_entry("c", beats, slots=beats))
        await asyncio.sleep(6.0)
        assert listener.list_serving() == {"a", "c"}
        client = listener.client
        assert {position.era for position in client.requested} == {1, 2}
        assert set(client.requested) <= set(client.answered)

    play(scenario)


# Guards against refusing callers of a host that serves. It had registered after the
# copy was made, and no entry lapses in an outage this short, so its missing entry was
# applied for a removal. A host that does not register again must still be removed.
@pytest.mark.parametrize("gateways", [4, 330])
def test_host_that_a_copy_lacks_is_kept_until_it_may_have_written_again(
    gateways: int,
) -> None:
    async def scenario(store: EraStore) -> None:
        listener = Listener(store, gateways)
        await asyncio.sleep(1.0)
        copy = store.take_copy()
        for host in "defghij":
            store.write(const.HOSTS_TABLE, host, make_entry(host))
        await asyncio.sleep(1.0)
        store.restore(copy)
        await asyncio.sleep(OUTAGE_SECONDS)
        for _ in range(120):
            await asyncio.sleep(0.01)
            assert listener.list_serving() == set("abcdefghij")
        for host in "defghi":
            store.write(const.HOSTS_TABLE, host, make_entry(host, 9))
        for _ in range(280):
            await asyncio.sleep(0.01)
            assert listener.list_serving() >= set("abcdefghi")
        assert listener.list_serving() == set("abcdefghi")

    play(scenario)


# Guards against a watch that continues from a version of an old era. Another call of
# the gateway showed the new era just before the watch's own call, which was sent in the
# old era, was answered.
def test_answer_to_a_call_of_an_earlier_era_is_ignored() -> None:
    async def scenario(store: EraStore) -> None:
        applied = []
        clock = asyncio.get_running_loop().time

        class Client:
            async def read_table(self, table: str) -> Result:
                calls.append("all")
                if len(calls) == 3:
                    return await asyncio.Event().wait()
                return Ok(Page((StoredRow("k", b"v", len(calls)),), 5))

            async def follow_table(self, table: str, after: int, wait: float) -> Result:
                calls.append(f"after {after}")
                watch.enter_era()
                return Ok(Page((StoredRow("k", b"old", 6),), 6))

        calls: list[str] = []
        watch = TableWatch(
            Client(),
            "servers",
            lambda rows, after: applied.append((rows[0].value, after)),
            lambda rows, after: applied.append((rows[0].value, after)),
            clock=clock,
        )
        running = asyncio.create_task(watch.run())
        await wait_until(lambda: len(calls) >= 3, 10.0)
        running.cancel()
        assert calls == ["all", "after 5", "all"]
        assert applied == [(b"v", False)]

    play(scenario)


# Guards against overloading the store, which refuses calls with 429 then, so that
# gateways have no host list for longer. All gateways notice a restore within half a
# second, and each would read both tables at once.
@pytest.mark.parametrize("outage", [0.0, OUTAGE_SECONDS, 2.5])
@pytest.mark.parametrize("gateways", [68, 330])
@pytest.mark.parametrize("lost", [False, True])
def test_gateways_spread_their_reads_in_a_new_era(
    gateways: int, outage: float, lost: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    seeds = itertools.count()
    seeded = SimpleNamespace(Random=lambda: Random(next(seeds)))
    monkeypatch.setattr("adapter.watch.random", seeded)

    async def scenario(store: EraStore) -> None:
        listeners = [Listener(store, gateways) for _ in range(gateways)]
        copy = store.take_copy()
        if lost:
            store.write(const.HOSTS_TABLE, "d", make_entry("d"))
        await asyncio.sleep(2.0)
        store.restore(copy, outage)
        await asyncio.sleep(outage + 5.0)
        assert all(listener.client.era == 2 for listener in listeners)
        since = [(at, era) for at, era in store.calls if at >= store.available_at]
        reads = [at for at, era in since if era == 2]
        assert len(reads) >= 4 * gateways

        # While hosts are missing, there is an additional call each half second.
        assert count_peak_calls(reads) < READS_PER_SECOND / (1 if lost else 2)
        assert count_peak_calls([at for at, _ in since]) < READS_PER_SECOND

    play(scenario)


# Guards against routing to a host that no longer serves. It began to drain just after
# the store's return, and a gateway read the list too late.
@pytest.mark.parametrize("seed", range(20))
def test_drain_after_the_restore_is_known_in_time(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    seeded = SimpleNamespace(Random=lambda: Random(seed))
    monkeypatch.setattr("adapter.watch.random", seeded)

    async def scenario(store: EraStore) -> None:
        listener = Listener(store, 330)
        await asyncio.sleep(1.0)
        store.restore(store.take_copy())
        store.round_trip = SLOW_SECONDS
        await wait_until(lambda: listener.client.era == 2, 2.0)
        store.write(const.HOSTS_TABLE, "a", make_entry("a", 9, state="draining"))
        await wait_until(lambda: listener.list_serving() == {"b", "c"}, DRAIN_SECONDS)

    play(scenario)


def make_configuration(version: int, *names: str) -> bytes:
    limits = {"maxHeaderBytes": 1, "maxBodyBytes": 1, "idleTimeoutMs": 1}
    routes = [make_route(name, "safe", "desk") for name in names]
    value = {"version": version, "routes": routes, "services": [{"name": "desk"}]}
    return json.dumps({**value, "limits": {**LIMITS, **limits}}).encode()


# Guards against ignoring a configuration that an operator writes after a restore with a
# lower version than the one that was lost. The configuration of the copy itself must
# still be ignored, so that a restore alone reverts nothing.
def test_configuration_that_is_written_after_a_restore_is_marked() -> None:
    async def scenario(store: EraStore) -> None:
        def write(version: int) -> None:
            value = make_configuration(version)
            store.write(const.CONFIGURATION_TABLE, const.CONFIGURATION_KEY, value)

        write(3)
        listener = Listener(store, 4)
        await asyncio.sleep(1.0)
        copy = store.take_copy()
        write(9)
        await asyncio.sleep(1.0)
        store.restore(copy)
        await asyncio.sleep(3.0)
        assert listener.configured == [(3, False), (9, False), (3, False)]
        write(6)
        await asyncio.sleep(1.0)
        assert listener.configured[3:] == [(6, True)]

    play(scenario)


def test_later_full_read_is_compared_with_the_copys_configuration() -> None:
    async def scenario(store: EraStore) -> None:
        listener = Listener(store, 4)
        row = StoredRow(const.CONFIGURATION_KEY, make_configuration(3), 5)
        watcher, configured = listener.watcher, listener.configured
        watcher._apply_full_configuration((row,), False)
        watcher._enter_era(1, 2)
        watcher._apply_full_configuration((row,), True)
        watcher._apply_full_configuration((row,), False)
        watcher._apply_full_configuration((row._replace(version=7),), False)
        assert [is_rewritten for _, is_rewritten in configured] == [
            False,
            False,
            False,
            True,
        ]

    play(scenario)


def test_only_a_configuration_written_after_a_restore_may_lower_the_version() -> None:
    def read(version: int, *names: str) -> FleetConfiguration:
        return decode_configuration(make_configuration(version, *names)).ok

    def get_paths() -> list[str]:
        return [r.name for r in gateway.router.configuration.routes]

    async def play_gateway() -> None:
        gateway.configure(read(9, "read"))
        gateway.configure(read(3, "book"))
        gateway.configure(read(9, "book"))
        assert get_paths() == ["read"]
        gateway.configure(read(9, "book"), is_rewritten=True)
        assert get_paths() == ["book"]
        gateway.configure(read(6, "read"), is_rewritten=True)
        assert get_paths() == ["read"]
        gateway.configure(read(6, "book"))
        assert get_paths() == ["read"]

    client = StoreClient("127.0.0.1:1")
    gateway = make_gateway(client, "127.0.0.1:1", "gateway-1")
    asyncio.run(play_gateway())
