"""Hold what every process of the system needs, whatever its role."""

import asyncio
import secrets
import signal
import time
import traceback
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

from eliot import log_message

from radishtally.audit.store import AuditLog
from radishtally.distribution.core import Keeper
from radishtally.links.hub import Callbacks, LinkHub
from radishtally.links.messages import (
    FilesAsk,
    FilesGive,
    Hello,
    Message,
    Ping,
    Pong,
)
from radishtally.metrics import make_metrics
from radishtally.platform.hostlist import HttpHostList
from radishtally.platform.objects import HttpObjects
from radishtally.platform.table import HttpTable
from radishtally.settings.config import Settings

EXIT_BROKEN: Final = 4
"""Exit code after a broken invariant."""
PACKAGE: Final = str(Path(__file__).parent)


class Process:
    """Set up and unload the parts that entries and agents share."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = secrets.token_hex(8)
        self.keeper = Keeper()
        self.table = HttpTable(settings.table.url, settings.table.name)
        self.objects = HttpObjects(settings.objects.url, settings.objects.bucket)
        self.host_list = HttpHostList(settings.host_list.url)
        self.audit = AuditLog(self.table)
        self.metrics = make_metrics(settings.statsd, settings.host)
        self.on_configuration: Callable[[], None] = lambda: None
        self._tasks: set[asyncio.Task] = set()
        self.stopping = asyncio.Event()
        self.broken = False

    def make_hub(self, callbacks: Callbacks) -> LinkHub:
        """Make the hub; it listens once it is started."""
        settings = self.settings
        hello = Hello(settings.host, settings.place, settings.role, self.incarnation, 0)
        guarded = Callbacks(*map(self._guard_call, callbacks))
        self.hub = LinkHub(hello, settings.peer_key, guarded)
        return self.hub

    def watch_loop(self) -> None:
        """Turn SIGTERM and SIGINT into a planned stop; let no error go unseen."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._take_loop_error)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine until it ends or the process unloads."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.break_off(task.exception())

    def break_off(self, error: BaseException) -> None:
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
            self.break_off(error)
            raise

    def _guard_call(self, callback: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any) -> Any:
            with self.guard():
                return callback(*args)

        return call

    def _take_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        error = context.get("exception")
        if error is not None and _is_ours(error):
            self.break_off(error)
            return
        log_message("loop:error", error=repr(error), text=str(context.get("message")))

    async def unload(self) -> None:
        """Close what was set up; end with an error code if an invariant broke."""
        for task in list(self._tasks):
            task.cancel()
        await self.audit.stop()
        await self.hub.stop()
        for client in (self.table, self.objects, self.host_list):
            await client.close()
        if self.broken:
            raise SystemExit(EXIT_BROKEN)

    def handle_shared(self, host: str, message: Message) -> bool:
        """Take a message that means the same in every role; tell whether it was one."""
        if isinstance(message, Hello | Ping | Pong):
            self.note_peer(host, message.revision)
            return not isinstance(message, Ping)
        if isinstance(message, FilesAsk):
            given = self.keeper.answer(message)
            if given is not None:
                self.hub.send(host, given)
            return True
        if isinstance(message, FilesGive):
            self.take_files(message, host)
            return True
        return False

    def note_peer(self, host: str, revision: int) -> None:
        """Ask a peer that has a newer configuration for it."""
        ask = self.keeper.note_peer(host, revision, time.monotonic())
        if ask is not None:
            self.hub.send(host, ask)

    def take_files(self, given: FilesGive, source: str) -> None:
        """Bring a configuration into force and tell every peer at once."""
        outcome = self.keeper.take(given)
        if outcome.is_error():
            log_message(
                "configuration:refused", source=source, fault=str(outcome.error)
            )
            return
        if not outcome.ok:
            return
        log_message(
            "configuration:in_force", revision=self.keeper.revision, source=source
        )
        self.hub.announce(self.keeper.revision)
        self.on_configuration()


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
