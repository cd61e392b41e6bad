"""Hold what one agent knows."""

from dataclasses import dataclass, field
from typing import NamedTuple

from radishtally.agent import events
from radishtally.agent.answers import Assignment, AttemptId
from radishtally.agent.const import (
    EXPIRE_SECONDS,
    FLUSH_SECONDS,
    IDLE_WAKE_SECONDS,
    SERVICE_LATENCY_START,
)
from radishtally.agent.retention import EndedAttempts, Retained
from radishtally.limits.queue import Rates, Running, WorkQueue
from radishtally.links.messages import Load
from radishtally.outcome import Ran
from radishtally.planner.demand import WorkCounters


class DrainInForce(NamedTuple):
    """Hold a drain and the time at which running answers are handed over."""

    drain: events.Drain
    ends: float


@dataclass(slots=True)
class AgentCore:
    """Hold what one agent knows."""

    host: str
    upstream: str
    queue: WorkQueue = field(default_factory=WorkQueue)
    assignments: dict[AttemptId, Assignment] = field(default_factory=dict)
    assignment_ids: dict[AttemptId, AttemptId] = field(default_factory=dict)
    """Assignment that each subscriber's request and attempt stands for."""
    keys: dict[tuple[str, str], AttemptId] = field(default_factory=dict)
    ended_attempts: EndedAttempts = field(default_factory=EndedAttempts)
    retained: Retained = field(default_factory=Retained)
    running: dict[AttemptId, Assignment] = field(default_factory=dict)
    dirty: dict[AttemptId, Assignment] = field(default_factory=dict)
    """Assignments with something to send."""
    orphans: dict[AttemptId, Assignment] = field(default_factory=dict)
    """Open assignments that no link leads to."""
    entries: set[str] = field(default_factory=set)
    state: events.UpstreamRead | None = None
    latency: float = SERVICE_LATENCY_START
    drains: dict[str, DrainInForce] = field(default_factory=dict)
    """Drains in force by their reason."""
    counts: WorkCounters = WorkCounters(0, 0, 0, 0)

    @property
    def is_stopping(self) -> bool:
        """Tell whether the process itself ends."""
        return any(item.drain.final for item in self.drains.values())

    @property
    def drain_ends(self) -> float:
        """Give the time at which running answers are handed over."""
        return min((d.ends for d in self.drains.values()), default=float("inf"))

    def next_wake(self, now: float) -> float:
        """Give the time at which the core wants a Tick."""
        wake = now + (EXPIRE_SECONDS if len(self.queue) else IDLE_WAKE_SECONDS)
        flushes = [a.last_flush + FLUSH_SECONDS for a in self.dirty.values()]
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
        return [a.measure() for a in self.running.values()]

    def load(self, now: float) -> Load:
        """Give the load as entries are told it."""
        rates = self.rates()
        state = self.state
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
        """Take work on."""
        attempt_id, work = assignment.attempt_id, assignment.offer.work
        self.assignments[attempt_id] = assignment
        self.join(attempt_id, assignment)
        if work.key:
            self.keys[work.team, work.key] = attempt_id

    def join(self, attempt_id: AttemptId, assignment: Assignment) -> None:
        """Let a request and attempt stand for an assignment."""
        self.assignment_ids[attempt_id] = assignment.attempt_id
        assignment.attempt_ids.add(attempt_id)

    def leave(
        self,
        attempt_id: AttemptId,
        assignment: Assignment,
        ran: str,
        reason: str,
        now: float,
    ) -> None:
        """Let a request and attempt stand for an assignment no longer."""
        assignment.answer.unsubscribe(*attempt_id)
        assignment.attempt_ids.discard(attempt_id)
        self.assignment_ids.pop(attempt_id, None)
        self.ended_attempts.record(attempt_id, ran, reason, now)

    def find(self, attempt_id: AttemptId) -> Assignment | None:
        """Find the assignment that a request and attempt stands for."""
        known = self.assignment_ids.get(attempt_id)
        return None if known is None else self.assignments[known]

    def end(self, assignment: Assignment, now: float) -> None:
        """Take note that an answer has its end."""
        self.running.pop(assignment.attempt_id, None)
        self.orphans.pop(assignment.attempt_id, None)
        assignment.ended = now
        self.dirty[assignment.attempt_id] = assignment
        self.retained.add(assignment)

    def remove(self, assignment: Assignment, reason: str, now: float) -> None:
        """Keep of an assignment only the attempt_ids, and whether it may have run."""
        assignment_id = assignment.attempt_id
        ran = Ran.NO if assignment.started is None else Ran.UNKNOWN
        for attempt_id in list(assignment.attempt_ids):
            self.leave(attempt_id, assignment, ran, reason, now)
        for table in (self.assignments, self.running, self.dirty, self.orphans):
            table.pop(assignment_id, None)
        self.retained.remove(assignment)
        key = assignment.offer.work.team, assignment.offer.work.key
        if self.keys.get(key) == assignment_id:
            del self.keys[key]
