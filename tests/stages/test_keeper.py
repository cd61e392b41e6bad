"""Tests of giving engines their roles."""

from collections.abc import Callable

import pytest

from radishtally.direct.core import EngineReport, Instance, OrderOutcome
from radishtally.engines.state import EngineLoad
from radishtally.links.messages import DECODE, PREFILL
from radishtally.outcome import Error, Ok, Result
from radishtally.stages.const import LACK_SECONDS
from radishtally.stages.core import Change
from radishtally.stages.keeper import StageKeeper
from tests.common import run


def make_instance(number: int, role: str = DECODE) -> Instance:
    return Instance(f"e{number}", "llm", f"e{number}:1", "howrah", False, 64, role)


ENGINE = make_instance(1)
CHANGE = Change(ENGINE.host, PREFILL)


class FakeLease:
    """Be held under a number, or not."""

    def __init__(self, *numbers: int | None) -> None:
        self.numbers = list(numbers)

    @property
    def fencing(self) -> int | None:
        return self.numbers.pop(0) if len(self.numbers) > 1 else self.numbers[0]


class FakeOrders:
    """Answer orders as told, and keep them."""

    def __init__(self, outcome: OrderOutcome, report: Result | None = None) -> None:
        self.outcome = outcome
        self.while_ordered: Callable[[], None] = lambda: None
        """What happens while an order is under way."""
        self.report = report or Ok(EngineReport(DECODE, 7, False))
        self.given: list[tuple] = []

    async def read_report(self, instance: Instance) -> Result[EngineReport, str]:
        return self.report

    async def order_role(self, instance: Instance, *order: object) -> OrderOutcome:
        self.given.append((instance.host, *order))
        self.while_ordered()
        return self.outcome


def no_load(host: str) -> EngineLoad:
    return EngineLoad(0, 0.0)


def make_keeper(orders: FakeOrders, lease: FakeLease) -> StageKeeper:
    return StageKeeper("gateway-1", orders, lambda: [ENGINE], lease, no_load)


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
    keeper = StageKeeper("gateway-1", orders, lambda: engines, FakeLease(4), no_load)
    assert keeper._decide(0.0) == []
    engines[4] = engines[4]._replace(is_draining=True)
    keeper._decide(10.0)
    ((_, change),) = keeper._decide(10.0 + LACK_SECONDS)
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
    keeper = StageKeeper(
        "gateway-1",
        orders,
        lambda: [ENGINE._replace(started_ms=known)],
        FakeLease(4),
        no_load,
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
    keeper = StageKeeper("gateway-1", orders, lambda: engines, FakeLease(4), no_load)

    def restart() -> None:
        engines[0] = ENGINE._replace(started_ms=LATE)
        keeper.forget(ENGINE.host)

    orders.while_ordered = restart
    run(keeper._carry_out(engines[0], CHANGE))
    assert len(orders.given) == 1
    assert keeper._pending == {}


def test_pending_role_is_forgotten_with_its_start() -> None:
    keeper = make_keeper(FakeOrders(OrderOutcome.TAKEN), FakeLease(4))
    run(keeper._carry_out(ENGINE, CHANGE))
    keeper.forget(ENGINE.host)
    assert keeper._describe(ENGINE, 0.0).role == DECODE
