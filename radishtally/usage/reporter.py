"""Report the usage of each window to the platform while this process holds the lease.

What a window's report says is written to the store under a condition before it is sent.
A successor of this process repeats that, and so no window is reported with two counts.
"""

import asyncio
import time
from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import Any, Final, Protocol

from eliot import log_message

from radishtally.limits.retries import backoff
from radishtally.numbers import MAX_INTEGER
from radishtally.outcome import Result
from radishtally.store.core import ABSENT, Conflict, Delete, Key, Put, Row, Table
from radishtally.store.ids import WriteIds
from radishtally.store.settle import transact_settled
from radishtally.usage import const
from radishtally.usage.core import UsageLedger

WINDOW_DIGITS: Final = 12
"""Digits of a window in a row's key, so that keys sort by time."""


class ReportOutcome(StrEnum):
    """Outcomes of a report to the platform."""

    ACCEPTED = "accepted"
    STALE = "stale"
    """A newer holder of the lease has made calls since."""
    REFUSED = "refused"
    """The platform will never accept the report."""
    UNCLEAR = "unclear"
    """The report was not accepted, or its answer was lost; it may be repeated."""


class PlatformApi(Protocol):
    """Make the calls of the platform that are the duty of one gateway at a time."""

    async def report_usage(
        self, holder: str, fencing: int, window: int, counts: dict[str, int]
    ) -> ReportOutcome:
        """Report the requests of each team in a window."""


class Lease(Protocol):
    """Provide the part of the lease that the reporter needs."""

    @property
    def fencing(self) -> int | None:
        """Return the fencing token if the lease is held now."""

    def give_up(self, fencing: int) -> None:
        """Release a lease whose token was refused; contend for it with a new token."""


class UsageReporter:
    """Write, send and repeat the reports of the windows that have ended."""

    def __init__(
        self,
        host: str,
        ledger: UsageLedger,
        table: Table,
        ids: WriteIds,
        lease: Lease,
        api: PlatformApi,
        late_seconds: float,
        read_time: Callable[[], float],
    ) -> None:
        self._host = host
        self._ledger = ledger
        self._table = table
        self._ids = ids
        self._lease = lease
        self._api = api
        self._late_seconds = late_seconds
        """Time after the end of a window until which its report is of use."""
        self._read_time = read_time
        """Returns Unix seconds."""
        self._random = Random()
        self._written: dict[int, dict[str, int]] = {}
        """Counts that were written to the store, by window."""
        self._done: set[int] = set()
        """Windows whose report was accepted, or is of no use any more."""
        self._failures: dict[int, int] = {}
        self._retry_at: dict[int, float] = {}
        self._recovered_for: int | None = None
        """Fencing token under which the rows of the holder before were read."""
        self._first_window = ledger.find_window(read_time()) + 1
        """Earlier windows are left to processes that have counted all of them."""
        self._pruned_at = self._first_window
        self.on_outcome: Callable[[str], None] = lambda _: None
        """Called with what became of a window."""

    def enter_era(self) -> None:
        """Leave out the windows whose rows a restore of the store may have lost.

        Their reports may have been sent, and another count must not follow.
        """
        self._first_window = self._ledger.find_window(self._read_time())

    async def run(self) -> None:
        """Report windows until cancelled."""
        while True:
            await asyncio.sleep(const.TICK_SECONDS)
            now = self._read_time()
            self._ledger.drop_old(now)
            if self._lease.fencing is not None:
                await self._report_due(now)

    async def _report_due(self, now: float) -> None:
        fencing = self._lease.fencing
        if self._recovered_for != fencing and not await self._recover(fencing):
            return
        for window in self._list_due(now):
            if self._lease.fencing != fencing:
                return
            counts = self._written.get(window) or await self._write(window)
            if counts is None:
                self._schedule_retry(window)
                continue
            # The lease may have been given up while the window was written.
            if self._lease.fencing != fencing:
                return
            await self._send(window, counts, fencing)
        await self._prune(now)

    def _list_due(self, now: float) -> list[int]:
        """List the windows to report now, and give up those that are too late."""
        windows = {w for w in self._ledger.list_ready(now) if w >= self._first_window}
        windows |= self._written.keys()
        windows -= self._done
        for window in [w for w in windows if self._is_too_late(w, now)]:
            windows.discard(window)
            self._finish(window, "too late")
        return sorted(w for w in windows if now >= self._retry_at.get(w, now))

    def _is_too_late(self, window: int, now: float) -> bool:
        return now >= self._ledger.find_end(window) + self._late_seconds

    async def _recover(self, fencing: int) -> bool:
        """Read what earlier holders have written, and return whether that succeeded."""
        oldest = self._ledger.find_window(self._read_time() - self._late_seconds)
        read = await self._read_rows(after=_format_window(oldest - 1))
        if read.is_error():
            log_message("usage:rows_unread", reason=str(read.error))
            return False
        for row in read.ok:
            self._record_row(row)
        self._recovered_for = fencing
        return True

    async def _read_rows(self, after: str) -> Result[list[Row], Any]:
        return await self._table.query(const.USAGE, after=after)

    def _record_row(self, row: Row) -> dict[str, int] | None:
        """Take over a written report; another writer's row is of no use."""
        window, counts = _parse_window(row.key.sk), _parse_counts(row.value)
        if window is None or counts is None:
            log_message("usage:row_invalid", key=row.key.sk)
            return None
        self._written[window] = counts
        return counts

    async def _write(self, window: int) -> dict[str, int] | None:
        """Write a window's report; return the written one, None if it is unknown."""
        counts = self._ledger.sum_counts(window)
        key = Key(const.USAGE, _format_window(window))
        written = await transact_settled(
            self._table,
            [Put(key, {"counts": counts}, ABSENT)],
            self._ids.make(),
            deadline=time.monotonic() + const.WRITE_SECONDS,
        )
        if written.is_ok():
            self._written[window] = counts
            log_message(
                "usage:written",
                window=window,
                requests=sum(counts.values()),
                teams=len(counts),
                incomplete=self._ledger.list_unclosed(window),
            )
            return counts
        log_message("usage:not_written", window=window, reason=str(written.error))
        if not isinstance(written.error, Conflict):
            return None
        read = await self._table.get(key)
        if read.is_error() or read.ok is None:
            return None
        return self._record_row(read.ok)

    async def _send(self, window: int, counts: dict[str, int], fencing: int) -> None:
        outcome = await self._api.report_usage(self._host, fencing, window, counts)
        late = self._read_time() - self._ledger.find_end(window)
        log_message(
            "usage:reported",
            window=window,
            outcome=outcome.value,
            fencing=fencing,
            seconds_after_end=round(late, 3),
        )
        if outcome in (ReportOutcome.ACCEPTED, ReportOutcome.REFUSED):
            self._finish(window, outcome.value)
        elif outcome == ReportOutcome.STALE:
            self._lease.give_up(fencing)
        else:
            self._schedule_retry(window)

    def _schedule_retry(self, window: int) -> None:
        failures = self._failures[window] = self._failures.get(window, 0) + 1
        wait = backoff(failures + 1, self._random, const.MAX_RETRY_SECONDS)
        self._retry_at[window] = self._read_time() + wait

    def _finish(self, window: int, outcome: str) -> None:
        self._done.add(window)
        if outcome != ReportOutcome.ACCEPTED:
            log_message("usage:given_up", window=window, reason=outcome)
        self.on_outcome(outcome)

    async def _prune(self, now: float) -> None:
        """Remove old rows and what is known of their windows, from time to time."""
        newest = self._ledger.find_window(now)
        if newest < self._pruned_at + const.PRUNED_WINDOWS:
            return
        self._pruned_at = newest
        oldest = newest - const.PRUNED_WINDOWS
        for known in (self._written, self._failures, self._retry_at):
            for window in [w for w in known if w < oldest]:
                del known[window]
        self._done = {w for w in self._done if w >= oldest}
        read = await self._read_rows(after="")
        if read.is_error():
            return
        old = [row for row in read.ok if row.key.sk < _format_window(oldest)]
        if old:
            deletes = [Delete(row.key, row.rev) for row in old]
            removed = await self._table.transact(deletes, self._ids.make())
            log_message("usage:rows_removed", rows=len(old), done=removed.is_ok())


def _format_window(window: int) -> str:
    """Format a window as a row's key."""
    return f"{window:0{WINDOW_DIGITS}d}"


def _parse_window(key: str) -> int | None:
    is_valid = key.isascii() and key.isdigit() and len(key) == WINDOW_DIGITS
    return int(key) if is_valid else None


def _parse_counts(value: dict[str, Any]) -> dict[str, int] | None:
    counts = value.get("counts")
    if not isinstance(counts, dict):
        return None
    is_valid = all(
        type(number) is int and 0 <= number <= MAX_INTEGER for number in counts.values()
    )
    return counts if is_valid else None
