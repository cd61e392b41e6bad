"""Schema of a gateway's settings file."""

from typing import Annotated

from msgspec import Meta

from radishtally.settings.config import SettingsSection, Text

PositiveSeconds = Annotated[float, Meta(gt=0, le=3_600)]
Milliseconds = Annotated[float, Meta(gt=0, le=3_600_000)]
Ratio = Annotated[float, Meta(ge=0, le=1)]


class Bounds(SettingsSection):
    """Hold the time limits and budgets that the deployment guarantees."""

    grace_seconds: PositiveSeconds
    """Time from the stop signal to the kill."""
    drain_ms: Milliseconds
    """Time for which a host may still be sent requests after its entry is removed."""
    lease_ms: Milliseconds
    """Minimum time between two holders of a lease."""
    retry_ratio: Ratio
    """Retries per request that all gateways together may make."""
    retry_slack: Annotated[float, Meta(ge=0)]
    """Retries that all gateways together may make in each window, independent of the
    number of requests."""
    retry_window_seconds: PositiveSeconds
    revocation_ms: Milliseconds | None = None
    """Time after which a key that was taken away must be refused even without a
    connection to the store; None if only gateways with one must refuse it."""


class UsageSettings(SettingsSection):
    """Configure the reports of the teams' requests to the platform."""

    api_address: Text
    """IP and port of the platform's API."""
    window_seconds: PositiveSeconds
    """Length of the windows of time that are reported one by one."""
    late_seconds: PositiveSeconds
    """Time after the end of a window until which its report is accepted."""


class GatewaySettings(SettingsSection):
    """Hold the settings of one gateway."""

    host: Text
    data_centre: Text
    cores: Annotated[float, Meta(gt=0, le=10_000)]
    """Speed of the machine's cores relative to a reference core."""
    core_share: Annotated[float, Meta(gt=0, le=10_000)]
    """Share of one of the machine's cores that the gateway may use."""
    address: Text
    """IP and port for callers."""
    ready_address: Text
    """IP and port of the balancer's readiness check."""
    metrics_address: Text
    """IP and port that serve the metrics."""
    peer_address: Text
    """IP and port for the other gateways."""
    store_address: Text
    """IP and port of the platform's store."""
    bounds: Bounds
    memory_mb: Annotated[float, Meta(gt=0, le=10_000_000)] = 160.0
    """Memory that the gateway may use. A share of it bounds the bodies that wait for
    slow hosts and callers."""
    usage: UsageSettings | None = None
    """None if no usage is to be reported."""
