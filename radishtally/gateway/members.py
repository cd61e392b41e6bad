"""Follow which hosts stand behind the upstreams."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from radishtally.direct.core import EngineReport, Instance
from radishtally.gateway.starts import Restart, Source, Starts

LAPSE_SECONDS: Final = 1.5
"""Time for which an entry is kept that is missing just after the store's return. One
that lapsed meanwhile is back within two seconds, most within a heartbeat of 1.2 s; one
that was removed must be given up within two seconds, and was noticed a little late."""


class Set(NamedTuple):
    """Say that a host is there, and as what."""

    instance: Instance


class Forget(NamedTuple):
    """Say that a host is gone."""

    host: str


class Miss(NamedTuple):
    """Say that the list lacks a host, which is kept until it may have written again."""

    host: str


class Return(NamedTuple):
    """Say that a host that was missing is on the list again."""

    host: str


Change = Set | Forget | Miss | Return | Restart


class Members:
    """Hold the hosts by the store's list, and those that the list may have lost."""

    def __init__(self) -> None:
        self.starts = Starts()
        self._instances: dict[str, Instance] = {}
        self._missing: dict[str, float] = {}
        """Times at which hosts that the list lacks count as gone."""

    def __iter__(self):  # noqa: ANN204
        """Iterate over the hosts."""
        return iter(self._instances.values())

    def replace(
        self, instances: Iterable[Instance], now: float, after_outage: bool
    ) -> list[Change]:
        """Take the whole list."""
        listed = {instance.host: instance for instance in instances}
        changes: list[Change] = []
        for host in self._instances.keys() - listed.keys():
            changes += self.remove(host, now, after_outage)
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

    def remove(self, host: str, now: float, after_outage: bool) -> list[Change]:
        """Take that an entry is gone.

        While the store is away hosts can't renew their entries, and entries lapse:
        the list after its return may lack hosts that serve as well as before. Dropped
        at once, whole upstreams would be empty until their hosts have written again.
        """
        if after_outage:
            return self._miss(host, now)
        self._missing.pop(host, None)
        if self._instances.pop(host, None) is None:
            return []
        return [Forget(host)]

    def count_missing(self) -> int:
        """Count the hosts that the list lacks and that are kept all the same."""
        return len(self._missing)

    def _miss(self, host: str, now: float) -> list[Change]:
        if host in self._missing or host not in self._instances:
            return []
        self._missing[host] = now + LAPSE_SECONDS
        return [Miss(host)]

    def next_expiry(self) -> float:
        """Give the time at which the next missing host counts as gone."""
        return min(self._missing.values(), default=float("inf"))

    def expire(self, now: float) -> list[Change]:
        """Give up the hosts that have not come back."""
        late = [host for host, until in self._missing.items() if until <= now]
        return [change for host in late for change in self.remove(host, now, False)]
