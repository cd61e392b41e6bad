"""Tests that the outcome of a transaction with a lost reply is known, never guessed."""

import asyncio
import itertools
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.outcome import Error, Ok
from radishtally.store import settle
from radishtally.store.core import ABSENT, Check, Conflict, Key, Put, Row, Unavailable
from radishtally.store.settle import transact_settled
from tests.common import run
from tests.store.common import name_outcome
from tests.store.memory import (
    DELAYED,
    DELAYED_TO_END,
    OVERTAKEN,
    PASS,
    READ_FAILS,
    REPLY_LOST,
    REQUEST_LOST,
    THROTTLED,
    FaultyTable,
)

HEAD = Key("head", "x")
LEASE = Key("lease", "x")
ATTEMPTS = 8
HANG_SECONDS = 30.0


@pytest.fixture(autouse=True)
def no_backoff(monkeypatch):
    monkeypatch.setattr(settle, "INITIAL_BACKOFF_SECONDS", 0.0)


def write(table, writes):
    clock = itertools.count().__next__
    return run(transact_settled(table, writes, "mine", deadline=ATTEMPTS, clock=clock))


# The writer's reply is lost, or its next attempt is refused, while others write. The
# listed faults happen first, one per attempt; then all attempts are handled. The writer
# must learn whether its write took effect, and "Unclear" only if that can't be known.
@pytest.mark.parametrize(
    ("faults", "outcome", "times_applied"),
    [
        ([PASS], "Ok", 1),
        ([REQUEST_LOST, PASS], "Ok", 1),
        ([REPLY_LOST, PASS], "Ok", 1),
        ([DELAYED, PASS], "Ok", 1),
        ([DELAYED_TO_END, PASS], "Ok", 1),
        ([REQUEST_LOST, REQUEST_LOST, REPLY_LOST, PASS], "Ok", 1),
        ([REPLY_LOST, THROTTLED, PASS], "Ok", 1),
        ([REPLY_LOST, READ_FAILS, PASS], "Ok", 1),
        ([THROTTLED], "Unavailable", 0),
        ([OVERTAKEN], "Conflict", 0),
        ([REQUEST_LOST, OVERTAKEN], "Conflict", 0),
        ([DELAYED_TO_END, OVERTAKEN], "Conflict", 0),
        ([REQUEST_LOST, THROTTLED, OVERTAKEN], "Conflict", 0),
        ([REPLY_LOST, OVERTAKEN], "Unclear", 1),
        ([DELAYED, OVERTAKEN], "Unclear", 1),
        ([REQUEST_LOST] + [THROTTLED] * ATTEMPTS, "Unclear", 0),
        ([REPLY_LOST] + [THROTTLED] * ATTEMPTS, "Unclear", 1),
    ],
)
def test_faults(faults, outcome, times_applied):
    table = FaultyTable(faults)
    result = write(table, [Put(HEAD, {"a": 1}, ABSENT)])
    table.deliver_all()
    assert name_outcome(result) == outcome
    assert table.applied.count("mine") == times_applied


# Whatever is lost, delayed or raced, the reported outcome must still be true after the
# last write in flight has arrived: Ok means once, Conflict and Unavailable mean never.
@given(
    faults=st.lists(
        st.sampled_from(
            [
                PASS,
                REQUEST_LOST,
                REPLY_LOST,
                DELAYED,
                DELAYED_TO_END,
                THROTTLED,
                OVERTAKEN,
                READ_FAILS,
            ]
        ),
        max_size=6,
    ),
    expect=st.sampled_from([ABSENT, 1, 2]),
    rows=st.integers(1, 3),
)
def test_reported_outcome_is_true(faults, expect, rows):
    table = FaultyTable(faults)
    puts = [Put(Key("p", str(n)), {}, expect) for n in range(rows)]
    for _ in range(expect):
        table.write_as_other(puts)
    outcome = name_outcome(write(table, puts))
    table.deliver_all()
    times = table.applied.count("mine")
    assert times <= 1
    if outcome != "Unclear":
        assert times == (1 if outcome == "Ok" else 0)


def test_unchanged_row_proves_that_no_attempt_succeeded_without_a_read():
    table = FaultyTable([REQUEST_LOST])
    table.write_as_other([Put(HEAD, {}, ABSENT)])
    writes = [Put(HEAD, {}, 1), Put(Key("new", "row"), {}, ABSENT), Check(LEASE, 3)]
    assert write(table, writes) == Error(Conflict((2,)))


def test_nothing_is_sent_after_the_deadline():
    table = FaultyTable()
    coroutine = transact_settled(table, [Put(HEAD, {}, None)], "mine", deadline=0.0)
    result = run(coroutine)
    assert isinstance(result.error, Unavailable)
    assert table.applied == []


def test_call_without_reply_ends_at_the_deadline(monkeypatch):
    # The table accepts the write and never replies. By its own deadline, the writer
    # must learn that the outcome is unclear instead of waiting for the table.
    async def hang(writes, write_id):
        await asyncio.Event().wait()

    async def body():
        table = FaultyTable()
        monkeypatch.setattr(table, "transact", hang)
        deadline = time.monotonic() + 0.05
        puts = [Put(HEAD, {}, None)]
        settled = transact_settled(table, puts, "mine", deadline=deadline)
        return await asyncio.wait_for(settled, HANG_SECONDS)

    assert name_outcome(run(body())) == "Unclear"


class RestoredTable(FaultyTable):
    """Restore a copy before the second attempt, which then conflicts with a new row."""

    def __init__(self, faults: list[str], is_restored: bool) -> None:
        super().__init__(faults)
        self.era = 1
        self.copy: dict[Key, Row] = {}
        """Rows that a restore brings back."""
        self._attempts = 0
        self._is_restored = is_restored

    async def get(self, key):
        """Read one row."""
        read = await super().get(key)
        if read.is_error() or read.ok is None:
            return read
        return Ok(read.ok._replace(era=self.era))

    async def transact(self, writes, write_id):
        """Carry out all writes or none, in the current era."""
        self._attempts += 1
        if self._attempts == 2:
            self._restore()
            self.write_as_other(writes[:1])
        return await super().transact(writes, write_id)

    def _restore(self) -> None:
        if not self._is_restored:
            return
        self.rows.clear()
        self.rows.update(self.copy)
        self.era += 1


# Guards against a writer that is told that its write failed, although it took effect or
# does so later: the first attempt was unclear, the store was restored from an older
# copy, and the next attempt conflicts with another writer there. A row that is one
# revision ahead, or unchanged, proves something only about attempts in its own era.
@pytest.mark.parametrize("rows", [1, 2])
@pytest.mark.parametrize(
    ("fault", "is_restored", "outcome"),
    [
        (REQUEST_LOST, False, "Conflict"),
        (DELAYED, False, "Conflict"),
        (DELAYED_TO_END, False, "Conflict"),
        (REQUEST_LOST, True, "Unclear"),
        (REPLY_LOST, True, "Unclear"),
        (DELAYED, True, "Unclear"),
        (DELAYED_TO_END, True, "Unclear"),
    ],
)
def test_restore_between_an_unclear_attempt_and_its_retry(
    fault, is_restored, outcome, rows
):
    table = RestoredTable([fault], is_restored)
    puts = [Put(Key("p", str(n)), {}, 1) for n in range(rows)]
    table.write_as_other(puts)
    table.copy = dict(table.rows)
    assert name_outcome(write(table, puts)) == outcome


# A row with the write's id proves that the write took effect, even if the store was
# restored from a copy made after the write.
def test_write_id_decides_the_outcome_after_a_restore():
    table = RestoredTable([REPLY_LOST], is_restored=True)
    puts = [Put(Key("p", str(n)), {}, ABSENT) for n in range(2)]
    table.copy = {puts[1].key: Row(puts[1].key, 1, "mine", {})}
    assert name_outcome(write(table, puts)) == "Ok"
