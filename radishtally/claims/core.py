"""Decide which calls that are not idempotent may run.

A call runs only once its claim is confirmed to be in the table. Claims and outcomes
share transactions. Every row is written conditionally, so that a write whose reply was
lost is recognised by its write id and never applied twice.
"""

import heapq
from collections import OrderedDict, deque
from functools import singledispatchmethod
from typing import Final, NamedTuple

from radishtally.claims.events import (
    CallFinished,
    CallReleased,
    ClaimOutcome,
    ClaimRequested,
    Command,
    Event,
    Granted,
    GroupSettled,
    KeyReused,
    OutcomeLost,
    ReadRow,
    Repeated,
    ReplyToCaller,
    RowRead,
    RowReadFailed,
    SendGroup,
    StoreAway,
    Tick,
    UnknownOutcome,
    WakeAt,
)
from radishtally.claims.record import (
    CLAIMED,
    DONE,
    MAX_BODY_BYTES,
    NOT_RUN,
    Claim,
    ClaimValue,
    StoredAnswer,
    estimate_row_bytes,
    limit_body,
    make_claim_key,
    make_claim_value,
    make_done_value,
    read_answer,
    read_claim,
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
"""Half of the transaction size limit of DynamoDB."""
OUTCOME_SLOT_INTERVAL: Final = 4
"""One in this many slots of a group is reserved for outcomes while any are queued."""
FAILURES_TO_SUSPEND: Final = 4
"""Consecutive failures after which new claims are refused while the backoff lasts. With
the default backoff they take about a second."""


class ClaimLimits(NamedTuple):
    """Define the limits on batching, retries and memory."""

    group_size: int = MAX_WRITES
    group_seconds: float = 0.004
    """Time for which a queued write waits for others to join its transaction."""
    max_groups: int = 4
    """Concurrent transactions."""
    first_retry_seconds: float = 0.1
    """Backoff after a failure of the store; doubles up to the maximum."""
    max_retry_seconds: float = 2.0
    max_waiting: int = 2000
    """Maximum number of queued claims, and of queued outcomes."""
    max_waiting_bytes: int = 4 * 1024 * 1024
    """Queue size above which outcomes are stored without their bodies."""
    max_remembered_bytes: int = 2 * 1024 * 1024
    """Size of the answers kept in memory for repeats at this entry."""


class _PendingWrite:
    """Track one row that is to be written."""

    def __init__(self, claim: Claim, value: ClaimValue, expect: int) -> None:
        self.claim = claim
        self.key = make_claim_key(claim)
        self.value = value
        self.expect = expect
        self.caller: int | None = None
        """Caller that waits for the claim; None for outcomes and expired claims."""
        self.claim_write_ids: frozenset[str] = frozenset()
        """Write ids under which the claim itself may have been written."""
        self.write_ids: set[str] = set()
        """Write ids under which this value may have been, or may yet be, written."""
        self.in_flight = False
        self.send_alone = False
        self.size = estimate_row_bytes(value)

    @property
    def is_claim(self) -> bool:
        return self.value["state"] == CLAIMED


class _GrantedCall(NamedTuple):
    """Describe a call that this process was granted."""

    claim: Claim
    write_id: str
    rev: int
    expires: int
    answer: StoredAnswer | None = None


class ClaimCore:
    """Claim keys and store outcomes for one process."""

    def __init__(self, holder: str, write_ids: WriteIds, limits: ClaimLimits) -> None:
        self._holder = holder
        self._ids = write_ids
        self._limits = limits
        self._jobs: dict[Key, _PendingWrite] = {}
        self._deadlines: list[tuple[float, int, _PendingWrite]] = []
        self._claims: deque[_PendingWrite] = deque()
        self._outcomes: deque[_PendingWrite] = deque()
        self._groups: dict[str, list[_PendingWrite]] = {}
        self._unread: deque[Key] = deque()
        self._granted: dict[Key, _GrantedCall] = {}
        self._finished: OrderedDict[Key, _GrantedCall] = OrderedDict()
        self._finished_bytes = 0
        self._waiting_bytes = 0
        self._group_size = limits.group_size
        self._flush_at = float("inf")
        self._pause_until = float("-inf")
        self._failures = 0

    @property
    def waiting(self) -> int:
        """Number of rows whose write is not settled yet."""
        return len(self._jobs)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle one event and return the resulting commands."""
        commands = self._handle_event(event, now)
        commands += self._expire_claims(now)
        commands += self._retry_reads(now)
        commands += self._send(now)
        return commands + self._schedule_wake()

    @singledispatchmethod
    def _handle_event(self, event: Event, now: float) -> list[Command]:
        raise TypeError(f"unknown event {event!r}")

    @_handle_event.register
    def _(self, event: Tick, now: float) -> list[Command]:
        return []

    @_handle_event.register
    def _(self, event: ClaimRequested, now: float) -> list[Command]:
        outcome = self._find_known_outcome(event.claim)
        is_full = len(self._claims) >= self._limits.max_waiting
        if outcome is None and (is_full or self._is_suspended(now)):
            outcome = StoreAway()
        if outcome is not None:
            return [ReplyToCaller(event.caller, outcome)]
        value = make_claim_value(event.claim, CLAIMED, event.expires)
        job = _PendingWrite(event.claim, value, ABSENT)
        job.caller = event.caller
        heapq.heappush(self._deadlines, (event.deadline, event.caller, job))
        self._add(job, now)
        return []

    @_handle_event.register
    def _(self, event: CallFinished, now: float) -> list[Command]:
        known = self._pop_granted(event.claim)
        if known is None:
            return [OutcomeLost(event.claim.request, "not granted here")]
        has_room = self._waiting_bytes < self._limits.max_waiting_bytes
        answer = limit_body(event.answer, MAX_BODY_BYTES if has_room else 0)
        self._remember(known._replace(answer=answer))
        value = make_done_value(known.claim, answer, known.expires)
        return self._add_outcome(known, value, now)

    @_handle_event.register
    def _(self, event: CallReleased, now: float) -> list[Command]:
        known = self._pop_granted(event.claim)
        if known is None:
            return []
        value = make_claim_value(known.claim, NOT_RUN, known.expires)
        return self._add_outcome(known, value, now)

    @_handle_event.register
    def _(self, event: GroupSettled, now: float) -> list[Command]:
        jobs = self._groups.pop(event.write_id)
        for job in jobs:
            job.in_flight = False
        if event.outcome.is_ok():
            self._record_success()
            return [
                c for job in jobs for c in self._confirm_write(job, event.write_id, now)
            ]
        return self._handle_failure(jobs, event.write_id, event.outcome.error, now)

    @_handle_event.register
    def _(self, event: RowRead, now: float) -> list[Command]:
        job = self._jobs[event.key]
        job.in_flight = False
        row = event.row
        if row is not None and row.write_id in job.write_ids:
            job.expect = row.rev - 1
            return self._confirm_write(job, row.write_id, now)
        if row is None:
            job.expect = ABSENT
            return self._requeue(job, now)
        if job.is_claim:
            return self._resolve_conflict(job, row, now)
        if row.write_id not in job.claim_write_ids:
            return self._drop_outcome(job, "the row belongs to another claim")
        job.expect = row.rev
        return self._requeue(job, now)

    @_handle_event.register
    def _(self, event: RowReadFailed, now: float) -> list[Command]:
        self._jobs[event.key].in_flight = False
        self._back_off(now)
        self._unread.append(event.key)
        return []

    def _pop_granted(self, claim: Claim) -> _GrantedCall | None:
        key = make_claim_key(claim)
        known = self._granted.get(key)
        if known is None or known.claim.request != claim.request:
            return None
        return self._granted.pop(key)

    def _find_known_outcome(self, claim: Claim) -> ClaimOutcome | None:
        """Return the key's outcome if this process knows it from memory."""
        key = make_claim_key(claim)
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
            # The row of an earlier claim is being changed to NOT_RUN or DONE; the key
            # can't be claimed again until that is in the table.
            return StoreAway()
        return UnknownOutcome()

    def _add(self, job: _PendingWrite, now: float) -> None:
        self._jobs[job.key] = job
        self._waiting_bytes += job.size
        self._requeue(job, now)

    def _add_outcome(
        self, known: _GrantedCall, value: ClaimValue, now: float
    ) -> list[Command]:
        if len(self._outcomes) >= self._limits.max_waiting:
            return [
                OutcomeLost(known.claim.request, "too many writes wait for the store")
            ]
        job = _PendingWrite(known.claim, value, known.rev)
        job.claim_write_ids = frozenset({known.write_id})
        self._add(job, now)
        return []

    def _requeue(self, job: _PendingWrite, now: float) -> list[Command]:
        if job.is_claim and job.caller is None:
            return self._revoke(job, now)
        queue = self._claims if job.is_claim else self._outcomes
        queue.append(job)
        self._flush_at = min(self._flush_at, now + self._limits.group_seconds)
        return []

    def _remove(self, job: _PendingWrite) -> None:
        del self._jobs[job.key]
        self._waiting_bytes -= job.size

    def _drop_outcome(self, job: _PendingWrite, cause: str) -> list[Command]:
        self._remove(job)
        return [OutcomeLost(job.claim.request, cause)]

    def _finish_claim(self, job: _PendingWrite, outcome: ClaimOutcome) -> list[Command]:
        self._remove(job)
        return [] if job.caller is None else [ReplyToCaller(job.caller, outcome)]

    def _confirm_write(
        self, job: _PendingWrite, write_id: str, now: float
    ) -> list[Command]:
        """Handle the confirmation that the job's value is stored under a write id."""
        if not job.is_claim:
            self._remove(job)
            return []
        if job.caller is None:
            job.write_ids = {write_id}
            job.expect += 1
            return self._revoke(job, now)
        expires = job.value["expires"]
        known = _GrantedCall(job.claim, write_id, job.expect + 1, expires)
        self._granted[job.key] = known
        return self._finish_claim(job, Granted())

    def _resolve_conflict(
        self, job: _PendingWrite, row: Row, now: float
    ) -> list[Command]:
        """Resolve a claim whose key has a row of another request."""
        read = read_claim(row)
        if read.is_error():
            # What it replaced may have been the claim of a call that has run.
            return self._finish_claim(job, UnknownOutcome())
        stored = read.ok
        if stored["body_hash"] != job.value["body_hash"]:
            return self._finish_claim(job, KeyReused())
        if stored["state"] == DONE:
            answer = read_answer(stored)
            known = UnknownOutcome() if answer is None else Repeated(answer)
            return self._finish_claim(job, known)
        if stored["state"] != NOT_RUN:
            return self._finish_claim(job, UnknownOutcome())
        job.write_ids.clear()
        job.expect = row.rev
        return self._requeue(job, now)

    def _expire_claims(self, now: float) -> list[Command]:
        """Refuse claims whose deadline has passed; their calls do not run."""
        commands: list[Command] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, job = heapq.heappop(self._deadlines)
            if job.caller is not None and self._jobs.get(job.key) is job:
                commands += self._expire_claim(job, now)
        return commands

    def _expire_claim(self, job: _PendingWrite, now: float) -> list[Command]:
        reply = ReplyToCaller(job.caller, StoreAway())
        job.caller = None
        if job.in_flight:
            return [reply]
        if job in self._claims:
            self._claims.remove(job)
        if job.key in self._unread:
            self._unread.remove(job.key)
        return [reply, *self._revoke(job, now)]

    def _revoke(self, job: _PendingWrite, now: float) -> list[Command]:
        """Revoke a claim that may be stored although its caller was refused.

        A claim whose reply was lost may have been written or may still arrive. The call
        did not run, but a repeat of it would find the key claimed and get "unknown" for
        as long as the row exists. Therefore a NOT_RUN row replaces this process's own
        claim. If the claim has not arrived yet, the NOT_RUN row is written first, and
        the late write fails its condition. Until the NOT_RUN row is confirmed, a repeat
        is refused as "not run" by this process and as "unknown" by other entries;
        afterwards it may claim the key.
        """
        if not job.write_ids:
            self._remove(job)
            return []
        job.claim_write_ids = frozenset(job.write_ids)
        job.write_ids = set()
        job.value = make_claim_value(job.claim, NOT_RUN, job.value["expires"])
        return self._requeue(job, now)

    def _handle_failure(
        self, jobs: list[_PendingWrite], write_id: str, error: TableError, now: float
    ) -> list[Command]:
        """Handle a transaction that failed or whose outcome is unclear."""
        if isinstance(error, Unclear):
            self._back_off(now)
            return [self._read(job) for job in jobs]
        for job in jobs:
            job.write_ids.discard(write_id)
        if isinstance(error, Unavailable):
            self._back_off(now)
            self._group_size = max(1, len(jobs) // 2)
            return self._requeue_all(jobs, now)
        if isinstance(error, Conflict):
            self._record_success()
            failed = {jobs[index].key for index in error.indexes}
            rest = [job for job in jobs if job.key not in failed]
            reads = [self._read(job) for job in jobs if job.key in failed]
            return [*reads, *self._requeue_all(rest, now)]
        return self._isolate(jobs, now)

    def _requeue_all(self, jobs: list[_PendingWrite], now: float) -> list[Command]:
        for job in jobs:
            self._requeue(job, now)
        return []

    def _isolate(self, jobs: list[_PendingWrite], now: float) -> list[Command]:
        """Send each row of an invalid transaction alone to find the faulty one."""
        if len(jobs) > 1:
            for job in jobs:
                job.send_alone = True
            return self._requeue_all(jobs, now)
        [job] = jobs
        if job.is_claim:
            return self._finish_claim(job, StoreAway())
        return self._drop_outcome(job, "refused by the store")

    def _read(self, job: _PendingWrite) -> ReadRow:
        job.in_flight = True
        return ReadRow(job.key)

    def _retry_reads(self, now: float) -> list[Command]:
        if now < self._pause_until:
            return []
        keys = list(self._unread)
        self._unread.clear()
        return [self._read(self._jobs[key]) for key in keys]

    def _send(self, now: float) -> list[Command]:
        """Send the queued writes in as few transactions as possible."""
        if now < self._flush_at or now < self._pause_until:
            return []
        commands: list[Command] = []
        while self._may_send():
            commands.append(self._form_group())
        if not self._claims and not self._outcomes:
            self._flush_at = float("inf")
        return commands

    def _may_send(self) -> bool:
        if len(self._groups) >= self._limits.max_groups:
            return False
        return bool(self._claims or self._outcomes)

    def _form_group(self) -> SendGroup:
        write_id = self._ids.make()
        jobs = self._pick_jobs()
        for job in jobs:
            job.in_flight = True
            job.write_ids.add(write_id)
        self._groups[write_id] = jobs
        puts = [Put(job.key, dict(job.value), job.expect) for job in jobs]
        return SendGroup(write_id, puts)

    def _pick_jobs(self) -> list[_PendingWrite]:
        """Pick claims first, since callers wait for them, but reserve outcome slots."""
        reserved = min(len(self._outcomes), self._group_size // OUTCOME_SLOT_INTERVAL)
        jobs: list[_PendingWrite] = []
        _fill_group(self._claims, jobs, self._group_size - reserved)
        _fill_group(self._outcomes, jobs, self._group_size)
        _fill_group(self._claims, jobs, self._group_size)
        return jobs

    def _is_suspended(self, now: float) -> bool:
        """Return whether claims are refused at once because the store keeps failing.

        In a long outage every caller, and each of its repeats, would wait for the whole
        claim timeout only to be refused. After several consecutive failures it is
        refused immediately while the backoff lasts; the first claim after the backoff
        probes the store.
        """
        return self._failures >= FAILURES_TO_SUSPEND and now < self._pause_until

    def _back_off(self, now: float) -> None:
        seconds = self._limits.first_retry_seconds * 2 ** min(self._failures, 10)
        seconds = min(seconds, self._limits.max_retry_seconds)
        self._pause_until = max(self._pause_until, now + seconds)
        self._failures += 1

    def _record_success(self) -> None:
        self._failures = 0
        self._group_size = min(self._limits.group_size, self._group_size * 2)

    def _remember(self, known: _GrantedCall) -> None:
        key = make_claim_key(known.claim)
        self._finished[key] = known
        self._finished_bytes += _estimate_bytes(known)
        while self._finished_bytes > self._limits.max_remembered_bytes:
            _, oldest = self._finished.popitem(last=False)
            self._finished_bytes -= _estimate_bytes(oldest)

    def _schedule_wake(self) -> list[Command]:
        times = [deadline for deadline, _, _ in self._deadlines[:1]]
        if self._may_send():
            times.append(max(self._flush_at, self._pause_until))
        if self._unread:
            times.append(self._pause_until)
        return [WakeAt(min(times))] if times else []


def _fill_group(
    source: deque[_PendingWrite], target: list[_PendingWrite], size: int
) -> None:
    """Move jobs until the target reaches the group's size or byte limit."""
    room = GROUP_BYTES - sum(job.size for job in target)
    while source and len(target) < size:
        job = source[0]
        if target and (job.send_alone or target[0].send_alone or job.size > room):
            return
        target.append(source.popleft())
        room -= job.size


def _estimate_bytes(known: _GrantedCall) -> int:
    return estimate_row_bytes(make_done_value(known.claim, known.answer, known.expires))
