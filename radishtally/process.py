"""Hold what every process of the system needs, whatever its role."""

import asyncio
import secrets
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

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

    def make_hub(self, callbacks: Callbacks) -> LinkHub:
        """Make the hub; it listens once it is started."""
        settings = self.settings
        hello = Hello(settings.host, settings.place, settings.role, self.incarnation, 0)
        self.hub = LinkHub(hello, settings.peer_key, callbacks)
        return self.hub

    def catch_signals(self) -> None:
        """Turn SIGTERM and SIGINT into a planned stop."""
        loop = asyncio.get_running_loop()
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
        # Outcomes are values: an exception here is a broken invariant. Going on could
        # answer wrongly; the process ends and its peers carry on.
        log_message("process:broken", error=repr(task.exception()))
        task.get_loop().call_exception_handler(
            {"message": "broken invariant", "exception": task.exception()}
        )
        self.stopping.set()

    async def unload(self) -> None:
        """Close what was set up."""
        for task in list(self._tasks):
            task.cancel()
        await self.audit.stop()
        await self.hub.stop()
        for client in (self.table, self.objects, self.host_list):
            await client.close()

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
        ask = self.keeper.note_peer(host, revision)
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
