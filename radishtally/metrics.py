"""Send metrics by statsd."""

from typing import Protocol

from statsd import StatsClient


class Metrics(Protocol):
    """Count, time and gauge."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Count events."""

    def timing(self, stat: str, delta: float) -> None:
        """Report a time in milliseconds."""

    def gauge(self, stat: str, value: float) -> None:
        """Report a level."""


class NoMetrics:
    """Stand where no statsd daemon is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Count nothing."""

    def timing(self, stat: str, delta: float) -> None:
        """Report nothing."""

    def gauge(self, stat: str, value: float) -> None:
        """Report nothing."""


def make_metrics(address: str | None, host: str) -> Metrics:
    """Make the client for the statsd daemon at an address, if there is one."""
    if address is None:
        return NoMetrics()
    ip, port = address.rsplit(":", 1)
    return StatsClient(ip, int(port), prefix=f"radishtally.{host}")
