"""Tests of giving engines their roles."""

import asyncio
from collections.abc import Callable

import pytest

from radishtally.authority.lease_driver import LeaseDriver
from radishtally.authority.lease_row import ERA_SHIFT
from radishtally.direct.core import EngineReport, Instance, OrderOutcome
from radishtally.engines.state import INITIAL_PREFILL_RATE
from radishtally.links.messages import DECODE, PREFILL
from radishtally.outcome import Error, Ok, Result
from radishtally.stages.const import (
    COUNT_CHANGE_SECONDS,
    RETRY_SECONDS,
    SETTLE_SECONDS,
    TICK_SECONDS,
)
from radishtally.stages.core import RoleChange
from radishtally.stages.role_controller import RoleController
from radishtally.store.ids import WriteIds
from tests.common import MemoryTable, run


def make_instance(number: int, role: str = DECODE) -> Instance:
    return Instance(f"e{number}", "llm", f"e{number}:1", "howrah", False, 64, role)


ENGINE = make_instance(1)
CHANGE = RoleChange(ENGINE.host, PREFILL)


class Clock:
    """Stand still until it is moved."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


class FakeLease:
    """Be held under a number, or not."""

    def __init__(self, *numbers: int | None) -> None:
        self.numbers = list(numbers)

    @property
    def fencing(self) -> int | None:
        return self.numbers.pop(0) if len(self.numbers) > 1 else self.numbers[0]

    def give_up(self, fencing: int) -> None:
        assert self.numbers == [fencing]
        self.numbers = [None]


class FakeOrders:
    """Answer orders as told, and keep them."""

    def __init__(self, outcome: OrderOutcome, report: Result | None = None) -> None:
        self.outcome = outcome
        self.while_ordered: Callable[[], None] = lambda: None
        """What happens while an order is under way."""
        self.report = report or Ok(EngineReport(DECODE, 7, False))
        self.given: list[tuple] = []
        self.silent: set[str] = set()
        """Engines that don't say what they do."""
        self.asked: list[str] = []

    async def read_report(self, instance: Instance) -> Result[EngineReport, str]:
        self.asked.append(instance.host)
        return Error("no answer") if instance.host in self.silent else self.report

    async def order_role(self, instance: Instance, *order: object) -> OrderOutcome:
        self.given.append((instance.host, *order))
        self.while_ordered()
        return self.outcome


class FencedOrders(FakeOrders):
    """Take orders, but at one engine none under a number lower than it has seen."""

    def __init__(self, host: str, seen: int) -> None:
        super().__init__(OrderOutcome.TAKEN)
        self.host = host
        self.seen = seen

    async def order_role(
        self, instance: Instance, role: str, owner: str, fencing: int, sequence: int
    ) -> OrderOutcome:
        await super().order_role(instance, role, owner, fencing, sequence)
        is_stale = instance.host == self.host and fencing < self.seen
        return OrderOutcome.STALE if is_stale else OrderOutcome.TAKEN


def give_rate(host: str) -> float:
    return INITIAL_PREFILL_RATE


def make_keeper(orders: FakeOrders, lease: FakeLease) -> RoleController:
    return RoleController("gateway-1", orders, lambda: [ENGINE], lease, give_rate)


def test_order_carries_fencing_number_and_count() -> None:
    orders = FakeOrders(OrderOutcome.TAKEN)
    keeper = make_keeper(orders, FakeLease(4))
    run(keeper._carry_out(ENGINE, CHANGE))
    assert orders.given == [("e1", PREFILL, "gateway-1", 4, 7)]


# Two gateways order one engine: the first one's lease lapsed while it asked the engine
# what it does, and it gave its order all the same.
def test_lease_is_asked_again_right_before_the_order() -> None:
    orders = FakeOrders(OrderOutcome.TAKEN)
    keeper = make_keeper(orders, FakeLease(None))
    run(keeper._carry_out(ENGINE, CHANGE))
    assert orders.given == []


def test_number_that_is_out_of_date_is_used_no_more() -> None:
    orders = FakeOrders(OrderOutcome.STALE)
    keeper = make_keeper(orders, FakeLease(4))
    run(keeper._carry_out(ENGINE, CHANGE))
    run(keeper._carry_out(ENGINE, CHANGE))
    assert len(orders.given) == 1
    keeper._lease = FakeLease(5)
    run(keeper._carry_out(ENGINE, CHANGE))
    assert len(orders.given) == 2


# One engine more than wanted changes its role: an order had no answer, was given again
# to another engine, and both were carried out.
@pytest.mark.parametrize("outcome", [OrderOutcome.TAKEN, OrderOutcome.UNCLEAR])
def test_order_that_may_be_carried_out_counts_as_done(outcome: OrderOutcome) -> None:
    keeper = make_keeper(FakeOrders(outcome), FakeLease(4))
    run(keeper._carry_out(ENGINE, CHANGE))
    pending, until = keeper._pending[ENGINE.host]
    assert pending == PREFILL
    assert keeper._describe(ENGINE, until - 0.1).role == PREFILL
    assert keeper._describe(ENGINE, until).role == DECODE


# Answers come seconds late: one of two engines that make them is leaving, and the other
# one gets help only once it is gone from the list.
def test_engine_that_leaves_is_replaced_at_once() -> None:
    engines = [make_instance(n, PREFILL) for n in range(3)]
    engines += [make_instance(n, DECODE) for n in range(3, 5)]
    orders = FakeOrders(OrderOutcome.TAKEN)
    keeper = RoleController(
        "gateway-1", orders, lambda: engines, FakeLease(4), give_rate
    )
    assert keeper._decide(0.0) == []
    engines[4] = engines[4]._replace(is_draining=True)
    keeper._decide(10.0)
    ((_, change),) = keeper._decide(10.0 + COUNT_CHANGE_SECONDS)
    assert change.role == DECODE


@pytest.mark.parametrize(
    "report",
    [
        Error("no answer"),
        Ok(EngineReport(DECODE, 7, True)),
        Ok(EngineReport(PREFILL, 7, False)),
    ],
)
def test_engine_that_is_busy_changed_or_silent_gets_no_order(report: Result) -> None:
    orders = FakeOrders(OrderOutcome.TAKEN, report)
    run(make_keeper(orders, FakeLease(4))._carry_out(ENGINE, CHANGE))
    assert orders.given == []


def play(keeper: RoleController, clock: Clock, seconds: float) -> None:
    """Let the keeper look as often as it does within a time."""
    for _ in range(round(seconds / TICK_SECONDS)):
        clock.now += TICK_SECONDS
        run(keeper._set_roles())


# Prompts wait for the one engine that reads them: the engine that is chosen to help it
# can't be asked what it does, for as long as it is listed. It is chosen again at each
# look, since nothing tells it from the others.
def test_another_engine_is_ordered_where_one_is_silent() -> None:
    engines = [make_instance(0, PREFILL), *map(make_instance, range(1, 4))]
    orders, clock = FakeOrders(OrderOutcome.TAKEN), Clock()
    keeper = RoleController(
        "g", orders, lambda: engines, FakeLease(4), give_rate, clock
    )
    orders.silent = {"e3"}
    play(keeper, clock, COUNT_CHANGE_SECONDS + 2 * TICK_SECONDS)
    assert orders.asked[0] == "e3"
    assert [host for host, *_ in orders.given] == ["e2"]


# Each question to an engine has its price: one that can't be reached was asked at each
# look, twice as often as meant, since its wait ended as soon as it had begun.
def test_silent_engine_is_left_alone_for_a_while() -> None:
    engines = [make_instance(number) for number in range(3)]
    orders, clock = FakeOrders(OrderOutcome.TAKEN), Clock()
    keeper = RoleController(
        "g", orders, lambda: engines, FakeLease(4), give_rate, clock
    )
    orders.silent = {engine.host for engine in engines}
    play(keeper, clock, SETTLE_SECONDS + 10 * RETRY_SECONDS)
    assert 1 <= orders.asked.count("e2") <= 11


# One engine more than wanted changes its role: the one that was chosen is changing by
# an order that came before, and another one is chosen in its place.
@pytest.mark.parametrize("outcome", [OrderOutcome.HOLDS, OrderOutcome.BUSY])
def test_engine_that_changes_by_another_order_is_not_replaced(
    outcome: OrderOutcome,
) -> None:
    engines = [make_instance(0, PREFILL), *map(make_instance, range(1, 4))]
    orders, clock = FakeOrders(outcome), Clock()
    keeper = RoleController(
        "g", orders, lambda: engines, FakeLease(4), give_rate, clock
    )
    play(keeper, clock, COUNT_CHANGE_SECONDS + RETRY_SECONDS + TICK_SECONDS)
    assert {host for host, *_ in orders.given} == {"e3"}


@pytest.mark.parametrize("outcome", [OrderOutcome.REFUSED, OrderOutcome.UNREACHED])
def test_engine_that_does_not_take_its_order_is_replaced(
    outcome: OrderOutcome,
) -> None:
    engines = [make_instance(0, PREFILL), *map(make_instance, range(1, 4))]
    orders, clock = FakeOrders(outcome), Clock()
    keeper = RoleController(
        "g", orders, lambda: engines, FakeLease(4), give_rate, clock
    )
    play(keeper, clock, SETTLE_SECONDS + 2 * TICK_SECONDS)
    assert [host for host, *_ in orders.given] == ["e3", "e2"]


# Roles stay wrong for good, at all engines: one of them has seen a higher number than
# the lease's, and refuses an order. The holder gives no more orders under its number
# and goes on renewing it, so no other number is ever taken, by it or by another one.
def test_number_that_one_engine_refuses_blocks_orders_only_for_a_while() -> None:
    async def play_on() -> list[tuple]:
        engines = [make_instance(0, PREFILL), *map(make_instance, range(1, 4))]
        orders, clock = FencedOrders("e3", seen=9), Clock()
        lease = LeaseDriver(
            MemoryTable(),
            "stages",
            "g",
            WriteIds("g-1"),
            on_gained=print,
            on_lost=print,
        )
        lease.start()
        keeper = RoleController("g", orders, lambda: engines, lease, give_rate, clock)
        for _ in range(
            round((COUNT_CHANGE_SECONDS + RETRY_SECONDS) / TICK_SECONDS) + 1
        ):
            while lease.fencing is None:
                await asyncio.sleep(0)
            clock.now += TICK_SECONDS
            await keeper._set_roles()
        await lease.stop()
        return [(host, fencing) for host, _, _, fencing, _ in orders.given]

    assert run(play_on()) == [("e3", 1), ("e2", 2)]


# Two gateways order one engine: the store is restored from an older copy, which lacks
# the lease's row, and the holder goes on ordering under a number that another one may
# be given. It must stop at once, and go on only under a number of the new era.
def test_no_order_is_given_between_a_restore_and_the_new_lease() -> None:
    async def play_on() -> list[int]:
        orders, clock, table = FakeOrders(OrderOutcome.TAKEN), Clock(), MemoryTable()
        lease = LeaseDriver(
            table,
            "stages",
            "g",
            WriteIds("g-1"),
            on_gained=print,
            on_lost=print,
            clock=clock,
        )
        keeper = RoleController("g", orders, lambda: [ENGINE], lease, give_rate, clock)
        lease.start()
        while lease.fencing is None:
            await asyncio.sleep(0)
        await keeper._carry_out(ENGINE, CHANGE)
        table.rows.rows.clear()
        lease.enter_era(1)
        for _ in range(8):
            await keeper._carry_out(ENGINE, CHANGE)
            assert len(orders.given) == 1
            clock.now += 1.0
            lease.contend(True)
            await asyncio.sleep(0)
        while lease.fencing is None:
            clock.now += 0.5
            lease.contend(True)
            await asyncio.sleep(0)
        await keeper._carry_out(ENGINE, CHANGE)
        await lease.stop()
        return [fencing for _, _, _, fencing, _ in orders.given]

    assert run(play_on()) == [1, (1 << ERA_SHIFT) + 1]


EARLY, LATE = 5_000, 4_000
"""Two starts in their order: the clock has stepped back between them."""


# An engine changes its role though nobody wants it to: it started again, and the order
# that its earlier start was to get carries a count that fits, as counts begin anew.
@pytest.mark.parametrize(
    ("known", "asked", "said", "is_given"),
    [
        (EARLY, EARLY, EARLY, True),
        (0, 0, 0, True),
        (EARLY, 0, EARLY, True),
        (EARLY, EARLY, LATE, False),
        (LATE, EARLY, EARLY, False),
        (LATE, EARLY, LATE, False),
    ],
)
def test_order_is_given_to_the_start_that_was_asked(
    known: int, asked: int, said: int, is_given: bool
) -> None:
    orders = FakeOrders(OrderOutcome.TAKEN, Ok(EngineReport(DECODE, 0, False, said)))
    keeper = RoleController(
        "gateway-1",
        orders,
        lambda: [ENGINE._replace(started_ms=known)],
        FakeLease(4),
        give_rate,
    )
    run(keeper._carry_out(ENGINE._replace(started_ms=asked), CHANGE))
    assert len(orders.given) == is_given
    assert (ENGINE.host in keeper._pending) == is_given


# A new start is counted for seconds as an engine of the role that its earlier start was
# ordered to take, and no other engine is moved in its place.
@pytest.mark.parametrize("outcome", list(OrderOutcome))
def test_order_of_an_earlier_start_says_nothing_of_the_new_one(
    outcome: OrderOutcome,
) -> None:
    engines = [ENGINE._replace(started_ms=EARLY)]
    said = Ok(EngineReport(DECODE, 7, False, EARLY))
    orders = FakeOrders(outcome, said)
    keeper = RoleController(
        "gateway-1", orders, lambda: engines, FakeLease(4), give_rate
    )

    def restart() -> None:
        engines[0] = ENGINE._replace(started_ms=LATE)
        keeper.reset_engine(ENGINE.host)

    orders.while_ordered = restart
    run(keeper._carry_out(engines[0], CHANGE))
    assert len(orders.given) == 1
    assert keeper._pending == {}
    assert keeper._skipped_until == {}


def test_pending_role_is_forgotten_with_its_start() -> None:
    keeper = make_keeper(FakeOrders(OrderOutcome.TAKEN), FakeLease(4))
    run(keeper._carry_out(ENGINE, CHANGE))
    keeper.reset_engine(ENGINE.host)
    assert keeper._describe(ENGINE, 0.0).role == DECODE


# The log fills with one line each half second of each gateway: those without the lease
# go on to want what they can't order.
def test_what_is_wanted_is_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        "radishtally.stages.role_controller.log_message",
        lambda kind, **_: lines.append(kind),
    )
    engines = [make_instance(0, PREFILL), *map(make_instance, range(1, 4))]
    clock = Clock()
    orders = FakeOrders(OrderOutcome.TAKEN)
    lease = FakeLease(None)
    keeper = RoleController("g", orders, lambda: engines, lease, give_rate, clock)
    play(keeper, clock, SETTLE_SECONDS + 20 * TICK_SECONDS)
    assert lines == ["stage:wanted"]
    engines[1] = make_instance(1, PREFILL)
    play(keeper, clock, 20 * TICK_SECONDS)
    assert lines == ["stage:wanted"] * 2
