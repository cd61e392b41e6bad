"""Test contenders that are stopped for a while, or can't reach the table."""

from collections.abc import Callable

import pytest

from radishtally.authority.lease import LeaseCore
from radishtally.authority.lease_events import (
    LEASE,
    ReadLease,
    RowInvalid,
    RowRead,
    Tick,
    WriteLease,
    WriteSettled,
)
from radishtally.authority.lease_value import MAX_GRANTED_SECONDS, MAX_SAFE_INTEGER
from radishtally.outcome import Ok
from radishtally.store.core import Key, Put, Row
from radishtally.store.ids import WriteIds
from tests.authority.test_lease import (
    PLACE,
    REFUSED,
    SERVED,
    TERMS,
    Contender,
    run_until,
)
from tests.common import Rows

KEY = Key(LEASE, PLACE)
WAIT = TERMS.granted + TERMS.margin
VALUE = {
    "holder": "x",
    "incarnation": "x-1",
    "fencing": 7,
    "granted": 10.0,
    "counter": 1,
    "era": 0,
}


@pytest.fixture
def rows() -> Rows:
    return Rows()


@pytest.fixture
def contend(rows: Rows) -> Callable[[str], Contender]:
    gained: list[int] = []
    return lambda name: Contender(name, rows, gained)


def run_together(
    contenders: list[Contender], start: float, end: float, fate: str = SERVED
) -> None:
    """Let contenders run in turn, with a table that meets all calls in one way."""
    time = start
    while time <= end:
        for contender in contenders:
            contender.handle(Tick(), time)
            while contender.call is not None:
                contender.serve(fate, time)
                contender.deliver(time)
        time += 0.5


# Planners change for nothing and roles stand still meanwhile: a contender wakes before
# the holder that stalled together with it, and counts the stall as time it has watched.
@pytest.mark.parametrize("watched", [0.5, 5.0, 9.0])
@pytest.mark.parametrize("first_awake", ["a", "c"])
def test_holder_that_stalled_as_well_keeps_its_lease(
    contend, watched: float, first_awake: str
) -> None:
    first, second = contend("a"), contend("c")
    run_together([first, second], 0.0, watched)
    assert first.holds(watched)
    awake = watched + 14.0
    order = [first, second] if first_awake == "a" else [second, first]
    run_together(order, awake, awake + 30.0)
    assert first.gained == [1, 2]
    assert first.holds(awake + 30.0)


# The same behind an outage of the table, which nobody reaches for longer than a lease.
def test_holder_keeps_its_lease_over_an_outage(contend) -> None:
    first, second = contend("a"), contend("c")
    run_together([first, second], 0.0, 5.0)
    run_together([second, first], 5.5, 25.0, REFUSED)
    run_together([second, first], 25.5, 60.0)
    assert first.holds(60.0)
    assert first.gained == [1, 2]


# A place has no planner for good: nobody ever watches the dead holder's row for a whole
# lease, as each look after an outage starts the count anew.
def test_dead_holder_is_succeeded_at_a_table_that_is_away_every_other_while(
    contend,
) -> None:
    first, second = contend("a"), contend("b")
    first.step(0.0)
    time = 0.0
    while time < 60.0:
        run_together([second], time, time + 2.0)
        run_together([second], time + 2.5, time + 7.5, REFUSED)
        time += 8.0
    assert second.holds(time - 6.0) or second.gained == [1, 2]


# A place has no planner for longer than a lease and its margin, though the one who
# watches the dead holder's row looks as it should.
def test_dead_holder_is_succeeded_after_a_whole_lease(contend) -> None:
    first, second = contend("a"), contend("b")
    first.step(0.0)
    run_together([second], 0.0, (WAIT + TERMS.read_every) / second.rate + 0.5)
    assert second.gained == [1, 2]


# The lease is written by what was seen before the process stalled.
def test_contender_that_wakes_looks_before_it_takes_over(contend) -> None:
    first, second = contend("a"), contend("b")
    first.step(0.0)
    run_until(second, 0.0, 11.0)
    assert not second.holds(11.0)
    second.handle(Tick(), 40.0)
    assert second.call == ReadLease(KEY)


# A look that was asked for before the stall is given after it, and passes for one that
# shows the row as it stands.
def test_look_from_before_a_stall_is_not_taken_for_a_new_one(contend) -> None:
    first, second = contend("a"), contend("b")
    first.step(0.0)
    run_until(second, 0.0, 9.0)
    second.handle(Tick(), 10.5)
    second.serve(SERVED, 10.5)
    second.deliver(24.5)
    assert not isinstance(second.call, WriteLease)


def settle(write: WriteLease) -> WriteSettled:
    return WriteSettled(write.write_id, Ok(None))


FAULTS = {
    "no holder": {"holder": None},
    "another type": {"granted": "10"},
    "fraction": {"fencing": 7.5},
    "truth value": {"fencing": True},
    "negative number": {"fencing": -1},
    "number that is far too high": {"fencing": MAX_SAFE_INTEGER + 1},
    "time that is far too long": {"granted": MAX_GRANTED_SECONDS + 1},
    "no time": {"granted": float("nan")},
    "era of another type": {"era": "1"},
}


# Planning ends for good at every contender: the row of another writer is crashed on, or
# its number or time is believed.
@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
def test_row_of_another_writer_names_no_holder(fault: dict) -> None:
    core = LeaseCore(PLACE, "a", WriteIds("a-1"), TERMS)
    changed = {**VALUE, **fault}
    value = {name: part for name, part in changed.items() if part is not None}
    rows, told = Rows(), []
    rows.apply([Put(KEY, value, 0)], "foreign")
    now = 0.0
    while not core.holds(now):
        now += 0.5
        assert now < 2 * WAIT, "nobody ever plans again"
        for command in core.handle(Tick(), now):
            if isinstance(command, ReadLease):
                found = core.handle(RowRead(rows.read(KEY), now), now)
                told += [one for one in found if isinstance(one, RowInvalid)]
                write = next((o for o in found if isinstance(o, WriteLease)), None)
                if write is not None:
                    assert rows.apply([write.put], write.write_id).is_ok()
                    core.handle(settle(write), now)
    assert len(told) == 1
    assert now >= WAIT
    assert core.fencing == 2


# A row lost its number with its content: the next holder gets one that another one had.
def test_number_is_above_all_that_a_misread_row_may_have_held() -> None:
    core = LeaseCore(PLACE, "a", WriteIds("a-1"), TERMS)
    core.handle(Tick(), 0.0)
    core.handle(RowRead(Row(KEY, 41, "foreign", {}), 0.0), 0.0)
    assert core.row.choose_fencing() == 42
