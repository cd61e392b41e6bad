"""Decide what the agent does: admission, order of work, answers, leaving."""

from collections.abc import Iterator
from functools import singledispatch

from radishtally.agent import events
from radishtally.agent.admission import (
    attach,
    consider,
    join,
    make_finished,
    refuse,
    send_rest,
)
from radishtally.agent.answers import Assignment, AttemptId
from radishtally.agent.const import (
    DELIVER_SECONDS,
    FLUSH_SECONDS,
    LATENCY_WEIGHT,
    ORPHAN_SECONDS,
    REASON_CANCELLED,
    REASON_NOT_MET,
)
from radishtally.agent.events import Command, Event, Send
from radishtally.agent.retention import EndedAttempt
from radishtally.agent.state import AgentCore, DrainInForce
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
    Message,
    Offer,
    Ping,
)
from radishtally.outcome import Ran

__all__ = ["AgentCore", "handle_event"]


def handle_event(event: Event, core: AgentCore, now: float) -> list[Command]:
    """Take one event and give the commands that follow from it."""
    commands = list(_handle(event, core, now))
    commands += _start_ready(core, now)
    commands += _flush(core, now)
    if core.drains and _is_empty(core, now):
        commands.append(events.Drained())
    return commands


@singledispatch
def _handle(event: Event, core: AgentCore, now: float) -> Iterator[Command]:
    raise TypeError(f"no handler for {type(event)}")


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
    was_ready = core.state is not None and core.state.ready
    core.state = event
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
        core.latency += LATENCY_WEIGHT * (event.seconds - core.latency)
    elif event.status != 200 and answer.data:
        # Put under a part that the caller has, the refusal would pass for the rest.
        answer.end = _make_lost(assignment, Ran.UNKNOWN, "the engine did not go on")
        core.end(assignment, now)
        return
    is_part = assignment.offer.stage == PREFILL and event.finish_reason == "length"
    if is_part and answer.tokens < work.max_tokens:
        if not assignment.leaving:
            yield from _export(assignment)
        return
    answer.end = make_finished(assignment, event)
    core.end(assignment, now)


@_handle.register
def _(event: events.Failed, core: AgentCore, now: float) -> Iterator[Command]:
    assignment = core.running.get((event.request, event.attempt))
    if assignment is None:
        return
    if assignment.leaving:
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
    core.drains[event.reason] = DrainInForce(event, now + event.seconds)
    for host in sorted(core.entries):
        if event.final:
            yield Send(host, Leaving(core.host, event.reason))
        yield Send(host, core.load(now))
    for job in core.queue.drain():
        yield from _give_back((job.request, job.attempt), LEAVING, core, now)


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
        yield from _give_back((job.request, job.attempt), REASON_NOT_MET, core, now)
    yield from _hand_over_late(core, now)
    yield from _drop_orphans(core, now)
    for assignment in core.retained.list_old(now):
        core.remove(assignment, NOT_KNOWN, now)
    core.ended_attempts.forget_old(now)


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
        yield from join(message, core.assignments[known], host, core, now)
        return
    yield from consider(message, host, core, now)


@_receive.register
def _(message: Attach, host: str, core: AgentCore, now: float) -> Iterator[Command]:
    attempt_id = message.request, message.attempt
    assignment = core.find(attempt_id)
    if assignment is not None:
        yield from attach(assignment, attempt_id, host, message.offset, core)
        return
    ended = core.ended_attempts.get(attempt_id)
    if ended is None:
        # Every attempt that was taken on is remembered for long, so this one's offer
        # did not come. From now on it can't be begun here, however late it comes.
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
        # The offer may still be on its way, held up in a slow link. It is refused
        # when it comes, so that "not run" stays true.
        ended = core.ended_attempts.get(attempt_id)
        ran = Ran.NO if ended is None else ended.ran
        core.ended_attempts.record(attempt_id, ran, REASON_CANCELLED, now)
        yield Send(host, Cancelled(*attempt_id, ran))
        return
    work = assignment.offer.work
    if assignment.started is not None and not work.idempotent:
        # The call may be half done: it is left to end. Its entry may still come for
        # its outcome, and a repeat of its key too.
        yield Send(host, Cancelled(*attempt_id, Ran.UNKNOWN))
        return
    shared = len(assignment.attempt_ids) > 1
    ran = Ran.UNKNOWN if shared or assignment.started is not None else Ran.NO
    core.leave(attempt_id, assignment, ran, REASON_CANCELLED, now)
    yield Send(host, Cancelled(*attempt_id, ran))
    if shared:
        _check_orphan(assignment, core, now)
        return
    yield from _stop_unwanted(assignment, core, now)


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
    """Answer an offer that comes after its attempt is over."""
    if ended.ran == Ran.NO:
        return refuse(attempt_id, host, ended.reason, core, now)
    return Send(host, Lost(*attempt_id, ended.ran, ended.reason, 0))


def _give_back(
    attempt_id: AttemptId, reason: str, core: AgentCore, now: float
) -> Iterator[Command]:
    """Tell the entries of accepted work that it did not start and won't."""
    assignment = core.assignments[attempt_id]
    for subscriber in assignment.answer.subscribers:
        one = subscriber.request, subscriber.attempt
        yield refuse(one, subscriber.host, reason, core, now)
    core.remove(assignment, reason, now)


def _stop_unwanted(
    assignment: Assignment, core: AgentCore, now: float
) -> Iterator[Command]:
    """End work that nobody waits for; an answer with a key is kept for a repeat."""
    if assignment.ended is not None and assignment.offer.work.key:
        return
    if assignment.ended is None and not core.queue.remove(*assignment.attempt_id):
        yield events.Abort(*assignment.attempt_id)
    core.remove(assignment, REASON_CANCELLED, now)


def _start_ready(core: AgentCore, now: float) -> Iterator[Command]:
    if core.state is None or not core.state.ready or core.drains:
        return
    while len(core.running) < core.state.slots:
        job = core.queue.pop_next(now)
        if job is None:
            return
        assignment = core.assignments[job.request, job.attempt]
        assignment.started = now
        core.running[assignment.attempt_id] = assignment
        yield events.Run(assignment.offer)


def _flush(core: AgentCore, now: float) -> Iterator[Command]:
    for attempt_id, assignment in list(core.dirty.items()):
        waits = now - assignment.last_flush < FLUSH_SECONDS
        if waits and assignment.ended is None:
            continue
        del core.dirty[attempt_id]
        assignment.last_flush = now
        yield from send_rest(assignment)


def _make_lost(assignment: Assignment, ran: str, reason: str) -> Lost:
    return Lost(*assignment.attempt_id, ran, reason, len(assignment.answer.data))


def _export(assignment: Assignment) -> Iterator[Command]:
    assignment.leaving = True
    yield events.Export(*assignment.attempt_id)


def _hand_over(
    assignment: Assignment, kv: KvRef | None, core: AgentCore, now: float
) -> None:
    answer = assignment.answer
    answer.end = Handover(
        *assignment.attempt_id, len(answer.data), answer.checksum(), kv
    )
    core.end(assignment, now)


def _hand_over_late(core: AgentCore, now: float) -> Iterator[Command]:
    if now < core.drain_ends:
        return
    for assignment in core.running.values():
        # A call can't be moved: it is waited for, since cutting it would leave its
        # caller without an outcome.
        if not assignment.leaving and assignment.offer.work.kind != CALL:
            yield from _export(assignment)


def _is_empty(core: AgentCore, now: float) -> bool:
    """Tell whether the upstream, and where the process ends its entries, are done."""
    if core.running or len(core.queue):
        return False
    # An answer whose end a broken link took along is had again over the next one, but
    # not from a process that has ended: the entry would take a whole answer for lost.
    return not core.is_stopping or all(
        a.delivered or now - a.ended > DELIVER_SECONDS for a in core.retained
    )


def _check_orphan(assignment: Assignment, core: AgentCore, now: float) -> None:
    is_open = assignment.ended is None
    if is_open and not assignment.answer.subscribers and assignment.orphaned is None:
        assignment.orphaned = now
        core.orphans[assignment.attempt_id] = assignment


def _drop_orphans(core: AgentCore, now: float) -> Iterator[Command]:
    for assignment in list(core.orphans.values()):
        work = assignment.offer.work
        # With a key the caller may come back through another entry, until the time
        # it gave is over. A call that may not run twice has begun or soon will.
        since = assignment.job.deadline if work.key else assignment.orphaned
        late = now - max(since, assignment.orphaned) > ORPHAN_SECONDS
        if work.idempotent and late:
            yield from _stop_unwanted(assignment, core, now)
