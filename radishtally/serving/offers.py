"""Decide where a request goes next, and when it goes no further."""

from collections.abc import Iterator

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
from radishtally.serving.conclusions import give_up
from radishtally.serving.events import Command, DropKv, RecordStep, Release, Send
from radishtally.serving.hosts import KnownHost
from radishtally.serving.placement import Declined, Placed
from radishtally.serving.requests import CLAIMING, OFFERED, WAITING, OpenRequest
from radishtally.serving.state import DispatchCore
from radishtally.serving.suspects import ENDS_TO_ISOLATE


def wait(request: OpenRequest, until: float, core: DispatchCore) -> None:
    """Look at the request again at a time, if its phase lasts so long."""
    request.waits_until = until
    core.schedule(request)


def offer(request: OpenRequest, core: DispatchCore, now: float) -> Iterator[Command]:
    """Offer the request to the next host; where there is none, wait or refuse."""
    if request.answered:
        # Nobody waits any more: what has not begun is not begun now.
        yield from fail(request, 499, const.CODE_DEADLINE, "nobody waits", core)
        return
    denied = core.suspects.find_denial_seconds(request.terms.content, now)
    if denied:
        text = "hosts have ended under this request one after another"
        yield from refuse(request, 503, const.CODE_ENDS_HOSTS, text, denied, core)
        return
    pause = _find_pause(request, core, now)
    if pause > const.MAX_PAUSE_WAIT_SECONDS and not request.is_begun:
        text = "all hosts that could run it have asked for a pause"
        wait_for = core.spread_pause(pause)
        yield from refuse(request, 503, const.CODE_OVERLOADED, text, wait_for, core)
        return
    placed = _place(request, core, now)
    if isinstance(placed, Declined):
        if placed.retry_after is not None:
            request.retry_after = placed.retry_after
        if placed.why:
            yield RecordStep(request.work.request, f"not offered: {placed.why}")
        yield from _go_without_host(request, core, now)
        return
    stage, host, why = placed
    upstream = request.work.upstream
    if request.owes_retry and not core.budgets.spend(upstream, now):
        yield from _go_without_budget(request, core, now)
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
    if request.stage != PREFILL:
        request.ends_known = core.suspects.record_offer(request.terms.content, now)
    request.asked_again_at = -1
    wait(request, now + core.offer_timeout, core)
    known = core.hosts[host]
    known.in_flight += 1
    core.placement.begin(request, known, now)
    known.breaker.record_offer(now)
    text = f"attempt {request.attempt} offered to {host}"
    yield RecordStep(request.work.request, f"{text}: {why}" if why else text)
    yield Send(host, request.make_offer(request.deadline - now))


def lose(
    request: OpenRequest, ran: str, reason: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Go on after an attempt has failed: elsewhere, or with a refusal."""
    text = f"attempt {request.attempt} at {request.host} lost: {reason}, ran {ran}"
    if request.received:
        text += f", after event {request.tokens} ({len(request.received)} bytes)"
    yield RecordStep(request.work.request, text)
    # A host that the offer never reached, or a new start of one, has refused nothing.
    if request.host is not None and reason not in (NOT_KNOWN, RESTARTED):
        request.tried.add(request.host)
    core.leave_host(request)
    # What surely did not run has cost no upstream anything. It is routed anew like a
    # refused offer, bounded as those are; the budget is for work done over again.
    if ran == Ran.NO:
        request.owes_retry |= core.refusals_cost_retries and reason != UNREACHED
        yield from offer(request, core, now)
        return
    request.maybe_ran = True
    request.lost += 1
    if not request.work.idempotent:
        text = "the call may have run; its outcome is not known"
        yield from fail(request, 502, const.CODE_OUTCOME_UNKNOWN, text, core)
        return
    if request.lost >= request.terms.max_attempts or _is_stuck(request):
        text = f"the upstream failed ({reason})"
        yield from fail(request, 502, const.CODE_LOST, text, core)
        return
    _prepare_retry(request)
    yield from offer(request, core, now)


def _is_stuck(request: OpenRequest) -> bool:
    """Tell whether the caller has a part of an answer that can't be gone on from."""
    # No host can be told where to go on in a stream whose events have no ids.
    is_nameless = request.work.kind == STREAM and not request.tokens
    return request.has_part and (request.work.kind == CALL or is_nameless)


def _prepare_retry(request: OpenRequest) -> None:
    request.kv = None
    request.owes_retry = True
    # A second run of a call may answer otherwise: its bytes put behind the first
    # run's would be an answer that nobody gave.
    kind = request.work.kind
    if kind == CALL or (kind == STREAM and not request.has_part):
        request.drop_received()
    # An answer that has begun is not cut because no host is free at this moment.
    if request.is_begun:
        request.hold_until = float("inf")


def withdraw(request: OpenRequest, core: DispatchCore) -> Iterator[Command]:
    """Take the present attempt back from its host."""
    if request.host is None:
        return
    # Until its agent says otherwise the attempt may have begun.
    request.maybe_ran = True
    yield Send(request.host, Cancel(request.work.request, request.attempt))
    core.leave_host(request)


def answer_unknown(
    request: OpenRequest,
    status: int,
    code: str,
    text: str,
    core: DispatchCore,
    now: float,
) -> Iterator[Command]:
    """Tell the caller that the outcome is not known, and go on to wait for it.

    A call that may not run twice is not cut. When its outcome comes it is kept for a
    repeat of the key, or the claim is given back if the call did not run.
    """
    yield from give_up(request, Refusal(status, code, text, Ran.UNKNOWN))
    request.answered = True
    request.deadline = now + const.OUTCOME_WAIT_SECONDS
    core.schedule(request)


def fail(
    request: OpenRequest, status: int, code: str, text: str, core: DispatchCore
) -> Iterator[Command]:
    """Refuse the request for a fault."""
    yield from refuse(request, status, code, text, None, core)


def refuse(
    request: OpenRequest,
    status: int,
    code: str,
    text: str,
    retry_after: float | None,
    core: DispatchCore,
) -> Iterator[Command]:
    """Give the caller its final answer at once."""
    if request.kv is not None:
        yield DropKv(request.kv)
        request.kv = None
    # "Not run" needs every attempt's own word; an attempt that is still open, or that
    # has given a part, has not said so.
    if request.host is not None or request.received:
        request.maybe_ran = True
    core.leave_host(request)
    core.requests.pop(request.work.request, None)
    ran = Ran.UNKNOWN if request.maybe_ran else Ran.NO
    if status in (429, 503):
        retry_after = _bound(retry_after)
    yield from give_up(request, Refusal(status, code, text, ran, retry_after))
    # A claim that is still asked for is given back when it is granted.
    if request.is_claimed and ran == Ran.NO and request.phase != CLAIMING:
        yield Release(request.work)


def _place(request: OpenRequest, core: DispatchCore, now: float) -> Placed | Declined:
    """Choose the stage and the host to offer."""
    if request.offers >= const.MAX_OFFERS:
        return Declined(None)
    usable = _list_usable(request, core, now)
    if core.suspects.count_ends(request.terms.content, now) >= ENDS_TO_ISOLATE:
        usable = _spare_hosts(usable, core, now)
        if not usable:
            return Declined(None, "hosts ended under it, and too few are left")
    return core.placement.place(request, usable, core.place, now)


def _spare_hosts(
    usable: list[KnownHost], core: DispatchCore, now: float
) -> list[KnownHost]:
    """Leave one host to run a request that may end it: never the last one.

    Rather one without another suspect, so that the guilty one ends alone, and then the
    one with the least that would be lost.
    """
    find_role = core.placement.find_role
    running = [known for known in usable if find_role(known.host) != PREFILL]
    if len(running) < const.MIN_HOSTS_TO_RISK_ONE:
        return []
    tried = {
        other.host
        for other in core.requests.values()
        if core.suspects.count_ends(other.terms.content, now) >= ENDS_TO_ISOLATE
    }
    risked = min(
        running,
        key=lambda known: (known.host in tried, core.placement.count_open(known)),
    )
    reading = [known for known in usable if find_role(known.host) == PREFILL]
    return [*reading, risked]


def _go_without_host(
    request: OpenRequest, core: DispatchCore, now: float
) -> Iterator[Command]:
    if now < request.hold_until:
        yield from _hold(request, "no host takes it now", core, now)
        return
    if request.tried or _list_usable(request, core, now):
        text = "no upstream can answer in time"
        code, status = const.CODE_OVERLOADED, 429
    else:
        text = "no upstream is in reach"
        code, status = const.CODE_NO_UPSTREAM, 503
    yield from refuse(request, status, code, text, request.retry_after, core)


def _find_pause(request: OpenRequest, core: DispatchCore, now: float) -> float:
    """Find how long all hosts pause that could run a request; 0 if one does not."""
    if now >= core.paused_until:
        return 0.0
    find_role = core.placement.find_role
    running = [
        known for known in _list_live(request, core) if find_role(known.host) != PREFILL
    ]
    return max(0.0, min((known.paused_until - now for known in running), default=0.0))


def _list_live(request: OpenRequest, core: DispatchCore) -> list[KnownHost]:
    pool = core.pools.get(request.work.upstream, {})
    return [known for known in pool.values() if known.live and known.host in core.links]


def _list_usable(
    request: OpenRequest, core: DispatchCore, now: float
) -> list[KnownHost]:
    live = [known for known in _list_live(request, core) if known.paused_until <= now]
    # Hosts that fail are left out only while others have their role: with all of them
    # left out each request would be refused, though some would have been served. The
    # only engine for answers that broke off one in five was left out for seconds.
    find_role = core.placement.find_role
    served = {find_role(known.host) for known in live if known.breaker.allows(now)}
    return [
        known
        for known in live
        if known.breaker.allows(now) or _is_needed(known, served, core)
    ]


def _is_needed(known: KnownHost, served: set[str], core: DispatchCore) -> bool:
    """Tell whether a failing host is asked since no other one has its role."""
    if core.placement.find_role(known.host) in served:
        return False
    # Beside hosts of other roles, one that is not even reached helps nobody.
    return not served or not core.is_out_of_reach(known.host)


def _go_without_budget(
    request: OpenRequest, core: DispatchCore, now: float
) -> Iterator[Command]:
    if now < request.hold_until:
        yield from _hold(request, "the retry budget is spent", core, now)
        return
    text = "the upstream failed and too many retries are under way"
    yield from fail(request, 503, const.CODE_RETRY_BUDGET, text, core)


def _hold(
    request: OpenRequest, reason: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Keep the request until it is worth offering again."""
    request.phase = WAITING
    request.rounds += 1
    wait(request, now + backoff(request.rounds, core.random), core)
    yield RecordStep(request.work.request, f"waits: {reason}")


def _bound(retry_after: float | None) -> float:
    if retry_after is None:
        return const.DEFAULT_RETRY_AFTER
    return min(max(retry_after, const.MIN_RETRY_AFTER), const.MAX_RETRY_AFTER)
