"""Reports of usage, whose holder, store and platform fail."""

from collections.abc import Iterable

import pytest

from radishtally.outcome import Result
from radishtally.store.core import ABSENT, Key, Put
from radishtally.store.ids import WriteIds
from radishtally.usage import const
from radishtally.usage.core import Source, UsageLedger
from radishtally.usage.reporter import ReportOutcome, UsageReporter
from tests.common import MemoryTable, run

WINDOW_SECONDS = 5.0
LATE_SECONDS = 10.0
FIRST = 1_000
END = (FIRST + 1) * WINDOW_SECONDS


class Platform:
    """Record the reports, and answer them as scripted; the last answer is repeated."""

    def __init__(self, *outcomes: ReportOutcome) -> None:
        self.outcomes = list(outcomes) or [ReportOutcome.ACCEPTED]
        self.calls: list[tuple[str, int, int, dict[str, int]]] = []

    async def report_usage(
        self, holder: str, fencing: int, window: int, counts: dict[str, int]
    ) -> ReportOutcome:
        self.calls.append((holder, fencing, window, dict(counts)))
        return self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]

    def get_counts(self, window: int) -> list[dict[str, int]]:
        return [counts for _, _, called, counts in self.calls if called == window]


class Holder:
    """Run the reporter of one process at chosen times."""

    def __init__(
        self,
        name: str,
        table: MemoryTable,
        platform: Platform,
        fencing: int | None = 1,
        started_at: float = END - 2 * WINDOW_SECONDS,
    ) -> None:
        self.now = started_at
        self.fencing = fencing
        self.given_up: list[int] = []
        self.ledger = UsageLedger(Source(name, "1"), WINDOW_SECONDS)
        self.reporter = UsageReporter(
            name,
            self.ledger,
            table,
            WriteIds(name),
            self,
            platform,
            LATE_SECONDS,
            lambda: self.now,
        )
        self.outcomes: list[str] = []
        self.reporter.on_outcome = self.outcomes.append

    def give_up(self, fencing: int) -> None:
        self.given_up.append(fencing)
        self.fencing = None

    def count(self, teams: Iterable[str], window: int = FIRST) -> None:
        for team in teams:
            self.ledger.count(team, window * WINDOW_SECONDS)

    def report(self, at: float) -> None:
        """Report what is due at a time."""
        self.now = at
        self.ledger.pop_changes(at)
        run(self.reporter._report_due(at))


@pytest.fixture
def table(monkeypatch: pytest.MonkeyPatch) -> MemoryTable:
    monkeypatch.setattr(const, "WRITE_SECONDS", 0.02)
    return MemoryTable()


def test_window_is_reported_once_after_its_end(table: MemoryTable) -> None:
    platform = Platform()
    holder = Holder("g-1", table, platform)
    holder.count(["silk", "silk", "satin"])
    holder.report(END)
    assert platform.calls == []
    for later in (0.5, 1.0, 6.0):
        holder.report(END + later)
    assert platform.calls == [("g-1", 1, FIRST, {"satin": 1, "silk": 2})]
    assert holder.outcomes == ["accepted"]


# Guards against two reports with different counts: the first holder was killed after
# its report was sent, and its successor knows of other requests.
def test_successor_repeats_what_was_written(table: MemoryTable) -> None:
    platform = Platform(ReportOutcome.UNCLEAR, ReportOutcome.ACCEPTED)
    first = Holder("g-1", table, platform)
    first.count(["silk"])
    first.report(END + 1.0)
    second = Holder("g-2", table, platform, fencing=2)
    second.count(["silk", "silk", "satin"])
    second.report(END + 4.0)
    assert platform.get_counts(FIRST) == [{"silk": 1}, {"silk": 1}]
    assert second.outcomes == ["accepted"]


# Guards against a window that is missing although it was written: the holder was killed
# before it sent the report, and its successor has just started.
def test_successor_without_counts_sends_what_was_written(table: MemoryTable) -> None:
    first = Holder("g-1", table, Platform(ReportOutcome.UNCLEAR))
    first.count(["silk"])
    first.report(END + 1.0)
    platform = Platform()
    second = Holder("g-2", table, platform, fencing=2, started_at=END + 2.0)
    second.report(END + 4.0)
    assert platform.get_counts(FIRST) == [{"silk": 1}]


# Guards against two counts where the successor took over while the first holder was
# suspended between the choice of the counts and their write.
def test_holder_that_writes_second_repeats_the_other_one(table: MemoryTable) -> None:
    platform = Platform()
    first, second = (Holder(f"g-{n}", table, platform, n) for n in (1, 2))
    first.count(["silk"])
    second.count(["silk", "silk"])
    run(first.reporter._recover(1))
    second.report(END + 1.0)
    first.report(END + 1.5)
    assert platform.get_counts(FIRST) == [{"silk": 2}, {"silk": 2}]


# Guards against a report that was not written before: it would be lost with this
# process, and a successor would send another one.
def test_nothing_is_sent_while_the_store_is_away(table: MemoryTable) -> None:
    platform = Platform()
    holder = Holder("g-1", table, platform)
    holder.count(["silk"])
    table.down = True
    holder.report(END + 1.0)
    holder.report(END + 3.0)
    assert platform.calls == []
    table.down = False
    holder.report(END + 8.0)
    assert platform.get_counts(FIRST) == [{"silk": 1}]


# Guards against another count after a write whose answer was lost.
@pytest.mark.parametrize("fault", ["lose_replies", "drop_writes"])
def test_count_stays_the_same_after_an_unclear_write(
    table: MemoryTable, fault: str
) -> None:
    platform = Platform()
    holder = Holder("g-1", table, platform)
    holder.count(["silk"])
    setattr(table, fault, 1_000)
    holder.report(END + 1.0)
    setattr(table, fault, 0)
    holder.count(["silk"])
    for later in (3.0, 5.0):
        holder.report(END + later)
    row = table.rows.read(Key(const.USAGE, f"{FIRST:012d}"))
    assert platform.get_counts(FIRST) == [row.value["counts"]]


def test_report_is_repeated_until_it_is_of_no_use(table: MemoryTable) -> None:
    platform = Platform(ReportOutcome.UNCLEAR)
    holder = Holder("g-1", table, platform)
    holder.count(["silk"])
    for later in range(1, 30):
        holder.report(END + later)
    calls = platform.get_counts(FIRST)
    assert 3 <= len(calls) <= 10
    assert all(counts == {"silk": 1} for counts in calls)
    assert holder.outcomes == ["too late"]


# Guards against a holder that goes on under a fencing token that the platform refuses.
def test_refused_fencing_token_is_given_up(table: MemoryTable) -> None:
    platform = Platform(ReportOutcome.STALE, ReportOutcome.ACCEPTED)
    holder = Holder("g-1", table, platform)
    holder.count(["silk"], FIRST)
    holder.count(["silk"], FIRST + 1)
    holder.report(END + WINDOW_SECONDS + 1.0)
    assert holder.given_up == [1]
    assert len(platform.calls) == 1
    holder.fencing = 3
    holder.report(END + WINDOW_SECONDS + 2.0)
    assert [(fencing, window) for _, fencing, window, _ in platform.calls[1:]] == [
        (3, FIRST),
        (3, FIRST + 1),
    ]


# Guards against a window that is reported twice with different counts across a restore
# of the store, which has lost the row of the first report.
def test_windows_before_a_restore_are_not_reported_anew(table: MemoryTable) -> None:
    platform = Platform()
    first = Holder("g-1", table, platform)
    first.count(["silk"])
    first.report(END + 1.0)
    table.rows.rows.clear()
    second = Holder("g-2", table, platform, fencing=2)
    second.count(["silk", "silk"])
    second.count(["satin"], FIRST + 1)
    second.now = END + 2.0
    second.reporter.enter_era()
    second.report(END + 4.0)
    second.report(END + WINDOW_SECONDS + 1.0)
    assert platform.get_counts(FIRST) == [{"silk": 1}]
    assert platform.get_counts(FIRST + 1) == [{"satin": 1}]


# Guards against a report of a process that has missed the beginning of the window.
def test_process_reports_no_window_that_began_before_it(table: MemoryTable) -> None:
    platform = Platform()
    holder = Holder("g-1", table, platform, started_at=END - 1.0)
    holder.count(["silk"], FIRST)
    holder.count(["silk"], FIRST + 1)
    holder.report(END + WINDOW_SECONDS + 1.0)
    assert [window for _, _, window, _ in platform.calls] == [FIRST + 1]


# Guards against the end of all reports because another writer has put a row there.
def test_invalid_row_of_another_writer_is_ignored(table: MemoryTable) -> None:
    platform = Platform()
    holder = Holder("g-1", table, platform)
    for key in (f"{FIRST - 1:012d}", "zzz"):
        put = Put(Key(const.USAGE, key), {"counts": {"silk": "many"}}, ABSENT)
        table.rows.apply([put], "other")
    holder.count(["silk"])
    holder.report(END + 1.0)
    assert platform.get_counts(FIRST) == [{"silk": 1}]


def test_old_rows_are_removed(table: MemoryTable) -> None:
    holder = Holder("g-1", table, Platform())
    holder.count(["silk"])
    holder.report(END + 1.0)
    assert len(table.rows.rows) == 1
    holder.report(END + (2 * const.PRUNED_WINDOWS) * WINDOW_SECONDS)
    assert len(table.rows.rows) == 0


# Guards against a holder that ends on a row of another writer: its key is no window, or
# its count can't be sent.
@pytest.mark.parametrize(
    ("key", "count"),
    [
        ("\u00b2" * 12, 1),
        ("9" * 5_000, 1),
        (f"{FIRST:012d}", 10**400),
        (f"{FIRST:012d}", "1"),
    ],
    ids=["digits of no number", "too long", "huge count", "text"],
)
def test_invalid_row_is_left_out(table: MemoryTable, key: str, count: object) -> None:
    row = Put(Key(const.USAGE, key), {"counts": {"silk": count}}, ABSENT)
    table.rows.apply([row], "w")
    platform = Platform()
    holder = Holder("g-1", table, platform)
    holder.count(["satin"], FIRST + 1)
    holder.report(END + WINDOW_SECONDS + 1.0)
    assert platform.get_counts(FIRST + 1) == [{"satin": 1}]


# Guards against a report under a fencing token that was given up: the process stops
# while the store takes the window's counts, and its successor reports before.
@pytest.mark.parametrize("is_conflict", [False, True], ids=["written", "conflict"])
def test_lease_given_up_during_the_write_ends_the_report(
    table: MemoryTable, is_conflict: bool
) -> None:
    platform = Platform()
    first = Holder("g-1", table, platform)
    second = Holder("g-2", table, platform, fencing=None)
    write = table.transact

    async def stop_within(writes: list[Put], write_id: str) -> Result:
        table.transact = write
        first.fencing, second.fencing, second.now = None, 2, first.now
        if is_conflict:
            second.ledger.pop_changes(second.now)
            await second.reporter._report_due(second.now)
        return await write(writes, write_id)

    table.transact = stop_within
    for holder in (first, second):
        holder.count(["silk"])
    first.report(END + 1.0)
    second.report(END + 2.0)
    assert platform.calls
    assert all(fencing == 2 for _, fencing, _, _ in platform.calls)
