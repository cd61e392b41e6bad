"""Drive the lease core: call the table and report gains and losses of the lease."""

import asyncio
import random
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final, TypedDict

from eliot import log_message

from radishtally.authority.lease import LeaseCore
from radishtally.authority.lease_events import (
    Command,
    EraEntered,
    Event,
    FencingOutdated,
    LeaseGained,
    LeaseLost,
    LeaseTerms,
    ReadFailed,
    ReadLease,
    Resign,
    RowInvalid,
    RowRead,
    SetContending,
    Tick,
    WakeAt,
    WriteLease,
    WriteSettled,
)
from radishtally.driver import CoreDriver
from radishtally.store.core import Check, Table
from radishtally.store.ids import WriteIds
from radishtally.store.settle import transact_settled

CALL_TIMEOUT_FRACTION: Final = 0.25
"""Timeout of one call to the table, as a fraction of the lease duration."""
FULL_RATE_CONTENDERS: Final = 4
"""Contenders that may all read at the configured rate; more of them read less often."""
READ_SPREAD: Final = 0.3
"""Share of the interval between reads by which it differs among contenders."""
RESIGN_TIMEOUT_SECONDS: Final = 1.0


class LeaseState(TypedDict):
    """Represent this process's view of a lease, for status pages."""

    holds_lease: bool
    fencing: int | None
    holder: str | None
    """Holder named by the row at the last read; its lease may have lapsed since."""
    seconds_since_look: float | None
    """Age of that read, or of this process's own last write."""


class LeaseDriver(CoreDriver):
    """Contend for the planner lease of one place on behalf of this process."""

    def __init__(
        self,
        table: Table,
        place: str,
        host: str,
        ids: WriteIds,
        terms: LeaseTerms | None = None,
        *,
        on_gained: Callable[[int], None],
        on_lost: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._table = table
        self._terms = terms or LeaseTerms()
        self._contenders = 1
        self._spread = random.uniform(1.0 - READ_SPREAD, 1.0)
        """Factor of the read interval. If all contenders read at the same moments, they
        would see the last renewal, and so take over, up to one interval late."""
        self._era = 0
        core = LeaseCore(place, host, ids, self._terms)
        super().__init__(core, Tick(), clock)
        self._on_gained = on_gained
        self._on_lost = on_lost

    @property
    def fencing(self) -> int | None:
        """Return the fencing token if the lease is held now."""
        return self._core.fencing if self.holds() else None

    def holds(self) -> bool:
        """Return whether the lease is held now; check this before each order."""
        return not self.is_broken and self._core.holds(self._clock())

    def set_contender_count(self, contenders: int) -> None:
        """Scale the read interval with the contenders, to limit the load on the store.

        It is enough that one contender reads soon after the lease lapses. The interval
        stays below the lease duration: otherwise a row renewed in between would seem to
        have lapsed, and the attempted takeover would fail.
        """
        self._contenders = contenders
        shortest = self._terms.read_every
        longest = max(shortest, self._terms.granted - self._terms.margin)
        scaled = shortest * contenders / FULL_RATE_CONTENDERS
        read_every = min(max(shortest, scaled), longest)
        self._core.read_every = max(shortest, read_every * self._spread)

    def describe(self) -> LeaseState:
        """Return this process's view of the lease, with its age."""
        now, row = self._clock(), self._core.row
        holds = self.holds()
        return LeaseState(
            holds_lease=holds,
            fencing=self._core.fencing if holds else None,
            holder=None if row.value is None else row.value["holder"],
            seconds_since_look=(
                None if row.read_at is None else round(now - row.read_at, 3)
            ),
        )

    def contend(self, contends: bool) -> None:
        """Start or stop contending for the lease while another process holds it."""
        self._handle(SetContending(contends))

    def set_terms(self, terms: LeaseTerms) -> None:
        """Use these terms from the next write on; an existing row keeps its own."""
        self._terms = self._core.terms = terms
        self.set_contender_count(self._contenders)

    def make_check(self) -> Check | None:
        """Build a check that fails a transaction if the lease row has changed."""
        return None if self.is_broken else self._core.make_check(self._clock())

    def give_up(self, fencing: int) -> None:
        """Abandon a refused fencing token and contend for the lease under a new one."""
        self._handle(FencingOutdated(fencing))

    def enter_era(self, era: int) -> None:
        """Handle a new era of the store, or the first sight of its era."""
        if era <= self._era:
            return
        self._era = era
        # A write from the earlier era would otherwise be retried in this one.
        for call in self._calls:
            call.cancel()
        self._handle(EraEntered(era))

    def _handle_outcome(self, era: int, event: Event) -> None:
        """Report a call's outcome to the core, unless a new era has ended the call.

        A call whose own answer reveals the new era reaches this point before its
        cancellation takes effect.
        """
        if era == self._era:
            self._handle(event)

    async def stop(self) -> None:
        """Release the lease, so that a successor need not wait for it to lapse."""
        self._handle(Resign())
        if self._calls:
            await asyncio.wait(self._calls, timeout=RESIGN_TIMEOUT_SECONDS)
        await self._cancel_all()

    @singledispatchmethod
    def _execute(self, command: Command) -> None:
        raise TypeError(f"unknown command {command!r}")

    @_execute.register
    def _(self, command: ReadLease) -> None:
        self._start_call(self._read(command))

    @_execute.register
    def _(self, command: WriteLease) -> None:
        self._start_call(self._write(command))

    @_execute.register
    def _(self, command: LeaseGained) -> None:
        self._on_gained(command.fencing)

    @_execute.register
    def _(self, command: LeaseLost) -> None:
        self._on_lost(command.cause)

    @_execute.register
    def _(self, command: RowInvalid) -> None:
        log_message("lease:misread", place=self._core.key.sk, fault=command.fault)

    @_execute.register
    def _(self, command: WakeAt) -> None:
        self._schedule_tick(command.time)

    async def _read(self, command: ReadLease) -> None:
        era, asked_at = self._era, self._clock()
        try:
            async with asyncio.timeout(self._terms.granted * CALL_TIMEOUT_FRACTION):
                result = await self._table.get(command.key)
        except TimeoutError:
            self._handle_outcome(era, ReadFailed())
            return
        if result.is_error():
            self._handle_outcome(era, ReadFailed())
            return
        self._handle_outcome(era, RowRead(result.ok, asked_at))

    async def _write(self, command: WriteLease) -> None:
        era = self._era
        deadline = self._clock() + self._terms.granted * CALL_TIMEOUT_FRACTION
        outcome = await transact_settled(
            self._table,
            [command.put],
            command.write_id,
            deadline=deadline,
            clock=self._clock,
        )
        if outcome.is_error():
            log_message(
                "lease:write_failed",
                place=command.put.key.sk,
                write_id=command.write_id,
                fencing=command.put.value["fencing"],
                error=str(outcome.error),
            )
        self._handle_outcome(era, WriteSettled(command.write_id, outcome))
