"""Core of request dispatch: handle events of callers, claims, links and timers."""

from collections.abc import Iterator
from functools import singledispatch

from radishtally.links.messages import PREFILL, RESTARTED, Attach, Cancel, Finished
from radishtally.outcome import Ran
from radishtally.serving import const, events
from radishtally.serving.attempts import receive
from radishtally.serving.conclusions import reply_with_answer, reply_with_refusal
from radishtally.serving.containment import contain_request, find_request
from radishtally.serving.events import (
    Command,
    Event,
    RecordStep,
    Send,
)
from radishtally.serving.offers import (
    answer_unknown,
    handle_loss,
    offer,
    set_phase_end,
    withdraw,
)
from radishtally.serving.places import pop_startable, refuse_late
from radishtally.serving.refusals import refuse_without_retry_after
from radishtally.serving.requests import (
    ACCEPTED,
    CLAIMING,
    DISCONNECTED,
    LOCATING,
    OFFERED,
    WAITING,
    WITHDRAWING,
    OpenRequest,
)
from radishtally.serving.resumption import (
    list_locating,
    locate,
    record_source,
    resume,
)
from radishtally.serving.state import DispatchCore
from radishtally.serving.versions import find_stream, resumes_stream

__all__ = ["DispatchCore", "handle_event"]


def handle_event(event: Event, core: DispatchCore, now: float) -> list[Command]:
    """Handle one event and return the resulting commands."""
    handled = _handle(event, core, now)
    commands = list(contain_request(handled, find_request(event), core))
    if core.admission.list_waiting():
        commands.extend(contain_request(_start_waiting(core, now), "", core))
    return commands


def _start_waiting(core: DispatchCore, now: float) -> Iterator[Command]:
    """Begin the calls that wait for a place, and refuse those that are too late."""
    yield from refuse_late(core, now)
    for request in pop_startable(core, now):
        waited = now - request.queued_at
        name = request.work.request
        yield RecordStep(name, f"has a place after {waited:.3f} s")
        yield from contain_request(offer(request, core, now), name, core)


@singledispatch
def _handle(event: Event, core: DispatchCore, now: float) -> Iterator[Command]:
    raise TypeError(f"no handler for {type(event)}")


@_handle.register
def _(event: events.Arrived, core: DispatchCore, now: float) -> Iterator[Command]:
    work = event.work
    request = OpenRequest(work, event.deadline, event.streamed, now, event.terms)
    request.stream = find_stream(request, core)
    core.requests[work.request] = request
    core.schedule(request)
    if resumes_stream(request, core):
        yield from locate(request, core, now)
        return
    core.budgets.record_request(work.upstream, now)
    if request.is_claimed:
        yield events.Claim(work)
        return
    yield from offer(request, core, now)


@_handle.register
def _(event: events.OriginSettled, core: DispatchCore, now: float) -> Iterator[Command]:
    for request in list_locating(event.stream, core):
        resumed = resume(request, core, now)
        yield from contain_request(resumed, request.work.request, core)


@_handle.register
def _(event: events.SourceFound, core: DispatchCore, now: float) -> Iterator[Command]:
    record_source(event.stream, event.source, core, now)
    yield from ()


@_handle.register
def _(
    event: events.VersionChanged, core: DispatchCore, now: float
) -> Iterator[Command]:
    known = core.hosts.get(event.host)
    if known is not None:
        known.version = event.version
    lag = const.VERSION_LAG_SECONDS if event.is_recent else float("inf")
    since = core.doubted_since.pop(event.host, now - lag)
    core.origins.change_version(event.host, event.version, since, now)
    for request in list(core.requests.values()):
        is_affected = request.host == event.host and request.offered_at >= since
        if not (is_affected and request.is_continuation):
            continue
        core.origins.doubt(request.stream)
        name = request.work.request
        yield Send(event.host, Cancel(name, request.attempt))
        text = "its host began again at another version"
        lost = handle_loss(request, Ran.UNKNOWN, text, core, now)
        yield from contain_request(lost, name, core)


@_handle.register
def _(event: events.Granted, core: DispatchCore, now: float) -> Iterator[Command]:
    request = core.requests.get(event.work.request)
    if request is None:
        # The request was given up while its claim was pending. If the claim were kept,
        # every repeat of the key would be answered "unknown" although nothing ran.
        yield events.Release(event.work)
        return
    if request.phase != CLAIMING:
        return
    yield RecordStep(event.work.request, "claim granted")
    request.phase = WAITING
    yield from offer(request, core, now)


@_handle.register
def _(event: events.Repeated, core: DispatchCore, now: float) -> Iterator[Command]:
    request = core.remove_request(event.request)
    if request is None:
        return
    end = Finished(
        event.request, 0, len(event.body), 0, event.status, "", 0, 0, event.headers
    )
    yield from reply_with_answer(request, end, event.body)


@_handle.register
def _(event: events.Denied, core: DispatchCore, now: float) -> Iterator[Command]:
    request = core.remove_request(event.request)
    if request is not None:
        yield from reply_with_refusal(request, event.refusal)


@_handle.register
def _(event: events.CallerGone, core: DispatchCore, now: float) -> Iterator[Command]:
    request = core.requests.get(event.request)
    if request is None or request.answered:
        return
    request.answered = True
    # A caller with an idempotency key may return for the answer, at this or another
    # entry. Without a key nobody can ask for it again.
    if request.work.key and (request.host is not None or request.phase == CLAIMING):
        return
    yield from withdraw(request, core)
    yield from refuse_without_retry_after(
        request, 499, const.CODE_DEADLINE, "the caller has disconnected", core
    )


@_handle.register
def _(event: events.LinkUp, core: DispatchCore, now: float) -> Iterator[Command]:
    host, incarnation = event.hello.host, event.hello.incarnation
    core.links[host] = incarnation
    for request in [r for r in core.requests.values() if r.host == host]:
        attached = _attach(request, host, incarnation, core, now)
        yield from contain_request(attached, request.work.request, core)


def _attach(
    request: OpenRequest, host: str, incarnation: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Go on with a request at its host, or handle the loss of what it had run there."""
    name = request.work.request, request.attempt
    if request.incarnation != incarnation:
        prompt_only = request.stage == PREFILL and not core.prefill_counts_as_run
        ran = Ran.NO if prompt_only else Ran.UNKNOWN
        yield from handle_loss(request, ran, RESTARTED, core, now)
    elif request.phase == WITHDRAWING:
        yield Send(host, Cancel(*name))
    else:
        request.phase = ACCEPTED
        request.resend_offset = -1
        set_phase_end(request, float("inf"), core)
        yield RecordStep(request.work.request, f"link to {host} restored")
        yield Send(host, Attach(*name, len(request.received)))


@_handle.register
def _(event: events.LinkDown, core: DispatchCore, now: float) -> Iterator[Command]:
    core.links.pop(event.host, None)
    for request in core.requests.values():
        if request.host != event.host or request.phase == DISCONNECTED:
            continue
        call_once = not request.work.idempotent
        grace = (
            const.CALL_RECONNECT_GRACE_SECONDS
            if call_once
            else const.RECONNECT_GRACE_SECONDS
        )
        if request.phase != WITHDRAWING:
            request.phase = DISCONNECTED
        set_phase_end(request, now + grace, core)
        yield RecordStep(request.work.request, f"link to {event.host} lost")


@_handle.register
def _(event: events.Received, core: DispatchCore, now: float) -> Iterator[Command]:
    yield from receive(event.message, event.host, core, now)


@_handle.register
def _(
    event: events.PermitsReceived, core: DispatchCore, now: float
) -> Iterator[Command]:
    waiting = core.limits.list_waiting(event.host)
    for request in [core.requests[n] for n in waiting if n in core.requests]:
        if not core.limits.allows(event.host, now):
            return
        if request.phase == WAITING:
            offered = offer(request, core, now)
            yield from contain_request(offered, request.work.request, core)


@_handle.register
def _(event: events.PlacesChanged, core: DispatchCore, now: float) -> Iterator[Command]:
    # The calls that wait for places begin after every event.
    yield from ()


@_handle.register
def _(event: events.Tick, core: DispatchCore, now: float) -> Iterator[Command]:
    for request in core.pop_due(now):
        is_late = request.deadline <= now
        handle = _handle_deadline if is_late else _handle_phase_timeout
        due = handle(request, core, now)
        yield from contain_request(due, request.work.request, core)
        if request.work.request in core.requests:
            core.schedule(request)


@_handle.register
def _(event: events.Shutdown, core: DispatchCore, now: float) -> Iterator[Command]:
    # Without a reply a caller only sees its connection close and cannot tell whether
    # the request ran. For many requests the reply can state that it did not.
    text = "the process is stopping before the answer is complete"
    for request in list(core.requests.values()):
        if request.answered:
            continue
        stopped = _refuse_open(request, 503, const.CODE_STOPPING, text, core)
        yield from contain_request(stopped, request.work.request, core)


def _refuse_open(
    request: OpenRequest, status: int, code: str, text: str, core: DispatchCore
) -> Iterator[Command]:
    """Withdraw a request from its host and refuse it."""
    yield from withdraw(request, core)
    yield from refuse_without_retry_after(request, status, code, text, core)


def _handle_phase_timeout(
    request: OpenRequest, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Handle the timeout of the request's current phase."""
    request.phase_ends_at = float("inf")
    if request.phase == WAITING:
        request.tried.clear()
        request.offers = 0
        yield from offer(request, core, now)
        return
    if request.phase == LOCATING:
        yield from resume(request, core, now)
        return
    if request.phase not in (OFFERED, WITHDRAWING, DISCONNECTED):
        return
    if request.host in core.hosts:
        core.hosts[request.host].breaker.record_failure(now)
    if request.phase == OFFERED:
        yield from _withdraw_offer(request, core, now)
    elif request.is_claimed and not request.answered:
        text = "the call may have run; its outcome is not known yet"
        yield from answer_unknown(
            request, 502, const.CODE_OUTCOME_UNKNOWN, text, core, now
        )
    elif not request.answered or request.work.idempotent:
        yield from handle_loss(request, Ran.UNKNOWN, "host unreachable", core, now)


def _withdraw_offer(
    request: OpenRequest, core: DispatchCore, now: float
) -> Iterator[Command]:
    yield Send(request.host, Cancel(request.work.request, request.attempt))
    if request.work.idempotent:
        yield from handle_loss(request, Ran.UNKNOWN, "offer timed out", core, now)
        return
    # The agent may have accepted the offer or may still receive it. A call that is not
    # idempotent is not offered to another host until the agent confirms that it has
    # not started the call and will not start it.
    request.phase = WITHDRAWING
    set_phase_end(request, now + const.CANCEL_TIMEOUT_SECONDS, core)


def _handle_deadline(
    request: OpenRequest, core: DispatchCore, now: float
) -> Iterator[Command]:
    text = "the deadline passed before the answer was complete"
    if request.is_claimed and request.host is not None and not request.answered:
        yield from answer_unknown(request, 504, const.CODE_DEADLINE, text, core, now)
        return
    yield from _refuse_open(request, 504, const.CODE_DEADLINE, text, core)
