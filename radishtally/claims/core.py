"""Decide which calls that are not idempotent may run.

A call runs only after its claim clearly stands in the table. Claims and their outcomes
share transactions; each row is written under conditions, so that a write whose reply
was lost is found again by its write id and never done twice.
"""

import heapq
from collections import OrderedDict, deque
from functools import singledispatchmethod
from typing import Final, NamedTuple

from radishtally.claims.events import (
    Answer,
    CallFinished,
    CallReleased,
    ClaimAsked,
    ClaimOutcome,
    Command,
    Event,
    Granted,
    GroupSettled,
    KeyReused,
    OutcomeLost,
    ReadRow,
    Repeated,
    RowRead,
    RowUnread,
    SendGroup,
    StoreAway,
    Tick,
    UnknownOutcome,
    WakeAt,
)
from radishtally.claims.record import (
    BODY_BYTES,
    CLAIMED,
    DONE,
    NOT_RUN,
    Claim,
    ClaimValue,
    StoredAnswer,
    bound_answer,
    estimate_bytes,
    make_done_value,
    make_value,
    name_claim,
    read_answer,
)
from radishtally.store.core import (
    ABSENT,
    MAX_WRITES,
    Conflict,
    Key,
    Put,
    Row,
    TableError,
    Unavailable,
    Unclear,
)
from radishtally.store.ids import WriteIds

GROUP_BYTES: Final = 2 * 1024 * 1024
"""Half of what DynamoDB takes in one transaction."""
OUTCOME_PART: Final = 4
"""One in so many places of a group is kept for outcomes while any wait."""
AWAY_FAILURES: Final = 4
"""Failures in a row, over about a second, after which the store is taken for away."""


class ClaimLimits(NamedTuple):
    """Set the limits of the claims."""

    group_size: int = MAX_WRITES
    group_seconds: float = 0.004
    groups: int = 4
    """Transactions under way at once."""
    retry_seconds: float = 0.1
    """Pause after the store failed; doubles up to the longest."""
    longest_retry_seconds: float = 2.0
    waiting: int = 2000
    """Most claims, and most outcomes, that wait for the store."""
    waiting_bytes: int = 4 * 1024 * 1024
    """Above this, outcomes are kept without their bodies."""
    remembered_bytes: int = 2 * 1024 * 1024
    """Answers kept in memory for repeats at this entry."""


class _Job:
    """Follow one row that is to be written."""

    def __init__(self, claim: Claim, value: ClaimValue, expect: int) -> None:
        self.claim = claim
        self.key = name_claim(claim)
        self.value = value
        self.expect = expect
        self.caller: int | None = None
        self.claim_ids: frozenset[str] = frozenset()
        """Write ids under which the claim itself may stand."""
        self.ids: set[str] = set()
        """Write ids under which this value may stand, or may still come to stand."""
        self.sent = False
        self.alone = False
        self.size = estimate_bytes(value)

    @property
    def is_claim(self) -> bool:
        return self.value["state"] == CLAIMED


class _Known(NamedTuple):
    """Remember a call that was granted here."""

    claim: Claim
    write_id: str
    rev: int
    expires: int
    answer: StoredAnswer | None = None


class ClaimCore:
    """Claim keys and keep outcomes for one process."""

    def __init__(self, holder: str, ids: WriteIds, limits: ClaimLimits) -> None:
        self._holder = holder
        self._ids = ids
        self._limits = limits
        self._jobs: dict[Key, _Job] = {}
        self._deadlines: list[tuple[float, int, _Job]] = []
        self._claims: deque[_Job] = deque()
        self._outcomes: deque[_Job] = deque()
        self._groups: dict[str, list[_Job]] = {}
        self._unread: deque[Key] = deque()
        self._granted: dict[Key, _Known] = {}
        self._finished: OrderedDict[Key, _Known] = OrderedDict()
        self._finished_bytes = 0
        self._waiting_bytes = 0
        self._size = limits.group_size
        self._flush_at = float("inf")
        self._pause_until = float("-inf")
        self._failures = 0

    @property
    def waiting(self) -> int:
        """Count the rows that are not settled yet."""
        return len(self._jobs)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take one event and give the commands that follow."""
        commands = self._take(event, now)
        commands += self._answer_late(now)
        commands += self._retry_reads(now)
        commands += self._send(now)
        return commands + self._wake()

    @singledispatchmethod
    def _take(self, event: Event, now: float) -> list[Command]:
        raise TypeError(f"unknown event {event!r}")

    @_take.register
    def _(self, event: Tick, now: float) -> list[Command]:
        return []

    @_take.register
    def _(self, event: ClaimAsked, now: float) -> list[Command]:
        outcome = self._recall(event.claim)
        full = len(self._claims) >= self._limits.waiting
        if outcome is None and (full or self._is_away(now)):
            outcome = StoreAway()
        if outcome is not None:
            return [Answer(event.caller, outcome)]
        value = make_value(event.claim, CLAIMED, event.expires)
        job = _Job(event.claim, value, ABSENT)
        job.caller = event.caller
        heapq.heappush(self._deadlines, (event.deadline, event.caller, job))
        self._add(job, now)
        return []

    @_take.register
    def _(self, event: CallFinished, now: float) -> list[Command]:
        known = self._take_granted(event.claim)
        if known is None:
            return [OutcomeLost(event.claim.request, "not granted here")]
        roomy = self._waiting_bytes < self._limits.waiting_bytes
        answer = bound_answer(event.answer, BODY_BYTES if roomy else 0)
        self._remember(known._replace(answer=answer))
        value = make_done_value(known.claim, answer, known.expires)
        return self._add_outcome(known, value, now)

    @_take.register
    def _(self, event: CallReleased, now: float) -> list[Command]:
        known = self._take_granted(event.claim)
        if known is None:
            return []
        value = make_value(known.claim, NOT_RUN, known.expires)
        return self._add_outcome(known, value, now)

    @_take.register
    def _(self, event: GroupSettled, now: float) -> list[Command]:
        jobs = self._groups.pop(event.write_id)
        for job in jobs:
            job.sent = False
        if event.outcome.is_ok():
            self._recover()
            return [c for job in jobs for c in self._stand(job, event.write_id, now)]
        return self._sort_out(jobs, event.write_id, event.outcome.error, now)

    @_take.register
    def _(self, event: RowRead, now: float) -> list[Command]:
        job = self._jobs[event.key]
        job.sent = False
        row = event.row
        if row is not None and row.write_id in job.ids:
            job.expect = row.rev - 1
            return self._stand(job, row.write_id, now)
        if row is None:
            job.expect = ABSENT
            return self._requeue(job, now)
        if job.is_claim:
            return self._judge(job, row, now)
        if row.write_id not in job.claim_ids:
            return self._drop(job, "the row is not this claim's")
        job.expect = row.rev
        return self._requeue(job, now)

    @_take.register
    def _(self, event: RowUnread, now: float) -> list[Command]:
        self._jobs[event.key].sent = False
        self._pause(now)
        self._unread.append(event.key)
        return []

    def _take_granted(self, claim: Claim) -> _Known | None:
        key = name_claim(claim)
        known = self._granted.get(key)
        if known is None or known.claim.request != claim.request:
            return None
        return self._granted.pop(key)

    def _recall(self, claim: Claim) -> ClaimOutcome | None:
        """Answer from memory what this process knows of the key."""
        key = name_claim(claim)
        known = self._finished.get(key) or self._granted.get(key)
        job = self._jobs.get(key)
        if known is None and job is None:
            return None
        first = known.claim if known is not None else job.claim
        if first.body_hash != claim.body_hash:
            return KeyReused()
        if known is not None and known.answer is not None:
            return Repeated(known.answer)
        if job is not None and not job.is_claim:
            # An earlier claim is being taken back; until that stands in the table
            # the key can't be claimed anew.
            return StoreAway()
        return UnknownOutcome()

    def _add(self, job: _Job, now: float) -> None:
        self._jobs[job.key] = job
        self._waiting_bytes += job.size
        self._requeue(job, now)

    def _add_outcome(
        self, known: _Known, value: ClaimValue, now: float
    ) -> list[Command]:
        if len(self._outcomes) >= self._limits.waiting:
            return [OutcomeLost(known.claim.request, "too many wait for the store")]
        job = _Job(known.claim, value, known.rev)
        job.claim_ids = frozenset({known.write_id})
        self._add(job, now)
        return []

    def _requeue(self, job: _Job, now: float) -> list[Command]:
        if job.is_claim and job.caller is None:
            return self._withdraw(job, now)
        queue = self._claims if job.is_claim else self._outcomes
        queue.append(job)
        self._flush_at = min(self._flush_at, now + self._limits.group_seconds)
        return []

    def _remove(self, job: _Job) -> None:
        del self._jobs[job.key]
        self._waiting_bytes -= job.size

    def _drop(self, job: _Job, cause: str) -> list[Command]:
        self._remove(job)
        return [OutcomeLost(job.claim.request, cause)]

    def _finish_claim(self, job: _Job, outcome: ClaimOutcome) -> list[Command]:
        self._remove(job)
        return [] if job.caller is None else [Answer(job.caller, outcome)]

    def _stand(self, job: _Job, write_id: str, now: float) -> list[Command]:
        """Take note that the job's value clearly stands under a write id."""
        if not job.is_claim:
            self._remove(job)
            return []
        if job.caller is None:
            job.ids = {write_id}
            job.expect += 1
            return self._withdraw(job, now)
        expires = job.value["expires"]
        known = _Known(job.claim, write_id, job.expect + 1, expires)
        self._granted[job.key] = known
        return self._finish_claim(job, Granted())

    def _judge(self, job: _Job, row: Row, now: float) -> list[Command]:
        """Answer a claim whose key another request has claimed."""
        if row.value["body_hash"] != job.value["body_hash"]:
            return self._finish_claim(job, KeyReused())
        if row.value["state"] == DONE:
            return self._finish_claim(job, Repeated(read_answer(row)))
        if row.value["state"] == CLAIMED:
            return self._finish_claim(job, UnknownOutcome())
        job.ids.clear()
        job.expect = row.rev
        return self._requeue(job, now)

    def _answer_late(self, now: float) -> list[Command]:
        """Answer claims whose deadline has passed: they are not run here."""
        commands: list[Command] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, job = heapq.heappop(self._deadlines)
            if job.caller is not None and self._jobs.get(job.key) is job:
                commands += self._give_up(job, now)
        return commands

    def _give_up(self, job: _Job, now: float) -> list[Command]:
        answer = Answer(job.caller, StoreAway())
        job.caller = None
        if job.sent:
            return [answer]
        if job in self._claims:
            self._claims.remove(job)
        if job.key in self._unread:
            self._unread.remove(job.key)
        return [answer, *self._withdraw(job, now)]

    def _withdraw(self, job: _Job, now: float) -> list[Command]:
        """Take back a claim that may stand although its caller was told "not run".

        The write whose reply was lost may stand, or may even arrive later. The caller
        was rightly told that nothing ran, but its repeat would find the key claimed
        and be told "unknown" for ever. So "not run" is written over our own claim, or
        where there is none yet, in its place, so that the late write fails its
        condition. Until then a repeat is refused as "not run" here and as "unknown"
        elsewhere; after it, the repeat may claim the key.
        """
        if not job.ids:
            self._remove(job)
            return []
        job.claim_ids = frozenset(job.ids)
        job.ids = set()
        job.value = make_value(job.claim, NOT_RUN, job.value["expires"])
        return self._requeue(job, now)

    def _sort_out(
        self, jobs: list[_Job], write_id: str, error: TableError, now: float
    ) -> list[Command]:
        """Find out what became of the jobs of a transaction that did not succeed."""
        if isinstance(error, Unclear):
            self._pause(now)
            return [self._read(job) for job in jobs]
        for job in jobs:
            job.ids.discard(write_id)
        if isinstance(error, Unavailable):
            self._pause(now)
            self._size = max(1, len(jobs) // 2)
            return self._requeue_all(jobs, now)
        if isinstance(error, Conflict):
            self._recover()
            failed = {jobs[index].key for index in error.indexes}
            rest = [job for job in jobs if job.key not in failed]
            reads = [self._read(job) for job in jobs if job.key in failed]
            return [*reads, *self._requeue_all(rest, now)]
        return self._isolate(jobs, now)

    def _requeue_all(self, jobs: list[_Job], now: float) -> list[Command]:
        for job in jobs:
            self._requeue(job, now)
        return []

    def _isolate(self, jobs: list[_Job], now: float) -> list[Command]:
        """Send each row of a malformed transaction alone to find the faulty one."""
        if len(jobs) > 1:
            for job in jobs:
                job.alone = True
            return self._requeue_all(jobs, now)
        [job] = jobs
        if job.is_claim:
            return self._finish_claim(job, StoreAway())
        return self._drop(job, "refused by the store")

    def _read(self, job: _Job) -> ReadRow:
        job.sent = True
        return ReadRow(job.key)

    def _retry_reads(self, now: float) -> list[Command]:
        if now < self._pause_until:
            return []
        keys = list(self._unread)
        self._unread.clear()
        return [self._read(self._jobs[key]) for key in keys]

    def _send(self, now: float) -> list[Command]:
        """Send what waits, in as few transactions as may be."""
        if now < self._flush_at or now < self._pause_until:
            return []
        commands: list[Command] = []
        while self._may_send():
            commands.append(self._form_group())
        if not self._claims and not self._outcomes:
            self._flush_at = float("inf")
        return commands

    def _may_send(self) -> bool:
        if len(self._groups) >= self._limits.groups:
            return False
        return bool(self._claims or self._outcomes)

    def _form_group(self) -> SendGroup:
        write_id = self._ids.make()
        jobs = self._pick_jobs()
        for job in jobs:
            job.sent = True
            job.ids.add(write_id)
        self._groups[write_id] = jobs
        puts = [Put(job.key, dict(job.value), job.expect) for job in jobs]
        return SendGroup(write_id, puts)

    def _pick_jobs(self) -> list[_Job]:
        """Take claims first, since callers wait for them, but let outcomes through."""
        kept = min(len(self._outcomes), self._size // OUTCOME_PART)
        jobs: list[_Job] = []
        _move(self._claims, jobs, self._size - kept)
        _move(self._outcomes, jobs, self._size)
        _move(self._claims, jobs, self._size)
        return jobs

    def _is_away(self, now: float) -> bool:
        """Tell whether the store has failed so often that nobody should wait for it.

        In a long outage each caller would wait out its claim's whole time only to be
        refused, and its repeat again. During a pause after some failures in a row it
        is told at once; the first claim after the pause finds out how the store is.
        """
        return self._failures >= AWAY_FAILURES and now < self._pause_until

    def _pause(self, now: float) -> None:
        seconds = self._limits.retry_seconds * 2 ** min(self._failures, 10)
        seconds = min(seconds, self._limits.longest_retry_seconds)
        self._pause_until = max(self._pause_until, now + seconds)
        self._failures += 1

    def _recover(self) -> None:
        self._failures = 0
        self._size = min(self._limits.group_size, self._size * 2)

    def _remember(self, known: _Known) -> None:
        key = name_claim(known.claim)
        self._finished[key] = known
        self._finished_bytes += _count_bytes(known)
        while self._finished_bytes > self._limits.remembered_bytes:
            _, oldest = self._finished.popitem(last=False)
            self._finished_bytes -= _count_bytes(oldest)

    def _wake(self) -> list[Command]:
        times = [deadline for deadline, _, _ in self._deadlines[:1]]
        if self._may_send():
            times.append(max(self._flush_at, self._pause_until))
        if self._unread:
            times.append(self._pause_until)
        return [WakeAt(min(times))] if times else []


def _move(source: deque[_Job], target: list[_Job], size: int) -> None:
    """Move jobs until the target has the size or the bytes of a full group."""
    room = GROUP_BYTES - sum(job.size for job in target)
    while source and len(target) < size:
        job = source[0]
        if target and (job.alone or target[0].alone or job.size > room):
            return
        target.append(source.popleft())
        room -= job.size


def _count_bytes(known: _Known) -> int:
    return estimate_bytes(make_done_value(known.claim, known.answer, known.expires))
