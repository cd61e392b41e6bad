"""A contender's view of the lease row."""

from typing import Final

from radishtally.authority.lease_events import RELEASED, LeaseValue
from radishtally.authority.lease_value import parse_lease_value
from radishtally.store.core import ABSENT, Key, Row

ERA_SHIFT: Final = 32
"""Bits of a fencing token below the era. This leaves room for more than two million
eras, with more than two million tokens in each, within an exact JSON integer."""


class LeaseRow:
    """Track the lease row's content and how long it has stayed unchanged."""

    def __init__(self, key: Key, granted: float) -> None:
        self.key: Final = key
        self.row: Row | None = None
        self.value: LeaseValue | None = None
        """Parsed value; None if the row is absent or invalid."""
        self.fault: str | None = None
        """Why an existing row is invalid."""
        self.is_current = False
        """Whether the row is known well enough for a conditional write."""
        self.read_at: float | None = None
        """When the last successful read was sent."""
        self.era = 0
        self._unchanged_since = 0.0
        self._is_observed = False
        self._highest_fencing = 0
        self._longest_granted = granted

    @property
    def rev(self) -> int:
        """Return the revision that a conditional write of the row must expect."""
        return ABSENT if self.row is None else self.row.rev

    def record_lease_time(self, granted: float) -> None:
        """Record a duration for which a lease may have been granted."""
        self._longest_granted = max(self._longest_granted, granted)

    def enter_era(self, era: int) -> None:
        """Discard all observations from before this era."""
        self.era = era
        self._is_observed = self.is_current = False

    def observe(self, row: Row | None, asked_at: float, now: float, gap: float) -> bool:
        """Record the row as read; return whether it is new or has changed.

        Of the time between two reads, at most `gap` seconds count as observed.
        """
        changed = not self._is_observed or _identify(row) != _identify(self.row)
        if changed:
            # Count from when the reply arrived, not from when the read was sent: the
            # writer sent the row earlier, so its own lease time ends first.
            self._unchanged_since = now
            self._replace(row)
        elif self.read_at is not None:
            self._exclude_unobserved(asked_at - self.read_at - gap, asked_at)
        self._is_observed = self.is_current = True
        self.read_at = asked_at
        return changed

    def record_own_write(
        self, rev: int, write_id: str, value: LeaseValue, now: float
    ) -> None:
        """Record a write by this process that took effect."""
        self._replace(Row(self.key, rev, write_id, dict(value), self.era))
        self._unchanged_since = self.read_at = now
        self.is_current = True

    def may_take_over(self, incarnation: str, margin: float) -> bool:
        """Return whether a process that does not hold the lease may take it over."""
        if self._is_free(incarnation):
            return True
        return self.read_at >= self.find_lapse(margin)

    def find_lapse(self, margin: float) -> float:
        """Return when an unchanged row may be taken over, if it is read then."""
        return self._unchanged_since + self._find_lease_time() + margin

    def choose_fencing(self) -> int:
        """Choose a fencing token above every one given out before."""
        highest = self._highest_fencing
        if self.fault is not None:
            # The token in it is lost, but each token given out took one write, so the
            # revision is an upper bound.
            highest = max(highest, self.rev)
        # A restore of the store also sets back the row that counts the tokens, so hosts
        # could see a token that another holder has used. Eras never repeat, and within
        # an era the row's revision only grows, even if a late write from an earlier era
        # has replaced the row that held the current token.
        if self.era:
            highest = max(highest, (self.era << ERA_SHIFT) + self.rev)
        return highest + 1

    def _exclude_unobserved(self, unobserved: float, asked_at: float) -> None:
        """Exclude time in which this process did not read the row.

        The holder may have stalled too, or met the same outage. When both resume, it
        must have at least the margin to renew its row.
        """
        if unobserved > 0:
            unchanged_since = max(
                self._unchanged_since + unobserved, asked_at - self._find_lease_time()
            )
            self._unchanged_since = unchanged_since

    def _replace(self, row: Row | None) -> None:
        self.row, self.value, self.fault = row, None, None
        if row is None:
            return
        parsed = parse_lease_value(row.value)
        if parsed.is_error():
            self.fault = parsed.error
            return
        self.value = parsed.ok
        self._longest_granted = max(self._longest_granted, self.value["granted"])
        self._highest_fencing = max(self._highest_fencing, self.value["fencing"])

    def _is_free(self, incarnation: str) -> bool:
        """Return whether, by this row, no other process can hold the lease."""
        if self._get_era() != self.era or self.fault is not None:
            return False
        if self.value is None:
            return True
        is_own = self.value["incarnation"] == incarnation
        return is_own or self.value["granted"] == RELEASED

    def _find_lease_time(self) -> float:
        # A row of another era, or an invalid one, may have replaced the row of a holder
        # whose lease duration is then unknown.
        if self.value is None or self._get_era() != self.era:
            return self._longest_granted
        return self.value["granted"]

    def _get_era(self) -> int:
        return 0 if self.value is None else self.value.get("era", 0)


def _identify(row: Row | None) -> tuple[int, str]:
    # After a restore, a revision can be reused for different content, and a renewed
    # lease would seem unchanged. Write ids are never reused.
    return (ABSENT, "") if row is None else (row.rev, row.write_id)
