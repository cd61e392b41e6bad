"""Hold what one entry knows."""

import heapq
import random
from dataclasses import dataclass, field

from radishtally.limits.retries import RetryBudgets
from radishtally.serving.const import (
    OFFER_TIMEOUT_SECONDS,
    PAUSE_JITTER,
    UNREACHED_TO_PRESUME_GONE,
)
from radishtally.serving.hosts import KnownHost
from radishtally.serving.placement import Placement, RankedPlacement
from radishtally.serving.requests import OpenRequest
from radishtally.serving.suspects import Suspects


@dataclass(slots=True)
class DispatchCore:
    """Hold what one entry knows."""

    host: str
    place: str
    random: random.Random
    placement: Placement = field(default_factory=RankedPlacement)
    budgets: RetryBudgets = field(default_factory=lambda: RetryBudgets(0.1))
    offer_timeout: float = OFFER_TIMEOUT_SECONDS
    """Longest time that a host may leave an offer without a word."""
    refusals_cost_retries: bool = False
    """Whether an offer that follows a refused one is paid from the budget too."""
    prefill_counts_as_run: bool = True
    """Whether work has begun to run when its prompt is computed: agents make the first
    token with it."""
    hosts: dict[str, KnownHost] = field(default_factory=dict)
    pools: dict[str, dict[str, KnownHost]] = field(default_factory=dict)
    """The same hosts by upstream, so that a choice looks at one pool only."""
    links: dict[str, str] = field(default_factory=dict)
    """Incarnation of each process that a link is up to."""
    requests: dict[str, OpenRequest] = field(default_factory=dict)
    suspects: Suspects = field(default_factory=Suspects)
    paused_until: float = 0.0
    """Time from which no host pauses."""
    wakes: list[tuple[float, str]] = field(default_factory=list)
    """Heap of the times at which requests want to be looked at."""

    def next_wake(self) -> float:
        """Give the time at which the core wants a Tick."""
        while self.wakes and not self._is_due_then(*self.wakes[0]):
            heapq.heappop(self.wakes)
        return self.wakes[0][0] if self.wakes else float("inf")

    def schedule(self, request: OpenRequest) -> None:
        """Look at a request again at its own time."""
        if request.wake >= request.scheduled:
            return
        request.scheduled = request.wake
        heapq.heappush(self.wakes, (request.wake, request.work.request))

    def take_due(self, now: float) -> list[OpenRequest]:
        """Take the requests whose time has come."""
        due = []
        while self.next_wake() <= now:
            _, name = heapq.heappop(self.wakes)
            request = self.requests[name]
            request.scheduled = float("inf")
            if request.wake <= now:
                due.append(request)
            else:
                self.schedule(request)
        return due

    def is_busy(self, host: str) -> bool:
        """Tell whether work is open at a host."""
        known = self.hosts.get(host)
        return known is not None and known.in_flight > 0

    def is_out_of_reach(self, host: str) -> bool:
        """Tell whether a host has lately been tried in vain, more than once."""
        known = self.hosts.get(host)
        return known is not None and known.unreached_offers >= UNREACHED_TO_PRESUME_GONE

    def pause_host(self, host: str, seconds: float, now: float) -> None:
        """Take that a host wants no work for a while."""
        known = self.hosts.get(host)
        if known is not None:
            until = now + self.spread_pause(seconds)
            known.paused_until = max(known.paused_until, until)
            self.paused_until = max(self.paused_until, until)

    def spread_pause(self, seconds: float) -> float:
        """Put off the end of a pause, each time by another part of it."""
        return seconds * (1.0 + self.random.uniform(0.0, PAUSE_JITTER))

    def set_host(self, host: str, place: str, upstream: str, live: bool) -> None:
        """Take what the membership makes of a host."""
        known = self.hosts.get(host)
        if known is None or known.upstream != upstream:
            known = self._replace_host(known, KnownHost(host, place, upstream))
        known.place = place
        known.live = live
        known.gone = False

    def restart_host(self, host: str) -> None:
        """Forget what held for a host's earlier start, but for what is open there.

        That is lost when a link to the new start is up.
        """
        known = self.hosts.get(host)
        if known is not None:
            known.restart()
        for request in self.requests.values():
            request.tried.discard(host)
            # The new start may have given the same handle for another prompt. It can't
            # be asked to free what it does not hold.
            if request.kv is not None and request.kv.host == host:
                request.give_up_kv()

    def list_outdated(self, host: str, incarnation: str) -> list[OpenRequest]:
        """List the requests that are open at another start of a host."""
        return [
            request
            for request in self.requests.values()
            if request.host == host and request.incarnation != incarnation
        ]

    def forget_host(self, host: str) -> None:
        """Forget a host that is gone, once no work is open there."""
        known = self.hosts.get(host)
        if known is None:
            return
        known.live = False
        known.gone = True
        if not known.in_flight:
            self._drop_host(known)

    def leave_host(self, request: OpenRequest) -> None:
        """Take a request's present attempt off its host."""
        known = self.hosts.get(request.host or "")
        request.host = None
        if known is None:
            return
        known.in_flight -= 1
        self.placement.end(request, known)
        if known.gone and not known.in_flight:
            self._drop_host(known)

    def _replace_host(self, old: KnownHost | None, new: KnownHost) -> KnownHost:
        if old is not None:
            # Work that is still open there goes on counting.
            new.in_flight = old.in_flight
            self._drop_host(old)
        self.hosts[new.host] = new
        self.pools.setdefault(new.upstream, {})[new.host] = new
        return new

    def _drop_host(self, known: KnownHost) -> None:
        del self.hosts[known.host]
        pool = self.pools[known.upstream]
        del pool[known.host]
        if not pool:
            del self.pools[known.upstream]

    def _is_due_then(self, time: float, name: str) -> bool:
        request = self.requests.get(name)
        return request is not None and request.scheduled == time
