"""A transaction whose reply is lost is settled and never guessed."""

import asyncio
import itertools
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.outcome import Error
from radishtally.store import settle
from radishtally.store.core import ABSENT, Check, Conflict, Key, Put, Unavailable
from radishtally.store.settle import transact_settled
from tests.common import run
from tests.store.common import name_outcome
from tests.store.memory import (
    KEPT,
    LAST,
    LATE,
    LOST,
    OTHER,
    PASS,
    THROTTLED,
    UNREAD,
    FaultyTable,
)

HEAD = Key("head", "x")
LEASE = Key("lease", "x")
ATTEMPTS = 8
HANG_SECONDS = 30.0


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(settle, "FIRST_PAUSE_SECONDS", 0.0)


def write(table, writes):
    clock = itertools.count().__next__
    return run(transact_settled(table, writes, "mine", deadline=ATTEMPTS, clock=clock))


# The writer's reply is lost, or its next attempt is turned away, while others write.
# First the listed faults happen, one an attempt; then all attempts pass. The writer
# must learn whether its write took effect, and "Unclear" only if nothing can tell.
@pytest.mark.parametrize(
    ("faults", "outcome", "times_applied"),
    [
        ([PASS], "Ok", 1),
        ([LOST, PASS], "Ok", 1),
        ([KEPT, PASS], "Ok", 1),
        ([LATE, PASS], "Ok", 1),
        ([LAST, PASS], "Ok", 1),
        ([LOST, LOST, KEPT, PASS], "Ok", 1),
        ([KEPT, THROTTLED, PASS], "Ok", 1),
        ([KEPT, UNREAD, PASS], "Ok", 1),
        ([THROTTLED], "Unavailable", 0),
        ([OTHER], "Conflict", 0),
        ([LOST, OTHER], "Conflict", 0),
        ([LAST, OTHER], "Conflict", 0),
        ([LOST, THROTTLED, OTHER], "Conflict", 0),
        ([KEPT, OTHER], "Unclear", 1),
        ([LATE, OTHER], "Unclear", 1),
        ([LOST] + [THROTTLED] * ATTEMPTS, "Unclear", 0),
        ([KEPT] + [THROTTLED] * ATTEMPTS, "Unclear", 1),
    ],
)
def test_faults(faults, outcome, times_applied):
    table = FaultyTable(faults)
    result = write(table, [Put(HEAD, {"a": 1}, ABSENT)])
    table.deliver_all()
    assert name_outcome(result) == outcome
    assert table.applied.count("mine") == times_applied


# Whatever is lost, late or raced, what the writer is told stays true after the last
# write under way has arrived: Ok means once, Conflict and Unavailable mean never.
@given(
    faults=st.lists(
        st.sampled_from([PASS, LOST, KEPT, LATE, LAST, THROTTLED, OTHER, UNREAD]),
        max_size=6,
    ),
    expect=st.sampled_from([ABSENT, 1, 2]),
    rows=st.integers(1, 3),
)
def test_outcome_is_true(faults, expect, rows):
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


def test_unmoved_row_tells_that_nothing_passed_without_a_read():
    table = FaultyTable([LOST])
    table.write_as_other([Put(HEAD, {}, ABSENT)])
    writes = [Put(HEAD, {}, 1), Put(Key("new", "row"), {}, ABSENT), Check(LEASE, 3)]
    assert write(table, writes) == Error(Conflict((2,)))


def test_passed_deadline_sends_nothing():
    table = FaultyTable()
    coroutine = transact_settled(table, [Put(HEAD, {}, None)], "mine", deadline=0.0)
    result = run(coroutine)
    assert isinstance(result.error, Unavailable)
    assert table.applied == []


def test_call_without_reply_ends_at_the_deadline(monkeypatch):
    # The table takes the write and goes silent. The writer has a deadline of its own
    # and must hear by then that the outcome is unclear, not wait for the table.
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
