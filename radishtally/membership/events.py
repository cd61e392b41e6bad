"""Events that the membership handles and changes that it returns."""

from typing import NamedTuple

from radishtally.store.core import ListedHost


class HostListRead(NamedTuple):
    """Event: the platform's host list was read; empty if it could not be read."""

    hosts: tuple[ListedHost, ...]


class LinkUp(NamedTuple):
    """Event: a link to the host is up and its Hello was received."""

    host: str
    incarnation: str


class LinkDown(NamedTuple):
    """Event: a link to the host has closed."""

    host: str


class TrafficReceived(NamedTuple):
    """Event: data arrived over a link of the host."""

    host: str


class LeaveAnnounced(NamedTuple):
    """Event: the host has announced that it accepts no new work."""

    host: str
    reason: str
    incarnation: str = ""
    """Process that announced it; empty if unknown."""


class ConfiguredHost(NamedTuple):
    """Represent a host of an upstream in the configuration."""

    host: str
    place: str
    upstream: str


class ConfigurationApplied(NamedTuple):
    """Event: a configuration has come into force."""

    servers: tuple[ConfiguredHost, ...]


class PeerReport(NamedTuple):
    """Event: a peer has reported the hosts that it can't reach."""

    peer: str
    unreachable: tuple[str, ...]


class Tick(NamedTuple):
    """Event: time has passed."""


class HostAdded(NamedTuple):
    """Change: a host was added."""

    host: str


class StateChanged(NamedTuple):
    """Change: a host moved from one state to another."""

    host: str
    before: str
    after: str
    cause: str


class AddressChanged(NamedTuple):
    """Change: a host is listed under a new address."""

    host: str
    address: str


Change = HostAdded | StateChanged | AddressChanged
