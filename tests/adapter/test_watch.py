"""Tests of following the tables of the store."""

import asyncio
from contextlib import suppress

from adapter.store import Compacted, Page, StoredRow
from adapter.watch import FEED_SECONDS, TableWatch

from radishtally.outcome import Error, Ok, Result
from radishtally.store.core import Unavailable
from tests.common import run

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
