"""Apply membership changes to the entry's links and its dispatch core."""

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

SEED_LINK_PREFIX: Final = "seed "
"""Prefix of the link name of a seed, whose host name is not known yet."""


class MembershipDriver:
    """Feed events to the membership of one entry and apply its changes."""

    def __init__(self, settings: Settings, hub: LinkHub, core: DispatchCore) -> None:
        self.membership = Membership()
        self._settings = settings
        self._hub = hub
        self._core = core

    def configure(self, configuration: Configuration) -> None:
        """Apply the hosts named in a configuration."""
        servers = tuple(
            membership.ConfiguredHost(host, server.place, name)
            for name, upstream in configuration.upstreams.items()
            for host, server in upstream.servers.items()
        )
        self._handle_event(membership.ConfigurationApplied(servers))
        self._refresh_all()

    def apply_host_list(self, hosts: list[ListedHost]) -> None:
        """Apply the platform's host list."""
        self._handle_event(membership.HostListRead(tuple(hosts)))
        self._refresh_all()

    def link_up(self, hello: Hello) -> None:
        """Record a new link."""
        self._handle_event(membership.LinkUp(hello.host, hello.incarnation))
        self._refresh(hello.host)

    def link_down(self, host: str) -> None:
        """Record the loss of a link."""
        self._handle_event(membership.LinkDown(host))

    def record_traffic(self, host: str) -> None:
        """Record that a message of a host arrived, which shows that it is alive."""
        self._handle_event(membership.TrafficReceived(host))

    def record_leave(self, host: str, reason: str) -> None:
        """Record a host's announcement that it leaves."""
        self._handle_event(membership.LeaveAnnounced(host, reason))

    def tick(self) -> None:
        """Run the periodic checks of the membership and dial the seeds if needed."""
        self._handle_event(membership.Tick())
        self._dial_seeds()

    def list_entries(self) -> dict[str, str]:
        """Return the place of each entry that is live in this entry's view."""
        found = {self._settings.host: self._settings.place}
        for host, member in self.membership.members.items():
            if member.upstream == ENTRY and member.state == LIVE:
                found[host] = member.place
        return found

    def _handle_event(self, event: object) -> None:
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
        """Update the link to a host and the core's record of it."""
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
        """Dial the seeds of the settings while no member has an address.

        A process that starts while the platform is unavailable has neither a
        configuration nor a host list; a seed sends it the configuration. Once members
        are listed they are dialled at their own addresses. The seed links then end,
        because two links to one host would replace each other again and again.
        """
        listed = any(m.address for m in self.membership.members.values())
        for address in self._settings.seeds:
            if listed:
                self._hub.stop_dialling(SEED_LINK_PREFIX + address)
            else:
                self._hub.dial(SEED_LINK_PREFIX + address, address)

    def _dial(self, host: str, upstream: str, address: str) -> None:
        address = self._settings.dial.get(host, address)
        if not address or host == self._settings.host:
            return
        # Two entries need only one link; the one with the smaller name dials.
        if upstream == ENTRY and host < self._settings.host:
            return
        self._hub.dial(host, address)
