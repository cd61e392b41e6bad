"""Track the hosts of the upstreams by their entries in the store."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Final, NamedTuple

from radishtally.direct.core import EngineReport, Instance, is_same_start
from radishtally.gateway.starts import HostRestarted, HostStarts, StartSource
from radishtally.gateway.unconfirmed import UnconfirmedEntries

MISSING_GRACE_SECONDS: Final = 1.6
"""Time for which a host is kept whose entry is missing just after a store outage. An
entry that expired during the outage is written again within two seconds: most within
one heartbeat interval of 1.2 s, the last of several hundred after 1.54 s. A host that
was removed must get no requests after two seconds, and its removal is detected with a
short delay."""
MAX_MISSING_AVAILABLE_SECONDS: Final = 4.0
"""Time for which the store must have answered, in all, until a missing host is dropped
although outages go on: three heartbeat intervals and a margin."""
MAX_ANSWER_GAP_SECONDS: Final = 1.0
"""Longest time between two answers for which the store counts as available."""
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
LATE_WRITE_SECONDS: Final = 8.0
"""Time within which a write whose answer was lost may still be performed."""


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


class _GoneHost(NamedTuple):
    """Record the removal of a host."""

    at: float
    instance: Instance
    heartbeats: int
    is_deleted: bool
    """Whether its entry was deleted, and is not just overwritten or lapsed."""
    is_unreadable: bool = False
    """Whether its entry was overwritten by one that can't be decoded."""


class Members:
    """Track the listed hosts, and those whose entries the store may have lost.

    A restored store returns entries of an older backup. An entry that is older than
    what is known of the same start of its host is ignored: its heartbeat count grows
    with each write, so a lower count was written earlier. The count is no evidence for
    a removed host, since its last heartbeats before the removal were never reported.
    Its entry is ignored until it differs from the one in the first list of the era, or
    has existed for longer than the store keeps an entry that is not renewed.

    An entry may also be written seconds late: after one of a later start, after a newer
    one of the same start, or after the host's removal. No single observation therefore
    rules out another start for good. What contradicts a newer observation is ignored
    until the same start has written again, which only a running host does; that of a
    removed host, until writes from before its removal can't be on their way any more.
    """

    def __init__(self) -> None:
        self.starts = HostStarts()
        self._instances: dict[str, Instance] = {}
        self._missing: dict[str, float] = {}
        """Missing hosts, with the time at which each counts as removed."""
        self._missing_since: dict[str, float] = {}
        """The same hosts, with the seconds of answers until they were missed."""
        self._available_seconds = 0.0
        """Time for which the store has answered while hosts were missing."""
        self._answered_at = float("-inf")
        self._removals: deque[_Removal] = deque()
        """Removals of hosts in service during the last MISSING_GRACE_SECONDS."""
        self._heartbeats: dict[str, int] = {}
        """Heartbeat counts of the entries that were last applied."""
        self._gone_hosts: OrderedDict[str, _GoneHost] = OrderedDict()
        """Hosts removed in the last GONE_RETENTION_SECONDS."""
        self._entered_at: float | None = None
        """Time at which the current era was entered; None once its list was read."""
        self._unconfirmed = UnconfirmedEntries()
        self._leaving: OrderedDict[str, int] = OrderedDict()
        """Starts of hosts that have announced in an answer that they are leaving."""

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
        self._unconfirmed.begin_review(listed.keys(), now)
        for host, instance in listed.items():
            count = heartbeats.get(host, 0)
            if self._entered_at is not None and self._is_behind(instance, count):
                self._unconfirmed.hold(instance, count, now, is_restored=True)
                continue
            if self._entered_at is not None and self._instances.get(host) == instance:
                # The same entry was already seen with a later write.
                count = max(count, self._heartbeats.get(host, 0))
            changes += self.update(instance, count, after_outage, now)
        self._unconfirmed.end_review(now)
        self._entered_at = None
        return changes

    def _is_behind(self, instance: Instance, heartbeats: int) -> bool:
        """Return whether a restored entry may be older than what is known."""
        host = instance.host
        if host in self._gone_hosts:
            return is_same_start(
                self._gone_hosts[host].instance.started_ms, instance.started_ms
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
        """Apply one entry, unless it may be outdated and was not written again."""
        host, unconfirmed = instance.host, self._unconfirmed
        if unconfirmed.is_unchanged(instance, heartbeats, now):
            return []
        if not after_outage and self._may_be_late(instance, heartbeats, now):
            until = self._gone_hosts[host].at + LATE_WRITE_SECONDS
            unconfirmed.hold_until(instance, heartbeats, now, until)
            return []
        is_doubtful = self._is_doubtful(instance, heartbeats)
        if is_doubtful and not unconfirmed.is_confirmed(instance, heartbeats, now):
            unconfirmed.hold(instance, heartbeats, now)
            return []
        unconfirmed.release(instance)
        self._revive_start(instance)
        changes: list[HostChange] = []
        if self._missing.pop(host, None) is not None:
            del self._missing_since[host]
            changes.append(HostReturned(host))
        known = self._instances.get(host)
        if known is not None and known.started_ms and not known.version:
            # An entry that names no start may be that of an earlier one.
            version = instance.version if instance.started_ms else ""
            instance = instance._replace(version=version)
        changes += self._describe_version_change(instance, after_outage)
        changes += self._apply_instance(instance, StartSource.LISTED)
        self._heartbeats[host] = heartbeats
        self._gone_hosts.pop(host, None)
        return changes

    def _may_be_late(self, instance: Instance, heartbeats: int, now: float) -> bool:
        """Return whether an entry may have been written before its host's removal.

        Several writes of the removed start may be late, so that a higher heartbeat
        count proves nothing; another start is in service once it has written twice.
        """
        is_recent = self._is_removal_recent(instance.host, now)
        if not is_recent or not self._has_ready_host(instance.upstream):
            return False
        gone = self._gone_hosts[instance.host].instance
        if is_same_start(gone.started_ms, instance.started_ms):
            return True
        return not self._unconfirmed.is_confirmed(instance, heartbeats, now)

    def _is_doubtful(self, instance: Instance, heartbeats: int) -> bool:
        """Return whether an entry may have been written before what is known."""
        host, started_ms = instance.host, instance.started_ms
        if self.starts.is_ended(host, started_ms):
            return True
        known = self._instances.get(host)
        if known is not None and is_same_start(known.started_ms, started_ms):
            return heartbeats < self._heartbeats.get(host, 0)
        if known is not None:
            return known.is_draining and not instance.is_draining
        gone = self._gone_hosts.get(host)
        if gone is None:
            return False
        is_same = is_same_start(gone.instance.started_ms, started_ms)
        return is_same and heartbeats < gone.heartbeats

    def _is_removal_recent(self, host: str, now: float) -> bool:
        gone = self._gone_hosts.get(host)
        if gone is None or not gone.is_deleted:
            return False
        return now < gone.at + LATE_WRITE_SECONDS

    def _has_ready_host(self, upstream: str) -> bool:
        return any(
            known.upstream == upstream and not known.is_draining
            for known in self._instances.values()
        )

    def _admit_needed(self, now: float) -> list[HostChange]:
        """Apply held entries of removed hosts whose upstreams have no other host.

        Their entries may only have lapsed, and all callers would be refused. Entries of
        an older copy of the store don't show that their hosts still live.
        """
        changes: list[HostChange] = []
        for instance, heartbeats in self._unconfirmed.list_written():
            is_gone = instance.host not in self._instances
            if not is_gone or not self._is_removal_recent(instance.host, now):
                continue
            if not instance.is_draining and not self._has_ready_host(instance.upstream):
                self._unconfirmed.discard(instance.host)
                changes += self.update(instance, heartbeats, now=now)
        return changes

    def _revive_start(self, instance: Instance) -> None:
        """Make a start current again that has proved not to have ended.

        Its host has run all the time, so what was learned meanwhile is its own.
        """
        host = instance.host
        if not self.starts.revive(host, instance.started_ms):
            return
        if host in self._leaving:
            self._leaving[host] = instance.started_ms

    def _describe_version_change(
        self, instance: Instance, after_outage: bool
    ) -> list[HostChange]:
        """Return the change of version that an entry shows, if there is one."""
        host, known = instance.host, self._instances.get(instance.host)
        is_recent = known is not None and not after_outage
        gone = self._gone_hosts.get(host) if known is None else None
        known = known if gone is None else gone.instance
        if known is None:
            return []
        if known.version != instance.version:
            change = known.version, instance.version, is_recent
        elif gone is not None and gone.is_unreadable and instance.version:
            # Its version has been unknown since, and no start of another one was seen.
            change = "", instance.version, not after_outage
        else:
            return []
        return [HostVersionChanged(host, *change)]

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
            self._unconfirmed.request_review(now)
            return []
        if not report.started_ms or report.started_ms == known.started_ms:
            return []
        reported = known._replace(started_ms=report.started_ms)
        if not known.started_ms:
            return self._apply_instance(reported, StartSource.REPORTED)
        # The report names no version. It may also be late and of an earlier start, so a
        # draining host is ready again only once its entry shows the new start.
        reported = reported._replace(role=report.role, version="")
        self._unconfirmed.request_review(now)
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
            self._unconfirmed.discard(host)
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
                changes.append(self._remove_host(instance.host, now, is_deleted=True))
        return changes

    def remove_unreadable(
        self, host: str, now: float, after_outage: bool = False
    ) -> list[HostChange]:
        """Remove a host whose entry exists but can no longer be decoded."""
        self._unconfirmed.discard(host)
        if host not in self._instances:
            return []
        self._remove_host(host, now, is_deleted=False)
        gone = self._gone_hosts[host]
        self._gone_hosts[host] = gone._replace(is_unreadable=True)
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
        return self._unconfirmed.list_hosts()

    def _count_available(self, now: float) -> None:
        seconds = now - self._answered_at
        if seconds <= MAX_ANSWER_GAP_SECONDS:
            self._available_seconds += seconds
        self._answered_at = now

    def _list_long_missing(self) -> list[str]:
        since = self._available_seconds - MAX_MISSING_AVAILABLE_SECONDS
        return [host for host, at in self._missing_since.items() if at <= since]

    def _mark_missing(self, host: str, now: float, reason: MissReason) -> HostChange:
        self._missing_since[host] = self._available_seconds
        self._missing[host] = now + MISSING_GRACE_SECONDS
        return HostMissing(host, reason)

    def _remove_host(self, host: str, now: float, *, is_deleted: bool) -> HostChange:
        self._missing.pop(host, None)
        self._missing_since.pop(host, None)
        heartbeats = self._heartbeats.pop(host, 0)
        instance = self._instances.pop(host)
        self._gone_hosts[host] = _GoneHost(now, instance, heartbeats, is_deleted)
        self._gone_hosts.move_to_end(host)
        self._evict_gone(now)
        return HostRemoved(host)

    def _evict_gone(self, now: float) -> None:
        while self._gone_hosts:
            host, gone = next(iter(self._gone_hosts.items()))
            if (
                len(self._gone_hosts) <= MAX_REMEMBERED_HOSTS
                and now < gone.at + GONE_RETENTION_SECONDS
            ):
                return
            del self._gone_hosts[host]

    def next_expiry(self) -> float:
        """Return the time at which the next missing host counts as removed."""
        return min(self._missing.values(), default=float("inf"))

    def next_review(self) -> float:
        """Return the time at which to read the whole list for unconfirmed entries."""
        return self._unconfirmed.next_review()

    def expire(self, now: float, after_outage: bool) -> list[HostChange]:
        """Remove missing hosts whose time is up; called when the store has answered.

        A local timer would remove them even if the store goes away again just after an
        outage, when they can't write. Whole upstreams would then be empty until the
        store is back. Unconfirmed entries get their full time again after each outage.
        Outages that go on don't keep a host forever: in the time between them it could
        have written its entry.
        """
        self._count_available(now)
        if after_outage:
            self._unconfirmed.extend(now)
            expired = self._list_long_missing()
        else:
            expired = [host for host, until in self._missing.items() if until <= now]
        changes: list[HostChange] = [
            self._remove_host(host, now, is_deleted=False) for host in expired
        ]
        return changes if after_outage else changes + self._admit_needed(now)
