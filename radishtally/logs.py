"""Logging of eliot messages as JSON lines, rate-limited and without blocking."""

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
"""Size of the buffer for lines that the reader has not taken; further lines are dropped
and counted."""
FLUSH_SECONDS: Final = 1.0
"""Interval at which pending lines are flushed. A flush costs one system call if the
reader takes nothing."""
LINES_PER_SECOND: Final = 1_000.0
"""Sustained rate of lines about requests: ten times an entry's usual load, at the cost
of some percent of a core."""
BURST_LINES: Final = 4_000.0
"""Burst of lines about requests beyond the sustained rate."""
REFUSALS_PER_SECOND: Final = 200.0
"""Sustained rate of lines about refusals: five times the requests per second of one of
the planned nodes, which are 14,000 over 330."""
BURST_REFUSALS: Final = 1_000.0
STEP_KINDS: Final = (
    "request:step",
    "request:closed",
    "request:arrived",
    "service:answer_unframed",
    "upstream:answer_unframed",
)
"""Message kinds whose number grows with the load."""
REFUSAL_KINDS: Final = (
    "request:refused",
    "error:contained",
    "store:value_unreadable",
    "upstream:unreadable",
)
"""Message kinds whose number also grows with invalid input of callers and other
writers. They have a limit of their own, so that a flood of either group does not
suppress the other. All other kinds are rare and are never dropped by rate."""
TASK_FIELDS: Final = frozenset({"task_uuid", "task_level"})
"""Fields that the library adds to place a message within its task. A message that is
not part of a larger task gets a task of its own, so the fields have no use there. They
make up 29% of the bytes of a request's lines, and the platform's log collector keeps a
limited number of bytes."""
TOP_LEVEL: Final = [1]
"""Level of a message that is the only one of its task."""

Clock = Callable[[], float]
T = TypeVar("T")


class TokenBucket:
    """Limit lines to a sustained rate with bursts."""

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._filled_at = clock()

    def try_acquire(self) -> bool:
        """Consume a token if there is one, and return whether there was."""
        now = self._clock()
        filled = self._tokens + (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, filled)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LogWriter:
    """Write lines to a file descriptor without ever blocking on its reader.

    A stopped reader leaves the pipe full, and a blocking write would stop the event
    loop with all its requests. Lines wait in a bounded buffer instead. When it is full,
    lines are dropped and counted, and the count is written once there is room again. A
    timer flushes both as well, since the next line may be a long time off.
    """

    def __init__(self, descriptor: int, clock: Clock = time.monotonic) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._dropped = 0
        steps = TokenBucket(LINES_PER_SECOND, BURST_LINES, clock)
        refusals = TokenBucket(REFUSALS_PER_SECOND, BURST_REFUSALS, clock)
        self._buckets = dict.fromkeys(STEP_KINDS, steps)
        self._buckets |= dict.fromkeys(REFUSAL_KINDS, refusals)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write or buffer a message from eliot."""
        bucket = self._buckets.get(message.get("message_type"))
        if bucket is None or bucket.try_acquire():
            self._enqueue(_encode(message))
        else:
            self._dropped += 1
        self._write_pending()

    async def run_with_flushing(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a process's work, and flush the log periodically meanwhile."""
        flushing = asyncio.create_task(self._flush_periodically())
        try:
            return await work
        finally:
            flushing.cancel()
            self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes, and the count of dropped lines."""
        self._write_pending()
        self._report_dropped()
        self._write_pending()

    async def _flush_periodically(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()

    def _write_pending(self) -> None:
        while self._pending:
            line = self._pending[0]
            # A writable pipe has room for at least this many bytes, so the write does
            # not block although the descriptor is in blocking mode.
            try:
                if not self._is_writable():
                    return
                written = os.write(self._descriptor, line[: select.PIPE_BUF])
            except OSError:
                # The reader has closed the pipe, and there is no other place to log to.
                self._dropped += len(self._pending)
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
            else:
                self._pending.popleft()

    def _enqueue(self, line: bytes) -> None:
        if self._pending_bytes + len(line) > MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._report_dropped()
        self._push(line)

    def _report_dropped(self) -> None:
        if not self._dropped or self._pending_bytes >= MAX_BUFFER_BYTES:
            return
        report = {"message_type": "log:left_out", "lines": self._dropped}
        self._dropped = 0
        self._push(_encode(report))

    def _push(self, line: bytes) -> None:
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _is_writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)


def _encode(message: dict[str, Any]) -> bytes:
    if message.get("task_level") == TOP_LEVEL:
        message = {k: v for k, v in message.items() if k not in TASK_FIELDS}
    return msgspec.json.encode(message, enc_hook=repr) + b"\n"


def start_logging(host: str) -> LogWriter:
    """Log eliot's messages to standard output, each with the host's name."""
    writer = LogWriter(sys.stdout.fileno())
    eliot.add_global_fields(host=host)
    eliot.add_destinations(writer)
    return writer
