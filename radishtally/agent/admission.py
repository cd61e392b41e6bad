"""Take offered work on, join it to what is there, or refuse it."""

from collections.abc import Iterator

from radishtally.agent import events
from radishtally.agent.answers import Answer, Assignment, AttemptId, hash_body
from radishtally.agent.const import LEAVING_RETRY_SECONDS, REASON_NOT_READY
from radishtally.agent.events import Command, Send
from radishtally.agent.state import AgentCore
from radishtally.limits.queue import Job
from radishtally.links.messages import (
    CALL,
    KEY_REUSED,
    LEAVING,
    PREFILL,
    Accepted,
    Finished,
    Handover,
    Lost,
    Offer,
    Refused,
)
from radishtally.outcome import Ran
from radishtally.planner.demand import WorkCounters


def refuse(
    attempt_id: AttemptId, host: str, reason: str, core: AgentCore, now: float
) -> Command:
    """Say that work did not start here and won't."""
    message = Refused(*attempt_id, reason, LEAVING_RETRY_SECONDS, core.load(now))
    return Send(host, message)


def consider(offer: Offer, host: str, core: AgentCore, now: float) -> Iterator[Command]:
    """Take new work on or refuse it."""
    attempt_id = offer.work.request, offer.attempt
    if core.drains:
        yield refuse(attempt_id, host, LEAVING, core, now)
        return
    if core.state is None or not core.state.ready:
        yield refuse(attempt_id, host, REASON_NOT_READY, core, now)
        return
    job = _make_job(offer, now)
    if _is_complete(offer):
        yield from _end_complete(offer, job, host, core, now)
        return
    outcome = core.queue.admit(job, core.rates(), core.running_work(), now)
    _count(core, job, outcome.is_ok())
    if outcome.is_error():
        room = outcome.error
        yield Send(
            host, Refused(*attempt_id, room.reason, room.retry_after, core.load(now))
        )
        return
    _take_on(offer, job, host, core)
    yield Send(host, Accepted(*attempt_id, outcome.ok))


def _make_job(offer: Offer, now: float) -> Job:
    work = offer.work
    tokens = 1 if work.kind == CALL or offer.stage == PREFILL else work.max_tokens
    return Job(
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


def _is_complete(offer: Offer) -> bool:
    """Tell whether earlier attempts gave all tokens and only their end was lost."""
    is_call = offer.work.kind == CALL
    return not is_call and 0 < offer.work.max_tokens <= offer.tokens_done


def _end_complete(
    offer: Offer, job: Job, host: str, core: AgentCore, now: float
) -> Iterator[Command]:
    # An engine takes no request for less than one token: it would give one too many.
    assignment = _take_on(offer, job, host, core)
    attempt_id = assignment.attempt_id
    counts = job.prompt_tokens, offer.tokens_done
    end = events.Completed(*attempt_id, 200, "length", *counts, (), 0.0)
    assignment.started = now
    assignment.answer.end = make_finished(assignment, end)
    yield Send(host, Accepted(*attempt_id, 0.0))
    core.end(assignment, now)


def _take_on(offer: Offer, job: Job, host: str, core: AgentCore) -> Assignment:
    answer = Answer(bytearray(offer.done), offer.tokens_done)
    assignment = Assignment(offer, job, hash_body(offer), answer)
    answer.subscribe(host, *assignment.attempt_id, len(offer.done))
    core.add(assignment)
    return assignment


def _count(core: AgentCore, job: Job, accepted: bool) -> None:
    prompt, output, requests, refused = core.counts
    if not accepted:
        core.counts = WorkCounters(prompt, output, requests, refused + 1)
        return
    prompt += job.prompt_tokens
    output += job.output_tokens
    core.counts = WorkCounters(prompt, output, requests + 1, refused)


def attach(
    assignment: Assignment,
    attempt_id: AttemptId,
    host: str,
    offset: int,
    core: AgentCore,
) -> Iterator[Command]:
    """Send an answer to an entry from an offset on."""
    assignment.answer.subscribe(host, *attempt_id, offset)
    assignment.orphaned = None
    core.orphans.pop(assignment.attempt_id, None)
    core.join(attempt_id, assignment)
    yield Send(
        host, Accepted(*attempt_id, 0.0, attached=assignment.attempt_id != attempt_id)
    )
    yield from send_rest(assignment)


def join(
    offer: Offer, assignment: Assignment, host: str, core: AgentCore, now: float
) -> Iterator[Command]:
    """Answer a repeated key from the answer that is there or on its way."""
    attempt_id = offer.work.request, offer.attempt
    if assignment.body_hash != hash_body(offer):
        yield refuse(attempt_id, host, KEY_REUSED, core, now)
        return
    if not _is_joinable(assignment, offer):
        yield from consider(offer, host, core, now)
        return
    yield from attach(assignment, attempt_id, host, len(offer.done), core)


def _is_joinable(assignment: Assignment, offer: Offer) -> bool:
    """Tell whether an answer can be that of another offer with its key."""
    answer = assignment.answer
    if isinstance(answer.end, Lost | Handover):
        # A call that may have run is not run again, whoever granted it; its repeat is
        # told of the loss as the first one was.
        ran = answer.end.ran if isinstance(answer.end, Lost) else Ran.UNKNOWN
        return not offer.work.idempotent and ran != Ran.NO
    # A caller that has a part of another run's answer can only have its own rest.
    return answer.data.startswith(offer.done)


def send_rest(assignment: Assignment) -> Iterator[Command]:
    """Send each subscriber what it has not been sent."""
    for subscriber in assignment.answer.subscribers:
        for chunk in assignment.answer.read_new(subscriber):
            yield Send(subscriber.host, chunk)
        end = assignment.answer.read_end(subscriber)
        if end is not None:
            yield Send(subscriber.host, end)


def make_finished(assignment: Assignment, event: events.Completed) -> Finished:
    """Make the message that ends a whole answer."""
    answer = assignment.answer
    return Finished(
        *assignment.attempt_id,
        len(answer.data),
        answer.checksum(),
        event.status,
        event.finish_reason,
        # The engine counts the part that was already given as prompt.
        max(0, event.prompt_tokens - assignment.offer.tokens_done),
        answer.tokens,
        event.headers,
    )
