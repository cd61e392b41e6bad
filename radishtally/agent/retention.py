"""Bound what the agent keeps of ended work, in time and in bytes."""

from collections.abc import Iterator
from typing import NamedTuple

from radishtally.agent.answers import Assignment, AttemptId
from radishtally.agent.const import (
    ATTEMPT_RETENTION_SECONDS,
    MAX_RETAINED_BYTES,
    MAX_UNDELIVERED_BYTES,
    RETAIN_SECONDS,
    UNKEYED_RETAIN_SECONDS,
)


class EndedAttempt(NamedTuple):
    """Remember how an attempt ended here."""

    since: float
    ran: str
    """Ran.NO only if the upstream never saw it and, as it is remembered, never will."""
    reason: str


class EndedAttempts:
    """Remember the attempt_ids of attempts that are over.

    An offer may be held up in a slow link while its withdrawal comes over a new one.
    Begun then, it would run although its caller was told "not run"; remembered, it is
    refused, for longer than a link can hold it up.
    """

    def __init__(self) -> None:
        self._attempts: dict[AttemptId, EndedAttempt] = {}

    def __len__(self) -> int:
        """Count the attempt_ids."""
        return len(self._attempts)

    def get(self, attempt_id: AttemptId) -> EndedAttempt | None:
        """Give what is remembered of an attempt."""
        return self._attempts.get(attempt_id)

    def record(self, attempt_id: AttemptId, ran: str, reason: str, now: float) -> None:
        """Remember an attempt from now on."""
        self._attempts.pop(attempt_id, None)
        self._attempts[attempt_id] = EndedAttempt(now, ran, reason)

    def forget_old(self, now: float) -> None:
        """Forget what nobody may ask for any more."""
        while self._attempts:
            attempt_id = next(iter(self._attempts))
            if now - self._attempts[attempt_id].since <= ATTEMPT_RETENTION_SECONDS:
                return
            del self._attempts[attempt_id]


class Retained:
    """Keep ended answers in the order of their ends, for repeats and new links."""

    def __init__(self) -> None:
        self.bytes = 0
        self._ended: dict[float, dict[AttemptId, Assignment]] = {
            UNKEYED_RETAIN_SECONDS: {},
            RETAIN_SECONDS: {},
        }

    def __iter__(self) -> Iterator[Assignment]:
        """Give all, each kind from the oldest."""
        for kept in self._ended.values():
            yield from kept.values()

    def add(self, assignment: Assignment) -> None:
        """Keep an answer that has just ended."""
        self._ended[_find_limit(assignment)][assignment.attempt_id] = assignment
        self.bytes += len(assignment.answer.data)

    def remove(self, assignment: Assignment) -> None:
        """Keep an answer no longer."""
        kept = self._ended[_find_limit(assignment)]
        if kept.pop(assignment.attempt_id, None) is not None:
            self.bytes -= len(assignment.answer.data)

    def list_old(self, now: float) -> list[Assignment]:
        """List the answers that are kept too long or take too much room."""
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
            # What no entry has confirmed may be the only word on its outcome.
            spared = not assignment.delivered and excess <= MAX_UNDELIVERED_BYTES
            if assignment.attempt_id in known or spared:
                continue
            excess -= len(assignment.answer.data)
            found.append(assignment)
        return found


def _find_limit(assignment: Assignment) -> float:
    return RETAIN_SECONDS if assignment.offer.work.key else UNKEYED_RETAIN_SECONDS
