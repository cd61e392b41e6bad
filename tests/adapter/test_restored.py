"""Stores that come back from an older copy, played on a clock of their own."""

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

from radishtally.gateway.bounds import find_gathering
from radishtally.gateway.members import Change, Members
from radishtally.outcome import Error, Ok, Result
from radishtally.routes.config import FleetConfiguration
from radishtally.runtime import Runtime
from radishtally.store.core import Unavailable
from tests.adapter.test_outages import BOUNDS, TRIP_SECONDS, leap
from tests.gateway.common import ENTRY, LIMITS, make_gateway, make_route

AWAY: Final = Error(Unavailable("away"))
READS_PER_SECOND: Final = 2_000
"""Read calls that the store allows to all gateways together."""
DRAIN_SECONDS: Final = 2.0
SLOW_SECONDS: Final = 0.25
"""Time that a slow store takes for an answer."""
AWAY_SECONDS: Final = 0.3
"""Time for which the store is away here: no entry lapses in it."""


class Copy(NamedTuple):
    """Hold the store as it was at one time."""

    rows: dict[tuple[str, str], StoredRow]
    version: int


class EraStore:
    """Keep rows, go back to a copy of them, and count the calls."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0
        self.era = 1
        self.calls: list[tuple[float, int]] = []
        """Times of the calls, and the eras that their gateways knew then."""
        self.back_at = 0.0
        self.trip = TRIP_SECONDS
        self.changed = asyncio.Event()

    def write(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        self.rows[table, key] = StoredRow(key, value, self.version)
        self.wake()

    def beat(self, host: str, **more: Any) -> None:
        """Renew an entry; that tells no change and changes no version."""
        row = self.rows[const.HOSTS_TABLE, host]
        value = json.dumps({**json.loads(row.value), **more}).encode()
        self.rows[const.HOSTS_TABLE, host] = row._replace(value=value)

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def take_copy(self) -> Copy:
        return Copy(dict(self.rows), self.version)

    def restore(self, copy: Copy, seconds: float = AWAY_SECONDS) -> None:
        self.rows, self.version = dict(copy.rows), copy.version
        self.era += 1
        self.back_at = asyncio.get_running_loop().time() + seconds
        self.wake()

    def is_away(self) -> bool:
        return asyncio.get_running_loop().time() < self.back_at


class Asked(NamedTuple):
    """Hold a version behind which was asked, or up to which was told."""

    table: str
    era: int
    version: int


class EraClient:
    """Ask the store, and follow its era as the adapter's client does."""

    def __init__(self, store: EraStore) -> None:
        self.store = store
        self.era = 0
        self.on_era: list[Callable[[int, int], None]] = []
        self.asked: list[Asked] = []
        self.told: list[Asked] = []
        self._rose = asyncio.Event()

    async def read_table(self, table: str) -> Result:
        return await self._call(table, None, 0.0)

    async def follow_table(self, table: str, after: int, wait: float) -> Result:
        self.asked.append(Asked(table, self.era, after))
        return await self._call(table, after, wait)

    async def _call(self, table: str, after: int | None, wait: float) -> Result:
        sent, rose = self.era, self._rose
        loop = asyncio.get_running_loop()
        self.store.calls.append((loop.time(), sent))
        answer = asyncio.create_task(self._answer(table, after, wait))
        ended = asyncio.create_task(rose.wait())
        try:
            await asyncio.wait({answer, ended}, return_when=asyncio.FIRST_COMPLETED)
            if not answer.done():
                return AWAY
            result = answer.result()
            if result.is_ok():
                self._see(self.store.era)
            if result.is_error() or (sent and sent != self.era):
                return AWAY
            self.told.append(Asked(table, self.era, result.ok.version))
            return result
        finally:
            answer.cancel()
            ended.cancel()

    def _see(self, era: int) -> None:
        if era <= self.era:
            return
        before, self.era = self.era, era
        for listener in self.on_era:
            listener(before, era)
        self._rose.set()
        self._rose = asyncio.Event()

    async def _answer(self, table: str, after: int | None, wait: float) -> Result:
        loop, store = asyncio.get_running_loop(), self.store
        until, era = loop.time() + wait, store.era
        await asyncio.sleep(store.trip)
        while True:
            if store.is_away() or (after is not None and era != store.era):
                return AWAY
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
    """Stand for one of some gateways."""

    def __init__(self, store: EraStore, gateways: int | None) -> None:
        self.loop = asyncio.get_running_loop()
        self.members = Members()
        self.runtime = Runtime()
        self.gateways = gateways
        self.configured: list[tuple[int, bool]] = []
        self.changes: list[Change] = []
        self.client = EraClient(store)
        self.watcher = StoreWatcher(self.client, self, self.loop.time)
        self.watcher.start()

    def enter_era(self, before: int, after: int, silence: float) -> None:
        assert silence >= 0.0
        if before:
            self.members.enter_era(self.loop.time())

    def find_gathering(self) -> float:
        return find_gathering(BOUNDS, self.gateways)

    def count_unreadable(self, count: int) -> None:
        assert count == 0

    def apply(self, changes: list[Change]) -> None:
        self.changes += changes

    def configure(self, configuration: Any, *, is_rewritten: bool = False) -> None:
        self.configured.append((configuration.version, is_rewritten))

    def list_serving(self) -> set[str]:
        return {i.host for i in self.members if not i.is_draining}


def make_entry(host: str, beats: int = 1, **more: Any) -> bytes:
    address = f"10.0.0.{1 + ord(host) - ord('a')}:80"
    entry = {**ENTRY, "service": "desk", "address": address, "sequence": beats}
    return json.dumps({**entry, **more}).encode()


def play(day: Callable[[EraStore], Any]) -> None:
    """Play a day with a store in which three hosts stand."""

    async def start() -> None:
        store = EraStore()
        for host in "abc":
            store.write(const.HOSTS_TABLE, host, make_entry(host))
        await day(store)

    with leap() as runner:
        runner.run(start())


async def wait_until(condition: Callable[[], bool], seconds: float) -> None:
    """Let time pass until a condition holds; fail if it does not in that time."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


def find_most(times: list[float]) -> int:
    """Find the most calls within a second."""
    times = sorted(times)
    return max(bisect_left(times, at + 1.0) - n for n, at in enumerate(times))


# A draining host gets work for good: it said so at a version that the old era had too,
# and the question behind that era's last version lacked it once the store had come so
# far again. The answer looked whole.
@pytest.mark.parametrize("value", [None, make_entry("b", 9, state="draining")])
def test_no_question_goes_behind_a_version_of_another_era(value: bytes | None) -> None:
    async def day(store: EraStore) -> None:
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
        assert {asked.era for asked in client.asked} == {1, 2}
        assert set(client.asked) <= set(client.told)

    play(day)


# Callers of a host are refused though it serves: it had registered behind the copy, and
# the short time for which the store was away lets no entry lapse, so that its missing
# entry was taken for its removal. One that is gone is given up all the same.
@pytest.mark.parametrize("gateways", [4, 330])
def test_host_that_a_copy_lacks_is_kept_until_it_may_have_written_again(
    gateways: int,
) -> None:
    async def day(store: EraStore) -> None:
        listener = Listener(store, gateways)
        await asyncio.sleep(1.0)
        copy = store.take_copy()
        for host in "defghij":
            store.write(const.HOSTS_TABLE, host, make_entry(host))
        await asyncio.sleep(1.0)
        store.restore(copy)
        await asyncio.sleep(AWAY_SECONDS)
        for _ in range(120):
            await asyncio.sleep(0.01)
            assert listener.list_serving() == set("abcdefghij")
        for host in "defghi":
            store.write(const.HOSTS_TABLE, host, make_entry(host, 9))
        for _ in range(280):
            await asyncio.sleep(0.01)
            assert listener.list_serving() >= set("abcdefghi")
        assert listener.list_serving() == set("abcdefghi")

    play(day)


# A watch goes on behind an old version though the gateway has seen the new era: another
# call of it had shown the rise, and its own question, sent before, was answered just
# then. What is asked in one era says nothing in the next.
def test_answer_that_was_asked_for_in_an_earlier_era_is_not_taken() -> None:
    async def day(store: EraStore) -> None:
        taken = []
        clock = asyncio.get_running_loop().time

        class Client:
            async def read_table(self, table: str) -> Result:
                asked.append("all")
                if len(asked) == 3:
                    return await asyncio.Event().wait()
                return Ok(Page((StoredRow("k", b"v", len(asked)),), 5))

            async def follow_table(self, table: str, after: int, wait: float) -> Result:
                asked.append(f"after {after}")
                watch.enter_era()
                return Ok(Page((StoredRow("k", b"old", 6),), 6))

        asked: list[str] = []
        watch = TableWatch(
            Client(),
            "servers",
            lambda rows, after: taken.append((rows[0].value, after)),
            lambda rows, after: taken.append((rows[0].value, after)),
            clock=clock,
        )
        running = asyncio.create_task(watch.run())
        await wait_until(lambda: len(asked) >= 3, 10.0)
        running.cancel()
        assert asked == ["all", "after 5", "all"]
        assert taken == [(b"v", False)]

    play(day)


# The store refuses calls with 429 and gateways know no hosts for longer: all of them
# learn of the restore within half a second, and each read both tables at once.
@pytest.mark.parametrize("away", [0.0, AWAY_SECONDS, 2.5])
@pytest.mark.parametrize("gateways", [68, 330])
@pytest.mark.parametrize("lost", [False, True])
def test_gateways_spread_their_reads_in_a_new_era(
    gateways: int, away: float, lost: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    seeds = itertools.count()
    seeded = SimpleNamespace(Random=lambda: Random(next(seeds)))
    monkeypatch.setattr("adapter.watch.random", seeded)

    async def day(store: EraStore) -> None:
        listeners = [Listener(store, gateways) for _ in range(gateways)]
        copy = store.take_copy()
        if lost:
            store.write(const.HOSTS_TABLE, "d", make_entry("d"))
        await asyncio.sleep(2.0)
        store.restore(copy, away)
        await asyncio.sleep(away + 5.0)
        assert all(listener.client.era == 2 for listener in listeners)
        since = [(at, era) for at, era in store.calls if at >= store.back_at]
        reads = [at for at, era in since if era == 2]
        assert len(reads) >= 4 * gateways

        # A look for each half second that hosts are missing comes on top.
        assert find_most(reads) < READS_PER_SECOND / (1 if lost else 2)
        assert find_most([at for at, _ in since]) < READS_PER_SECOND

    play(day)


# A host gets requests for longer than it goes on serving: it began to drain just after
# the store's return, and a gateway read the list too late to know.
@pytest.mark.parametrize("seed", range(20))
def test_drain_after_the_restore_is_known_in_time(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    seeded = SimpleNamespace(Random=lambda: Random(seed))
    monkeypatch.setattr("adapter.watch.random", seeded)

    async def day(store: EraStore) -> None:
        listener = Listener(store, 330)
        await asyncio.sleep(1.0)
        store.restore(store.take_copy())
        store.trip = SLOW_SECONDS
        await wait_until(lambda: listener.client.era == 2, 2.0)
        store.write(const.HOSTS_TABLE, "a", make_entry("a", 9, state="draining"))
        await wait_until(lambda: listener.list_serving() == {"b", "c"}, DRAIN_SECONDS)

    play(day)


def make_configuration(version: int, *names: str) -> bytes:
    limits = {"maxHeaderBytes": 1, "maxBodyBytes": 1, "idleTimeoutMs": 1}
    routes = [make_route(name, "safe", "desk") for name in names]
    value = {"version": version, "routes": routes, "services": [{"name": "desk"}]}
    return json.dumps({**value, "limits": {**LIMITS, **limits}}).encode()


# An operator writes a configuration anew after the restore, under a lower number than
# the one that was lost, and gateways pass it over as an old one. What the copy holds is
# passed over all the same, so that it undoes nothing by itself.
def test_configuration_that_is_written_after_a_restore_is_told_so() -> None:
    async def day(store: EraStore) -> None:
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

    play(day)


def test_configuration_that_is_read_whole_once_more_is_told_from_the_copys() -> None:
    async def day(store: EraStore) -> None:
        listener = Listener(store, 4)
        row = StoredRow(const.CONFIGURATION_KEY, make_configuration(3), 5)
        watcher, configured = listener.watcher, listener.configured
        watcher._take_whole_configuration((row,), False)
        watcher._enter_era(1, 2)
        watcher._take_whole_configuration((row,), True)
        watcher._take_whole_configuration((row,), False)
        watcher._take_whole_configuration((row._replace(version=7),), False)
        assert [told for _, told in configured] == [False, False, False, True]

    play(day)


def test_only_what_is_written_after_a_restore_goes_back_to_a_lower_number() -> None:
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
