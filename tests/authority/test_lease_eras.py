"""Tests of the planner lease across restores of the store from an older copy."""

from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from radishtally.authority.lease import LeaseCore
from radishtally.authority.lease_events import (
    LEASE,
    RELEASED,
    EraEntered,
    FencingOutdated,
    LeaseValue,
    ReadLease,
    Resign,
    RowRead,
    SetContending,
    Tick,
    WriteLease,
)
from radishtally.store.core import Key, Put, Row
from radishtally.store.ids import WriteIds
from tests.authority.test_lease import (
    DELAYED,
    NAMES,
    PLACE,
    REFUSED,
    REPLY_LOST,
    SERVED,
    TERMS,
    Contender,
    run_until,
)
from tests.common import Rows

KEY = Key(LEASE, PLACE)


class EraRows(Rows):
    """Store rows, copy them, and restore the copy in a new era.

    A write's condition is only the row's revision. It holds by chance more often than
    it would with store-wide versions, which writes of other rows advance too.
    """

    def __init__(self) -> None:
        super().__init__()
        self.era = 1
        self._copy: dict[Key, Row] = {}

    def read(self, key: Key) -> Row | None:
        """Read one row."""
        row = super().read(key)
        return None if row is None else row._replace(era=self.era)

    def copy(self) -> None:
        """Copy the current rows."""
        self._copy = dict(self.rows)

    def restore(self) -> None:
        """Lose everything written since the copy and start a new era."""
        self.rows = dict(self._copy)
        self.era += 1


class EraContender(Contender):
    """Contend at a store that reports its era; a new one ends the call in flight."""

    def __init__(self, name: str, rows: EraRows, gained: list[int]) -> None:
        super().__init__(name, rows, gained)
        self.era = 0

    def serve(self, fate: str, time: float) -> None:
        """Handle the call at the table; the first of an era reveals only the era."""
        answers = fate == SERVED or (
            fate == REPLY_LOST and isinstance(self.call, ReadLease)
        )
        if self.era == self.rows.era or not answers:
            super().serve(fate, time)
            return
        call, self.call = self.call, None
        if isinstance(call, WriteLease):
            self.rows.apply([call.put], call.write_id)
        self.observe_era(time)

    def deliver(self, time: float) -> None:
        if self.reply is not None:
            super().deliver(time)

    def observe_era(self, time: float) -> None:
        """Enter the store's current era, as any answer to this process reveals it."""
        if self.era == self.rows.era:
            return
        self.abandon_call()
        self.era = self.rows.era
        self.handle(EraEntered(self.era), time)

    def abandon_call(self) -> None:
        if isinstance(self.call, WriteLease):
            self.delayed.append(self.call)
        self.call = self.reply = None

    def restart(self, time: float) -> None:
        """Restart as a new process on this host, without any state."""
        self.abandon_call()
        self.era = 0
        incarnation = f"{self.core.key.sk}-{time}"
        self.core = LeaseCore(PLACE, "host", WriteIds(incarnation), TERMS)


@settings(max_examples=400, stateful_step_count=60)
class EraMachine(RuleBasedStateMachine):
    """Restore the store at any step, pause and restart contenders, delay writes.

    Guards against two holders that may both give orders, and against a holder whose
    fencing token is not above those of all earlier holders. A contender acts only when
    a rule picks it, and learns of a new era by a rule or by its next answer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0
        self.restarts = 0
        self.rows = EraRows()
        self.gained: list[int] = []
        self.contenders = {n: EraContender(n, self.rows, self.gained) for n in NAMES}

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.9, 5.0, 9.5, 12.0]))
    def advance(self, seconds: float) -> None:
        self.time += seconds

    @rule()
    def copy(self) -> None:
        self.rows.copy()

    @rule()
    def restore(self) -> None:
        self.rows.restore()

    @rule(name=st.sampled_from(NAMES))
    def observe_era(self, name: str) -> None:
        self.contenders[name].observe_era(self.time)

    @rule(name=st.sampled_from(NAMES))
    def tick(self, name: str) -> None:
        self.contenders[name].handle(Tick(), self.time)

    @rule(name=st.sampled_from(NAMES))
    def resign(self, name: str) -> None:
        self.contenders[name].handle(Resign(), self.time)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        self.restarts += 1
        self.contenders[name].restart(self.restarts)

    @rule(name=st.sampled_from(NAMES))
    def refuse_fencing(self, name: str) -> None:
        contender = self.contenders[name]
        if contender.holds(self.time):
            contender.handle(FencingOutdated(contender.core.fencing), self.time)

    @rule(name=st.sampled_from(NAMES), contends=st.booleans())
    def set_contending(self, name: str, contends: bool) -> None:
        self.contenders[name].handle(SetContending(contends), self.time)

    @rule(
        name=st.sampled_from(NAMES),
        fate=st.sampled_from([SERVED, REPLY_LOST, DELAYED, REFUSED]),
    )
    def serve(self, name: str, fate: str) -> None:
        if self.contenders[name].call is not None:
            self.contenders[name].serve(fate, self.time)

    @rule(name=st.sampled_from(NAMES))
    def deliver(self, name: str) -> None:
        self.contenders[name].deliver(self.time)

    @rule(name=st.sampled_from(NAMES))
    def apply_delayed_write(self, name: str) -> None:
        delayed = self.contenders[name].delayed
        if delayed:
            write = delayed.pop(0)
            self.rows.apply([write.put], write.write_id)

    @rule(
        names=st.lists(st.sampled_from(NAMES), min_size=1, unique=True),
        seconds=st.sampled_from([1, 3, 9, 12, 14]),
    )
    def run_undisturbed(self, names: list[str], seconds: int) -> None:
        """Run some contenders without faults while the others are paused."""
        for _ in range(seconds):
            self.time += 1.0
            for name in names:
                self.run_contender(self.contenders[name])
                self.check_one_holder()

    def run_contender(self, contender: EraContender) -> None:
        if contender.call is not None:
            contender.serve(SERVED, self.time)
        contender.deliver(self.time)
        if contender.call is None:
            contender.step(self.time)

    @invariant()
    def check_one_holder(self) -> None:
        holders = [n for n, c in self.contenders.items() if c.holds(self.time)]
        assert len(holders) <= 1, f"{holders} may all give orders"


TestEraMachine = EraMachine.TestCase


@pytest.fixture
def rows() -> EraRows:
    return EraRows()


@pytest.fixture
def make_contender(rows: EraRows) -> Callable[[str], EraContender]:
    gained: list[int] = []
    return lambda name: EraContender(name, rows, gained)


def make_put(
    holder: str, fencing: int, expect: int, granted: float = 10.0, era: int = 1
) -> Put:
    value = LeaseValue(
        holder=holder,
        incarnation=f"{holder}-1",
        fencing=fencing,
        granted=granted,
        counter=1,
        era=era,
    )
    return Put(KEY, dict(value), expect)


def gain_lease(contender: EraContender) -> float:
    """Let a contender gain the lease of a new store; return the time."""
    run_until(contender, 0.0, 12.0)
    assert contender.holds(12.0)
    return 12.0


# Guards against two holders. A restore loses the row of a holder that ended, and
# another process writes a new row between two reads, with the same revision. A
# contender that compares only revisions takes over from a holder that has just written.
def test_row_with_equal_revision_from_another_writer_counts_as_changed() -> None:
    rows = Rows()
    second = Contender("a", rows, [])
    rows.apply([make_put("c", 1, 0, era=0)], "c-1-1")
    run_until(second, 0.0, 8.0)
    rows.rows.clear()
    rows.apply([make_put("b", 1, 0, era=0)], "b-1-1")
    run_until(second, 8.5, 19.5)
    assert not second.holds(19.5)
    run_until(second, 20.0, 22.0)
    assert second.holds(22.0)


# Guards against two holders: the store is restored from a copy without the holder's
# row. The row found there is released, the contender's own, or absent, and each of
# these normally allows a takeover at once.
@pytest.mark.parametrize("copied", ["released", "own", "absent"])
def test_row_of_an_earlier_era_is_not_taken_over_at_once(
    rows, make_contender, copied: str
) -> None:
    first, second = make_contender("a"), make_contender("b")
    if copied == "released":
        rows.apply([make_put("c", 1, 0, RELEASED)], "c-1-1")
    if copied == "own":
        rows.apply([make_put("b", 1, 0)], "b-1-1")
    rows.copy()
    start = gain_lease(first)
    second.step(start)
    rows.restore()
    second.step(start + 0.5)
    run_until(second, start + 1.0, start + 9.0)
    assert first.holds(start + 7.0)
    assert not second.holds(start + 9.0)
    run_until(second, start + 9.5, start + 14.0)
    assert second.holds(start + 14.0)


# Guards against two holders: a contender read a row that was then taken over and
# renewed. A restore brings that row back, and counted from its first read it has been
# unchanged for long enough.
def test_restored_row_does_not_count_from_its_first_read(rows, make_contender) -> None:
    first, second = make_contender("a"), make_contender("b")
    rows.apply([make_put("c", 1, 0)], "c-1-1")
    rows.copy()
    second.step(0.0)
    start = gain_lease(first)
    rows.restore()
    second.step(start)
    assert not second.holds(start)
    run_until(second, start + 0.5, start + 9.0)
    assert not second.holds(start + 9.0)


# Guards against two holders: the row was taken over and restored between two reads of
# another contender, to which it seems unchanged all the time.
def test_row_restored_between_two_reads_does_not_count_as_unchanged(
    rows, make_contender
) -> None:
    first, second = make_contender("a"), make_contender("b")
    rows.apply([make_put("c", 1, 0)], "c-1-1")
    rows.copy()
    for half in range(22):
        first.step(half / 2)
        second.step(half / 2)
    first.step(11.0)
    assert first.holds(11.0)
    rows.restore()
    second.step(11.5)
    run_until(second, 12.0, 16.0)
    assert first.holds(16.0)
    assert not second.holds(16.0)


# Guards against two holders: a contender has observed a row for long enough and is
# paused before its takeover. Meanwhile the store is restored and the row renewed.
def test_observation_of_an_earlier_era_allows_no_takeover(rows, make_contender) -> None:
    first, second = make_contender("a"), make_contender("b")
    start = gain_lease(first)
    second.step(start)
    rows.restore()
    second.observe_era(start + 13.0)
    assert second.call == ReadLease(KEY)


# Guards against two holders: a takeover was in flight when the store was restored. Its
# condition holds by chance in the new era, so the write takes effect. Its sender reads
# the row and counts the takeover as done while the last holder's lease still runs.
def test_delayed_write_of_an_earlier_era_grants_no_lease(rows, make_contender) -> None:
    first, second = make_contender("a"), make_contender("b")
    start = gain_lease(first)
    run_until(second, start, start + 10.5)
    second.handle(Tick(), start + 12.0)
    second.serve(SERVED, start + 12.0)
    second.deliver(start + 12.0)
    assert isinstance(second.call, WriteLease)
    rows.copy()
    run_until(first, start + 12.0, start + 12.0)
    assert first.holds(start + 12.0)
    rows.restore()
    second.observe_era(start + 12.5)
    (write,) = second.delayed
    assert rows.apply([write.put], write.write_id).is_ok()
    run_until(second, start + 12.5, start + 20.0)
    assert first.holds(start + 20.0)
    assert not second.holds(start + 20.0)
    run_until(second, start + 20.5, start + 26.0)
    assert second.holds(start + 26.0)


# Guards against a handover that stalls planning for a whole lease: a lease released in
# the current era is free at once, as its holder has waited out all earlier ones.
def test_lease_released_in_the_current_era_is_taken_over_at_once(
    rows, make_contender
) -> None:
    first, second = make_contender("a"), make_contender("b")
    rows.restore()
    start = gain_lease(first)
    second.step(start)
    first.handle(Resign(), start)
    first.serve(SERVED, start)
    first.deliver(start)
    second.step(start + 2.0)
    assert second.holds(start + 2.0)


# Guards against two holders: a process that starts right after a restore finds no row,
# because the holder's row is lost, and can't know that there ever was one.
def test_started_process_waits_if_the_store_reports_eras(make_contender) -> None:
    first = make_contender("a")
    run_until(first, 0.0, 10.5)
    assert not first.holds(10.5)
    run_until(first, 11.0, 12.0)
    assert first.holds(12.0)


# Guards against two holders: the last holder's lease is longer than the contender's own
# terms, which were changed. Its row was read once, but is lost.
def test_longest_lease_that_was_read_is_waited_out(rows, make_contender) -> None:
    first = make_contender("a")
    rows.copy()
    rows.apply([make_put("c", 1, 0, granted=30.0)], "c-1-1")
    first.step(0.0)
    rows.restore()
    run_until(first, 1.0, 31.5)
    assert not first.holds(31.5)
    run_until(first, 32.0, 34.0)
    assert first.holds(34.0)


# Guards against a contender that uses a row that is gone: an answer of the earlier era
# is reported after the new era was entered.
@pytest.mark.parametrize("asked_at", [0.5, 1.0])
def test_late_read_of_an_earlier_era_is_ignored(
    make_contender, asked_at: float
) -> None:
    first = make_contender("a")
    first.handle(EraEntered(2), 1.0)
    put = make_put("c", 1, 0, RELEASED)
    row = Row(KEY, 1, "c-1-1", put.value, era=1)
    first.core.handle(RowRead(row, asked_at), 1.5)
    assert first.core.row.row is None
    assert not first.core.row.is_current


# Guards against a lease that is never granted again: a reply that arrived after the new
# era was entered was taken for that of another call, or was awaited forever.
def test_new_era_ends_the_call_in_flight_and_reads_again(make_contender) -> None:
    first = make_contender("a")
    first.handle(Tick(), 0.0)
    (read,) = first.core.handle(EraEntered(2), 1.0)
    assert isinstance(read, ReadLease)
    assert ReadLease(KEY) not in first.core.handle(RowRead(None, 0.0), 1.5)
    assert first.core.handle(EraEntered(2), 2.0) == []
