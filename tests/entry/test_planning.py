"""Tests of planning for a place while its lease comes and goes."""

import asyncio
import time

from radishtally.authority.plan import Plan
from radishtally.entry.planning import PlacePlanner, PlannerDependencies
from radishtally.outcome import Ok, Result
from radishtally.store.ids import WriteIds
from tests.common import MemoryTable, run

PLACE = "howrah"


class SlowPlans:
    """Answer each question for the plan when told to."""

    def __init__(self) -> None:
        self.asked: list[asyncio.Future] = []

    async def read_plan(self, place: str) -> Result[Plan | None, object]:
        self.asked.append(asyncio.get_running_loop().create_future())
        return Ok(await self.asked[-1])


class FakeLease:
    """Be held under a number."""

    fencing = 1


class FakeAudit:
    """Take entries."""

    def record(self, *_: object) -> None:
        pass


async def turn() -> None:
    """Let what is ready run."""
    for _ in range(5):
        await asyncio.sleep(0)


# No engine changes its role any more, for as long as the lease is held: it was lost and
# won again while the plan was being read, and the first answer came last. Planned under
# the number of then, a plan counts as not written, and none is made beside it.
def test_answer_for_a_lease_that_was_lost_is_not_taken() -> None:
    async def play() -> None:
        plans = SlowPlans()
        planning = PlacePlanner(
            PLACE,
            PlannerDependencies(
                "e",
                WriteIds("e-1"),
                None,
                plans,
                FakeAudit(),
                None,
                asyncio.create_task,
            ),
        )
        planning._lease = lease = FakeLease()
        planning._on_lease_gained(1)
        await turn()
        planning._on_lease_lost("not renewed in time")
        lease.fencing = 2
        planning._on_lease_gained(2)
        await turn()
        first, second = plans.asked
        second.set_result(None)
        await turn()
        assert planning._planner.fencing == 2
        first.set_result(None)
        await turn()
        assert planning._planner.fencing == 2

    run(play())


# Two planners order roles: the machine of one was suspended past the end of its lease,
# and the usual steady clock stood still meanwhile.
def test_lease_does_not_outlast_a_suspended_machine(monkeypatch) -> None:
    async def play() -> None:
        now = 100.0
        monkeypatch.setattr(time, "clock_gettime", lambda _: now)
        plans = SlowPlans()
        planning = PlacePlanner(
            PLACE,
            PlannerDependencies(
                "e",
                WriteIds("e-1"),
                MemoryTable(),
                plans,
                FakeAudit(),
                None,
                asyncio.create_task,
            ),
        )
        planning.start()
        while not planning.holds_lease:
            await asyncio.sleep(0)
        now += 3600.0
        assert not planning.holds_lease
        await planning.stop()

    run(play())
