"""Decide when this process holds its place's planner lease.

No two clocks are compared. A contender takes over only after it has watched one
revision of the row stand for the whole lease time and a margin on its own monotonic
clock; the holder counts its time from before it sent the write.

A store that is restored from an older copy begins a new era and loses what it has
acknowledged since that copy. No row from before an era shows who holds the lease in it:
whoever enters one waits out the longest lease that it knows of.
"""

from functools import singledispatchmethod
from typing import Final, NamedTuple, NotRequired, TypedDict

from radishtally.outcome import Result
from radishtally.store.core import (
    ABSENT,
    Check,
    Conflict,
    Key,
    Put,
    Row,
    TableError,
    Unavailable,
)
from radishtally.store.ids import WriteIds

LEASE: Final = "lease"
RELEASED: Final = 0.0
"""Seconds granted by a row whose holder has given the lease up."""
ERA_SHIFT: Final = 32
"""Bits of a fencing number below its era: with it, the numbers that an era may need and
the eras that there may be are two million and more, and both fit in a JSON number."""


class LeaseTerms(NamedTuple):
    """Set the times of a lease, in seconds."""

    granted: float = 10.0
    margin: float = 1.0
    """Covers clocks that run at different rates, on either side."""
    renew_every: float = 3.0
    read_every: float = 1.0


class LeaseValue(TypedDict):
    """Hold what the lease row says."""

    holder: str
    incarnation: str
    fencing: int
    granted: float
    counter: int
    era: NotRequired[int]
    """Newest era that the writer knew of; absent counts as 0."""


class Tick(NamedTuple):
    """Let time pass."""


class RowRead(NamedTuple):
    """Give the lease row as it stands."""

    row: Row | None
    asked_at: float


class ReadFailed(NamedTuple):
    """Say that the lease row could not be read."""


class WriteSettled(NamedTuple):
    """Give the outcome of a lease write."""

    write_id: str
    outcome: Result[None, TableError]


class Resign(NamedTuple):
    """Ask to give the lease up for good."""


class Contend(NamedTuple):
    """Say whether to look at the lease while another one holds it."""

    contends: bool


class Outdated(NamedTuple):
    """Say that an order was refused, as a higher fencing number has been used."""

    fencing: int


class EraEntered(NamedTuple):
    """Say that the store answers from a new era, or that its era was seen first.

    Calls that are under way are over with it: their outcomes are not to be given.
    """

    era: int


Event = (
    Tick
    | RowRead
    | ReadFailed
    | WriteSettled
    | Resign
    | Contend
    | Outdated
    | EraEntered
)


class ReadLease(NamedTuple):
    """Read the lease row."""

    key: Key


class WriteLease(NamedTuple):
    """Write the lease row."""

    put: Put
    write_id: str


class Gained(NamedTuple):
    """Say that the lease is held from now on."""

    fencing: int


class LostLease(NamedTuple):
    """Say that the lease is no longer held."""

    cause: str


class WakeAt(NamedTuple):
    """Ask for a Tick."""

    time: float


Command = ReadLease | WriteLease | Gained | LostLease | WakeAt


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
        self._holder = holder
        self._ids = ids
        self.terms = terms
        self.read_every = terms.read_every
        """Seconds between two looks at a lease that another one holds."""
        self._row: Row | None = None
        self._row_since = 0.0
        self._seen = False
        self._known = False
        self._held: _Held | None = None
        self._sent: dict[str, _Sent] = {}
        self._counter = 0
        self._busy = False
        self._read_at = float("-inf")
        self._retry_at = float("-inf")
        self._highest = 0
        self._era = 0
        self._entered_at = float("-inf")
        self._longest = terms.granted
        self._top = 0
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
        if not self.holds(now) or self._row is None:
            return None
        return Check(self.key, self._row.rev)

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take one event and give the commands that follow."""
        self._longest = max(self._longest, self.terms.granted)
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
        if event.row is not None and event.row.era < self._era:
            return []
        return self._see(event.row, now)

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
        self._known = False
        self._read_at = float("-inf")
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
        if self._busy or not self._known:
            return lost
        return [*lost, self._write(fencing, RELEASED, now)]

    @_take.register
    def _(self, event: Contend, now: float) -> list[Command]:
        if event.contends and not self._contends:
            # The row may have been renewed meanwhile: only a new look tells.
            self._known = False
            self._read_at = float("-inf")
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
        if event.era <= self._era:
            return []
        # Failure: the row of the last holder is lost, and an older one stands that is
        # released, one's own or none. Symptom: a second holder gives orders. What is
        # known of the row is forgotten, and its time counts from a sight in this era:
        # whoever held it has written before, so that one's time ends first. A process
        # that has just started can't tell its first sight of an era from a restore,
        # so the first holder of all also waits that long where the store tells eras.
        self._era = event.era
        self._entered_at = now
        self._sent.clear()
        self._seen = self._known = self._busy = False
        self._read_at = float("-inf")
        if self._held is None:
            return []
        self._held = None
        return [LostLease("store restored")]

    def _see(self, row: Row | None, now: float) -> list[Command]:
        """Take over what the table shows."""
        if row is not None and row.write_id in self._sent:
            return self._adopt(row.write_id, now)
        unchanged = self._seen and _identify(row) == _identify(self._row)
        if not unchanged:
            # Counted from when the row was seen, not from when it was asked for: its
            # writer sent it before that, so its writer's time ends first.
            self._row_since = now
            self._row = row
            self._sent.clear()
            if row is not None:
                self._longest = max(self._longest, row.value["granted"])
                self._top = max(self._top, row.value["fencing"])
        self._seen = True
        self._known = True
        if unchanged or self._held is None:
            return []
        self._held = None
        return [LostLease("taken over")]

    def _adopt(self, write_id: str, now: float) -> list[Command]:
        """Count a write of our own as done."""
        sent = self._sent[write_id]
        rev = _get_rev(self._row) + 1
        self._row = Row(self.key, rev, write_id, dict(sent.value), self._era)
        self._row_since = now
        self._top = max(self._top, sent.value["fencing"])
        self._known = True
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
        if self._known and self._may_write(now):
            write = self._write(self._next_fencing(), self.terms.granted, now)
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
        return now >= self._take_over_at()

    def _take_over_at(self) -> float:
        if self._get_row_era() != self._era:
            return self._row_since + self._longest + self.terms.margin
        if self._row is None:
            return float("-inf")
        granted = self._row.value["granted"]
        ours = self._row.value["incarnation"] == self._ids.incarnation
        if ours or granted == RELEASED:
            return float("-inf")
        return self._row_since + granted + self.terms.margin

    def _get_row_era(self) -> int:
        return 0 if self._row is None else self._row.value.get("era", 0)

    def _next_fencing(self) -> int:
        if self._held is not None:
            return self._held.fencing
        # The row that counts the numbers goes back with the store: hosts would be given
        # one that they have seen from another holder. An era is never given out again,
        # and in it the row's count of writes rises, also where a late write of an
        # earlier era has replaced the row by which its holder's number was known.
        if not self._era:
            return self._top + 1
        return max(self._top, (self._era << ERA_SHIFT) + _get_rev(self._row)) + 1

    def _next_read(self) -> float:
        if self._known and self._held is not None:
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
            era=self._era,
        )
        self._sent[write_id] = _Sent(now, value)
        self._busy = True
        return WriteLease(Put(self.key, dict(value), _get_rev(self._row)), write_id)


def _get_rev(row: Row | None) -> int:
    return ABSENT if row is None else row.rev


def _identify(row: Row | None) -> tuple[int, str]:
    # The count of writes alone goes back with a restored store and is given again to
    # another content: a lease that is renewed would seem to stand. No write id is.
    return (ABSENT, "") if row is None else (row.rev, row.write_id)
