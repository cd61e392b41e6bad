"""Detection of overload, and the connections that are refused meanwhile."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Final

from aiohttp import web
from eliot import log_message

from radishtally.gateway.const import MAX_CONNECTIONS

TARGET_LAG_SECONDS: Final = 0.02
"""Length of an event loop iteration that is exceeded all the time only under overload.
A request takes some six iterations."""
MAX_LAG_SECONDS: Final = 0.1
"""Length of a single iteration that shows an overload."""
WINDOW_SECONDS: Final = 0.1
"""Time over which the shortest iteration counts. Where a processor quota applies, the
process is suspended once in each such period, so single iterations may be long."""
MIN_SAMPLES: Final = 3
"""Iterations in a window from which on it shows an overload."""
MAX_LIMIT: Final = 64
"""Most connections that are accepted in one iteration."""
COST_SMOOTHING: Final = 0.3
"""Weight of the newest iteration in the time that a request takes."""
MAX_WAIT_SECONDS: Final = 0.25
"""Time after which a connection without a request no longer counts as waiting: its
caller has opened it in advance."""
MAX_ACCEPTS: Final = 256
"""New connections that are handled in one iteration, whether accepted or refused."""


class OverloadDetector:
    """Limit new connections to what a process can serve in time.

    What has arrived waits for the whole iteration of the event loop before, so the
    length of an iteration is the delay of each step of a request. While iterations are
    long, the number of connections accepted in one is halved; after each short one it
    grows again. Connections whose requests have not begun must not take longer than a
    long iteration either: their work shows in later iterations only. Iterations are
    measured only after new connections.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        call_soon: Callable[[Callable[[], None]], Any],
    ) -> None:
        self._clock = clock
        self._call_soon = call_soon
        self._limit = MAX_LIMIT
        self._refused = 0
        """Connections refused since the limit was lowered."""
        self._accepted = 0
        """Connections accepted in the current iteration."""
        self._waiting: deque[float] = deque()
        """Times of the accepted connections whose requests have not begun."""
        self._begun = 0
        """Requests begun since the last measurement."""
        self._cost = 0.0
        """Seconds that a request takes, with all work that is done beside it."""
        self._measured_from: float | None = None
        self._rounds_left = 0
        self._sampled_at = float("-inf")
        self._lag = 0.0
        """Length of the last iteration that was measured."""
        self._window_ends_at = 0.0
        self._samples = 0
        self._shortest = float("inf")

    def admits(self) -> bool:
        """Return whether a new connection is to be served."""
        if self._measured_from is None:
            now = self._clock()
            if now - self._sampled_at > WINDOW_SECONDS:
                self._start_window(now)
            self._measured_from, self._rounds_left = now, 2
            self._call_soon(self._measure)
        if self._accepted >= self._limit or self._is_queue_full():
            if not self._refused:
                log_message("overload:began", limit=self._limit)
            self._refused += 1
            return False
        self._accepted += 1
        self._waiting.append(self._clock())
        return True

    def is_lagging(self) -> bool:
        """Return whether iterations have been long of late."""
        is_recent = self._clock() <= self._sampled_at + WINDOW_SECONDS + self._lag
        return is_recent and self._lag > TARGET_LAG_SECONDS

    def record_begun(self) -> None:
        """Record that a request has begun."""
        self._begun += 1
        if self._waiting:
            self._waiting.popleft()

    def _is_queue_full(self) -> bool:
        return len(self._waiting) * self._cost > MAX_LAG_SECONDS

    def _measure(self) -> None:
        """Measure the iteration that ends now."""
        now = self._clock()
        self._accepted = 0
        self._add_sample(now - self._measured_from, now)
        self._rounds_left -= 1
        if self._rounds_left:
            # The first round covers only what came after the connection.
            self._measured_from = now
            self._call_soon(self._measure)
        else:
            self._measured_from = None

    def _add_sample(self, lag: float, now: float) -> None:
        self._sampled_at = now
        self._lag = lag
        self._samples += 1
        if self._begun:
            change = lag / self._begun - self._cost
            self._cost += COST_SMOOTHING * change
            self._begun = 0
        while self._waiting and self._waiting[0] < now - MAX_WAIT_SECONDS:
            self._waiting.popleft()
        self._shortest = min(self._shortest, lag)
        is_slow = False
        if now >= self._window_ends_at:
            is_slow = self._shortest > TARGET_LAG_SECONDS
            is_slow &= self._samples >= MIN_SAMPLES
            self._start_window(now)
        if is_slow or lag > MAX_LAG_SECONDS:
            self._limit = max(1, self._limit // 2)
        elif lag <= TARGET_LAG_SECONDS:
            self._raise_limit()

    def _raise_limit(self) -> None:
        self._limit = min(MAX_LIMIT, self._limit + 1)
        if self._limit == MAX_LIMIT and self._refused:
            log_message("overload:ended", refused=self._refused)
            self._refused = 0

    def _start_window(self, now: float) -> None:
        self._window_ends_at = now + WINDOW_SECONDS
        self._samples, self._shortest = 0, float("inf")


class GuardedListener:
    """Accept connections, and close those at once that can't be served in time.

    The loop's own server accepts one connection in each iteration. Under overload the
    others wait unseen in the kernel until their callers have given up.
    """

    def __init__(
        self,
        server: web.Server,
        detector: OverloadDetector,
        on_refused: Callable[[], None],
    ) -> None:
        self._server = server
        self._detector = detector
        self._on_refused = on_refused
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, listener: socket.socket) -> None:
        """Accept connections."""
        self._socket = listener
        asyncio.get_running_loop().add_reader(self._socket, self._accept_all)

    def stop(self) -> None:
        """Stop listening; accepted connections are kept."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _accept_all(self) -> None:
        """Accept all connections that have arrived."""
        for _ in range(MAX_ACCEPTS):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # The caller has left already, or no file descriptor is free.
                log_message("listener:not_accepted", error=repr(error))
                return
            has_room = len(self._server.connections) < MAX_CONNECTIONS
            if has_room and self._detector.admits():
                self._serve(connection)
            else:
                self._on_refused()
                connection.close()

    def _serve(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        connection.setblocking(False)
        connecting = loop.connect_accepted_socket(self._server, connection)
        task = loop.create_task(connecting)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_message("listener:not_served", error=repr(task.exception()))
