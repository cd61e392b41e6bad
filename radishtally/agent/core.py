"""Core of the agent: admission, starting work, answers and drains."""

from collections.abc import Iterator
from functools import singledispatch

from radishtally.agent import events
from radishtally.agent.admission import (
    admit,
    attach,
    attach_repeat,
    make_finished,
    refuse,
    send_unsent,
)
from radishtally.agent.answers import Assignment, AttemptId
from radishtally.agent.const import (
    DELIVERY_TIMEOUT_SECONDS,
    FLUSH_INTERVAL_SECONDS,
    LATENCY_EWMA_WEIGHT,
    ORPHAN_GRACE_SECONDS,
    REASON_CANCELLED,
    REASON_DEADLINE,
    REASON_UNEXPECTED,
)
from radishtally.agent.events import Command, Event, Send
from radishtally.agent.retention import EndedAttempt
from radishtally.agent.state import ActiveDrain, AgentCore
from radishtally.links.kinds import Message
from radishtally.links.messages import (
    CALL,
    LEAVING,
    NOT_KNOWN,
    PREFILL,
    Ack,
    Attach,
    Cancel,
    Cancelled,
    Handover,
    KvRef,
    Leaving,
    Lost,
    Offer,
    Ping,
)
from radishtally.outcome import Ran

__all__ = ["AgentCore", "handle_event"]


def handle_event(event: Event, core: AgentCore, now: float) -> list[Command]:
    """Handle one event and return the resulting commands."""
    commands = list(_contain_attempt(event, core, now))
    commands += _start_ready(core, now)
    commands += _flush(core, now)
    if core.drains and _is_empty(core, now):
        commands.append(events.Drained())
    return commands


def _contain_attempt(event: Event, core: AgentCore, now: float) -> Iterator[Command]:
    """Handle an event; after an exception end the attempt that it is about."""
    try:
        yield from _handle(event, core, now)
    except Exception as error:
        subject = getattr(event, "message", event)
        work = getattr(subject, "work", subject)
        attempt_id = getattr(work, "request", ""), getattr(subject, "attempt", 0)
        if core.on_error is None:
            raise
        core.on_error(error, attempt_id[0])
        if attempt_id[0]:
            yield from _end_attempt(attempt_id, getattr(event, "host", ""), core, now)


def _end_attempt(
    attempt_id: AttemptId, host: str, core: AgentCore, now: float
) -> Iterator[Command]:
    """Report an attempt in an unknown state as lost; it may have run."""
    assignment = core.find(attempt_id)
    if assignment is None or assignment.ended is not None:
        core.ended_attempts.record(attempt_id, Ran.UNKNOWN, REASON_UNEXPECTED, now)
        if host:
            yield Send(host, Lost(*attempt_id, Ran.UNKNOWN, REASON_UNEXPECTED, 0))
        return
    # A call that may be half done is not interrupted.
    if assignment.offer.work.idempotent and not core.queue.remove(*attempt_id):
        yield events.Abort(*assignment.attempt_id)
    assignment.answer.end = _make_lost(assignment, Ran.UNKNOWN, REASON_UNEXPECTED)
    core.end(assignment, now)


@singledispatch
def _handle(event: Event, core: AgentCore, now: float) -> Iterator[Command]:
    raise TypeError(f"no handler for an event of type {type(event)}")


@_handle.register
def _(event: events.LinkUp, core: AgentCore, now: float) -> Iterator[Command]:
    core.entries.add(event.host)
    if core.is_stopping:
        yield Send(event.host, Leaving(core.host, "stopping"))
    yield Send(event.host, core.load(now))


@_handle.register
def _(event: events.LinkDown, core: AgentCore, now: float) -> Iterator[Command]:
    core.entries.discard(event.host)
    for assignment in core.assignments.values():
        assignment.answer.unsubscribe_host(event.host)
        _check_orphan(assignment, core, now)
    yield from ()


@_handle.register
def _(event: events.Received, core: AgentCore, now: float) -> Iterator[Command]:
    yield from _receive(event.message, event.host, core, now)


@_handle.register
def _(event: events.UpstreamRead, core: AgentCore, now: float) -> Iterator[Command]:
    was_ready = core.upstream_state is not None and core.upstream_state.ready
    core.upstream_state = event
    if was_ready == event.ready:
        return
    for host in sorted(core.entries):
        yield Send(host, core.load(now))


@_handle.register
def _(event: events.Produced, core: AgentCore, now: float) -> Iterator[Command]:
    assignment = core.running.get((event.request, event.attempt))
    if assignment is not None:
        if assignment.last_token is not None:
            core.queue.record_tokens(now - assignment.last_token, event.tokens, now)
        assignment.last_token = now
        assignment.answer.append(event.data, event.tokens)
        core.dirty[assignment.attempt_id] = assignment
    yield from ()


@_handle.register
def _(event: events.Completed, core: AgentCore, now: float) -> Iterator[Command]:
    assignment = core.running.get((event.request, event.attempt))
    if assignment is None:
        return
    work, answer = assignment.offer.work, assignment.answer
    if work.kind == CALL:
        core.latency += LATENCY_EWMA_WEIGHT * (event.seconds - core.latency)
    elif event.status != 200 and answer.data:
        # The caller already has a part of the answer, and the text of the refusal would
        # be taken for the rest of it.
        answer.end = _make_lost(assignment, Ran.UNKNOWN, "the engine did not go on")
        core.end(assignment, now)
        return
    is_part = assignment.offer.stage == PREFILL and event.finish_reason == "length"
    if is_part and answer.tokens < work.max_tokens:
        if not assignment.is_exporting:
            yield from _export(assignment)
        return
    answer.end = make_finished(assignment, event)
    core.end(assignment, now)


@_handle.register
def _(event: events.Failed, core: AgentCore, now: float) -> Iterator[Command]:
    assignment = core.running.get((event.request, event.attempt))
    if assignment is None:
        return
    if assignment.is_exporting:
        _hand_over(assignment, None, core, now)
        return
    assignment.answer.end = _make_lost(assignment, event.ran, event.reason)
    core.end(assignment, now)
    yield from ()


@_handle.register
def _(event: events.Exported, core: AgentCore, now: float) -> Iterator[Command]:
    assignment = core.running.get((event.request, event.attempt))
    if assignment is not None:
        _hand_over(assignment, event.kv, core, now)
    yield from ()


@_handle.register
def _(event: events.Drain, core: AgentCore, now: float) -> Iterator[Command]:
    core.drains[event.reason] = ActiveDrain(event, now + event.seconds)
    for host in sorted(core.entries):
        if event.final:
            yield Send(host, Leaving(core.host, event.reason))
        yield Send(host, core.load(now))
    for job in core.queue.drain():
        yield from _refuse_accepted((job.request, job.attempt), LEAVING, core, now)


@_handle.register
def _(event: events.Undrain, core: AgentCore, now: float) -> Iterator[Command]:
    core.drains.pop(event.reason, None)
    if core.drains:
        return
    for host in sorted(core.entries):
        yield Send(host, core.load(now))


@_handle.register
def _(event: events.Tick, core: AgentCore, now: float) -> Iterator[Command]:
    for job in core.queue.expire(core.rates(), core.running_work(), now):
        yield from _refuse_accepted(
            (job.request, job.attempt), REASON_DEADLINE, core, now
        )
    yield from _hand_over_overdue(core, now)
    yield from _drop_orphans(core, now)
    for assignment in core.retained.list_evictable(now):
        core.remove(assignment, NOT_KNOWN, now)
    core.ended_attempts.evict_expired(now)


@singledispatch
def _receive(
    message: Message, host: str, core: AgentCore, now: float
) -> Iterator[Command]:
    yield from ()


@_receive.register
def _(message: Ping, host: str, core: AgentCore, now: float) -> Iterator[Command]:
    yield Send(host, core.load(now))


@_receive.register
def _(message: Offer, host: str, core: AgentCore, now: float) -> Iterator[Command]:
    attempt_id = message.work.request, message.attempt
    ended = core.ended_attempts.get(attempt_id)
    if ended is not None:
        yield _answer_ended(attempt_id, ended, host, core, now)
        return
    assignment = core.find(attempt_id)
    if assignment is not None:
        yield from attach(assignment, attempt_id, host, len(message.done), core)
        return
    known = core.keys.get((message.work.team, message.work.key))
    if message.work.key and known is not None:
        yield from attach_repeat(message, core.assignments[known], host, core, now)
        return
    yield from admit(message, host, core, now)


@_receive.register
def _(message: Attach, host: str, core: AgentCore, now: float) -> Iterator[Command]:
    attempt_id = message.request, message.attempt
    assignment = core.find(attempt_id)
    if assignment is not None:
        yield from attach(assignment, attempt_id, host, message.offset, core)
        return
    ended = core.ended_attempts.get(attempt_id)
    if ended is None:
        # Every accepted attempt is remembered for long after its end, so this one's
        # offer has not arrived. Recording it ensures that a late offer is refused.
        core.ended_attempts.record(attempt_id, Ran.NO, NOT_KNOWN, now)
        ended = core.ended_attempts.get(attempt_id)
    if ended.reason == LEAVING:
        yield refuse(attempt_id, host, LEAVING, core, now)
        return
    yield Send(host, Lost(*attempt_id, ended.ran, ended.reason, 0))


@_receive.register
def _(message: Cancel, host: str, core: AgentCore, now: float) -> Iterator[Command]:
    attempt_id = message.request, message.attempt
    assignment = core.find(attempt_id)
    if assignment is None:
        # The offer may still be delayed in a slow link. Recording the attempt ensures
        # that a late offer is refused, so that "not run" stays true.
        ended = core.ended_attempts.get(attempt_id)
        ran = Ran.NO if ended is None else ended.ran
        core.ended_attempts.record(attempt_id, ran, REASON_CANCELLED, now)
        yield Send(host, Cancelled(*attempt_id, ran))
        return
    work = assignment.offer.work
    if assignment.started is not None and not work.idempotent:
        # The call may be half done, so it is not interrupted. Its entry, or a repeat of
        # its key, may still ask for the outcome.
        yield Send(host, Cancelled(*attempt_id, Ran.UNKNOWN))
        return
    shared = len(assignment.attempt_ids) > 1
    ran = Ran.UNKNOWN if shared or assignment.started is not None else Ran.NO
    core.remove_attempt(attempt_id, assignment, ran, REASON_CANCELLED, now)
    yield Send(host, Cancelled(*attempt_id, ran))
    if shared:
        _check_orphan(assignment, core, now)
        return
    yield from _cancel_unwanted(assignment, core, now)


@_receive.register
def _(message: Ack, host: str, core: AgentCore, now: float) -> Iterator[Command]:
    attempt_id = message.request, message.attempt
    assignment = core.find(attempt_id)
    if assignment is None or assignment.ended is None:
        return
    assignment.delivered = True
    assignment.answer.unsubscribe(*attempt_id)
    if not assignment.offer.work.key and assignment.attempt_ids == {attempt_id}:
        core.remove(assignment, NOT_KNOWN, now)
    yield from ()


def _answer_ended(
    attempt_id: AttemptId, ended: EndedAttempt, host: str, core: AgentCore, now: float
) -> Command:
    """Answer a late offer, whose attempt has already ended."""
    if ended.ran == Ran.NO:
        return refuse(attempt_id, host, ended.reason, core, now)
    return Send(host, Lost(*attempt_id, ended.ran, ended.reason, 0))


def _refuse_accepted(
    attempt_id: AttemptId, reason: str, core: AgentCore, now: float
) -> Iterator[Command]:
    """Refuse accepted work that has not started, and remove it."""
    assignment = core.assignments[attempt_id]
    for subscriber in assignment.answer.subscribers:
        one = subscriber.request, subscriber.attempt
        yield refuse(one, subscriber.host, reason, core, now)
    core.remove(assignment, reason, now)


def _cancel_unwanted(
    assignment: Assignment, core: AgentCore, now: float
) -> Iterator[Command]:
    """Remove work without subscribers, unless it is an ended answer with a key."""
    if assignment.ended is not None and assignment.offer.work.key:
        return
    if assignment.ended is None and not core.queue.remove(*assignment.attempt_id):
        yield events.Abort(*assignment.attempt_id)
    core.remove(assignment, REASON_CANCELLED, now)


def _start_ready(core: AgentCore, now: float) -> Iterator[Command]:
    if core.upstream_state is None or not core.upstream_state.ready or core.drains:
        return
    while len(core.running) < core.upstream_state.slots:
        job = core.queue.pop_next(now)
        if job is None:
            return
        assignment = core.assignments[job.request, job.attempt]
        assignment.started = now
        core.running[assignment.attempt_id] = assignment
        yield events.Run(assignment.offer)


def _flush(core: AgentCore, now: float) -> Iterator[Command]:
    for attempt_id, assignment in list(core.dirty.items()):
        waits = now - assignment.last_flush < FLUSH_INTERVAL_SECONDS
        if waits and assignment.ended is None:
            continue
        del core.dirty[attempt_id]
        assignment.last_flush = now
        yield from send_unsent(assignment)


def _make_lost(assignment: Assignment, ran: str, reason: str) -> Lost:
    return Lost(*assignment.attempt_id, ran, reason, len(assignment.answer.data))


def _export(assignment: Assignment) -> Iterator[Command]:
    assignment.is_exporting = True
    yield events.Export(*assignment.attempt_id)


def _hand_over(
    assignment: Assignment, kv: KvRef | None, core: AgentCore, now: float
) -> None:
    answer = assignment.answer
    answer.end = Handover(
        *assignment.attempt_id, len(answer.data), answer.checksum(), kv
    )
    core.end(assignment, now)


def _hand_over_overdue(core: AgentCore, now: float) -> Iterator[Command]:
    if now < core.handover_time:
        return
    for assignment in core.running.values():
        # A call can't be moved, and interrupting it would leave its caller without an
        # outcome, so it is left to finish.
        if not assignment.is_exporting and assignment.offer.work.kind != CALL:
            yield from _export(assignment)


def _is_empty(core: AgentCore, now: float) -> bool:
    """Return whether no work is left and, when stopping, all ends are delivered."""
    if core.running or len(core.queue):
        return False
    # If a link breaks, an entry gets the lost end of an answer over its next link. Once
    # the process has exited it can't, and would treat a whole answer as lost.
    return not core.is_stopping or all(
        a.delivered or now - a.ended > DELIVERY_TIMEOUT_SECONDS for a in core.retained
    )


def _check_orphan(assignment: Assignment, core: AgentCore, now: float) -> None:
    is_open = assignment.ended is None
    if is_open and not assignment.answer.subscribers and assignment.orphaned_at is None:
        assignment.orphaned_at = now
        core.orphans[assignment.attempt_id] = assignment


def _drop_orphans(core: AgentCore, now: float) -> Iterator[Command]:
    for assignment in list(core.orphans.values()):
        work = assignment.offer.work
        # A caller with an idempotency key may return through another entry until its
        # deadline. A call that may not run twice is never dropped, because it has
        # started or soon will.
        since = assignment.job.deadline if work.key else assignment.orphaned_at
        late = now - max(since, assignment.orphaned_at) > ORPHAN_GRACE_SECONDS
        if work.idempotent and late:
            yield from _cancel_unwanted(assignment, core, now)
