"""Track which caller connections carry a request, and close idle ones."""

import asyncio
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from aiohttp.web_protocol import RequestHandler

from radishtally.gateway.const import HANDLER_LOOP_ITERATIONS


class _RequestCount(NamedTuple):
    """Hold the number of requests open on a connection and when it last changed."""

    changed_at: float
    open_requests: int


class Connections:
    """Track the requests open on each caller connection."""

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
        """Count a request as open on its connection until it is answered."""
        self._change_count(connection, 1)
        try:
            yield
        finally:
            self._change_count(connection, -1)

    async def close_idle(self) -> int:
        """Close connections without a request; return how many remain in use."""
        await self._close_if_unused(self._list_open())
        return sum(map(self._is_busy, self._list_open()))

    async def close_long_idle(self, max_idle_seconds: float) -> None:
        """Close connections that have had no complete request for that long."""
        connections = self._list_open()
        for closed in self._counts.keys() - set(connections):
            del self._counts[closed]
        now = self._clock()
        new = _RequestCount(now, 0)
        await self._close_if_unused(
            connection
            for connection in connections
            if now - self._counts.setdefault(connection, new).changed_at
            > max_idle_seconds
        )

    async def _close_if_unused(self, connections: Iterable[RequestHandler]) -> None:
        """Close these connections unless a request has arrived on them.

        A request reaches its handler some event loop iterations after it was read.
        Closing the connection between the two would leave the caller without an answer
        while a host runs the request. Reading is therefore paused for as many
        iterations, and connections on which a request turns up are not closed.
        """
        paused = [connection for connection in connections if self._pause(connection)]
        for _ in range(HANDLER_LOOP_ITERATIONS):
            await asyncio.sleep(0)
        for connection in paused:
            if not self._is_busy(connection):
                # The handler's close() stops reading but leaves the connection open:
                # a request sent after that would wait until the process exits.
                connection.force_close()
            elif connection.transport is not None:
                connection.transport.resume_reading()

    def _pause(self, connection: RequestHandler) -> bool:
        """Stop reading from a connection if it is open and carries no request."""
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
    """Return whether part of an answer is still buffered for the caller.

    An answer is passed to the HTTP library as a whole, which ends its request. If the
    caller reads slowly, the buffered rest would be lost when the process exits.
    """
    transport = connection.transport
    return transport is not None and transport.get_write_buffer_size() > 0
