"""Admission of calls to the plain hosts of all upstreams."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from radishtally.admission.queue import CallQueue
from radishtally.admission.returns import RefusedCallers
from radishtally.admission.split import WorkClass
from radishtally.links.gateway_messages import CallLoad, RefusedCaller

LATE_CHECK_SECONDS: Final = 0.1
"""Interval between checks for waiting calls that can't be answered in time."""


class Admission:
    """Keep a queue for each upstream whose hosts name their slots."""

    def __init__(self, random: Random | None = None) -> None:
        self._random = random or Random()
        self.queues: dict[str, CallQueue] = {}
        self.report_seconds = 0.0
        """Longest time until peers learn of a call."""
        self.refused = RefusedCallers()
        self.is_lagging: Callable[[], bool] = lambda: False
        """Returns whether this process is short of processor time."""
        self._late_checked_at = float("-inf")

    def get_queue(self, upstream: str) -> CallQueue:
        """Return the queue of an upstream."""
        if upstream not in self.queues:
            self.queues[upstream] = CallQueue(self._random)
        return self.queues[upstream]

    def begin(self, upstream: str, rank: int) -> None:
        """Record that a call of this gateway has begun."""
        self.get_queue(upstream).begin(rank)

    def end(self, upstream: str, rank: int) -> None:
        """Record that a call of this gateway has ended."""
        self.get_queue(upstream).end(rank)

    def leave(self, upstream: str, request: str, work: WorkClass) -> None:
        """Record that a request wants no place any more."""
        queue = self.get_queue(upstream)
        queue.remove(request)
        queue.demand.leave(work)

    def list_waiting(self) -> list[tuple[str, CallQueue]]:
        """List the upstreams for which calls wait."""
        return [(name, queue) for name, queue in self.queues.items() if queue]

    def next_check(self) -> float:
        """Return when waiting calls must be looked at again."""
        checks = (queue.next_check for queue in self.queues.values())
        return min(checks, default=float("inf"))

    def is_late_check_due(self, now: float) -> bool:
        """Return whether waiting calls are to be checked, and begin the interval."""
        if now < self._late_checked_at + LATE_CHECK_SECONDS:
            return False
        self._late_checked_at = now
        return True

    def record_load(self, peer: str, load: CallLoad, now: float) -> None:
        """Record a peer's calls and demand."""
        self.get_queue(load.upstream).demand.record_report(peer, load, now)

    def record_refused(self, callers: Iterable[RefusedCaller], now: float) -> None:
        """Record callers that another gateway has refused."""
        for caller in callers:
            self.refused.record_told(caller, now)

    def forget_peer(self, peer: str, now: float) -> None:
        """Drop the demand of a peer that is out of reach."""
        for queue in self.queues.values():
            queue.demand.forget_peer(peer, now)
