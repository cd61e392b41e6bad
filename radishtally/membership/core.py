"""What this process knows about the hosts, and what it makes of it."""

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
"""Cut off from here; others may well use the host."""
GONE: Final = "gone"

SILENT_SECONDS: Final = 120.0
"""Silence after which a link counts as dead here. A link itself finds out much sooner
and goes down; with very many links the heartbeats of idle ones are this far apart."""
UNLISTED_SECONDS: Final = 30.0
"""Time off the list after which a host without a link is gone."""
LIST_LAG_SECONDS: Final = 15.0
"""Longest time that the list may be behind."""
WORD_SECONDS: Final = 30.0
"""Age up to which a peer's word counts."""


class FaultLocation:
    """Tell whose fault it is that a host is out of reach."""

    LOCAL: Final = "ours"
    REMOTE: Final = "theirs"
    UNCLEAR: Final = "unclear"


class Member:
    """Hold what is known about one host."""

    __slots__ = (
        "address",
        "heard_at",
        "incarnation",
        "left",
        "links",
        "listed_leaving",
        "place",
        "state",
        "trusted_until",
        "unlisted_since",
        "upstream",
    )

    def __init__(self, place: str, upstream: str, address: str) -> None:
        self.place = place
        self.upstream = upstream
        self.address = address
        self.state = UNREACHABLE
        self.incarnation = ""
        self.left: str | None = None
        """Incarnation that said it leaves."""
        self.links = 0
        """Links that are up: a new one may come before the old one is seen to go."""
        self.heard_at = 0.0
        self.listed_leaving = False
        self.trusted_until = 0.0
        """Until then the list's leaving may mean the predecessor."""
        self.unlisted_since: float | None = None

    def is_reachable(self, now: float) -> bool:
        """Tell whether a link is up and not silent."""
        return self.links > 0 and now - self.heard_at < SILENT_SECONDS

    def is_leaving(self, now: float) -> bool:
        """Tell whether the host takes no new work."""
        if self.left is not None:
            return True
        return self.listed_leaving and now >= self.trusted_until

    def is_gone(self, now: float) -> bool:
        """Tell whether the host may be forgotten."""
        if self.unlisted_since is None:
            return False
        if self.is_reachable(now):
            return False
        return self.left is not None or now - self.unlisted_since >= UNLISTED_SECONDS

    def find_state(self, now: float) -> str:
        """Work the state out of what is known."""
        if self.is_gone(now):
            return GONE
        if self.is_leaving(now):
            return LEAVING
        return LIVE if self.is_reachable(now) else UNREACHABLE


class Membership:
    """Hold what is known about all hosts."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.configured: dict[str, str] | None = None
        """Upstream by host, once a configuration is known."""
        self._words: dict[str, tuple[float, frozenset[str]]] = {}

    def find_usable(self, now: float, upstream: str | None = None) -> set[str]:
        """Find the hosts that may be offered work, of one upstream or of all."""
        return {
            host
            for host, member in self.members.items()
            if (upstream is None or member.upstream == upstream)
            and member.find_state(now) == LIVE
            and self._is_configured(host, member)
        }

    def list_unreachable(self, now: float) -> tuple[str, ...]:
        """List the hosts that are cut off from here, to tell the peers."""
        return tuple(
            host
            for host, member in self.members.items()
            if member.find_state(now) == UNREACHABLE
        )

    def locate_fault(self, host: str, now: float) -> str:
        """Tell by the peers' words whether it is our link or the host that is down."""
        words = [said for at, said in self._words.values() if now - at < WORD_SECONDS]
        cut_off = sum(host in said for said in words)
        if 2 * cut_off < len(words):
            return FaultLocation.LOCAL
        if 2 * cut_off > len(words):
            return FaultLocation.REMOTE
        return FaultLocation.UNCLEAR

    def note_word(self, word: PeerReport, now: float) -> None:
        """Remember a peer's word."""
        self._words[word.peer] = (now, frozenset(word.unreachable))
        for peer, (at, _) in list(self._words.items()):
            if now - at >= WORD_SECONDS:
                del self._words[peer]

    def refresh(self, hosts: Iterable[str], cause: str, now: float) -> list[Change]:
        """Work out the states anew and return those that changed."""
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
    """Take in one event and return what it changed."""
    raise TypeError(f"unknown event: {type(event).__name__}")


@handle.register
def _(event: HostListRead, membership: Membership, now: float) -> list[Change]:
    # A list that can't be read or is empty says nothing about the hosts. Taken at its
    # word it would empty every pool at once; kept, the links still show who is there.
    if not event.hosts:
        return []
    listed = {item.host: item for item in event.hosts}
    changes: list[Change] = []
    for item in listed.values():
        changes.extend(take_listed(item, membership))
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
        # The list lags: the host is there before it is listed.
        changes.append(add_unlisted(event.host, membership, now))
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
    return membership.refresh([event.host], "heard again", now)


@handle.register
def _(event: LeaveAnnounced, membership: Membership, now: float) -> list[Change]:
    member = membership.members.get(event.host)
    if member is None:
        return []
    # Read late from an old link, the predecessor's word would hold for its successor.
    if event.incarnation and event.incarnation != member.incarnation:
        return []
    # The list goes on showing the host as live for some seconds. The process itself
    # knows better, and only its successor can take the word back.
    member.left = member.incarnation
    member.heard_at = now
    return membership.refresh([event.host], f"said it leaves: {event.reason}", now)


@handle.register
def _(event: ConfigurationApplied, membership: Membership, now: float) -> list[Change]:
    membership.configured = {item.host: item.upstream for item in event.servers}
    fill_in({item.host: item for item in event.servers}, membership)
    return []


@handle.register
def _(event: PeerReport, membership: Membership, now: float) -> list[Change]:
    # A peer may be cut off itself: its word never takes a host out of use here.
    membership.note_word(event, now)
    return []


@handle.register
def _(event: Tick, membership: Membership, now: float) -> list[Change]:
    return membership.refresh(list(membership.members), "silence", now)


def take_listed(item: ListedHost, membership: Membership) -> list[Change]:
    """Take over a line of the list."""
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


def add_unlisted(host: str, membership: Membership, now: float) -> HostAdded:
    """Add a host that is not on the list yet."""
    member = Member("", "", "")
    member.unlisted_since = now
    membership.members[host] = member
    if membership.configured is not None and host in membership.configured:
        member.upstream = membership.configured[host]
    return HostAdded(host)


def start_incarnation(member: Member, incarnation: str, now: float) -> None:
    """Forget what the host's former process said."""
    restarted = member.incarnation != ""
    member.incarnation = incarnation
    member.left = None
    # The list may still show the former process as leaving. It is not believed for as
    # long as it can lag; what it still says then is about the new process.
    if restarted:
        member.trusted_until = now + LIST_LAG_SECONDS


def fill_in(servers: Mapping[str, ConfiguredHost], membership: Membership) -> None:
    """Give place and upstream to hosts that no list has described yet."""
    for host, member in membership.members.items():
        server = servers.get(host)
        if server is None or member.upstream:
            continue
        member.place = server.place
        member.upstream = server.upstream
