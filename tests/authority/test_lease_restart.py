"""Tests of contenders that are dropped and started again in the same process."""

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
    DELAYED,
    PLACE,
    REPLY_LOST,
    SERVED,
    TERMS,
    Contender,
    run_until,
)
from tests.common import Rows


class Process(Contender):
    """Contend for a place; a restarted contender keeps the process's write ids."""

    def __init__(self, name: str, rows: Rows, gained: list[int]) -> None:
        super().__init__(name, rows, gained)
        self.name = name
        self.ids = WriteIds(f"{name}-1")
        self.restart()

    def restart(self) -> None:
        """Start to contend, without any state of the lease."""
        self.core = LeaseCore(PLACE, self.name, self.ids, TERMS)

    def drop(self, time: float) -> None:
        """Release the lease and abandon the call in flight."""
        self.handle(Resign(), time)
        self.call = self.reply = None


@pytest.fixture
def make_process() -> Callable[[str], Process]:
    rows, gained = Rows(), []
    return lambda name: Process(name, rows, gained)


def serve(process: Process, fate: str, time: float) -> None:
    process.serve(fate, time)
    process.deliver(time)


# Guards against two planners that order roles in turn under one fencing token: a
# restarted contender takes its old, lapsed row for its own write whose reply was lost.
def test_old_row_is_not_taken_for_a_lost_write(make_process) -> None:
    first, second = make_process("a"), make_process("c")
    first.step(0.0)
    run_until(second, 0.1, 9.4)
    first.handle(Tick(), 9.5)
    assert first.lost == ["not renewed in time"]
    first.drop(9.5)
    first.restart()
    first.handle(Tick(), 10.0)
    serve(first, SERVED, 10.0)
    serve(first, DELAYED, 10.0)
    serve(first, SERVED, 10.6)
    assert not first.holds(10.6)
    first.call = None
    run_until(second, 10.0, 13.0)
    assert second.holds(13.0)
    assert not first.holds(13.0)
    assert first.gained == [1, 2]


# The first write after the restart took effect, though its reply was lost. The
# contender must recognize the row by its write id and hold the lease at once.
def test_new_row_is_recognized_by_its_write_id_after_a_restart(
    make_process,
) -> None:
    first = make_process("a")
    first.step(0.0)
    first.drop(1.0)
    first.restart()
    first.handle(Tick(), 2.0)
    serve(first, SERVED, 2.0)
    serve(first, REPLY_LOST, 2.0)
    serve(first, SERVED, 3.0)
    assert first.holds(3.0)
    assert first.gained == [1, 2]


# Guards against a row that names a holder for a whole lease though nobody plans: a
# delayed write of a dropped contender arrives after the row that released the lease.
def test_delayed_write_of_a_dropped_contender_grants_no_lease(make_process) -> None:
    first, second = make_process("a"), make_process("c")
    first.step(0.0)
    second.step(0.0)
    first.handle(Tick(), 3.0)
    first.serve(DELAYED, 3.0)
    [write] = first.delayed
    first.drop(3.5)
    first.restart()
    first.step(4.0)
    assert first.holds(4.0)
    assert first.rows.apply([write.put], write.write_id).is_error()
    second.core.handle(SetContending(True), second.read_clock(5.0))
    second.step(5.0)
    assert not second.holds(5.0)
    assert first.gained == [1, 2]
