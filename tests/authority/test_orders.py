"""Tests of the orders that an agent gives to its engine."""

from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from radishtally.authority.order_events import (
    ACCEPTED,
    BUSY,
    MODEL,
    NOT_SENT,
    REJECTED,
    ROLE,
    STALE,
    UNCLEAR,
    Command,
    Drained,
    EndDrain,
    EngineRead,
    EngineStatus,
    EngineUnreachable,
    Event,
    HintReceived,
    OrderAnswered,
    OrderTimings,
    PlanRead,
    PlanUnreadable,
    ReadEngine,
    ReadPlan,
    RecordAudit,
    SendOrder,
    StartDrain,
    Tick,
    WakeAt,
)
from radishtally.authority.orders import OrderCore
from radishtally.authority.plan import Plan, Wanted

HOST = "h1"
PLACE = "salt-lake"
TERMS = OrderTimings()
CHANGE_SECONDS = 0.5
"""Shorter than the settle time, so that a delayed order can reach an idle engine."""
MIXED = Wanted("mixed", "gown", "1")
WANTED_STATES = (
    MIXED,
    Wanted("decode", "gown", "1"),
    Wanted("prefill", "gown", "2"),
    Wanted("decode", "gown", "1", ("silk",)),
)


class SentOrder(NamedTuple):
    """Represent an order in flight to the engine."""

    order: SendOrder
    sent_at: float


class FakeEngine:
    """Handle orders as the engine interface specifies."""

    def __init__(self, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.state = EngineStatus("mixed", "gown", "1", (), False, "e-0", 0)
        self.change_ends_at = 0.0
        self.pending_state: EngineStatus | None = None
        self.known_order_ids: set[str] = set()
        self.accepted: list[SendOrder] = []
        self.reachable = True

    def finish_change(self, now: float) -> None:
        if self.pending_state is not None and now >= self.change_ends_at:
            self.state = self.pending_state._replace(fencing=self.state.fencing)
            self.pending_state = None

    def read(self, now: float) -> EngineStatus:
        self.finish_change(now)
        return self.state._replace(changing=self.pending_state is not None)

    def handle_order(self, order: SendOrder, now: float) -> OrderAnswered:
        self.finish_change(now)
        if order.order_id in self.known_order_ids:
            return OrderAnswered(order.order_id, ACCEPTED)
        if self.pending_state is not None:
            return OrderAnswered(order.order_id, BUSY)
        if self.checks_fencing and order.fencing < self.state.fencing:
            return OrderAnswered(order.order_id, STALE, self.state.fencing)
        self.state = self.state._replace(fencing=max(order.fencing, self.state.fencing))
        self.accepted.append(order)
        self.known_order_ids.add(order.order_id)
        self.pending_state = self._change(order)
        self.change_ends_at = now + CHANGE_SECONDS
        return OrderAnswered(order.order_id, ACCEPTED)

    def _change(self, order: SendOrder) -> EngineStatus:
        if order.kind == MODEL:
            model, version = order.wanted.model, order.wanted.version
            return self.state._replace(model=model, version=version, adapters=())
        if order.kind == ROLE:
            return self.state._replace(role=order.wanted.role)
        adapters = (*self.state.adapters, order.adapter)
        return self.state._replace(adapters=adapters)

    def crash(self) -> None:
        """Restart in the initial state, without any knowledge of earlier orders."""
        number = int(self.state.incarnation[2:]) + 1
        self.state = EngineStatus("mixed", "gown", "1", (), False, f"e-{number}", 0)
        self.pending_state = None
        self.known_order_ids = set()


class World:
    """Simulate one agent's core, its engine and the plan row."""

    def __init__(self, checks_fencing: bool = False) -> None:
        self.now = 0.0
        self.engine = FakeEngine(checks_fencing)
        self.core = OrderCore(HOST, TERMS)
        self.plan: Plan | None = None
        self.store_up = True
        self.plan_read_at = float("-inf")
        self.sent_orders: list[SentOrder] = []
        self.in_flight: SendOrder | None = None
        self.unsent = False
        self.pending_reads: dict[type, float] = {}
        self.replies: list[Event] = []
        self.drain = ""
        self.log: list[Command] = []

    def write_plan(self, wanted: Wanted, fencing: int = 1) -> None:
        number = 1 if self.plan is None else self.plan.number + 1
        self.plan = Plan(PLACE, number, fencing, "mix", {HOST: wanted})

    def handle(self, event: Event) -> None:
        for command in self.core.handle(event, self.now):
            self.execute(command)

    def execute(self, command: Command) -> None:
        self.log.append(command)
        if isinstance(command, ReadPlan | ReadEngine):
            assert type(command) not in self.pending_reads, (
                "two reads of one kind in flight"
            )
            self.pending_reads[type(command)] = self.now
        if isinstance(command, StartDrain):
            assert self.drain == ""
            self.drain = "draining"
        if isinstance(command, EndDrain):
            assert self.drain != ""
            self.drain = ""
        if isinstance(command, SendOrder):
            assert self.in_flight is None, "two orders in flight"
            assert self.drain == "drained", "an order to an engine that is not drained"
            age = self.now - self.plan_read_at
            assert age < TERMS.max_read_age, (
                "an order based on an outdated read of the plan"
            )
            self.in_flight = command
            self.unsent = True

    def send(self) -> None:
        """Send the order, unless the agent was paused for too long."""
        order = self.in_flight
        self.unsent = False
        if self.now >= order.send_before:
            self.deliver_answer(OrderAnswered(order.order_id, NOT_SENT))
            return
        self.sent_orders.append(SentOrder(order, self.now))

    def deliver_answer(self, event: OrderAnswered) -> None:
        self.in_flight = None
        self.handle(event)

    def deliver_order(self, sent: SentOrder) -> None:
        self.sent_orders.remove(sent)
        newest = max(
            (o.order_id.split("-")[1] for o in self.engine.accepted), default="0"
        )
        count = len(self.engine.accepted)
        answer = self.engine.handle_order(sent.order, self.now)
        if len(self.engine.accepted) > count:
            number = int(sent.order.order_id.split("-")[1])
            assert number >= int(newest), "an order of an older plan undid a newer one"
        if self.in_flight is not None and self.in_flight.order_id == answer.order_id:
            self.deliver_answer(answer)

    def read_plan(self) -> None:
        asked_at = self.pending_reads.pop(ReadPlan)
        if not self.store_up:
            self.handle(PlanUnreadable())
            return
        self.plan_read_at = asked_at
        self.handle(PlanRead(self.plan, asked_at))

    def read_engine(self) -> None:
        asked_at = self.pending_reads.pop(ReadEngine)
        if not self.engine.reachable:
            self.handle(EngineUnreachable())
            return
        # An engine that answers has read every order sent a settle time before.
        for sent in [
            w for w in self.sent_orders if w.sent_at <= self.now - TERMS.settle
        ]:
            self.deliver_order(sent)
        self.handle(EngineRead(self.engine.read(self.now), asked_at))

    def finish_drain(self) -> None:
        self.drain = "drained"
        self.handle(Drained())

    def step(self, sends: bool = True) -> None:
        """Do everything possible at this time."""
        self.handle(Tick())
        for _ in range(20):
            if self.drain == "draining":
                self.finish_drain()
            elif ReadEngine in self.pending_reads:
                self.read_engine()
            elif ReadPlan in self.pending_reads:
                self.read_plan()
            elif self.unsent and not sends:
                return
            elif self.in_flight is not None and self.unsent:
                self.send()
            elif self.in_flight is not None:
                self.deliver_order(self.sent_orders[-1])
            else:
                return

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.2
            self.step()

    def restart_agent(self) -> None:
        """Replace the agent; the host's port keeps two agents from running at once."""
        self.core = OrderCore(HOST, TERMS)
        self.in_flight = None
        self.unsent = False
        self.pending_reads = {}
        self.drain = ""

    def count_orders(self) -> int:
        return sum(isinstance(command, SendOrder) for command in self.log)


@settings(max_examples=300, stateful_step_count=50)
class OrderMachine(RuleBasedStateMachine):
    """Lose orders and replies, crash engines midway, replace agents, change plans.

    Guards against an order of an older plan that takes effect after one of a newer
    plan, two orders in flight, an order to an engine with work, and an engine that
    never reaches the wanted state after all faults have ended.
    """

    @initialize(checks=st.booleans())
    def begin(self, checks: bool) -> None:
        self.world = World(checks)

    @rule(seconds=st.sampled_from([0.2, 1.0, 2.5, 4.0]))
    def advance(self, seconds: float) -> None:
        self.world.now += seconds
        self.world.handle(Tick())

    @rule(seconds=st.sampled_from([1.0, 4.0, 8.0]))
    def run_undisturbed(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(
        wanted=st.sampled_from(WANTED_STATES),
        takeover=st.booleans(),
        hint=st.booleans(),
    )
    def write_plan(self, wanted: Wanted, takeover: bool, hint: bool) -> None:
        plan = self.world.plan
        fencing = 1 if plan is None else plan.fencing + takeover
        self.world.write_plan(wanted, fencing)
        if hint:
            self.world.handle(HintReceived())

    @rule()
    def read_plan(self) -> None:
        if ReadPlan in self.world.pending_reads:
            self.world.read_plan()

    @rule()
    def read_engine(self) -> None:
        if ReadEngine in self.world.pending_reads:
            self.world.read_engine()

    @precondition(lambda self: self.world.drain == "draining")
    @rule()
    def finish_drain(self) -> None:
        self.world.finish_drain()

    @precondition(lambda self: self.world.in_flight and self.world.unsent)
    @rule(unclear=st.booleans())
    def send(self, unclear: bool) -> None:
        order = self.world.in_flight
        self.world.send()
        if unclear and self.world.in_flight is order:
            self.world.deliver_answer(OrderAnswered(order.order_id, UNCLEAR))

    @precondition(lambda self: self.world.sent_orders)
    @rule(newest=st.booleans())
    def deliver_order(self, newest: bool) -> None:
        self.world.deliver_order(self.world.sent_orders[-1 if newest else 0])

    @precondition(lambda self: self.world.sent_orders)
    @rule()
    def lose_order(self) -> None:
        sent = self.world.sent_orders.pop(0)
        if self.world.in_flight == sent.order:
            self.world.deliver_answer(OrderAnswered(sent.order.order_id, UNCLEAR))

    @rule()
    def crash_engine(self) -> None:
        self.world.engine.crash()

    @rule()
    def restart_agent(self) -> None:
        self.world.restart_agent()

    @rule(wanted=st.sampled_from(WANTED_STATES), dies=st.booleans())
    def lose_answer_to_sent_order(self, wanted: Wanted, dies: bool) -> None:
        """Kill the agent, or lose the answer, right after an order was sent."""
        world = self.world
        for _ in range(20):
            if world.in_flight is not None and world.unsent:
                break
            world.now += 0.2
            world.step(sends=False)
        if world.in_flight is None or not world.unsent:
            return
        order = world.in_flight
        world.send()
        if dies:
            world.restart_agent()
        elif world.in_flight is order:
            world.deliver_answer(OrderAnswered(order.order_id, UNCLEAR))
        world.write_plan(wanted, world.plan.fencing)

    @rule()
    def switch_store(self) -> None:
        self.world.store_up = not self.world.store_up

    def teardown(self) -> None:
        if not hasattr(self, "world") or self.world.plan is None:
            return
        world = self.world
        world.store_up = True
        world.run(150.0)
        state, wanted = world.engine.read(world.now), world.plan.wanted[HOST]
        assert state.role == wanted.role
        assert (state.model, state.version) == (wanted.model, wanted.version)
        assert set(wanted.adapters) <= set(state.adapters)
        assert world.drain == ""


TestOrderMachine = OrderMachine.TestCase


@pytest.fixture
def world() -> World:
    return World()


def run_to_order(world: World, wanted: Wanted = WANTED_STATES[1]) -> SendOrder:
    """Run until the core gives an order, and leave it unsent."""
    world.write_plan(wanted)
    for _ in range(100):
        world.now += 0.2
        world.handle(Tick())
        if ReadEngine in world.pending_reads:
            world.read_engine()
        if ReadPlan in world.pending_reads:
            world.read_plan()
        if world.drain == "draining":
            world.finish_drain()
        if world.in_flight is not None:
            return world.in_flight
    raise AssertionError("no order")


def test_engine_in_the_wanted_state_gets_no_order(world: World) -> None:
    world.write_plan(MIXED)
    world.run(40.0)
    assert world.count_orders() == 0
    assert not any(isinstance(command, StartDrain) for command in world.log)


def test_order_follows_drain_and_is_recorded(world: World) -> None:
    world.write_plan(WANTED_STATES[1])
    world.run(20.0)
    kinds = [type(c) for c in world.log if not isinstance(c, ReadPlan | ReadEngine)]
    kinds = [kind for kind in kinds if kind is not WakeAt]
    assert kinds == [StartDrain, SendOrder, RecordAudit, EndDrain]


def test_first_order_waits_until_a_dead_agents_order_has_settled(world: World) -> None:
    # An agent dies right after it sent an order of plan 1; its successor reads plan 2.
    # An immediate order could be undone by the old one, if that arrives later.
    old = run_to_order(world)
    world.send()
    world.restart_agent()
    begin = world.now
    new = run_to_order(world, WANTED_STATES[2])
    assert world.now - begin >= TERMS.settle
    assert [order.order_id for order in world.engine.accepted] == [old.order_id]
    assert new.order_id != old.order_id


def test_order_after_an_unclear_one_waits_until_that_one_has_settled(
    world: World,
) -> None:
    # The answer to an order is lost, the order itself is delayed, and a new plan comes.
    # An immediate order of the new plan would be undone by the delayed one.
    old = run_to_order(world)
    world.send()
    world.deliver_answer(OrderAnswered(old.order_id, UNCLEAR))
    begin = world.now
    new = run_to_order(world, WANTED_STATES[2])
    assert world.now - begin >= TERMS.settle
    assert [order.order_id for order in world.engine.accepted] == [old.order_id]
    assert new.order_id != old.order_id


def test_plan_gives_no_order_after_the_engine_reported_a_higher_token(
    world: World,
) -> None:
    # The current plan has been carried out. Then the engine reports a higher fencing
    # token, so it has accepted newer orders, which an order of this plan would undo.
    world.write_plan(MIXED, fencing=3)
    world.run(10.0)
    world.handle(HintReceived())
    world.step()
    world.engine.state = world.engine.state._replace(role="decode", fencing=4)
    world.run(60.0)
    assert not any(isinstance(c, StartDrain | SendOrder) for c in world.log)


def test_plan_older_than_one_already_read_gives_no_order(world: World) -> None:
    world.write_plan(MIXED, fencing=5)
    world.run(5.0)
    world.plan = Plan(PLACE, 1, 4, "late", {HOST: WANTED_STATES[1]})
    world.handle(HintReceived())
    world.run(60.0)
    assert world.count_orders() == 0


def test_engine_with_a_higher_fencing_token_gets_no_order(world: World) -> None:
    world.write_plan(WANTED_STATES[1], fencing=3)
    world.engine.state = world.engine.state._replace(fencing=4)
    world.run(60.0)
    assert world.count_orders() == 0
    world.write_plan(WANTED_STATES[1], fencing=4)
    world.run(60.0)
    assert world.engine.read(world.now).role == "decode"


def test_unavailable_store_ends_the_drain_for_an_order(world: World) -> None:
    # The store fails while the engine is draining for an order. The order can't be
    # given then, and a drained engine would sit idle, so the engine accepts work again.
    world.write_plan(WANTED_STATES[1])
    while world.drain != "draining":
        world.now += 0.2
        world.handle(Tick())
        if ReadEngine in world.pending_reads:
            world.read_engine()
        if ReadPlan in world.pending_reads:
            world.read_plan()
    world.store_up = False
    world.run(10.0)
    assert world.drain == ""
    assert world.count_orders() == 0
    world.store_up = True
    world.run(20.0)
    assert world.engine.read(world.now).role == "decode"


def test_expired_order_is_not_sent(world: World) -> None:
    # The agent is paused between deciding on an order and sending it, and the plan that
    # it read is outdated when it resumes. It reads again and follows the plan in force.
    order = run_to_order(world)
    world.now += 60.0
    world.write_plan(MIXED)
    world.send()
    world.run(20.0)
    assert order not in world.engine.accepted
    assert world.engine.accepted == []
    assert world.drain == ""


def test_engine_that_crashed_midway_is_ordered_again(world: World) -> None:
    world.write_plan(WANTED_STATES[1])
    while not world.engine.accepted:
        world.run(0.2)
    world.engine.crash()
    world.run(30.0)
    assert world.engine.read(world.now).role == "decode"
    assert len({order.order_id for order in world.engine.accepted}) == 2


def test_engine_that_was_changed_back_gets_an_order_with_a_new_id(
    world: World,
) -> None:
    # The order is carried out, and later something else changes the engine back. A
    # retry with the same order id would be answered as done and never take effect.
    world.write_plan(WANTED_STATES[1])
    world.run(20.0)
    world.engine.state = world.engine.state._replace(role="mixed")
    world.run(20.0)
    assert world.engine.read(world.now).role == "decode"


def test_retry_of_an_unclear_order_has_the_same_id(world: World) -> None:
    first = run_to_order(world)
    world.deliver_answer(OrderAnswered(first.order_id, UNCLEAR))
    while world.in_flight is None:
        world.now += 0.2
        world.handle(Tick())
        if ReadEngine in world.pending_reads:
            world.read_engine()
        if ReadPlan in world.pending_reads:
            world.read_plan()
    assert world.in_flight.order_id == first.order_id


@pytest.mark.parametrize("failures", [1, 3])
def test_rejected_order_ends_the_drain_and_backs_off(
    world: World, failures: int
) -> None:
    for _ in range(failures):
        order = run_to_order(world)
        world.plan = world.plan._replace(number=1)
        world.deliver_answer(OrderAnswered(order.order_id, REJECTED))
        assert world.drain == ""
    failed = [c for c in world.log if isinstance(c, RecordAudit)]
    assert [c.what for c in failed] == ["engine:order-failed"] * failures


@pytest.mark.parametrize(
    ("wanted", "kinds"),
    [
        (WANTED_STATES[1], [ROLE]),
        (WANTED_STATES[2], [MODEL, ROLE]),
        (WANTED_STATES[3], [ROLE, "adapter"]),
    ],
)
def test_steps_are_ordered_one_after_the_other(
    world: World, wanted: Wanted, kinds: list[str]
) -> None:
    world.write_plan(wanted)
    world.run(40.0)
    assert [order.kind for order in world.engine.accepted] == kinds
