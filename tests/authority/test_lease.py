"""Tests of the planner lease's core."""

from collections.abc import Callable
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from radishtally.audit.core import make_audit_put
from radishtally.authority.lease import LeaseCore
from radishtally.authority.lease_events import (
    Command,
    Event,
    FencingOutdated,
    LeaseGained,
    LeaseLost,
    LeaseTerms,
    ReadFailed,
    ReadLease,
    Resign,
    RowRead,
    SetContending,
    Tick,
    WakeAt,
    WriteLease,
    WriteSettled,
)
from radishtally.authority.plan import make_next_plan, make_plan_key, make_plan_writes
from radishtally.outcome import Error
from radishtally.store.core import ABSENT, Check, Unavailable, Unclear
from radishtally.store.ids import WriteIds
from tests.common import Rows

PLACE = "salt-lake"
TERMS = LeaseTerms(granted=10.0, margin=1.0, renew_every=3.0, read_every=1.0)
NAMES = ("a", "b", "c")
RATES = {"a": 1.0, "b": 0.97, "c": 1.02}
OFFSETS = {"a": 0.0, "b": 5000.0, "c": -300.0}

MAX_CALLS = 20
SERVED = "served"
REPLY_LOST = "reply lost"
DELAYED = "late"
REFUSED = "refused"


class Contender:
    """Run one lease core against shared rows, on a skewed and drifting clock."""

    def __init__(self, name: str, rows: Rows, gained: list[int]) -> None:
        self.core = LeaseCore(PLACE, name, WriteIds(f"{name}-1"), TERMS)
        self.rate = RATES[name]
        self.offset = OFFSETS[name]
        self.rows = rows
        self.gained = gained
        self.call: ReadLease | WriteLease | None = None
        self.reply: Event | None = None
        self.delayed: list[WriteLease] = []
        self.lost: list[str] = []

    def read_clock(self, time: float) -> float:
        return self.offset + time * self.rate

    def holds(self, time: float) -> bool:
        return self.core.holds(self.read_clock(time))

    def handle(self, event: Event, time: float) -> None:
        for command in self.core.handle(event, self.read_clock(time)):
            self.execute(command)

    def execute(self, command: Command) -> None:
        if isinstance(command, ReadLease | WriteLease):
            assert self.call is None and self.reply is None, "two calls in flight"
            self.call = command
        if isinstance(command, LeaseGained):
            assert not self.gained or command.fencing > self.gained[-1]
            self.gained.append(command.fencing)
        if isinstance(command, LeaseLost):
            self.lost.append(command.cause)

    def serve(self, fate: str, time: float) -> None:
        """Handle the call at the table; the reply waits for deliver()."""
        call, self.call = self.call, None
        if isinstance(call, ReadLease):
            failed = fate in (REFUSED, DELAYED)
            row = RowRead(self.rows.read(call.key), self.read_clock(time))
            self.reply = ReadFailed() if failed else row
            return
        if fate == REFUSED:
            self.reply = WriteSettled(call.write_id, Error(Unavailable("")))
            return
        if fate == DELAYED:
            self.delayed.append(call)
            self.reply = WriteSettled(call.write_id, Error(Unclear("")))
            return
        result = self.rows.apply([call.put], call.write_id)
        lost = Error(Unclear(""))
        outcome = lost if fate == REPLY_LOST else result
        self.reply = WriteSettled(call.write_id, outcome)

    def deliver(self, time: float) -> None:
        reply, self.reply = self.reply, None
        self.handle(reply, time)

    def step(self, time: float) -> None:
        """Do everything possible at this time, with a working table."""
        self.handle(Tick(), time)
        for _ in range(MAX_CALLS):
            if self.call is None and self.reply is None:
                return
            if self.call is not None:
                self.serve(SERVED, time)
            self.deliver(time)
        raise AssertionError("the contender keeps calling the table")


class PlanWrite(NamedTuple):
    """Represent a plan that a holder has decided on and not yet sent."""

    fencing: int
    check: Check


@settings(max_examples=300, stateful_step_count=60)
class LeaseMachine(RuleBasedStateMachine):
    """Pause contenders at any step, lose replies and delay writes.

    Guards against two planners that may both give orders, and against a plan of the
    former planner in force after the next one took over. A contender acts only when a
    rule picks it, so each is paused between any two of its steps.
    """

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0
        self.rows = Rows()
        self.gained: list[int] = []
        self.contenders = {n: Contender(n, self.rows, self.gained) for n in NAMES}
        self.plans: list[PlanWrite] = []
        self.written = 0

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.9, 5.0, 9.5, 12.0]))
    def advance(self, seconds: float) -> None:
        self.time += seconds

    @rule(name=st.sampled_from(NAMES))
    def tick(self, name: str) -> None:
        self.contenders[name].handle(Tick(), self.time)

    @rule(name=st.sampled_from(NAMES))
    def resign(self, name: str) -> None:
        if self.contenders[name].holds(self.time):
            self.contenders[name].handle(Resign(), self.time)
            restarted = Contender(name, self.rows, self.gained)
            restarted.delayed = self.contenders[name].delayed
            call = self.contenders[name].call
            if isinstance(call, WriteLease):
                restarted.delayed.append(call)
            core = LeaseCore(PLACE, name, WriteIds(f"{name}-{self.time}"), TERMS)
            restarted.core = core
            self.contenders[name] = restarted

    @rule(name=st.sampled_from(NAMES))
    def refuse_fencing(self, name: str) -> None:
        contender = self.contenders[name]
        if contender.holds(self.time):
            contender.handle(FencingOutdated(contender.core.fencing), self.time)
            assert not contender.holds(self.time)

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
        if self.contenders[name].reply is not None:
            self.contenders[name].deliver(self.time)

    @rule(name=st.sampled_from(NAMES))
    def apply_delayed_write(self, name: str) -> None:
        delayed = self.contenders[name].delayed
        if delayed:
            write = delayed.pop(0)
            self.rows.apply([write.put], write.write_id)

    @rule(name=st.sampled_from(NAMES), seconds=st.integers(1, 14))
    def run_alone(self, name: str, seconds: int) -> None:
        for _ in range(seconds):
            self.time += 1.0
            if self.contenders[name].call or self.contenders[name].reply:
                return
            self.contenders[name].step(self.time)
            self.check_one_holder()

    @rule(name=st.sampled_from(NAMES))
    def decide_plan(self, name: str) -> None:
        contender = self.contenders[name]
        check = contender.core.make_check(contender.read_clock(self.time))
        if check is not None:
            self.plans.append(PlanWrite(contender.core.fencing, check))

    @precondition(lambda self: self.plans)
    @rule(last=st.booleans())
    def write_plan(self, last: bool) -> None:
        """Send a plan, no matter how long ago it was decided on."""
        fencing, check = self.plans.pop(-1 if last else 0)
        row = self.rows.read(make_plan_key(PLACE))
        rev = ABSENT if row is None else row.rev
        plan = make_next_plan(PLACE, None, fencing, "mix", {})
        audit = make_audit_put(0, "a", "plan", PLACE, "mix", {}, {}, str(self.written))
        self.written += 1
        write_id = f"plan-{self.written}"
        result = self.rows.apply(make_plan_writes(plan, rev, check, audit), write_id)
        if result.is_ok():
            lease = self.rows.read(check.key)
            assert lease.value["fencing"] == fencing, "plan of a former holder"

    @invariant()
    def check_one_holder(self) -> None:
        holders = [n for n, c in self.contenders.items() if c.holds(self.time)]
        assert len(holders) <= 1, f"{holders} may all give orders"


TestLeaseMachine = LeaseMachine.TestCase


@pytest.fixture
def rows() -> Rows:
    return Rows()


@pytest.fixture
def make_contender(rows: Rows) -> Callable[[str], Contender]:
    gained: list[int] = []
    return lambda name: Contender(name, rows, gained)


def run_until(contender: Contender, start: float, end: float) -> None:
    time = start
    while time <= end:
        contender.step(time)
        time += 0.5


def test_first_contender_gains_lease_with_fencing_one(make_contender) -> None:
    first = make_contender("a")
    first.step(0.0)
    assert first.gained == [1]
    assert first.holds(8.9)
    assert not first.holds(9.0)


def test_renewed_lease_is_kept_with_its_fencing(make_contender) -> None:
    first = make_contender("a")
    run_until(first, 0.0, 60.0)
    assert first.gained == [1]
    assert first.lost == []


def test_contender_takes_over_after_observing_the_row_for_a_whole_lease(
    make_contender,
) -> None:
    first, second = make_contender("a"), make_contender("c")
    first.step(0.0)
    run_until(second, 0.0, 10.5)
    assert not second.holds(10.5)
    run_until(second, 11.0, 13.0)
    assert second.holds(13.0)
    assert first.gained == [1, 2]


# Guards against a takeover that is late by up to one interval between reads.
def test_contender_reads_the_row_when_it_may_be_taken_over(make_contender) -> None:
    first, second = make_contender("a"), make_contender("c")
    second.core.read_every = 8.0
    first.step(0.0)
    run_until(second, 0.0, 11.0 / RATES["c"])
    assert not second.holds(11.0 / RATES["c"])
    run_until(second, 11.0, 11.5)
    assert second.holds(11.5)


def test_resigned_lease_is_taken_over_at_once(make_contender) -> None:
    first, second = make_contender("a"), make_contender("c")
    first.step(0.0)
    second.step(0.0)
    first.handle(Resign(), 1.0)
    assert not first.holds(1.0)
    first.serve(SERVED, 1.0)
    first.deliver(1.0)
    second.step(2.0)
    assert second.holds(2.0)


def test_lease_lapses_while_the_store_is_down_and_is_regained_afterwards(
    make_contender,
) -> None:
    # A planner that can't renew stops giving orders a margin before its lease ends.
    # When the store is back, it gains the lease again under a new fencing token,
    # because other planners may have acted in between.
    first = make_contender("a")
    first.step(0.0)
    for second in range(1, 13):
        first.handle(Tick(), float(second))
        if first.call is not None:
            first.serve(REFUSED, float(second))
            first.deliver(float(second))
    assert first.lost == ["not renewed in time"]
    first.step(20.0)
    assert first.gained == [1, 2]


@pytest.mark.parametrize("fate", [REPLY_LOST, DELAYED])
def test_takeover_with_lost_reply_is_resolved_by_a_read(
    make_contender, fate: str
) -> None:
    # The reply to the first write of the lease is lost. A read of the row shows by the
    # write id whether it took effect; the lease counts from before that write.
    first = make_contender("a")
    first.handle(Tick(), 0.0)
    first.serve(SERVED, 0.0)
    first.deliver(0.0)
    first.serve(fate, 0.5)
    first.deliver(0.5)
    assert not first.holds(0.5)
    first.serve(SERVED, 2.0)
    first.deliver(2.0)
    assert first.holds(2.0) == (fate == REPLY_LOST)
    assert not first.holds(9.0)


def test_holder_with_a_call_in_flight_wakes_when_its_lease_ends(make_contender) -> None:
    first = make_contender("a")
    first.step(0.0)
    commands = first.core.handle(Tick(), 3.0)
    assert isinstance(commands[-1], WriteLease)
    assert first.core.handle(Tick(), 4.0) == [WakeAt(9.0)]
    assert first.core.handle(Tick(), 9.0) == [LeaseLost("not renewed in time")]


def test_renewal_confirmed_after_the_lapse_gets_a_new_fencing_token(
    make_contender,
) -> None:
    # The reply to a renewal comes after the holder has reported the loss of the lease.
    # The row is still its own, but the planner has dropped its state, so it continues
    # only under a new fencing token; nothing sent under the old one may count as new.
    first = make_contender("a")
    first.step(0.0)
    first.handle(Tick(), 3.0)
    first.serve(SERVED, 3.0)
    first.handle(Tick(), 9.5)
    assert first.lost == ["not renewed in time"]
    first.deliver(9.6)
    first.serve(SERVED, 9.7)
    first.deliver(9.7)
    assert first.gained == [1, 2]


def test_refused_fencing_token_is_replaced_by_a_new_one(make_contender) -> None:
    first = make_contender("a")
    first.step(0.0)
    first.handle(FencingOutdated(1), 1.0)
    assert first.lost == ["fencing number out of date"]
    assert not first.holds(1.0)
    first.step(1.0)
    assert first.gained == [1, 2]
    first.handle(FencingOutdated(1), 2.0)
    assert first.holds(2.0)


# Guards against two holders that give orders to one engine in turns: a holder whose
# fencing token was refused releases the lease, and another contender gains it at once.
def test_other_contender_waits_for_the_lapse_after_a_refused_token(
    make_contender,
) -> None:
    first, second = make_contender("a"), make_contender("c")
    first.step(0.0)
    second.step(0.0)
    first.handle(FencingOutdated(1), 1.0)
    run_until(second, 1.0, 10.0)
    assert not second.holds(10.0)
    run_until(second, 10.5, 13.0)
    assert second.holds(13.0)


# The token was refused because another process has taken over the lease. The refused
# holder must wait until that lease has lapsed.
def test_refused_holder_waits_if_another_process_has_taken_over(make_contender) -> None:
    first, second = make_contender("a"), make_contender("c")
    first.step(0.0)
    run_until(second, 0.0, 13.0)
    assert second.holds(13.0)
    first.core.handle(FencingOutdated(1), first.read_clock(13.0))
    first.step(13.5)
    assert not first.holds(13.5)
    assert second.holds(13.5)


# Guards against needless load on the store: each of 68 processes read the lease ten
# times a minute, although ten of the processes would have been enough.
def test_process_that_does_not_contend_makes_no_calls(make_contender) -> None:
    first = make_contender("a")
    first.handle(SetContending(False), 0.0)
    for second in range(60):
        first.handle(Tick(), float(second))
        assert first.call is None


# Guards against a holder that lets its lease lapse only because it has stopped
# contending for future leases.
def test_holder_that_no_longer_contends_keeps_its_lease(make_contender) -> None:
    first = make_contender("a")
    first.step(0.0)
    first.handle(SetContending(False), 1.0)
    run_until(first, 1.0, 30.0)
    assert first.gained == [1]
    assert first.lost == []


# Guards against two holders: a process that had not read the row for long takes over at
# once, by an old copy of a row that its holder has renewed ever since.
def test_process_that_contends_again_reads_the_row_first(make_contender) -> None:
    first, second = make_contender("a"), make_contender("c")
    first.step(0.0)
    second.step(0.0)
    second.handle(SetContending(False), 1.0)
    run_until(first, 1.0, 60.0)
    second.handle(SetContending(True), 60.0)
    second.step(60.0)
    assert first.holds(60.0)
    assert not second.holds(60.0)
    run_until(second, 60.5, 75.0)
    assert second.holds(75.0)
