"""Drive a pure core: bring it events, carry out its commands, wake it in time."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol


class Core(Protocol):
    """Be what a driver needs of a core."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take one event and give the commands that follow."""


class CoreDriver:
    """Run one core on the loop; subclasses carry out its commands."""

    def __init__(
        self, core: Core, tick: object, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._core = core
        self._tick = tick
        self._clock = clock
        self._timer: asyncio.TimerHandle | None = None
        self._calls: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begin."""
        self._handle(self._tick)

    def _handle(self, event: Any) -> None:
        for command in self._core.handle(event, self._clock()):
            self._execute(command)

    def _execute(self, command: Any) -> None:
        raise TypeError(f"unknown command {command!r}")

    def _schedule_tick(self, when: float) -> None:
        """Tick at a time, in place of any time that was asked for before."""
        self._cancel_timer()
        delay = max(0.0, when - self._clock())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._handle, self._tick)

    def _start_call(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a call whose outcome comes back as an event."""
        call = asyncio.create_task(work)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _cancel_all(self) -> None:
        """Drop the calls that are under way and wake no more."""
        self._cancel_timer()
        calls = list(self._calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
