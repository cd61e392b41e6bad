"""Hold entries of hosts that may be outdated until their hosts have written again."""

from collections.abc import Collection
from typing import Final, NamedTuple

from radishtally.direct.core import Instance

REVIEW_INTERVAL_SECONDS: Final = 1.5
"""Interval between reads of the whole list while it has unconfirmed entries: the
heartbeat interval of 1.2 s, since a heartbeat alone is not reported as a change, and a
margin."""
MAX_UNCONFIRMED_SECONDS: Final = 6.0
"""Time for which an unconfirmed entry can exist without a write of its host: the store
deletes it after three missed heartbeats, with some delay."""
MIN_CONFIRM_SECONDS: Final = 1.0
"""Time from which a higher heartbeat count was written after an entry was held, and not
merely read after it: changes are read within a quarter of a second."""


class _Entry(NamedTuple):
    """Hold an entry that is ignored until its host has written."""

    instance: Instance
    heartbeats: int
    since: float
    until: float
    """Time from which an entry that still exists must have been written again; infinite
    if an entry of another start has replaced it."""
    is_restored: bool = False
    """Whether it comes from an older copy of the store."""

    def is_current(self, now: float) -> bool:
        """Return whether the entry may still be confirmed."""
        is_replaced = self.until == float("inf")
        return not is_replaced or now < self.since + MAX_UNCONFIRMED_SECONDS


class UnconfirmedEntries:
    """Hold the unconfirmed entries by host, and the time of the next review."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._review_at = float("inf")
        """Time of the next review for the entries."""
        self._requested_at = float("inf")
        """Time of a review that was requested without an entry."""

    def hold(
        self,
        instance: Instance,
        heartbeats: int,
        now: float,
        is_restored: bool = False,
    ) -> None:
        """Hold an entry, unless one of the same start is held already."""
        held = self._entries.get(instance.host)
        if held is not None and held.instance.started_ms == instance.started_ms:
            return
        if not self._entries:
            self._review_at = float("inf")
        until = now + MAX_UNCONFIRMED_SECONDS
        entry = _Entry(instance, heartbeats, now, until, is_restored)
        self._entries[instance.host] = entry
        self._review_at = min(self._review_at, now + REVIEW_INTERVAL_SECONDS)

    def hold_until(
        self, instance: Instance, heartbeats: int, now: float, until: float
    ) -> None:
        """Hold an entry; only what is written after this count and time confirms it."""
        held = self._entries.get(instance.host)
        self.discard(instance.host)
        self.hold(instance, heartbeats, now, held is not None and held.is_restored)
        entry = self._entries[instance.host]
        until += MAX_UNCONFIRMED_SECONDS
        self._entries[instance.host] = entry._replace(until=until)

    def is_unchanged(self, instance: Instance, heartbeats: int, now: float) -> bool:
        """Return whether an entry is held and was not written since."""
        held = self._entries.get(instance.host)
        if held is None or now >= held.until:
            return False
        return (instance, heartbeats) == (held.instance, held.heartbeats)

    def is_confirmed(self, instance: Instance, heartbeats: int, now: float) -> bool:
        """Return whether the start of a held entry has written again, or must have."""
        held = self._entries.get(instance.host)
        if held is None or held.instance.started_ms != instance.started_ms:
            return False
        if now >= held.until:
            return True
        is_later = now >= held.since + MIN_CONFIRM_SECONDS
        return is_later and heartbeats > held.heartbeats

    def release(self, instance: Instance) -> None:
        """Stop holding the entry of a start that is applied.

        One of another start is kept: either may prove to be the late one.
        """
        host = instance.host
        held = self._entries.get(host)
        if held is None:
            return
        if held.instance.started_ms == instance.started_ms:
            del self._entries[host]
            return
        self._entries[host] = held._replace(until=float("inf"))

    def request_review(self, now: float) -> None:
        """Request a read of the whole list after one heartbeat interval."""
        self._requested_at = min(self._requested_at, now + REVIEW_INTERVAL_SECONDS)

    def begin_review(self, listed: Collection[str], now: float) -> None:
        """Drop the entries that are no longer listed, as the whole list is read."""
        self._entries = {
            host: entry
            for host, entry in self._entries.items()
            if host in listed and entry.is_current(now)
        }
        self._review_at = self._requested_at = float("inf")

    def end_review(self, now: float) -> None:
        """Schedule the next review, which is needed while entries are unconfirmed."""
        due = [
            entry.since + REVIEW_INTERVAL_SECONDS for entry in self._entries.values()
        ]
        pending = [at for at in due if at > now]
        self._review_at = min([now + REVIEW_INTERVAL_SECONDS, *pending])

    def extend(self, now: float) -> None:
        """Give all entries their full time again, as hosts could not write."""
        until = now + MAX_UNCONFIRMED_SECONDS
        self._entries = {
            host: entry._replace(until=max(entry.until, until))
            for host, entry in self._entries.items()
        }

    def discard(self, host: str) -> None:
        """Drop a host's entry, if one is held."""
        self._entries.pop(host, None)

    def clear(self) -> None:
        """Drop all entries and requested reviews."""
        self._entries.clear()
        self._review_at = self._requested_at = float("inf")

    def next_review(self) -> float:
        """Return the time at which to read the whole list."""
        review_at = self._review_at if self._entries else float("inf")
        return min(review_at, self._requested_at)

    def list_written(self) -> list[tuple[Instance, int]]:
        """List the entries that no restore has brought, with their counts."""
        return [
            (held.instance, held.heartbeats)
            for held in self._entries.values()
            if not held.is_restored
        ]

    def list_hosts(self) -> list[str]:
        """List the hosts whose entries are held."""
        return list(self._entries)
