"""Follow which connections of callers carry a request, and close the others."""

import asyncio
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from aiohttp.web_protocol import RequestHandler

from radishtally.gateway.const import HANDLER_LOOP_ITERATIONS


class _RequestCount(NamedTuple):
    """Remember what a connection carries, and since when that has not changed."""

    changed_at: float
    open_requests: int


class Connections:
    """Hold what the connections carry that callers have open."""

    def __init__(
        self,
        list_open: Callable[[], list[RequestHandler]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._list_open = list_open
        self._clock = clock
        self._counts: dict[RequestHandler, _RequestCount] = {}

    @contextmanager
    def track_request(self, connection: RequestHandler) -> Iterator[None]:
        """Count a request on a connection while it is answered."""
        self._change_count(connection, 1)
        try:
            yield
        finally:
            self._change_count(connection, -1)

    async def close_idle(self) -> int:
        """Close connections that carry no request; count those that do."""
        await self._close_if_unused(self._list_open())
        return sum(map(self._is_busy, self._list_open()))

    async def close_long_idle(self, max_idle_seconds: float) -> None:
        """Close connections on which no request has come whole for so many seconds."""
        connections = self._list_open()
        for gone in self._counts.keys() - set(connections):
            del self._counts[gone]
        now = self._clock()
        new = _RequestCount(now, 0)
        await self._close_if_unused(
            connection
            for connection in connections
            if now - self._counts.setdefault(connection, new).changed_at
            > max_idle_seconds
        )

    async def _close_if_unused(self, connections: Iterable[RequestHandler]) -> None:
        """Close those of some connections on which no request has come.

        A request that has been read reaches its handler some turns of the loop later. A
        close between the two would leave its caller without an answer, while a host
        runs it. So reading is paused meanwhile, and what shows by then is not closed.
        """
        paused = [connection for connection in connections if self._pause(connection)]
        for _ in range(HANDLER_LOOP_ITERATIONS):
            await asyncio.sleep(0)
        for connection in paused:
            if not self._is_busy(connection):
                # Its close() reads no more but leaves the connection open: what a
                # caller sent on it after that would wait for the process to end.
                connection.force_close()
            elif connection.transport is not None:
                connection.transport.resume_reading()

    def _pause(self, connection: RequestHandler) -> bool:
        """Stop reading from a connection if it stands and carries no request."""
        transport = connection.transport
        if transport is None or transport.is_closing() or self._is_busy(connection):
            return False
        transport.pause_reading()
        return True

    def _is_busy(self, connection: RequestHandler) -> bool:
        known = self._counts.get(connection)
        is_open = known is not None and known.open_requests > 0
        return is_open or _is_sending(connection)

    def _change_count(self, connection: RequestHandler, change: int) -> None:
        known = self._counts.get(connection)
        count = (known.open_requests if known else 0) + change
        self._counts[connection] = _RequestCount(self._clock(), count)


def _is_sending(connection: RequestHandler) -> bool:
    """Tell whether a part of an answer still waits in memory for its caller.

    An answer is handed to the HTTP library whole, and its request is over then. Where
    the caller reads slowly, the rest would be lost with the process.
    """
    transport = connection.transport
    return transport is not None and transport.get_write_buffer_size() > 0
