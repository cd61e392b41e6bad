"""Decide when this process holds its place's planner lease.

Clocks of different hosts are never compared. A contender takes over only after the row
has stayed unchanged for the lease duration and a margin on the contender's own
monotonic clock. The holder counts its lease from before it sent the write.

Restoring the store from a backup starts a new era: writes acknowledged since the backup
are lost. A row written in an earlier era does not show who holds the lease now, so a
contender that enters a new era first waits for the longest lease duration it knows of.
"""

from functools import singledispatchmethod
from typing import Final, NamedTuple

from radishtally.authority.lease_events import (
    LEASE,
    RELEASED,
    Command,
    EraEntered,
    Event,
    FencingOutdated,
    LeaseGained,
    LeaseLost,
    LeaseTerms,
    LeaseValue,
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
from radishtally.authority.lease_row import LeaseRow
from radishtally.store.core import Check, Conflict, Key, Put, Unavailable
from radishtally.store.ids import WriteIds


class _SentWrite(NamedTuple):
    """Represent a write that may have taken effect."""

    sent_at: float
    value: LeaseValue


class _Held(NamedTuple):
    """Represent a lease held by this process; the times are monotonic."""

    fencing: int
    until: float
    renew_at: float


class LeaseCore:
    """Contend for one lease, with at most one call to the table in flight."""

    def __init__(
        self, place: str, holder: str, ids: WriteIds, terms: LeaseTerms
    ) -> None:
        self.key: Final = Key(LEASE, place)
        self.terms = terms
        self.read_every = terms.read_every
        """Seconds between reads of a lease that another process holds."""
        self.row = LeaseRow(self.key, terms.granted)
        self._holder = holder
        self._ids = ids
        self._held: _Held | None = None
        self._sent_writes: dict[str, _SentWrite] = {}
        self._counter = 0
        self._call_in_flight = False
        self._last_read_at = float("-inf")
        self._retry_at = float("-inf")
        self._highest_fencing = 0
        self._era_entered_at = float("-inf")
        self._resigned = False
        self._is_contending = True

    def holds(self, now: float) -> bool:
        """Return whether the lease is held now; check this before each order.

        The time is compared at each call: a process that resumes after a pause has its
        old state, which alone would let it go on giving orders.
        """
        return self._held is not None and now < self._held.until

    @property
    def fencing(self) -> int | None:
        """Return the fencing token of the lease, unless it was reported lost."""
        return None if self._held is None else self._held.fencing

    def make_check(self, now: float) -> Check | None:
        """Build a check that fails a transaction if the lease row has changed."""
        if not self.holds(now) or self.row.row is None:
            return None
        return Check(self.key, self.row.rev)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle one event and return the resulting commands."""
        self.row.record_lease_time(self.terms.granted)
        commands = self._expire(now)
        commands += self._apply(event, now)
        return commands + self._start_next_call(now)

    def _expire(self, now: float) -> list[Command]:
        if self._held is None or self.holds(now):
            return []
        self._held = None
        return [LeaseLost("not renewed in time")]

    @singledispatchmethod
    def _apply(self, event: Event, now: float) -> list[Command]:
        raise TypeError(f"unknown event {event!r}")

    @_apply.register
    def _(self, event: Tick, now: float) -> list[Command]:
        return []

    @_apply.register
    def _(self, event: ReadFailed, now: float) -> list[Command]:
        self._call_in_flight = False
        return []

    @_apply.register
    def _(self, event: RowRead, now: float) -> list[Command]:
        # A read sent in an earlier era is void, whatever it shows.
        if event.asked_at < self._era_entered_at:
            return []
        self._call_in_flight = False
        if event.row is not None and event.row.era < self.row.era:
            return []
        return self._apply_row(event, now)

    @_apply.register
    def _(self, event: WriteSettled, now: float) -> list[Command]:
        # A write of an earlier era may have been applied and then lost in the restore,
        # or may still be applied. Its outcome says nothing about the current row.
        if event.write_id not in self._sent_writes:
            return []
        self._call_in_flight = False
        if event.outcome.is_ok():
            return self._confirm_write(event.write_id, now)
        if isinstance(event.outcome.error, Unavailable):
            del self._sent_writes[event.write_id]
            self._retry_at = now + self.terms.read_every
            return []
        if isinstance(event.outcome.error, Conflict):
            # The conflict may be with an earlier write by this process whose reply was
            # lost. Only a read of the row can tell.
            del self._sent_writes[event.write_id]
        self._require_read()
        return []

    @_apply.register
    def _(self, event: Resign, now: float) -> list[Command]:
        self._resigned = True
        if self._held is None:
            return []
        # Stop giving orders before the release is written: a successor starts at once.
        fencing = self._held.fencing
        self._held = None
        lost: list[Command] = [LeaseLost("resigned")]
        if self._call_in_flight or not self.row.is_current:
            return lost
        return [*lost, self._write(fencing, RELEASED, now)]

    @_apply.register
    def _(self, event: SetContending, now: float) -> list[Command]:
        if event.contends and not self._is_contending:
            # The row may have been renewed meanwhile; read it before any takeover.
            self._require_read()
        self._is_contending = event.contends
        return []

    @_apply.register
    def _(self, event: FencingOutdated, now: float) -> list[Command]:
        if self._held is None or self._held.fencing != event.fencing:
            return []
        # Renewing under the refused token would keep the lease with a process that
        # can't use it. The row is not released: this process writes it again at once
        # under a new token, unless another holder has written it, and any other
        # contender has to wait for the whole lease duration.
        self._held = None
        return [LeaseLost("fencing number out of date")]

    @_apply.register
    def _(self, event: EraEntered, now: float) -> list[Command]:
        if event.era <= self.row.era:
            return []
        # A restore may lose the current holder's row and bring back a released row, an
        # older row of this process, or no row. A contender that trusts it takes over at
        # once, and two holders give orders. Therefore everything known about the row is
        # discarded, and the time for which it is unchanged counts from the first read
        # in this era. A holder wrote its row before that read, so its lease ends first.
        # A process that has just started can't distinguish a restore from the first era
        # that it sees, so even the very first holder waits if the store reports eras.
        self.row.enter_era(event.era)
        self._era_entered_at = now
        self._sent_writes.clear()
        self._call_in_flight = False
        self._require_read()
        if self._held is None:
            return []
        self._held = None
        return [LeaseLost("store restored")]

    def _require_read(self) -> None:
        """Require a read of the row before the next write."""
        self.row.is_current = False
        self._last_read_at = float("-inf")

    def _apply_row(self, event: RowRead, now: float) -> list[Command]:
        """Update the state from a row that was read."""
        row = event.row
        if row is not None and row.write_id in self._sent_writes:
            return self._confirm_write(row.write_id, now)
        gap = self.read_every + self.terms.margin
        if not self.row.observe(row, event.asked_at, now, gap):
            return []
        self._sent_writes.clear()
        commands: list[Command] = []
        if self.row.fault is not None:
            commands.append(RowInvalid(self.row.fault))
        if self._held is not None:
            self._held = None
            commands.append(LeaseLost("taken over"))
        return commands

    def _confirm_write(self, write_id: str, now: float) -> list[Command]:
        """Record that a write by this process took effect."""
        sent = self._sent_writes[write_id]
        self.row.record_own_write(self.row.rev + 1, write_id, sent.value, now)
        self._sent_writes.clear()
        return self._hold(sent, now)

    def _hold(self, sent: _SentWrite, now: float) -> list[Command]:
        if self._resigned or sent.value["granted"] == RELEASED:
            return []
        fencing = sent.value["fencing"]
        gained = self._held is None
        # If the reply to a renewal arrives after the lease has lapsed, the lease is not
        # regained: its fencing token was abandoned, and the next write uses a new one.
        if gained and fencing <= self._highest_fencing:
            return []
        until = sent.sent_at + sent.value["granted"] - self.terms.margin
        if now >= until:
            return []
        self._highest_fencing = fencing
        self._held = _Held(fencing, until, sent.sent_at + self.terms.renew_every)
        return [LeaseGained(fencing)] if gained else []

    def _start_next_call(self, now: float) -> list[Command]:
        """Start the next call to the table if none is in flight."""
        # The lease may have lapsed while the outcome of its write was being determined.
        lapsed = self._expire(now)
        if self._call_in_flight or self._resigned:
            return lapsed if self._held is None else [WakeAt(self._held.until)]
        if self._held is None and not self._is_contending:
            return lapsed
        if self.row.is_current and self._may_write(now):
            write = self._write(self._choose_fencing(), self.terms.granted, now)
            return [*lapsed, write]
        if now >= self._next_read_at():
            self._call_in_flight = True
            self._last_read_at = now
            return [*lapsed, ReadLease(self.key)]
        return [*lapsed, WakeAt(self._next_wake_at())]

    def _may_write(self, now: float) -> bool:
        if now < self._retry_at:
            return False
        if self._held is not None:
            return now >= self._held.renew_at
        return self.row.may_take_over(self._ids.incarnation, self.terms.margin)

    def _choose_fencing(self) -> int:
        if self._held is not None:
            return self._held.fencing
        return self.row.choose_fencing()

    def _next_read_at(self) -> float:
        if self.row.is_current and self._held is not None:
            return float("inf")
        due = self._last_read_at + self.read_every
        lapse = self.row.find_lapse(self.terms.margin)
        # A read at that time may end in a takeover, an earlier one can't.
        return lapse if self._last_read_at < lapse < due else due

    def _next_wake_at(self) -> float:
        if self._held is None:
            return self._next_read_at()
        renew_at = max(self._held.renew_at, self._retry_at)
        return min(self._next_read_at(), renew_at, self._held.until)

    def _write(self, fencing: int, granted: float, now: float) -> WriteLease:
        self._counter += 1
        write_id = self._ids.make()
        value = LeaseValue(
            holder=self._holder,
            incarnation=self._ids.incarnation,
            fencing=fencing,
            granted=granted,
            counter=self._counter,
            era=self.row.era,
        )
        self._sent_writes[write_id] = _SentWrite(now, value)
        self._call_in_flight = True
        return WriteLease(Put(self.key, dict(value), self.row.rev), write_id)
