"""Follow the upstreams' hosts as one entry sees them."""

from dataclasses import dataclass, field

from radishtally.limits.breaker import CircuitBreaker
from radishtally.links.messages import Load
from radishtally.routing.core import Candidate


@dataclass(slots=True)
class KnownHost:
    """Hold what the entry knows of one host."""

    host: str
    place: str
    upstream: str
    live: bool = False
    """Whether the membership has it as live."""
    gone: bool = False
    """Whether the host is to be forgotten once no work is open there."""
    load: Load | None = None
    load_at: float = 0.0
    in_flight: int = 0
    reported_in_flight: int = 0
    refusals: int = 0
    """Refusals since the host last took an offer."""
    unreached_offers: int = 0
    """Offers in a row that could not be brought to it."""
    reports_start: bool = False
    """Whether its starts are told apart by more than its name."""
    ended_at: float = 0.0
    """Time at which it was last found to have ended."""
    ended_under: set[str] = field(default_factory=set)
    """What was asked by the requests that were open there."""
    paused_until: float = 0.0
    """Time until which it has asked for no work."""
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)

    def update_load(self, load: Load, now: float) -> None:
        """Take a load report."""
        self.load = load
        self.load_at = now
        self.reported_in_flight = self.in_flight

    def restart(self) -> None:
        """Forget what held for the host's earlier start."""
        self.load = None
        self.reported_in_flight = 0
        self.refusals = 0
        self.unreached_offers = 0
        self.ended_under.clear()
        self.paused_until = 0.0
        self.breaker = CircuitBreaker()

    def describe(self, now: float) -> Candidate:
        """Describe the host to the routing."""
        return Candidate(
            self.host,
            self.place,
            self.load,
            now - self.load_at if self.load else 0.0,
            self.in_flight,
            self.reported_in_flight,
        )

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may be offered here."""
        return self.live and self.breaker.allows(now)
