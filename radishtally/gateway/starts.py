"""Tell the starts of a host apart, whatever shows them first."""

from collections import OrderedDict
from enum import StrEnum
from typing import Final, NamedTuple

ENDED_STARTS: Final = 8
"""Ended starts of a host that are remembered. What still shows one of them is seconds
old, as a heartbeat or a report on its way; a host does not start so often meanwhile."""
MAX_HOSTS: Final = 10_000
"""Hosts whose starts are remembered, those seen last: seven times the hosts that are
planned for, so that all on the list are among them."""


class StartSource(StrEnum):
    """Name what shows a start."""

    LISTED = "list"
    REPORTED = "report"
    ANSWERED = "answer"


class HostRestarted(NamedTuple):
    """Say that a host has started again, and knows nothing of before."""

    host: str
    before: int
    """Start that has ended, in Unix milliseconds of the host's clock."""
    after: int
    source: StartSource


class _HostStarts(NamedTuple):
    """Hold the starts of one host."""

    present: int
    ended: tuple[int, ...] = ()
    restarts: int = 0


class Starts:
    """Know the present start of each host, and those that have ended.

    Sources differ in age: the list shows a new start with its next heartbeat only, and
    a report may come late. Taken by its time, an old entry would undo what a report has
    shown; and a host's clock may step back between two starts. So a start that has
    ended never becomes the present one again, and any other one does at once.
    """

    def __init__(self) -> None:
        self._hosts: OrderedDict[str, _HostStarts] = OrderedDict()

    def get(self, host: str) -> int:
        """Give a host's present start; 0 if the host never told one."""
        known = self._hosts.get(host)
        return 0 if known is None else known.present

    def name(self, host: str) -> str:
        """Name a host's present start; the first one and one never told are alike."""
        known = self._hosts.get(host)
        return f"{host}.{0 if known is None else known.restarts}"

    def is_ended(self, host: str, started_ms: int) -> bool:
        """Tell whether a start is known to have ended; one never told is not."""
        known = self._hosts.get(host)
        return known is not None and started_ms in known.ended

    def note(
        self, host: str, started_ms: int, source: StartSource
    ) -> HostRestarted | None:
        """Take a start that has not ended; give the restart that it shows.

        A host that tells its start for the first time has not started again for that.
        """
        if not started_ms or self.is_ended(host, started_ms):
            return None
        known = self._hosts.get(host)
        if known is None:
            self._hosts[host] = _HostStarts(started_ms)
            self._forget_oldest()
            return None
        self._hosts.move_to_end(host)
        if known.present == started_ms:
            return None
        ended = (*known.ended, known.present)[-ENDED_STARTS:]
        self._hosts[host] = _HostStarts(started_ms, ended, known.restarts + 1)
        return HostRestarted(host, known.present, started_ms, source)

    def _forget_oldest(self) -> None:
        while len(self._hosts) > MAX_HOSTS:
            self._hosts.popitem(last=False)
