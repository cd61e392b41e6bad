"""Share the permits of hosts that have named a limit between the gateways.

One gateway issues a host's permits. Few gateways ask it directly; of many, each asks
the collector of its data centre, and the collectors ask one of them, so that messages
grow linearly with the number of gateways.
"""

from collections.abc import Callable, Collection
from typing import Final

from eliot import log_message

from radishtally.gateway.const import DEFAULT_GATEWAY_COUNT
from radishtally.gateway.topology import (
    ExchangeGroup,
    Sites,
    find_first_reachable,
    is_mesh,
    list_data_centres,
    list_gateways_in,
)
from radishtally.limits.shares import PermitIssuer, Want
from radishtally.links.gateway_messages import (
    HostLimited,
    PermitsGranted,
    PermitsWanted,
)
from radishtally.links.kinds import Message
from radishtally.serving.host_limits import HostLimits

LIMIT_MESSAGES: Final = HostLimited | PermitsWanted | PermitsGranted
MESH_TRANSIT_SECONDS: Final = 0.1
"""Longest time from the issue of a permit until the gateway that uses it has it."""
COLLECTOR_TRANSIT_SECONDS: Final = 0.2
"""The same with two collectors between them."""
LOST_SECONDS: Final = 10.0
"""Time for which a gateway that is out of reach may still use its share: it may be cut
off from the others only, and have hosts within reach."""
WANT_REFRESH_SECONDS: Final = 0.3
"""Longest interval between two messages about the same wanted permits."""


class LimitExchange:
    """Issue, pass on and return permits, in rounds."""

    def __init__(
        self,
        own_name: str,
        limits: HostLimits,
        send: Callable[[str, Message], object],
        find_start: Callable[[str], int] = lambda host: 0,
        on_permits: Callable[[str], None] = lambda host: None,
    ) -> None:
        self._own_name = own_name
        self._limits = limits
        self._send = send
        self._find_start = find_start
        """Returns the start time of a host's current start; 0 if it is unknown."""
        self._on_permits = on_permits
        """Called with a host for which permits have been received."""
        self._sites: Sites | None = None
        """The listed gateways; None until they have been read."""
        self._group = ExchangeGroup()
        self._linked: Collection[str] = ()
        self._parent: str | None = None
        """Gateway to ask for permits; None if this one issues them."""
        self._transit = MESH_TRANSIT_SECONDS
        self._lost_since: dict[str, float] = {}
        """Gateways and data centres out of reach, and since when."""
        self._issuers: dict[str, tuple[float, PermitIssuer]] = {}
        """Limit that each issuer has, and the issuer, by host."""
        self._sent: dict[str, tuple[int, float]] = {}
        """Permits that were last asked for, and when, by host."""

    def set_sites(self, sites: Sites) -> None:
        """Set the listed gateways, including this one."""
        self._sites = sites

    def update_group(self, group: ExchangeGroup, linked: Collection[str]) -> None:
        """Set the peers to exchange with; a new parent gets all wants anew."""
        self._group, self._linked = group, linked
        parent = self._find_parent()
        for host in self._limits.list_hosts():
            wants = self._limits.find_pool(host).wants
            for child in wants.keys() - {"", *group.recipients}:
                del wants[child]
        if parent == self._parent:
            return
        self._parent = parent
        self._issuers.clear()
        self._sent.clear()
        if self._limits:
            log_message("limits:parent", parent=parent)

    def _find_parent(self) -> str | None:
        sites = self._sites
        if sites is None:
            return None
        if is_mesh(sites):
            self._transit = MESH_TRANSIT_SECONDS
            found = find_first_reachable(sorted(sites), self._own_name, self._linked)
            return None if found == self._own_name else found
        self._transit = COLLECTOR_TRANSIT_SECONDS
        if self._group.collector != self._own_name:
            return self._group.collector
        first = min([self._own_name, *self._group.collectors])
        return None if first == self._own_name else first

    def _find_share(self, now: float) -> float:
        """Return the share of the limits that this gateway may issue permits for.

        What is out of reach may have an issuer of its own: for a while other gateways
        of a mesh, or other data centres, and always gateways of the data centre, of
        which one that is gone for good makes little difference.
        """
        if self._sites is None:
            return 1.0 / DEFAULT_GATEWAY_COUNT
        if is_mesh(self._sites):
            expected = self._sites.keys() - {self._own_name}
            return self._find_present_share(expected, expected & set(self._linked), now)
        own = self._sites[self._own_name].data_centre
        members = list_gateways_in(self._sites, own)
        expected = set(list_data_centres(self._sites)) - {own}
        reached = {
            self._sites[name].data_centre
            for name in self._group.collectors
            if name in self._sites
        }
        present = 1 + len(self._group.members)
        share = self._find_present_share(expected, reached, now)
        return share * min(1.0, present / len(members))

    def _find_present_share(
        self, expected: Collection[str], reached: Collection[str], now: float
    ) -> float:
        """Return the share of what is within reach, and what was not lost long ago."""
        lost = set(expected) - set(reached)
        self._lost_since = {name: self._lost_since.get(name, now) for name in lost}
        recent = [now < since + LOST_SECONDS for since in self._lost_since.values()]
        present = 1 + len(reached)
        return present / (present + sum(recent))

    def is_active(self) -> bool:
        """Return whether any host has a limit."""
        return bool(self._limits)

    def handle_link_up(self, peer: str) -> None:
        """Tell a gateway whose link has come up of all limits."""
        for host in self._limits.list_hosts():
            self._send(peer, self._describe(host, self._limits.get_limit(host)))

    def handle_message(self, peer: str, message: LIMIT_MESSAGES, now: float) -> None:
        """Handle a message of a peer of the group."""
        host = message.host
        known, told = self._find_start(host), message.start
        if known and told and known != told:
            return
        if isinstance(message, HostLimited):
            self._handle_limited(peer, message, now)
            return
        pool = self._limits.find_pool(host)
        if pool is None:
            return
        if isinstance(message, PermitsWanted):
            pool.wants[peer] = Want(message.count, message.demand, now)
            pool.unused += message.unused
            if self._parent is None:
                self._issue(host, self._find_share(now), now)
        elif peer == self._parent:
            self._distribute(host, message.count, now)

    def _handle_limited(self, peer: str, message: HostLimited, now: float) -> None:
        is_news = self._limits.get_limit(message.host) != message.limit
        self._limits.record_told(message.host, message.limit, now)
        if is_news and self._group.collector == self._own_name:
            for other in self._group.recipients:
                if other != peer:
                    self._send(other, message)

    def run_round(self, now: float) -> None:
        """Tell the peers of changed limits, and issue or ask for permits."""
        limits = self._limits
        limits.expire(now)
        for host, limit in limits.pop_changed().items():
            log_message("upstream:limit", upstream_host=host, limit=limit)
            for peer in self._group.recipients:
                self._send(peer, self._describe(host, limit))
        hosts = limits.list_hosts()
        if not hosts:
            self._issuers.clear()
            return
        share = self._find_share(now) if self._parent is None else 0.0
        for host in hosts:
            pool = limits.find_pool(host)
            pool.update_own_want(now)
            if self._parent is None:
                self._issue(host, share, now)
            else:
                self._ask(host, now)

    def _issue(self, host: str, share: float, now: float) -> None:
        pool = self._limits.find_pool(host)
        limit = pool.limit * share
        known, issuer = self._issuers.get(host, (0.0, None))
        if issuer is None:
            issuer = PermitIssuer(limit, now, self._transit)
        elif limit != known:
            issuer.change_limit(limit, now)
        self._issuers[host] = limit, issuer
        issuer.take_back(pool.unused, now)
        pool.unused = 0
        self._distribute(host, issuer.issue(pool.sum_wants(now).count, now), now)

    def _ask(self, host: str, now: float) -> None:
        pool = self._limits.find_pool(host)
        want = pool.sum_wants(now)
        count, sent_at = self._sent.get(host, (0, float("-inf")))
        is_due = want.count > 0 and now >= sent_at + WANT_REFRESH_SECONDS
        if want.count == count and not pool.unused and not is_due:
            return
        self._sent[host] = want.count, now
        start = self._find_start(host)
        message = PermitsWanted(host, start, want.count, want.demand, pool.unused)
        pool.unused = 0
        self._send(self._parent, message)

    def _distribute(self, host: str, count: int, now: float) -> None:
        pool = self._limits.find_pool(host)
        held = len(pool.held)
        given = pool.distribute(count, now)
        for peer, permits in given.items():
            start = self._find_start(host)
            self._send(peer, PermitsGranted(host, start, permits))
        if len(pool.held) > held:
            self._on_permits(host)

    def _describe(self, host: str, limit: float) -> HostLimited:
        return HostLimited(host, self._find_start(host), limit)
