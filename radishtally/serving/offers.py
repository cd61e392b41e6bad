"""Offer requests to hosts, retry lost attempts and refuse what cannot be served."""

from collections.abc import Generator, Iterator

from radishtally.limits.retries import backoff
from radishtally.links.messages import (
    CALL,
    DECODE,
    NOT_KNOWN,
    PREFILL,
    RESTARTED,
    STREAM,
    UNREACHED,
    WHOLE,
    Cancel,
)
from radishtally.outcome import Ran, Refusal
from radishtally.serving import const
from radishtally.serving.conclusions import reply_with_refusal
from radishtally.serving.events import Command, RecordStep, Send
from radishtally.serving.hosts import KnownHost
from radishtally.serving.origins import UNKNOWN_VERSION
from radishtally.serving.permits import (
    count_permits,
    find_wait_end,
    is_answer_limited,
    list_prompt_hosts,
)
from radishtally.serving.placement import Declined, Placed
from radishtally.serving.places import take_place, wait_for_place
from radishtally.serving.prompt_suspects import PartKeys
from radishtally.serving.refusals import refuse, refuse_without_retry_after
from radishtally.serving.requests import OFFERED, WAITING, OpenRequest
from radishtally.serving.selection import (
    list_live,
    list_run_hosts,
    waits_for_source,
)
from radishtally.serving.state import DispatchCore
from radishtally.serving.suspects import ENDS_TO_ISOLATE
from radishtally.serving.versions import find_required_version


def set_phase_end(request: OpenRequest, until: float, core: DispatchCore) -> None:
    """Set the time at which the request's current phase times out."""
    request.phase_ends_at = until
    core.schedule(request)


def offer(request: OpenRequest, core: DispatchCore, now: float) -> Iterator[Command]:
    """Offer the request to the next host; if there is none, hold or refuse it."""
    if request.answered:
        # The caller no longer waits: do not start an attempt.
        yield from refuse_without_retry_after(
            request, 499, const.CODE_DEADLINE, "no caller waits", core
        )
        return
    denied = core.suspects.find_denial_seconds(request.terms.content, now)
    if denied:
        text = "several hosts in a row have terminated with this request open"
        yield from refuse(request, 503, const.CODE_ENDS_HOSTS, text, denied, core)
        return
    if core.part_suspects.is_active:
        held = yield from _check_parts(request, core, now)
        if held:
            return
    version = find_required_version(request, core)
    if version is not None and not list_run_hosts(request, core):
        yield from _refuse_version(request, version, core)
        return
    if version is None and waits_for_source(request, core):
        yield from _hold(request, "its source is being recorded", core, now)
        return
    pause = _find_common_pause(request, core, now)
    if pause > const.MAX_PAUSE_WAIT_SECONDS and not request.has_resumable_part:
        text = "all hosts that could run the request have asked for a pause"
        wait_for = core.add_pause_jitter(pause)
        yield from refuse(request, 503, const.CODE_OVERLOADED, text, wait_for, core)
        return
    if core.limits:
        held = yield from _wait_for_permit(request, core, now)
        if held:
            return
    held = yield from wait_for_place(request, core, now)
    if held:
        return
    placed = _place(request, core, now)
    if isinstance(placed, Declined):
        if placed.retry_after is not None:
            request.retry_after = placed.retry_after
        if placed.why:
            yield RecordStep(request.work.request, f"not offered: {placed.why}")
        yield from _handle_no_host(request, core, now)
        return
    stage, host, why = placed
    upstream = request.work.upstream
    if request.owes_retry and not core.budgets.spend(upstream, now):
        yield from _handle_no_budget(request, core, now)
        return
    request.owes_retry = False
    request.attempt += 1
    request.offers += 1
    request.host = host
    request.stage = WHOLE if stage == DECODE else stage
    request.phase = OFFERED
    request.incarnation = core.links[host]
    request.offered_at = now
    request.accepted_at = None
    request.head = None
    request.data_since = None
    request.trial_wait_until = None
    request.is_continuation = version is not None
    request.offered_version = core.hosts[host].version
    if request.stage != PREFILL:
        request.known_ends = core.suspects.record_offer(request.terms.content, now)
        core.part_suspects.record_offer(request.part_keys, now)
    request.resend_offset = -1
    set_phase_end(request, now + core.offer_timeout, core)
    known = core.hosts[host]
    known.in_flight += 1
    take_place(request, core)
    core.limits.use(host, now)
    core.limits.remove_waiter(request.work.request)
    request.permit_wait_until = None
    core.placement.begin(request, known, now)
    known.breaker.record_offer(now)
    text = f"attempt {request.attempt} offered to {host}"
    if known.version:
        text += f" of version {known.version}"
    yield RecordStep(request.work.request, f"{text}: {why}" if why else text)
    yield Send(host, request.make_offer(request.deadline - now))


def _check_parts(
    request: OpenRequest, core: DispatchCore, now: float
) -> Generator[Command, None, bool]:
    """Refuse or hold a request with a suspected prompt part; return whether it was."""
    parts = request.part_keys
    denied = core.part_suspects.find_denial_seconds(parts, now)
    if denied:
        text = "several hosts in a row have terminated under a part of this prompt"
        yield from refuse(request, 503, const.CODE_ENDS_HOSTS, text, denied, core)
        return True
    isolated = core.part_suspects.list_isolated(parts)
    if not isolated or not _is_trial_running(request, isolated, core):
        return False
    if request.trial_wait_until is None:
        request.trial_wait_until = now + const.TRIAL_WAIT_SECONDS
    if now < request.trial_wait_until:
        yield from _hold(request, "a run with a suspected part is open", core, now)
        return True
    text = "hosts have terminated under a part of this prompt, which is being tried"
    retry_after = const.MIN_RETRY_AFTER
    yield from refuse(request, 503, const.CODE_ENDS_HOSTS, text, retry_after, core)
    return True


def _is_trial_running(
    request: OpenRequest, isolated: PartKeys, core: DispatchCore
) -> bool:
    """Return whether another request with one of these parts is open at a host."""
    return any(
        other.host is not None
        and other is not request
        and other.stage != PREFILL
        and not isolated.isdisjoint(other.part_keys)
        for other in core.requests.values()
    )


def handle_loss(
    request: OpenRequest, ran: str, reason: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Handle a lost attempt: retry at another host, or refuse the request."""
    text = f"attempt {request.attempt} at {request.host} lost: {reason}, ran {ran}"
    if request.received:
        text += f", after event {request.tokens} ({len(request.received)} bytes)"
    yield RecordStep(request.work.request, text)
    # A host that never received the offer, or that has restarted, may be tried again.
    if request.host is not None and reason not in (NOT_KNOWN, RESTARTED):
        request.tried.add(request.host)
    core.detach_host(request)
    # Work that certainly did not run has cost no upstream anything. It is offered again
    # like a refused offer, within the same bounds; the retry budget is for work that
    # runs more than once.
    if ran == Ran.NO:
        request.owes_retry |= core.refusals_cost_retries and reason != UNREACHED
        yield from offer(request, core, now)
        return
    request.maybe_ran = True
    request.lost_attempts += 1
    if not request.work.idempotent:
        text = "the call may have run; its outcome is not known"
        yield from refuse_without_retry_after(
            request, 502, const.CODE_OUTCOME_UNKNOWN, text, core
        )
        return
    if request.lost_attempts >= request.terms.max_attempts or _is_unresumable(request):
        text = f"the upstream failed ({reason})"
        yield from refuse_without_retry_after(request, 502, const.CODE_LOST, text, core)
        return
    _prepare_retry(request)
    yield from offer(request, core, now)


def _is_unresumable(request: OpenRequest) -> bool:
    """Return whether the caller has a partial answer that can't be resumed."""
    # A stream whose events have no ids has no position from which to resume it.
    lacks_event_ids = request.work.kind == STREAM and not request.tokens
    return request.has_part and (request.work.kind == CALL or lacks_event_ids)


def _prepare_retry(request: OpenRequest) -> None:
    request.kv = None
    request.owes_retry = True
    # A second run of a call may give a different answer: its bytes must not be appended
    # to those of the first run.
    kind = request.work.kind
    if kind == CALL or (kind == STREAM and not request.has_part):
        request.discard_received()
    # An answer that has begun is not aborted because no host is free at the moment.
    if request.has_resumable_part:
        request.hold_until = float("inf")


def withdraw(request: OpenRequest, core: DispatchCore) -> Iterator[Command]:
    """Cancel the current attempt at its host."""
    if request.host is None:
        return
    # Until the agent reports otherwise, the attempt may have started.
    request.maybe_ran = True
    yield Send(request.host, Cancel(request.work.request, request.attempt))
    core.detach_host(request)


def answer_unknown(
    request: OpenRequest,
    status: int,
    code: str,
    text: str,
    core: DispatchCore,
    now: float,
) -> Iterator[Command]:
    """Tell the caller that the outcome is unknown, and keep waiting for it.

    A call that is not idempotent is not cancelled. Its outcome is stored for repeats of
    the key when it arrives, or the claim is released if the call did not run.
    """
    yield from reply_with_refusal(request, Refusal(status, code, text, Ran.UNKNOWN))
    request.answered = True
    request.deadline = now + const.OUTCOME_WAIT_SECONDS
    core.schedule(request)


def _place(request: OpenRequest, core: DispatchCore, now: float) -> Placed | Declined:
    """Choose the stage and the host of the next offer."""
    if request.offers >= const.MAX_OFFERS:
        return Declined(None)
    usable = _list_usable(request, core, now)
    if _is_suspected(request, core, now):
        usable = _limit_to_one_host(request, usable, core, now)
        if not usable:
            return Declined(None, "hosts terminated with it open and too few are left")
    return core.placement.place(request, usable, core.data_centre, now)


def _is_suspected(request: OpenRequest, core: DispatchCore, now: float) -> bool:
    """Return whether a request is to be tried at one host only."""
    if _is_content_suspected(request, core, now):
        return True
    suspects = core.part_suspects
    return suspects.is_active and bool(suspects.list_isolated(request.part_keys))


def _is_content_suspected(request: OpenRequest, core: DispatchCore, now: float) -> bool:
    return core.suspects.count_ends(request.terms.content, now) >= ENDS_TO_ISOLATE


def _limit_to_one_host(
    request: OpenRequest, usable: list[KnownHost], core: DispatchCore, now: float
) -> list[KnownHost]:
    """Restrict a suspected request to one host, since it may make its host terminate.

    Return no host that runs requests if a request under which hosts have terminated
    would risk the last one. Prefer a host without another suspected request, so that
    each suspect is tried alone, then the host with the fewest open answers. Prefill
    engines are not restricted.
    """
    find_role = core.placement.find_role
    run_hosts = [known for known in usable if find_role(known.host) != PREFILL]
    # Most requests that only have parts in common with those are sound.
    is_at_fault = _is_content_suspected(request, core, now)
    if len(run_hosts) < (const.MIN_HOSTS_TO_RISK_ONE if is_at_fault else 1):
        return []
    suspect_hosts = {
        other.host
        for other in core.requests.values()
        if other.host is not None and _is_suspected(other, core, now)
    }
    risked = min(
        run_hosts,
        key=lambda known: (
            known.host in suspect_hosts,
            core.placement.count_open(known),
        ),
    )
    prefill_hosts = [known for known in usable if find_role(known.host) == PREFILL]
    return [*prefill_hosts, risked]


def _handle_no_host(
    request: OpenRequest, core: DispatchCore, now: float
) -> Iterator[Command]:
    if now < request.hold_until:
        yield from _hold(request, "no host accepts it now", core, now)
        return
    if request.tried or _list_usable(request, core, now):
        text = "no upstream can answer in time"
        code, status = const.CODE_OVERLOADED, 429
    else:
        text = "no upstream is reachable"
        code, status = const.CODE_NO_UPSTREAM, 503
    yield from refuse(request, status, code, text, request.retry_after, core)


def _find_common_pause(request: OpenRequest, core: DispatchCore, now: float) -> float:
    """Return how long all hosts that could run the request pause; 0 if any does not."""
    if now >= core.paused_until:
        return 0.0
    run_hosts = list_run_hosts(request, core)
    return max(0.0, min((known.paused_until - now for known in run_hosts), default=0.0))


def _wait_for_permit(
    request: OpenRequest, core: DispatchCore, now: float
) -> Generator[Command, None, bool]:
    """Hold or refuse a request whose hosts are at their limits; return whether.

    The request counts as demand for all of them.
    """
    limits = core.limits
    for known in list_live(request, core):
        limits.record_demand(known.host, now)
    run_hosts = [known.host for known in list_run_hosts(request, core)]
    if not is_answer_limited(request, run_hosts, core, now):
        prompt_hosts = list_prompt_hosts(request, core)
        if not prompt_hosts or count_permits(prompt_hosts, core, now):
            return False
        # Hosts that run requests read prompts more slowly, but without a limit.
        held = _hold_for_permit(request, prompt_hosts, core, now)
        yield from held
        return bool(held)
    held = _hold_for_permit(request, run_hosts, core, now)
    yield from held
    if not held:
        text = "all hosts that could run the request have reached their limits"
        wait_for = limits.estimate_wait(run_hosts, now)
        yield from refuse(request, 429, const.CODE_OVERLOADED, text, wait_for, core)
    return True


def _hold_for_permit(
    request: OpenRequest, hosts: list[str], core: DispatchCore, now: float
) -> list[Command]:
    """Hold a request until it has a permit of a host, unless it has waited already."""
    until = find_wait_end(request, hosts, core, now)
    if now >= until:
        return []
    request.phase = WAITING
    set_phase_end(request, until, core)
    for host in hosts:
        core.limits.add_waiter(host, request.work.request, until)
    return [RecordStep(request.work.request, "on hold: its hosts are at their limits")]


def _list_usable(
    request: OpenRequest, core: DispatchCore, now: float
) -> list[KnownHost]:
    live = [known for known in list_live(request, core) if known.paused_until <= now]
    if core.limits:
        live = [known for known in live if core.limits.allows(known.host, now)]
    # Failing hosts are excluded only while others have their role. With all of them
    # excluded every request would be refused although some could be served: the only
    # decode engine, which broke off one answer in five, was excluded for seconds.
    find_role = core.placement.find_role
    served_roles = {
        find_role(known.host) for known in live if known.breaker.allows(now)
    }
    return [
        known
        for known in live
        if known.breaker.allows(now) or _is_needed(known, served_roles, core)
    ]


def _is_needed(known: KnownHost, served_roles: set[str], core: DispatchCore) -> bool:
    """Return whether a failing host is used because no other host has its role."""
    if core.placement.find_role(known.host) in served_roles:
        return False
    # While hosts of other roles are available, an unreachable host is of no use.
    return not served_roles or not core.is_out_of_reach(known.host)


def _refuse_version(
    request: OpenRequest, version: str, core: DispatchCore
) -> Iterator[Command]:
    """Refuse to continue a stream at a host of another software version."""
    if version == UNKNOWN_VERSION:
        yield from refuse_unknown_origin(request, core)
        return
    text = f"no host of software version {version}, which began the stream, can run it"
    yield from refuse_without_retry_after(
        request, 503, const.CODE_VERSION_GONE, text, core
    )


def refuse_unknown_origin(
    request: OpenRequest, core: DispatchCore
) -> Iterator[Command]:
    """Refuse to resume a stream of which it is not known where it began."""
    text = "it is not known which software version began the stream"
    # Another gateway may know it.
    retry_after = const.MIN_RETRY_AFTER
    yield from refuse(request, 503, const.CODE_VERSION_UNKNOWN, text, retry_after, core)


def _handle_no_budget(
    request: OpenRequest, core: DispatchCore, now: float
) -> Iterator[Command]:
    if now < request.hold_until:
        yield from _hold(request, "the retry budget is exhausted", core, now)
        return
    text = "the upstream failed and the retry budget is exhausted"
    yield from refuse_without_retry_after(
        request, 503, const.CODE_RETRY_BUDGET, text, core
    )


def _hold(
    request: OpenRequest, reason: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Hold the request and offer it again after a backoff."""
    request.phase = WAITING
    request.hold_rounds += 1
    set_phase_end(request, now + backoff(request.hold_rounds, core.random), core)
    yield RecordStep(request.work.request, f"on hold: {reason}")
