"""Schema of a daemon's settings file."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Text = Annotated[str, Meta(min_length=1)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Refuse unknown fields in every part of the settings."""


class TableSettings(Part):
    """Say where the table service is."""

    url: Text
    name: Text = "radishtally"


class ObjectSettings(Part):
    """Say where the object store is."""

    url: Text
    bucket: str = "radishtally"


class HostListSettings(Part):
    """Say where the host list is."""

    url: Text


class UpstreamSettings(Part):
    """Say which upstream the agent stands beside."""

    name: Text
    kind: Literal["engine", "service"]
    url: Text


class Settings(Part):
    """Describe one process."""

    role: Literal["entry", "agent"]
    host: Text
    place: Text
    address: str
    """IP and port of the links from the system's other processes."""
    peer_key: Text
    """Secret that all processes of the system share."""
    table: TableSettings
    objects: ObjectSettings
    host_list: HostListSettings
    http_address: str | None = None
    """IP and port for callers and operators; entries only."""
    upstream: UpstreamSettings | None = None
    """Agents only."""
    seeds: tuple[str, ...] = ()
    """Addresses of peers to ask for the configuration while the store is away."""
    dial: dict[str, str] = {}
    """Addresses to use for hosts in place of those in the host list."""
    statsd: str | None = None
    """IP and port of the statsd daemon."""
    caller_seconds: Annotated[float, Meta(gt=0, le=3_600)] = 20.0
    """Longest time that a caller may take to send a request or to take in a part of its
    answer; entries only."""
    ready_delay: Seconds = 0.5
    """Seconds that a stopping entry goes on taking requests after readiness is red."""
    stop_seconds: Seconds = 30.0
    """Longest time that a planned stop waits for running answers."""
