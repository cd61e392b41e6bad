"""Tests of following the tables of the store."""

import asyncio
import json
import time
from collections.abc import Callable
from contextlib import suppress

import pytest
from adapter import const
from adapter.store import Compacted, Page, StoredRow
from adapter.watch import (
    FEED_SECONDS,
    StoreWatcher,
    TableWatch,
)

from radishtally.gateway.members import Change, Forget, Members, Miss, Return, Set
from radishtally.outcome import Error, Ok, Result
from radishtally.runtime import Runtime
from radishtally.store.core import Unavailable
from tests.common import run
from tests.gateway.common import ENTRY, wait_until

ROW = StoredRow("k", b"v", 1)
AWAY = Error(Unavailable("away"))
DESK = json.dumps({**ENTRY, "service": "desk", "address": "10.0.0.1:80"}).encode()
"""Entry of a host."""


class ScriptedStore:
    """Give one answer after another, and keep what was asked."""

    def __init__(self, *answers: Result) -> None:
        self.answers = list(answers)
        self.era = 0
        self.on_era: list[Callable[[int, int], None]] = []
        self.asked: list[tuple[str, float]] = []

    async def read_table(self, table: str) -> Result:
        return await self._give("all", 0.0)

    async def follow_table(self, table: str, after: int, wait: float) -> Result:
        return await self._give(f"after {after}", wait)

    async def _give(self, what: str, wait: float) -> Result:
        self.asked.append((what, wait))
        if not self.answers:
            raise asyncio.CancelledError
        return self.answers.pop(0)


def follow(
    *answers: Result,
    clock: Callable[[], float] = time.monotonic,
    gathering: float = 0.0,
) -> tuple[ScriptedStore, list[object]]:
    """Follow a table until the answers end."""
    store, seen = ScriptedStore(*answers), []
    watch = TableWatch(
        store,
        "servers",
        lambda rows, after: seen.append(("all", rows, after)),
        lambda rows, after: seen.append(("changes", rows, after)),
        clock=clock,
        find_gathering=lambda: gathering,
    )

    async def play() -> None:
        with suppress(asyncio.CancelledError):
            await watch.run()

    run(play())
    return store, seen


def test_changes_follow_the_whole_table() -> None:
    store, seen = follow(Ok(Page((ROW,), 4)), Ok(Page((ROW,), 7)), Ok(Page((), 9)))
    assert [what for what, _ in store.asked] == ["all", "after 4", "after 7", "after 9"]
    assert [kind for kind, *_ in seen] == ["all", "changes"]


def test_table_is_read_anew_when_its_history_is_gone() -> None:
    store, seen = follow(Ok(Page((), 4)), Ok(Compacted()), Ok(Page((ROW,), 30)))
    assert [what for what, _ in store.asked] == ["all", "after 4", "all", "after 30"]
    assert [kind for kind, *_ in seen] == ["all", "all"]


# Work goes on to a host for two seconds after it was removed: the store had been back
# for long, but its first word after the outage came with the removal, which was taken
# for an entry that had lapsed meanwhile. A question that does not wait tells of the
# return at once.
def test_store_that_is_back_is_noticed_before_the_next_change() -> None:
    store, _ = follow(Ok(Page((), 4)), AWAY, Ok(Page((), 4)), Ok(Page((ROW,), 5)))
    waits = [wait for what, wait in store.asked if what != "all"]
    assert waits == [FEED_SECONDS, 0.0, FEED_SECONDS, FEED_SECONDS]


# All gateways start at once, and so do 64 hosts, each of which writes its entry at a
# moment of its own: each gateway was told of each of them alone, and 68 gateways made
# 4,400 calls before the first request. What comes close together is told at once; the
# pause is drawn anew each time, so that gateways don't ask all together.
def test_changes_that_come_close_together_are_gathered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    waits = []

    async def note(seconds: float) -> None:
        waits.append(seconds)

    monkeypatch.setattr("adapter.watch.asyncio.sleep", note)
    follow(Ok(Page((ROW,), 1)), *[Ok(Page((ROW,), 2))] * 63, gathering=0.8)
    assert len(waits) == 64
    assert all(0.4 <= seconds <= 0.8 for seconds in waits)
    assert len(set(waits)) > 1


def test_short_outage_lets_no_entry_lapse() -> None:
    _, seen = follow(Ok(Page((), 4)), AWAY, Ok(Page((ROW,), 5)))
    assert seen[-1] == ("changes", (ROW,), False)


# Work goes to a host for over three seconds after the store's return: the host had
# left meanwhile, but after many failures the gateway asked only each second or two,
# and its entry was kept for another second and a half once its removal was read.
def test_store_is_asked_often_however_long_it_was_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    longest, waits = 0.5, []

    async def note(seconds: float) -> None:
        waits.append(seconds)

    monkeypatch.setattr("adapter.watch.asyncio.sleep", note)
    follow(Ok(Page((), 4)), *[AWAY] * 20, Ok(Page((), 4)))
    assert len(waits) == 20
    assert max(waits) <= longest


# Callers are refused for a second or two: hosts were dropped whose entries had only
# lapsed. The connection to the store had gone silent, which shows some seconds late,
# and the outage seemed too short for entries to lapse.
def test_outage_began_before_the_silence_was_noticed(
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
    answers = Ok(Page((ROW,), 4)), AWAY, Ok(Page((removed,), 5))
    _, seen = follow(*answers, clock=lambda: now)
    assert seen[-1] == ("changes", (removed,), True)


class EarlyLoop(asyncio.SelectorEventLoop):
    """Fire timers 10 ms early.

    uvloop's are early by up to a millisecond. This loop rounds its waits up to whole
    milliseconds, which would hide so little.
    """

    def call_later(
        self, delay: float, callback: Callable[..., None], *args: object, **more: object
    ) -> asyncio.TimerHandle:
        return super().call_later(max(0.0, delay - 0.01), callback, *args, **more)


class HostsStore(ScriptedStore):
    """Give answers on the hosts, then no change; no configuration ever comes."""

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
    """Stand for a gateway that a watcher tells of changes."""

    def __init__(self) -> None:
        self.members = Members()
        self.runtime = Runtime()
        self.changes: list[Change] = []
        self.unreadable = 0

    def count_unreadable(self, count: int) -> None:
        self.unreadable = count

    def find_gathering(self) -> float:
        return 0.0

    def apply(self, changes: list[Change]) -> None:
        self.changes += changes


# Callers' requests go to an engine for seconds after it was removed, at last in vain.
# Its removal was read just after the store's return and kept back, as the entry might
# only have lapsed; the timer that was to give the host up fired up to a millisecond
# before the time that it compared with, and nobody looked again. Proved by the log of
# a day (the removal is read, no look drops it) and by timing the loop's timers.
def test_removed_host_is_given_up_though_its_timer_fires_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("adapter.watch.MIN_OUTAGE_SECONDS", 0.0)
    for module in ("adapter.watch", "radishtally.gateway.members"):
        monkeypatch.setattr(f"{module}.LAPSE_SECONDS", 0.05)
    listed, removed = StoredRow("a", DESK, 1), StoredRow("a", None, 5)

    async def play() -> None:
        store = HostsStore(Ok(Page((listed,), 4)), AWAY, Ok(Page((removed,), 5)))
        listener = Listener()
        StoreWatcher(store, listener).start()
        await wait_until(lambda: len(listener.changes) == 3)
        listener.runtime.cancel_tasks()
        assert [type(change) for change in listener.changes] == [Set, Miss, Forget]

    with asyncio.Runner(loop_factory=EarlyLoop) as runner:
        runner.run(play())


# All callers are refused until the store is back: it went away again just after its
# return, so hosts whose entries had lapsed could not write anew, but they were given
# up when their time had come. Proved by the log of a day: a gateway that has lost the
# store again gives up what the list lacked, and sees it again four seconds later.
def test_missing_hosts_are_kept_while_the_store_is_away_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("adapter.watch.MIN_OUTAGE_SECONDS", 0.0)
    for module in ("adapter.watch", "radishtally.gateway.members"):
        monkeypatch.setattr(f"{module}.LAPSE_SECONDS", 0.05)
    listed = tuple(StoredRow(host, DESK, 1) for host in "ab")
    removed = tuple(StoredRow(host, None, 5) for host in "ab")

    async def play() -> list[Change]:
        first, lapsed, back = Page(listed, 4), Page(removed, 5), Page(listed, 9)
        away = [AWAY] * 4
        store = HostsStore(Ok(first), AWAY, Ok(lapsed), *away, Ok(back))
        listener = Listener()
        StoreWatcher(store, listener).start()
        await wait_until(lambda: len(listener.changes) >= 6)
        listener.runtime.cancel_tasks()
        return listener.changes

    kinds = [type(change) for change in run(play())]
    assert kinds == [Set, Set, Miss, Miss, Return, Return]


# All callers are refused for a second: the store was away, but the gateway's question
# for changes was held all the while, so it saw no outage. The first answer after the
# return removed every entry, as none had been renewed, and all hosts were dropped.
# Proved by the log of a day: all are gone in one turn and seen again within 1.5 s,
# with no line of a lost store before.
def test_hosts_whose_entries_vanish_together_are_kept_for_a_while() -> None:
    listed = tuple(StoredRow(host, DESK, 1) for host in "ab")
    removed = tuple(StoredRow(host, None, 5) for host in "ab")

    async def play() -> list[Change]:
        store = HostsStore(Ok(Page(listed, 4)), Ok(Page(removed, 5)))
        listener = Listener()
        StoreWatcher(store, listener).start()
        await wait_until(lambda: len(listener.changes) == 4)
        listener.runtime.cancel_tasks()
        return listener.changes

    assert [type(change) for change in run(play())] == [Set, Set, Miss, Miss]


# Requests go to whoever listens at an address that a foreign entry names, or to a host
# whose entry says nothing any more: an entry that can't be read was passed over, and
# what stood there before held on.
@pytest.mark.parametrize("is_whole", [True, False])
@pytest.mark.parametrize("after_outage", [True, False])
def test_host_whose_entry_turns_unreadable_gets_no_more_work(
    is_whole: bool, after_outage: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("adapter.watch.MIN_OUTAGE_SECONDS", 0.0)
    good = tuple(StoredRow(host, DESK, 1) for host in "abcde")
    bad = StoredRow("a", b"{}", 5)
    first = [Ok(Page(good, 4))] + [AWAY] * after_outage
    then = [Ok(Compacted())] * is_whole + [
        Ok(Page((bad, *good[1:]) if is_whole else (bad,), 6)),
        Ok(Page((StoredRow("a", DESK, 7),), 8)),
    ]

    async def play() -> list[Change]:
        listener = Listener()
        StoreWatcher(HostsStore(*first, *then), listener).start()
        await wait_until(lambda: len(listener.changes) >= 7)
        listener.runtime.cancel_tasks()
        assert listener.unreadable == 0
        return listener.changes

    changes = run(play())
    assert [type(change) for change in changes] == [*[Set] * 5, Forget, Set]
    assert changes[5].host == changes[6].instance.host == "a"


def test_list_of_unreadable_entries_only_does_not_end_the_watch() -> None:
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
