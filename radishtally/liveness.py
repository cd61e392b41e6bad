"""Decide whether a process was still alive after a connection to it had ended.

A process that is killed closes its connections just like one that has finished, and a
relay in front of it may go on accepting connections. Only what the very same process
sends afterwards shows that it lived.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any, Final, Generic, NamedTuple, TypeVar

RETRY_PAUSES_SECONDS: Final = (0.02, 0.04, 0.08, 0.16)
"""Pauses between queries that get no answer; the last one is repeated."""
LATE_SECONDS: Final = 0.2
"""Time within which data that was sent before a process ended may still arrive."""
Target = TypeVar("Target")


class Sign(StrEnum):
    """Results of one query of a process."""

    ANSWERED = "answered"
    REPLACED = "answered by another process"
    REFUSED = "refused"
    CLOSED = "closed without an answer"
    UNCLEAR = "answered by an intermediary"
    SILENT = "no answer in time"
    UNREACHED = "no connection in time"


RETRIED_SIGNS: Final = (Sign.CLOSED, Sign.UNCLEAR)


class Liveness(StrEnum):
    """Verdicts on a process."""

    ALIVE = "alive"
    ENDED = "ended"
    UNKNOWN = "unknown"


class Patience(NamedTuple):
    """Limit how long a process is queried."""

    answer_seconds: float
    """Time limit of one query."""
    retry_seconds: float
    """Time within which a query whose connection is closed is repeated."""


UNFRAMED_END: Final = Patience(answer_seconds=1.0, retry_seconds=0.5)
"""A query may wait for a slot of the process. The retries give a process above its
limit of connections time to send on another one, well after the end of the answer."""


class Evidence(NamedTuple):
    """Describe what a verdict is based on."""

    liveness: Liveness
    sign: Sign
    """Result of the last query."""
    queries: int
    open_connections: int
    """Connections from before the first query that were still open after the last."""
    active_connections: int
    """Those of them on which data arrived too late to have been sent before."""
    seconds: float
    """Time that the queries took."""

    def describe(self) -> dict[str, Any]:
        """Describe the evidence, for logs."""
        return self._asdict() | {"seconds": round(self.seconds, 4)}


def read_connect_error(error: OSError) -> Sign:
    """Interpret an error that occurred before a connection was open."""
    if isinstance(error, ConnectionRefusedError):
        return Sign.REFUSED
    return Sign.CLOSED if isinstance(error, ConnectionError) else Sign.UNREACHED


def judge(sign: Sign, active_connections: int) -> Liveness:
    """Judge a process by its last query and by its other connections.

    A process above its limit of connections closes new ones just like a relay whose
    target has been killed, but goes on sending on those that it had before. One that is
    merely open proves nothing: it may have lost its peer.
    """
    match sign:
        case Sign.ANSWERED:
            return Liveness.ALIVE
        case Sign.REFUSED | Sign.REPLACED:
            return Liveness.ENDED
        case Sign.CLOSED if active_connections:
            return Liveness.ALIVE
    return Liveness.UNKNOWN


async def assess(
    query: Callable[[], Awaitable[Sign]],
    count_open: Callable[[float, float], int],
    patience: Patience,
) -> Evidence:
    """Query a process until its state is known or patience is exhausted.

    `count_open` counts the open connections that were opened before a monotonic time
    and on which data has arrived after another one.
    """
    loop = asyncio.get_running_loop()
    begin = loop.time()
    queries = 0
    while True:
        sign = await query()
        pause = RETRY_PAUSES_SECONDS[min(queries, len(RETRY_PAUSES_SECONDS) - 1)]
        queries += 1
        passed = loop.time() - begin
        if sign not in RETRIED_SIGNS or passed >= patience.retry_seconds:
            break
        await asyncio.sleep(pause)
    opened, active = count_open(begin, 0.0), count_open(begin, begin + LATE_SECONDS)
    liveness = judge(sign, active)
    seconds = loop.time() - begin
    return Evidence(liveness, sign, queries, opened, active, seconds)


class SharedProbes(Generic[Target]):
    """Assess processes; concurrent callers share a probe."""

    def __init__(self, assess_target: Callable[[Target], Awaitable[Evidence]]) -> None:
        self._assess_target = assess_target
        self._running: dict[Target, asyncio.Task[Evidence]] = {}

    async def probe(self, target: Target) -> Evidence:
        """Return evidence on whether a process still lives at the time of the call."""
        running = self._running.get(target)
        if running is not None:
            evidence = await asyncio.shield(running)
            # The process may have answered that probe and ended before this call.
            if evidence.liveness != Liveness.ALIVE:
                return evidence
        task = self._running.get(target) or self._start(target)
        return await asyncio.shield(task)

    def cancel_all(self) -> None:
        """Cancel all probes."""
        for task in list(self._running.values()):
            task.cancel()

    def _start(self, target: Target) -> asyncio.Task[Evidence]:
        task = asyncio.create_task(self._assess(target))
        self._running[target] = task
        return task

    async def _assess(self, target: Target) -> Evidence:
        try:
            return await self._assess_target(target)
        finally:
            # A done callback would run later, and a caller that comes before it would
            # join a probe that has finished.
            del self._running[target]
