"""Runtime of a process: tasks, signals, contained errors and broken invariants."""

import asyncio
import signal
import time
import traceback
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Final

from eliot import log_message

from radishtally.containment import BrokenInvariant, contain_call, report_error
from radishtally.stalls import Stall, watch_stalls

EXIT_BROKEN: Final = 4
"""Exit code after a broken invariant."""
PACKAGE: Final = str(Path(__file__).parent)
MIN_RESTART_SECONDS: Final = 0.1
MAX_RESTART_SECONDS: Final = 5.0


def read_boot_clock() -> float:
    """Return seconds of a monotonic clock that includes the time of a suspend.

    The usual monotonic clock stops during a suspend: a holder that is suspended beyond
    the end of its lease would resume as if it still held the lease.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Runtime:
    """Run a process's tasks, and stop the process on a signal or a broken invariant."""

    def __init__(self) -> None:
        self.stopping = asyncio.Event()
        self.broken = False
        self.contained_errors = 0
        self.on_contained: Callable[[str], None] = lambda scope: None
        """Called with the scope of each unexpected error that was contained."""
        self.on_stall: Callable[[Stall], None] = lambda _: None
        self.describe_state: Callable[[], dict[str, Any]] = dict
        """Returns state that may be stale after a stall, to be logged with it."""
        self._tasks: set[asyncio.Task] = set()

    def install_handlers(self) -> None:
        """Handle SIGTERM and SIGINT as a graceful stop, and unhandled loop errors.

        Also start to watch the event loop for stalls.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._handle_loop_error)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        self.keep_running(
            "stalls", lambda: watch_stalls(self._report_stall, read_boot_clock)
        )

    def on_hangup(self, callback: Callable[[], None]) -> None:
        """Call back on SIGHUP, which asks for the settings to be reloaded."""
        loop = asyncio.get_running_loop()
        call = contain_call("signal", callback)
        # Removing a handler of the loop restores the signal's default action, and a
        # SIGHUP at that moment, on any thread, would end the process.
        signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(call))

    def keep_running(
        self, name: str, run: Callable[[], Coroutine[Any, Any, Any]]
    ) -> asyncio.Task:
        """Run an endless task, and again after a pause if it raises an error."""
        return self.spawn(_run_with_restarts(name, run))

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine in a task that is cancelled when the process shuts down."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def run_unless_stopping(self, coroutine: Coroutine[Any, Any, Any]) -> bool:
        """Run a coroutine to its end; return whether no stop came before."""
        work = asyncio.create_task(coroutine)
        stop = asyncio.create_task(self.stopping.wait())
        await asyncio.wait([work, stop], return_when=asyncio.FIRST_COMPLETED)
        stop.cancel()
        if not work.done():
            work.cancel()
            return False
        work.result()
        return True

    def _report_stall(self, stall: Stall) -> None:
        log_message("process:stalled", **stall._asdict(), **self.describe_state())
        self.on_stall(stall)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._handle_error(task.exception(), "task", {})

    def abort(self, error: BaseException) -> None:
        """Stop the process after a broken invariant.

        It exits with an error code once its requests have their answers, and its peers
        take over.
        """
        trace = "".join(traceback.format_exception(error))
        log_message("process:broken", error=repr(error), traceback=trace)
        self.broken = True
        self.stopping.set()

    def _handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        error = context.get("exception")
        if error is not None and ("scope" in context or _is_from_package(error)):
            scope, names = context.get("scope", "callback"), context.get("names", {})
            self._handle_error(error, scope, names)
            return
        log_message("loop:error", error=repr(error), text=str(context.get("message")))

    def _handle_error(
        self, error: BaseException, scope: str, names: dict[str, Any]
    ) -> None:
        """Log and count an unexpected error; end the process if its kind asks for it.

        Other requests, hosts and links are served on: ending them all would cost more
        callers than any state that the error may have left behind.
        """
        if isinstance(error, BrokenInvariant):
            self.abort(error)
            return
        trace = "".join(traceback.format_exception(error))
        log_message(
            "error:contained", scope=scope, error=repr(error), traceback=trace, **names
        )
        self.contained_errors += 1
        self.on_contained(scope)

    def cancel_tasks(self) -> None:
        """Cancel all running tasks."""
        for task in list(self._tasks):
            task.cancel()

    def exit_if_broken(self) -> None:
        """Exit with an error code if an invariant was broken."""
        if self.broken:
            raise SystemExit(EXIT_BROKEN)


async def _run_with_restarts(
    name: str, run: Callable[[], Coroutine[Any, Any, Any]]
) -> None:
    pause = MIN_RESTART_SECONDS
    while True:
        started_at = time.monotonic()
        try:
            await run()
            return
        except BrokenInvariant:
            raise
        except Exception as error:
            report_error(error, "task", task=name)
        if time.monotonic() > started_at + MAX_RESTART_SECONDS:
            pause = MIN_RESTART_SECONDS
        await asyncio.sleep(pause)
        pause = min(2 * pause, MAX_RESTART_SECONDS)


def _is_from_package(error: BaseException) -> bool:
    """Return whether an exception was raised in or through code of this package.

    Libraries report errors of their broken connections to the loop as well.
    """
    frames = traceback.extract_tb(error.__traceback__)
    return any(frame.filename.startswith(PACKAGE) for frame in frames)


class Waker:
    """Call back at the earliest of the requested times."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._when = float("inf")

    def wake_at(self, when: float) -> None:
        """Request a call at a monotonic time, unless an earlier one is scheduled."""
        if when >= self._when or when == float("inf"):
            return
        if self._handle is not None:
            self._handle.cancel()
        self._when = when
        delay = max(0.0, when - time.monotonic())
        self._handle = asyncio.get_running_loop().call_later(delay, self._fire)

    def stop(self) -> None:
        """Cancel the scheduled call."""
        if self._handle is not None:
            self._handle.cancel()

    def _fire(self) -> None:
        self._handle = None
        self._when = float("inf")
        self._callback()
