"""Helpers that the tests of the platform's clients share."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from radishtally.outcome import Result
from tests.common import run

TIMEOUT: Final = 0.3
"""Timeout of calls that are to fail; others have time."""

DISTURBED: Final = (
    {"mode": "down"},
    {"mode": "lose_reply"},
    {"mode": "slow", "seconds": 60},
)
T = TypeVar("T")


def name_outcome(result: Result[Any, Any]) -> str:
    """Name the kind of an outcome."""
    return "Ok" if result.is_ok() else type(result.error).__name__


def use(build: Callable[[], Any], work: Callable[[Any], Awaitable[T]]) -> T:
    """Run work with a client and close it."""

    async def body() -> T:
        client = build()
        try:
            return await work(client)
        finally:
            await client.close()

    return run(body())
