"""Model test: leases of several places among processes that start, stop and stall."""

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
    FencingOutdated,
    LeaseTerms,
    Resign,
    SetContending,
    Tick,
    WriteLease,
)
from radishtally.authority.plan import make_next_plan, make_plan_key, make_plan_writes
from radishtally.store.core import ABSENT, Check
from radishtally.store.ids import WriteIds
from tests.authority.test_lease import DELAYED, NAMES, REFUSED, REPLY_LOST, SERVED
from tests.authority.test_lease_eras import EraContender, EraRows

PLACES: Final = ("salt-lake", "howrah")
TERMS: Final = LeaseTerms(granted=10.0, margin=1.0, renew_every=3.0, read_every=1.0)
LONG_TERMS: Final = TERMS._replace(granted=15.0)
RECOVERY_SECONDS: Final = 2 * (LONG_TERMS.granted + LONG_TERMS.margin) + 4.0
"""Time within which a place has a planner again: one existing lease is waited out, a
second time if the first observation did not count, plus a few reads."""
CALLS_PER_SECOND: Final = 3

names = st.sampled_from(NAMES)
places = st.sampled_from(PLACES)
fates = st.sampled_from([SERVED, REPLY_LOST, DELAYED, REFUSED])


class Process(NamedTuple):
    """Represent the state that lives as long as one run of a process."""

    ids: WriteIds
    contenders: dict[str, "PlaceContender"]
    """Contenders of this process by place."""


class PlaceContender(EraContender):
    """Contend for one place; a process may drop it and start another one."""

    def __init__(
        self, name: str, place: str, ids: WriteIds, rows: EraRows, gained: list[int]
    ) -> None:
        super().__init__(name, rows, gained)
        self.core = LeaseCore(place, name, ids, TERMS)


class PlanWrite(NamedTuple):
    """Represent a plan that a holder has decided on and not yet sent."""

    place: str
    fencing: int
    check: Check


class LeaseModel(RuleBasedStateMachine):
    """Drop, kill, stall and restore at any step; lose, delay and reorder calls.

    Guards against two planners of a place that may both give orders, a fencing token
    that is granted twice or decreases, a plan of a former holder in force, and a place
    without a planner after all faults have ended. A process acts only when a rule picks
    it.
    """

    era = 0
    """Era of the store at the start; 0 for a store that reports none."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0
        self.starts = 0
        self.written = 0
        self.rows = EraRows()
        self.rows.era = self.era
        self.gained: dict[str, list[int]] = {place: [] for place in PLACES}
        self.delayed: list[WriteLease] = []
        self.plans: list[PlanWrite] = []
        self.processes = {name: self.start() for name in NAMES}
        for name in NAMES:
            for place in PLACES:
                self.add_contender(name, place)

    def start(self) -> Process:
        self.starts += 1
        return Process(WriteIds(f"start-{self.starts}"), {})

    def list_contenders(self, place: str) -> Iterator[PlaceContender]:
        for process in self.processes.values():
            if place in process.contenders:
                yield process.contenders[place]

    def add_contender(self, name: str, place: str) -> None:
        process = self.processes[name]
        contender = PlaceContender(
            name, place, process.ids, self.rows, self.gained[place]
        )
        process.contenders[place] = contender

    def abandon(self, contender: PlaceContender) -> None:
        """Drop a contender; the writes it has sent may still arrive."""
        contender.abandon_call()
        self.delayed += contender.delayed

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.9, 5.0, 9.5, 12.0]))
    def stall_all(self, seconds: float) -> None:
        self.time += seconds

    @rule(name=names, place=places)
    def drop_or_add_contender(self, name: str, place: str) -> None:
        contender = self.processes[name].contenders.pop(place, None)
        if contender is None:
            self.add_contender(name, place)
            return
        contender.handle(Resign(), self.time)
        assert not contender.holds(self.time)
        self.abandon(contender)

    @rule(name=names)
    def kill(self, name: str) -> None:
        """Kill a process and start a new one without any state."""
        for contender in self.processes[name].contenders.values():
            self.abandon(contender)
        self.processes[name] = self.start()
        for place in PLACES:
            self.add_contender(name, place)

    @rule(name=names, place=places)
    def tick(self, name: str, place: str) -> None:
        contender = self.processes[name].contenders.get(place)
        if contender is not None:
            contender.handle(Tick(), self.time)

    @rule(name=names, place=places, fate=fates)
    def serve(self, name: str, place: str, fate: str) -> None:
        contender = self.processes[name].contenders.get(place)
        if contender is not None and contender.call is not None:
            contender.serve(fate, self.time)

    @rule(name=names, place=places)
    def deliver(self, name: str, place: str) -> None:
        contender = self.processes[name].contenders.get(place)
        if contender is not None:
            contender.deliver(self.time)

    @rule(name=names, place=places)
    def collect_delayed_writes(self, name: str, place: str) -> None:
        contender = self.processes[name].contenders.get(place)
        if contender is not None:
            self.delayed += contender.delayed
            contender.delayed.clear()

    @precondition(lambda self: self.delayed)
    @rule(last=st.booleans(), arrives=st.booleans())
    def settle_delayed_write(self, last: bool, arrives: bool) -> None:
        """Apply a write that was in flight, or lose it for good."""
        write = self.delayed.pop(-1 if last else 0)
        if arrives:
            self.rows.apply([write.put], write.write_id)

    @rule(name=names, place=places)
    def refuse_fencing(self, name: str, place: str) -> None:
        contender = self.processes[name].contenders.get(place)
        if contender is not None and contender.holds(self.time):
            contender.handle(FencingOutdated(contender.core.fencing), self.time)

    @rule(name=names, place=places, contends=st.booleans())
    def set_contending(self, name: str, place: str, contends: bool) -> None:
        contender = self.processes[name].contenders.get(place)
        if contender is not None:
            contender.handle(SetContending(contends), self.time)

    @rule(name=names, place=places, terms=st.sampled_from([TERMS, LONG_TERMS]))
    def change_terms(self, name: str, place: str, terms: LeaseTerms) -> None:
        contender = self.processes[name].contenders.get(place)
        if contender is not None:
            contender.core.terms = terms

    @rule(name=names, place=places)
    def decide_plan(self, name: str, place: str) -> None:
        contender = self.processes[name].contenders.get(place)
        if contender is None:
            return
        check = contender.core.make_check(contender.read_clock(self.time))
        if check is not None:
            self.plans.append(PlanWrite(place, contender.core.fencing, check))

    @precondition(lambda self: self.plans)
    @rule(last=st.booleans())
    def write_plan(self, last: bool) -> None:
        """Send a plan, no matter how long ago it was decided on."""
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
        running=st.lists(names, min_size=1, unique=True),
        seconds=st.sampled_from([1, 3, 9, 12, 14]),
    )
    def run_undisturbed(self, running: list[str], seconds: int) -> None:
        """Run some processes without faults while the others stall."""
        self.run_seconds(running, seconds)

    @rule(place=places, name=names, other=names, seconds=st.sampled_from([1, 3, 9]))
    def recontend_with_lost_writes(
        self, place: str, name: str, other: str, seconds: int
    ) -> None:
        """Drop a contender whose lease has lapsed, and start it again right away.

        The table shows it the lease row, and loses its writes.
        """
        contender = self.processes[name].contenders.get(place)
        if contender is None:
            return
        if contender.holds(self.time):
            self.time += TERMS.granted
        if contender.holds(self.time):
            return
        self.abandon(contender)
        self.add_contender(name, place)
        for _ in range(seconds):
            self.time += 1.0
            self.lose_writes(self.processes[name].contenders[place])
            self.run_second([] if other == name else [other])

    def lose_writes(self, contender: PlaceContender) -> None:
        contender.handle(Tick(), self.time)
        for _ in range(CALLS_PER_SECOND):
            if contender.call is None:
                return
            fate = DELAYED if isinstance(contender.call, WriteLease) else SERVED
            contender.serve(fate, self.time)
            contender.deliver(self.time)

    @rule(place=places, name=names, other=names, seconds=st.sampled_from([3, 9, 12]))
    def stall_in_call(self, place: str, name: str, other: str, seconds: int) -> None:
        """Stall a process between a call and its reply while another process runs."""
        contender = self.processes[name].contenders.get(place)
        if contender is None or other == name:
            return
        if contender.holds(self.time):
            self.time += TERMS.renew_every
        contender.handle(Tick(), self.time)
        if contender.call is not None:
            contender.serve(SERVED, self.time)
        self.run_seconds([other], seconds)
        contender.deliver(self.time)
        self.run_seconds([other], round(TERMS.renew_every))

    def run_seconds(self, running: list[str], seconds: int) -> None:
        for _ in range(seconds):
            self.run_second(running)

    @rule(running=st.lists(names, min_size=1, unique=True))
    def run_until_planned(self, running: list[str]) -> None:
        """Run some processes without faults until each place has a planner."""
        for name in running:
            contenders = self.processes[name].contenders
            for place in PLACES:
                if place not in contenders:
                    self.add_contender(name, place)
                contenders[place].handle(SetContending(True), self.time)
        self.run_seconds(running, round(RECOVERY_SECONDS))
        for place in PLACES:
            holders = [
                contender
                for contender in self.list_contenders(place)
                if contender.holds(self.time)
            ]
            assert holders, f"no process plans for {place}"

    def run_second(self, running: list[str]) -> None:
        self.time += 1.0
        for name in running:
            for contender in self.processes[name].contenders.values():
                if contender.call is not None:
                    contender.serve(SERVED, self.time)
                contender.deliver(self.time)
                if contender.call is None:
                    contender.step(self.time)
                self.check_one_holder()

    @invariant()
    def check_one_holder(self) -> None:
        for place in PLACES:
            holders = [
                contender
                for contender in self.list_contenders(place)
                if contender.holds(self.time)
            ]
            assert len(holders) <= 1, f"{len(holders)} processes may give orders"


class RestoredLeaseModel(LeaseModel):
    """Run the same model with a store that reports eras and is restored from copies."""

    era = 1

    @rule()
    def copy(self) -> None:
        self.rows.copy()

    @rule()
    def restore(self) -> None:
        # The table's client refuses plans decided on in the earlier era, by the era of
        # their rows.
        self.plans.clear()
        self.rows.restore()

    @rule(name=names, place=places)
    def observe_era(self, name: str, place: str) -> None:
        contender = self.processes[name].contenders.get(place)
        if contender is not None:
            contender.observe_era(self.time)


BOUNDS: Final = settings(max_examples=200, stateful_step_count=60)
TestLeaseModel = LeaseModel.TestCase
TestLeaseModel.settings = BOUNDS
TestRestoredLeaseModel = RestoredLeaseModel.TestCase
TestRestoredLeaseModel.settings = BOUNDS


@pytest.fixture(params=[LeaseModel, RestoredLeaseModel])
def model(request: pytest.FixtureRequest) -> LeaseModel:
    """Build a model in which one process plans for both places, observed by another."""
    model = request.param()
    while not all(model.gained.values()):
        model.run_seconds(["a"], 1)
    model.run_second(["b"])
    return model


# Guards against two planners with one fencing token: a contender that started again
# took its old row for its lost write, and the rightful successor got the same token.
@pytest.mark.parametrize("seconds", [1, 3])
def test_successor_of_a_contender_with_lost_writes_gets_a_higher_token(
    model, seconds
) -> None:
    model.recontend_with_lost_writes("salt-lake", "a", "b", seconds)
    model.run_seconds(["b"], round(RECOVERY_SECONDS))
    [holders] = [
        contender
        for contender in model.list_contenders("salt-lake")
        if contender.holds(model.time)
    ]
    assert holders is model.processes["b"].contenders["salt-lake"]


# Guards against two planners: a holder whose renewal was answered late counts its lease
# from the answer.
@pytest.mark.parametrize("seconds", [3, 9, 12])
def test_holder_that_stalled_during_renewal_holds_no_longer(model, seconds) -> None:
    model.stall_in_call("salt-lake", "a", "b", seconds)
    model.run_seconds(["b"], round(RECOVERY_SECONDS))
    model.check_one_holder()
    assert any(
        contender.holds(model.time) for contender in model.list_contenders("salt-lake")
    )


# Guards against two planners: the reply to the first write of a lease came late, and
# the lease was counted from the reply.
def test_contender_that_stalled_during_takeover_holds_no_longer() -> None:
    model = LeaseModel()
    contender = model.processes["a"].contenders["salt-lake"]
    contender.handle(Tick(), model.time)
    contender.serve(SERVED, model.time)
    contender.deliver(model.time)
    assert isinstance(contender.call, WriteLease)
    model.stall_in_call("salt-lake", "a", "b", 12)
    assert model.processes["b"].contenders["salt-lake"].holds(model.time)


# Guards against two planners: a restore loses the holder's row, and a process that
# reads an older row, or its own delayed write, plans as well.
def test_one_holder_across_a_restore_and_a_delayed_write() -> None:
    model = RestoredLeaseModel()
    model.copy()
    model.run_seconds(["a", "b"], 13)
    model.restore()
    for seconds in (1, 3, 9):
        model.run_seconds(["b"], seconds)
        model.run_seconds(["a"], 1)
    model.run_seconds(["a", "b", "c"], round(RECOVERY_SECONDS))
    assert any(
        contender.holds(model.time) for contender in model.list_contenders("salt-lake")
    )


# Guards against a place that stays without a planner after its holder was killed.
def test_place_has_a_planner_after_its_holder_was_killed(model) -> None:
    model.kill("a")
    model.run_seconds(["b"], round(RECOVERY_SECONDS))
    assert any(
        contender.holds(model.time) for contender in model.list_contenders("salt-lake")
    )
