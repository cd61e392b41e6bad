"""Resume streams that their callers take up again."""

from collections.abc import Iterator

from radishtally.serving import const
from radishtally.serving.events import Command, FindOrigin, RecordStep
from radishtally.serving.offers import (
    offer,
    refuse_unknown_origin,
    set_phase_end,
)
from radishtally.serving.origins import RETURN_SECONDS, Origin
from radishtally.serving.refusals import refuse_without_retry_after
from radishtally.serving.requests import LOCATING, OpenRequest
from radishtally.serving.sources import Source
from radishtally.serving.state import DispatchCore


def locate(request: OpenRequest, core: DispatchCore, now: float) -> Iterator[Command]:
    """Resume a stream if its origin is known here; otherwise ask the peers for it."""
    # Without a name for the stream nobody can tell where it began.
    if not request.terms.resumed_stream or core.origins.find(request.stream):
        yield from resume(request, core, now)
        return
    request.phase = LOCATING
    wait = const.ORIGIN_TIMEOUT_SECONDS + const.SOURCE_TIMEOUT_SECONDS
    set_phase_end(request, now + wait, core)
    yield FindOrigin(request.stream)


def list_locating(stream: bytes, core: DispatchCore) -> list[OpenRequest]:
    """List the requests that wait to learn where a stream began."""
    return [
        request
        for request in core.requests.values()
        if request.phase == LOCATING and request.stream == stream
    ]


def list_locating_routes(stream: bytes, core: DispatchCore) -> set[str]:
    """List the routes of the requests that wait to learn where a stream began."""
    return {request.terms.route for request in list_locating(stream, core)}


def record_source(
    stream: bytes, source: Source, core: DispatchCore, now: float
) -> None:
    """Record the only source at which a stream of a route can have begun."""
    for request in list_locating(stream, core):
        if request.terms.route == source.route:
            origin = Origin(source.upstream, source.version, "")
            until = request.deadline + RETURN_SECONDS
            core.origins.record(stream, origin, until, now)


def resume(request: OpenRequest, core: DispatchCore, now: float) -> Iterator[Command]:
    """Offer the rest of a stream to hosts of the version that began it, or refuse."""
    origin = core.origins.find(request.stream)
    if origin is None:
        yield from refuse_unknown_origin(request, core)
        return
    work = request.work
    if origin.upstream != work.upstream and origin.upstream not in (
        request.terms.upstreams
    ):
        text = f"the route no longer leads to {origin.upstream}, which began the stream"
        yield from refuse_without_retry_after(
            request, 503, const.CODE_ROUTE_MOVED, text, core
        )
        return
    # A split may lead the new id of a resumed request to another upstream.
    request.work = work._replace(upstream=origin.upstream)
    core.budgets.record_request(origin.upstream, now)
    # This gateway may be the only one that survives to the caller's next try.
    until = request.deadline + RETURN_SECONDS
    core.origins.record(request.stream, origin, until, now)
    text = f"resumes a stream that version {origin.version} began at {origin.host}"
    yield RecordStep(work.request, text)
    yield from offer(request, core, now)
