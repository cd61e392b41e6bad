"""Admission of offered work: accept it, attach it to an existing answer or refuse."""

from collections.abc import Iterator

from radishtally.agent import events
from radishtally.agent.answers import Answer, Assignment, AttemptId, hash_body
from radishtally.agent.const import REASON_NOT_READY, REFUSAL_RETRY_SECONDS
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
    """Make a refusal, which states that the attempt has not run and won't run here."""
    message = Refused(*attempt_id, reason, REFUSAL_RETRY_SECONDS, core.load(now))
    return Send(host, message)


def admit(offer: Offer, host: str, core: AgentCore, now: float) -> Iterator[Command]:
    """Accept new work or refuse it."""
    attempt_id = offer.work.request, offer.attempt
    if core.drains:
        yield refuse(attempt_id, host, LEAVING, core, now)
        return
    if core.upstream_state is None or not core.upstream_state.ready:
        yield refuse(attempt_id, host, REASON_NOT_READY, core, now)
        return
    job = _make_job(offer, now)
    if _has_all_tokens(offer):
        yield from _end_without_run(offer, job, host, core, now)
        return
    outcome = core.queue.admit(job, core.rates(), core.running_work(), now)
    _count_admission(core, job, outcome.is_ok())
    if outcome.is_error():
        rejection = outcome.error
        yield Send(
            host,
            Refused(
                *attempt_id, rejection.reason, rejection.retry_after, core.load(now)
            ),
        )
        return
    _accept(offer, job, host, core)
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


def _has_all_tokens(offer: Offer) -> bool:
    """Return whether earlier attempts produced all tokens and only the end was lost."""
    is_call = offer.work.kind == CALL
    return not is_call and 0 < offer.work.max_tokens <= offer.tokens_done


def _end_without_run(
    offer: Offer, job: Job, host: str, core: AgentCore, now: float
) -> Iterator[Command]:
    # No engine runs this work: it would generate at least one token, which is one too
    # many.
    assignment = _accept(offer, job, host, core)
    attempt_id = assignment.attempt_id
    counts = job.prompt_tokens, offer.tokens_done
    end = events.Completed(*attempt_id, 200, "length", *counts, (), 0.0)
    assignment.started = now
    assignment.answer.end = make_finished(assignment, end)
    yield Send(host, Accepted(*attempt_id, 0.0))
    core.end(assignment, now)


def _accept(offer: Offer, job: Job, host: str, core: AgentCore) -> Assignment:
    answer = Answer(bytearray(offer.done), offer.tokens_done)
    assignment = Assignment(offer, job, hash_body(offer), answer)
    answer.subscribe(host, *assignment.attempt_id, len(offer.done))
    core.add(assignment)
    return assignment


def _count_admission(core: AgentCore, job: Job, accepted: bool) -> None:
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
    """Subscribe an entry to an answer and send it from the offset on."""
    assignment.answer.subscribe(host, *attempt_id, offset)
    assignment.orphaned_at = None
    core.orphans.pop(assignment.attempt_id, None)
    core.add_attempt(attempt_id, assignment)
    yield Send(
        host, Accepted(*attempt_id, 0.0, attached=assignment.attempt_id != attempt_id)
    )
    yield from send_unsent(assignment)


def attach_repeat(
    offer: Offer, assignment: Assignment, host: str, core: AgentCore, now: float
) -> Iterator[Command]:
    """Answer a repeated idempotency key with the existing or running answer."""
    attempt_id = offer.work.request, offer.attempt
    if assignment.body_hash != hash_body(offer):
        yield refuse(attempt_id, host, KEY_REUSED, core, now)
        return
    if not _is_joinable(assignment, offer):
        yield from admit(offer, host, core, now)
        return
    yield from attach(assignment, attempt_id, host, len(offer.done), core)


def _is_joinable(assignment: Assignment, offer: Offer) -> bool:
    """Return whether an answer can serve another offer with the same key."""
    answer = assignment.answer
    if isinstance(answer.end, Lost | Handover):
        # A call that may have run is not run again, even if its claim was granted. Its
        # repeat gets the same report of the loss as the first attempt.
        ran = answer.end.ran if isinstance(answer.end, Lost) else Ran.UNKNOWN
        return not offer.work.idempotent and ran != Ran.NO
    # The caller may already have a part of an answer. Another run's answer serves it
    # only if it begins with the same bytes.
    return answer.data.startswith(offer.done)


def send_unsent(assignment: Assignment) -> Iterator[Command]:
    """Send each subscriber the parts, and the end, that it has not been sent yet."""
    for subscriber in assignment.answer.subscribers:
        for chunk in assignment.answer.read_unsent(subscriber):
            yield Send(subscriber.host, chunk)
        end = assignment.answer.make_end(subscriber)
        if end is not None:
            yield Send(subscriber.host, end)


def make_finished(assignment: Assignment, event: events.Completed) -> Finished:
    """Make the message that ends a completed answer."""
    answer = assignment.answer
    return Finished(
        *assignment.attempt_id,
        len(answer.data),
        answer.checksum(),
        event.status,
        event.finish_reason,
        # The engine counts the tokens of earlier attempts as part of the prompt.
        max(0, event.prompt_tokens - assignment.offer.tokens_done),
        answer.tokens,
        event.headers,
    )
