"""Decide what the agent does: admission, order of work, answers, leaving."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import singledispatch

import xxhash

from radishtally.agent import events
from radishtally.agent.answers import Answer
from radishtally.agent.const import (
    EXPIRE_SECONDS,
    FLUSH_SECONDS,
    IDLE_WAKE_SECONDS,
    LATENCY_WEIGHT,
    LEAVING_RETRY_SECONDS,
    MAX_RETAINED_BYTES,
    ORPHAN_SECONDS,
    REASON_CANCELLED,
    REASON_KEY_REUSED,
    REASON_LEAVING,
    REASON_NOT_MET,
    REASON_NOT_READY,
    RETAIN_SECONDS,
    SERVICE_LATENCY_START,
    TOMBSTONE_SECONDS,
    UNKEYED_RETAIN_SECONDS,
)
from radishtally.agent.events import Command, Event, Send
from radishtally.limits.queue import Job, Rates, Running, WorkQueue
from radishtally.links.messages import (
    CALL,
    PREFILL,
    Accepted,
    Attach,
    Cancel,
    Cancelled,
    Finished,
    Handover,
    Leaving,
    Load,
    Lost,
    Message,
    Offer,
    Ping,
    Refused,
)
from radishtally.outcome import Ran
from radishtally.planner.demand import Counts

Name = tuple[str, int]
"""Request and attempt."""


@dataclass(slots=True)
class Assignment:
    """Follow one attempt from its acceptance until its answer may go."""

    offer: Offer
    job: Job
    body_hash: int
    answer: Answer
    started: float | None = None
    last_flush: float = float("-inf")
    dirty: bool = False
    ended: float | None = None
    orphaned: float | None = None
    leaving: bool = False

    @property
    def name(self) -> Name:
        """Give the request and attempt."""
        return self.offer.work.request, self.offer.attempt


@dataclass(slots=True)
class AgentCore:
    """Hold what one agent knows."""

    host: str
    upstream: str
    queue: WorkQueue = field(default_factory=WorkQueue)
    assignments: dict[Name, Assignment] = field(default_factory=dict)
    names: dict[Name, Name] = field(default_factory=dict)
    """Assignment that each subscriber's request and attempt stands for."""
    keys: dict[tuple[str, str], Name] = field(default_factory=dict)
    tombstones: dict[Name, float] = field(default_factory=dict)
    running: dict[Name, Assignment] = field(default_factory=dict)
    entries: set[str] = field(default_factory=set)
    state: events.UpstreamRead | None = None
    latency: float = SERVICE_LATENCY_START
    drains: dict[str, events.Drain] = field(default_factory=dict)
    """Drains in force by their reason."""
    drain_ends: float = float("inf")
    retained_bytes: int = 0
    counts: Counts = Counts(0, 0, 0, 0)

    def next_wake(self, now: float) -> float:
        """Give the time at which the core wants a Tick."""
        wake = now + (EXPIRE_SECONDS if len(self.queue) else IDLE_WAKE_SECONDS)
        flushes = [
            a.last_flush + FLUSH_SECONDS for a in self.running.values() if a.dirty
        ]
        return min([wake, *flushes])

    def rates(self) -> Rates:
        """Give what the upstream can do."""
        if self.state is None:
            return Rates(1.0, 1.0, 0)
        if self.state.model:
            return Rates(
                self.state.prefill_rate, self.state.decode_seconds, self.state.slots
            )
        return Rates(float("inf"), self.latency, self.state.slots)

    def running_work(self) -> list[Running]:
        """Give the work at the upstream with what is left of it."""
        return [_measure_running(a) for a in self.running.values()]

    def load(self, now: float) -> Load:
        """Give the load as entries are told it."""
        rates = self.rates()
        state = self.state
        return Load(
            self.host,
            len(self.queue),
            len(self.running),
            rates.slots,
            self.queue.backlog(rates),
            self.queue.wait(rates, self.running_work(), now),
            rates.prefill_rate,
            rates.decode_seconds,
            state.role if state else "",
            state.model if state else "",
            state.version if state else "",
            state.adapters if state else (),
            bool(self.drains) or state is None or not state.ready,
            *self.counts,
        )


def handle_event(event: Event, core: AgentCore, now: float) -> list[Command]:
    """Take one event and give the commands that follow from it."""
    commands = list(_handle(event, core, now))
    commands += _start_ready(core, now)
    commands += _flush(core, now)
    if core.drains and not core.running and not len(core.queue):
        commands.append(events.Drained())
    return commands


@singledispatch
def _handle(event: Event, core: AgentCore, now: float) -> Iterator[Command]:
    raise TypeError(f"no handler for {type(event)}")


@_handle.register
def _(event: events.LinkUp, core: AgentCore, now: float) -> Iterator[Command]:
    core.entries.add(event.host)
    if any(drain.final for drain in core.drains.values()):
        yield Send(event.host, Leaving(core.host, "stopping"))
    yield Send(event.host, core.load(now))


@_handle.register
def _(event: events.LinkDown, core: AgentCore, now: float) -> Iterator[Command]:
    core.entries.discard(event.host)
    for assignment in core.assignments.values():
        answer = assignment.answer
        answer.subscribers = [s for s in answer.subscribers if s.host != event.host]
        if not answer.subscribers and assignment.orphaned is None:
            assignment.orphaned = now
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
        assignment.answer.append(event.data, event.tokens)
        assignment.dirty = True
    yield from ()


@_handle.register
def _(event: events.Completed, core: AgentCore, now: float) -> Iterator[Command]:
    assignment = core.running.get((event.request, event.attempt))
    if assignment is None:
        return
    if assignment.offer.work.kind == CALL:
        core.latency += LATENCY_WEIGHT * (event.seconds - core.latency)
    answer = assignment.answer
    if assignment.offer.stage == PREFILL and event.finish_reason == "length":
        wanted = assignment.offer.work.max_tokens
        if answer.tokens < wanted:
            yield events.Export(event.request, event.attempt)
            return
    answer.end = Finished(
        event.request,
        event.attempt,
        len(answer.data),
        answer.checksum(),
        event.status,
        event.finish_reason,
        event.prompt_tokens,
        answer.tokens,
        event.headers,
    )
    _end(assignment, core, now)


@_handle.register
def _(event: events.Failed, core: AgentCore, now: float) -> Iterator[Command]:
    assignment = core.running.get((event.request, event.attempt))
    if assignment is None:
        return
    if assignment.leaving:
        _hand_over(assignment, None, core, now)
        return
    length = len(assignment.answer.data)
    assignment.answer.end = Lost(
        event.request, event.attempt, event.ran, event.reason, length
    )
    _end(assignment, core, now)
    yield from ()


@_handle.register
def _(event: events.Exported, core: AgentCore, now: float) -> Iterator[Command]:
    assignment = core.running.get((event.request, event.attempt))
    if assignment is not None:
        _hand_over(assignment, event.kv, core, now)
    yield from ()


@_handle.register
def _(event: events.Drain, core: AgentCore, now: float) -> Iterator[Command]:
    core.drains[event.reason] = event
    core.drain_ends = min(core.drain_ends, now + event.seconds)
    for host in sorted(core.entries):
        if event.final:
            yield Send(host, Leaving(core.host, event.reason))
        yield Send(host, core.load(now))
    for job in core.queue.drain():
        yield from _give_back((job.request, job.attempt), REASON_LEAVING, core, now)


@_handle.register
def _(event: events.Undrain, core: AgentCore, now: float) -> Iterator[Command]:
    core.drains.pop(event.reason, None)
    if core.drains:
        return
    core.drain_ends = float("inf")
    for host in sorted(core.entries):
        yield Send(host, core.load(now))


@_handle.register
def _(event: events.Tick, core: AgentCore, now: float) -> Iterator[Command]:
    for job in core.queue.expire(core.rates(), core.running_work(), now):
        yield from _give_back((job.request, job.attempt), REASON_NOT_MET, core, now)
    yield from _hand_over_late(core, now)
    yield from _drop_orphans(core, now)
    _forget_old(core, now)


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
    name = message.work.request, message.attempt
    if name in core.tombstones:
        yield _refuse(name, host, REASON_CANCELLED, core, now)
        return
    if name in core.names:
        yield from _attach(core.names[name], name, host, len(message.done), core)
        return
    known = core.keys.get((message.work.team, message.work.key))
    if message.work.key and known is not None:
        yield from _join(message, known, host, core, now)
        return
    if core.drains:
        yield _refuse(name, host, REASON_LEAVING, core, now)
        return
    if core.state is None or not core.state.ready:
        yield _refuse(name, host, REASON_NOT_READY, core, now)
        return
    yield from _admit(message, host, core, now)


@_receive.register
def _(message: Attach, host: str, core: AgentCore, now: float) -> Iterator[Command]:
    name = message.request, message.attempt
    if name in core.names:
        yield from _attach(core.names[name], name, host, message.offset, core)
        return
    # Nothing is known of it: the offer never came, or a predecessor took it along.
    # From now on it can't be begun here, so another host may take it if it may be
    # run again.
    core.tombstones[name] = now
    yield Send(host, Lost(*name, Ran.UNKNOWN, "not known here", 0))


@_receive.register
def _(message: Cancel, host: str, core: AgentCore, now: float) -> Iterator[Command]:
    name = message.request, message.attempt
    # The offer may still be on its way, held up in a slow link. The tombstone makes
    # sure that it is refused when it comes, so that "not run" stays true.
    core.tombstones[name] = now
    assignment = core.assignments.get(core.names.pop(name, name))
    if assignment is None:
        yield Send(host, Cancelled(*name, Ran.NO))
        return
    assignment.answer.unsubscribe(*name)
    if core.queue.remove(*assignment.name):
        _remove(assignment, core)
        yield Send(host, Cancelled(*name, Ran.NO))
        return
    yield Send(host, Cancelled(*name, Ran.UNKNOWN))
    if assignment.ended is not None or assignment.answer.subscribers:
        return
    # A call that may not run twice may be half done: it is left to end, and its
    # outcome is kept for a repeat of its key.
    if not assignment.offer.work.idempotent:
        return
    yield events.Abort(*assignment.name)
    _remove(assignment, core)


def _admit(offer: Offer, host: str, core: AgentCore, now: float) -> Iterator[Command]:
    work = offer.work
    tokens = 1 if work.kind == CALL or offer.stage == PREFILL else work.max_tokens
    job = Job(
        work.request,
        offer.attempt,
        work.team,
        work.priority,
        work.share,
        0 if offer.kv is not None else work.prompt_tokens + offer.tokens_done,
        max(1, tokens - offer.tokens_done),
        now + offer.budget,
        now,
    )
    outcome = core.queue.admit(job, core.rates(), core.running_work(), now)
    _count(core, job, outcome.is_ok())
    if outcome.is_error():
        name = work.request, offer.attempt
        room = outcome.error
        yield Send(host, Refused(*name, room.reason, room.retry_after, core.load(now)))
        return
    answer = Answer(bytearray(offer.done), offer.tokens_done)
    assignment = Assignment(offer, job, _hash_body(offer), answer)
    answer.subscribe(host, work.request, offer.attempt, len(offer.done))
    answer.subscribers[0].tokens_sent = offer.tokens_done
    core.assignments[assignment.name] = assignment
    core.names[assignment.name] = assignment.name
    if work.key:
        core.keys[work.team, work.key] = assignment.name
    yield Send(host, Accepted(work.request, offer.attempt, outcome.ok))


def _count(core: AgentCore, job: Job, accepted: bool) -> None:
    prompt, output, requests, refused = core.counts
    if not accepted:
        core.counts = Counts(prompt, output, requests, refused + 1)
        return
    prompt += job.prompt_tokens
    output += job.output_tokens
    core.counts = Counts(prompt, output, requests + 1, refused)


def _attach(
    known: Name, name: Name, host: str, offset: int, core: AgentCore
) -> Iterator[Command]:
    assignment = core.assignments[known]
    assignment.answer.subscribe(host, *name, offset)
    assignment.orphaned = None
    assignment.dirty = True
    core.names[name] = known
    yield Send(host, Accepted(*name, 0.0, attached=known != name))
    yield from _send_rest(assignment)


def _join(
    offer: Offer, known: Name, host: str, core: AgentCore, now: float
) -> Iterator[Command]:
    name = offer.work.request, offer.attempt
    assignment = core.assignments[known]
    if assignment.body_hash != _hash_body(offer):
        yield _refuse(name, host, REASON_KEY_REUSED, core, now)
        return
    if isinstance(assignment.answer.end, Lost | Handover):
        core.keys.pop((offer.work.team, offer.work.key))
        yield from _receive(offer, host, core, now)
        return
    yield from _attach(known, name, host, len(offer.done), core)


def _hash_body(offer: Offer) -> int:
    work = offer.work
    return xxhash.xxh64_intdigest(work.path.encode() + b"\0" + work.body)


def _refuse(name: Name, host: str, reason: str, core: AgentCore, now: float) -> Command:
    message = Refused(*name, reason, LEAVING_RETRY_SECONDS, core.load(now))
    return Send(host, message)


def _give_back(
    name: Name, reason: str, core: AgentCore, now: float
) -> Iterator[Command]:
    """Tell the entries of accepted work that it did not start and won't."""
    assignment = core.assignments[name]
    for subscriber in assignment.answer.subscribers:
        one = subscriber.request, subscriber.attempt
        yield _refuse(one, subscriber.host, reason, core, now)
        core.tombstones[one] = now
    _remove(assignment, core)


def _start_ready(core: AgentCore, now: float) -> Iterator[Command]:
    if core.state is None or not core.state.ready or core.drains:
        return
    while len(core.running) < core.state.slots:
        job = core.queue.take(now)
        if job is None:
            return
        assignment = core.assignments[job.request, job.attempt]
        assignment.started = now
        core.running[assignment.name] = assignment
        yield events.Run(assignment.offer)


def _flush(core: AgentCore, now: float) -> Iterator[Command]:
    for assignment in core.running.values():
        if assignment.dirty and now - assignment.last_flush >= FLUSH_SECONDS:
            assignment.last_flush = now
            yield from _send_rest(assignment)
    ended = [a for a in core.assignments.values() if a.dirty and a.ended is not None]
    for assignment in ended:
        yield from _send_rest(assignment)


def _send_rest(assignment: Assignment) -> Iterator[Command]:
    assignment.dirty = False
    for subscriber in assignment.answer.subscribers:
        chunk = assignment.answer.read_new(subscriber)
        if chunk is not None:
            yield Send(subscriber.host, chunk)
        end = assignment.answer.read_end(subscriber)
        if end is not None:
            yield Send(subscriber.host, end)


def _end(assignment: Assignment, core: AgentCore, now: float) -> None:
    core.running.pop(assignment.name, None)
    assignment.ended = now
    assignment.dirty = True
    core.retained_bytes += len(assignment.answer.data)


def _hand_over(assignment: Assignment, kv: object, core: AgentCore, now: float) -> None:
    answer = assignment.answer
    answer.end = Handover(*assignment.name, len(answer.data), answer.checksum(), kv)
    _end(assignment, core, now)


def _hand_over_late(core: AgentCore, now: float) -> Iterator[Command]:
    if not core.drains or now < core.drain_ends:
        return
    for assignment in core.running.values():
        # A call can't be moved: it is waited for, since cutting it would leave its
        # caller without an outcome.
        if assignment.leaving or assignment.offer.work.kind == CALL:
            continue
        assignment.leaving = True
        yield events.Export(*assignment.name)


def _drop_orphans(core: AgentCore, now: float) -> Iterator[Command]:
    orphans = [
        a
        for a in core.assignments.values()
        if a.orphaned is not None
        and a.ended is None
        and now - a.orphaned > ORPHAN_SECONDS
        and not a.offer.work.key
        and a.offer.work.idempotent
    ]
    for assignment in orphans:
        if not core.queue.remove(*assignment.name):
            yield events.Abort(*assignment.name)
        _remove(assignment, core)


def _remove(assignment: Assignment, core: AgentCore) -> None:
    if assignment.ended is not None:
        core.retained_bytes -= len(assignment.answer.data)
    core.assignments.pop(assignment.name, None)
    core.running.pop(assignment.name, None)
    for name in [n for n, known in core.names.items() if known == assignment.name]:
        del core.names[name]
    key = assignment.offer.work.team, assignment.offer.work.key
    if core.keys.get(key) == assignment.name:
        del core.keys[key]


def _forget_old(core: AgentCore, now: float) -> None:
    for name, since in list(core.tombstones.items()):
        if now - since > TOMBSTONE_SECONDS:
            del core.tombstones[name]
    for assignment in [a for a in core.assignments.values() if a.ended is not None]:
        full = core.retained_bytes > MAX_RETAINED_BYTES
        keyed = bool(assignment.offer.work.key) and not full
        limit = RETAIN_SECONDS if keyed else UNKEYED_RETAIN_SECONDS
        if now - assignment.ended > limit:
            _remove(assignment, core)


def _measure_running(assignment: Assignment) -> Running:
    begun = assignment.answer.tokens > assignment.offer.tokens_done
    made = assignment.answer.tokens - assignment.offer.tokens_done
    return Running(
        assignment.job,
        assignment.started or 0.0,
        0 if begun else assignment.job.prompt_tokens,
        max(0, assignment.job.output_tokens - made),
    )
