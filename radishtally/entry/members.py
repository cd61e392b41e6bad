"""Keep the entry's links and its core in step with the membership."""

import time
from typing import Final

from eliot import log_message

from radishtally.configuration.config import Configuration
from radishtally.links.hub import LinkHub
from radishtally.links.messages import Hello
from radishtally.membership import events as membership
from radishtally.membership.core import LIVE, Membership, handle
from radishtally.serving.core import DispatchCore
from radishtally.settings.config import Settings
from radishtally.store.core import ENTRY, ListedHost

SEED: Final = "seed "
"""Begins the name under which a seed is dialled before its host is known."""


class Members:
    """Drive the membership of one entry."""

    def __init__(self, settings: Settings, hub: LinkHub, core: DispatchCore) -> None:
        self.membership = Membership()
        self._settings = settings
        self._hub = hub
        self._core = core

    def configure(self, configuration: Configuration) -> None:
        """Take the hosts that a configuration names."""
        servers = tuple(
            membership.ConfiguredHost(host, server.place, name)
            for name, upstream in configuration.upstreams.items()
            for host, server in upstream.servers.items()
        )
        self._take(membership.ConfigurationApplied(servers))
        self._refresh_all()

    def listed(self, hosts: list[ListedHost]) -> None:
        """Take the platform's list."""
        self._take(membership.HostListRead(tuple(hosts)))
        self._refresh_all()

    def link_up(self, hello: Hello) -> None:
        """Take a new link."""
        self._take(membership.LinkUp(hello.host, hello.incarnation))
        self._refresh(hello.host)

    def link_down(self, host: str) -> None:
        """Take the loss of a link."""
        self._take(membership.LinkDown(host))

    def heard(self, host: str) -> None:
        """Take a sign of life."""
        self._take(membership.TrafficReceived(host))

    def left(self, host: str, reason: str) -> None:
        """Take a host's own word that it leaves."""
        self._take(membership.LeaveAnnounced(host, reason))

    def tick(self) -> None:
        """Let time pass."""
        self._take(membership.Tick())
        self._dial_seeds()

    def list_entries(self) -> dict[str, str]:
        """List the entries that are live as seen from here, with their places."""
        found = {self._settings.host: self._settings.place}
        for host, member in self.membership.members.items():
            if member.upstream == ENTRY and member.state == LIVE:
                found[host] = member.place
        return found

    def _take(self, event: object) -> None:
        for change in handle(event, self.membership, time.monotonic()):
            if isinstance(change, membership.StateChanged):
                log_message(
                    "member:changed",
                    member=change.host,
                    before=change.before,
                    after=change.after,
                    cause=change.cause,
                )
            self._refresh(change.host)

    def _refresh_all(self) -> None:
        for host in list(self.membership.members):
            self._refresh(host)

    def _refresh(self, host: str) -> None:
        """Bring the link and the core's view of one host up to date."""
        member = self.membership.members.get(host)
        if member is None:
            self._hub.stop_dialling(host)
            self._core.forget_host(host)
            return
        self._dial(host, member.upstream, member.address)
        if member.upstream in ("", ENTRY):
            return
        configured = self.membership.configured or {}
        live = member.state == LIVE and configured.get(host) == member.upstream
        self._core.set_host(host, member.place, member.upstream, live)

    def _dial_seeds(self) -> None:
        """Reach peers while the list shows nobody.

        A process that starts while the platform is away has neither configuration nor
        list; a peer of its settings gives it the configuration. Once others are listed
        their own addresses lead to them, and two links to one host would take turns.
        """
        listed = any(m.address for m in self.membership.members.values())
        for address in self._settings.seeds:
            if listed:
                self._hub.stop_dialling(SEED + address)
            else:
                self._hub.dial(SEED + address, address)

    def _dial(self, host: str, upstream: str, address: str) -> None:
        address = self._settings.dial.get(host, address)
        if not address or host == self._settings.host:
            return
        # Two entries need one link between them; the one whose name comes first dials.
        if upstream == ENTRY and host < self._settings.host:
            return
        self._hub.dial(host, address)
