"""Write logs as JSON lines by eliot, bounded and without waiting for the reader."""

import os
import select
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final

import eliot
import msgspec

MAX_BUFFER_BYTES: Final = 1024 * 1024
"""Lines that wait for the reader; what comes beyond them is left out and counted."""
LINES_PER_SECOND: Final = 1_000.0
"""Lines of requests that are written in a lasting flood: ten times an entry's usual
load, and some percent of a core."""
BURST_LINES: Final = 4_000.0
"""Lines that may come at once before the rate binds."""
STEP_KINDS: Final = ("request:step", "request:closed", "request:arrived")
"""Kinds that grow with the load; all others are few and are never left out for it."""

Clock = Callable[[], float]


class LogWriter:
    """Write lines to a file descriptor without ever waiting for its reader.

    A reader that has stopped leaves the pipe full, and a blocking write would stop the
    loop: every request would wait for the log. Lines wait in a bounded buffer instead,
    and are counted when it is full; the count is written when there is room again.
    """

    def __init__(self, descriptor: int, clock: Clock = time.monotonic) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._left_out = 0
        self._tokens = BURST_LINES
        self._filled_at = clock()

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message of eliot's."""
        if message.get("message_type") in STEP_KINDS and not self._may_write():
            self._left_out += 1
        else:
            self._add(_encode(message))
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting and self._is_writable():
            line = self._waiting[0]
            # A pipe that is writable has room for this many bytes at least, so the
            # write does not wait though the descriptor is a blocking one.
            try:
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
        if self._left_out:
            said = {"message_type": "log:left_out", "lines": self._left_out}
            self._left_out = 0
            self._push(_encode(said))
        self._push(line)

    def _push(self, line: bytes) -> None:
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _may_write(self) -> bool:
        now = self._clock()
        filled = self._tokens + (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, filled)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _is_writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)


def _encode(message: dict[str, Any]) -> bytes:
    return msgspec.json.encode(message, enc_hook=repr) + b"\n"


def start_logging(host: str) -> LogWriter:
    """Send eliot's messages to standard output, each with the host's name."""
    writer = LogWriter(sys.stdout.fileno())
    eliot.add_global_fields(host=host)
    eliot.add_destinations(writer)
    return writer
