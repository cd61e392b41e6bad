"""Network of gateways whose messages arrive at once, without links."""

from collections.abc import Callable
from typing import Any, Protocol

from radishtally.gateway.topology import Site, choose_dialled
from radishtally.links.kinds import Message


class Exchange(Protocol):
    """Define what a network needs of an exchange under test."""

    def set_sites(self, sites: dict[str, Site]) -> None:
        """Set the known gateways."""

    def handle_message(self, peer: str, message: Any) -> None:
        """Handle a message of a peer."""


class Hub:
    """Act as the link hub of one gateway."""

    def __init__(self, name: str, net: "Network") -> None:
        self._name = name
        self._net = net

    @property
    def hosts(self) -> list[str]:
        """Return the gateways to which links are up."""
        return self._net.find_linked(self._name)

    def send(self, peer: str, message: Message) -> bool:
        """Deliver a message if the link is up."""
        if peer not in self.hosts:
            return False
        self._net.sent += 1
        self._net.exchanges[peer].handle_message(self._name, message)
        return True


class Network:
    """Connect gateways as they dial each other."""

    def __init__(
        self,
        count: int,
        make_exchange: Callable[[str, Hub], Exchange],
        data_centres: int = 3,
    ) -> None:
        self.sites = {
            f"g-{number:02d}": Site(f"z-{number % data_centres}", 1.0)
            for number in range(count)
        }
        self.cut: set[str] = set()
        """Gateways without any link."""
        self.sent = 0
        self.exchanges = {
            name: make_exchange(name, Hub(name, self)) for name in self.sites
        }
        for exchange in self.exchanges.values():
            exchange.set_sites(self.sites)

    def find_linked(self, name: str) -> list[str]:
        """Return the gateways to which a gateway has links."""
        if name in self.cut:
            return []
        up = [other for other in self.sites if other not in self.cut]
        dials = {one: choose_dialled(self.sites, one, self.cut) for one in up}
        return [other for other in up if other in dials[name] or name in dials[other]]
