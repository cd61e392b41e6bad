"""Wait, for a bounded time, for what a process needs before it can serve."""

import asyncio
import errno
import socket
import sys
import time
from collections.abc import Callable
from typing import Final, TypeVar

from eliot import log_message

from radishtally.outcome import Fault, Result

START_SECONDS: Final = 10.0
"""Longest wait for settings or an address. The process then exits with an error, which
its supervisor reports."""
RETRY_SECONDS: Final = 0.1
MAX_RETRY_SECONDS: Final = 2.0
LISTEN_BACKLOG: Final = 1_024
"""Length of the accept queue. Connection attempts beyond it are retried by the caller's
kernel only after seconds."""
PASSING_ERRORS: Final = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
"""Errors that end by themselves: an earlier process still holds the address, or the
network is not set up yet."""

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


async def open_listener(
    address: str, wait_seconds: float = START_SECONDS
) -> socket.socket:
    """Listen on an address, once no other process holds it; raise OSError if late."""
    ip, port = address.rsplit(":", 1)
    started_at, pause, is_reported = time.monotonic(), RETRY_SECONDS, False
    while True:
        try:
            listener = socket.create_server((ip, int(port)), backlog=LISTEN_BACKLOG)
        except OSError as error:
            waited = time.monotonic() - started_at
            if error.errno not in PASSING_ERRORS or waited >= wait_seconds:
                raise
            if not is_reported:
                is_reported = True
                text = error.strerror
                log_message("listener:unavailable", address=address, error=text)
            await asyncio.sleep(pause)
            if waited > START_SECONDS:
                pause = MAX_RETRY_SECONDS
            continue
        if is_reported:
            log_message("listener:available", address=address, waited=round(waited, 3))
        listener.setblocking(False)
        return listener
