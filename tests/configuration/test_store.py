"""Tests that no edit is lost or reverted by concurrent changes and store faults."""

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

from radishtally.configuration.head import (
    EMPTY_HEAD,
    EditConflict,
    HeadTracker,
    get_content_hash,
)
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
def no_backoff(monkeypatch):
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


def test_conflict_on_one_file_names_the_author_and_the_diff(table, objects):
    apply(table, objects, {"10.json": BASE}, 0)
    apply(table, objects, {"10.json": BASE + "// more\n"}, 1, "mitali", "note")
    conflict = apply(table, objects, {"10.json": BASE + "// less\n"}, 1, "arnab").error
    assert conflict == EditConflict("10.json", "mitali", 2, "note", conflict.diff)
    assert "+// more" in conflict.diff


def test_invalid_merge_result_is_refused_before_anything_is_stored(table, objects):
    # Each file is valid by itself, but both teams use one key. Nothing of the second
    # file may reach the store, and the fault names the place of the duplicate key.
    apply(table, objects, {"10.json": BASE}, 0)
    apply(table, objects, {"20.json": write_teams(a=build_team(1))}, 1)
    stored = dict(objects.objects)
    fault = apply(table, objects, {"30.json": write_teams(b=build_team(1))}, 1).error
    assert fault.place == "30.json: teams.b.key_sha256.0"
    assert objects.objects == stored
    assert table.rows[HEAD_KEY].rev == 2


def test_apply_with_unknown_outcome_may_be_repeated(table, objects):
    # The change is written, but its reply is lost and all later calls are throttled,
    # so the outcome is reported as unclear. The same apply then finds it in force.
    table.faults = [REPLY_LOST] + [THROTTLED] * 500
    assert isinstance(apply(table, objects, {"10.json": BASE}, 0).error, Unclear)
    table.faults = []
    assert apply(table, objects, {"10.json": BASE}, 0).ok.revision == 1


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (None, "not found"),
        (b"{", "differs from its hash"),
        (b"\xff", "differs from its hash"),
    ],
)
def test_missing_or_corrupted_object_never_comes_into_force(
    table, objects, body, message
):
    head = apply(table, objects, {"10.json": BASE}, 0).ok
    key = f"config/{get_content_hash(head, '10.json')}"
    del objects.objects[key]
    if body is not None:
        objects.objects[key] = body
    error = run(open_store(table, objects).load(head)).error
    assert isinstance(error, Unavailable)
    assert message in error.message


def test_unknown_base_revision_is_a_fault(table, objects):
    assert isinstance(apply(table, objects, {"10.json": BASE}, 9).error, Fault)


class Attempt(NamedTuple):
    """Record a change that an operator tried to apply."""

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
team_numbers = st.none() | st.integers(0, 3)
operators = st.sampled_from(OPERATORS)


class ConfigurationRaces(RuleBasedStateMachine):
    """Apply concurrent changes while the store fails and heads arrive in any order."""

    def __init__(self):
        super().__init__()
        self.table = FaultyTable()
        self.objects = MemoryObjects()
        self.bases = dict.fromkeys(OPERATORS, 1)
        self.attempts = {}
        self.refused = set()
        self.trackers = [HeadTracker() for _ in range(PROCESSES)]
        self.last_revisions = [0] * PROCESSES

    @initialize()
    def start(self):
        assert apply(self.table, self.objects, {"10.json": BASE}, 0, cause="0").is_ok()
        self.attempts["0"] = Attempt("mitali", 0, {"10.json": BASE})

    @rule(author=operators, name=names, number=team_numbers, faults=faults)
    def edit(self, author, name, number, faults):
        self.table.faults = list(faults)
        run(self.try_change(author, name, number))

    @rule(name=names, other=names, number=team_numbers, faults=faults)
    def race(self, name, other, number, faults):
        async def both():
            await asyncio.gather(
                self.try_change("mitali", name, number),
                self.try_change("arnab", other, 2),
            )

        self.table.faults = list(faults)
        run(both())

    @rule(author=operators)
    def fetch_head(self, author):
        self.bases[author] = self.table.rows[HEAD_KEY].rev

    @rule(count=st.integers(1, 3))
    def lose_objects(self, count):
        self.objects.failing = count

    @rule()
    def deliver(self):
        self.table.deliver_all()

    @rule(process=st.integers(0, PROCESSES - 1), back=st.integers(0, 3))
    def receive_head(self, process, back):
        history = self.read_history()
        self.trackers[process].accept_newer(history[max(0, len(history) - 1 - back)])

    async def try_change(self, author, name, number):
        # Each of the three files has its own team and key, except that with number 3
        # all use the same key: two such files together are refused.
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
        if isinstance(result.error, EditConflict):
            self.check_conflict(attempt, result.error)

    def check_conflict(self, attempt, conflict):
        assert conflict.name in attempt.change
        assert conflict.revision > attempt.base
        head = self.read_history()[conflict.revision]
        assert conflict.author == head.author
        assert conflict.name in head.changed

    def read_history(self):
        keys = sorted(key for key in self.table.rows if key.pk == "head-history")
        store = open_store(self.table, self.objects)
        heads = [run_without_loop(store.read_revision(int(key.sk))) for key in keys]
        return [EMPTY_HEAD, *(head.ok for head in heads)]

    @invariant()
    def revision_in_force_never_goes_down(self):
        for process, tracker in enumerate(self.trackers):
            assert tracker.head.revision >= self.last_revisions[process]
            self.last_revisions[process] = tracker.head.revision

    @invariant()
    def no_edit_is_lost(self):
        history = self.read_history()
        for before, head in itertools.pairwise(history):
            attempt = self.attempts[head.cause]
            base = history[attempt.base]
            assert head.revision == before.revision + 1
            for name in attempt.change:
                assert get_content_hash(before, name) == get_content_hash(base, name)
            unchanged = (set(before.files) | set(head.files)) - set(attempt.change)
            assert all(
                get_content_hash(head, n) == get_content_hash(before, n)
                for n in unchanged
            )
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


def run_without_loop(coroutine):
    """Run a coroutine that awaits no real I/O, even while an event loop is running."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value


TestConfigurationRaces = ConfigurationRaces.TestCase
TestConfigurationRaces.settings = settings(max_examples=150, stateful_step_count=15)
