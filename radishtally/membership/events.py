"""Events that the membership takes and changes that it gives."""

from typing import NamedTuple

from radishtally.store.core import ListedHost


class HostListRead(NamedTuple):
    """Bring the platform's list; empty where it could not be read."""

    hosts: tuple[ListedHost, ...]


class LinkUp(NamedTuple):
    """Say that a link to the host is up and its Hello was read."""

    host: str
    incarnation: str


class LinkDown(NamedTuple):
    """Say that a link to the host is gone."""

    host: str


class TrafficReceived(NamedTuple):
    """Say that something came in over a link of the host."""

    host: str


class LeaveAnnounced(NamedTuple):
    """Bring the host's own word that it takes no new work."""

    host: str
    reason: str
    incarnation: str = ""
    """Process that said so; empty if that is not known."""


class ConfiguredHost(NamedTuple):
    """Describe an upstream's host as configured."""

    host: str
    place: str
    upstream: str


class ConfigurationApplied(NamedTuple):
    """Say that a configuration is in force."""

    servers: tuple[ConfiguredHost, ...]


class PeerReport(NamedTuple):
    """Bring a peer's word on which hosts it can't reach."""

    peer: str
    unreachable: tuple[str, ...]


class Tick(NamedTuple):
    """Say that time has passed."""


class HostAdded(NamedTuple):
    """Say that a host became known."""

    host: str


class StateChanged(NamedTuple):
    """Say that a host's state changed."""

    host: str
    before: str
    after: str
    cause: str


class AddressChanged(NamedTuple):
    """Say that a host is listed under a new address."""

    host: str
    address: str


Change = HostAdded | StateChanged | AddressChanged
