"""Tests of running attempts as tasks."""

import asyncio

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
def test_unexpected_error_of_an_attempt_is_reported() -> None:
    reports: list[tuple[str, str, dict[str, object]]] = []
    failed: list[tuple[str, int]] = []

    async def fail() -> None:
        raise KeyError("unexpected")

    async def check() -> None:
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: reports.append(
                (
                    type(context["exception"]).__name__,
                    context["scope"],
                    context["names"],
                )
            )
        )
        tasks = AttemptTasks(lambda *name: failed.append(name))
        tasks.start("r", 1, fail())
        tasks.spawn_detached(fail())
        for _ in range(3):
            await asyncio.sleep(0)

    run(check())
    assert reports == [
        ("KeyError", "request", {"request": "r", "attempt": 1}),
        ("KeyError", "request", {}),
    ]
    assert failed == [("r", 1)]
