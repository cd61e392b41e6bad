"""Contend for the planner lease at the table."""

import asyncio
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final, TypedDict

from eliot import log_message

from radishtally.authority.lease import LeaseCore
from radishtally.authority.lease_events import (
    Command,
    Contend,
    EraEntered,
    Event,
    Gained,
    LeaseTerms,
    LostLease,
    Misread,
    Outdated,
    ReadFailed,
    ReadLease,
    Resign,
    RowRead,
    Tick,
    WakeAt,
    WriteLease,
    WriteSettled,
)
from radishtally.driver import CoreDriver
from radishtally.store.core import Check, Table
from radishtally.store.ids import WriteIds
from radishtally.store.settle import transact_settled

CALL_PART: Final = 0.25
"""Part of the lease time that one call to the table may take."""
READERS: Final = 4
"""Contenders that look at the lease as often as its terms say; more share that."""
RESIGN_SECONDS: Final = 1.0


class LeaseState(TypedDict):
    """Describe a lease as one process knows it."""

    holds_lease: bool
    fencing: int | None
    holder: str | None
    """Holder that the row named at the last look, whether or not it still holds."""
    seconds_since_look: float | None
    """Age of that look, or of this process's own last write."""


class LeaseDriver(CoreDriver):
    """Drive the lease of one place for this process."""

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
        self._era = 0
        core = LeaseCore(place, host, ids, self._terms)
        super().__init__(core, Tick(), clock)
        self._on_gained = on_gained
        self._on_lost = on_lost

    @property
    def fencing(self) -> int | None:
        """Give the fencing number if the lease is held now."""
        return self._core.fencing if self.holds() else None

    def holds(self) -> bool:
        """Tell whether an order may be given now; ask before each one."""
        return self._core.holds(self._clock())

    def set_contender_count(self, contenders: int) -> None:
        """Look more seldom the more contend: the first look after a lapse takes over.

        Looks stay less than the lease's time apart. A row that was renewed in between
        would seem to have lapsed, and be written to in vain.
        """
        self._contenders = contenders
        least = self._terms.read_every
        longest = max(least, self._terms.granted - self._terms.margin)
        wanted = least * contenders / READERS
        self._core.read_every = min(max(least, wanted), longest)

    def describe(self) -> LeaseState:
        """Tell what this process believes of the lease, and how old that is."""
        now, row = self._clock(), self._core.row
        holds = self._core.holds(now)
        return LeaseState(
            holds_lease=holds,
            fencing=self._core.fencing if holds else None,
            holder=None if row.value is None else row.value["holder"],
            seconds_since_look=(
                None if row.looked_at is None else round(now - row.looked_at, 3)
            ),
        )

    def contend(self, contends: bool) -> None:
        """Take whether to look at the lease while another one holds it."""
        self._handle(Contend(contends))

    def set_terms(self, terms: LeaseTerms) -> None:
        """Go by other times from the next write on; rows that stand name their own."""
        self._terms = self._core.terms = terms
        self.set_contender_count(self._contenders)

    def make_check(self) -> Check | None:
        """Form the check that binds a transaction to the lease as held now."""
        return self._core.make_check(self._clock())

    def give_up(self, fencing: int) -> None:
        """Give a number up that was refused; contend for the lease under a new one."""
        self._handle(Outdated(fencing))

    def enter_era(self, era: int) -> None:
        """Take that the store answers from a new era, or that its era is seen first."""
        if era <= self._era:
            return
        self._era = era
        # A write of the earlier era would be sent again in this one.
        for call in self._calls:
            call.cancel()
        self._handle(EraEntered(era))

    def _report(self, era: int, event: Event) -> None:
        """Give a call's outcome, unless the call was ended by a new era.

        The answer that shows the era is handed on right after it is entered, before
        its call can be stopped.
        """
        if era == self._era:
            self._handle(event)

    async def stop(self) -> None:
        """Give the lease up, so that a successor need not wait for it to lapse."""
        self._handle(Resign())
        if self._calls:
            await asyncio.wait(self._calls, timeout=RESIGN_SECONDS)
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
    def _(self, command: Gained) -> None:
        self._on_gained(command.fencing)

    @_execute.register
    def _(self, command: LostLease) -> None:
        self._on_lost(command.cause)

    @_execute.register
    def _(self, command: Misread) -> None:
        log_message("lease:misread", place=self._core.key.sk, fault=command.fault)

    @_execute.register
    def _(self, command: WakeAt) -> None:
        self._schedule_tick(command.time)

    async def _read(self, command: ReadLease) -> None:
        era, asked_at = self._era, self._clock()
        try:
            async with asyncio.timeout(self._terms.granted * CALL_PART):
                result = await self._table.get(command.key)
        except TimeoutError:
            self._report(era, ReadFailed())
            return
        if result.is_error():
            self._report(era, ReadFailed())
            return
        self._report(era, RowRead(result.ok, asked_at))

    async def _write(self, command: WriteLease) -> None:
        era = self._era
        deadline = self._clock() + self._terms.granted * CALL_PART
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
        self._report(era, WriteSettled(command.write_id, outcome))
