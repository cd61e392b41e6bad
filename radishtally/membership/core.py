"""Track the hosts and derive the state of each from the host list and the links."""

from collections.abc import Iterable, Mapping
from functools import singledispatch
from typing import Final

from radishtally.membership.events import (
    AddressChanged,
    Change,
    ConfigurationApplied,
    ConfiguredHost,
    HostAdded,
    HostListRead,
    LeaveAnnounced,
    LinkDown,
    LinkUp,
    PeerReport,
    StateChanged,
    Tick,
    TrafficReceived,
)
from radishtally.store.core import ENTRY, ListedHost
from radishtally.store.core import LEAVING as LISTED_LEAVING

LIVE: Final = "live"
LEAVING: Final = "leaving"
UNREACHABLE: Final = "unreachable"
"""No link from this process; other processes may still reach the host."""
GONE: Final = "gone"

LINK_SILENCE_TIMEOUT_SECONDS: Final = 120.0
"""Silence after which the membership treats a link as down. A link itself detects a
failure much sooner and closes. With very many links, the heartbeats of idle ones are
this far apart."""
UNLISTED_GRACE_SECONDS: Final = 30.0
"""Time for which a host without a link must be missing from the host list before it is
removed. A host that has announced that it leaves is removed without this delay."""
MAX_LIST_LAG_SECONDS: Final = 15.0
"""Maximum staleness of the host list."""
PEER_REPORT_TTL_SECONDS: Final = 30.0
"""Age up to which a peer's report counts."""


class FaultLocation:
    """Classify where the fault lies if this process can't reach a host."""

    LOCAL: Final = "ours"
    REMOTE: Final = "theirs"
    UNCLEAR: Final = "unclear"


class Member:
    """Track the state of one host."""

    __slots__ = (
        "address",
        "heard_at",
        "incarnation",
        "left_incarnation",
        "links",
        "listed_leaving",
        "place",
        "state",
        "ignore_listed_leaving_until",
        "unlisted_since",
        "upstream",
    )

    def __init__(self, place: str, upstream: str, address: str) -> None:
        self.place = place
        self.upstream = upstream
        self.address = address
        self.state = UNREACHABLE
        self.incarnation = ""
        self.left_incarnation: str | None = None
        """Incarnation that announced that it leaves."""
        self.links = 0
        """Open links; a new one may open before the old one is found to be closed."""
        self.heard_at = 0.0
        """Time at which a link to the host opened or data from it last arrived."""
        self.listed_leaving = False
        self.ignore_listed_leaving_until = 0.0
        """Until then, listed leaving may still refer to the previous incarnation."""
        self.unlisted_since: float | None = None
        """Since when the host is missing from the host list; None if it is listed."""

    def is_reachable(self, now: float) -> bool:
        """Return whether a link is up and not silent."""
        return self.links > 0 and now - self.heard_at < LINK_SILENCE_TIMEOUT_SECONDS

    def is_leaving(self, now: float) -> bool:
        """Return whether the host accepts no new work."""
        if self.left_incarnation is not None:
            return True
        return self.listed_leaving and now >= self.ignore_listed_leaving_until

    def is_gone(self, now: float) -> bool:
        """Return whether the host may be removed."""
        if self.unlisted_since is None:
            return False
        if self.is_reachable(now):
            return False
        return (
            self.left_incarnation is not None
            or now - self.unlisted_since >= UNLISTED_GRACE_SECONDS
        )

    def find_state(self, now: float) -> str:
        """Derive the host's state."""
        if self.is_gone(now):
            return GONE
        if self.is_leaving(now):
            return LEAVING
        return LIVE if self.is_reachable(now) else UNREACHABLE


class Membership:
    """Track the state of all hosts."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.configured: dict[str, str] | None = None
        """Upstream by host; None until a configuration is known."""
        self._peer_reports: dict[str, tuple[float, frozenset[str]]] = {}

    def find_usable(self, now: float, upstream: str | None = None) -> set[str]:
        """Find the hosts that may be given work, of one upstream or of all."""
        return {
            host
            for host, member in self.members.items()
            if (upstream is None or member.upstream == upstream)
            and member.find_state(now) == LIVE
            and self._is_configured(host, member)
        }

    def list_unreachable(self, now: float) -> tuple[str, ...]:
        """List the hosts unreachable from this process, to report them to peers."""
        return tuple(
            host
            for host, member in self.members.items()
            if member.find_state(now) == UNREACHABLE
        )

    def locate_fault(self, host: str, now: float) -> str:
        """Decide by a majority of peer reports whether the fault is local or remote."""
        reports = [
            unreachable
            for at, unreachable in self._peer_reports.values()
            if now - at < PEER_REPORT_TTL_SECONDS
        ]
        confirming = sum(host in unreachable for unreachable in reports)
        if 2 * confirming < len(reports):
            return FaultLocation.LOCAL
        if 2 * confirming > len(reports):
            return FaultLocation.REMOTE
        return FaultLocation.UNCLEAR

    def record_peer_report(self, report: PeerReport, now: float) -> None:
        """Record a peer's report and drop expired ones."""
        self._peer_reports[report.peer] = (now, frozenset(report.unreachable))
        for peer, (at, _) in list(self._peer_reports.items()):
            if now - at >= PEER_REPORT_TTL_SECONDS:
                del self._peer_reports[peer]

    def refresh(self, hosts: Iterable[str], cause: str, now: float) -> list[Change]:
        """Recompute the states of these hosts and return the changes."""
        changes: list[Change] = []
        for host in hosts:
            member = self.members[host]
            before, after = member.state, member.find_state(now)
            if before == after:
                continue
            member.state = after
            changes.append(StateChanged(host, before, after, cause))
            if after == GONE:
                del self.members[host]
        return changes

    def _is_configured(self, host: str, member: Member) -> bool:
        if self.configured is None or member.upstream == ENTRY:
            return True
        return self.configured.get(host) == member.upstream


@singledispatch
def handle(event: object, membership: Membership, now: float) -> list[Change]:
    """Handle one event and return the resulting changes."""
    raise TypeError(f"unknown event: {type(event).__name__}")


@handle.register
def _(event: HostListRead, membership: Membership, now: float) -> list[Change]:
    # An unreadable or empty list says nothing about the hosts. Applying it would empty
    # every pool at once. While it is ignored, the links still show which hosts exist.
    if not event.hosts:
        return []
    listed = {item.host: item for item in event.hosts}
    changes: list[Change] = []
    for item in listed.values():
        changes.extend(apply_listed_host(item, membership))
    for host, member in membership.members.items():
        if host in listed:
            member.unlisted_since = None
        elif member.unlisted_since is None:
            member.unlisted_since = now
    changes.extend(membership.refresh(list(membership.members), "host list", now))
    return changes


@handle.register
def _(event: LinkUp, membership: Membership, now: float) -> list[Change]:
    changes: list[Change] = []
    if event.host not in membership.members:
        # The list is stale: the host is up before it is listed.
        changes.append(add_unlisted_host(event.host, membership, now))
    member = membership.members[event.host]
    if event.incarnation != member.incarnation:
        start_incarnation(member, event.incarnation, now)
    member.links += 1
    member.heard_at = now
    changes.extend(membership.refresh([event.host], "link up", now))
    return changes


@handle.register
def _(event: LinkDown, membership: Membership, now: float) -> list[Change]:
    member = membership.members.get(event.host)
    if member is None:
        return []
    member.links = max(0, member.links - 1)
    return membership.refresh([event.host], "link down", now)


@handle.register
def _(event: TrafficReceived, membership: Membership, now: float) -> list[Change]:
    member = membership.members.get(event.host)
    if member is None:
        return []
    member.heard_at = now
    return membership.refresh([event.host], "traffic resumed", now)


@handle.register
def _(event: LeaveAnnounced, membership: Membership, now: float) -> list[Change]:
    member = membership.members.get(event.host)
    if member is None:
        return []
    # A late announcement from an old link is about the previous incarnation.
    if event.incarnation and event.incarnation != member.incarnation:
        return []
    # The list may show the host as live for some more seconds. The process's own
    # announcement takes precedence, and only a new incarnation revokes it.
    member.left_incarnation = member.incarnation
    member.heard_at = now
    return membership.refresh(
        [event.host], f"announced that it leaves: {event.reason}", now
    )


@handle.register
def _(event: ConfigurationApplied, membership: Membership, now: float) -> list[Change]:
    membership.configured = {item.host: item.upstream for item in event.servers}
    fill_missing_upstreams({item.host: item for item in event.servers}, membership)
    return []


@handle.register
def _(event: PeerReport, membership: Membership, now: float) -> list[Change]:
    # The peer itself may be cut off, so its report never takes a host out of use here.
    membership.record_peer_report(event, now)
    return []


@handle.register
def _(event: Tick, membership: Membership, now: float) -> list[Change]:
    return membership.refresh(list(membership.members), "silence", now)


def apply_listed_host(item: ListedHost, membership: Membership) -> list[Change]:
    """Apply one entry of the host list."""
    changes: list[Change] = []
    member = membership.members.get(item.host)
    if member is None:
        member = Member(item.place, item.upstream, item.address)
        membership.members[item.host] = member
        changes.append(HostAdded(item.host))
    if item.address != member.address:
        changes.append(AddressChanged(item.host, item.address))
    member.place = item.place
    member.upstream = item.upstream
    member.address = item.address
    member.listed_leaving = item.state == LISTED_LEAVING
    return changes


def add_unlisted_host(host: str, membership: Membership, now: float) -> HostAdded:
    """Add a host that is not listed yet."""
    member = Member("", "", "")
    member.unlisted_since = now
    membership.members[host] = member
    if membership.configured is not None and host in membership.configured:
        member.upstream = membership.configured[host]
    return HostAdded(host)


def start_incarnation(member: Member, incarnation: str, now: float) -> None:
    """Reset what the host's previous incarnation announced."""
    restarted = member.incarnation != ""
    member.incarnation = incarnation
    member.left_incarnation = None
    # The list may still show the previous incarnation as leaving. Its leaving state is
    # ignored for the maximum staleness of the list; later lists show the new one.
    if restarted:
        member.ignore_listed_leaving_until = now + MAX_LIST_LAG_SECONDS


def fill_missing_upstreams(
    servers: Mapping[str, ConfiguredHost], membership: Membership
) -> None:
    """Fill in place and upstream of hosts that have not been listed yet."""
    for host, member in membership.members.items():
        server = servers.get(host)
        if server is None or member.upstream:
            continue
        member.place = server.place
        member.upstream = server.upstream
