"""Tests of claims on idempotency keys."""

import asyncio
from collections import Counter
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from radishtally.claims.core import ClaimCore, ClaimLimits
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
)
from radishtally.claims.record import (
    MAX_BODY_BYTES,
    Claim,
    StoredAnswer,
    make_claim_key,
)
from radishtally.claims.store import ClaimStore
from radishtally.outcome import Error, Ok
from radishtally.store.core import Invalid, Put, Unavailable, Unclear
from radishtally.store.ids import WriteIds
from tests.common import MemoryTable, Rows, run

LIMITS = ClaimLimits()
ENTRIES = ("e1", "e2", "e3")
KEYS = ("k1", "k2")
CLAIM_TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 0.01
POLLS = 500
EXPIRES = 1_900_000_000

SERVED = "served"
REPLY_LOST = "reply lost"
LATE = "late"
REFUSED = "refused"
BEHAVIOURS = (SERVED, SERVED, REPLY_LOST, LATE, REFUSED)


class PendingRequest(NamedTuple):
    """Describe a caller's request for a claim."""

    entry: str
    claim: Claim


class Entry:
    """Run one claim core against shared rows."""

    def __init__(self, holder: str, rows: Rows) -> None:
        self.core = ClaimCore(holder, WriteIds(holder), LIMITS)
        self.rows = rows
        self.calls: list[SendGroup | ReadRow] = []
        self.late: list[SendGroup] = []
        self.answers: dict[int, ClaimOutcome] = {}
        self.lost: list[str] = []

    def handle(self, event: Event, now: float) -> None:
        for command in self.core.handle(event, now):
            self.execute(command)

    def execute(self, command: Command) -> None:
        if isinstance(command, SendGroup | ReadRow):
            self.calls.append(command)
        if isinstance(command, ReplyToCaller):
            assert command.caller not in self.answers, "answered twice"
            self.answers[command.caller] = command.outcome
        if isinstance(command, OutcomeLost):
            self.lost.append(command.cause)

    def serve(self, behaviour: str, now: float) -> None:
        """Process the oldest call to the table with the given behaviour."""
        call = self.calls.pop(0)
        if isinstance(call, ReadRow):
            failed = behaviour in (REFUSED, LATE)
            row = RowRead(call.key, self.rows.read(call.key))
            self.handle(RowReadFailed(call.key) if failed else row, now)
            return
        self.handle(GroupSettled(call.write_id, self.settle(call, behaviour)), now)

    def settle(self, call: SendGroup, behaviour: str):
        if behaviour == REFUSED:
            return Error(Unavailable(""))
        if behaviour == LATE:
            self.late.append(call)
            return Error(Unclear(""))
        result = self.rows.apply(list(call.puts), call.write_id)
        return Error(Unclear("")) if behaviour == REPLY_LOST else result

    def apply_late_write(self) -> None:
        group = self.late.pop(0)
        self.rows.apply(list(group.puts), group.write_id)

    def run(self, now: float, seconds: float) -> float:
        """Let time pass while the table works without faults."""
        until = now + seconds
        while now < until:
            now += 0.05
            self.handle(Tick(), now)
            while self.calls:
                self.serve(SERVED, now)
        return now


@settings(max_examples=300, stateful_step_count=60)
class ClaimMachine(RuleBasedStateMachine):
    """Repeat keys at any entry while replies are lost and entries crash.

    A call must not run twice or run although its caller was told "not run", and a
    repeat must not get a different answer than the first request.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.rows = Rows()
        self.number = 0
        self.entries = {name: Entry(f"{name}-0", self.rows) for name in ENTRIES}
        self.asked: dict[int, PendingRequest] = {}
        self.open: dict[int, PendingRequest] = {}
        """Granted calls that have not run yet."""
        self.ran: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.first: dict[str, bytes] = {}

    @rule(entry=st.sampled_from(ENTRIES), key=st.sampled_from(KEYS))
    def ask(self, entry: str, key: str) -> None:
        self.number += 1
        claim = Claim("t", key, f"r{self.number}", "hash")
        self.asked[self.number] = PendingRequest(entry, claim)
        event = ClaimRequested(
            self.number, claim, self.now + CLAIM_TIMEOUT_SECONDS, EXPIRES
        )
        self.entries[entry].handle(event, self.now)

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.5]))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule(entry=st.sampled_from(ENTRIES))
    def tick(self, entry: str) -> None:
        self.entries[entry].handle(Tick(), self.now)

    @rule(entry=st.sampled_from(ENTRIES), behaviour=st.sampled_from(BEHAVIOURS))
    def serve(self, entry: str, behaviour: str) -> None:
        if self.entries[entry].calls:
            self.entries[entry].serve(behaviour, self.now)

    @rule(entry=st.sampled_from(ENTRIES))
    def deliver_late_write(self, entry: str) -> None:
        if self.entries[entry].late:
            self.entries[entry].apply_late_write()

    @rule(entry=st.sampled_from(ENTRIES))
    def run_without_faults(self, entry: str) -> None:
        self.now = self.entries[entry].run(self.now, 0.5)

    @rule(entry=st.sampled_from(ENTRIES))
    def crash(self, entry: str) -> None:
        """Replace the process; writes that it has sent may still arrive."""
        crashed = self.entries[entry]
        self.number += 1
        fresh = Entry(f"{entry}-{self.number}", self.rows)
        sent = [call for call in crashed.calls if isinstance(call, SendGroup)]
        fresh.late = crashed.late + sent
        self.entries[entry] = fresh
        abandoned = [n for n, asked in self.open.items() if asked.entry == entry]
        for number in abandoned:
            del self.open[number]

    @precondition(lambda self: self.open)
    @rule(finishes=st.booleans(), last=st.booleans())
    def run_call(self, finishes: bool, last: bool) -> None:
        number = (max if last else min)(self.open)
        entry, claim = self.open.pop(number)
        assert claim.request not in self.refused, "refused as not run, and ran"
        self.ran[claim.key] += 1
        if finishes:
            body = claim.request.encode()
            self.first.setdefault(claim.key, body)
            answer = StoredAnswer(200, (("a", "b"),), body)
            self.entries[entry].handle(CallFinished(claim, answer), self.now)

    @precondition(lambda self: self.open)
    @rule()
    def release_call(self) -> None:
        entry, claim = self.open.pop(min(self.open))
        self.entries[entry].handle(CallReleased(claim), self.now)

    @invariant()
    def process_replies(self) -> None:
        for entry in self.entries.values():
            for number, outcome in entry.answers.items():
                self.process_reply(self.asked[number], number, outcome)
            entry.answers.clear()

    @invariant()
    def check_ran_once(self) -> None:
        assert all(count <= 1 for count in self.ran.values()), f"ran twice: {self.ran}"

    def process_reply(
        self, asked: PendingRequest, number: int, outcome: ClaimOutcome
    ) -> None:
        if isinstance(outcome, Granted):
            self.open[number] = asked
        if isinstance(outcome, StoreAway):
            self.refused.add(asked.claim.request)
        if isinstance(outcome, Repeated):
            assert outcome.answer.body == self.first[asked.claim.key]
        assert not isinstance(outcome, KeyReused)

    def teardown(self) -> None:
        """Check that every outcome reaches the table once the faults are over."""
        for entry in self.entries.values():
            self.now = entry.run(self.now, 8.0)
            assert entry.core.waiting == 0


TestClaimMachine = ClaimMachine.TestCase


@pytest.fixture
def rows() -> Rows:
    return Rows()


@pytest.fixture
def entry(rows: Rows) -> Entry:
    return Entry("e1-0", rows)


def make_claim(request: str, key: str = "k", body_hash: str = "hash") -> Claim:
    return Claim("t", key, request, body_hash)


def ask(entry: Entry, number: int, claim: Claim, now: float = 0.0) -> None:
    entry.handle(
        ClaimRequested(number, claim, now + CLAIM_TIMEOUT_SECONDS, EXPIRES), now
    )


ANSWER = StoredAnswer(201, (("content-type", "text/plain"),), b"sent")


@pytest.mark.parametrize(
    ("settled", "body_hash", "expected"),
    [
        (None, "hash", UnknownOutcome()),
        (None, "other", KeyReused()),
        (ANSWER, "hash", Repeated(ANSWER)),
        (ANSWER, "other", KeyReused()),
        ("released", "hash", Granted()),
    ],
)
@pytest.mark.parametrize("same_entry", [True, False])
def test_repeat_is_answered_by_the_outcome_of_the_first(
    rows: Rows, entry: Entry, settled, body_hash: str, expected, same_entry: bool
) -> None:
    first = make_claim("r1")
    ask(entry, 1, first)
    now = entry.run(0.0, 0.5)
    assert entry.answers[1] == Granted()
    if settled == "released":
        entry.handle(CallReleased(first), now)
    elif settled is not None:
        entry.handle(CallFinished(first, settled), now)
    now = entry.run(now, 0.5)
    again = entry if same_entry else Entry("e2-0", rows)
    ask(again, 2, make_claim("r2", body_hash=body_hash), now)
    again.run(now, 0.5)
    assert again.answers[2] == expected


def test_claims_of_many_requests_share_a_transaction(entry: Entry) -> None:
    for number in range(40):
        ask(entry, number, make_claim(f"r{number}", f"k{number}"))
    entry.handle(Tick(), 1.0)
    [group] = entry.calls
    assert len(group.puts) == 40


def test_conflicting_claim_does_not_delay_the_others(rows: Rows, entry: Entry):
    other = Entry("e2-0", rows)
    ask(other, 1, make_claim("r0", "k3"))
    now = other.run(0.0, 0.5)
    for number in range(5):
        ask(entry, number, make_claim(f"r{number}", f"k{number}"), now)
    entry.run(now, 0.5)
    expected = [Granted()] * 5
    expected[3] = UnknownOutcome()
    assert [entry.answers[number] for number in range(5)] == expected


def test_claim_whose_reply_was_lost_is_recognised_by_its_write_id(entry: Entry) -> None:
    # The claim is written but the reply is lost. The row that is then read carries the
    # write id of this process, so the call is granted and runs once.
    ask(entry, 1, make_claim("r1"))
    entry.handle(Tick(), 1.0)
    entry.serve(REPLY_LOST, 1.0)
    assert 1 not in entry.answers
    entry.serve(SERVED, 1.0)
    assert entry.answers[1] == Granted()


def test_key_of_an_unclear_abandoned_claim_can_be_claimed_again(
    rows: Rows, entry: Entry
) -> None:
    # The claim is written, the reply is lost and the store is down until the deadline.
    # The caller is correctly told "not run". When the store recovers, the claim is
    # found by its write id and revoked, and the caller's repeat may run.
    ask(entry, 1, make_claim("r1"))
    entry.handle(Tick(), 0.5)
    entry.serve(REPLY_LOST, 0.5)
    entry.serve(REFUSED, 0.5)
    entry.handle(Tick(), 2.5)
    assert entry.answers[1] == StoreAway()
    now = entry.run(2.5, 3.0)
    other = Entry("e2-0", rows)
    ask(other, 2, make_claim("r2"), now)
    other.run(now, 0.5)
    assert other.answers[2] == Granted()


def test_claim_stored_after_the_deadline_is_revoked(rows: Rows, entry: Entry) -> None:
    # The store is slow: the claim's transaction succeeds only after its caller was told
    # "not run". The claim is then stored, but no caller will run the call.
    ask(entry, 1, make_claim("r1"))
    entry.handle(Tick(), 0.5)
    entry.handle(Tick(), 2.5)
    assert entry.answers[1] == StoreAway()
    entry.serve(SERVED, 2.6)
    now = entry.run(2.6, 0.5)
    other = Entry("e2-0", rows)
    ask(other, 2, make_claim("r2"), now)
    other.run(now, 0.5)
    assert other.answers[2] == Granted()


def test_late_write_of_an_abandoned_claim_fails_its_condition(rows: Rows, entry: Entry):
    # The claim's write is delayed. The caller is told "not run" at the deadline, and
    # "not run" is written in the claim's place. When the delayed write arrives it fails
    # its condition, so the key does not stay claimed for ever.
    claim = make_claim("r1")
    ask(entry, 1, claim)
    entry.handle(Tick(), 0.5)
    entry.serve(LATE, 0.5)
    entry.serve(REFUSED, 0.5)
    entry.handle(Tick(), 2.5)
    assert entry.answers[1] == StoreAway()
    entry.run(2.5, 3.0)
    entry.apply_late_write()
    assert rows.read(make_claim_key(claim)).value["state"] == "not_run"


def test_invalid_row_does_not_fail_its_group(entry: Entry) -> None:
    for number in range(3):
        ask(entry, number, make_claim(f"r{number}", f"k{number}"))
    entry.handle(Tick(), 0.5)
    [group] = entry.calls
    entry.calls.clear()
    entry.handle(GroupSettled(group.write_id, Error(Invalid(""))), 0.5)
    entry.handle(Tick(), 1.0)
    assert [len(call.puts) for call in entry.calls] == [1, 1, 1]
    bad = entry.calls.pop(0)
    entry.handle(GroupSettled(bad.write_id, Error(Invalid(""))), 1.0)
    entry.run(1.0, 0.5)
    assert [entry.answers[n] for n in range(3)] == [StoreAway(), Granted(), Granted()]


def test_throttled_group_is_halved_until_it_succeeds(entry: Entry) -> None:
    for number in range(8):
        ask(entry, number, make_claim(f"r{number}", f"k{number}"))
    sizes = []
    now = 0.5
    for _ in range(2):
        entry.handle(Tick(), now)
        sizes.append(len(entry.calls[0].puts))
        while entry.calls:
            entry.serve(REFUSED, now)
        now += 0.5
    assert sizes == [8, 4]
    entry.run(now, 1.0)
    assert all(entry.answers[number] == Granted() for number in range(8))


def test_outcome_is_kept_in_memory_until_the_store_recovers(entry: Entry) -> None:
    claim = make_claim("r1")
    ask(entry, 1, claim)
    now = entry.run(0.0, 0.5)
    entry.handle(CallFinished(claim, ANSWER), now)
    for _ in range(5):
        now += 3.0
        entry.handle(Tick(), now)
        while entry.calls:
            entry.serve(REFUSED, now)
    assert entry.core.waiting == 1
    ask(entry, 2, make_claim("r2"), now)
    assert entry.answers[2] == Repeated(ANSWER)
    entry.run(now, 3.0)
    assert entry.core.waiting == 0


def test_large_body_is_dropped_and_marked_so(rows: Rows, entry: Entry) -> None:
    claim = make_claim("r1")
    ask(entry, 1, claim)
    now = entry.run(0.0, 0.5)
    large = ANSWER._replace(body=b"x" * (MAX_BODY_BYTES + 1))
    entry.handle(CallFinished(claim, large), now)
    now = entry.run(now, 0.5)
    other = Entry("e2-0", rows)
    ask(other, 2, make_claim("r2"), now)
    other.run(now, 0.5)
    assert other.answers[2] == Repeated(ANSWER._replace(body=b"", body_kept=False))


def test_queued_claims_are_bounded() -> None:
    entry = Entry("e1-0", Rows())
    entry.core = ClaimCore("e1-0", WriteIds("e1-0"), ClaimLimits(max_waiting=3))
    for number in range(4):
        ask(entry, number, make_claim(f"r{number}", f"k{number}"))
    assert entry.answers == {3: StoreAway()}


def test_claims_are_refused_at_once_in_a_long_outage(entry: Entry) -> None:
    """The first caller waits for its full timeout, the next one is refused at once.

    The store refuses everything. Once it recovers, the first claim after the backoff
    succeeds and claims are granted again.
    """
    ask(entry, 1, make_claim("r1"))
    now = 0.0
    while 1 not in entry.answers:
        now += 0.05
        entry.handle(Tick(), now)
        while entry.calls:
            entry.serve(REFUSED, now)
    assert entry.answers[1] == StoreAway()
    ask(entry, 2, make_claim("r2", "k2"), now)
    assert entry.answers[2] == StoreAway()
    now += LIMITS.max_retry_seconds
    ask(entry, 3, make_claim("r3", "k2"), now)
    assert 3 not in entry.answers
    entry.run(now, 1.0)
    assert entry.answers[3] == Granted()


def test_finish_of_a_call_that_was_not_granted_is_reported(entry: Entry) -> None:
    entry.handle(CallFinished(make_claim("r1"), ANSWER), 0.0)
    assert entry.lost == ["not granted here"]


@pytest.fixture
def table() -> MemoryTable:
    return MemoryTable()


async def claim_at(store: ClaimStore, request: str, key: str = "k") -> ClaimOutcome:
    return await store.claim("t", key, request, "hash")


def test_store_claims_and_repeats_the_answer(table: MemoryTable) -> None:
    async def scenario() -> None:
        first, second = (
            ClaimStore(table, "e1-0", WriteIds("e1-0")),
            ClaimStore(table, "e2-0", WriteIds("e2-0")),
        )
        first.start()
        second.start()
        assert await claim_at(first, "r1") == Granted()
        assert await claim_at(second, "r2") == UnknownOutcome()
        first.finish("t", "k", "r1", ANSWER.status, ANSWER.headers, ANSWER.body)
        await first.stop()
        assert await claim_at(second, "r3") == Repeated(ANSWER)
        await second.stop()

    run(scenario())


@pytest.mark.parametrize("fault", ["lose_replies", "drop_writes"])
def test_store_resolves_an_unclear_claim(table: MemoryTable, fault: str) -> None:
    async def scenario() -> None:
        store = ClaimStore(table, "e1-0", WriteIds("e1-0"))
        store.start()
        setattr(table, fault, 1)
        assert await claim_at(store, "r1") == Granted()
        store.release("t", "k", "r1")
        await store.stop()
        assert store.waiting == 0

    run(scenario())


def test_unavailable_store_refuses_and_a_later_request_may_run(
    table: MemoryTable,
) -> None:
    async def scenario() -> None:
        store = ClaimStore(table, "e1-0", WriteIds("e1-0"), seconds=0.05)
        store.start()
        table.down = True
        assert await claim_at(store, "r1") == StoreAway()
        table.down = False
        outcome = await claim_at(store, "r2")
        while outcome == StoreAway():
            await asyncio.sleep(POLL_SECONDS)
            outcome = await claim_at(store, "r2")
        assert outcome == Granted()
        await store.stop()

    run(scenario())


def test_caller_that_disconnects_before_the_grant_leaves_the_key_free(
    table: MemoryTable,
) -> None:
    # The caller disconnects while its claim is pending. Nobody would run the call, so
    # the claim is released and the caller's repeat may run.
    async def scenario() -> None:
        store = ClaimStore(table, "e1-0", WriteIds("e1-0"))
        store.start()
        asking = asyncio.create_task(claim_at(store, "r1"))
        await asyncio.sleep(0)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        outcome: ClaimOutcome = StoreAway()
        for _ in range(POLLS):
            outcome = await claim_at(store, "r2")
            if outcome == Granted():
                break
            await asyncio.sleep(POLL_SECONDS)
        assert outcome == Granted()
        await store.stop()

    run(scenario())


def test_claim_is_written_under_its_condition(entry: Entry) -> None:
    ask(entry, 1, make_claim("r1"))
    entry.handle(Tick(), 1.0)
    [group] = entry.calls
    [put] = group.puts
    assert isinstance(put, Put)
    assert put.expect == 0
    entry.handle(GroupSettled(group.write_id, Ok(None)), 1.0)
    assert entry.answers[1] == Granted()
