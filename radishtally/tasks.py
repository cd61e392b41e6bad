"""Tasks that run attempts at upstreams."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from radishtally.containment import report_error

Work = Coroutine[Any, Any, None]


class AttemptTasks:
    """Run each attempt, and each follow-up of an attempt, as a task."""

    def __init__(
        self, on_fault: Callable[[str, int], None] = lambda request, attempt: None
    ) -> None:
        self._on_fault = on_fault
        """Called with an attempt whose task has ended with an unexpected error."""
        self._running: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._detached: set[asyncio.Task[None]] = set()

    def start(self, request: str, attempt: int, work: Work) -> None:
        """Start the task of an attempt."""
        name = request, attempt
        task = asyncio.create_task(work)
        self._running[name] = task
        task.add_done_callback(lambda ended: self._on_attempt_done(name, ended))

    def spawn_detached(self, work: Work) -> None:
        """Run work that belongs to no running attempt."""
        task = asyncio.create_task(work)
        self._detached.add(task)
        task.add_done_callback(self._on_detached_done)

    def pop(self, request: str, attempt: int) -> asyncio.Task[None] | None:
        """Remove an attempt's task, and return it for the caller to end."""
        return self._running.pop((request, attempt), None)

    def cancel(self, request: str, attempt: int) -> None:
        """Cancel an attempt if it is running."""
        task = self.pop(request, attempt)
        if task is not None:
            task.cancel()

    def cancel_all(self) -> list[asyncio.Task[None]]:
        """Cancel all tasks, and return them to be awaited."""
        tasks = [*self._running.values(), *self._detached]
        for task in tasks:
            task.cancel()
        return tasks

    def _on_detached_done(self, ended: asyncio.Task[None]) -> None:
        self._detached.discard(ended)
        _report_error(ended)

    def _on_attempt_done(
        self, name: tuple[str, int], ended: asyncio.Task[None]
    ) -> None:
        if _report_error(ended, request=name[0], attempt=name[1]):
            self._on_fault(*name)
        # A removed task ends later, when another task may be registered under the same
        # name. Deleting that entry would make the other task impossible to cancel.
        if self._running.get(name) is ended:
            del self._running[name]


def _report_error(ended: asyncio.Task[None], **name: Any) -> bool:
    """Report an unexpected error of a task; return whether there was one."""
    if ended.cancelled() or ended.exception() is None:
        return False
    report_error(ended.exception(), "request", **name)
    return True
