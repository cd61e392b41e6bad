"""Handle the messages of hosts about attempts."""

from collections.abc import Generator, Iterator
from functools import singledispatch

from radishtally.links.kinds import Message
from radishtally.links.messages import (
    DECODE,
    ENDED,
    KEY_REUSED,
    LEAVING,
    NOT_KNOWN,
    PREFILL,
    REPLACED,
    STREAM,
    UNREACHED,
    WHOLE,
    Accepted,
    Ack,
    Attach,
    Begun,
    Cancel,
    Cancelled,
    Chunk,
    Finished,
    Handover,
    Load,
    Lost,
    Refused,
)
from radishtally.outcome import Ran
from radishtally.serving import const
from radishtally.serving.conclusions import reply_with_answer
from radishtally.serving.events import (
    Begin,
    Command,
    Deliver,
    DropKv,
    RecordStep,
    Send,
    SendFullAnswer,
    Settle,
)
from radishtally.serving.hosts import KnownHost
from radishtally.serving.offers import (
    handle_loss,
    offer,
    set_phase_end,
)
from radishtally.serving.places import record_duration, record_full
from radishtally.serving.prompt_suspects import OpenRun
from radishtally.serving.refusals import refuse, refuse_without_retry_after
from radishtally.serving.requests import (
    ACCEPTED,
    OFFERED,
    WITHDRAWING,
    OpenRequest,
)
from radishtally.serving.state import DispatchCore
from radishtally.serving.suspects import HostEnd
from radishtally.serving.versions import is_version_kept, record_begin


@singledispatch
def receive(
    message: Message, host: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Handle a message about an attempt and yield the resulting commands."""
    yield from ()


@receive.register
def _(message: Load, host: str, core: DispatchCore, now: float) -> Iterator[Command]:
    if host in core.hosts:
        core.hosts[host].update_load(message, now)
    yield from ()


@receive.register
def _(
    message: Accepted, host: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    request = _find(message, host, core)
    if request is None:
        # The attempt was withdrawn or its request has finished. Unless it is cancelled,
        # the agent would run work whose answer nobody needs.
        yield Send(host, Cancel(message.request, message.attempt))
        return
    if request.phase != OFFERED:
        return
    if host in core.hosts:
        core.hosts[host].breaker.record_success()
        core.hosts[host].refusals = 0
        core.hosts[host].unreached_offers = 0
        _retract_host_end(request, core.hosts[host], core)
    request.phase = ACCEPTED
    request.accepted_at = now
    set_phase_end(request, float("inf"), core)
    joined = ", attached to the running answer of its key" if message.attached else ""
    yield RecordStep(message.request, f"accepted by {host}{joined}")


@receive.register
def _(message: Refused, host: str, core: DispatchCore, now: float) -> Iterator[Command]:
    if host in core.hosts:
        core.hosts[host].unreached_offers = 0
    if message.load is not None and host in core.hosts:
        core.hosts[host].update_load(message.load, now)
    request = _find(message, host, core)
    if request is None:
        return
    yield RecordStep(message.request, f"refused by {host}: {message.reason}")
    is_full = record_full(request, message.reason, core)
    core.detach_host(request)
    if core.refusals_cost_retries:
        request.owes_retry = True
        if not is_full:
            _penalize_refusal(host, message.reason, core, now)
    if request.kv is not None and request.tried:
        # A second host has refused as well, so the KV cache itself is at fault.
        yield DropKv(request.kv)
        request.discard_kv()
    if message.reason == KEY_REUSED:
        text = "the idempotency key was used with another request"
        yield from refuse(request, 422, const.CODE_KEY_REUSED, text, None, core)
        return
    shortest = request.retry_after
    named = message.retry_after
    request.retry_after = named if shortest is None else min(shortest, named)
    if request.phase == ACCEPTED and message.reason == LEAVING:
        # The host had accepted the work and returns it because of a planned change.
        _prepare_move(request, host, now + const.REQUEUE_SECONDS)
    elif not is_full:
        request.tried.add(host)
    yield from offer(request, core, now)


@receive.register
def _(message: Begun, host: str, core: DispatchCore, now: float) -> Iterator[Command]:
    request = _find(message, host, core)
    if request is None:
        return
    request.head = message
    # The engine has fetched the KV cache and owns it now; it must not be freed here.
    request.kv = None
    yield from ()


@receive.register
def _(message: Chunk, host: str, core: DispatchCore, now: float) -> Iterator[Command]:
    request = _find(message, host, core)
    if request is None or _is_of_other_answer(request):
        return
    if request.is_continuation and not is_version_kept(request, core):
        yield Send(host, Cancel(*_attempt_key(message)))
        reason = "its host may run another software version"
        yield from handle_loss(request, Ran.UNKNOWN, reason, core, now)
        return
    new = request.append(message.offset, message.data, message.tokens)
    if new is None:
        yield from _request_resend(request, host)
        return
    if not new:
        return
    if request.phase in (OFFERED, WITHDRAWING):
        request.phase = ACCEPTED
        set_phase_end(request, float("inf"), core)
    if host in core.hosts:
        core.placement.record_progress(request, core.hosts[host], now)
    _record_survival(request, core, now)
    yield from _deliver(new, request, core, now)


@receive.register
def _(
    message: Finished, host: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    request = _find(message, host, core)
    if request is None:
        return
    if request.has_part and message.status != const.OK:
        yield _ack(message, host)
        yield from _handle_failed_continuation(message, request, core, now)
        return
    if not (yield from _confirm_end(message, request, host, core)):
        return
    body = bytes(request.received)
    if message.status >= const.MIN_FAILURE_STATUS and request.work.idempotent:
        request.failure = SendFullAnswer(message.request, message, body)
        reason = f"status {message.status}"
        yield from handle_loss(request, Ran.UNKNOWN, reason, core, now)
        return
    if message.status < const.MIN_FAILURE_STATUS:
        core.suspects.clear(request.terms.content)
    if message.status == const.OK and body:
        core.part_suspects.record_served(request.part_keys, now)
    if host in core.hosts:
        core.hosts[host].breaker.record_success()
        core.placement.record_completion(request, core.hosts[host])
    record_duration(request, core, now)
    core.detach_host(request)
    core.remove_request(message.request)
    yield from reply_with_answer(request, message, body)
    if request.is_claimed:
        yield Settle(request.work, message.status, message.headers, body)


@receive.register
def _(
    message: Handover, host: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    request = _find(message, host, core)
    if request is None:
        return
    if not (yield from _confirm_end(message, request, host, core)):
        return
    yield RecordStep(message.request, f"handed over by {host}")
    request.kv = message.kv
    core.detach_host(request)
    # Computing only the prompt does not count as running the request.
    request.maybe_ran |= request.stage != PREFILL or bool(request.received)
    if request.stage == PREFILL and message.kv is not None:
        request.next_stage = DECODE
        request.tried.clear()
        request.offers = 0
        request.hold_until = float("inf")
    else:
        request.next_stage = WHOLE
        _prepare_move(request, host, float("inf"))
    yield from offer(request, core, now)


@receive.register
def _(message: Lost, host: str, core: DispatchCore, now: float) -> Iterator[Command]:
    request = _find(message, host, core)
    if request is None:
        return
    yield _ack(message, host)
    if message.reason != NOT_KNOWN and host in core.hosts:
        core.hosts[host].breaker.record_failure(now)
        core.hosts[host].unreached_offers += message.reason == UNREACHED
    if message.reason in (ENDED, UNREACHED):
        core.doubt_version(host, now)
    if message.reason == ENDED:
        yield from _record_host_end(request, host, core, now)
    ran = _check_not_run(message.ran, request, now)
    yield from handle_loss(request, ran, message.reason, core, now)


@receive.register
def _(
    message: Cancelled, host: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    request = _find(message, host, core)
    if request is None or request.phase != WITHDRAWING:
        return
    if message.ran == Ran.NO:
        ran = _check_not_run(message.ran, request, now)
        yield from handle_loss(request, ran, "offer timed out", core, now)
        return
    # The call has started and is allowed to finish, so its outcome can be awaited.
    request.phase = ACCEPTED
    set_phase_end(request, float("inf"), core)
    yield Send(host, Attach(*_attempt_key(message), len(request.received)))


def _find(message: Message, host: str, core: DispatchCore) -> OpenRequest | None:
    """Find the request that a message concerns, or None if the message is stale.

    Messages of withdrawn attempts and finished requests may arrive at any later time;
    only messages of the current attempt from its own host are accepted.
    """
    request = core.requests.get(message.request)
    if request is None or request.host != host or request.attempt != message.attempt:
        return None
    return request


def _check_not_run(ran: str, request: OpenRequest, now: float) -> str:
    """Downgrade an agent's "not run" to "unknown" if the offer is too old.

    An agent that does not remember an attempt reports that it did not run, but agents
    forget attempts after a while: an entry that was paused for long could treat work
    that had run as "not run". The offer's age, measured from before it was sent, bounds
    what the agent can have forgotten.
    """
    is_recent = now - request.offered_at < const.NOT_RUN_TRUST_SECONDS
    return ran if is_recent else Ran.UNKNOWN


def _record_host_end(
    request: OpenRequest, host: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Record that a host terminated with a request open that may have started."""
    known = core.hosts.get(host)
    # A draining host is expected to terminate. Computing only the prompt is no run.
    if known is None or not known.live or request.stage == PREFILL:
        return
    began = now if request.accepted_at is None else request.accepted_at
    end = HostEnd(request.known_ends, now - began)
    ends = core.suspects.record_host_end(request.terms.content, end, now)
    known.ended_at = now
    known.ended_contents.add(request.terms.content)
    text = f"{host} terminated with it open, {ends} hosts in a row"
    data_since = now if request.data_since is None else request.data_since
    run = OpenRun(
        request.terms.content, request.part_keys, request.offered_at, now - data_since
    )
    if core.part_suspects.record_end(host, run, now):
        text += ", prompt parts of such requests are denied"
    yield RecordStep(request.work.request, text)


def _record_survival(request: OpenRequest, core: DispatchCore, now: float) -> None:
    """Record that an answer goes on, in favour of suspected parts of its prompt."""
    if request.data_since is None:
        request.data_since = now
    elif core.part_suspects.is_active:
        seconds = now - request.data_since
        core.part_suspects.record_survival(request.part_keys, seconds)


def _retract_host_end(
    request: OpenRequest, known: KnownHost, core: DispatchCore
) -> None:
    """Retract a host's recorded termination because the host accepts new work.

    A cut link may refuse connections as well and then looks like a terminated host. A
    host that keeps its name may have restarted since; its next heartbeat shows that.
    """
    if known.reports_start or request.offered_at <= known.ended_at:
        return
    if not known.ended_contents:
        return
    for content in known.ended_contents:
        core.suspects.clear(content)
    core.part_suspects.retract_end(known.host)
    known.ended_contents.clear()


def _penalize_refusal(host: str, reason: str, core: DispatchCore, now: float) -> None:
    """Exclude a refusing host: for good if another instance has its address.

    An engine that changes its role refuses all work at once. It thus has the fewest
    open requests and would be chosen for every new one.
    """
    known = core.hosts.get(host)
    # A host that asked for a pause is healthy and has named the time itself.
    if known is None or now < known.paused_until:
        return
    if reason == REPLACED:
        known.live = False
        return
    # A single refusal may concern the offer, such as a KV cache that can't be fetched.
    known.refusals += 1
    if known.refusals >= const.REFUSALS_TO_TRIP_BREAKER:
        known.breaker.record_failure(now)


def _is_of_other_answer(request: OpenRequest) -> bool:
    """Return whether new data must not be appended to the caller's partial answer.

    A stream is continued only by an attempt that has itself begun a stream. Data of
    any other attempt is the body of a failure answer, which does not belong after the
    events of the previous attempt.
    """
    is_continuation = request.work.kind != STREAM or request.head is not None
    return request.has_part and not is_continuation


def _deliver(
    new: bytes, request: OpenRequest, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Deliver new bytes of an answer to a caller that streams it."""
    if request.answered or not request.streamed:
        return
    name = request.work.request
    if request.work.kind == STREAM and not request.has_part:
        if request.head is None:
            return
        # The head is sent with the first event only: until then another host's answer,
        # or a failure answer, can still be sent in its place.
        record_begin(request, core, now)
        yield Begin(name, request.head.status, request.head.headers)
    request.has_part = True
    yield Deliver(name, new, request.tokens)


def _prepare_move(request: OpenRequest, host: str, hold_until: float) -> None:
    """Let the request move to another host because of a planned change."""
    request.tried = {host}
    request.offers = 0
    request.hold_rounds = 0
    request.hold_until = max(request.hold_until, hold_until)


def _confirm_end(
    message: Finished | Handover, request: OpenRequest, host: str, core: DispatchCore
) -> Generator[Command, None, bool]:
    """Acknowledge the end of an answer; return whether it arrived intact."""
    # The final frame may arrive although a broken link has lost a chunk before it: the
    # received data is complete only if length and checksum match the agent's.
    if len(request.received) < message.length:
        yield from _request_resend(request, host)
        return False
    yield _ack(message, host)
    if message.checksum == request.checksum():
        return True
    text = "the answer's checksum does not match the upstream's"
    yield from refuse_without_retry_after(request, 502, const.CODE_CORRUPT, text, core)
    return False


def _handle_failed_continuation(
    message: Finished, request: OpenRequest, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Handle a final answer that does not continue the caller's partial answer."""
    if message.status >= const.MIN_FAILURE_STATUS:
        reason = f"status {message.status}"
        yield from handle_loss(request, Ran.UNKNOWN, reason, core, now)
        return
    # The request itself is at fault, so another host would answer the same.
    text = f"a host answered status {message.status} instead of resuming the answer"
    yield from refuse_without_retry_after(
        request, 502, const.CODE_REST_REFUSED, text, core
    )


def _request_resend(request: OpenRequest, host: str) -> Iterator[Command]:
    """Request the answer from the first missing byte, once for each gap."""
    offset = len(request.received)
    if request.resend_offset == offset:
        return
    request.resend_offset = offset
    yield RecordStep(
        request.work.request, f"data missing from byte {offset}, resend requested"
    )
    yield Send(host, Attach(request.work.request, request.attempt, offset))


def _ack(message: Finished | Handover | Lost, host: str) -> Send:
    return Send(host, Ack(*_attempt_key(message), message.length))


def _attempt_key(message: Message) -> tuple[str, int]:
    return message.request, message.attempt
