"""Match requests to routes and choose upstreams by weighted traffic splits."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

SPLIT_RANGE: Final = 1 << 64
"""Number of distinct 64-bit hashes; a hash divided by it is a fraction below 1."""


class RouteKind(StrEnum):
    """Classify requests by whether they may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    """Answered by a stream of events; may be retried only if it can be resumed."""


class Split(NamedTuple):
    """Assign a weighted share of a route's requests to an upstream."""

    upstream: str
    weight: float


class Route(NamedTuple):
    """Describe the requests under one path of one authority."""

    name: str
    authority: str
    """Host header of its requests, in lower case and without a port."""
    prefix: str
    """Path prefix; starts and ends with a slash."""
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout: float
    """Maximum time in seconds until the end of the answer."""
    objective: float
    """Latency objective in seconds for the first part of the answer."""
    priority: int
    """Requests with lower values go first."""
    max_attempts: int
    """Maximum number of upstream hosts that may run one request."""
    is_resumable: bool
    is_anonymous: bool = False
    """Whether its requests need no key."""

    @property
    def key(self) -> str:
        """Return what tells its requests from those of other routes."""
        return self.authority + self.prefix

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request that may have run can be run again."""
        if self.kind == RouteKind.STREAM:
            return self.is_resumable
        return self.kind == RouteKind.SAFE


class RouteTable:
    """Look up routes by authority and longest path prefix."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._authorities: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._authorities.setdefault(route.authority, {})[route.prefix] = route

    def find(self, authority: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        prefixes = self._authorities.get(normalize_authority(authority))
        if prefixes is None:
            return None
        # Every prefix ends with a slash, so only the path up to each slash is tried.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def normalize_authority(authority: str) -> str:
    """Normalize a Host header to the form used in routes: lower case, no port."""
    name, _, port = authority.strip().lower().rpartition(":")
    return name if name and port.isdigit() else authority.strip().lower()


def choose_upstream(route: Route, request: str) -> str:
    """Choose the upstream of a request by its route's traffic split.

    The choice depends only on the request's id, so a retried request stays with its
    upstream.
    """
    total = sum(split.weight for split in route.splits)
    point = xxh3_64_intdigest(request.encode()) / SPLIT_RANGE * total
    for split in route.splits:
        point -= split.weight
        if point < 0:
            return split.upstream
    return route.splits[-1].upstream
