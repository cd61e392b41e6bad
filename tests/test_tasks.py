"""Tests of running attempts as tasks."""

import asyncio

import pytest

from radishtally import tasks as tasks_module
from radishtally.tasks import AttemptTasks
from tests.common import run


async def wait_forever() -> None:
    await asyncio.Event().wait()


# Guards against an upstream that continues work for a caller that has left. The attempt
# was restarted under the same name, and the end of the first task unregistered the
# second one.
def test_restarted_attempt_can_be_cancelled() -> None:
    async def check() -> None:
        tasks = AttemptTasks()
        tasks.start("r", 1, wait_forever())
        tasks.cancel("r", 1)
        tasks.start("r", 1, wait_forever())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        second = tasks.pop("r", 1)
        assert second is not None
        second.cancel()

    run(check())


def test_all_running_tasks_are_cancelled() -> None:
    async def check() -> None:
        tasks = AttemptTasks()
        tasks.start("r", 1, wait_forever())
        tasks.spawn_detached(wait_forever())
        ended = tasks.cancel_all()
        await asyncio.gather(*ended, return_exceptions=True)
        assert len(ended) == 2
        assert tasks.cancel_all() == []

    run(check())


# Guards against a caller that waits until its deadline without a log line about why: an
# attempt failed with an unexpected error that only its task recorded.
def test_unexpected_error_of_an_attempt_is_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        tasks_module, "log_message", lambda kind, **more: lines.append((kind, more))
    )

    async def fail() -> None:
        raise KeyError("unexpected")

    async def check() -> None:
        tasks = AttemptTasks()
        tasks.start("r", 1, fail())
        tasks.spawn_detached(fail())
        for _ in range(3):
            await asyncio.sleep(0)

    run(check())
    assert lines == [
        ("attempt:fault", {"error": "KeyError", "request": "r", "attempt": 1}),
        ("attempt:fault", {"error": "KeyError"}),
    ]
