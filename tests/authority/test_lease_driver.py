"""Tests of driving a lease."""

import asyncio

import pytest

from radishtally.authority.lease_driver import READERS, LeaseDriver
from radishtally.authority.lease_events import LeaseTerms
from radishtally.outcome import Error, Ok, Result
from radishtally.store.core import Key, Row, TableError, Unavailable, Unclear, Write
from radishtally.store.ids import WriteIds
from tests.common import run

TERMS = LeaseTerms(granted=6.0, margin=0.5, renew_every=2.0, read_every=2.0)


# Calls to the store grow with the gateways though one of them looking is enough. Nor
# may they look so seldom that a row renewed in between seems to have lapsed.
@pytest.mark.parametrize(
    ("contenders", "seconds"), [(1, 2.0), (READERS, 2.0), (8, 4.0), (330, 5.5)]
)
def test_contenders_share_the_looks_at_the_lease(
    contenders: int, seconds: float
) -> None:
    holder = LeaseDriver(
        None, "stages", "a", WriteIds("a-1"), TERMS, on_gained=print, on_lost=print
    )
    holder.set_contender_count(contenders)
    assert holder._core.read_every == seconds


class RestoredTable:
    """Tell of a new era with a call's answer, as the store's client does."""

    def __init__(self) -> None:
        self.holder: LeaseDriver | None = None
        self.era = 0
        """Era that the next answer is the first to tell of."""
        self.reads = 0
        self.written: list[str] = []

    async def get(self, key: Key) -> Result[Row | None, Unavailable]:
        self.reads += 1
        await asyncio.sleep(0)
        if not self.era:
            return Ok(None)
        era, self.era = self.era, 0
        self.holder.enter_era(era)
        return Error(Unavailable("another era"))

    async def transact(
        self, writes: list[Write], write_id: str
    ) -> Result[None, TableError]:
        self.written.append(write_id)
        return Error(Unclear("reply lost"))


# A write of the earlier era is sent again in the new one until its outcome is known,
# and may be carried out there; no look at the lease is made meanwhile.
def test_write_of_an_earlier_era_is_not_sent_again() -> None:
    async def play_on() -> None:
        table = RestoredTable()
        holder = LeaseDriver(
            table, "stages", "a", WriteIds("a-1"), TERMS, on_gained=print, on_lost=print
        )
        holder.start()
        while not table.written:
            await asyncio.sleep(0)
        (call,) = holder._calls
        reads = table.reads
        holder.enter_era(2)
        await asyncio.wait([call])
        assert call.cancelled()
        while table.reads == reads:
            await asyncio.sleep(0)
        assert len(table.written) == 1
        await holder.stop()

    run(play_on())


# The lease is never looked at again, or by two calls at once: the look whose answer
# told of the new era is ended by it, and hands its outcome in all the same.
def test_call_that_tells_of_an_era_is_over_with_it() -> None:
    async def play_on() -> None:
        table = RestoredTable()
        holder = LeaseDriver(
            table, "stages", "a", WriteIds("a-1"), TERMS, on_gained=print, on_lost=print
        )
        table.holder, table.era = holder, 2
        holder.start()
        while not holder._core.row.is_current:
            assert holder._core._busy
            await asyncio.sleep(0)
        assert table.reads == 2
        await holder.stop()

    run(play_on())
