"""Find the route of a request and the upstream that its traffic split gives."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

SPLIT_RANGE: Final = 1 << 64
"""Number of different 64-bit hashes: a hash over it is a share from 0 to 1."""


class RouteKind(StrEnum):
    """Say what of a request may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    """Answered by a series of events; may be repeated only where it can be resumed."""


class Split(NamedTuple):
    """Give an upstream a share of a route's requests."""

    upstream: str
    weight: float


class Route(NamedTuple):
    """Describe the requests under one path of one authority."""

    name: str
    authority: str
    """Host header of its requests, in lower case and without a port."""
    prefix: str
    """Beginning of the path; starts and ends with a slash."""
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout: float
    """Longest time to the end of the answer, seconds."""
    objective: float
    """Time to the first part of an answer that is on time, seconds."""
    priority: int
    """Lower goes first."""
    max_attempts: int
    """Upstream hosts that may run one request."""
    is_resumable: bool

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request that may have run may run again."""
        if self.kind == RouteKind.STREAM:
            return self.is_resumable
        return self.kind == RouteKind.SAFE


class RouteTable:
    """Look up routes by authority and longest prefix of the path."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._authorities: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._authorities.setdefault(route.authority, {})[route.prefix] = route

    def find(self, authority: str, path: str) -> Route | None:
        """Find the route of a request; none if no prefix begins its path."""
        prefixes = self._authorities.get(normalize_authority(authority))
        if prefixes is None:
            return None
        # Every prefix ends with a slash, so only the path's own slashes are tried.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def normalize_authority(authority: str) -> str:
    """Give a Host header in the form in which routes name it."""
    name, _, port = authority.strip().lower().rpartition(":")
    return name if name and port.isdigit() else authority.strip().lower()


def choose_upstream(route: Route, request: str) -> str:
    """Choose the upstream of a request by its route's split.

    The choice hangs on the request's name alone, so a request that is offered again
    stays with its upstream.
    """
    total = sum(split.weight for split in route.splits)
    point = xxh3_64_intdigest(request.encode()) / SPLIT_RANGE * total
    for split in route.splits:
        point -= split.weight
        if point < 0:
            return split.upstream
    return route.splits[-1].upstream
