"""List the hosts in service that may run a request."""

from radishtally.links.messages import PREFILL
from radishtally.serving.hosts import KnownHost
from radishtally.serving.requests import OpenRequest
from radishtally.serving.state import DispatchCore
from radishtally.serving.versions import find_required_version, has_version


def list_run_hosts(request: OpenRequest, core: DispatchCore) -> list[KnownHost]:
    """List the hosts in service that may run the request and not only its prompt."""
    find_role = core.placement.find_role
    return [
        known for known in list_live(request, core) if find_role(known.host) != PREFILL
    ]


def list_live(request: OpenRequest, core: DispatchCore) -> list[KnownHost]:
    """List the hosts in service that may run the request, by its stream's version."""
    pool = core.pools.get(request.work.upstream, {})
    live = [known for known in pool.values() if known.live and known.host in core.links]
    version = find_required_version(request, core)
    if version is None:
        return _list_recorded(live, request, core)
    return [known for known in live if has_version(known, version, core)]


def waits_for_source(request: OpenRequest, core: DispatchCore) -> bool:
    """Return whether the hosts at which a stream may begin are still to be recorded."""
    if core.sources is None or not request.stream or list_run_hosts(request, core):
        return False
    find_role = core.placement.find_role
    return any(
        known.live and known.host in core.links and find_role(known.host) != PREFILL
        for known in core.pools.get(request.work.upstream, {}).values()
    )


def _list_recorded(
    live: list[KnownHost], request: OpenRequest, core: DispatchCore
) -> list[KnownHost]:
    """List the hosts whose versions are recorded if a stream may be resumed."""
    route = request.terms.route
    if core.sources is None or not request.stream or not route:
        return live
    versions = core.sources.list_versions(route, request.work.upstream)
    return [known for known in live if not known.version or known.version in versions]
