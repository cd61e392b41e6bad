"""Configuration of a fleet whose routes and upstreams an outside operator manages."""

from typing import Final, NamedTuple

from radishtally.routes.core import Route
from radishtally.teams.core import TeamKeys

HEALTH_PATH: Final = "/health"
"""Path of health checks where the configuration names none."""


class EngineTerms(NamedTuple):
    """Describe the model engines of an upstream."""

    kv_tokens: int
    """Capacity of one engine's KV cache in tokens."""
    role_seconds: float = 3.0
    """Time for which an engine is unavailable while it changes its role."""


class UpstreamTerms(NamedTuple):
    """Describe the hosts of one upstream."""

    name: str
    engine: EngineTerms | None
    """None for a service without model engines."""
    health_path: str = HEALTH_PATH
    """Path of the hosts' health check."""


class CallerLimits(NamedTuple):
    """Limit the size of callers' requests and the idle time of their connections."""

    header_bytes: int
    body_bytes: int
    idle_seconds: float
    """Time after which a connection without an open request is closed."""


class FleetConfiguration(NamedTuple):
    """Hold one version of the fleet's configuration."""

    version: int
    routes: tuple[Route, ...]
    upstreams: dict[str, UpstreamTerms]
    limits: CallerLimits
    teams: TeamKeys | None = None
    """Teams by their keys; None if callers need no key."""
