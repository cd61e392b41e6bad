"""Follow which hosts stand behind the upstreams."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from radishtally.direct.core import Instance

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


Change = Set | Forget | Miss | Return


class Members:
    """Hold the hosts by the store's list, and those that the list may have lost."""

    def __init__(self) -> None:
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
        """Take one entry."""
        returned: list[Change] = []
        if self._missing.pop(instance.host, None) is not None:
            returned = [Return(instance.host)]
        if self._instances.get(instance.host) == instance:
            return returned
        self._instances[instance.host] = instance
        return [*returned, Set(instance)]

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
