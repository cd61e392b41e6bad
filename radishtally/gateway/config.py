"""Schema of a gateway's settings file."""

from typing import Annotated

from msgspec import Meta

from radishtally.settings.config import SettingsSection, Text

PositiveSeconds = Annotated[float, Meta(gt=0, le=3_600)]
Milliseconds = Annotated[float, Meta(gt=0, le=3_600_000)]
Ratio = Annotated[float, Meta(ge=0, le=1)]


class Bounds(SettingsSection):
    """Hold what the deployment promises of its times and budgets."""

    grace_seconds: PositiveSeconds
    """Time from the request to stop to the kill."""
    drain_ms: Milliseconds
    """Time for which a host may still be sent requests after its entry is gone."""
    lease_ms: Milliseconds
    """Time for which two holders of a lease must not take turns."""
    retry_ratio: Ratio
    """Attempts beyond the first that all gateways together may make for a request."""
    retry_slack: Annotated[float, Meta(ge=0)]
    """Such attempts that they may make within the window whatever comes in."""
    retry_window_seconds: PositiveSeconds


class GatewaySettings(SettingsSection):
    """Describe one gateway."""

    host: Text
    data_centre: Text
    cores: Annotated[float, Meta(gt=0, le=10_000)]
    """Times the speed of a whole core at which the machine works."""
    core_share: Annotated[float, Meta(gt=0, le=10_000)]
    """Share of such a core that the gateway may use."""
    address: Text
    """IP and port for callers."""
    ready_address: Text
    """IP and port for the balancer's question."""
    metrics_address: Text
    """IP and port for counters and histograms."""
    peer_address: Text
    """IP and port for the other gateways."""
    store_address: Text
    """IP and port of the platform's store."""
    bounds: Bounds
