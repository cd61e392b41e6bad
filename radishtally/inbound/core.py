"""Sum of the bytes of all connections that belong to no request yet."""

from collections.abc import Callable, Hashable
from typing import NamedTuple

from eliot import log_message

from radishtally.inbound.const import MIN_UNPARSED_BYTES, UNPARSED_SHARE


class _Held(NamedTuple):
    """Hold what a connection has sent, and how it is closed."""

    size: int
    close: Callable[[], None]


class UnparsedBytes:
    """Bound the sum by closing the connections whose bytes have waited longest."""

    def __init__(self, memory_mb: float) -> None:
        self._limit = max(MIN_UNPARSED_BYTES, int(memory_mb * 1e6 * UNPARSED_SHARE))
        self._held: dict[Hashable, _Held] = {}
        """What connections hold, the longest waiting first."""
        self._sum = 0

    @property
    def sum(self) -> int:
        """Return the bytes of all connections."""
        return self._sum

    def record(
        self, connection: Hashable, size: int, close: Callable[[], None]
    ) -> None:
        """Record the bytes that a connection holds now; close others at the limit."""
        held = self._held.get(connection)
        if held is not None:
            self._sum -= held.size
        if not size:
            self._held.pop(connection, None)
            return
        self._held[connection] = _Held(size, close)
        self._sum += size
        if self._sum > self._limit:
            self._close_longest_waiting()

    def _close_longest_waiting(self) -> None:
        closed = 0
        while self._sum > self._limit:
            connection = next(iter(self._held))
            held = self._held.pop(connection)
            self._sum -= held.size
            held.close()
            closed += 1
        log_message("inbound:closed", connections=closed, limit=self._limit)
