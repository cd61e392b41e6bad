"""Model of gateways that share the limit of one host, in steps of virtual time."""

import random
from collections import defaultdict, deque
from typing import NamedTuple

from radishtally.gateway.limit_exchange import LimitExchange
from radishtally.gateway.topology import Site, choose_dialled, find_exchange_group
from radishtally.links.kinds import Message
from radishtally.serving.const import PERMIT_WAIT_SECONDS
from radishtally.serving.host_limits import HostLimits

HOST = "a"
STEP_SECONDS = 0.02
DELAY_STEPS = 1
"""Steps that a message takes."""
LINK_LOSS_SECONDS = 3.0
"""Time until a link to a gateway that is stalled or cut off is given up."""
TOLD_SECONDS = 0.5
"""Time after a gateway's first answer with the limit from which its requests count."""
WINDOW_SECONDS = 4.0


class Sent(NamedTuple):
    """Record a request that reached the host."""

    at: float
    gateway: str
    counts: bool
    """Whether the gateway is not excused by a start or a disturbance."""


class ModelGateway:
    """Run one gateway's exchange, and send its callers' requests."""

    def __init__(self, name: str, model: "LimitsModel") -> None:
        self.name = name
        self.limits = HostLimits()
        self.linked: list[str] = []
        self.started_at = model.now
        self.exchange = LimitExchange(
            name, self.limits, lambda peer, message: model.send(name, peer, message)
        )
        self.is_stalled = False
        self.cut_since: float | None = None
        self.waiting: deque[tuple[str, float]] = deque()
        """Requests that wait for a permit, and until when."""

    def is_disturbed(self) -> bool:
        """Return whether the gateway is stalled or cut off from the others."""
        return self.is_stalled or self.cut_since is not None


class LimitsModel:
    """Advance the gateways, their links and the host."""

    def __init__(
        self, count: int, data_centres: int, limit: float, seed: int = 0
    ) -> None:
        self.random = random.Random(seed)
        self.step = 0
        self.limit = limit
        self.sites = {
            f"g-{number:03}": Site(f"z-{number % data_centres}", 1.0)
            for number in range(count)
        }
        self.messages = 0
        self._in_transit: deque[tuple[int, str, str, Message]] = deque()
        self.sent: list[Sent] = []
        self.wanted: list[float] = []
        """Times of the requests that callers made."""
        self.excused: dict[str, float] = defaultdict(lambda: float("-inf"))
        """Times until which the requests of a gateway don't count."""
        self.gateways = {name: ModelGateway(name, self) for name in self.sites}
        for gateway in self.gateways.values():
            gateway.exchange.set_sites(self.sites)
        self.relink()

    @property
    def now(self) -> float:
        """Return the time in seconds."""
        return self.step * STEP_SECONDS

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Send a message over a link."""
        self.messages += 1
        self._in_transit.append((self.step + DELAY_STEPS, sender, receiver, message))

    def relink(self) -> None:
        """Update the links: gateways that are gone or disturbed for long have none."""
        gone = {
            name
            for name in self.sites
            if name not in self.gateways or self._is_given_up(self.gateways[name])
        }
        linked: dict[str, set[str]] = {name: set() for name in self.sites}
        for one in self.sites.keys() - gone:
            for other in set(choose_dialled(self.sites, one, gone)) - gone:
                linked[one].add(other)
                linked[other].add(one)
        for name, gateway in self.gateways.items():
            old, gateway.linked = set(gateway.linked), sorted(linked[name])
            group = find_exchange_group(self.sites, name, gateway.linked)
            gateway.exchange.update_group(group, gateway.linked)
            for peer in linked[name] - old:
                if peer in group.recipients:
                    gateway.exchange.handle_link_up(peer)

    def _is_given_up(self, gateway: ModelGateway) -> bool:
        since = gateway.cut_since
        return since is not None and self.now >= since + LINK_LOSS_SECONDS

    def kill(self, name: str) -> None:
        """Kill a gateway; its connections are reset."""
        self.gateways.pop(name, None)
        self.relink()

    def start(self, name: str) -> None:
        """Start a gateway anew, which has read the list of gateways."""
        self.gateways[name] = ModelGateway(name, self)
        self.gateways[name].exchange.set_sites(self.sites)
        self.excused[name] = self.now
        self.relink()

    def disturb(self, name: str, is_stalled: bool) -> None:
        """Stall a gateway, or cut it off from the others but not from the host."""
        self.gateways[name].is_stalled = is_stalled
        self.gateways[name].cut_since = self.now

    def heal(self, name: str) -> None:
        """End the disturbance of a gateway."""
        gateway = self.gateways[name]
        gateway.is_stalled, gateway.cut_since = False, None
        self.excused[name] = self.now
        self.relink()

    def advance(self, demands: dict[str, float]) -> None:
        """Advance one step, with each gateway's callers' requests a second."""
        self.step += 1
        while self._in_transit and self._in_transit[0][0] <= self.step:
            _, sender, receiver, message = self._in_transit.popleft()
            ends = self.gateways.get(sender), self.gateways.get(receiver)
            if None in ends or any(end.is_disturbed() for end in ends):
                continue
            if sender in ends[1].exchange._group.recipients:
                ends[1].exchange.handle_message(sender, message, self.now)
        if any(self._is_given_up(one) for one in self.gateways.values()):
            self.relink()
        for gateway in self.gateways.values():
            if not gateway.is_stalled:
                self._serve(gateway, demands.get(gateway.name, 0.0))
                gateway.exchange.run_round(self.now)

    def _serve(self, gateway: ModelGateway, demand: float) -> None:
        expected = demand * STEP_SECONDS
        count = int(expected) + (self.random.random() < expected % 1.0)
        for _ in range(count):
            self.wanted.append(self.now)
            gateway.limits.record_demand(HOST, self.now)
            if gateway.limits.allows(HOST, self.now):
                self._send_request(gateway)
            elif gateway.limits.has_room_to_wait([HOST], PERMIT_WAIT_SECONDS):
                name, until = f"r-{len(self.wanted)}", self.now + PERMIT_WAIT_SECONDS
                gateway.limits.add_waiter(HOST, name, until)
                gateway.waiting.append((name, until))
        while gateway.waiting and gateway.limits.allows(HOST, self.now):
            name, _ = gateway.waiting.popleft()
            gateway.limits.remove_waiter(name)
            self._send_request(gateway)
        while gateway.waiting and gateway.waiting[0][1] <= self.now:
            gateway.waiting.popleft()

    def _send_request(self, gateway: ModelGateway) -> None:
        gateway.limits.use(HOST, self.now)
        counts = self.now >= self.excused[gateway.name] + TOLD_SECONDS
        counts = counts and not gateway.is_disturbed()
        self.sent.append(Sent(self.now, gateway.name, counts))
        gateway.limits.record_answer(HOST, self.limit, self.now, self.now)

    def list_counted(self) -> list[float]:
        """List the times of requests of gateways that are not excused."""
        return [one.at for one in self.sent if one.counts]


def count_most(times: list[float], since: float) -> int:
    """Return the most of these times in any window that begins at a time or later."""
    times = [at for at in times if at >= since]
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most
