"""Tests of the lease driver."""

import asyncio

import pytest

from radishtally.authority.lease_driver import (
    FULL_RATE_CONTENDERS,
    READ_SPREAD,
    LeaseDriver,
)
from radishtally.authority.lease_events import LeaseTerms
from radishtally.outcome import Error, Ok, Result
from radishtally.store.core import Key, Row, TableError, Unavailable, Unclear, Write
from radishtally.store.ids import WriteIds
from tests.common import run

TERMS = LeaseTerms(granted=6.0, margin=0.5, renew_every=2.0, read_every=2.0)


# Reads of the lease row must not grow with the number of gateways, as one reader is
# enough. Neither may reads become so rare that a row renewed in between seems lapsed.
@pytest.mark.parametrize(
    ("contenders", "seconds"),
    [(1, 2.0), (FULL_RATE_CONTENDERS, 2.0), (8, 4.0), (330, 5.5)],
)
def test_read_interval_grows_with_the_number_of_contenders(
    contenders: int, seconds: float
) -> None:
    holder = LeaseDriver(
        None, "stages", "a", WriteIds("a-1"), TERMS, on_gained=print, on_lost=print
    )
    holder.set_contender_count(contenders)
    shortest = max(TERMS.read_every, seconds * (1.0 - READ_SPREAD))
    assert shortest <= holder._core.read_every <= seconds


class RestoredTable:
    """Report a new era along with a call's answer, as the store's client does."""

    def __init__(self) -> None:
        self.holder: LeaseDriver | None = None
        self.era = 0
        """Era that the next answer reveals; 0 for none."""
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


# Guards against a write from the earlier era that is retried in the new one until its
# outcome is known: it may take effect there, and the row is not read meanwhile.
def test_write_of_an_earlier_era_is_not_retried() -> None:
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


# Guards against a row that is never read again, or read by two calls at once: the read
# whose answer reveals the new era is ended by it, but still reports its outcome.
def test_read_that_reveals_a_new_era_is_ended_by_it() -> None:
    async def play_on() -> None:
        table = RestoredTable()
        holder = LeaseDriver(
            table, "stages", "a", WriteIds("a-1"), TERMS, on_gained=print, on_lost=print
        )
        table.holder, table.era = holder, 2
        holder.start()
        while not holder._core.row.is_current:
            assert holder._core._call_in_flight
            await asyncio.sleep(0)
        assert table.reads == 2
        await holder.stop()

    run(play_on())
