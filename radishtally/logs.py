"""Write logs as JSON lines by eliot, bounded and without waiting for the reader."""

import asyncio
import os
import select
import sys
import time
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

import eliot
import msgspec

MAX_BUFFER_BYTES: Final = 1024 * 1024
"""Lines that wait for the reader; what comes beyond them is left out and counted."""
FLUSH_SECONDS: Final = 1.0
"""Time between two looks for a reader that goes on; each costs one call of the system
if nothing waits."""
LINES_PER_SECOND: Final = 1_000.0
"""Lines of requests that are written in a lasting flood: ten times an entry's usual
load, and some percent of a core."""
BURST_LINES: Final = 4_000.0
"""Lines that may come at once before the rate binds."""
REFUSALS_PER_SECOND: Final = 200.0
"""Lines of refusals in a lasting flood: five times what one of the planned nodes is
asked in a second, 14,000 over 330."""
BURST_REFUSALS: Final = 1_000.0
STEP_KINDS: Final = (
    "request:step",
    "request:closed",
    "request:arrived",
    "upstream:answer_unframed",
)
"""Kinds that grow with the load."""
REFUSAL_KINDS: Final = (
    "request:refused",
    "store:value_unreadable",
    "upstream:unreadable",
)
"""Kinds that grow with what callers and other writers send wrongly too. They are
bounded apart: a flood of either leaves the other's lines. All other kinds are few and
are never left out."""
TASK_FIELDS: Final = frozenset({"task_uuid", "task_level"})
"""What the library adds to place a message within its task. A message that stands alone
has a task of its own, and the two say nothing: 29% of the bytes of a request's
lines, and the collector of the platform keeps so many bytes only."""
ALONE: Final = [1]
"""Level of a message that stands alone."""

Clock = Callable[[], float]
T = TypeVar("T")


class Allowance:
    """Allow lines at a lasting rate, and some at once."""

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._left = burst
        self._filled_at = clock()

    def take(self) -> bool:
        """Take one line's part; tell whether there was one."""
        now = self._clock()
        filled = self._left + (now - self._filled_at) * self._rate
        self._left = min(self._burst, filled)
        self._filled_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class LogWriter:
    """Write lines to a file descriptor without ever waiting for its reader.

    A reader that has stopped leaves the pipe full, and a blocking write would stop the
    loop: every request would wait for the log. Lines wait in a bounded buffer instead,
    and are counted when it is full; the count is written when there is room again. Both
    are looked at on a timer too: the next line may be long in coming.
    """

    def __init__(self, descriptor: int, clock: Clock = time.monotonic) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._left_out = 0
        steps = Allowance(LINES_PER_SECOND, BURST_LINES, clock)
        refusals = Allowance(REFUSALS_PER_SECOND, BURST_REFUSALS, clock)
        self._allowances = dict.fromkeys(STEP_KINDS, steps)
        self._allowances |= dict.fromkeys(REFUSAL_KINDS, refusals)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message of eliot's."""
        allowance = self._allowances.get(message.get("message_type"))
        if allowance is None or allowance.take():
            self._add(_encode(message))
        else:
            self._left_out += 1
        self._write_waiting()

    async def run_with_flushing(self, work: Coroutine[Any, Any, T]) -> T:
        """Do a process's work, and flush all the while."""
        flushing = asyncio.create_task(self._flush_for_good())
        try:
            return await work
        finally:
            flushing.cancel()
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now, and how much was left out."""
        self._write_waiting()
        self._say_left_out()
        self._write_waiting()

    async def _flush_for_good(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()

    def _write_waiting(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            # A pipe that is writable has room for this many bytes at least, so the
            # write does not wait though the descriptor is a blocking one.
            try:
                if not self._is_writable():
                    return
                written = os.write(self._descriptor, line[: select.PIPE_BUF])
            except OSError:
                # Nobody reads any more, and there is nowhere else to say so.
                self._left_out += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
            else:
                self._waiting.popleft()

    def _add(self, line: bytes) -> None:
        if self._waiting_bytes + len(line) > MAX_BUFFER_BYTES:
            self._left_out += 1
            return
        self._say_left_out()
        self._push(line)

    def _say_left_out(self) -> None:
        if not self._left_out or self._waiting_bytes >= MAX_BUFFER_BYTES:
            return
        said = {"message_type": "log:left_out", "lines": self._left_out}
        self._left_out = 0
        self._push(_encode(said))

    def _push(self, line: bytes) -> None:
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _is_writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)


def _encode(message: dict[str, Any]) -> bytes:
    if message.get("task_level") == ALONE:
        message = {k: v for k, v in message.items() if k not in TASK_FIELDS}
    return msgspec.json.encode(message, enc_hook=repr) + b"\n"


def start_logging(host: str) -> LogWriter:
    """Send eliot's messages to standard output, each with the host's name."""
    writer = LogWriter(sys.stdout.fileno())
    eliot.add_global_fields(host=host)
    eliot.add_destinations(writer)
    return writer
