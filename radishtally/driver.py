"""Driver for cores without I/O: deliver events, execute commands, set timers."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol


class Core(Protocol):
    """Define the interface of a core."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Process an event and return the resulting commands."""


class CoreDriver:
    """Run one core on the event loop; subclasses execute its commands."""

    def __init__(
        self, core: Core, tick: object, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._core = core
        self._tick = tick
        self._clock = clock
        self._timer: asyncio.TimerHandle | None = None
        self._calls: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Deliver the first tick."""
        self._handle(self._tick)

    def _handle(self, event: Any) -> None:
        for command in self._core.handle(event, self._clock()):
            self._execute(command)

    def _execute(self, command: Any) -> None:
        raise TypeError(f"unknown command {command!r}")

    def _schedule_tick(self, when: float) -> None:
        """Schedule the next tick, in place of any that was scheduled before."""
        self._cancel_timer()
        delay = max(0.0, when - self._clock())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._handle, self._tick)

    def _start_call(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a call in a task; it delivers its outcome as an event."""
        call = asyncio.create_task(work)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _cancel_all(self) -> None:
        """Cancel the timer and the calls in flight."""
        self._cancel_timer()
        calls = list(self._calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
