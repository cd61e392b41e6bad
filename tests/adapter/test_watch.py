"""Tests of watching the store's tables."""

import asyncio
import json
import time
from collections.abc import Callable
from contextlib import suppress

import pytest
from adapter import const
from adapter.store import Compacted, Page, StoredRow
from adapter.watch import (
    FEED_WAIT_SECONDS,
    RecoverySignal,
    StoreWatcher,
    TableWatch,
)

from radishtally.gateway.freshness import ConfigurationView
from radishtally.gateway.members import (
    HostChange,
    HostMissing,
    HostRemoved,
    HostReturned,
    HostUpdated,
    HostVersionChanged,
    Members,
)
from radishtally.outcome import Error, Ok, Result
from radishtally.runtime import Runtime
from radishtally.store.core import Unavailable
from tests.common import run
from tests.gateway.common import ENTRY, wait_until

ROW = StoredRow("k", b"v", 1)
UNAVAILABLE = Error(Unavailable("away"))
DESK = json.dumps({**ENTRY, "service": "desk", "address": "10.0.0.1:80"}).encode()
"""Entry of a host."""


class ScriptedStore:
    """Return scripted answers one after another, and record the calls."""

    def __init__(self, *answers: Result) -> None:
        self.answers = list(answers)
        self.era = 0
        self.on_era: list[Callable[[int, int], None]] = []
        self.calls: list[tuple[str, float]] = []

    async def read_table(self, table: str) -> Result:
        return await self._give("all", 0.0)

    async def follow_table(self, table: str, after: int, wait: float) -> Result:
        return await self._give(f"after {after}", wait)

    async def _give(self, what: str, wait: float) -> Result:
        self.calls.append((what, wait))
        if not self.answers:
            raise asyncio.CancelledError
        return self.answers.pop(0)


def follow(
    *answers: Result,
    clock: Callable[[], float] = time.monotonic,
    gathering: float = 0.0,
) -> tuple[ScriptedStore, list[object]]:
    """Watch a table until the scripted answers end."""
    store, seen = ScriptedStore(*answers), []
    watch = TableWatch(
        store,
        "servers",
        lambda rows, after: seen.append(("all", rows, after)),
        lambda rows, after: seen.append(("changes", rows, after)),
        clock=clock,
        get_batch_window=lambda: gathering,
    )

    async def play() -> None:
        with suppress(asyncio.CancelledError):
            await watch.run()

    run(play())
    return store, seen


def test_changes_follow_the_whole_table() -> None:
    store, seen = follow(Ok(Page((ROW,), 4)), Ok(Page((ROW,), 7)), Ok(Page((), 9)))
    assert [what for what, _ in store.calls] == ["all", "after 4", "after 7", "after 9"]
    assert [kind for kind, *_ in seen] == ["all", "changes"]


def test_table_is_read_again_if_its_history_was_compacted() -> None:
    store, seen = follow(Ok(Page((), 4)), Ok(Compacted()), Ok(Page((ROW,), 30)))
    assert [what for what, _ in store.calls] == ["all", "after 4", "all", "after 30"]
    assert [kind for kind, *_ in seen] == ["all", "all"]


# Guards against keys that are accepted for too long: an answer that the store held back
# confirms the table only as of the time of the call.
def test_answer_confirms_the_table_as_of_its_call() -> None:
    now, confirmed = 0.0, []

    class SlowStore(ScriptedStore):
        async def _give(self, what: str, wait: float) -> Result:
            nonlocal now
            now += 5.0
            return await super()._give(what, wait)

    async def play() -> None:
        store = SlowStore(
            Ok(Page((ROW,), 4)), Ok(Page((), 4)), UNAVAILABLE, Ok(Compacted())
        )
        watch = TableWatch(
            store,
            "op",
            lambda rows, after: None,
            lambda rows, after: None,
            clock=lambda: now,
            on_confirmed=confirmed.append,
        )
        with suppress(asyncio.CancelledError):
            await watch.run()
        store.answers = [Ok(Page((), 4)), UNAVAILABLE, Ok(Compacted())]
        watch._version = 4
        for _ in range(3):
            await watch.confirm()

    run(play())
    assert confirmed == [0.0, 5.0, 25.0]


# Guards against routing to a host for two seconds after its removal. The store had been
# available for long, but its first answer after the outage came with the removal, which
# was taken for an entry that lapsed in the outage. A call without a wait shows the
# store's return at once.
def test_first_call_after_a_failure_does_not_wait_for_a_change() -> None:
    store, _ = follow(
        Ok(Page((), 4)), UNAVAILABLE, Ok(Page((), 4)), Ok(Page((ROW,), 5))
    )
    waits = [wait for what, wait in store.calls if what != "all"]
    assert waits == [FEED_WAIT_SECONDS, 0.0, FEED_WAIT_SECONDS, FEED_WAIT_SECONDS]


# Guards against a burst of calls when all gateways and 64 hosts start together. Each
# host writes its entry at another moment, each change came in an answer of its own, and
# 68 gateways made 4,400 calls before the first request. Close changes are batched; the
# delay is random, so that the gateways' calls are spread.
def test_close_changes_are_batched(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    waits = []

    async def record(seconds: float) -> None:
        waits.append(seconds)

    monkeypatch.setattr("adapter.watch.asyncio.sleep", record)
    follow(Ok(Page((ROW,), 1)), *[Ok(Page((ROW,), 2))] * 63, gathering=0.8)
    assert len(waits) == 64
    assert all(0.4 <= seconds <= 0.8 for seconds in waits)
    assert len(set(waits)) > 1


def test_no_entry_lapses_in_a_short_outage() -> None:
    _, seen = follow(Ok(Page((), 4)), UNAVAILABLE, Ok(Page((ROW,), 5)))
    assert seen[-1] == ("changes", (ROW,), False)


# Guards against routing to a host for over three seconds after the store's return. The
# host had left during the outage, but after many failures the gateway retried only each
# second or two, and kept the entry for 1.5 s after it had read the removal.
def test_retry_delay_stays_short_in_a_long_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    longest, waits = 0.5, []

    async def record(signal: RecoverySignal, seconds: float) -> None:
        waits.append(seconds)

    monkeypatch.setattr("adapter.watch.RecoverySignal.wait", record)
    follow(Ok(Page((), 4)), *[UNAVAILABLE] * 20, Ok(Page((), 4)))
    assert len(waits) == 20
    assert max(waits) <= longest


# Guards against a table that is read late after an outage because it is asked for less
# often than another one, whose answer shows the store's return.
def test_table_is_read_at_once_when_another_one_could_be_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("adapter.watch.backoff", lambda *args: args[-1])

    class Gate(ScriptedStore):
        is_up = True

        async def follow_table(self, table: str, after: int, wait: float) -> Result:
            self.calls.append((table, wait))
            if not self.is_up:
                return UNAVAILABLE
            await asyncio.sleep(min(wait, 0.01))
            return Ok(Page((), 4))

    async def play() -> None:
        store = Gate(*[Ok(Page((), 4))] * 2)
        recovery, tasks = RecoverySignal(), []
        for table, longest in (("op", 60.0), ("servers", 0.05)):
            watch = TableWatch(
                store,
                table,
                lambda rows, after: None,
                lambda rows, after: None,
                recovery=recovery,
                max_retry_seconds=longest,
            )
            tasks.append(asyncio.create_task(watch.run()))
        await asyncio.sleep(0.02)
        store.is_up = False
        await wait_until(lambda: store.calls.count(("servers", 0.0)) > 5)
        store.calls.clear()
        store.is_up = True
        await wait_until(lambda: "op" in [table for table, _ in store.calls])
        for task in tasks:
            task.cancel()

    run(play())


# Guards against dropping hosts whose entries have only lapsed, which refuses callers
# for a second or two. A silent connection is detected some seconds late, so the outage
# seemed too short for entries to lapse.
def test_outage_starts_before_a_silent_connection_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = 0.0

    async def pass_time(seconds: float) -> None:
        nonlocal now
        now += seconds

    monkeypatch.setattr("adapter.watch.asyncio.sleep", pass_time)

    class SilentStore(ScriptedStore):
        async def follow_table(self, table: str, after: int, wait: float) -> Result:
            nonlocal now
            now += wait / 2
            return await super().follow_table(table, after, wait)

    monkeypatch.setattr(f"{__name__}.ScriptedStore", SilentStore)
    removed = StoredRow("k", None, 5)
    answers = Ok(Page((ROW,), 4)), UNAVAILABLE, Ok(Page((removed,), 5))
    _, seen = follow(*answers, clock=lambda: now)
    assert seen[-1] == ("changes", (removed,), True)


class EarlyLoop(asyncio.SelectorEventLoop):
    """Fire timers 10 ms early.

    uvloop's timers fire up to a millisecond early. This loop rounds its waits up to
    whole milliseconds, which would hide a difference that small.
    """

    def call_later(
        self, delay: float, callback: Callable[..., None], *args: object, **more: object
    ) -> asyncio.TimerHandle:
        return super().call_later(max(0.0, delay - 0.01), callback, *args, **more)


class HostsStore(ScriptedStore):
    """Return scripted answers for the host table, and then answers without changes.

    The configuration table is never answered.
    """

    async def read_table(self, table: str) -> Result:
        if table == const.HOSTS_TABLE:
            return await super().read_table(table)
        return await asyncio.Event().wait()

    async def follow_table(self, table: str, after: int, wait: float) -> Result:
        if self.answers:
            return await super().follow_table(table, after, wait)
        await asyncio.sleep(wait)
        return Ok(Page((), after))


class Listener:
    """Stand in for the gateway that a watcher notifies."""

    def __init__(self) -> None:
        self.members = Members()
        self.view = ConfigurationView()
        self.runtime = Runtime()
        self.changes: list[HostChange] = []
        self.unreadable = 0

    def confirm_hosts(self, age: float) -> None:
        assert age >= 0.0

    def announce_configuration_read(self, version: int) -> None:
        """Ignore it."""

    def announce_hosts_read(self, version: int) -> None:
        """Ignore the newest change, as there are no peers."""

    def is_own_address(self, address: str) -> bool:
        return False

    def set_unreadable_count(self, count: int) -> None:
        self.unreadable = count

    def find_gather_seconds(self) -> float:
        return 0.0

    def apply_changes(self, changes: list[HostChange]) -> None:
        self.changes += changes


# Guards against routing to an engine for seconds after its removal. The removal was
# read just after the store's return and deferred, as the entry might only have lapsed.
# The timer that was to drop the host fired up to a millisecond before the time it
# compared with, and there was no further check.
def test_removed_host_is_dropped_though_its_timer_fires_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("adapter.watch.MIN_OUTAGE_SECONDS", 0.0)
    for module in ("adapter.watch", "radishtally.gateway.members"):
        monkeypatch.setattr(f"{module}.MISSING_GRACE_SECONDS", 0.05)
    listed, removed = StoredRow("a", DESK, 1), StoredRow("a", None, 5)

    async def play() -> None:
        store = HostsStore(Ok(Page((listed,), 4)), UNAVAILABLE, Ok(Page((removed,), 5)))
        listener = Listener()
        StoreWatcher(store, listener).start()
        await wait_until(lambda: len(listener.changes) == 3)
        listener.runtime.cancel_tasks()
        assert [type(change) for change in listener.changes] == [
            HostUpdated,
            HostMissing,
            HostRemoved,
        ]

    with asyncio.Runner(loop_factory=EarlyLoop) as runner:
        runner.run(play())


# Guards against refusing all callers until the store is back. A second outage followed
# the first one at once, so hosts whose entries had lapsed could not renew them, but
# they were dropped when their grace period ended.
def test_missing_hosts_are_kept_in_a_second_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("adapter.watch.MIN_OUTAGE_SECONDS", 0.0)
    for module in ("adapter.watch", "radishtally.gateway.members"):
        monkeypatch.setattr(f"{module}.MISSING_GRACE_SECONDS", 0.05)
    listed = tuple(StoredRow(host, DESK, 1) for host in "ab")
    removed = tuple(StoredRow(host, None, 5) for host in "ab")

    async def play() -> list[HostChange]:
        first, lapsed, back = Page(listed, 4), Page(removed, 5), Page(listed, 9)
        failures = [UNAVAILABLE] * 4
        store = HostsStore(Ok(first), UNAVAILABLE, Ok(lapsed), *failures, Ok(back))
        listener = Listener()
        StoreWatcher(store, listener).start()
        await wait_until(lambda: len(listener.changes) >= 6)
        listener.runtime.cancel_tasks()
        return listener.changes

    kinds = [type(change) for change in run(play())]
    assert kinds == [
        HostUpdated,
        HostUpdated,
        HostMissing,
        HostMissing,
        HostReturned,
        HostReturned,
    ]


# Guards against refusing all callers for a second. The store was unavailable, but the
# gateway's feed call was held throughout, so the gateway noticed no outage. The first
# answer after the store's return removed all entries, since none had been renewed, and
# all hosts were dropped.
def test_hosts_whose_entries_vanish_together_are_kept_for_a_while() -> None:
    listed = tuple(StoredRow(host, DESK, 1) for host in "ab")
    removed = tuple(StoredRow(host, None, 5) for host in "ab")

    async def play() -> list[HostChange]:
        store = HostsStore(Ok(Page(listed, 4)), Ok(Page(removed, 5)))
        listener = Listener()
        StoreWatcher(store, listener).start()
        await wait_until(lambda: len(listener.changes) == 4)
        listener.runtime.cancel_tasks()
        return listener.changes

    assert [type(change) for change in run(play())] == [
        HostUpdated,
        HostUpdated,
        HostMissing,
        HostMissing,
    ]


# Guards against routing by an entry that another writer has overwritten. The invalid
# entry was skipped, and the host's previous entry stayed in force.
@pytest.mark.parametrize("is_whole", [True, False])
@pytest.mark.parametrize("after_outage", [True, False])
def test_host_whose_entry_becomes_invalid_gets_no_more_work(
    is_whole: bool, after_outage: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("adapter.watch.MIN_OUTAGE_SECONDS", 0.0)
    good = tuple(StoredRow(host, DESK, 1) for host in "abcde")
    bad = StoredRow("a", b"{}", 5)
    first = [Ok(Page(good, 4))] + [UNAVAILABLE] * after_outage
    then = [Ok(Compacted())] * is_whole + [
        Ok(Page((bad, *good[1:]) if is_whole else (bad,), 6)),
        Ok(Page((StoredRow("a", DESK, 7),), 8)),
    ]

    async def play() -> list[HostChange]:
        listener = Listener()
        StoreWatcher(HostsStore(*first, *then), listener).start()
        await wait_until(lambda: len(listener.changes) >= 8)
        listener.runtime.cancel_tasks()
        assert listener.unreadable == 0
        return listener.changes

    changes = run(play())
    assert [type(change) for change in changes] == [
        *[HostUpdated] * 5,
        HostRemoved,
        HostVersionChanged,
        HostUpdated,
    ]
    assert changes[5].host == changes[6].host == changes[7].instance.host == "a"
    # The version was unknown while the entry could not be decoded.
    assert (changes[6].before, changes[6].after) == ("", changes[7].instance.version)


def test_watch_survives_a_list_of_only_invalid_entries() -> None:
    bad = tuple(StoredRow(host, b"\xff", 1) for host in "ab")
    changes = StoredRow("c", b"[]", 5), StoredRow("d", DESK, 6)

    async def play() -> Listener:
        listener = Listener()
        store = HostsStore(Ok(Page(bad, 4)), Ok(Page(changes, 6)))
        StoreWatcher(store, listener).start()
        await wait_until(lambda: bool(listener.changes))
        listener.runtime.cancel_tasks()
        return listener

    listener = run(play())
    assert [change.instance.host for change in listener.changes] == ["d"]
    assert listener.unreadable == 3
