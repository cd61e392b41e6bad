"""Operators race while the store loses replies: no edit is lost, nothing reverts."""

import asyncio
import itertools
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from radishtally.configuration.head import EMPTY, HeadTracker, Raced, get_content
from radishtally.configuration.store import HEAD_KEY, ConfigurationStore
from radishtally.outcome import Fault
from radishtally.store import settle
from radishtally.store.core import Key, Unavailable, Unclear
from tests.common import run
from tests.configuration.common import BASE, build_team, write_teams
from tests.store.memory import (
    DELAYED,
    DELAYED_TO_END,
    PASS,
    REPLY_LOST,
    REQUEST_LOST,
    THROTTLED,
    FaultyTable,
    MemoryObjects,
)

NAMES = ("20.json", "30.json", "40.json")
OPERATORS = ("mitali", "arnab")
PROCESSES = 3


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(settle, "INITIAL_BACKOFF_SECONDS", 0.0)


@pytest.fixture
def table():
    return FaultyTable()


@pytest.fixture
def objects():
    return MemoryObjects()


def open_store(table, objects):
    ticks = itertools.count(step=0.1)
    return ConfigurationStore(
        table, objects, clock=lambda: next(ticks), wall_clock=lambda: 1.0
    )


def apply(table, objects, change, base, author="mitali", cause="cause"):
    return run(open_store(table, objects).apply(change, base, author, cause))


def test_change_is_stored_with_history_and_audit(table, objects):
    first = apply(table, objects, {"10.json": BASE}, 0).ok
    team = write_teams(a=build_team(1))
    second = apply(table, objects, {"20.json": team}, 1, "arnab", "new team").ok
    store = open_store(table, objects)
    assert run(store.read_head()).ok == second
    assert run(store.read_history()).ok == [second, first]
    assert run(store.load(second)).ok == {"10.json": BASE, "20.json": team}
    audit = run(table.query("audit")).ok
    assert {row.value["who"] for row in audit} == {"mitali", "arnab"}
    assert table.rows[HEAD_KEY].rev == second.revision == 2


def test_same_file_race_names_the_other_and_the_change(table, objects):
    apply(table, objects, {"10.json": BASE}, 0)
    apply(table, objects, {"10.json": BASE + "// more\n"}, 1, "mitali", "note")
    raced = apply(table, objects, {"10.json": BASE + "// less\n"}, 1, "arnab").error
    assert raced == Raced("10.json", "mitali", 2, "note", raced.diff)
    assert "+// more" in raced.diff


def test_faulty_whole_is_refused_before_anything_is_stored(table, objects):
    # Each file is right by itself, but both teams use one key. Nothing of the second
    # may reach the store, and the operator is told where the clash is.
    apply(table, objects, {"10.json": BASE}, 0)
    apply(table, objects, {"20.json": write_teams(a=build_team(1))}, 1)
    stored = dict(objects.objects)
    fault = apply(table, objects, {"30.json": write_teams(b=build_team(1))}, 1).error
    assert fault.place == "30.json: teams.b.key_sha256.0"
    assert objects.objects == stored
    assert table.rows[HEAD_KEY].rev == 2


def test_lost_reply_of_apply_may_be_repeated(table, objects):
    # The change took effect, but its reply and those of the next attempts are lost,
    # so the operator hears "unclear". The same apply again finds it in force.
    table.faults = [REPLY_LOST] + [THROTTLED] * 500
    assert isinstance(apply(table, objects, {"10.json": BASE}, 0).error, Unclear)
    table.faults = []
    assert apply(table, objects, {"10.json": BASE}, 0).ok.revision == 1


@pytest.mark.parametrize(
    ("body", "message"), [(None, "not there"), (b"{", "damaged"), (b"\xff", "damaged")]
)
def test_damaged_object_never_comes_into_force(table, objects, body, message):
    head = apply(table, objects, {"10.json": BASE}, 0).ok
    key = f"config/{get_content(head, '10.json')}"
    del objects.objects[key]
    if body is not None:
        objects.objects[key] = body
    error = run(open_store(table, objects).load(head)).error
    assert isinstance(error, Unavailable)
    assert message in error.message


def test_unknown_base_revision_is_a_fault(table, objects):
    assert isinstance(apply(table, objects, {"10.json": BASE}, 9).error, Fault)


class Attempt(NamedTuple):
    """Remember what an operator tried."""

    author: str
    base: int
    change: dict[str, str | None]


faults = st.lists(
    st.sampled_from(
        [PASS, REQUEST_LOST, REPLY_LOST, DELAYED, DELAYED_TO_END, THROTTLED]
    ),
    max_size=4,
)
names = st.sampled_from(NAMES)
numbers = st.none() | st.integers(0, 3)
operators = st.sampled_from(OPERATORS)


class ConfigurationRaces(RuleBasedStateMachine):
    """Let operators race while the store fails and processes see heads in any order."""

    def __init__(self):
        super().__init__()
        self.table = FaultyTable()
        self.objects = MemoryObjects()
        self.bases = dict.fromkeys(OPERATORS, 1)
        self.attempts = {}
        self.refused = set()
        self.trackers = [HeadTracker() for _ in range(PROCESSES)]
        self.seen = [0] * PROCESSES

    @initialize()
    def start(self):
        assert apply(self.table, self.objects, {"10.json": BASE}, 0, cause="0").is_ok()
        self.attempts["0"] = Attempt("mitali", 0, {"10.json": BASE})

    @rule(author=operators, name=names, number=numbers, faults=faults)
    def edit(self, author, name, number, faults):
        self.table.faults = list(faults)
        run(self.try_change(author, name, number))

    @rule(name=names, other=names, number=numbers, faults=faults)
    def race(self, name, other, number, faults):
        async def both():
            await asyncio.gather(
                self.try_change("mitali", name, number),
                self.try_change("arnab", other, 2),
            )

        self.table.faults = list(faults)
        run(both())

    @rule(author=operators)
    def pull(self, author):
        self.bases[author] = self.table.rows[HEAD_KEY].rev

    @rule(count=st.integers(1, 3))
    def lose_objects(self, count):
        self.objects.failing = count

    @rule()
    def deliver(self):
        self.table.deliver_all()

    @rule(process=st.integers(0, PROCESSES - 1), back=st.integers(0, 3))
    def hear(self, process, back):
        history = self.read_history()
        self.trackers[process].offer(history[max(0, len(history) - 1 - back)])

    async def try_change(self, author, name, number):
        # The three files use teams and keys of their own, but for number 3, where
        # two files clash and the whole is refused.
        text = None
        if number is not None:
            key = 99 if number == 3 else 10 * NAMES.index(name) + number
            text = write_teams(**{f"team-{name[:2]}": build_team(key)})
        cause = str(len(self.attempts))
        attempt = Attempt(author, self.bases[author], {name: text})
        self.attempts[cause] = attempt
        store = open_store(self.table, self.objects)
        result = await store.apply(attempt.change, attempt.base, author, cause)
        self.check_outcome(attempt, cause, result)

    def check_outcome(self, attempt, cause, result):
        causes = [head.cause for head in self.read_history()]
        if result.is_ok():
            self.bases[attempt.author] = result.ok.revision
            assert causes.count(cause) <= 1
            assert self.read_history()[result.ok.revision] == result.ok
            return
        if isinstance(result.error, Unclear):
            return
        self.refused.add(cause)
        if isinstance(result.error, Raced):
            self.check_race(attempt, result.error)

    def check_race(self, attempt, raced):
        assert raced.name in attempt.change
        assert raced.revision > attempt.base
        head = self.read_history()[raced.revision]
        assert raced.author == head.author
        assert raced.name in head.changed

    def read_history(self):
        keys = sorted(key for key in self.table.rows if key.pk == "head-history")
        store = open_store(self.table, self.objects)
        heads = [run_now(store.read_revision(int(key.sk))) for key in keys]
        return [EMPTY, *(head.ok for head in heads)]

    @invariant()
    def revision_in_force_never_goes_down(self):
        for process, tracker in enumerate(self.trackers):
            assert tracker.head.revision >= self.seen[process]
            self.seen[process] = tracker.head.revision

    @invariant()
    def no_edit_is_lost(self):
        history = self.read_history()
        for before, head in itertools.pairwise(history):
            attempt = self.attempts[head.cause]
            base = history[attempt.base]
            assert head.revision == before.revision + 1
            for name in attempt.change:
                assert get_content(before, name) == get_content(base, name)
            kept = (set(before.files) | set(head.files)) - set(attempt.change)
            assert all(get_content(head, n) == get_content(before, n) for n in kept)
        causes = [head.cause for head in history]
        assert len(set(causes)) == len(causes)
        assert not self.refused & set(causes)

    @invariant()
    def head_is_the_last_of_the_history(self):
        if HEAD_KEY in self.table.rows:
            history = self.read_history()
            row = self.table.rows[HEAD_KEY]
            assert row.rev == history[-1].revision == len(history) - 1
            assert Key("head-history", f"{row.rev:012d}") in self.table.rows


def run_now(coroutine):
    """Run a coroutine that only yields, also while a loop is running."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value


TestConfigurationRaces = ConfigurationRaces.TestCase
TestConfigurationRaces.settings = settings(max_examples=150, stateful_step_count=15)
