"""Run a process's tasks, and end it when an invariant breaks."""

import asyncio
import signal
import time
import traceback
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

from eliot import log_message

from radishtally.stalls import Stall, watch_stalls

EXIT_BROKEN: Final = 4
"""Exit code after a broken invariant."""
PACKAGE: Final = str(Path(__file__).parent)


def read_boot_clock() -> float:
    """Give seconds on a steady clock that goes on while the machine is suspended.

    The usual steady clock stands still meanwhile: a holder that was suspended past the
    end of its lease would wake in the belief that it still holds it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Runtime:
    """Hold a process's tasks and its way to end."""

    def __init__(self) -> None:
        self.stopping = asyncio.Event()
        self.broken = False
        self.on_stall: Callable[[Stall], None] = lambda _: None
        self.describe_state: Callable[[], dict[str, Any]] = dict
        """Tell what this process believes that a stall may have made untrue."""
        self._tasks: set[asyncio.Task] = set()

    def install_handlers(self) -> None:
        """Turn SIGTERM and SIGINT into a planned stop; let no error go unseen."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._take_loop_error)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        self.spawn(watch_stalls(self._take_stall, read_boot_clock))

    def on_hangup(self, callback: Callable[[], None]) -> None:
        """Call back when the settings are to be read again."""
        loop = asyncio.get_running_loop()
        call = self.guard_call(callback)
        # A handler of the loop is set to the signal's default as it is removed, and a
        # hangup at that moment, on whatever thread, ends the process.
        signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(call))

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine until it ends or the process unloads."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def _take_stall(self, stall: Stall) -> None:
        log_message("process:stalled", **stall._asdict(), **self.describe_state())
        self.on_stall(stall)

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.abort(task.exception())

    def abort(self, error: BaseException) -> None:
        """End the process after a broken invariant.

        Outcomes are values, so an exception that nobody takes shows a state that was
        held to be impossible. Going on could answer wrongly; the process ends with an
        error code, and its peers carry on.
        """
        trace = "".join(traceback.format_exception(error))
        log_message("process:broken", error=repr(error), traceback=trace)
        self.broken = True
        self.stopping.set()

    @contextmanager
    def guard(self) -> Iterator[None]:
        """End the process if an exception comes out, whoever would swallow it."""
        try:
            yield
        except Exception as error:
            self.abort(error)
            raise

    def guard_call(self, callback: Callable[..., Any]) -> Callable[..., Any]:
        """Wrap a callback so that an exception out of it ends the process."""

        def call(*args: Any) -> Any:
            with self.guard():
                return callback(*args)

        return call

    def _take_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        error = context.get("exception")
        if error is not None and _is_ours(error):
            self.abort(error)
            return
        log_message("loop:error", error=repr(error), text=str(context.get("message")))

    def cancel_tasks(self) -> None:
        """Cancel all that was spawned and still runs."""
        for task in list(self._tasks):
            task.cancel()

    def exit_if_broken(self) -> None:
        """End with an error code if an invariant broke."""
        if self.broken:
            raise SystemExit(EXIT_BROKEN)


def _is_ours(error: BaseException) -> bool:
    """Tell whether an exception came through code of the system.

    Libraries leave errors of their broken connections to the loop as well.
    """
    frames = traceback.extract_tb(error.__traceback__)
    return any(frame.filename.startswith(PACKAGE) for frame in frames)


class Waker:
    """Call back at the earliest time that was asked for."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._when = float("inf")

    def wake_at(self, when: float) -> None:
        """Ask for a call at a monotonic time, unless an earlier one is set."""
        if when >= self._when or when == float("inf"):
            return
        if self._handle is not None:
            self._handle.cancel()
        self._when = when
        delay = max(0.0, when - time.monotonic())
        self._handle = asyncio.get_running_loop().call_later(delay, self._fire)

    def stop(self) -> None:
        """Call back no more."""
        if self._handle is not None:
            self._handle.cancel()

    def _fire(self) -> None:
        self._handle = None
        self._when = float("inf")
        self._callback()
