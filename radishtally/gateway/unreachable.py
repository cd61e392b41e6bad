"""Track for how long other gateways have been unreachable."""

from collections.abc import Collection


class UnreachablePeers:
    """Track the listed gateways that have no open link."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def update(
        self, names: Collection[str], linked: Collection[str], now: float
    ) -> None:
        """Update from the listed gateways and those that have an open link."""
        absent = set(names) - set(linked)
        self._since = {name: self._since.get(name, now) for name in absent}

    def list_unreachable_for(self, seconds: float, now: float) -> list[str]:
        """List the gateways that have been unreachable for longer than this."""
        return [name for name, since in self._since.items() if now - since > seconds]
