"""Upstream hosts as one entry or gateway sees them."""

from dataclasses import dataclass, field
from typing import Final

from radishtally.limits.breaker import CircuitBreaker
from radishtally.links.messages import Load
from radishtally.routing.core import Candidate

LIMIT_GROWTH: Final = 0.1
"""Calls by which the limit grows in the time that one call takes."""
MIN_CALL_LIMIT: Final = 1.0
"""A host that rejects calls is still asked at times: it may have room again."""


@dataclass(slots=True)
class KnownHost:
    """Track the state of one host."""

    host: str
    data_centre: str
    upstream: str
    version: str = ""
    """Version of the host's software; empty if it is not known."""
    live: bool = False
    """Whether the membership lists the host as live."""
    gone: bool = False
    """Whether to remove the host once it has no work in flight."""
    load: Load | None = None
    load_at: float = 0.0
    slots: int = 0
    """Calls that the host processes at a time; 0 if it queues them by itself."""
    in_flight: int = 0
    peer_calls: int = 0
    """Calls that other gateways have open, as last reported."""
    unseen_calls: float = 0.0
    """Calls to all hosts of the upstream that other gateways begin between reports."""
    reported_in_flight: int = 0
    refusals: int = 0
    """Refusals since the host last accepted an offer."""
    unreached_offers: int = 0
    """Consecutive offers that could not be delivered."""
    reports_start: bool = False
    """Whether the host reports its start time, so that restarts can be told apart."""
    ended_at: float = 0.0
    """Time at which the host was last found to have terminated."""
    ended_contents: set[str] = field(default_factory=set)
    """Content digests of the requests that were open when it terminated."""
    paused_until: float = 0.0
    """Time until which the host has asked for no work."""
    call_limit: float = float("inf")
    """Open calls of this process that the host takes, lowered when it rejects one."""
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)

    def update_load(self, load: Load, now: float) -> None:
        """Store a load report."""
        self.load = load
        self.load_at = now
        self.reported_in_flight = self.in_flight

    def restart(self) -> None:
        """Reset the state that belonged to the previous incarnation."""
        self.load = None
        self.reported_in_flight = 0
        self.refusals = 0
        self.unreached_offers = 0
        self.ended_contents.clear()
        self.paused_until = 0.0
        self.call_limit = float("inf")
        self.breaker = CircuitBreaker()

    def to_candidate(self, now: float) -> Candidate:
        """Return the host as a routing candidate."""
        return Candidate(
            self.host,
            self.data_centre,
            self.load,
            now - self.load_at if self.load else 0.0,
            self.in_flight,
            self.reported_in_flight,
        )

    def is_usable(self, now: float) -> bool:
        """Return whether new work may be offered to the host."""
        has_room = self.in_flight < self.call_limit
        return self.live and has_room and self.breaker.allows(now)

    def lower_call_limit(self) -> None:
        """Send the host fewer calls, since it has rejected one that is open yet."""
        self.call_limit = max(MIN_CALL_LIMIT, self.in_flight - 1.0)

    def raise_call_limit(self, most: int) -> None:
        """Send the host more calls, after it has answered one."""
        if self.call_limit < most:
            self.call_limit += LIMIT_GROWTH / self.call_limit
        else:
            self.call_limit = float("inf")
