"""Tests of running attempts as tasks."""

import asyncio

import pytest

from radishtally import tasks as tasks_module
from radishtally.tasks import AttemptTasks
from tests.common import run


async def wait_for_ever() -> None:
    await asyncio.Event().wait()


# An upstream works on for a caller that has left: its attempt was begun again under the
# same name, and the end of the first one took the second off the list.
def test_attempt_that_began_again_can_be_cancelled() -> None:
    async def play() -> None:
        tasks = AttemptTasks()
        tasks.start("r", 1, wait_for_ever())
        tasks.cancel("r", 1)
        tasks.start("r", 1, wait_for_ever())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        second = tasks.pop("r", 1)
        assert second is not None
        second.cancel()

    run(play())


def test_all_that_runs_is_cancelled() -> None:
    async def play() -> None:
        tasks = AttemptTasks()
        tasks.start("r", 1, wait_for_ever())
        tasks.spawn_detached(wait_for_ever())
        ended = tasks.cancel_all()
        await asyncio.gather(*ended, return_exceptions=True)
        assert len(ended) == 2
        assert tasks.cancel_all() == []

    run(play())


# A caller waits until its deadline and no line says why: an attempt ended with an error
# that nothing expects, and only the task knew.
def test_unexpected_end_of_an_attempt_is_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        tasks_module, "log_message", lambda kind, **more: lines.append((kind, more))
    )

    async def fail() -> None:
        raise KeyError("unexpected")

    async def play() -> None:
        tasks = AttemptTasks()
        tasks.start("r", 1, fail())
        tasks.spawn_detached(fail())
        for _ in range(3):
            await asyncio.sleep(0)

    run(play())
    assert lines == [
        ("attempt:fault", {"error": "KeyError", "request": "r", "attempt": 1}),
        ("attempt:fault", {"error": "KeyError"}),
    ]
