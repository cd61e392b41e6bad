"""Choose hosts for a stream by the software version at which it began."""

from radishtally.links.messages import STREAM
from radishtally.serving.hosts import KnownHost
from radishtally.serving.origins import (
    RETURN_SECONDS,
    UNKNOWN_VERSION,
    Origin,
    hash_stream,
)
from radishtally.serving.requests import OpenRequest
from radishtally.serving.state import DispatchCore


def find_stream(request: OpenRequest, core: DispatchCore) -> bytes:
    """Return the key of a request's stream; empty if no other attempt continues it."""
    work, first = request.work, request.terms.resumed_stream
    if not core.tracks_versions or work.kind != STREAM:
        return b""
    return hash_stream(first or work.request) if first or work.idempotent else b""


def resumes_stream(request: OpenRequest, core: DispatchCore) -> bool:
    """Return whether a request continues a stream of which its caller has a part."""
    if not core.tracks_versions or request.work.kind != STREAM:
        return False
    return bool(request.terms.resumed_stream or request.terms.resumed_after)


def find_required_version(request: OpenRequest, core: DispatchCore) -> str | None:
    """Return the version at which a stream must go on; None if it has not begun."""
    has_begun = request.has_part or request.terms.resumed_stream
    if not request.stream or not has_begun:
        return None
    origin = core.origins.find(request.stream)
    return UNKNOWN_VERSION if origin is None else origin.version


def has_version(
    known: KnownHost, version: str, core: DispatchCore, at: float = float("inf")
) -> bool:
    """Return whether what a host was offered at a time runs at a software version."""
    doubted_since = core.doubted_since.get(known.host)
    is_doubted = doubted_since is not None and at >= doubted_since
    if version == UNKNOWN_VERSION or is_doubted:
        return False
    return known.version == version


def is_version_kept(request: OpenRequest, core: DispatchCore) -> bool:
    """Return whether the current attempt runs at the version known at its offer.

    Its host may have begun again under its name since, at another version.
    """
    known = core.hosts.get(request.host)
    return known is not None and has_version(
        known, request.offered_version, core, request.offered_at
    )


def record_begin(request: OpenRequest, core: DispatchCore, now: float) -> None:
    """Record where a stream begins whose first event has arrived."""
    if not request.stream or request.terms.resumed_stream:
        return
    is_known = is_version_kept(request, core)
    version = request.offered_version if is_known else UNKNOWN_VERSION
    origin = Origin(request.work.upstream, version, request.host)
    core.origins.record(request.stream, origin, request.deadline + RETURN_SECONDS, now)
