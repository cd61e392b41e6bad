"""Test that a process detects that it was paused."""

import asyncio

import pytest

from radishtally.runtime import Runtime
from radishtally.stalls import STALL_SECONDS, TICK_SECONDS, Stall, watch_stalls
from tests.common import run


class Clock:
    """Simulate a clock on which the next sleep takes longer, once."""

    def __init__(self, late: float) -> None:
        self.late = late
        self.now = 0.0

    def read(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds + self.late
        self.late = 0.0
        await REAL_SLEEP(0)


REAL_SLEEP = asyncio.sleep


# Guards against a lost lease without an explanation: nothing was logged about a pause
# of the planner that held it.
@pytest.mark.parametrize(
    ("late", "reported"),
    [(14.0, [Stall(14.0, 0.25)]), (STALL_SECONDS - 0.01, []), (0.0, [])],
)
def test_stall_is_reported_once(
    monkeypatch, late: float, reported: list[Stall]
) -> None:
    async def watch() -> list[Stall]:
        stalls: list[Stall] = []
        clock = Clock(late)
        used = iter([1.0, 1.25, *[2.0] * 100])
        monkeypatch.setattr(asyncio, "sleep", clock.sleep)
        task = asyncio.create_task(
            watch_stalls(stalls.append, clock.read, used.__next__)
        )
        while clock.now < late + 10 * TICK_SECONDS:
            await REAL_SLEEP(0)
        task.cancel()
        return stalls

    assert run(watch()) == reported


def test_stall_is_logged_with_the_process_state(monkeypatch) -> None:
    lines: list[dict] = []
    monkeypatch.setattr(
        "radishtally.runtime.log_message",
        lambda kind, **fields: lines.append({"kind": kind, **fields}),
    )
    counted: list[Stall] = []
    runtime = Runtime()
    runtime.on_stall = counted.append
    runtime.describe_state = lambda: {"lease": {"holds_lease": False}}
    runtime._report_stall(Stall(14.0, 0.0))
    assert counted == [Stall(14.0, 0.0)]
    assert lines == [
        {
            "kind": "process:stalled",
            "seconds": 14.0,
            "processor_seconds": 0.0,
            "lease": {"holds_lease": False},
        }
    ]
