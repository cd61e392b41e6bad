"""Test contenders that are dropped and begin anew in the same process."""

from collections.abc import Callable

import pytest

from radishtally.authority.lease import LeaseCore
from radishtally.authority.lease_events import (
    Resign,
    SetContending,
    Tick,
)
from radishtally.store.ids import WriteIds
from tests.authority.test_lease import (
    LATE,
    PLACE,
    REPLY_LOST,
    SERVED,
    TERMS,
    Contender,
    run_until,
)
from tests.common import Rows


class Process(Contender):
    """Contend for a place, and begin anew with the ids of the same process."""

    def __init__(self, name: str, rows: Rows, gained: list[int]) -> None:
        super().__init__(name, rows, gained)
        self.name = name
        self.ids = WriteIds(f"{name}-1")
        self.begin()

    def begin(self) -> None:
        """Begin to contend, knowing nothing of the lease."""
        self.core = LeaseCore(PLACE, self.name, self.ids, TERMS)

    def drop(self, time: float) -> None:
        """Give the lease up, and end the call that is under way."""
        self.handle(Resign(), time)
        self.call = self.reply = None


@pytest.fixture
def begin() -> Callable[[str], Process]:
    rows, gained = Rows(), []
    return lambda name: Process(name, rows, gained)


def serve(process: Process, fate: str, time: float) -> None:
    process.serve(fate, time)
    process.deliver(time)


# Two planners order roles in turn under one fencing number: one of them has begun anew
# and takes its old row, which has long lapsed, for a write of its own that was lost.
def test_old_row_is_not_taken_for_a_lost_write(begin) -> None:
    first, second = begin("a"), begin("c")
    first.step(0.0)
    run_until(second, 0.1, 9.4)
    first.handle(Tick(), 9.5)
    assert first.lost == ["not renewed in time"]
    first.drop(9.5)
    first.begin()
    first.handle(Tick(), 10.0)
    serve(first, SERVED, 10.0)
    serve(first, LATE, 10.0)
    serve(first, SERVED, 10.6)
    assert not first.holds(10.6)
    first.call = None
    run_until(second, 10.0, 13.0)
    assert second.holds(13.0)
    assert not first.holds(13.0)
    assert first.gained == [1, 2]


# A holder is succeeded at once by itself: its first write after it began anew had
# taken effect, though the reply was lost.
def test_new_row_is_known_by_its_id_after_the_contender_began_anew(begin) -> None:
    first = begin("a")
    first.step(0.0)
    first.drop(1.0)
    first.begin()
    first.handle(Tick(), 2.0)
    serve(first, SERVED, 2.0)
    serve(first, REPLY_LOST, 2.0)
    serve(first, SERVED, 3.0)
    assert first.holds(3.0)
    assert first.gained == [1, 2]


# The row says for its whole time that somebody plans: a late write of a contender that
# was dropped comes after the row by which it gave the lease up.
def test_late_write_of_a_dropped_contender_gives_nobody_the_lease(begin) -> None:
    first, second = begin("a"), begin("c")
    first.step(0.0)
    second.step(0.0)
    first.handle(Tick(), 3.0)
    first.serve(LATE, 3.0)
    [write] = first.late
    first.drop(3.5)
    first.begin()
    first.step(4.0)
    assert first.holds(4.0)
    assert first.rows.apply([write.put], write.write_id).is_error()
    second.core.handle(SetContending(True), second.read_clock(5.0))
    second.step(5.0)
    assert not second.holds(5.0)
    assert first.gained == [1, 2]
