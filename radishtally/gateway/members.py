"""Follow which hosts stand behind the upstreams."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Final, NamedTuple

from radishtally.direct.core import EngineReport, Instance, is_same_start
from radishtally.gateway.starts import HostRestarted, Starts, StartSource

MISSING_GRACE_SECONDS: Final = 1.6
"""Time for which an entry is kept that is missing just after the store's return. One
that lapsed meanwhile is back within two seconds, most within a heartbeat of 1.2 s, the
last of some hundreds after 1.54 s; one that was removed must be given up within two
seconds, and was noticed a little late."""
MASS_REMOVAL_SHARE: Final = 0.25
"""Share of an upstream's hosts above which removals within MISSING_GRACE_SECONDS count
as entries that expired during an undetected store outage: a pending long poll does not
show that the store was away. Planned maintenance removes fewer hosts without notice. If
it removes more, they are kept no longer than a draining host may get requests."""
MASS_HOSTS: Final = 2
"""Fewest such removals: that one host leaves a small upstream is ordinary. The last one
is kept all the same, as there is no other that could serve meanwhile."""

REMEMBER_SECONDS: Final = 60.0
"""Time for which a host that is gone is remembered: longer than a copy of the store is
old, so that an entry in it that is not remembered is one of a host that was there."""
MAX_REMEMBERED: Final = 1_000
"""Most such hosts, those that went last."""
REVIEW_SECONDS: Final = 1.5
"""Time after which the list is read again while an entry of an older copy is in doubt:
a heartbeat of 1.2 s, which tells no change, and a margin."""
SILENCE_SECONDS: Final = 6.0
"""Time for which an entry of an older copy may stand without a write of its host: the
store drops it after three heartbeats, and needs some time to come to it."""


class HostUpdated(NamedTuple):
    """Say that a host is there, and as what."""

    instance: Instance


class HostRemoved(NamedTuple):
    """Say that a host is gone."""

    host: str


class MissReason(StrEnum):
    """Say why a host is kept whose entry is gone."""

    OUTAGE = "outage"
    MANY_AT_ONCE = "many at once"


class HostMissing(NamedTuple):
    """Say that the list lacks a host, which is kept until it may have written again."""

    host: str
    reason: MissReason


class HostReturned(NamedTuple):
    """Say that a host that was missing is on the list again."""

    host: str


HostChange = HostUpdated | HostRemoved | HostMissing | HostReturned | HostRestarted


class _Removal(NamedTuple):
    """Remember that a host was removed that had not said that it leaves."""

    at: float
    instance: Instance


class _Doubt(NamedTuple):
    """Hold an entry of an older copy that says nothing until its host has written."""

    instance: Instance
    beats: int
    until: float
    """Time from which an entry that still stands must have been written again."""


class Members:
    """Hold the hosts by the store's list, and those that the list may have lost.

    A store that was restored shows entries of an older copy. One that is behind what is
    known of the same start is passed over: its count of heartbeats grows with each
    write, so that a lower one was written earlier. Of a host that is gone the count
    does not tell, since its last heartbeats before it went were never shown. Its
    entry says nothing until it has changed from what the first list of the era held,
    or has stood for longer than the store keeps an entry that is not renewed.
    """

    def __init__(self) -> None:
        self.starts = Starts()
        self._instances: dict[str, Instance] = {}
        self._missing: dict[str, float] = {}
        """Times at which hosts that the list lacks count as gone."""
        self._removals: deque[_Removal] = deque()
        """Removals of hosts in service, the last MISSING_GRACE_SECONDS' ones."""
        self._beats: dict[str, int] = {}
        """Counts of heartbeats in the entries that were taken last."""
        self._gone: OrderedDict[str, tuple[float, Instance]] = OrderedDict()
        """Hosts that went in the last REMEMBER_SECONDS, with when."""
        self._entered_at: float | None = None
        """Time of the store's restore until the list has been read after it."""
        self._doubts: dict[str, _Doubt] = {}
        self._leaving: OrderedDict[str, int] = OrderedDict()
        """Starts of hosts that have said themselves that they leave."""
        self._review_at = float("inf")

    def __iter__(self):  # noqa: ANN204
        """Iterate over the hosts."""
        return iter(self._instances.values())

    def enter_era(self, now: float) -> None:
        """Take that the store was restored: the next list is that of an older copy."""
        self._entered_at = now
        # Hosts that are missing could not write anew before this.
        until = now + MISSING_GRACE_SECONDS
        self._missing = dict.fromkeys(self._missing, until)
        self._doubts.clear()
        self._review_at = float("inf")
        self._forget_gone(now)

    def replace(
        self,
        instances: Iterable[Instance],
        now: float,
        after_outage: bool,
        beats: Mapping[str, int] | None = None,
    ) -> list[HostChange]:
        """Take the whole list, with its hosts' counts of heartbeats."""
        beats = beats or {}
        listed = {instance.host: instance for instance in instances}
        gone = self._instances.keys() - listed.keys()
        # Hosts could write from the restore on, however late the list is read.
        since = now if self._entered_at is None else self._entered_at
        changes = self.remove(gone, since, after_outage)
        doubts = self._find_doubts(listed, beats, now)
        for host, instance in listed.items():
            if host in doubts:
                continue
            count = beats.get(host, 0)
            if self._entered_at is not None and self._instances.get(host) == instance:
                # Unchanged in an older copy, it is known from a later write.
                count = max(count, self._beats.get(host, 0))
            changes += self.set(instance, count)
        self._doubts = doubts
        self._review_at = now + REVIEW_SECONDS if doubts else float("inf")
        self._entered_at = None
        return changes

    def _find_doubts(
        self, listed: Mapping[str, Instance], beats: Mapping[str, int], now: float
    ) -> dict[str, _Doubt]:
        """Find the entries that their hosts have not written in the present era."""
        if self._entered_at is not None:
            return {
                host: _Doubt(instance, beats.get(host, 0), now + SILENCE_SECONDS)
                for host, instance in listed.items()
                if self._is_behind(instance, beats.get(host, 0))
            }
        return {
            host: doubt
            for host, doubt in self._doubts.items()
            if now < doubt.until
            and (listed.get(host), beats.get(host, 0)) == (doubt.instance, doubt.beats)
        }

    def _is_behind(self, instance: Instance, beats: int) -> bool:
        """Tell whether a copy's entry may be older than what is known of its host."""
        host = instance.host
        if host in self._gone:
            return is_same_start(self._gone[host][1].started_ms, instance.started_ms)
        known = self._instances.get(host)
        if known is None or not is_same_start(known.started_ms, instance.started_ms):
            return False
        if host in self._missing:
            return True
        shown = instance._replace(started_ms=known.started_ms)
        return shown != known and beats <= self._beats.get(host, 0)

    def set(self, instance: Instance, beats: int = 0) -> list[HostChange]:
        """Take one entry; one of a start that has ended says nothing."""
        host = instance.host
        if self.starts.is_ended(host, instance.started_ms):
            return []
        changes: list[HostChange] = []
        if self._missing.pop(host, None) is not None:
            changes.append(HostReturned(host))
        changes += self._take(instance, StartSource.LISTED)
        self._beats[host] = beats
        self._doubts.pop(host, None)
        self._gone.pop(host, None)
        return changes

    def is_present(self, asked: Instance) -> bool:
        """Tell whether a host that was asked is there, and has not started again."""
        known = self._instances.get(asked.host)
        if known is None or self.starts.is_ended(asked.host, asked.started_ms):
            return False
        return is_same_start(known.started_ms, asked.started_ms)

    def take_leaving(self, asked: Instance) -> list[HostChange]:
        """Take that a host has said in an answer that it leaves.

        Its entry may say otherwise for as long as the store is away, and an older copy
        of the store even after it did not. Only another start of it comes back.
        """
        if not self.is_present(asked):
            return []
        known = self._instances[asked.host]
        self._leaving[asked.host] = known.started_ms
        self._leaving.move_to_end(asked.host)
        while len(self._leaving) > MAX_REMEMBERED:
            self._leaving.popitem(last=False)
        return self._take(known, StartSource.ANSWERED)

    def take_report(self, asked: Instance, report: EngineReport) -> list[HostChange]:
        """Take what an engine said when asked, which may be newer than its entry.

        Where the list has shown another start since, the report tells nothing of that
        one: by then another host may have answered at the earlier one's address.
        """
        known = self._instances.get(asked.host)
        if known is None or known.started_ms != asked.started_ms:
            return []
        if self.starts.is_ended(asked.host, report.started_ms):
            return []
        if not report.started_ms or report.started_ms == known.started_ms:
            return []
        shown = known._replace(started_ms=report.started_ms)
        if known.started_ms:
            # That the earlier start was draining does not hold for this one.
            shown = shown._replace(role=report.role, is_draining=False)
        return self._take(shown, StartSource.REPORTED)

    def _take(self, instance: Instance, source: StartSource) -> list[HostChange]:
        host = instance.host
        restart = self.starts.note(host, instance.started_ms, source)
        changes: list[HostChange] = [] if restart is None else [restart]
        if restart is not None:
            self._beats.pop(host, None)
        instance = instance._replace(started_ms=self.starts.get(host))
        left = self._leaving.get(host)
        if left is not None and is_same_start(left, instance.started_ms):
            instance = instance._replace(is_draining=True)
        if self._instances.get(host) == instance:
            return changes
        self._instances[host] = instance
        return [*changes, HostUpdated(instance)]

    def remove(
        self, hosts: Iterable[str], now: float, after_outage: bool
    ) -> list[HostChange]:
        """Take that entries are gone, all that are known to be at this time.

        While the store is away hosts can't renew their entries, and entries lapse:
        the list after its return may lack hosts that serve as well as before. Dropped
        at once, whole upstreams would be empty until their hosts have written again.
        """
        hosts = list(hosts)
        for host in hosts:
            self._doubts.pop(host, None)
        known = (self._instances.get(host) for host in hosts)
        removed = [
            instance
            for instance in known
            if instance is not None and instance.host not in self._missing
        ]
        self._note_removals(removed, now)
        emptied = self._find_emptied()
        changes: list[HostChange] = []
        for instance in removed:
            if after_outage:
                changes.append(self._miss(instance.host, now, MissReason.OUTAGE))
            elif instance.upstream in emptied:
                changes.append(self._miss(instance.host, now, MissReason.MANY_AT_ONCE))
            else:
                changes.append(self._forget(instance.host, now))
        return changes

    def reject(self, host: str, now: float) -> list[HostChange]:
        """Take that a host's entry is there and names no host any more."""
        self._doubts.pop(host, None)
        return [self._forget(host, now)] if host in self._instances else []

    def _note_removals(self, removed: Iterable[Instance], now: float) -> None:
        while self._removals and self._removals[0].at <= now - MISSING_GRACE_SECONDS:
            self._removals.popleft()
        for instance in removed:
            # A host that says that it leaves has written, so its entry did not lapse.
            if not instance.is_draining:
                self._removals.append(_Removal(now, instance))

    def _find_emptied(self) -> frozenset[str]:
        """Find the upstreams that lose more hosts at once than leave by themselves."""
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
            and (count >= MASS_HOSTS or count == totals[upstream])
        )

    def count_missing(self) -> int:
        """Count the hosts that the list lacks and that are kept all the same."""
        return len(self._missing)

    def list_doubted(self) -> list[str]:
        """List the hosts whose entries of an older copy say nothing."""
        return list(self._doubts)

    def _miss(self, host: str, now: float, reason: MissReason) -> HostChange:
        self._missing[host] = now + MISSING_GRACE_SECONDS
        return HostMissing(host, reason)

    def _forget(self, host: str, now: float) -> HostChange:
        self._missing.pop(host, None)
        self._beats.pop(host, None)
        self._gone[host] = now, self._instances.pop(host)
        self._gone.move_to_end(host)
        self._forget_gone(now)
        return HostRemoved(host)

    def _forget_gone(self, now: float) -> None:
        while self._gone:
            host, (at, _) = next(iter(self._gone.items()))
            if len(self._gone) <= MAX_REMEMBERED and now < at + REMEMBER_SECONDS:
                return
            del self._gone[host]

    def next_expiry(self) -> float:
        """Give the time at which the next missing host counts as gone."""
        return min(self._missing.values(), default=float("inf"))

    def next_review(self) -> float:
        """Give the time at which the whole list is to be read for entries in doubt."""
        return self._review_at if self._doubts else float("inf")

    def expire(self, now: float, after_outage: bool) -> list[HostChange]:
        """Give up the hosts that have not come back, on an answer of the store.

        A timer of the gateway's own would give them up while the store is away again
        just after its return, when they can't write anew, and whole upstreams would be
        empty until it is back. Just after that return they get their time once more.
        """
        if after_outage:
            self._doubts = {
                host: doubt._replace(until=max(doubt.until, now + SILENCE_SECONDS))
                for host, doubt in self._doubts.items()
            }
            return []
        late = [host for host, until in self._missing.items() if until <= now]
        return [self._forget(host, now) for host in late]
