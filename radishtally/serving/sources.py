"""Know from which software versions the streams of a route may have begun.

Gateways keep in memory where streams began, and lose it if all are killed at once. A
stream that none remembers can go on only if its route has had a single source since
before it began. A source is therefore recorded in the store before a gateway begins
streams there.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple, TypedDict


class SoleSource(TypedDict):
    """Describe the only source of a route, as stored."""

    upstream: str
    version: str


class Source(NamedTuple):
    """Describe where streams begin."""

    route: str
    """Authority and path prefix of the route."""
    upstream: str
    version: str
    """Software version of the hosts."""

    def describe(self) -> SoleSource:
        """Return what is stored if it is the only source of its route."""
        return SoleSource(upstream=self.upstream, version=self.version)


StoredRoutes = dict[str, SoleSource | None]
"""Sole sources by route; None for a route that has had several."""


class UsableSources:
    """Hold the sources from which this process may let streams begin."""

    def __init__(self) -> None:
        self._versions: dict[tuple[str, str], set[str]] = defaultdict(set)

    def allow(self, source: Source) -> None:
        """Let streams begin at a source from now on."""
        self._versions[source.route, source.upstream].add(source.version)

    def allows(self, source: Source) -> bool:
        """Return whether streams may begin at a source."""
        return source.version in self.list_versions(source.route, source.upstream)

    def list_versions(self, route: str, upstream: str) -> Collection[str]:
        """List the versions at which streams of a route may begin."""
        return self._versions.get((route, upstream), ())

    def retain(self, sources: Collection[Source]) -> None:
        """Let streams begin at no other sources any longer."""
        self._versions = defaultdict(
            set,
            {
                (route, upstream): {
                    version
                    for version in versions
                    if Source(route, upstream, version) in sources
                }
                for (route, upstream), versions in self._versions.items()
            },
        )


def merge_sources(
    routes: Mapping[str, SoleSource | None], used: Iterable[Source]
) -> StoredRoutes:
    """Return stored routes to which sources in use were added."""
    merged = dict(routes)
    for source in used:
        route = source.route
        sole = source.describe()
        if route not in merged:
            merged[route] = None if _overlaps(route, routes) else sole
        elif merged[route] != sole:
            merged[route] = None
    return merged


def _overlaps(route: str, others: Iterable[str]) -> bool:
    """Return whether requests of a new route may have been another route's before."""
    return any(route.startswith(other) or other.startswith(route) for other in others)
