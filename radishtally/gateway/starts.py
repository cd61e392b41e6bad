"""Distinguish the successive starts of a host, whichever source reports them first."""

from collections import OrderedDict
from enum import StrEnum
from typing import Final, NamedTuple

MAX_ENDED_STARTS: Final = 8
"""Number of ended starts to remember per host. A heartbeat or report in transit that
still shows one of them is only seconds old, and a host does not restart more often in
that time."""
MAX_HOSTS: Final = 10_000
"""Maximum number of hosts whose starts are remembered, most recently seen ones: seven
times the number of hosts supported, so that all listed hosts are included."""


class StartSource(StrEnum):
    """Name the source that reported a start."""

    LISTED = "list"
    REPORTED = "report"
    ANSWERED = "answer"


class HostRestarted(NamedTuple):
    """Event: a host has restarted and lost its state."""

    host: str
    before: int
    """Start time of the ended start, in Unix milliseconds of the host's clock."""
    after: int
    source: StartSource


class _StartHistory(NamedTuple):
    """Hold the current and the ended starts of one host."""

    present: int
    ended: tuple[int, ...] = ()
    restarts: int = 0


class HostStarts:
    """Track the current start of each host and its ended starts.

    Sources differ in staleness: the list shows a new start only with the next
    heartbeat, and a report may arrive late. Starts can't be ordered by the time at
    which they are seen, since an old entry would then undo a newer report, nor by their
    start time, since a host's clock may be set back between two starts. Instead, any
    unknown start becomes current immediately, and one that has ended only when it has
    been seen to write again: what seemed a newer start was an old entry or report then.
    """

    def __init__(self) -> None:
        self._hosts: OrderedDict[str, _StartHistory] = OrderedDict()

    def get(self, host: str) -> int:
        """Return a host's current start; 0 if the host never reported one."""
        known = self._hosts.get(host)
        return 0 if known is None else known.present

    def name_incarnation(self, host: str) -> str:
        """Return a name for a host's current start, or for its first if unreported."""
        known = self._hosts.get(host)
        return f"{host}.{0 if known is None else known.restarts}"

    def is_ended(self, host: str, started_ms: int) -> bool:
        """Return whether a start is known to have ended; False if unreported."""
        known = self._hosts.get(host)
        return known is not None and started_ms in known.ended

    def record(
        self, host: str, started_ms: int, source: StartSource
    ) -> HostRestarted | None:
        """Record a start unless it has ended; return the restart that it implies.

        The first start that a host reports is not a restart.
        """
        if not started_ms or self.is_ended(host, started_ms):
            return None
        known = self._hosts.get(host)
        if known is None:
            self._hosts[host] = _StartHistory(started_ms)
            self._forget_oldest()
            return None
        self._hosts.move_to_end(host)
        if known.present == started_ms:
            return None
        ended = (*known.ended, known.present)[-MAX_ENDED_STARTS:]
        self._hosts[host] = _StartHistory(started_ms, ended, known.restarts + 1)
        return HostRestarted(host, known.present, started_ms, source)

    def revive(self, host: str, started_ms: int) -> bool:
        """Make an ended start current again; return whether it had ended.

        The host keeps its incarnation: it has run that start all the time.
        """
        if not self.is_ended(host, started_ms):
            return False
        known = self._hosts[host]
        others = (start for start in known.ended if start != started_ms)
        ended = (*others, known.present)[-MAX_ENDED_STARTS:]
        self._hosts[host] = known._replace(present=started_ms, ended=ended)
        return True

    def _forget_oldest(self) -> None:
        while len(self._hosts) > MAX_HOSTS:
            self._hosts.popitem(last=False)
