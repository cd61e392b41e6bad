"""Share a host's request limit between processes, by permits that expire.

One process issues the permits for a host, so that all processes together stay within
its limit. The others hold a few each, by demand, and return those that they don't use.
"""

import math
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

WINDOW_SECONDS: Final = 4.0
"""Time over which a host's limit holds."""
WINDOW_SLACK: Final = 1.0
"""Requests beyond the limit that are allowed in each window."""
HOLD_SECONDS: Final = 0.35
"""Time for which a permit may be used after it has been received."""
BURST_SECONDS: Final = 0.25
"""Time whose permits may be issued at once, besides BURST_PERMITS."""
BURST_PERMITS: Final = 2.0
DEMAND_SECONDS: Final = 1.0
"""Time over which demand is averaged."""
MIN_DEMAND: Final = 0.2
"""Requests a second as which a smaller demand counts when permits are distributed."""
DEMAND_EXPIRY_SECONDS: Final = 1.5
"""Time after which the demand of a process that says nothing more is forgotten."""


class PermitIssuer:
    """Issue permits within a limit, and take unused ones back."""

    def __init__(self, limit: float, now: float, transit: float) -> None:
        self._lifetime = HOLD_SECONDS + transit
        """Longest time from the issue of a permit to its use."""
        self._limit = limit
        # Another process may have issued permits just before, so none are saved up.
        self._level = 0.0
        self._filled_at = now
        self._issued: deque[float] = deque()
        """Times at which the permits of the last window were issued."""

    def change_limit(self, limit: float, now: float) -> None:
        """Set the limit, in requests a second, from now on."""
        self._fill(now)
        self._limit = limit
        self._level = min(self._level, self._depth)
        if len(self._issued) > self._capacity:
            # Those of a higher limit would leave none for a whole window.
            self._issued.clear()
            self._level = min(self._level, 1.0)

    @property
    def _capacity(self) -> int:
        # A permit that is issued before a window may be used in it.
        return max(1, math.floor(WINDOW_SECONDS * self._limit + WINDOW_SLACK))

    def issue(self, wanted: int, now: float) -> int:
        """Issue as many of the wanted permits as the limit allows now."""
        self._fill(now)
        while self._issued and self._issued[0] <= now - WINDOW_SECONDS - self._lifetime:
            self._issued.popleft()
        room = self._capacity - len(self._issued)
        count = max(0, min(wanted, math.floor(self._level), room))
        self._level -= count
        self._issued.extend([now] * count)
        return count

    def take_back(self, count: int, now: float) -> None:
        """Take back permits that were not used before they expired."""
        self._fill(now)
        issued = list(self._issued)
        # Which ones they are is unknown; the newest that can have expired are removed.
        end = bisect_right(issued, now - HOLD_SECONDS)
        returned = min(count, end)
        self._issued = deque(issued[: end - returned] + issued[end:])
        self._level = min(self._depth, self._level + returned)

    @property
    def _depth(self) -> float:
        return BURST_PERMITS + BURST_SECONDS * self._limit

    def _fill(self, now: float) -> None:
        passed = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._level = min(self._depth, self._level + passed * self._limit)


class Want(NamedTuple):
    """Describe how many permits a process wants."""

    count: int
    demand: float
    """Requests a second that it would send to the host."""
    at: float = 0.0


class DemandMeter:
    """Measure the requests a second for which a host would have been used."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = float("-inf")

    def record(self, now: float) -> None:
        """Record a request."""
        self._rate = self.measure(now) + 1.0 / DEMAND_SECONDS
        self._at = now

    def measure(self, now: float) -> float:
        """Return the requests a second, weighted towards the latest."""
        return self._rate * math.exp((self._at - now) / DEMAND_SECONDS)


@dataclass
class PermitPool:
    """Hold the permits of one host in one process, and those for its children.

    The process is its own child under an empty name.
    """

    limit: float
    demand: DemandMeter = field(default_factory=DemandMeter)
    held: deque[float] = field(default_factory=deque)
    """Expiry times of the permits that this process may use."""
    wants: dict[str, Want] = field(default_factory=dict)
    """Wanted permits, by child."""
    waiting: dict[str, float] = field(default_factory=dict)
    """Requests that wait for a permit, and until when."""
    unused: int = 0
    """Permits to return."""
    _credits: dict[str, float] = field(default_factory=dict)

    def use(self, now: float) -> bool:
        """Use one permit; return whether there was one."""
        self.expire(now)
        if not self.held:
            return False
        self.held.popleft()
        return True

    def has_permit(self, now: float) -> bool:
        """Return whether a permit is held."""
        self.expire(now)
        return bool(self.held)

    def expire(self, now: float) -> None:
        """Drop the permits that have expired, to be returned."""
        while self.held and self.held[0] <= now:
            self.held.popleft()
            self.unused += 1

    def update_own_want(self, now: float) -> None:
        """Want permits for waiting requests and for those of the next moment.

        A process with little demand asks only when it has a request: a permit that it
        holds in advance would mostly expire.
        """
        self.expire(now)
        self.waiting = {name: at for name, at in self.waiting.items() if now < at}
        demand = self.demand.measure(now)
        most = 1 + math.ceil(BURST_SECONDS * self.limit)
        count = min(most, len(self.waiting) + math.floor(BURST_SECONDS * demand))
        self.wants[""] = Want(max(0, count - len(self.held)), demand, now)

    def has_room_to_wait(self, seconds: float) -> bool:
        """Return whether one more request may get a permit in time."""
        return len(self.waiting) < 1 + math.floor(seconds * self.limit)

    def sum_wants(self, now: float) -> Want:
        """Return the wants of all children together."""
        self.wants = {
            child: want
            for child, want in self.wants.items()
            if now < want.at + DEMAND_EXPIRY_SECONDS
        }
        counts = sum(want.count for want in self.wants.values())
        return Want(counts, sum(want.demand for want in self.wants.values()), now)

    def distribute(self, count: int, now: float) -> dict[str, int]:
        """Distribute permits to the children by their demand; keep the own ones."""
        given: dict[str, int] = {}
        for _ in range(count):
            wanting = [child for child, want in self.wants.items() if want.count > 0]
            if not wanting:
                self.unused += 1
                continue
            child = self._choose(wanting)
            want = self.wants[child]
            self.wants[child] = want._replace(count=want.count - 1)
            given[child] = given.get(child, 0) + 1
        for _ in range(given.pop("", 0)):
            self.held.append(now + HOLD_SECONDS)
        return given

    def _choose(self, wanting: list[str]) -> str:
        """Return the child that has had the least of its share of the demand."""
        demands = {
            child: max(MIN_DEMAND, self.wants[child].demand) for child in wanting
        }
        total = sum(demands.values())
        self._credits = {child: self._credits.get(child, 0.0) for child in self.wants}
        for child, demand in demands.items():
            self._credits[child] = min(1.0, self._credits[child] + demand / total)
        chosen = max(wanting, key=self._credits.__getitem__)
        self._credits[chosen] -= 1.0
        return chosen
