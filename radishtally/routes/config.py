"""Describe a fleet whose routes and upstreams an outside operator configures."""

from typing import NamedTuple

from radishtally.routes.core import Route


class EngineTerms(NamedTuple):
    """Describe the model engines of an upstream."""

    kv_tokens: int
    """Tokens that fit into one engine's memory."""
    role_seconds: float = 3.0
    """Time that an engine is away for when it changes its role."""


class UpstreamTerms(NamedTuple):
    """Describe the hosts of one upstream."""

    name: str
    engine: EngineTerms | None
    """None for a plain service."""


class CallerLimits(NamedTuple):
    """Bound what a caller may send, and how long it may be idle."""

    header_bytes: int
    body_bytes: int
    idle_seconds: float
    """Time after which a connection without a request is closed."""


class FleetConfiguration(NamedTuple):
    """Hold one version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    upstreams: dict[str, UpstreamTerms]
    limits: CallerLimits
