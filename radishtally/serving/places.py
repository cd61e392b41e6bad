"""Decide when calls to hosts that name their slots begin, and which are refused."""

from collections.abc import Generator, Iterator
from typing import Final

from radishtally.admission.queue import (
    CallQueue,
    Forecast,
    TimeLimits,
    classify,
    find_latest_return,
)
from radishtally.admission.returns import MIN_PAUSE_SECONDS
from radishtally.limits.work import Job
from radishtally.links.messages import CALL, KEY_REUSED, LEAVING, REPLACED
from radishtally.serving import const
from radishtally.serving.events import Command, RecordStep
from radishtally.serving.hosts import KnownHost
from radishtally.serving.refusals import refuse
from radishtally.serving.requests import WAITING, OpenRequest
from radishtally.serving.state import DispatchCore

EXTRA_PLACES: Final = 0.25
"""Calls that wait at a host, as a share of its slots. They keep it busy in the time
between the end of one call and the beginning of the next."""

LAG_FACTOR: Final = 4
"""Multiple of the places while this process is short of processor time: calls then
spend most of their time in its own event loop, and hosts would idle."""
MIN_FULL_SHARE: Final = 0.5
"""Share of its slots that a host has calls for if it can be full."""
NOT_FULL: Final = frozenset((REPLACED, LEAVING, KEY_REUSED))
"""Reasons of rejections that have nothing to do with the number of calls."""


def count_places(slots: int) -> int:
    """Return how many calls a host is sent at a time."""
    return slots + max(1, int(slots * EXTRA_PLACES))


def find_queue(upstream: str, core: DispatchCore, now: float) -> CallQueue | None:
    """Return an upstream's queue, up to date; None if no host names its slots."""
    hosts = [
        known
        for known in core.pools.get(upstream, {}).values()
        if known.live and known.host in core.links and known.breaker.allows(now)
    ]
    if not hosts or not all(known.slots for known in hosts):
        return None
    queue = core.admission.get_queue(upstream)
    queue.report_seconds = core.admission.report_seconds
    unseen = queue.count_unseen()
    for known in hosts:
        known.peer_calls = queue.demand.count_peer_calls(known.host)
        known.unseen_calls = unseen
    queue.places = sum(_find_places(known, queue, core) for known in hosts)
    if core.admission.is_lagging():
        queue.places *= LAG_FACTOR
    return queue


def _find_places(known: KnownHost, queue: CallQueue, core: DispatchCore) -> float:
    """Return how many calls of all gateways a host takes at a time."""
    places = min(count_places(known.slots), known.call_limit + known.peer_calls)
    if not core.limits.is_limited(known.host):
        return places
    return min(places, core.limits.get_limit(known.host) * queue.durations.mean)


def wait_for_place(
    request: OpenRequest, core: DispatchCore, now: float
) -> Generator[Command, None, bool]:
    """Queue or refuse a call for which there is no place; return whether it was."""
    if request.work.kind != CALL:
        return False
    queue = find_queue(request.work.upstream, core, now)
    if queue is None:
        return False
    if request.has_place:
        request.has_place = False
        return False
    if request.work.request in queue:
        return True
    job = _make_job(request)
    if request.work_class is None:
        request.work_class = classify(job)
        queue.demand.join(request.work_class)
    deadline = _find_caller_deadline(request)
    standing = core.admission.refused.check(
        request.terms.content, deadline, deadline - request.arrived, now
    )
    if standing.due and queue.is_contended:
        yield from _refuse_early(request, standing.due, core, now)
        return True
    objective = request.arrived + request.terms.objective
    limits = TimeLimits(request.deadline, deadline, objective, standing.has_returned)
    forecast = queue.forecast(job, limits, now)
    if not forecast.is_in_time:
        yield from _refuse(request, queue, job, limits, forecast, core, now)
        return True
    if not forecast.wait:
        return False
    queue.add(job, limits, now)
    request.phase = WAITING
    request.queued_at = now
    request.phase_ends_at = float("inf")
    text = f"queued behind {forecast.ahead}, {forecast.wait:.3f} s expected"
    yield RecordStep(request.work.request, text)
    return True


def _refuse_early(
    request: OpenRequest,
    due: float,
    core: DispatchCore,
    now: float,
) -> Iterator[Command]:
    """Refuse a caller that has come back too soon, which defers its return."""
    due = max(due, now + MIN_PAUSE_SECONDS)
    _remember(request, due, core)
    text = "the caller has come back before the time that it was given"
    yield from refuse(request, 429, const.CODE_EARLY, text, due - now, core)


def pop_startable(core: DispatchCore, now: float) -> Iterator[OpenRequest]:
    """Yield the waiting calls that begin now."""
    for upstream, queue in core.admission.list_waiting():
        has_hosts = find_queue(upstream, core, now) is not None
        pop = queue.pop_next if has_hosts else queue.pop_any
        while (job := pop(now)) is not None:
            request = core.requests[job.request]
            request.has_place = True
            yield request


def take_place(request: OpenRequest, core: DispatchCore) -> None:
    """Count a call that is offered to a host among the open ones."""
    if request.work_class is not None:
        request.holds_place = True
        core.admission.begin(request.work.upstream, request.work.priority)


def record_duration(request: OpenRequest, core: DispatchCore, now: float) -> None:
    """Record how long a call took that was answered."""
    if request.work_class is None:
        return
    queue = core.admission.get_queue(request.work.upstream)
    queue.durations.record(request.work_class, now - request.offered_at)
    known = core.hosts.get(request.host or "")
    if known is not None and known.slots:
        known.raise_call_limit(count_places(known.slots))


def record_full(request: OpenRequest, reason: str, core: DispatchCore) -> bool:
    """Record that a busy host has rejected a call; return whether that was the cause.

    Others may fill the host whose calls are not known here. A host that rejects calls
    without having many is not full.
    """
    known = core.hosts.get(request.host or "")
    if known is None or request.work_class is None or reason in NOT_FULL:
        return False
    if known.in_flight + known.peer_calls <= known.slots * MIN_FULL_SHARE:
        return False
    known.lower_call_limit()
    return True


def refuse_late(core: DispatchCore, now: float) -> Iterator[Command]:
    """Refuse the waiting calls that can't be answered in time any more."""
    waiting = core.admission.list_waiting()
    if not waiting or not core.admission.is_late_check_due(now):
        return
    for _, queue in waiting:
        for job in list(queue.list_late(now)):
            request = core.requests[job.request]
            limits = TimeLimits(request.deadline, _find_caller_deadline(request))
            forecast = queue.forecast(job, limits, now)
            yield from _refuse(request, queue, job, limits, forecast, core, now)


def _refuse(
    request: OpenRequest,
    queue: CallQueue,
    job: Job,
    limits: TimeLimits,
    forecast: Forecast,
    core: DispatchCore,
    now: float,
) -> Iterator[Command]:
    """Refuse a call that can't be served in time, and tell when to return."""
    turn = queue.plan_return(job, limits, now)
    due = min(turn, find_latest_return(limits, now))
    _remember(request, due, core)
    text = (
        f"no place in time: {forecast.ahead} ahead, {forecast.wait:.3f} s expected,"
        f" rank {job.priority}"
    )
    yield from refuse(request, 429, const.CODE_OVERLOADED, text, turn - now, core)


def _remember(request: OpenRequest, due: float, core: DispatchCore) -> None:
    deadline = _find_caller_deadline(request)
    core.admission.refused.record(
        request.terms.content, due, deadline, deadline - request.arrived
    )


def _find_caller_deadline(request: OpenRequest) -> float:
    """Return when the caller gives up, as far as it has said."""
    return max(request.deadline, request.arrived + request.terms.caller_seconds)


def _make_job(request: OpenRequest) -> Job:
    work = request.work
    return Job(
        request=work.request,
        attempt=0,
        team=work.team,
        priority=work.priority,
        share=1.0,
        prompt_tokens=0,
        output_tokens=0,
        deadline=request.deadline,
        arrived=request.arrived,
    )
