"""Know for how long gateways have been out of reach."""

from collections.abc import Collection


class UnreachablePeers:
    """Follow which of the listed gateways no link is up to."""

    def __init__(self) -> None:
        self._unreachable_since: dict[str, float] = {}

    def update(
        self, names: Collection[str], linked: Collection[str], now: float
    ) -> None:
        """Take which gateways are listed, and to which of them links are up."""
        absent = set(names) - set(linked)
        self._unreachable_since = {
            name: self._unreachable_since.get(name, now) for name in absent
        }

    def list_unreachable_for(self, seconds: float, now: float) -> list[str]:
        """List those that have been out of reach for longer."""
        return [
            name
            for name, since in self._unreachable_since.items()
            if now - since > seconds
        ]
