"""Metrics that are sent to a statsd daemon."""

from typing import Protocol

from statsd import StatsClient


class Metrics(Protocol):
    """Define the interface of a metrics client."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Increment a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Report a duration in milliseconds."""

    def gauge(self, stat: str, value: float) -> None:
        """Report the current value of a gauge."""


class NullMetrics:
    """Discard all metrics, if no statsd daemon is configured."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Do nothing."""

    def timing(self, stat: str, delta: float) -> None:
        """Do nothing."""

    def gauge(self, stat: str, value: float) -> None:
        """Do nothing."""


def make_metrics(address: str | None, host: str) -> Metrics:
    """Create a client for the statsd daemon at an address, or one that does nothing."""
    if address is None:
        return NullMetrics()
    ip, port = address.rsplit(":", 1)
    return StatsClient(ip, int(port), prefix=f"radishtally.{host}")
