"""Decide what follows from what a host says of a request's attempt."""

from collections.abc import Generator, Iterator
from functools import singledispatch

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
    Message,
    Refused,
)
from radishtally.outcome import Ran
from radishtally.serving import const
from radishtally.serving.conclusions import conclude
from radishtally.serving.events import (
    Begin,
    Command,
    Deliver,
    DropKv,
    Finish,
    RecordStep,
    Send,
    Settle,
)
from radishtally.serving.hosts import KnownHost
from radishtally.serving.offers import (
    fail,
    lose,
    offer,
    refuse,
    wait,
)
from radishtally.serving.requests import (
    ACCEPTED,
    OFFERED,
    WITHDRAWING,
    OpenRequest,
)
from radishtally.serving.state import DispatchCore
from radishtally.serving.suspects import HostEnd


@singledispatch
def receive(
    message: Message, host: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Take a message about an attempt and give the commands that follow from it."""
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
        # The attempt was given up, or its request ended: without a word the agent
        # would run it for nobody.
        yield Send(host, Cancel(message.request, message.attempt))
        return
    if request.phase != OFFERED:
        return
    if host in core.hosts:
        core.hosts[host].breaker.record_success()
        core.hosts[host].refusals = 0
        core.hosts[host].unreached_offers = 0
        _note_alive(request, core.hosts[host], core)
    request.phase = ACCEPTED
    request.accepted_at = now
    wait(request, float("inf"), core)
    joined = ", joined to the answer of its key" if message.attached else ""
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
    core.leave_host(request)
    if core.refusals_cost_retries:
        request.owes_retry = True
        _pass_over(host, message.reason, core, now)
    if request.kv is not None and request.tried:
        # A second host can't have it either: the fault lies with the KV cache.
        yield DropKv(request.kv)
        request.give_up_kv()
    if message.reason == KEY_REUSED:
        text = "the idempotency key was used with another request"
        yield from refuse(request, 422, const.CODE_KEY_REUSED, text, None, core)
        return
    known = request.retry_after
    asked = message.retry_after
    request.retry_after = asked if known is None else min(known, asked)
    if request.phase == ACCEPTED and message.reason == LEAVING:
        # Its host had taken the work and gives it back for a planned change.
        _move(request, host, now + const.REQUEUE_SECONDS)
    else:
        request.tried.add(host)
    yield from offer(request, core, now)


@receive.register
def _(message: Begun, host: str, core: DispatchCore, now: float) -> Iterator[Command]:
    request = _find(message, host, core)
    if request is None:
        return
    request.head = message
    # What was fetched is the engine's own now, and is nobody's to free.
    request.kv = None
    yield from ()


@receive.register
def _(message: Chunk, host: str, core: DispatchCore, now: float) -> Iterator[Command]:
    request = _find(message, host, core)
    if request is None or _is_foreign(request):
        return
    new = request.append(message.offset, message.data, message.tokens)
    if new is None:
        yield from _ask_again(request, host)
        return
    if not new:
        return
    if request.phase in (OFFERED, WITHDRAWING):
        request.phase = ACCEPTED
        wait(request, float("inf"), core)
    if host in core.hosts:
        core.placement.record_progress(request, core.hosts[host], now)
    yield from _deliver(new, request)


@receive.register
def _(
    message: Finished, host: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    request = _find(message, host, core)
    if request is None:
        return
    if request.has_part and message.status != const.OK:
        yield _ack(message, host)
        yield from _end_rest(message, request, core, now)
        return
    if not (yield from _confirm_end(message, request, host, core)):
        return
    body = bytes(request.received)
    if message.status >= const.MIN_FAILURE_STATUS and request.work.idempotent:
        request.failure = Finish(message.request, message, body)
        reason = f"status {message.status}"
        yield from lose(request, Ran.UNKNOWN, reason, core, now)
        return
    if message.status < const.MIN_FAILURE_STATUS:
        core.suspects.clear(request.terms.content)
    if host in core.hosts:
        core.hosts[host].breaker.record_success()
        core.placement.finish(request, core.hosts[host])
    core.leave_host(request)
    core.requests.pop(message.request)
    yield from conclude(request, message, body)
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
    core.leave_host(request)
    # A prompt alone that was computed is no run of the request.
    request.maybe_ran |= request.stage != PREFILL or bool(request.received)
    if request.stage == PREFILL and message.kv is not None:
        request.next_stage = DECODE
        request.tried.clear()
        request.offers = 0
        request.hold_until = float("inf")
    else:
        request.next_stage = WHOLE
        _move(request, host, float("inf"))
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
    if message.reason == ENDED:
        yield from _note_end(request, host, core, now)
    ran = _believe(message.ran, request, now)
    yield from lose(request, ran, message.reason, core, now)


@receive.register
def _(
    message: Cancelled, host: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    request = _find(message, host, core)
    if request is None or request.phase != WITHDRAWING:
        return
    if message.ran == Ran.NO:
        ran = _believe(message.ran, request, now)
        yield from lose(request, ran, "offer went unanswered", core, now)
        return
    # The call has begun and is left to end: its outcome is there to be had.
    request.phase = ACCEPTED
    wait(request, float("inf"), core)
    yield Send(host, Attach(*_name(message), len(request.received)))


def _find(message: Message, host: str, core: DispatchCore) -> OpenRequest | None:
    """Find the request a message is about, unless the message is out of date.

    An answer to another request, or from an attempt that was given up, may come at
    any time later; only the present attempt at its own host is listened to.
    """
    request = core.requests.get(message.request)
    if request is None or request.host != host or request.attempt != message.attempt:
        return None
    return request


def _believe(ran: str, request: OpenRequest, now: float) -> str:
    """Take an agent's "not run" for what it is still worth.

    An agent that remembers no such attempt says that it did not run, but it forgets
    in time: an entry that was paused for long would call "not run" what had run. The
    offer's age, counted from before it was sent, bounds what can have been forgotten.
    """
    young = now - request.offered_at < const.NOT_RUN_TRUST_SECONDS
    return ran if young else Ran.UNKNOWN


def _note_end(
    request: OpenRequest, host: str, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Take that a host has ended under a request that it may have begun to run."""
    known = core.hosts.get(host)
    # One that leaves ends by itself. A prompt alone that is computed is no run.
    if known is None or not known.live or request.stage == PREFILL:
        return
    began = now if request.accepted_at is None else request.accepted_at
    end = HostEnd(request.ends_known, now - began)
    ends = core.suspects.record_host_end(request.terms.content, end, now)
    known.ended_at = now
    known.ended_under.add(request.terms.content)
    yield RecordStep(
        request.work.request, f"{host} ended under it, {ends} hosts in a row"
    )


def _note_alive(request: OpenRequest, known: KnownHost, core: DispatchCore) -> None:
    """Take back that a host has ended which takes new work.

    A cut link may refuse connections as well, and looks like an end. A host that keeps
    its name may have started again since, which its next heartbeat tells.
    """
    if known.reports_start or request.offered_at <= known.ended_at:
        return
    for content in known.ended_under:
        core.suspects.clear(content)
    known.ended_under.clear()


def _pass_over(host: str, reason: str, core: DispatchCore, now: float) -> None:
    """Leave a host out that refuses: for good if another one has its address.

    An engine that changes its role refuses at once whatever comes, so it has the
    fewest open requests of all and would be chosen for each new one.
    """
    known = core.hosts.get(host)
    # One that asks for a pause is well, and says itself how long it is left out.
    if known is None or now < known.paused_until:
        return
    if reason == REPLACED:
        known.live = False
        return
    # One refusal may be about what was offered, as a KV cache that can't be fetched.
    known.refusals += 1
    if known.refusals >= const.REFUSALS_TO_TRIP_BREAKER:
        known.breaker.record_failure(now)


def _is_foreign(request: OpenRequest) -> bool:
    """Tell whether what comes is another answer than the one the caller has a part of.

    Only a run that has said to go on with a stream gives more of it. A failure's body
    would stand behind the events of the run before.
    """
    is_rest = request.work.kind != STREAM or request.head is not None
    return request.has_part and not is_rest


def _deliver(new: bytes, request: OpenRequest) -> Iterator[Command]:
    """Pass on what came of an answer, if its caller takes it bit by bit."""
    if request.answered or not request.streamed:
        return
    name = request.work.request
    if request.work.kind == STREAM and not request.has_part:
        if request.head is None:
            return
        # A head that no event follows binds nobody: another host's answer, or its
        # failure, may still be given whole.
        yield Begin(name, request.head.status, request.head.headers)
    request.has_part = True
    yield Deliver(name, new, request.tokens)


def _move(request: OpenRequest, host: str, hold_until: float) -> None:
    """Take note that a planned change moves the request: it is not cut for that."""
    request.tried = {host}
    request.offers = 0
    request.rounds = 0
    request.hold_until = max(request.hold_until, hold_until)


def _confirm_end(
    message: Finished | Handover, request: OpenRequest, host: str, core: DispatchCore
) -> Generator[Command, None, bool]:
    """Tell whether the answer has come as its agent has it, and confirm that."""
    # The final frame may overtake a chunk that a broken link has lost: what has come
    # is right only if its length and checksum are the agent's.
    if len(request.received) < message.length:
        yield from _ask_again(request, host)
        return False
    yield _ack(message, host)
    if message.checksum == request.checksum():
        return True
    text = "the answer differs from what the upstream gave"
    yield from fail(request, 502, const.CODE_CORRUPT, text, core)
    return False


def _end_rest(
    message: Finished, request: OpenRequest, core: DispatchCore, now: float
) -> Iterator[Command]:
    """Take another answer than the rest of the one that the caller has a part of."""
    if message.status >= const.MIN_FAILURE_STATUS:
        reason = f"status {message.status}"
        yield from lose(request, Ran.UNKNOWN, reason, core, now)
        return
    # The request itself is at fault: another host would say the same.
    text = f"a host answered {message.status} to the rest of the answer"
    yield from fail(request, 502, const.CODE_REST_REFUSED, text, core)


def _ask_again(request: OpenRequest, host: str) -> Iterator[Command]:
    """Ask for the answer from the first missing byte, once for each gap."""
    offset = len(request.received)
    if request.asked_again_at == offset:
        return
    request.asked_again_at = offset
    yield RecordStep(request.work.request, f"part missing from byte {offset}")
    yield Send(host, Attach(request.work.request, request.attempt, offset))


def _ack(message: Finished | Handover | Lost, host: str) -> Send:
    return Send(host, Ack(*_name(message), message.length))


def _name(message: Message) -> tuple[str, int]:
    return message.request, message.attempt
