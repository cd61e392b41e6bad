"""Tests of a place's planner whose lease is gained and lost."""

import asyncio
import time

from radishtally.authority.plan import Plan
from radishtally.entry.planning import PlacePlanner, PlannerDependencies
from radishtally.outcome import Ok, Result
from radishtally.store.ids import WriteIds
from tests.common import MemoryTable, run

PLACE = "howrah"


class SlowPlans:
    """Answer each read of the plan when the test sets the result."""

    def __init__(self) -> None:
        self.reads: list[asyncio.Future] = []

    async def read_plan(self, place: str) -> Result[Plan | None, object]:
        self.reads.append(asyncio.get_running_loop().create_future())
        return Ok(await self.reads[-1])


class FakeLease:
    """Provide a fencing number."""

    fencing = 1


class FakeAudit:
    """Discard audit entries."""

    def record(self, *_: object) -> None:
        pass


async def run_ready_tasks() -> None:
    """Run the tasks that are ready."""
    for _ in range(5):
        await asyncio.sleep(0)


# Guards against a planner that stops changing roles for as long as it holds the lease.
# The lease is lost and gained again while the plan is being read, and the first read
# ends last. Its old fencing number would make each new plan count as not written.
def test_plan_read_under_a_lost_lease_is_ignored() -> None:
    async def check() -> None:
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
        await run_ready_tasks()
        planning._on_lease_lost("not renewed in time")
        lease.fencing = 2
        planning._on_lease_gained(2)
        await run_ready_tasks()
        first, second = plans.reads
        second.set_result(None)
        await run_ready_tasks()
        assert planning._planner.fencing == 2
        first.set_result(None)
        await run_ready_tasks()
        assert planning._planner.fencing == 2

    run(check())


# Guards against two planners at once: a machine is suspended past the end of its lease
# while the monotonic clock stands still, so only the boot clock shows the expiry.
def test_lease_expires_while_the_machine_is_suspended(monkeypatch) -> None:
    async def check() -> None:
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

    run(check())
