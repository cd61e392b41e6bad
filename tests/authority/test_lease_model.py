"""Play the lease of several places between processes that come, go and stall."""

from collections.abc import Iterator
from typing import Final, NamedTuple

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
    Contend,
    LeaseTerms,
    Outdated,
    Resign,
    Tick,
    WriteLease,
)
from radishtally.authority.plan import make_next_plan, make_plan_key, make_plan_writes
from radishtally.store.core import ABSENT, Check
from radishtally.store.ids import WriteIds
from tests.authority.test_lease import LATE, NAMES, REFUSED, REPLY_LOST, SERVED
from tests.authority.test_lease_eras import EraContender, EraRows

PLACES: Final = ("salt-lake", "howrah")
TERMS: Final = LeaseTerms(granted=10.0, margin=1.0, renew_every=3.0, read_every=1.0)
LONG_TERMS: Final = TERMS._replace(granted=15.0)
QUIET_SECONDS: Final = 2 * (LONG_TERMS.granted + LONG_TERMS.margin) + 4.0
"""Time in which a place has a planner again: a lease that stands is waited out, once
more where what was watched does not count, and a few looks are made."""
CALLS_A_SECOND: Final = 3

names = st.sampled_from(NAMES)
places = st.sampled_from(PLACES)
fates = st.sampled_from([SERVED, REPLY_LOST, LATE, REFUSED])


class Process(NamedTuple):
    """Hold what lives as long as one start of a process."""

    ids: WriteIds
    slots: dict[str, "Slot"]
    """Contenders of this process by place."""


class Slot(EraContender):
    """Contend for one place; a process may drop it and begin another one."""

    def __init__(
        self, name: str, place: str, ids: WriteIds, rows: EraRows, gained: list[int]
    ) -> None:
        super().__init__(name, rows, gained)
        self.core = LeaseCore(place, name, ids, TERMS)


class PlanWrite(NamedTuple):
    """Hold a plan that a holder decided on and has not sent yet."""

    place: str
    fencing: int
    check: Check


class LeaseModel(RuleBasedStateMachine):
    """Drop, kill, stall and restore at any step; lose, delay and reorder calls.

    What must not be seen: two planners of a place that may both give orders, a number
    that is given twice or falls, a plan of a former holder in force, a place that has
    no planner though all is quiet. A process does nothing until a rule picks it.
    """

    era = 0
    """Era of the store at the beginning; 0 for one that tells none."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0
        self.starts = 0
        self.written = 0
        self.rows = EraRows()
        self.rows.era = self.era
        self.gained: dict[str, list[int]] = {place: [] for place in PLACES}
        self.late: list[WriteLease] = []
        self.plans: list[PlanWrite] = []
        self.processes = {name: self.start() for name in NAMES}
        for name in NAMES:
            for place in PLACES:
                self.take_up(name, place)

    def start(self) -> Process:
        self.starts += 1
        return Process(WriteIds(f"start-{self.starts}"), {})

    def list_slots(self, place: str) -> Iterator[Slot]:
        for process in self.processes.values():
            if place in process.slots:
                yield process.slots[place]

    def take_up(self, name: str, place: str) -> None:
        process = self.processes[name]
        slot = Slot(name, place, process.ids, self.rows, self.gained[place])
        process.slots[place] = slot

    def end(self, slot: Slot) -> None:
        """Let a contender go; what it has sent may still arrive."""
        slot.drop_call()
        self.late += slot.late

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.9, 5.0, 9.5, 12.0]))
    def stall_all(self, seconds: float) -> None:
        self.time += seconds

    @rule(name=names, place=places)
    def drop_or_take_up(self, name: str, place: str) -> None:
        slot = self.processes[name].slots.pop(place, None)
        if slot is None:
            self.take_up(name, place)
            return
        slot.handle(Resign(), self.time)
        assert not slot.holds(self.time)
        self.end(slot)

    @rule(name=names)
    def kill(self, name: str) -> None:
        """End a process and start another one, which knows nothing."""
        for slot in self.processes[name].slots.values():
            self.end(slot)
        self.processes[name] = self.start()
        for place in PLACES:
            self.take_up(name, place)

    @rule(name=names, place=places)
    def tick(self, name: str, place: str) -> None:
        slot = self.processes[name].slots.get(place)
        if slot is not None:
            slot.handle(Tick(), self.time)

    @rule(name=names, place=places, fate=fates)
    def serve(self, name: str, place: str, fate: str) -> None:
        slot = self.processes[name].slots.get(place)
        if slot is not None and slot.call is not None:
            slot.serve(fate, self.time)

    @rule(name=names, place=places)
    def deliver(self, name: str, place: str) -> None:
        slot = self.processes[name].slots.get(place)
        if slot is not None:
            slot.deliver(self.time)

    @rule(name=names, place=places)
    def hand_over_late(self, name: str, place: str) -> None:
        slot = self.processes[name].slots.get(place)
        if slot is not None:
            self.late += slot.late
            slot.late.clear()

    @precondition(lambda self: self.late)
    @rule(last=st.booleans(), arrives=st.booleans())
    def settle_late(self, last: bool, arrives: bool) -> None:
        """Let a write that was under way arrive or be lost for good."""
        write = self.late.pop(-1 if last else 0)
        if arrives:
            self.rows.apply([write.put], write.write_id)

    @rule(name=names, place=places)
    def refuse_number(self, name: str, place: str) -> None:
        slot = self.processes[name].slots.get(place)
        if slot is not None and slot.holds(self.time):
            slot.handle(Outdated(slot.core.fencing), self.time)

    @rule(name=names, place=places, contends=st.booleans())
    def contend(self, name: str, place: str, contends: bool) -> None:
        slot = self.processes[name].slots.get(place)
        if slot is not None:
            slot.handle(Contend(contends), self.time)

    @rule(name=names, place=places, terms=st.sampled_from([TERMS, LONG_TERMS]))
    def change_terms(self, name: str, place: str, terms: LeaseTerms) -> None:
        slot = self.processes[name].slots.get(place)
        if slot is not None:
            slot.core.terms = terms

    @rule(name=names, place=places)
    def decide_plan(self, name: str, place: str) -> None:
        slot = self.processes[name].slots.get(place)
        if slot is None:
            return
        check = slot.core.make_check(slot.read_clock(self.time))
        if check is not None:
            self.plans.append(PlanWrite(place, slot.core.fencing, check))

    @precondition(lambda self: self.plans)
    @rule(last=st.booleans())
    def write_plan(self, last: bool) -> None:
        """Send a plan, however long ago it was decided on."""
        place, fencing, check = self.plans.pop(-1 if last else 0)
        row = self.rows.read(make_plan_key(place))
        plan = make_next_plan(place, None, fencing, "mix", {})
        self.written += 1
        number = str(self.written)
        audit = make_audit_put(0, "a", "plan", place, "mix", {}, {}, number)
        rev = ABSENT if row is None else row.rev
        writes = make_plan_writes(plan, rev, check, audit)
        if self.rows.apply(writes, f"plan-{number}").is_ok():
            lease = self.rows.read(check.key)
            assert lease.value["fencing"] == fencing, "plan of a former holder"

    @rule(
        awake=st.lists(names, min_size=1, unique=True),
        seconds=st.sampled_from([1, 3, 9, 12, 14]),
    )
    def run_some(self, awake: list[str], seconds: int) -> None:
        """Let some processes run undisturbed while the others stall."""
        self.run_seconds(awake, seconds)

    @rule(place=places, name=names, other=names, seconds=st.sampled_from([1, 3, 9]))
    def come_back_to_lost_writes(
        self, place: str, name: str, other: str, seconds: int
    ) -> None:
        """Drop a contender whose lease has lapsed, and take it back too soon.

        The table shows it the lease, and loses what it writes.
        """
        slot = self.processes[name].slots.get(place)
        if slot is None:
            return
        if slot.holds(self.time):
            self.time += TERMS.granted
        if slot.holds(self.time):
            return
        self.end(slot)
        self.take_up(name, place)
        for _ in range(seconds):
            self.time += 1.0
            self.lose_writes(self.processes[name].slots[place])
            self.run_second([] if other == name else [other])

    def lose_writes(self, slot: Slot) -> None:
        slot.handle(Tick(), self.time)
        for _ in range(CALLS_A_SECOND):
            if slot.call is None:
                return
            fate = LATE if isinstance(slot.call, WriteLease) else SERVED
            slot.serve(fate, self.time)
            slot.deliver(self.time)

    @rule(place=places, name=names, other=names, seconds=st.sampled_from([3, 9, 12]))
    def stall_in_call(self, place: str, name: str, other: str, seconds: int) -> None:
        """Stall a process between a call and its reply, while another one runs."""
        slot = self.processes[name].slots.get(place)
        if slot is None or other == name:
            return
        if slot.holds(self.time):
            self.time += TERMS.renew_every
        slot.handle(Tick(), self.time)
        if slot.call is not None:
            slot.serve(SERVED, self.time)
        self.run_seconds([other], seconds)
        slot.deliver(self.time)
        self.run_seconds([other], round(TERMS.renew_every))

    def run_seconds(self, awake: list[str], seconds: int) -> None:
        for _ in range(seconds):
            self.run_second(awake)

    @rule(awake=st.lists(names, min_size=1, unique=True))
    def calm_down(self, awake: list[str]) -> None:
        """Leave some processes undisturbed until each place has a planner."""
        for name in awake:
            slots = self.processes[name].slots
            for place in PLACES:
                if place not in slots:
                    self.take_up(name, place)
                slots[place].handle(Contend(True), self.time)
        self.run_seconds(awake, round(QUIET_SECONDS))
        for place in PLACES:
            held = [slot for slot in self.list_slots(place) if slot.holds(self.time)]
            assert held, f"nobody plans for {place}"

    def run_second(self, awake: list[str]) -> None:
        self.time += 1.0
        for name in awake:
            for slot in self.processes[name].slots.values():
                if slot.call is not None:
                    slot.serve(SERVED, self.time)
                slot.deliver(self.time)
                if slot.call is None:
                    slot.step(self.time)
                self.check_one_holder()

    @invariant()
    def check_one_holder(self) -> None:
        for place in PLACES:
            held = [slot for slot in self.list_slots(place) if slot.holds(self.time)]
            assert len(held) <= 1, f"{len(held)} processes may give orders"


class RestoredLeaseModel(LeaseModel):
    """Play the same at a store that tells its era and comes back from older copies."""

    era = 1

    @rule()
    def copy(self) -> None:
        self.rows.copy()

    @rule()
    def restore(self) -> None:
        # Plans that were decided on in the earlier era are refused by the table's
        # client, by the era of their rows.
        self.plans.clear()
        self.rows.restore()

    @rule(name=names, place=places)
    def learn(self, name: str, place: str) -> None:
        slot = self.processes[name].slots.get(place)
        if slot is not None:
            slot.learn(self.time)


BOUNDS: Final = settings(max_examples=200, stateful_step_count=60)
TestLeaseModel = LeaseModel.TestCase
TestLeaseModel.settings = BOUNDS
TestRestoredLeaseModel = RestoredLeaseModel.TestCase
TestRestoredLeaseModel.settings = BOUNDS


@pytest.fixture(params=[LeaseModel, RestoredLeaseModel])
def model(request: pytest.FixtureRequest) -> LeaseModel:
    """Give a model in which one process plans for both places, watched by another."""
    model = request.param()
    while not all(model.gained.values()):
        model.run_seconds(["a"], 1)
    model.run_second(["b"])
    return model


# Two planners under one number: the one that came back took its old row for a write
# that was lost, and whoever takes over by right is given the same number.
@pytest.mark.parametrize("seconds", [1, 3])
def test_numbers_rise_past_one_that_came_back_to_lost_writes(model, seconds) -> None:
    model.come_back_to_lost_writes("salt-lake", "a", "b", seconds)
    model.run_seconds(["b"], round(QUIET_SECONDS))
    [held] = [slot for slot in model.list_slots("salt-lake") if slot.holds(model.time)]
    assert held is model.processes["b"].slots["salt-lake"]


# Two planners: the one whose renewal was answered late counts its time from the answer.
@pytest.mark.parametrize("seconds", [3, 9, 12])
def test_one_that_stalled_in_its_renewal_holds_for_no_longer(model, seconds) -> None:
    model.stall_in_call("salt-lake", "a", "b", seconds)
    model.run_seconds(["b"], round(QUIET_SECONDS))
    model.check_one_holder()
    assert any(slot.holds(model.time) for slot in model.list_slots("salt-lake"))


# Two planners: the reply to the first write of a lease came late, and the lease was
# counted from the reply.
def test_one_that_stalled_as_it_took_over_holds_for_no_longer() -> None:
    model = LeaseModel()
    slot = model.processes["a"].slots["salt-lake"]
    slot.handle(Tick(), model.time)
    slot.serve(SERVED, model.time)
    slot.deliver(model.time)
    assert isinstance(slot.call, WriteLease)
    model.stall_in_call("salt-lake", "a", "b", 12)
    assert model.processes["b"].slots["salt-lake"].holds(model.time)


# Two planners: the row of the holder is lost with the store's newest writes, and one
# that sees an older row, or its own late write, plans as well.
def test_one_holder_over_a_restore_and_a_late_write() -> None:
    model = RestoredLeaseModel()
    model.copy()
    model.run_seconds(["a", "b"], 13)
    model.restore()
    for seconds in (1, 3, 9):
        model.run_seconds(["b"], seconds)
        model.run_seconds(["a"], 1)
    model.run_seconds(["a", "b", "c"], round(QUIET_SECONDS))
    assert any(slot.holds(model.time) for slot in model.list_slots("salt-lake"))


# A place has no planner though all is quiet after its holder was killed.
def test_place_has_a_planner_after_its_holder_was_killed(model) -> None:
    model.kill("a")
    model.run_seconds(["b"], round(QUIET_SECONDS))
    assert any(slot.holds(model.time) for slot in model.list_slots("salt-lake"))
