"""Wait, for a bounded time, for what a process needs before it can serve."""

import asyncio
import sys
import time
from collections.abc import Callable
from typing import Final, TypeVar

from radishtally.outcome import Fault, Result

START_SECONDS: Final = 10.0
"""Longest wait for settings. The process then exits with an error, which
its supervisor reports."""
RETRY_SECONDS: Final = 0.1

T = TypeVar("T")


async def wait_for_settings(
    read: Callable[[], Result[T, Fault]], wait_seconds: float = START_SECONDS
) -> Result[T, Fault]:
    """Read settings until they are valid; they may still be being written."""
    until = time.monotonic() + wait_seconds
    reported = None
    while True:
        outcome = read()
        if outcome.is_ok() or time.monotonic() >= until:
            return outcome
        if outcome.error != reported:
            reported = outcome.error
            # Without settings there is no log yet.
            print(f"radishtallyd: waiting for settings: {reported}", file=sys.stderr)
        await asyncio.sleep(RETRY_SECONDS)
