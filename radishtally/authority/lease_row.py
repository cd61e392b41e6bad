"""Keep what a contender knows of the row of its lease."""

from typing import Final

from radishtally.authority.lease_events import RELEASED, LeaseValue
from radishtally.authority.lease_value import read_value
from radishtally.store.core import ABSENT, Key, Row

ERA_SHIFT: Final = 32
"""Bits of a fencing number below its era: with it, the numbers that an era may need and
the eras that there may be are two million and more, and both fit in a JSON number."""


class LeaseRow:
    """Watch one row: what it says, and for how long it has stood."""

    def __init__(self, key: Key, granted: float) -> None:
        self.key: Final = key
        self.row: Row | None = None
        self.value: LeaseValue | None = None
        """What the row says; nothing if it is absent or can't be read."""
        self.fault: str | None = None
        """Why a row that is there can't be read."""
        self.is_current = False
        """Whether a write may go by the row as it is known."""
        self.looked_at: float | None = None
        """When the last look that showed the row was asked for."""
        self.era = 0
        self._since = 0.0
        self._is_watched = False
        self._top = 0
        self._longest = granted

    @property
    def rev(self) -> int:
        """Give the revision that a write of the row expects."""
        return ABSENT if self.row is None else self.row.rev

    def allow(self, granted: float) -> None:
        """Take note of a time that a lease may last."""
        self._longest = max(self._longest, granted)

    def enter_era(self, era: int) -> None:
        """Count nothing that was seen before as seen."""
        self.era = era
        self._is_watched = self.is_current = False

    def see(self, row: Row | None, asked_at: float, now: float, gap: float) -> bool:
        """Take what a look shows; tell whether another row was known or none.

        Two looks that are more than `gap` seconds apart watch the row for as long only.
        """
        changed = not self._is_watched or _identify(row) != _identify(self.row)
        if changed:
            # Counted from when the row was seen, not from when it was asked for: its
            # writer sent it before that, so its writer's time ends first.
            self._since = now
            self._replace(row)
        elif self.looked_at is not None:
            self._leave_out(asked_at - self.looked_at - gap, asked_at)
        self._is_watched = self.is_current = True
        self.looked_at = asked_at
        return changed

    def write(self, rev: int, write_id: str, value: LeaseValue, now: float) -> None:
        """Take a write of our own that was done."""
        self._replace(Row(self.key, rev, write_id, dict(value), self.era))
        self._since = self.looked_at = now
        self.is_current = True

    def may_take_over(self, incarnation: str, margin: float) -> bool:
        """Tell whether one who does not hold the lease may write the row."""
        if self._may_replace(incarnation):
            return True
        return self.looked_at >= self._since + self._find_lifetime() + margin

    def find_number(self) -> int:
        """Find a fencing number that nobody has had."""
        top = self._top
        if self.fault is not None:
            # The number in it is lost, but each one that was given cost a write.
            top = max(top, self.rev)
        # The row that counts the numbers goes back with the store: hosts would be given
        # one that they have seen from another holder. An era is never given out again,
        # and in it the row's count of writes rises, also where a late write of an
        # earlier era has replaced the row by which its holder's number was known.
        if self.era:
            top = max(top, (self.era << ERA_SHIFT) + self.rev)
        return top + 1

    def _leave_out(self, unseen: float, asked_at: float) -> None:
        """Count no time in which this process did not look.

        A holder that stalled as well, or met the same outage, is as quick to go on: it
        gets the margin at least to write its row anew.
        """
        if unseen > 0:
            since = max(self._since + unseen, asked_at - self._find_lifetime())
            self._since = since

    def _replace(self, row: Row | None) -> None:
        self.row, self.value, self.fault = row, None, None
        if row is None:
            return
        read = read_value(row.value)
        if read.is_error():
            self.fault = read.error
            return
        self.value = read.ok
        self._longest = max(self._longest, self.value["granted"])
        self._top = max(self._top, self.value["fencing"])

    def _may_replace(self, incarnation: str) -> bool:
        """Tell whether nobody else can hold the lease by the row."""
        if self._get_era() != self.era or self.fault is not None:
            return False
        if self.value is None:
            return True
        is_own = self.value["incarnation"] == incarnation
        return is_own or self.value["granted"] == RELEASED

    def _find_lifetime(self) -> float:
        # A row of another era, or by another writer, may stand in place of a holder's.
        if self.value is None or self._get_era() != self.era:
            return self._longest
        return self.value["granted"]

    def _get_era(self) -> int:
        return 0 if self.value is None else self.value.get("era", 0)


def _identify(row: Row | None) -> tuple[int, str]:
    # The count of writes alone goes back with a restored store and is given again to
    # another content: a lease that is renewed would seem to stand. No write id is.
    return (ABSENT, "") if row is None else (row.rev, row.write_id)
