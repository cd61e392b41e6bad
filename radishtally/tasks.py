"""Hold the tasks that carry out attempts at upstreams."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from eliot import log_message

Work = Coroutine[Any, Any, None]


class AttemptTasks:
    """Run each attempt as a task, and what is left to do after attempts."""

    def __init__(self) -> None:
        self._running: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._kept: set[asyncio.Task[None]] = set()

    def start(self, request: str, attempt: int, work: Work) -> None:
        """Begin an attempt."""
        name = request, attempt
        task = asyncio.create_task(work)
        self._running[name] = task
        task.add_done_callback(lambda ended: self._forget(name, ended))

    def spawn_detached(self, work: Work) -> None:
        """Do what belongs to no running attempt."""
        task = asyncio.create_task(work)
        self._kept.add(task)
        task.add_done_callback(self._discard)

    def pop(self, request: str, attempt: int) -> asyncio.Task[None] | None:
        """Take out an attempt that is to end in another way than by itself."""
        return self._running.pop((request, attempt), None)

    def cancel(self, request: str, attempt: int) -> None:
        """End an attempt if it runs."""
        task = self.pop(request, attempt)
        if task is not None:
            task.cancel()

    def cancel_all(self) -> list[asyncio.Task[None]]:
        """Cancel all, and give them to be waited for."""
        tasks = [*self._running.values(), *self._kept]
        for task in tasks:
            task.cancel()
        return tasks

    def _discard(self, ended: asyncio.Task[None]) -> None:
        self._kept.discard(ended)
        _log_fault(ended)

    def _forget(self, name: tuple[str, int], ended: asyncio.Task[None]) -> None:
        _log_fault(ended, request=name[0], attempt=name[1])
        # A task that was taken out ends later; another one may have its name by then,
        # and could not be cancelled any more.
        if self._running.get(name) is ended:
            del self._running[name]


def _log_fault(ended: asyncio.Task[None], **name: Any) -> None:
    """Log an error that no attempt should end with: its request would just hang."""
    if ended.cancelled() or ended.exception() is None:
        return
    log_message("attempt:fault", error=type(ended.exception()).__name__, **name)
