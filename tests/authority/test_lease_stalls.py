"""Tests of contenders that stall, can't reach the table, or read an invalid row."""

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
WAIT_SECONDS = TERMS.granted + TERMS.margin
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
def make_contender(rows: Rows) -> Callable[[str], Contender]:
    gained: list[int] = []
    return lambda name: Contender(name, rows, gained)


def run_together(
    contenders: list[Contender], start: float, end: float, fate: str = SERVED
) -> None:
    """Run contenders in turn, with a table that handles all calls in the same way."""
    time = start
    while time <= end:
        for contender in contenders:
            contender.handle(Tick(), time)
            while contender.call is not None:
                contender.serve(fate, time)
                contender.deliver(time)
        time += 0.5


# Guards against a needless change of planner, during which no roles change: a contender
# resumes before the holder that stalled with it, and counts the stall as observed time.
@pytest.mark.parametrize("watched", [0.5, 5.0, 9.0])
@pytest.mark.parametrize("first_awake", ["a", "c"])
def test_holder_that_stalled_with_its_contender_keeps_the_lease(
    make_contender, watched: float, first_awake: str
) -> None:
    first, second = make_contender("a"), make_contender("c")
    run_together([first, second], 0.0, watched)
    assert first.holds(watched)
    resumed_at = watched + 14.0
    order = [first, second] if first_awake == "a" else [second, first]
    run_together(order, resumed_at, resumed_at + 30.0)
    assert first.gained == [1, 2]
    assert first.holds(resumed_at + 30.0)


# The same after an outage of the table that lasts longer than a lease.
def test_holder_keeps_its_lease_across_an_outage(make_contender) -> None:
    first, second = make_contender("a"), make_contender("c")
    run_together([first, second], 0.0, 5.0)
    run_together([second, first], 5.5, 25.0, REFUSED)
    run_together([second, first], 25.5, 60.0)
    assert first.holds(60.0)
    assert first.gained == [1, 2]


# Guards against a place that never gets a planner again: each read after an outage
# resets the observed time, so no contender observes the dead holder's row for a whole
# lease.
def test_dead_holder_is_succeeded_despite_recurring_outages_of_the_table(
    make_contender,
) -> None:
    first, second = make_contender("a"), make_contender("b")
    first.step(0.0)
    time = 0.0
    while time < 60.0:
        run_together([second], time, time + 2.0)
        run_together([second], time + 2.5, time + 7.5, REFUSED)
        time += 8.0
    assert second.holds(time - 6.0) or second.gained == [1, 2]


# Guards against a place that has no planner for longer than a lease and its margin,
# although a contender reads the dead holder's row regularly.
def test_dead_holder_is_succeeded_after_a_whole_lease(make_contender) -> None:
    first, second = make_contender("a"), make_contender("b")
    first.step(0.0)
    run_together([second], 0.0, (WAIT_SECONDS + TERMS.read_every) / second.rate + 0.5)
    assert second.gained == [1, 2]


# Guards against a takeover based on what was read before the process stalled.
def test_contender_that_resumes_reads_the_row_before_a_takeover(make_contender) -> None:
    first, second = make_contender("a"), make_contender("b")
    first.step(0.0)
    run_until(second, 0.0, 11.0)
    assert not second.holds(11.0)
    second.handle(Tick(), 40.0)
    assert second.call == ReadLease(KEY)


# Guards against a read sent before a stall and answered after it that is taken for the
# current row.
def test_read_from_before_a_stall_does_not_count_as_current(make_contender) -> None:
    first, second = make_contender("a"), make_contender("b")
    first.step(0.0)
    run_until(second, 0.0, 9.0)
    second.handle(Tick(), 10.5)
    second.serve(SERVED, 10.5)
    second.deliver(24.5)
    assert not isinstance(second.call, WriteLease)


def settle(write: WriteLease) -> WriteSettled:
    return WriteSettled(write.write_id, Ok(None))


FAULTS = {
    "missing holder": {"holder": None},
    "wrong type": {"granted": "10"},
    "fraction": {"fencing": 7.5},
    "boolean": {"fencing": True},
    "negative number": {"fencing": -1},
    "token too high": {"fencing": MAX_SAFE_INTEGER + 1},
    "duration too long": {"granted": MAX_GRANTED_SECONDS + 1},
    "duration not a number": {"granted": float("nan")},
    "era of wrong type": {"era": "1"},
}


# Guards against planning that ends for good: a foreign writer's row crashes every
# contender, or they accept its fencing token or lease duration.
@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
def test_invalid_row_is_reported_once_and_taken_over(fault: dict) -> None:
    core = LeaseCore(PLACE, "a", WriteIds("a-1"), TERMS)
    changed = {**VALUE, **fault}
    value = {name: part for name, part in changed.items() if part is not None}
    rows, reported = Rows(), []
    rows.apply([Put(KEY, value, 0)], "foreign")
    now = 0.0
    while not core.holds(now):
        now += 0.5
        assert now < 2 * WAIT_SECONDS, "no contender ever gains the lease"
        for command in core.handle(Tick(), now):
            if isinstance(command, ReadLease):
                found = core.handle(RowRead(rows.read(KEY), now), now)
                reported += [item for item in found if isinstance(item, RowInvalid)]
                write = next(
                    (item for item in found if isinstance(item, WriteLease)), None
                )
                if write is not None:
                    assert rows.apply([write.put], write.write_id).is_ok()
                    core.handle(settle(write), now)
    assert len(reported) == 1
    assert now >= WAIT_SECONDS
    assert core.fencing == 2


# Guards against a fencing token that is granted twice: an invalid row has lost its
# token.
def test_new_token_is_above_any_that_an_invalid_row_may_have_held() -> None:
    core = LeaseCore(PLACE, "a", WriteIds("a-1"), TERMS)
    core.handle(Tick(), 0.0)
    core.handle(RowRead(Row(KEY, 41, "foreign", {}), 0.0), 0.0)
    assert core.row.choose_fencing() == 42
