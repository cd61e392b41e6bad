"""Schema of a daemon's settings file."""

from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta

Text = Annotated[str, Meta(min_length=1)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
DEFAULT_MEMORY_MB: Final = 300.0


class SettingsSection(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Reject unknown fields in every section of the settings."""


class TableSettings(SettingsSection):
    """Configure the access to the table service."""

    url: Text
    name: Text = "radishtally"


class ObjectSettings(SettingsSection):
    """Configure the access to the object store."""

    url: Text
    bucket: str = "radishtally"


class HostListSettings(SettingsSection):
    """Configure the access to the host list."""

    url: Text


class UpstreamSettings(SettingsSection):
    """Configure the upstream that the agent runs beside."""

    name: Text
    kind: Literal["engine", "service"]
    url: Text


class Settings(SettingsSection):
    """Configure one process."""

    role: Literal["entry", "agent"]
    host: Text
    place: Text
    address: str
    """IP and port to listen on for links from other processes."""
    peer_key: Text
    """Secret key that all processes share."""
    table: TableSettings
    objects: ObjectSettings
    host_list: HostListSettings
    http_address: str | None = None
    """IP and port to listen on for callers and operators; entries only."""
    upstream: UpstreamSettings | None = None
    """Agents only."""
    seeds: tuple[str, ...] = ()
    """Addresses of peers that provide the configuration while the store is
    unavailable."""
    dial: dict[str, str] = {}
    """Addresses of hosts that override those in the host list."""
    statsd: str | None = None
    """IP and port of the statsd daemon."""
    caller_seconds: Annotated[float, Meta(gt=0, le=3_600)] = 20.0
    """Timeout in seconds for a caller to send a request, or to receive a part of its
    answer; entries only."""
    memory_mb: Annotated[float, Meta(gt=0, le=10_000_000)] = DEFAULT_MEMORY_MB
    """Memory of the process in megabytes, of which shares bound what callers send;
    entries only."""
    ready_delay: Seconds = 0.5
    """Seconds for which a stopping entry accepts requests after it reports that it is
    not ready."""
    stop_seconds: Seconds = 30.0
    """Longest time in seconds that a graceful stop waits for running answers."""
