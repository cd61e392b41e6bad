"""Decide which requests wait for permits of hosts that have named a limit."""

from radishtally.links.messages import CALL, PREFILL
from radishtally.serving import const
from radishtally.serving.requests import OpenRequest
from radishtally.serving.selection import list_live
from radishtally.serving.state import DispatchCore


def count_permits(hosts: list[str], core: DispatchCore, now: float) -> float:
    """Return how many requests the hosts may be sent now; infinite without a limit."""
    return sum(core.limits.count_permits(host, now) for host in hosts)


def is_answer_limited(
    request: OpenRequest, run_hosts: list[str], core: DispatchCore, now: float
) -> bool:
    """Return whether there are hosts to run the request, and none has room for it."""
    permits = count_permits(run_hosts, core, now)
    if not run_hosts or permits == float("inf"):
        return False
    claimed = 0 if _has_progress(request) else _count_unanswered_prompts(request, core)
    return permits <= claimed


def _count_unanswered_prompts(request: OpenRequest, core: DispatchCore) -> int:
    """Count the requests of the upstream whose prompts are read before their answers.

    Each will need a permit of its own. If one permit let the prompts of many requests
    be read, most of them would be read in vain.
    """
    if request.work.kind == CALL:
        return 0
    return sum(
        other.work.upstream == request.work.upstream
        and (
            other.kv is not None or (other.host is not None and other.stage == PREFILL)
        )
        for other in core.requests.values()
    )


def find_wait_end(
    request: OpenRequest, hosts: list[str], core: DispatchCore, now: float
) -> float:
    """Return the time until which a request may wait for a permit of one of the hosts.

    A request that was not begun waits once, and only if a permit is likely in time.
    """
    seconds = const.PERMIT_WAIT_SECONDS
    if _has_progress(request):
        seconds = const.PROMPT_PERMIT_WAIT_SECONDS
    may_wait = _has_progress(request) or core.limits.has_room_to_wait(hosts, seconds)
    if request.permit_wait_until is None and may_wait:
        request.permit_wait_until = now + seconds
    until = max(request.permit_wait_until or 0.0, request.hold_until)
    return min(until, now + const.PROMPT_PERMIT_WAIT_SECONDS)


def _has_progress(request: OpenRequest) -> bool:
    return request.kv is not None or request.has_resumable_part


def list_prompt_hosts(request: OpenRequest, core: DispatchCore) -> list[str]:
    """List the hosts that only read prompts, if the request's may still be read."""
    if request.work.kind == CALL or request.kv is not None or request.kv_lost:
        return []
    if request.received:
        return []
    find_role = core.placement.find_role
    live = list_live(request, core)
    return [known.host for known in live if find_role(known.host) == PREFILL]
