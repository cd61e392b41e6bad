"""Track the hosts of the upstreams by their entries in the store."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Final, NamedTuple

from radishtally.direct.core import EngineReport, Instance, is_same_start
from radishtally.gateway.starts import HostRestarted, HostStarts, StartSource

MISSING_GRACE_SECONDS: Final = 1.6
"""Time for which a host is kept whose entry is missing just after a store outage. An
entry that expired during the outage is written again within two seconds: most within
one heartbeat interval of 1.2 s, the last of several hundred after 1.54 s. A host that
was removed must get no requests after two seconds, and its removal is detected with a
short delay."""
MASS_REMOVAL_SHARE: Final = 0.25
"""Share of an upstream's hosts above which removals within MISSING_GRACE_SECONDS count
as entries that expired during an undetected store outage: a long poll that the store
holds throughout the outage does not reveal it. Planned maintenance removes fewer hosts
without notice. If it removes more, they are kept no longer than a draining host may get
requests."""
MASS_REMOVAL_MIN_HOSTS: Final = 2
"""Minimum number of such removals: it is normal for one host to leave a small upstream.
The last host of an upstream is kept in any case, since no other could serve."""

GONE_RETENTION_SECONDS: Final = 60.0
"""Time for which removed hosts are remembered: longer than the age of any backup of the
store, so that an entry of a host that is not remembered belongs to a host that had not
been removed."""
MAX_REMEMBERED_HOSTS: Final = 1_000
"""Maximum number of removed or leaving hosts that are remembered, most recent ones."""
REVIEW_INTERVAL_SECONDS: Final = 1.5
"""Interval between reads of the whole list while it has unconfirmed entries: the
heartbeat interval of 1.2 s, since a heartbeat alone is not reported as a change, and a
margin."""
MAX_UNCONFIRMED_SECONDS: Final = 6.0
"""Time for which an unconfirmed entry can exist without a write of its host: the store
deletes it after three missed heartbeats, with some delay."""


class HostUpdated(NamedTuple):
    """Event: a host is listed, with its current properties."""

    instance: Instance


class HostVersionChanged(NamedTuple):
    """Event: a host begins again under its name at another software version."""

    host: str
    before: str
    after: str
    """Empty while only a report shows the new start, which names no version."""
    is_recent: bool
    """Whether it changed just now, as the list was followed all the time before."""


class HostRemoved(NamedTuple):
    """Event: a host has been removed."""

    host: str
    is_unreadable: bool = False
    """Whether its entry exists but can't be decoded, so it need not have left."""
    is_recent: bool = False
    """Whether an unreadable entry was written just now, as for a change of version."""


class MissReason(StrEnum):
    """Name why a host is kept whose entry is missing."""

    OUTAGE = "outage"
    MANY_AT_ONCE = "many at once"


class HostMissing(NamedTuple):
    """Event: a host's entry is missing, and it has time to write the entry again."""

    host: str
    reason: MissReason


class HostReturned(NamedTuple):
    """Event: a missing host is listed again."""

    host: str


HostChange = (
    HostUpdated
    | HostVersionChanged
    | HostRemoved
    | HostMissing
    | HostReturned
    | HostRestarted
)


class _Removal(NamedTuple):
    """Record the removal of a host that was not draining."""

    at: float
    instance: Instance


class _UnconfirmedEntry(NamedTuple):
    """Hold an entry of a restored store that is ignored until its host has written."""

    instance: Instance
    heartbeats: int
    until: float
    """Time from which an entry that still exists must have been written again."""


class Members:
    """Track the listed hosts, and those whose entries the store may have lost.

    A restored store returns entries of an older backup. An entry that is older than
    what is known of the same start of its host is ignored: its heartbeat count grows
    with each write, so a lower count was written earlier. The count is no evidence for
    a removed host, since its last heartbeats before the removal were never reported.
    Its entry is ignored until it differs from the one in the first list of the era, or
    has existed for longer than the store keeps an entry that is not renewed.
    """

    def __init__(self) -> None:
        self.starts = HostStarts()
        self._instances: dict[str, Instance] = {}
        self._missing: dict[str, float] = {}
        """Missing hosts, with the time at which each counts as removed."""
        self._removals: deque[_Removal] = deque()
        """Removals of hosts in service during the last MISSING_GRACE_SECONDS."""
        self._heartbeats: dict[str, int] = {}
        """Heartbeat counts of the entries that were last applied."""
        self._gone_hosts: OrderedDict[str, tuple[float, Instance]] = OrderedDict()
        """Hosts removed in the last GONE_RETENTION_SECONDS, with the time."""
        self._entered_at: float | None = None
        """Time at which the current era was entered; None once its list was read."""
        self._unconfirmed: dict[str, _UnconfirmedEntry] = {}
        self._leaving: OrderedDict[str, int] = OrderedDict()
        """Starts of hosts that have announced in an answer that they are leaving."""
        self._review_at = float("inf")

    def __iter__(self):  # noqa: ANN204
        """Iterate over the current hosts, including missing ones."""
        return iter(self._instances.values())

    def enter_era(self, now: float) -> None:
        """Record that the store was restored; the next list is from an older backup."""
        self._entered_at = now
        # Missing hosts could not write again before the restore.
        until = now + MISSING_GRACE_SECONDS
        self._missing = dict.fromkeys(self._missing, until)
        self._unconfirmed.clear()
        self._review_at = float("inf")
        self._evict_gone(now)

    def replace(
        self,
        instances: Iterable[Instance],
        now: float,
        after_outage: bool,
        heartbeats: Mapping[str, int] | None = None,
    ) -> list[HostChange]:
        """Apply the whole list, with the heartbeat counts of its hosts."""
        heartbeats = heartbeats or {}
        listed = {instance.host: instance for instance in instances}
        gone = self._instances.keys() - listed.keys()
        # Hosts can write again from the restore on, however late the list is read.
        since = now if self._entered_at is None else self._entered_at
        changes = self.remove(gone, since, after_outage)
        unconfirmed = self._find_unconfirmed(listed, heartbeats, now)
        for host, instance in listed.items():
            if host in unconfirmed:
                continue
            count = heartbeats.get(host, 0)
            if self._entered_at is not None and self._instances.get(host) == instance:
                # The same entry was already seen with a later write.
                count = max(count, self._heartbeats.get(host, 0))
            changes += self.update(instance, count, after_outage, now)
        self._unconfirmed = unconfirmed
        self._review_at = now + REVIEW_INTERVAL_SECONDS if unconfirmed else float("inf")
        self._entered_at = None
        return changes

    def _find_unconfirmed(
        self, listed: Mapping[str, Instance], heartbeats: Mapping[str, int], now: float
    ) -> dict[str, _UnconfirmedEntry]:
        """Return the entries that may not have been written in the current era."""
        if self._entered_at is not None:
            return {
                host: _UnconfirmedEntry(
                    instance, heartbeats.get(host, 0), now + MAX_UNCONFIRMED_SECONDS
                )
                for host, instance in listed.items()
                if self._is_behind(instance, heartbeats.get(host, 0))
            }
        return {
            host: entry
            for host, entry in self._unconfirmed.items()
            if now < entry.until
            and (listed.get(host), heartbeats.get(host, 0))
            == (entry.instance, entry.heartbeats)
        }

    def _is_behind(self, instance: Instance, heartbeats: int) -> bool:
        """Return whether a restored entry may be older than what is known."""
        host = instance.host
        if host in self._gone_hosts:
            return is_same_start(
                self._gone_hosts[host][1].started_ms, instance.started_ms
            )
        known = self._instances.get(host)
        if known is None or not is_same_start(known.started_ms, instance.started_ms):
            return False
        if host in self._missing:
            return True
        reported = instance._replace(started_ms=known.started_ms)
        return reported != known and heartbeats <= self._heartbeats.get(host, 0)

    def update(
        self,
        instance: Instance,
        heartbeats: int = 0,
        after_outage: bool = False,
        now: float = 0.0,
    ) -> list[HostChange]:
        """Apply one entry, unless it belongs to a start that has ended."""
        host = instance.host
        if self.starts.is_ended(host, instance.started_ms):
            return []
        changes: list[HostChange] = []
        if self._missing.pop(host, None) is not None:
            changes.append(HostReturned(host))
        known = self._instances.get(host)
        if known is not None and known.started_ms and not known.version:
            # An entry that names no start may be that of an earlier one.
            version = instance.version if instance.started_ms else ""
            instance = instance._replace(version=version)
        changes += self._describe_version_change(instance, after_outage)
        changes += self._apply_instance(instance, StartSource.LISTED)
        self._heartbeats[host] = heartbeats
        self._unconfirmed.pop(host, None)
        self._gone_hosts.pop(host, None)
        return changes

    def _describe_version_change(
        self, instance: Instance, after_outage: bool
    ) -> list[HostChange]:
        """Return the change of version that an entry shows, if there is one."""
        host, known = instance.host, self._instances.get(instance.host)
        is_recent = known is not None and not after_outage
        if known is None and host in self._gone_hosts:
            known = self._gone_hosts[host][1]
        if known is None or known.version == instance.version:
            return []
        return [HostVersionChanged(host, known.version, instance.version, is_recent)]

    def is_present(self, queried: Instance) -> bool:
        """Return whether a queried host is listed and has not restarted since."""
        known = self._instances.get(queried.host)
        if known is None or self.starts.is_ended(queried.host, queried.started_ms):
            return False
        return is_same_start(known.started_ms, queried.started_ms)

    def record_leaving(self, queried: Instance) -> list[HostChange]:
        """Record that a host has announced in an answer that it is leaving.

        Its entry may not show this while the store is away, and may stop showing it
        when the store is restored from an older backup. Only a new start of the host
        gets work again.
        """
        if not self.is_present(queried):
            return []
        known = self._instances[queried.host]
        self._leaving[queried.host] = known.started_ms
        self._leaving.move_to_end(queried.host)
        while len(self._leaving) > MAX_REMEMBERED_HOSTS:
            self._leaving.popitem(last=False)
        return self._apply_instance(known, StartSource.ANSWERED)

    def apply_report(
        self, queried: Instance, report: EngineReport, now: float = 0.0
    ) -> list[HostChange]:
        """Apply an engine's report, which may be newer than its entry.

        The report is ignored if the list has shown another start since the query, as
        another host may have answered at the address of the earlier start.
        """
        known = self._instances.get(queried.host)
        if known is None or known.started_ms != queried.started_ms:
            return []
        if self.starts.is_ended(queried.host, report.started_ms):
            return []
        if not report.started_ms or report.started_ms == known.started_ms:
            return []
        reported = known._replace(started_ms=report.started_ms)
        if not known.started_ms:
            return self._apply_instance(reported, StartSource.REPORTED)
        # Draining state and version belonged to the earlier start, and the report names
        # no version.
        reported = reported._replace(role=report.role, is_draining=False, version="")
        changes: list[HostChange] = []
        if known.version:
            changes.append(HostVersionChanged(known.host, known.version, "", False))
        return changes + self._apply_instance(reported, StartSource.REPORTED)

    def _apply_instance(
        self, instance: Instance, source: StartSource
    ) -> list[HostChange]:
        host = instance.host
        restart = self.starts.record(host, instance.started_ms, source)
        changes: list[HostChange] = [] if restart is None else [restart]
        if restart is not None:
            self._heartbeats.pop(host, None)
        instance = instance._replace(started_ms=self.starts.get(host))
        leaving_start = self._leaving.get(host)
        if leaving_start is not None and is_same_start(
            leaving_start, instance.started_ms
        ):
            instance = instance._replace(is_draining=True)
        if self._instances.get(host) == instance:
            return changes
        self._instances[host] = instance
        return [*changes, HostUpdated(instance)]

    def remove(
        self, hosts: Iterable[str], now: float, after_outage: bool
    ) -> list[HostChange]:
        """Apply the removal of entries, all those known at this time together.

        Hosts can't renew their entries while the store is away, so entries expire, and
        the list after the outage may lack hosts that still serve. If these were dropped
        at once, whole upstreams would be empty until their hosts have written again.
        """
        hosts = list(hosts)
        for host in hosts:
            self._unconfirmed.pop(host, None)
        known = (self._instances.get(host) for host in hosts)
        removed = [
            instance
            for instance in known
            if instance is not None and instance.host not in self._missing
        ]
        self._record_removals(removed, now)
        mass_removals = self._find_mass_removals()
        changes: list[HostChange] = []
        for instance in removed:
            if after_outage:
                changes.append(
                    self._mark_missing(instance.host, now, MissReason.OUTAGE)
                )
            elif instance.upstream in mass_removals:
                changes.append(
                    self._mark_missing(instance.host, now, MissReason.MANY_AT_ONCE)
                )
            else:
                changes.append(self._remove_host(instance.host, now))
        return changes

    def remove_unreadable(
        self, host: str, now: float, after_outage: bool = False
    ) -> list[HostChange]:
        """Remove a host whose entry exists but can no longer be decoded."""
        self._unconfirmed.pop(host, None)
        if host not in self._instances:
            return []
        self._remove_host(host, now)
        return [HostRemoved(host, is_unreadable=True, is_recent=not after_outage)]

    def _record_removals(self, removed: Iterable[Instance], now: float) -> None:
        while self._removals and self._removals[0].at <= now - MISSING_GRACE_SECONDS:
            self._removals.popleft()
        for instance in removed:
            # A draining host has written its entry, so it did not expire in an outage.
            if not instance.is_draining:
                self._removals.append(_Removal(now, instance))

    def _find_mass_removals(self) -> frozenset[str]:
        """Return upstreams that lose more hosts at once than maintenance removes."""
        lost = {removal.instance.host: removal.instance for removal in self._removals}
        in_service = {
            host: instance
            for host, instance in self._instances.items()
            if not instance.is_draining
        }
        counts = Counter(instance.upstream for instance in lost.values())
        totals = Counter(i.upstream for i in (in_service | lost).values())
        return frozenset(
            upstream
            for upstream, count in counts.items()
            if count > MASS_REMOVAL_SHARE * totals[upstream]
            and (count >= MASS_REMOVAL_MIN_HOSTS or count == totals[upstream])
        )

    def count_missing(self) -> int:
        """Return the number of hosts that are kept although their entry is missing."""
        return len(self._missing)

    def is_ignored(self, instance: Instance, heartbeats: int) -> bool:
        """Return whether an entry differs from the one that was last applied."""
        known = self._instances.get(instance.host)
        if known is None or self._heartbeats.get(instance.host, 0) != heartbeats:
            return True
        return not is_same_start(known.started_ms, instance.started_ms)

    def list_unconfirmed(self) -> list[str]:
        """List the hosts whose restored entries are ignored until confirmed."""
        return list(self._unconfirmed)

    def _mark_missing(self, host: str, now: float, reason: MissReason) -> HostChange:
        self._missing[host] = now + MISSING_GRACE_SECONDS
        return HostMissing(host, reason)

    def _remove_host(self, host: str, now: float) -> HostChange:
        self._missing.pop(host, None)
        self._heartbeats.pop(host, None)
        self._gone_hosts[host] = now, self._instances.pop(host)
        self._gone_hosts.move_to_end(host)
        self._evict_gone(now)
        return HostRemoved(host)

    def _evict_gone(self, now: float) -> None:
        while self._gone_hosts:
            host, (at, _) = next(iter(self._gone_hosts.items()))
            if (
                len(self._gone_hosts) <= MAX_REMEMBERED_HOSTS
                and now < at + GONE_RETENTION_SECONDS
            ):
                return
            del self._gone_hosts[host]

    def next_expiry(self) -> float:
        """Return the time at which the next missing host counts as removed."""
        return min(self._missing.values(), default=float("inf"))

    def next_review(self) -> float:
        """Return the time at which to read the whole list for unconfirmed entries."""
        return self._review_at if self._unconfirmed else float("inf")

    def expire(self, now: float, after_outage: bool) -> list[HostChange]:
        """Remove missing hosts whose time is up; called when the store has answered.

        A local timer would remove them even if the store goes away again just after an
        outage, when they can't write. Whole upstreams would then be empty until the
        store is back. Unconfirmed entries get their full time again after each outage.
        """
        if after_outage:
            self._unconfirmed = {
                host: entry._replace(
                    until=max(entry.until, now + MAX_UNCONFIRMED_SECONDS)
                )
                for host, entry in self._unconfirmed.items()
            }
            return []
        expired = [host for host, until in self._missing.items() if until <= now]
        return [self._remove_host(host, now) for host in expired]
