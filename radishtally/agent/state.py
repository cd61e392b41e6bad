"""State of the agent's core."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from radishtally.agent import events
from radishtally.agent.answers import Assignment, AttemptId
from radishtally.agent.const import (
    EXPIRE_INTERVAL_SECONDS,
    FLUSH_INTERVAL_SECONDS,
    IDLE_WAKE_SECONDS,
    INITIAL_SERVICE_LATENCY,
)
from radishtally.agent.retention import EndedAttempts, RetainedAnswers
from radishtally.limits.queue import Rates, Running, WorkQueue
from radishtally.links.messages import Load
from radishtally.outcome import Ran
from radishtally.planner.demand import WorkCounters


class ActiveDrain(NamedTuple):
    """Hold an active drain and the time at which running answers are handed over."""

    drain: events.Drain
    handover_time: float


@dataclass(slots=True)
class AgentCore:
    """Hold the state of one agent: its work, links, drains and upstream."""

    host: str
    upstream: str
    queue: WorkQueue = field(default_factory=WorkQueue)
    assignments: dict[AttemptId, Assignment] = field(default_factory=dict)
    assignment_ids: dict[AttemptId, AttemptId] = field(default_factory=dict)
    """Id of the assignment whose answer each subscribed attempt gets."""
    keys: dict[tuple[str, str], AttemptId] = field(default_factory=dict)
    """Id of the assignment for each team and idempotency key."""
    ended_attempts: EndedAttempts = field(default_factory=EndedAttempts)
    retained: RetainedAnswers = field(default_factory=RetainedAnswers)
    running: dict[AttemptId, Assignment] = field(default_factory=dict)
    dirty: dict[AttemptId, Assignment] = field(default_factory=dict)
    """Assignments with unsent parts or an unsent end."""
    orphans: dict[AttemptId, Assignment] = field(default_factory=dict)
    """Open assignments without a subscribed entry."""
    entries: set[str] = field(default_factory=set)
    """Hosts of the linked entries."""
    upstream_state: events.UpstreamRead | None = None
    latency: float = INITIAL_SERVICE_LATENCY
    """Moving average of the seconds of a service call."""
    drains: dict[str, ActiveDrain] = field(default_factory=dict)
    """Active drains by reason."""
    counts: WorkCounters = WorkCounters(0, 0, 0, 0)
    on_error: Callable[[Exception, str], None] | None = None
    """Called with an unexpected error and the request that it has ended; None if it is
    to be raised."""

    @property
    def is_stopping(self) -> bool:
        """Whether the process stops after the drain."""
        return any(item.drain.final for item in self.drains.values())

    @property
    def handover_time(self) -> float:
        """Earliest time at which an active drain hands over running answers."""
        return min(
            (d.handover_time for d in self.drains.values()), default=float("inf")
        )

    def next_wake(self, now: float) -> float:
        """Return the time at which the core needs its next Tick."""
        wake = now + (EXPIRE_INTERVAL_SECONDS if len(self.queue) else IDLE_WAKE_SECONDS)
        flushes = [a.last_flush + FLUSH_INTERVAL_SECONDS for a in self.dirty.values()]
        return min([wake, *flushes])

    def rates(self) -> Rates:
        """Return the upstream's prefill rate, decode time and slots."""
        if self.upstream_state is None:
            return Rates(1.0, 1.0, 0)
        if self.upstream_state.model:
            return Rates(
                self.upstream_state.prefill_rate,
                self.upstream_state.decode_seconds,
                self.upstream_state.slots,
            )
        return Rates(float("inf"), self.latency, self.upstream_state.slots)

    def running_work(self) -> list[Running]:
        """Return the work at the upstream with its remaining tokens."""
        return [a.measure_remaining() for a in self.running.values()]

    def load(self, now: float) -> Load:
        """Make the load report that is sent to entries."""
        rates = self.rates()
        state = self.upstream_state
        return Load(
            self.host,
            len(self.queue),
            len(self.running),
            rates.slots,
            self.queue.prefill_backlog(rates),
            self.queue.predict_wait(rates, self.running_work(), now),
            rates.prefill_rate,
            rates.decode_seconds,
            state.role if state else "",
            state.model if state else "",
            state.version if state else "",
            state.adapters if state else (),
            bool(self.drains) or state is None or not state.ready,
            *self.counts,
            token_seconds=self.queue.adjust(rates, now).decode_seconds,
        )

    def add(self, assignment: Assignment) -> None:
        """Add accepted work."""
        attempt_id, work = assignment.attempt_id, assignment.offer.work
        self.assignments[attempt_id] = assignment
        self.add_attempt(attempt_id, assignment)
        if work.key:
            self.keys[work.team, work.key] = attempt_id

    def add_attempt(self, attempt_id: AttemptId, assignment: Assignment) -> None:
        """Map an attempt to the assignment whose answer it gets."""
        self.assignment_ids[attempt_id] = assignment.attempt_id
        assignment.attempt_ids.add(attempt_id)

    def remove_attempt(
        self,
        attempt_id: AttemptId,
        assignment: Assignment,
        ran: str,
        reason: str,
        now: float,
    ) -> None:
        """Detach an attempt from its assignment and remember how it ended."""
        assignment.answer.unsubscribe(*attempt_id)
        assignment.attempt_ids.discard(attempt_id)
        self.assignment_ids.pop(attempt_id, None)
        self.ended_attempts.record(attempt_id, ran, reason, now)

    def find(self, attempt_id: AttemptId) -> Assignment | None:
        """Return the assignment whose answer an attempt gets."""
        known = self.assignment_ids.get(attempt_id)
        return None if known is None else self.assignments[known]

    def end(self, assignment: Assignment, now: float) -> None:
        """Record that an answer has ended and retain it."""
        self.running.pop(assignment.attempt_id, None)
        self.orphans.pop(assignment.attempt_id, None)
        assignment.ended = now
        self.dirty[assignment.attempt_id] = assignment
        self.retained.add(assignment)

    def remove(self, assignment: Assignment, reason: str, now: float) -> None:
        """Remove an assignment, and remember whether its attempts may have run."""
        assignment_id = assignment.attempt_id
        ran = Ran.NO if assignment.started is None else Ran.UNKNOWN
        for attempt_id in list(assignment.attempt_ids):
            self.remove_attempt(attempt_id, assignment, ran, reason, now)
        for table in (self.assignments, self.running, self.dirty, self.orphans):
            table.pop(assignment_id, None)
        self.retained.remove(assignment)
        key = assignment.offer.work.team, assignment.offer.work.key
        if self.keys.get(key) == assignment_id:
            del self.keys[key]
