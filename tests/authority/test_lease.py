"""Test the planner lease."""

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
    Contend,
    Event,
    Gained,
    LeaseTerms,
    LostLease,
    Outdated,
    ReadFailed,
    ReadLease,
    Resign,
    RowRead,
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
LATE = "late"
REFUSED = "refused"


class Contender:
    """Run one lease core on a clock of its own against shared rows."""

    def __init__(self, name: str, rows: Rows, gained: list[int]) -> None:
        self.core = LeaseCore(PLACE, name, WriteIds(f"{name}-1"), TERMS)
        self.rate = RATES[name]
        self.offset = OFFSETS[name]
        self.rows = rows
        self.gained = gained
        self.call: ReadLease | WriteLease | None = None
        self.reply: Event | None = None
        self.late: list[WriteLease] = []
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
            assert self.call is None and self.reply is None, "two calls under way"
            self.call = command
        if isinstance(command, Gained):
            assert not self.gained or command.fencing > self.gained[-1]
            self.gained.append(command.fencing)
        if isinstance(command, LostLease):
            self.lost.append(command.cause)

    def serve(self, fate: str, time: float) -> None:
        """Let the table meet the call; the reply waits until it is delivered."""
        call, self.call = self.call, None
        if isinstance(call, ReadLease):
            failed = fate in (REFUSED, LATE)
            row = RowRead(self.rows.read(call.key), self.read_clock(time))
            self.reply = ReadFailed() if failed else row
            return
        if fate == REFUSED:
            self.reply = WriteSettled(call.write_id, Error(Unavailable("")))
            return
        if fate == LATE:
            self.late.append(call)
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
        """Do all that can be done at this time, with a table that works."""
        self.handle(Tick(), time)
        for _ in range(MAX_CALLS):
            if self.call is None and self.reply is None:
                return
            if self.call is not None:
                self.serve(SERVED, time)
            self.deliver(time)
        raise AssertionError("calls the table without end")


class PlanWrite(NamedTuple):
    """Hold a plan that a holder decided on and has not sent yet."""

    fencing: int
    check: Check


@settings(max_examples=300, stateful_step_count=60)
class LeaseMachine(RuleBasedStateMachine):
    """Pause contenders at any step, lose replies and let writes arrive late.

    What must not be seen: two planners that both may give orders, or a plan of the
    former one in force after the later one took over. A contender does nothing until
    a rule picks it, so every one is paused between any two steps.
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
            restarted.late = self.contenders[name].late
            call = self.contenders[name].call
            if isinstance(call, WriteLease):
                restarted.late.append(call)
            core = LeaseCore(PLACE, name, WriteIds(f"{name}-{self.time}"), TERMS)
            restarted.core = core
            self.contenders[name] = restarted

    @rule(name=st.sampled_from(NAMES))
    def refuse_number(self, name: str) -> None:
        contender = self.contenders[name]
        if contender.holds(self.time):
            contender.handle(Outdated(contender.core.fencing), self.time)
            assert not contender.holds(self.time)

    @rule(name=st.sampled_from(NAMES), contends=st.booleans())
    def contend(self, name: str, contends: bool) -> None:
        self.contenders[name].handle(Contend(contends), self.time)

    @rule(
        name=st.sampled_from(NAMES),
        fate=st.sampled_from([SERVED, REPLY_LOST, LATE, REFUSED]),
    )
    def serve(self, name: str, fate: str) -> None:
        if self.contenders[name].call is not None:
            self.contenders[name].serve(fate, self.time)

    @rule(name=st.sampled_from(NAMES))
    def deliver(self, name: str) -> None:
        if self.contenders[name].reply is not None:
            self.contenders[name].deliver(self.time)

    @rule(name=st.sampled_from(NAMES))
    def land_late_write(self, name: str) -> None:
        late = self.contenders[name].late
        if late:
            write = late.pop(0)
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
        """Send a plan, however long ago it was decided on."""
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
def contend(rows: Rows) -> Callable[[str], Contender]:
    gained: list[int] = []
    return lambda name: Contender(name, rows, gained)


def run_until(contender: Contender, start: float, end: float) -> None:
    time = start
    while time <= end:
        contender.step(time)
        time += 0.5


def test_first_contender_gains_with_fencing_one(contend) -> None:
    first = contend("a")
    first.step(0.0)
    assert first.gained == [1]
    assert first.holds(8.9)
    assert not first.holds(9.0)


def test_renewed_lease_is_kept_with_its_fencing(contend) -> None:
    first = contend("a")
    run_until(first, 0.0, 60.0)
    assert first.gained == [1]
    assert first.lost == []


def test_contender_takes_over_after_watching_the_whole_time(contend) -> None:
    first, second = contend("a"), contend("c")
    first.step(0.0)
    run_until(second, 0.0, 10.5)
    assert not second.holds(10.5)
    run_until(second, 11.0, 13.0)
    assert second.holds(13.0)
    assert first.gained == [1, 2]


def test_resigned_lease_is_taken_over_at_once(contend) -> None:
    first, second = contend("a"), contend("c")
    first.step(0.0)
    second.step(0.0)
    first.handle(Resign(), 1.0)
    assert not first.holds(1.0)
    first.serve(SERVED, 1.0)
    first.deliver(1.0)
    second.step(2.0)
    assert second.holds(2.0)


def test_store_down_ends_the_lease_and_not_the_process(contend) -> None:
    # The planner's orders stop a margin before its lease ends, since it can't renew.
    # Once the store is back it takes the lease again, under a new fencing number,
    # because others may have acted in between.
    first = contend("a")
    first.step(0.0)
    for second in range(1, 13):
        first.handle(Tick(), float(second))
        if first.call is not None:
            first.serve(REFUSED, float(second))
            first.deliver(float(second))
    assert first.lost == ["not renewed in time"]
    first.step(20.0)
    assert first.gained == [1, 2]


@pytest.mark.parametrize("fate", [REPLY_LOST, LATE])
def test_unclear_takeover_is_settled_by_reading(contend, fate: str) -> None:
    # The reply to the first write of the lease is lost. Whether the row stands is
    # read and told by the write id; the time counts from before the lost write.
    first = contend("a")
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


def test_busy_holder_still_asks_to_be_woken_at_its_end(contend) -> None:
    first = contend("a")
    first.step(0.0)
    commands = first.core.handle(Tick(), 3.0)
    assert isinstance(commands[-1], WriteLease)
    assert first.core.handle(Tick(), 4.0) == [WakeAt(9.0)]
    assert first.core.handle(Tick(), 9.0) == [LostLease("not renewed in time")]


def test_renewal_that_answers_after_the_lapse_takes_a_new_number(contend) -> None:
    # The reply to a renewal comes after the holder has told its planner that the lease
    # is lost. The row is still its own, but the planner has dropped its intentions:
    # it goes on only under a new fencing number, so nothing old passes for new.
    first = contend("a")
    first.step(0.0)
    first.handle(Tick(), 3.0)
    first.serve(SERVED, 3.0)
    first.handle(Tick(), 9.5)
    assert first.lost == ["not renewed in time"]
    first.deliver(9.6)
    first.serve(SERVED, 9.7)
    first.deliver(9.7)
    assert first.gained == [1, 2]


def test_number_that_was_refused_is_replaced_by_a_new_one(contend) -> None:
    first = contend("a")
    first.step(0.0)
    first.handle(Outdated(1), 1.0)
    assert first.lost == ["fencing number out of date"]
    assert not first.holds(1.0)
    first.step(1.0)
    assert first.gained == [1, 2]
    first.handle(Outdated(1), 2.0)
    assert first.holds(2.0)


# Two holders order one engine in turns: the one whose number was refused has written
# that it let the lease go, and another one takes it at once.
def test_no_other_one_takes_over_at_once_when_a_number_is_refused(contend) -> None:
    first, second = contend("a"), contend("c")
    first.step(0.0)
    second.step(0.0)
    first.handle(Outdated(1), 1.0)
    run_until(second, 1.0, 10.0)
    assert not second.holds(10.0)
    run_until(second, 10.5, 13.0)
    assert second.holds(13.0)


# The number was refused because another one has taken the lease over: nothing is
# ordered until that one's time has passed.
def test_refused_holder_waits_where_another_one_has_taken_over(contend) -> None:
    first, second = contend("a"), contend("c")
    first.step(0.0)
    run_until(second, 0.0, 13.0)
    assert second.holds(13.0)
    first.core.handle(Outdated(1), first.read_clock(13.0))
    first.step(13.5)
    assert not first.holds(13.5)
    assert second.holds(13.5)


# Each of 68 processes looked at the lease in turn, ten times a minute, though ten of
# them were enough: each look is a call to the store.
def test_process_that_does_not_contend_makes_no_calls(contend) -> None:
    first = contend("a")
    first.handle(Contend(False), 0.0)
    for second in range(60):
        first.handle(Tick(), float(second))
        assert first.call is None


# A holder stops giving orders without need: that others may take over from now on is no
# reason to let the lease lapse.
def test_holder_that_no_longer_contends_keeps_its_lease(contend) -> None:
    first = contend("a")
    first.step(0.0)
    first.handle(Contend(False), 1.0)
    run_until(first, 1.0, 30.0)
    assert first.gained == [1]
    assert first.lost == []


# Two processes give orders: one that had long not looked took over at once by the row
# as it had stood then, which its holder had renewed ever since.
def test_process_that_contends_again_goes_by_a_new_look(contend) -> None:
    first, second = contend("a"), contend("c")
    first.step(0.0)
    second.step(0.0)
    second.handle(Contend(False), 1.0)
    run_until(first, 1.0, 60.0)
    second.handle(Contend(True), 60.0)
    second.step(60.0)
    assert first.holds(60.0)
    assert not second.holds(60.0)
    run_until(second, 60.5, 75.0)
    assert second.holds(75.0)
