"""Tests of following the tables of the store."""

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress

import pytest
from adapter import const
from adapter.store import Compacted, Page, StoredRow
from adapter.watch import FEED_SECONDS, TableWatch, Watcher

from radishtally.gateway.members import Change, Forget, Members, Miss, Set
from radishtally.outcome import Error, Ok, Result
from radishtally.runtime import Runtime
from radishtally.store.core import Unavailable
from tests.common import run
from tests.gateway.common import ENTRY, wait_until

ROW = StoredRow("k", b"v", 1)
AWAY = Error(Unavailable("away"))


class ScriptedStore:
    """Give one answer after another, and keep what was asked."""

    def __init__(self, *answers: Result) -> None:
        self.answers = list(answers)
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


def follow(*answers: Result) -> tuple[ScriptedStore, list[object]]:
    """Follow a table until the answers end."""
    store, seen = ScriptedStore(*answers), []
    watch = TableWatch(
        store,
        "servers",
        lambda rows, after: seen.append(("all", rows, after)),
        lambda rows, after: seen.append(("changes", rows, after)),
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


def test_short_outage_lets_no_entry_lapse() -> None:
    _, seen = follow(Ok(Page((), 4)), AWAY, Ok(Page((ROW,), 5)))
    assert seen[-1] == ("changes", (ROW,), False)


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
    """Give answers on the hosts; no configuration ever comes."""

    async def read_table(self, table: str) -> Result:
        if table == const.HOSTS_TABLE:
            return await super().read_table(table)
        return await asyncio.Event().wait()


class Listener:
    """Stand for a gateway that a watcher tells of changes."""

    def __init__(self) -> None:
        self.members = Members()
        self.runtime = Runtime()
        self.changes: list[Change] = []

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
    value = {**ENTRY, "service": "desk", "address": "10.0.0.1:80"}
    listed, removed = (
        StoredRow("a", json.dumps(value).encode(), 1),
        StoredRow("a", None, 5),
    )

    async def play() -> None:
        store = HostsStore(Ok(Page((listed,), 4)), AWAY, Ok(Page((removed,), 5)))
        listener = Listener()
        Watcher(store, listener).start()
        await wait_until(lambda: len(listener.changes) == 3)
        listener.runtime.cancel_tasks()
        assert [type(change) for change in listener.changes] == [Set, Miss, Forget]

    with asyncio.Runner(loop_factory=EarlyLoop) as runner:
        runner.run(play())
