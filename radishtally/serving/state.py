"""State of the dispatch core: hosts, links and open requests."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from radishtally.admission.core import Admission
from radishtally.limits.retries import RetryBudgets
from radishtally.serving.const import (
    DOUBT_MARGIN_SECONDS,
    OFFER_TIMEOUT_SECONDS,
    PAUSE_JITTER,
    UNREACHED_TO_PRESUME_GONE,
    VERSION_LAG_SECONDS,
)
from radishtally.serving.host_limits import HostLimits
from radishtally.serving.hosts import KnownHost
from radishtally.serving.origins import UNKNOWN_VERSION, StreamOrigins
from radishtally.serving.placement import Placement, RankedPlacement
from radishtally.serving.prompt_suspects import PromptSuspects
from radishtally.serving.requests import OpenRequest
from radishtally.serving.sources import UsableSources
from radishtally.serving.suspects import Suspects


@dataclass(slots=True)
class DispatchCore:
    """Hold the dispatch state of one entry or gateway."""

    host: str
    data_centre: str
    random: random.Random
    placement: Placement = field(default_factory=RankedPlacement)
    budgets: RetryBudgets = field(default_factory=lambda: RetryBudgets(0.1))
    offer_timeout: float = OFFER_TIMEOUT_SECONDS
    """Longest time a host may take to respond to an offer."""
    refusals_cost_retries: bool = False
    """Whether an offer that follows a refusal is charged to the retry budget too."""
    prefill_counts_as_run: bool = True
    """Whether computing the prompt counts as running the work: agents generate the
    first token in the same step."""
    tracks_versions: bool = False
    """Whether hosts run software versions whose streams can't be combined. Agents
    report no software version."""
    origins: StreamOrigins = field(default_factory=StreamOrigins)
    sources: UsableSources | None = None
    """Sources from which streams may begin; None if any may."""
    hosts: dict[str, KnownHost] = field(default_factory=dict)
    doubted_since: dict[str, float] = field(default_factory=dict)
    """Hosts that keep their name and may have begun again at another version, and the
    time since when."""
    pools: dict[str, dict[str, KnownHost]] = field(default_factory=dict)
    """The same hosts by upstream, so that placement scans a single pool."""
    links: dict[str, str] = field(default_factory=dict)
    """Incarnation of each process that has a live link."""
    requests: dict[str, OpenRequest] = field(default_factory=dict)
    suspects: Suspects = field(default_factory=Suspects)
    part_suspects: PromptSuspects = field(default_factory=PromptSuspects)
    limits: HostLimits = field(default_factory=HostLimits)
    admission: Admission = field(default_factory=Admission)
    on_error: Callable[[Exception, str], None] | None = None
    """Called with an unexpected error and the request that it has ended; None if it is
    to be raised."""
    paused_until: float = 0.0
    """Time at which the last pause of any host ends."""
    wake_heap: list[tuple[float, str]] = field(default_factory=list)
    """Heap of the times at which requests must be checked."""

    def next_wake(self) -> float:
        """Return the time at which the core needs its next Tick."""
        return min(self._next_request_wake(), self.admission.next_check())

    def _next_request_wake(self) -> float:
        while self.wake_heap and not self._is_current_wake(*self.wake_heap[0]):
            heapq.heappop(self.wake_heap)
        return self.wake_heap[0][0] if self.wake_heap else float("inf")

    def schedule(self, request: OpenRequest) -> None:
        """Schedule the next check of a request."""
        if request.wake_at >= request.scheduled_at:
            return
        request.scheduled_at = request.wake_at
        heapq.heappush(self.wake_heap, (request.wake_at, request.work.request))

    def pop_due(self, now: float) -> list[OpenRequest]:
        """Remove and return the requests that are due."""
        due = []
        while self._next_request_wake() <= now:
            _, name = heapq.heappop(self.wake_heap)
            request = self.requests[name]
            request.scheduled_at = float("inf")
            if request.wake_at <= now:
                due.append(request)
            else:
                self.schedule(request)
        return due

    def is_busy(self, host: str) -> bool:
        """Return whether a host has work in flight."""
        known = self.hosts.get(host)
        return known is not None and known.in_flight > 0

    def is_out_of_reach(self, host: str) -> bool:
        """Return whether the last offers to a host could not be delivered."""
        known = self.hosts.get(host)
        return known is not None and known.unreached_offers >= UNREACHED_TO_PRESUME_GONE

    def doubt_version(self, host: str, now: float) -> None:
        """Record that a host has ended and may begin again at another version."""
        known = self.hosts.get(host)
        # Other hosts get a new name with each start.
        if known is not None and known.reports_start:
            self.doubted_since.setdefault(host, now - DOUBT_MARGIN_SECONDS)

    def is_doubted(self, host: str) -> bool:
        """Return whether a host may have begun again at another version."""
        return host in self.doubted_since

    def confirm_hosts(self, asked_at: float) -> None:
        """Record that the host list was current at a time.

        A host that had begun again long enough before would have been listed anew.
        """
        self.doubted_since = {
            host: since
            for host, since in self.doubted_since.items()
            if asked_at < since + DOUBT_MARGIN_SECONDS + VERSION_LAG_SECONDS
        }

    def confirm_host(self, host: str, version: str, asked_at: float) -> None:
        """Record that a host ran its listed start, of a version, after a time."""
        known = self.hosts.get(host)
        if known is not None and known.version == UNKNOWN_VERSION:
            known.version = version
        since = self.doubted_since.get(host)
        if since is not None and asked_at >= since + DOUBT_MARGIN_SECONDS:
            del self.doubted_since[host]

    def pause_host(self, host: str, seconds: float, now: float) -> None:
        """Record that a host has asked for no work for a while."""
        known = self.hosts.get(host)
        if known is not None:
            until = now + self.add_pause_jitter(seconds)
            known.paused_until = max(known.paused_until, until)
            self.paused_until = max(self.paused_until, until)

    def add_pause_jitter(self, seconds: float) -> float:
        """Extend a pause by a random share of its length."""
        return seconds * (1.0 + self.random.uniform(0.0, PAUSE_JITTER))

    def set_host(
        self,
        host: str,
        data_centre: str,
        upstream: str,
        live: bool,
        version: str = "",
    ) -> None:
        """Update a host from the membership."""
        known = self.hosts.get(host)
        if known is None or known.upstream != upstream:
            known = self._replace_host(known, KnownHost(host, data_centre, upstream))
        known.data_centre = data_centre
        known.version = version
        known.live = live
        known.gone = False

    def restart_host(self, host: str) -> None:
        """Reset a restarted host's state, except for its open attempts.

        Those are lost once the link to the new incarnation is up.
        """
        self.limits.forget(host)
        known = self.hosts.get(host)
        if known is not None:
            known.restart()
        for request in self.requests.values():
            request.tried.discard(host)
            # The new incarnation may have issued the same handle for another prompt,
            # and it cannot be asked to free a KV cache that it does not hold.
            if request.kv is not None and request.kv.host == host:
                request.discard_kv()

    def list_outdated(self, host: str, incarnation: str) -> list[OpenRequest]:
        """List the requests that are open at another incarnation of a host."""
        return [
            request
            for request in self.requests.values()
            if request.host == host and request.incarnation != incarnation
        ]

    def forget_host(self, host: str) -> None:
        """Remove a host that is gone once it has no work in flight."""
        self.limits.forget(host)
        known = self.hosts.get(host)
        if known is None:
            return
        known.live = False
        known.gone = True
        if not known.in_flight:
            self._remove_host(known)

    def detach_host(self, request: OpenRequest) -> None:
        """Detach a request's current attempt from its host."""
        known = self.hosts.get(request.host or "")
        request.host = None
        if request.holds_place:
            request.holds_place = False
            self.admission.end(request.work.upstream, request.work.priority)
        if known is None:
            return
        known.in_flight -= 1
        self.placement.end_attempt(request, known)
        if known.gone and not known.in_flight:
            self._remove_host(known)

    def remove_request(self, name: str) -> OpenRequest | None:
        """Remove a request that has its final answer."""
        request = self.requests.pop(name, None)
        if request is not None and request.work_class is not None:
            self.admission.leave(request.work.upstream, name, request.work_class)
        return request

    def _replace_host(self, old: KnownHost | None, new: KnownHost) -> KnownHost:
        if old is not None:
            # Work in flight under the replaced record still counts.
            new.in_flight = old.in_flight
            self._remove_host(old)
        self.hosts[new.host] = new
        self.pools.setdefault(new.upstream, {})[new.host] = new
        return new

    def _remove_host(self, known: KnownHost) -> None:
        del self.hosts[known.host]
        pool = self.pools[known.upstream]
        del pool[known.host]
        if not pool:
            del self.pools[known.upstream]

    def _is_current_wake(self, time: float, name: str) -> bool:
        request = self.requests.get(name)
        return request is not None and request.scheduled_at == time
