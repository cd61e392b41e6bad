"""Tests of the control loop for the engines' roles."""

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
    """Return a time that the test sets."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


class FakeLease:
    """Simulate a lease by a sequence of fencing tokens; None if it is not held."""

    def __init__(self, *numbers: int | None) -> None:
        self.numbers = list(numbers)

    @property
    def fencing(self) -> int | None:
        return self.numbers.pop(0) if len(self.numbers) > 1 else self.numbers[0]

    def give_up(self, fencing: int) -> None:
        assert self.numbers == [fencing]
        self.numbers = [None]


class FakeOrders:
    """Record orders and answer them with a fixed outcome."""

    def __init__(self, outcome: OrderOutcome, report: Result | None = None) -> None:
        self.outcome = outcome
        self.while_ordered: Callable[[], None] = lambda: None
        """Called while an order is in flight."""
        self.report = report or Ok(EngineReport(DECODE, 7, False))
        self.given: list[tuple] = []
        self.silent: set[str] = set()
        """Engines that do not answer reads."""
        self.reads: list[str] = []

    async def read_report(self, instance: Instance) -> Result[EngineReport, str]:
        self.reads.append(instance.host)
        return Error("no answer") if instance.host in self.silent else self.report

    async def order_role(self, instance: Instance, *order: object) -> OrderOutcome:
        self.given.append((instance.host, *order))
        self.while_ordered()
        return self.outcome


class FencedOrders(FakeOrders):
    """Take orders, but refuse stale fencing tokens at one engine."""

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


def get_prefill_rate(host: str) -> float:
    return INITIAL_PREFILL_RATE


def make_controller(orders: FakeOrders, lease: FakeLease) -> RoleController:
    return RoleController(
        "gateway-1", orders, lambda: [ENGINE], lease, get_prefill_rate
    )


def test_order_carries_fencing_token_and_sequence() -> None:
    orders = FakeOrders(OrderOutcome.TAKEN)
    controller = make_controller(orders, FakeLease(4))
    run(controller._carry_out(ENGINE, CHANGE))
    assert orders.given == [("e1", PREFILL, "gateway-1", 4, 7)]


# If the lease expires while the engine's report is read, another gateway may order the
# same engine, so no order may follow.
def test_lease_is_checked_right_before_the_order() -> None:
    orders = FakeOrders(OrderOutcome.TAKEN)
    controller = make_controller(orders, FakeLease(None))
    run(controller._carry_out(ENGINE, CHANGE))
    assert orders.given == []


def test_stale_fencing_token_is_not_used_again() -> None:
    orders = FakeOrders(OrderOutcome.STALE)
    controller = make_controller(orders, FakeLease(4))
    run(controller._carry_out(ENGINE, CHANGE))
    run(controller._carry_out(ENGINE, CHANGE))
    assert len(orders.given) == 1
    controller._lease = FakeLease(5)
    run(controller._carry_out(ENGINE, CHANGE))
    assert len(orders.given) == 2


# If an order without an answer were repeated at another engine, both could be carried
# out, and one engine too many would change its role.
@pytest.mark.parametrize("outcome", [OrderOutcome.TAKEN, OrderOutcome.UNCLEAR])
def test_order_that_may_be_carried_out_counts_as_pending(outcome: OrderOutcome) -> None:
    controller = make_controller(FakeOrders(outcome), FakeLease(4))
    run(controller._carry_out(ENGINE, CHANGE))
    pending, until = controller._pending[ENGINE.host]
    assert pending == PREFILL
    assert controller._describe(ENGINE, until - 0.1).role == PREFILL
    assert controller._describe(ENGINE, until).role == DECODE


# When one of two decode engines is draining, the other one must get help before it is
# gone from the list, or answers are seconds late.
def test_draining_engine_is_replaced() -> None:
    engines = [make_instance(n, PREFILL) for n in range(3)]
    engines += [make_instance(n, DECODE) for n in range(3, 5)]
    orders = FakeOrders(OrderOutcome.TAKEN)
    controller = RoleController(
        "gateway-1", orders, lambda: engines, FakeLease(4), get_prefill_rate
    )
    assert controller._decide(0.0) == []
    engines[4] = engines[4]._replace(is_draining=True)
    controller._decide(10.0)
    ((_, change),) = controller._decide(10.0 + COUNT_CHANGE_SECONDS)
    assert change.role == DECODE


# Guards against refusals of nearly all requests: the other decode engine was ordered to
# read prompts, as one that takes a few requests a second counted like any other.
def test_engine_with_a_limit_is_replaced() -> None:
    engines = [make_instance(n, PREFILL) for n in range(3)]
    engines += [make_instance(n, DECODE) for n in range(3, 5)]
    controller = RoleController(
        "gateway-1",
        FakeOrders(OrderOutcome.TAKEN),
        lambda: engines,
        FakeLease(4),
        get_prefill_rate,
    )
    assert controller._decide(0.0) == []
    limited = {"e4"}
    controller.is_limited = limited.__contains__
    controller._decide(10.0)
    ((_, change),) = controller._decide(10.0 + COUNT_CHANGE_SECONDS)
    assert change.role == DECODE
    assert change.host not in limited


def test_engines_with_limits_count_where_too_few_others_are_left() -> None:
    engines = [make_instance(1, PREFILL), make_instance(2, DECODE)]
    controller = RoleController(
        "gateway-1",
        FakeOrders(OrderOutcome.TAKEN),
        lambda: engines,
        FakeLease(4),
        get_prefill_rate,
    )
    controller.is_limited = {"e2"}.__contains__
    assert controller._decide(0.0) == []
    assert controller._decide(10.0 + COUNT_CHANGE_SECONDS) == []


@pytest.mark.parametrize(
    "report",
    [
        Error("no answer"),
        Ok(EngineReport(DECODE, 7, True)),
        Ok(EngineReport(PREFILL, 7, False)),
    ],
)
def test_busy_changed_or_silent_engine_gets_no_order(report: Result) -> None:
    orders = FakeOrders(OrderOutcome.TAKEN, report)
    run(make_controller(orders, FakeLease(4))._carry_out(ENGINE, CHANGE))
    assert orders.given == []


def run_ticks(controller: RoleController, clock: Clock, seconds: float) -> None:
    """Run the ticks of the control loop within a time."""
    for _ in range(round(seconds / TICK_SECONDS)):
        clock.now += TICK_SECONDS
        run(controller._set_roles())


# The engine chosen for a change does not answer. If it were chosen again at each tick,
# prompts would wait for the only prefill engine for as long as it is listed.
def test_another_engine_is_ordered_if_one_is_silent() -> None:
    engines = [make_instance(0, PREFILL), *map(make_instance, range(1, 4))]
    orders, clock = FakeOrders(OrderOutcome.TAKEN), Clock()
    controller = RoleController(
        "g", orders, lambda: engines, FakeLease(4), get_prefill_rate, clock
    )
    orders.silent = {"e3"}
    run_ticks(controller, clock, COUNT_CHANGE_SECONDS + 2 * TICK_SECONDS)
    assert orders.reads[0] == "e3"
    assert [host for host, *_ in orders.given] == ["e2"]


# Reads have a cost, so an unreachable engine must be read at the retry interval, and
# not at each tick, which is twice as often.
def test_silent_engine_is_read_at_the_retry_interval() -> None:
    engines = [make_instance(number) for number in range(3)]
    orders, clock = FakeOrders(OrderOutcome.TAKEN), Clock()
    controller = RoleController(
        "g", orders, lambda: engines, FakeLease(4), get_prefill_rate, clock
    )
    orders.silent = {engine.host for engine in engines}
    run_ticks(controller, clock, SETTLE_SECONDS + 10 * RETRY_SECONDS)
    assert 1 <= orders.reads.count("e2") <= 11


# If the chosen engine is already changing by an earlier order and another one were
# ordered instead, one engine too many would change its role.
@pytest.mark.parametrize("outcome", [OrderOutcome.HOLDS, OrderOutcome.BUSY])
def test_engine_changing_by_another_order_is_not_replaced(
    outcome: OrderOutcome,
) -> None:
    engines = [make_instance(0, PREFILL), *map(make_instance, range(1, 4))]
    orders, clock = FakeOrders(outcome), Clock()
    controller = RoleController(
        "g", orders, lambda: engines, FakeLease(4), get_prefill_rate, clock
    )
    run_ticks(controller, clock, COUNT_CHANGE_SECONDS + RETRY_SECONDS + TICK_SECONDS)
    assert {host for host, *_ in orders.given} == {"e3"}


@pytest.mark.parametrize("outcome", [OrderOutcome.REFUSED, OrderOutcome.UNREACHED])
def test_engine_that_rejects_its_order_is_replaced(
    outcome: OrderOutcome,
) -> None:
    engines = [make_instance(0, PREFILL), *map(make_instance, range(1, 4))]
    orders, clock = FakeOrders(outcome), Clock()
    controller = RoleController(
        "g", orders, lambda: engines, FakeLease(4), get_prefill_rate, clock
    )
    run_ticks(controller, clock, SETTLE_SECONDS + 2 * TICK_SECONDS)
    assert [host for host, *_ in orders.given] == ["e3", "e2"]


# One engine has seen a higher fencing token than the lease's and refuses an order. If
# the holder stopped ordering but kept renewing the lease, no new token would ever be
# issued and the roles of all engines would stay wrong forever.
def test_token_refused_by_one_engine_is_replaced() -> None:
    async def run_controller() -> list[tuple]:
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
        controller = RoleController(
            "g", orders, lambda: engines, lease, get_prefill_rate, clock
        )
        for _ in range(
            round((COUNT_CHANGE_SECONDS + RETRY_SECONDS) / TICK_SECONDS) + 1
        ):
            while lease.fencing is None:
                await asyncio.sleep(0)
            clock.now += TICK_SECONDS
            await controller._set_roles()
        await lease.stop()
        return [(host, fencing) for host, _, _, fencing, _ in orders.given]

    assert run(run_controller()) == [("e3", 1), ("e2", 2)]


# The store is restored from an older copy without the lease's row, so another gateway
# may get the holder's token. The holder must stop immediately and continue only with a
# token of the new era, or two gateways order the same engine.
def test_no_order_is_given_between_a_restore_and_the_new_lease() -> None:
    async def run_controller() -> list[int]:
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
        controller = RoleController(
            "g", orders, lambda: [ENGINE], lease, get_prefill_rate, clock
        )
        lease.start()
        while lease.fencing is None:
            await asyncio.sleep(0)
        await controller._carry_out(ENGINE, CHANGE)
        table.rows.rows.clear()
        lease.enter_era(1)
        for _ in range(8):
            await controller._carry_out(ENGINE, CHANGE)
            assert len(orders.given) == 1
            clock.now += 1.0
            lease.contend(True)
            await asyncio.sleep(0)
        while lease.fencing is None:
            clock.now += 0.5
            lease.contend(True)
            await asyncio.sleep(0)
        await controller._carry_out(ENGINE, CHANGE)
        await lease.stop()
        return [fencing for _, _, _, fencing, _ in orders.given]

    assert run(run_controller()) == [1, (1 << ERA_SHIFT) + 1]


EARLY, LATE = 5_000, 4_000
"""Two consecutive starts; the clock was set back between them."""


# A restarted engine resets its order sequence. If it got the order for its earlier
# start, the sequence could match and the engine would take a role that nobody wants.
@pytest.mark.parametrize(
    ("known", "read", "reported", "is_given"),
    [
        (EARLY, EARLY, EARLY, True),
        (0, 0, 0, True),
        (EARLY, 0, EARLY, True),
        (EARLY, EARLY, LATE, False),
        (LATE, EARLY, EARLY, False),
        (LATE, EARLY, LATE, False),
    ],
)
def test_order_goes_only_to_the_start_that_was_read(
    known: int, read: int, reported: int, is_given: bool
) -> None:
    orders = FakeOrders(
        OrderOutcome.TAKEN, Ok(EngineReport(DECODE, 0, False, reported))
    )
    controller = RoleController(
        "gateway-1",
        orders,
        lambda: [ENGINE._replace(started_ms=known)],
        FakeLease(4),
        get_prefill_rate,
    )
    run(controller._carry_out(ENGINE._replace(started_ms=read), CHANGE))
    assert len(orders.given) == is_given
    assert (ENGINE.host in controller._pending) == is_given


# If the pending order of an earlier start counted for the new one, it would count for
# seconds with the ordered role, and no other engine would be moved.
@pytest.mark.parametrize("outcome", list(OrderOutcome))
def test_order_of_an_earlier_start_does_not_count_for_the_new_one(
    outcome: OrderOutcome,
) -> None:
    engines = [ENGINE._replace(started_ms=EARLY)]
    report = Ok(EngineReport(DECODE, 7, False, EARLY))
    orders = FakeOrders(outcome, report)
    controller = RoleController(
        "gateway-1", orders, lambda: engines, FakeLease(4), get_prefill_rate
    )

    def restart() -> None:
        engines[0] = ENGINE._replace(started_ms=LATE)
        controller.reset_engine(ENGINE.host)

    orders.while_ordered = restart
    run(controller._carry_out(engines[0], CHANGE))
    assert len(orders.given) == 1
    assert controller._pending == {}
    assert controller._skipped_until == {}


def test_pending_role_is_dropped_on_restart() -> None:
    controller = make_controller(FakeOrders(OrderOutcome.TAKEN), FakeLease(4))
    run(controller._carry_out(ENGINE, CHANGE))
    controller.reset_engine(ENGINE.host)
    assert controller._describe(ENGINE, 0.0).role == DECODE


# Gateways without the lease keep wanting changes that they cannot order. Logging them
# at each tick would write a line every half second at each gateway.
def test_wanted_changes_are_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        "radishtally.stages.role_controller.log_message",
        lambda kind, **_: lines.append(kind),
    )
    engines = [make_instance(0, PREFILL), *map(make_instance, range(1, 4))]
    clock = Clock()
    orders = FakeOrders(OrderOutcome.TAKEN)
    lease = FakeLease(None)
    controller = RoleController(
        "g", orders, lambda: engines, lease, get_prefill_rate, clock
    )
    run_ticks(controller, clock, SETTLE_SECONDS + 20 * TICK_SECONDS)
    assert lines == ["stage:wanted"]
    engines[1] = make_instance(1, PREFILL)
    run_ticks(controller, clock, 20 * TICK_SECONDS)
    assert lines == ["stage:wanted"] * 2
