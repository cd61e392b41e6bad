"""Retention of ended work, limited in time and in bytes."""

from collections.abc import Iterator
from typing import NamedTuple

from radishtally.agent.answers import Assignment, AttemptId
from radishtally.agent.const import (
    ATTEMPT_RETENTION_SECONDS,
    KEYED_RETENTION_SECONDS,
    MAX_RETAINED_BYTES,
    MAX_UNDELIVERED_BYTES,
    UNKEYED_RETENTION_SECONDS,
)


class EndedAttempt(NamedTuple):
    """Describe how an attempt ended at this agent."""

    since: float
    ran: str
    """Ran.NO only if the upstream never got the attempt and, since a late offer of a
    recorded attempt is refused, will not get it while the record is kept."""
    reason: str


class EndedAttempts:
    """Track attempts that have ended, so that their late offers are refused.

    A slow link may delay an offer while its cancellation arrives over a new link. If
    the agent then started the work, it would run although its caller was told "not
    run". Records are kept for longer than a link can delay an offer.
    """

    def __init__(self) -> None:
        self._attempts: dict[AttemptId, EndedAttempt] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._attempts)

    def get(self, attempt_id: AttemptId) -> EndedAttempt | None:
        """Return the record of an attempt, if there is one."""
        return self._attempts.get(attempt_id)

    def record(self, attempt_id: AttemptId, ran: str, reason: str, now: float) -> None:
        """Record how an attempt ended; an older record is replaced."""
        self._attempts.pop(attempt_id, None)
        self._attempts[attempt_id] = EndedAttempt(now, ran, reason)

    def evict_expired(self, now: float) -> None:
        """Evict records past their retention."""
        while self._attempts:
            attempt_id = next(iter(self._attempts))
            if now - self._attempts[attempt_id].since <= ATTEMPT_RETENTION_SECONDS:
                return
            del self._attempts[attempt_id]


class RetainedAnswers:
    """Retain ended answers, oldest first, for repeated keys and for new links."""

    def __init__(self) -> None:
        self.bytes = 0
        self._ended: dict[float, dict[AttemptId, Assignment]] = {
            UNKEYED_RETENTION_SECONDS: {},
            KEYED_RETENTION_SECONDS: {},
        }

    def __iter__(self) -> Iterator[Assignment]:
        """Iterate over the answers of each retention period from the oldest on."""
        for kept in self._ended.values():
            yield from kept.values()

    def add(self, assignment: Assignment) -> None:
        """Retain an answer that has just ended."""
        self._ended[_get_retention(assignment)][assignment.attempt_id] = assignment
        self.bytes += len(assignment.answer.data)

    def remove(self, assignment: Assignment) -> None:
        """Remove an answer."""
        kept = self._ended[_get_retention(assignment)]
        if kept.pop(assignment.attempt_id, None) is not None:
            self.bytes -= len(assignment.answer.data)

    def list_evictable(self, now: float) -> list[Assignment]:
        """List the answers past their retention and those beyond the size limits."""
        old = []
        for limit, kept in self._ended.items():
            for assignment in kept.values():
                if now - assignment.ended <= limit:
                    break
                old.append(assignment)
        if self.bytes > MAX_RETAINED_BYTES:
            old += self._list_excess(old)
        return old

    def _list_excess(self, old: list[Assignment]) -> list[Assignment]:
        excess = self.bytes - sum(len(a.answer.data) for a in old)
        known = {a.attempt_id for a in old}
        found = []
        for assignment in self:
            if excess <= MAX_RETAINED_BYTES:
                break
            # An answer that no entry has acknowledged may be the only record of its
            # outcome, so it is evicted only beyond the larger limit.
            spared = not assignment.delivered and excess <= MAX_UNDELIVERED_BYTES
            if assignment.attempt_id in known or spared:
                continue
            excess -= len(assignment.answer.data)
            found.append(assignment)
        return found


def _get_retention(assignment: Assignment) -> float:
    return (
        KEYED_RETENTION_SECONDS
        if assignment.offer.work.key
        else UNKEYED_RETENTION_SECONDS
    )
