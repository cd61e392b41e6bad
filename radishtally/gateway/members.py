"""Follow which hosts stand behind the upstreams."""

from collections import Counter, deque
from collections.abc import Iterable
from enum import StrEnum
from typing import Final, NamedTuple

from radishtally.direct.core import EngineReport, Instance
from radishtally.gateway.starts import Restart, Source, Starts

LAPSE_SECONDS: Final = 1.6
"""Time for which an entry is kept that is missing just after the store's return. One
that lapsed meanwhile is back within two seconds, most within a heartbeat of 1.2 s, the
last of some hundreds after 1.54 s; one that was removed must be given up within two
seconds, and was noticed a little late."""
MASS_SHARE: Final = 0.25
"""Share of an upstream's hosts above which removals within LAPSE_SECONDS are taken for
entries that lapsed in an outage that went unseen: a question for changes that the store
holds all the while tells of none. Planned work takes out fewer without a word; where it
takes out more, they are kept no longer than a leaving host may get requests."""
MASS_HOSTS: Final = 2
"""Fewest such removals: that one host leaves a small upstream is ordinary. The last one
is kept all the same, as there is no other that could serve meanwhile."""


class Set(NamedTuple):
    """Say that a host is there, and as what."""

    instance: Instance


class Forget(NamedTuple):
    """Say that a host is gone."""

    host: str


class MissReason(StrEnum):
    """Say why a host is kept whose entry is gone."""

    OUTAGE = "outage"
    MANY_AT_ONCE = "many at once"


class Miss(NamedTuple):
    """Say that the list lacks a host, which is kept until it may have written again."""

    host: str
    reason: MissReason


class Return(NamedTuple):
    """Say that a host that was missing is on the list again."""

    host: str


Change = Set | Forget | Miss | Return | Restart


class _Removal(NamedTuple):
    """Remember that a host was removed that had not said that it leaves."""

    at: float
    instance: Instance


class Members:
    """Hold the hosts by the store's list, and those that the list may have lost."""

    def __init__(self) -> None:
        self.starts = Starts()
        self._instances: dict[str, Instance] = {}
        self._missing: dict[str, float] = {}
        """Times at which hosts that the list lacks count as gone."""
        self._removals: deque[_Removal] = deque()
        """Removals of hosts in service, the last LAPSE_SECONDS' ones."""

    def __iter__(self):  # noqa: ANN204
        """Iterate over the hosts."""
        return iter(self._instances.values())

    def replace(
        self, instances: Iterable[Instance], now: float, after_outage: bool
    ) -> list[Change]:
        """Take the whole list."""
        listed = {instance.host: instance for instance in instances}
        gone = self._instances.keys() - listed.keys()
        changes = self.remove(gone, now, after_outage)
        for instance in listed.values():
            changes += self.set(instance)
        return changes

    def set(self, instance: Instance) -> list[Change]:
        """Take one entry; one of a start that has ended says nothing."""
        host = instance.host
        if self.starts.is_ended(host, instance.started_ms):
            return []
        changes: list[Change] = []
        if self._missing.pop(host, None) is not None:
            changes.append(Return(host))
        return changes + self._take(instance, Source.LISTED)

    def take_report(self, asked: Instance, report: EngineReport) -> list[Change]:
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
        return self._take(shown, Source.REPORTED)

    def _take(self, instance: Instance, source: Source) -> list[Change]:
        host = instance.host
        restart = self.starts.note(host, instance.started_ms, source)
        changes: list[Change] = [] if restart is None else [restart]
        instance = instance._replace(started_ms=self.starts.get(host))
        if self._instances.get(host) == instance:
            return changes
        self._instances[host] = instance
        return [*changes, Set(instance)]

    def remove(
        self, hosts: Iterable[str], now: float, after_outage: bool
    ) -> list[Change]:
        """Take that entries are gone, all that are known to be at this time.

        While the store is away hosts can't renew their entries, and entries lapse:
        the list after its return may lack hosts that serve as well as before. Dropped
        at once, whole upstreams would be empty until their hosts have written again.
        """
        known = (self._instances.get(host) for host in hosts)
        removed = [
            instance
            for instance in known
            if instance is not None and instance.host not in self._missing
        ]
        self._note_removals(removed, now)
        emptied = self._find_emptied()
        changes: list[Change] = []
        for instance in removed:
            if after_outage:
                changes.append(self._miss(instance.host, now, MissReason.OUTAGE))
            elif instance.upstream in emptied:
                changes.append(self._miss(instance.host, now, MissReason.MANY_AT_ONCE))
            else:
                changes.append(self._forget(instance.host))
        return changes

    def reject(self, host: str) -> list[Change]:
        """Take that a host's entry is there and names no host any more."""
        return [self._forget(host)] if host in self._instances else []

    def _note_removals(self, removed: Iterable[Instance], now: float) -> None:
        while self._removals and self._removals[0].at <= now - LAPSE_SECONDS:
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
            if count > MASS_SHARE * totals[upstream]
            and (count >= MASS_HOSTS or count == totals[upstream])
        )

    def count_missing(self) -> int:
        """Count the hosts that the list lacks and that are kept all the same."""
        return len(self._missing)

    def _miss(self, host: str, now: float, reason: MissReason) -> Change:
        self._missing[host] = now + LAPSE_SECONDS
        return Miss(host, reason)

    def _forget(self, host: str) -> Change:
        self._missing.pop(host, None)
        del self._instances[host]
        return Forget(host)

    def next_expiry(self) -> float:
        """Give the time at which the next missing host counts as gone."""
        return min(self._missing.values(), default=float("inf"))

    def expire(self, now: float, after_outage: bool) -> list[Change]:
        """Give up the hosts that have not come back, on an answer of the store.

        A timer of the gateway's own would give them up while the store is away again
        just after its return, when they can't write anew, and whole upstreams would be
        empty until it is back. Just after that return they get their time once more.
        """
        if after_outage:
            return []
        late = [host for host, until in self._missing.items() if until <= now]
        return [self._forget(host) for host in late]
