"""Test the claims on idempotency keys."""

import asyncio
from collections import Counter
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from radishtally.claims.core import ClaimCore, ClaimLimits
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
)
from radishtally.claims.record import BODY_BYTES, Claim, StoredAnswer, name_claim
from radishtally.claims.store import ClaimStore
from radishtally.outcome import Error, Ok
from radishtally.store.core import Invalid, Put, Unavailable, Unclear
from radishtally.store.ids import WriteIds
from tests.common import MemoryTable, Rows, run

LIMITS = ClaimLimits()
ENTRIES = ("e1", "e2", "e3")
KEYS = ("k1", "k2")
SECONDS = 2.0
POLL_SECONDS = 0.01
POLLS = 500
EXPIRES = 1_900_000_000

SERVED = "served"
REPLY_LOST = "reply lost"
LATE = "late"
REFUSED = "refused"
FATES = (SERVED, SERVED, REPLY_LOST, LATE, REFUSED)


class Asked(NamedTuple):
    """Hold a request of a caller."""

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
        if isinstance(command, Answer):
            assert command.caller not in self.answers, "answered twice"
            self.answers[command.caller] = command.outcome
        if isinstance(command, OutcomeLost):
            self.lost.append(command.cause)

    def serve(self, fate: str, now: float) -> None:
        """Let the table meet the oldest call."""
        call = self.calls.pop(0)
        if isinstance(call, ReadRow):
            failed = fate in (REFUSED, LATE)
            row = RowRead(call.key, self.rows.read(call.key))
            self.handle(RowUnread(call.key) if failed else row, now)
            return
        self.handle(GroupSettled(call.write_id, self.settle(call, fate)), now)

    def settle(self, call: SendGroup, fate: str):
        if fate == REFUSED:
            return Error(Unavailable(""))
        if fate == LATE:
            self.late.append(call)
            return Error(Unclear(""))
        result = self.rows.apply(list(call.puts), call.write_id)
        return Error(Unclear("")) if fate == REPLY_LOST else result

    def land_late(self) -> None:
        group = self.late.pop(0)
        self.rows.apply(list(group.puts), group.write_id)

    def run(self, now: float, seconds: float) -> float:
        """Go on undisturbed with a table that works."""
        until = now + seconds
        while now < until:
            now += 0.05
            self.handle(Tick(), now)
            while self.calls:
                self.serve(SERVED, now)
        return now


@settings(max_examples=300, stateful_step_count=60)
class ClaimMachine(RuleBasedStateMachine):
    """Let callers repeat keys at any entry while replies are lost and entries die.

    What must not be seen: a call that ran twice, a call that ran although its caller
    was told "not run", or a repeat that gets another answer than the first one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.rows = Rows()
        self.number = 0
        self.entries = {name: Entry(f"{name}-0", self.rows) for name in ENTRIES}
        self.asked: dict[int, Asked] = {}
        self.open: dict[int, Asked] = {}
        """Granted and not yet run."""
        self.ran: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.first: dict[str, bytes] = {}

    @rule(entry=st.sampled_from(ENTRIES), key=st.sampled_from(KEYS))
    def ask(self, entry: str, key: str) -> None:
        self.number += 1
        claim = Claim("t", key, f"r{self.number}", "hash")
        self.asked[self.number] = Asked(entry, claim)
        event = ClaimAsked(self.number, claim, self.now + SECONDS, EXPIRES)
        self.entries[entry].handle(event, self.now)

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.5]))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule(entry=st.sampled_from(ENTRIES))
    def tick(self, entry: str) -> None:
        self.entries[entry].handle(Tick(), self.now)

    @rule(entry=st.sampled_from(ENTRIES), fate=st.sampled_from(FATES))
    def serve(self, entry: str, fate: str) -> None:
        if self.entries[entry].calls:
            self.entries[entry].serve(fate, self.now)

    @rule(entry=st.sampled_from(ENTRIES))
    def land_late_write(self, entry: str) -> None:
        if self.entries[entry].late:
            self.entries[entry].land_late()

    @rule(entry=st.sampled_from(ENTRIES))
    def run_undisturbed(self, entry: str) -> None:
        self.now = self.entries[entry].run(self.now, 0.5)

    @rule(entry=st.sampled_from(ENTRIES))
    def die(self, entry: str) -> None:
        """Replace the process; what it sent may still arrive."""
        dead = self.entries[entry]
        self.number += 1
        fresh = Entry(f"{entry}-{self.number}", self.rows)
        sent = [call for call in dead.calls if isinstance(call, SendGroup)]
        fresh.late = dead.late + sent
        self.entries[entry] = fresh
        gone = [n for n, asked in self.open.items() if asked.entry == entry]
        for number in gone:
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
    def take_answers(self) -> None:
        for entry in self.entries.values():
            for number, outcome in entry.answers.items():
                self.take_answer(self.asked[number], number, outcome)
            entry.answers.clear()

    @invariant()
    def check_ran_once(self) -> None:
        assert all(count <= 1 for count in self.ran.values()), f"ran twice: {self.ran}"

    def take_answer(self, asked: Asked, number: int, outcome: ClaimOutcome) -> None:
        if isinstance(outcome, Granted):
            self.open[number] = asked
        if isinstance(outcome, StoreAway):
            self.refused.add(asked.claim.request)
        if isinstance(outcome, Repeated):
            assert outcome.answer.body == self.first[asked.claim.key]
        assert not isinstance(outcome, KeyReused)

    def teardown(self) -> None:
        """See that every outcome reaches the table once the faults are over."""
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
    entry.handle(ClaimAsked(number, claim, now + SECONDS, EXPIRES), now)


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
def test_repeat_is_answered_by_what_became_of_the_first(
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


def test_conflicting_claim_does_not_hold_up_the_others(rows: Rows, entry: Entry):
    other = Entry("e2-0", rows)
    ask(other, 1, make_claim("r0", "k3"))
    now = other.run(0.0, 0.5)
    for number in range(5):
        ask(entry, number, make_claim(f"r{number}", f"k{number}"), now)
    entry.run(now, 0.5)
    expected = [Granted()] * 5
    expected[3] = UnknownOutcome()
    assert [entry.answers[number] for number in range(5)] == expected


def test_claim_whose_reply_was_lost_is_found_by_its_write_id(entry: Entry) -> None:
    # The claim takes effect and its reply is lost. The row is read: it carries the
    # write id of this process, so the call is granted and runs once.
    ask(entry, 1, make_claim("r1"))
    entry.handle(Tick(), 1.0)
    entry.serve(REPLY_LOST, 1.0)
    assert 1 not in entry.answers
    entry.serve(SERVED, 1.0)
    assert entry.answers[1] == Granted()


def test_claim_given_up_unclear_can_be_claimed_again(rows: Rows, entry: Entry) -> None:
    # The claim takes effect, its reply is lost and the store stays away until the
    # deadline. The caller is told "not run", which is true. When the store is back,
    # the claim is taken back by its write id, and the caller's repeat may run.
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


def test_claim_that_stands_after_the_deadline_is_taken_back(
    rows: Rows, entry: Entry
) -> None:
    # The store is slow: the claim's transaction is answered only after its caller was
    # told "not run". The claim then stands, but nobody will run the call.
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


def test_claim_given_up_is_not_made_by_its_late_write(rows: Rows, entry: Entry):
    # The claim's write is stuck on its way. The caller is told "not run" at the
    # deadline; "not run" is written in the claim's place. When the stuck write arrives
    # it fails its condition, so the key is free and not claimed for ever.
    claim = make_claim("r1")
    ask(entry, 1, claim)
    entry.handle(Tick(), 0.5)
    entry.serve(LATE, 0.5)
    entry.serve(REFUSED, 0.5)
    entry.handle(Tick(), 2.5)
    assert entry.answers[1] == StoreAway()
    entry.run(2.5, 3.0)
    entry.land_late()
    assert rows.read(name_claim(claim)).value["state"] == "not_run"


def test_malformed_row_does_not_spoil_its_group(entry: Entry) -> None:
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


def test_throttled_group_is_halved_until_it_passes(entry: Entry) -> None:
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


def test_outcome_waits_for_the_store_and_repeats_know_it(entry: Entry) -> None:
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


def test_large_body_is_left_out_and_said_so(rows: Rows, entry: Entry) -> None:
    claim = make_claim("r1")
    ask(entry, 1, claim)
    now = entry.run(0.0, 0.5)
    large = ANSWER._replace(body=b"x" * (BODY_BYTES + 1))
    entry.handle(CallFinished(claim, large), now)
    now = entry.run(now, 0.5)
    other = Entry("e2-0", rows)
    ask(other, 2, make_claim("r2"), now)
    other.run(now, 0.5)
    assert other.answers[2] == Repeated(ANSWER._replace(body=b"", body_kept=False))


def test_waiting_claims_are_bounded() -> None:
    entry = Entry("e1-0", Rows())
    entry.core = ClaimCore("e1-0", WriteIds("e1-0"), ClaimLimits(waiting=3))
    for number in range(4):
        ask(entry, number, make_claim(f"r{number}", f"k{number}"))
    assert entry.answers == {3: StoreAway()}


def test_claims_in_a_long_outage_are_refused_at_once(entry: Entry) -> None:
    """The first caller waits its time out, the next one is told at once.

    The store refuses everything. When it is back, the first claim after the pause finds
    that out, and claims are granted again.
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
    now += LIMITS.longest_retry_seconds
    ask(entry, 3, make_claim("r3", "k2"), now)
    assert 3 not in entry.answers
    entry.run(now, 1.0)
    assert entry.answers[3] == Granted()


def test_finish_of_a_call_that_was_not_granted_is_told(entry: Entry) -> None:
    entry.handle(CallFinished(make_claim("r1"), ANSWER), 0.0)
    assert entry.lost == ["not granted here"]


@pytest.fixture
def table() -> MemoryTable:
    return MemoryTable()


async def claim_at(store: ClaimStore, request: str, key: str = "k") -> ClaimOutcome:
    return await store.claim("t", key, request, "hash")


def test_store_claims_keeps_and_repeats(table: MemoryTable) -> None:
    async def play() -> None:
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

    run(play())


@pytest.mark.parametrize("fault", ["lose_replies", "drop_writes"])
def test_store_settles_an_unclear_claim(table: MemoryTable, fault: str) -> None:
    async def play() -> None:
        store = ClaimStore(table, "e1-0", WriteIds("e1-0"))
        store.start()
        setattr(table, fault, 1)
        assert await claim_at(store, "r1") == Granted()
        store.release("t", "k", "r1")
        await store.stop()
        assert store.waiting == 0

    run(play())


def test_store_away_refuses_and_another_request_may_run(table: MemoryTable) -> None:
    async def play() -> None:
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

    run(play())


def test_caller_that_goes_away_before_the_grant_leaves_the_key_free(
    table: MemoryTable,
) -> None:
    # The caller's connection closes while its claim is on its way. The claim is then
    # granted to nobody; it is taken back, so that the caller's repeat may run.
    async def play() -> None:
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

    run(play())


def test_row_is_written_under_its_condition(entry: Entry) -> None:
    ask(entry, 1, make_claim("r1"))
    entry.handle(Tick(), 1.0)
    [group] = entry.calls
    [put] = group.puts
    assert isinstance(put, Put)
    assert put.expect == 0
    entry.handle(GroupSettled(group.write_id, Ok(None)), 1.0)
    assert entry.answers[1] == Granted()
