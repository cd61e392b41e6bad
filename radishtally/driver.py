"""Driver for cores that guard exclusiveness: events, commands and timers.

These cores decide whether this process may act alone: leases, claims, orders. After an
unexpected error that isn't certain any longer.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn, Protocol

from radishtally.containment import BrokenInvariant


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
        self.is_broken = False
        """Whether an unexpected error has left the core in an unknown state."""
        self._timer: asyncio.TimerHandle | None = None
        self._calls: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Deliver the first tick."""
        self._handle(self._tick)

    def _handle(self, event: Any) -> None:
        if self.is_broken:
            return
        try:
            for command in self._core.handle(event, self._clock()):
                self._execute(command)
        except Exception as error:
            self._break(error)

    def _break(self, error: BaseException) -> NoReturn:
        """Handle no further event, and have the process end."""
        self.is_broken = True
        self._cancel_timer()
        raise BrokenInvariant(f"{type(self).__name__}: {error!r}") from error

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
        call.add_done_callback(self._on_call_done)

    def _on_call_done(self, call: asyncio.Task[None]) -> None:
        self._calls.discard(call)
        if call.cancelled() or call.exception() is None:
            return
        if self.is_broken:
            raise call.exception()
        # The core would wait for the call's outcome for ever.
        self._break(call.exception())

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
