"""Test the planner lease where the store is restored from an older copy."""

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
    LATE,
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
    """Hold rows, take copies of them, and come back from one in a new era.

    A write's condition is the row's count of writes alone: it holds by chance more
    often than with versions of the store, which other rows move too.
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
        """Remember the rows as they stand."""
        self._copy = dict(self.rows)

    def restore(self) -> None:
        """Lose all that was written since the copy."""
        self.rows = dict(self._copy)
        self.era += 1


class EraContender(Contender):
    """Contend at a store that tells its eras; a new one ends the call under way."""

    def __init__(self, name: str, rows: EraRows, gained: list[int]) -> None:
        super().__init__(name, rows, gained)
        self.era = 0

    def serve(self, fate: str, time: float) -> None:
        """Let the table meet the call; an answer from a new era tells only that."""
        answers = fate == SERVED or (
            fate == REPLY_LOST and isinstance(self.call, ReadLease)
        )
        if self.era == self.rows.era or not answers:
            super().serve(fate, time)
            return
        call, self.call = self.call, None
        if isinstance(call, WriteLease):
            self.rows.apply([call.put], call.write_id)
        self.learn(time)

    def deliver(self, time: float) -> None:
        if self.reply is not None:
            super().deliver(time)

    def learn(self, time: float) -> None:
        """Take the store's era, as any answer to this process tells it."""
        if self.era == self.rows.era:
            return
        self.drop_call()
        self.era = self.rows.era
        self.handle(EraEntered(self.era), time)

    def drop_call(self) -> None:
        if isinstance(self.call, WriteLease):
            self.late.append(self.call)
        self.call = self.reply = None

    def restart(self, time: float) -> None:
        """Begin anew as another process of this host, which knows nothing."""
        self.drop_call()
        self.era = 0
        incarnation = f"{self.core.key.sk}-{time}"
        self.core = LeaseCore(PLACE, "host", WriteIds(incarnation), TERMS)


@settings(max_examples=400, stateful_step_count=60)
class EraMachine(RuleBasedStateMachine):
    """Restore the store at any step, pause and restart contenders, land writes late.

    What must not be seen: two holders that both may give orders, or a holder whose
    fencing number is not above those of all holders before it. A contender does nothing
    until a rule picks it, and learns of a new era by a rule or by its next answer.
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
    def learn(self, name: str) -> None:
        self.contenders[name].learn(self.time)

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
    def refuse_number(self, name: str) -> None:
        contender = self.contenders[name]
        if contender.holds(self.time):
            contender.handle(FencingOutdated(contender.core.fencing), self.time)

    @rule(name=st.sampled_from(NAMES), contends=st.booleans())
    def contend(self, name: str, contends: bool) -> None:
        self.contenders[name].handle(SetContending(contends), self.time)

    @rule(
        name=st.sampled_from(NAMES),
        fate=st.sampled_from([SERVED, REPLY_LOST, LATE, REFUSED]),
    )
    def serve(self, name: str, fate: str) -> None:
        if self.contenders[name].call is not None:
            self.contenders[name].serve(fate, self.time)

    @rule(name=st.sampled_from(NAMES))
    def deliver(self, name: str) -> None:
        self.contenders[name].deliver(self.time)

    @rule(name=st.sampled_from(NAMES))
    def land_late_write(self, name: str) -> None:
        late = self.contenders[name].late
        if late:
            write = late.pop(0)
            self.rows.apply([write.put], write.write_id)

    @rule(
        names=st.lists(st.sampled_from(NAMES), min_size=1, unique=True),
        seconds=st.sampled_from([1, 3, 9, 12, 14]),
    )
    def run_some(self, names: list[str], seconds: int) -> None:
        """Let some contenders run undisturbed while the others are paused."""
        for _ in range(seconds):
            self.time += 1.0
            for name in names:
                self.run_on(self.contenders[name])
                self.check_one_holder()

    def run_on(self, contender: EraContender) -> None:
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
def contend(rows: EraRows) -> Callable[[str], EraContender]:
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


def take_lease(contender: EraContender) -> float:
    """Let a contender gain the lease of a new store, and say when."""
    run_until(contender, 0.0, 12.0)
    assert contender.holds(12.0)
    return 12.0


# Two processes give orders. The row of one that ended is lost with the store's newest
# writes, and another one that holds on writes it anew between two looks: the count of
# writes is the same again. A contender that goes by the count takes the lease over
# from a holder that had just written.
def test_row_of_equal_count_and_another_writer_has_not_stood() -> None:
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


# Two processes give orders: one holds the lease, the store comes back from a copy that
# lacks its row, and what stands there is released, the other one's own or nothing, all
# of which let that one take over at once.
@pytest.mark.parametrize("copied", ["released", "own", "absent"])
def test_row_of_an_earlier_era_is_not_taken_over_at_once(
    rows, contend, copied: str
) -> None:
    first, second = contend("a"), contend("b")
    if copied == "released":
        rows.apply([make_put("c", 1, 0, RELEASED)], "c-1-1")
    if copied == "own":
        rows.apply([make_put("b", 1, 0)], "b-1-1")
    rows.copy()
    start = take_lease(first)
    second.step(start)
    rows.restore()
    second.step(start + 0.5)
    run_until(second, start + 1.0, start + 9.0)
    assert first.holds(start + 7.0)
    assert not second.holds(start + 9.0)
    run_until(second, start + 9.5, start + 14.0)
    assert second.holds(start + 14.0)


# Two processes give orders: a contender saw a row that then was taken over and renewed.
# The store comes back with that row, and by its first sight it has long stood.
def test_row_that_came_back_has_not_stood_since_it_was_first_seen(
    rows, contend
) -> None:
    first, second = contend("a"), contend("b")
    rows.apply([make_put("c", 1, 0)], "c-1-1")
    rows.copy()
    second.step(0.0)
    start = take_lease(first)
    rows.restore()
    second.step(start)
    assert not second.holds(start)
    run_until(second, start + 0.5, start + 9.0)
    assert not second.holds(start + 9.0)


# Two processes give orders: the row was taken over and came back between two looks of
# another contender, which has watched it all the while as far as it can tell.
def test_row_that_came_back_between_two_looks_has_not_stood(rows, contend) -> None:
    first, second = contend("a"), contend("b")
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


# Two processes give orders: a contender has watched a row for long enough and is paused
# before it takes the lease over. The store is restored meanwhile, and the row renewed.
def test_watch_of_an_earlier_era_is_not_gone_by(rows, contend) -> None:
    first, second = contend("a"), contend("b")
    start = take_lease(first)
    second.step(start)
    rows.restore()
    second.learn(start + 13.0)
    assert second.call == ReadLease(KEY)


# Two processes give orders: a takeover was on its way when the store went away, is
# carried out in the new era, as its condition holds by chance, and is found by the one
# who sent it, who counts it as done while the last holder's time runs.
def test_late_write_of_an_earlier_era_gives_nobody_the_lease(rows, contend) -> None:
    first, second = contend("a"), contend("b")
    start = take_lease(first)
    run_until(second, start, start + 10.5)
    second.handle(Tick(), start + 12.0)
    second.serve(SERVED, start + 12.0)
    second.deliver(start + 12.0)
    assert isinstance(second.call, WriteLease)
    rows.copy()
    run_until(first, start + 12.0, start + 12.0)
    assert first.holds(start + 12.0)
    rows.restore()
    second.learn(start + 12.5)
    (write,) = second.late
    assert rows.apply([write.put], write.write_id).is_ok()
    run_until(second, start + 12.5, start + 20.0)
    assert first.holds(start + 20.0)
    assert not second.holds(start + 20.0)
    run_until(second, start + 20.5, start + 26.0)
    assert second.holds(start + 26.0)


# Roles stay as they are for a lease time at each handover: a lease that was given up in
# the present era is free, as its holder has waited out all that came before.
def test_lease_released_in_the_present_era_is_taken_over_at_once(rows, contend) -> None:
    first, second = contend("a"), contend("b")
    rows.restore()
    start = take_lease(first)
    second.step(start)
    first.handle(Resign(), start)
    first.serve(SERVED, start)
    first.deliver(start)
    second.step(start + 2.0)
    assert second.holds(start + 2.0)


# Two processes give orders: a process that starts right after a restore finds no row,
# since the holder's is lost, and can't know that it ever stood.
def test_process_that_starts_waits_where_the_store_tells_eras(contend) -> None:
    first = contend("a")
    run_until(first, 0.0, 10.5)
    assert not first.holds(10.5)
    run_until(first, 11.0, 12.0)
    assert first.holds(12.0)


# Two processes give orders: the last holder's lease is longer than a contender's own
# terms say, as those were changed. Its row has been seen, but is lost.
def test_longest_lease_that_was_seen_is_waited_out(rows, contend) -> None:
    first = contend("a")
    rows.copy()
    rows.apply([make_put("c", 1, 0, granted=30.0)], "c-1-1")
    first.step(0.0)
    rows.restore()
    run_until(first, 1.0, 31.5)
    assert not first.holds(31.5)
    run_until(first, 32.0, 34.0)
    assert first.holds(34.0)


# A contender goes by a row that is gone: an answer of the earlier era is handed in
# after the new one was entered.
@pytest.mark.parametrize("asked_at", [0.5, 1.0])
def test_row_of_an_earlier_era_that_comes_late_is_passed_over(
    contend, asked_at: float
) -> None:
    first = contend("a")
    first.handle(EraEntered(2), 1.0)
    put = make_put("c", 1, 0, RELEASED)
    row = Row(KEY, 1, "c-1-1", put.value, era=1)
    first.core.handle(RowRead(row, asked_at), 1.5)
    assert first.core.row.row is None
    assert not first.core.row.is_current


# A lease is never given out again: a call's answer that came after the new era was
# entered ended another call in its place, or was waited for without end.
def test_era_ends_the_call_under_way_and_asks_anew(contend) -> None:
    first = contend("a")
    first.handle(Tick(), 0.0)
    (read,) = first.core.handle(EraEntered(2), 1.0)
    assert isinstance(read, ReadLease)
    assert ReadLease(KEY) not in first.core.handle(RowRead(None, 0.0), 1.5)
    assert first.core.handle(EraEntered(2), 2.0) == []
