"""Shared helpers for tests of the platform's clients."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from radishtally.outcome import Result
from tests.common import run

TIMEOUT: Final = 0.3
"""Timeout of calls that are expected to fail; others use a longer one."""

SERVICE_FAULTS: Final = (
    {"mode": "down"},
    {"mode": "lose_reply"},
    {"mode": "slow", "seconds": 60},
)
T = TypeVar("T")


def name_outcome(result: Result[Any, Any]) -> str:
    """Return `Ok` or the type name of the error."""
    return "Ok" if result.is_ok() else type(result.error).__name__


def run_with_client(
    build: Callable[[], Any], run_calls: Callable[[Any], Awaitable[T]]
) -> T:
    """Run work with a new client and close the client."""

    async def body() -> T:
        client = build()
        try:
            return await run_calls(client)
        finally:
            await client.close()

    return run(body())
