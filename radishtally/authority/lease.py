"""Decide when this process holds its place's planner lease.

No two clocks are compared. A contender takes over only after it has watched one
revision of the row stand for the whole lease time and a margin on its own monotonic
clock; the holder counts its time from before it sent the write.

A store that is restored from an older copy begins a new era and loses what it has
acknowledged since that copy. No row from before an era shows who holds the lease in it:
whoever enters one waits out the longest lease that it knows of.
"""

from functools import singledispatchmethod
from typing import Final, NamedTuple

from radishtally.authority.lease_events import (
    LEASE,
    RELEASED,
    Command,
    Contend,
    EraEntered,
    Event,
    Gained,
    LeaseTerms,
    LeaseValue,
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
from radishtally.authority.lease_row import LeaseRow
from radishtally.store.core import Check, Conflict, Key, Put, Unavailable
from radishtally.store.ids import WriteIds


class _Sent(NamedTuple):
    """Remember a write that may stand."""

    sent_at: float
    value: LeaseValue


class _Held(NamedTuple):
    fencing: int
    until: float
    renew_at: float


class LeaseCore:
    """Contend for one lease; at most one call to the table is under way."""

    def __init__(
        self, place: str, holder: str, ids: WriteIds, terms: LeaseTerms
    ) -> None:
        self.key: Final = Key(LEASE, place)
        self.terms = terms
        self.read_every = terms.read_every
        """Seconds between two looks at a lease that another one holds."""
        self.row = LeaseRow(self.key, terms.granted)
        self._holder = holder
        self._ids = ids
        self._held: _Held | None = None
        self._sent: dict[str, _Sent] = {}
        self._counter = 0
        self._busy = False
        self._read_at = float("-inf")
        self._retry_at = float("-inf")
        self._highest = 0
        self._entered_at = float("-inf")
        self._resigned = False
        self._contends = True

    def holds(self, now: float) -> bool:
        """Tell whether an order may be given now; ask before each one.

        A process that was paused wakes with its state unchanged, so the state alone
        would let it go on giving orders; the time is compared at each call.
        """
        return self._held is not None and now < self._held.until

    @property
    def fencing(self) -> int | None:
        """Give the fencing number of the lease that was last held and not lost."""
        return None if self._held is None else self._held.fencing

    def make_check(self, now: float) -> Check | None:
        """Form the check that binds a transaction to the lease as held now."""
        if not self.holds(now) or self.row.row is None:
            return None
        return Check(self.key, self.row.rev)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take one event and give the commands that follow."""
        self.row.allow(self.terms.granted)
        commands = self._expire(now)
        commands += self._take(event, now)
        return commands + self._proceed(now)

    def _expire(self, now: float) -> list[Command]:
        if self._held is None or self.holds(now):
            return []
        self._held = None
        return [LostLease("not renewed in time")]

    @singledispatchmethod
    def _take(self, event: Event, now: float) -> list[Command]:
        raise TypeError(f"unknown event {event!r}")

    @_take.register
    def _(self, event: Tick, now: float) -> list[Command]:
        return []

    @_take.register
    def _(self, event: ReadFailed, now: float) -> list[Command]:
        self._busy = False
        return []

    @_take.register
    def _(self, event: RowRead, now: float) -> list[Command]:
        # A look that was begun in an earlier era ended with it, whatever it shows.
        if event.asked_at < self._entered_at:
            return []
        self._busy = False
        if event.row is not None and event.row.era < self.row.era:
            return []
        return self._see(event, now)

    @_take.register
    def _(self, event: WriteSettled, now: float) -> list[Command]:
        # A write of an earlier era may have been done and lost, or be done by chance:
        # its outcome says nothing of the row as it stands.
        if event.write_id not in self._sent:
            return []
        self._busy = False
        if event.outcome.is_ok():
            return self._adopt(event.write_id, now)
        if isinstance(event.outcome.error, Unavailable):
            del self._sent[event.write_id]
            self._retry_at = now + self.terms.read_every
            return []
        if isinstance(event.outcome.error, Conflict):
            # The conflict may be with an earlier write of our own whose reply was
            # lost; only the row tells.
            del self._sent[event.write_id]
        self._look_again()
        return []

    @_take.register
    def _(self, event: Resign, now: float) -> list[Command]:
        self._resigned = True
        if self._held is None:
            return []
        # Orders stop before the row says so: a successor starts at once.
        fencing = self._held.fencing
        self._held = None
        lost: list[Command] = [LostLease("resigned")]
        if self._busy or not self.row.is_current:
            return lost
        return [*lost, self._write(fencing, RELEASED, now)]

    @_take.register
    def _(self, event: Contend, now: float) -> list[Command]:
        if event.contends and not self._contends:
            # The row may have been renewed meanwhile: only a new look tells.
            self._look_again()
        self._contends = event.contends
        return []

    @_take.register
    def _(self, event: Outdated, now: float) -> list[Command]:
        if self._held is None or self._held.fencing != event.fencing:
            return []
        # Renewed as it is, the lease would be held by one who may not use it, and by
        # nobody else. The row is left to stand: a new number is taken over it at once,
        # unless another holder has written it, and a successor waits its whole time.
        self._held = None
        return [LostLease("fencing number out of date")]

    @_take.register
    def _(self, event: EraEntered, now: float) -> list[Command]:
        if event.era <= self.row.era:
            return []
        # Failure: the row of the last holder is lost, and an older one stands that is
        # released, one's own or none. Symptom: a second holder gives orders. What is
        # known of the row is forgotten, and its time counts from a sight in this era:
        # whoever held it has written before, so that one's time ends first. A process
        # that has just started can't tell its first sight of an era from a restore,
        # so the first holder of all also waits that long where the store tells eras.
        self.row.enter_era(event.era)
        self._entered_at = now
        self._sent.clear()
        self._busy = False
        self._look_again()
        if self._held is None:
            return []
        self._held = None
        return [LostLease("store restored")]

    def _look_again(self) -> None:
        """Read the row before anything is written."""
        self.row.is_current = False
        self._read_at = float("-inf")

    def _see(self, event: RowRead, now: float) -> list[Command]:
        """Take over what the table shows."""
        row = event.row
        if row is not None and row.write_id in self._sent:
            return self._adopt(row.write_id, now)
        gap = self.read_every + self.terms.margin
        if not self.row.see(row, event.asked_at, now, gap):
            return []
        self._sent.clear()
        commands: list[Command] = []
        if self.row.fault is not None:
            commands.append(Misread(self.row.fault))
        if self._held is not None:
            self._held = None
            commands.append(LostLease("taken over"))
        return commands

    def _adopt(self, write_id: str, now: float) -> list[Command]:
        """Count a write of our own as done."""
        sent = self._sent[write_id]
        self.row.write(self.row.rev + 1, write_id, sent.value, now)
        self._sent.clear()
        return self._hold(sent, now)

    def _hold(self, sent: _Sent, now: float) -> list[Command]:
        if self._resigned or sent.value["granted"] == RELEASED:
            return []
        fencing = sent.value["fencing"]
        gained = self._held is None
        # A renewal whose reply came after the lease had lapsed: its fencing number was
        # given up with the lease, and the next write takes a new one.
        if gained and fencing <= self._highest:
            return []
        until = sent.sent_at + sent.value["granted"] - self.terms.margin
        if now >= until:
            return []
        self._highest = fencing
        self._held = _Held(fencing, until, sent.sent_at + self.terms.renew_every)
        return [Gained(fencing)] if gained else []

    def _proceed(self, now: float) -> list[Command]:
        """Start the next call if none is under way."""
        # What was adopted may have lapsed while its outcome was being found out.
        lapsed = self._expire(now)
        if self._busy or self._resigned:
            return lapsed if self._held is None else [WakeAt(self._held.until)]
        if self._held is None and not self._contends:
            return lapsed
        if self.row.is_current and self._may_write(now):
            write = self._write(self._find_number(), self.terms.granted, now)
            return [*lapsed, write]
        if now >= self._next_read():
            self._busy = True
            self._read_at = now
            return [*lapsed, ReadLease(self.key)]
        return [*lapsed, WakeAt(self._next_time())]

    def _may_write(self, now: float) -> bool:
        if now < self._retry_at:
            return False
        if self._held is not None:
            return now >= self._held.renew_at
        return self.row.may_take_over(self._ids.incarnation, self.terms.margin)

    def _find_number(self) -> int:
        if self._held is not None:
            return self._held.fencing
        return self.row.find_number()

    def _next_read(self) -> float:
        if self.row.is_current and self._held is not None:
            return float("inf")
        return self._read_at + self.read_every

    def _next_time(self) -> float:
        if self._held is None:
            return self._next_read()
        renew_at = max(self._held.renew_at, self._retry_at)
        return min(self._next_read(), renew_at, self._held.until)

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
        self._sent[write_id] = _Sent(now, value)
        self._busy = True
        return WriteLease(Put(self.key, dict(value), self.row.rev), write_id)
