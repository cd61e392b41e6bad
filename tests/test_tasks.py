"""Tests of running attempts as tasks."""

import asyncio

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
        second = tasks.take("r", 1)
        assert second is not None
        second.cancel()

    run(play())


def test_all_that_runs_is_cancelled() -> None:
    async def play() -> None:
        tasks = AttemptTasks()
        tasks.start("r", 1, wait_for_ever())
        tasks.keep(wait_for_ever())
        ended = tasks.cancel_all()
        await asyncio.gather(*ended, return_exceptions=True)
        assert len(ended) == 2
        assert tasks.cancel_all() == []

    run(play())
