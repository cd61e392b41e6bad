"""Count the requests of each team by window, and merge the counts of all gateways.

Counts of one process and window only grow, so they can be sent again and over several
ways: the highest one that was received counts.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from radishtally.links.gateway_messages import TeamCount, UsageCounts
from radishtally.usage.const import (
    CLOSE_SECONDS,
    KEPT_WINDOWS,
    MAX_CLOSE_WAIT_SECONDS,
)


class Source(NamedTuple):
    """Identify the process that has counted."""

    gateway: str
    incarnation: str


@dataclass(slots=True)
class _Count:
    """Hold what one process has counted in one window."""

    requests: Counter[str] = field(default_factory=Counter)
    is_closed: bool = False


class UsageLedger:
    """Hold the counts of this process and of all others that are known."""

    def __init__(self, own: Source, window_seconds: float) -> None:
        self._own = own
        self.window_seconds = window_seconds
        self._windows: dict[int, dict[Source, _Count]] = {}
        self._changed: dict[int, set[str]] = {}
        """Teams whose own counts have changed since they were sent, by window."""
        self._dropped_before = 0
        """Windows before this one are no longer kept."""

    def find_window(self, at: float) -> int:
        """Return the window of a time in Unix seconds."""
        return int(at // self.window_seconds)

    def find_end(self, window: int) -> float:
        """Return the time in Unix seconds at which a window ends."""
        return (window + 1) * self.window_seconds

    def count(self, team: str, at: float) -> None:
        """Count a request that began to run at a time in Unix seconds."""
        window = self.find_window(at)
        if window < self._dropped_before:
            return
        self._get_count(window, self._own).requests[team] += 1
        self._changed.setdefault(window, set()).add(team)

    def pop_changes(self, now: float) -> list[UsageCounts]:
        """Return and clear this process's new counts, and close its ended windows."""
        messages = []
        for window, sources in self._windows.items():
            own = sources.get(self._own)
            if own is None:
                continue
            closes = not own.is_closed and now >= self.find_end(window) + CLOSE_SECONDS
            own.is_closed |= closes
            teams = self._changed.pop(window, set())
            if closes:
                # Messages may have been lost with their link.
                teams = set(own.requests)
            if teams or closes:
                messages.append(self._describe(window, self._own, teams))
        return messages

    def close_all(self) -> list[UsageCounts]:
        """Return the counts of this process, which counts no more."""
        self._changed.clear()
        messages = []
        counted = [w for w, sources in self._windows.items() if self._own in sources]
        if counted:
            # A report of the next window must not wait for this process either.
            self._get_count(max(counted) + 1, self._own)
        for window, sources in self._windows.items():
            own = sources.get(self._own)
            if own is not None:
                own.is_closed = True
                messages.append(self._describe(window, self._own, own.requests))
        return messages

    def list_all(self) -> list[UsageCounts]:
        """Return all counts, for a gateway that may have none of them."""
        return [
            self._describe(window, source, count.requests)
            for window, sources in self._windows.items()
            for source, count in sources.items()
        ]

    def merge(self, message: UsageCounts) -> None:
        """Merge the counts of another process."""
        source = Source(message.gateway, message.incarnation)
        if message.window < self._dropped_before or source == self._own:
            return
        known = self._get_count(message.window, source)
        known.is_closed |= message.is_closed
        for team, requests in message.counts:
            known.requests[team] = max(known.requests[team], requests)

    def sum_counts(self, window: int) -> dict[str, int]:
        """Return the requests of each team in a window, at all gateways."""
        total: Counter[str] = Counter()
        for count in self._windows.get(window, {}).values():
            total.update(count.requests)
        return dict(sorted(total.items()))

    def list_unclosed(self, window: int) -> list[str]:
        """List the gateways that may still add to a window.

        A gateway that counted in the window before may have counts in this one that
        were not received.
        """
        sources, before = (self._windows.get(w, {}) for w in (window, window - 1))
        expected = sources.keys() | {s for s, count in before.items() if count.requests}
        return sorted(
            source.gateway
            for source in expected
            if source not in sources or not sources[source].is_closed
        )

    def list_ready(self, now: float) -> list[int]:
        """List the windows with requests whose counts are complete, oldest first."""
        return sorted(w for w in self._windows if self._is_ready(w, now))

    def _is_ready(self, window: int, now: float) -> bool:
        end = self.find_end(window)
        if now < end + CLOSE_SECONDS:
            return False
        return now >= end + MAX_CLOSE_WAIT_SECONDS or not self.list_unclosed(window)

    def drop_old(self, now: float) -> None:
        """Drop the counts of windows that ended long ago."""
        self._dropped_before = self.find_window(now) - KEPT_WINDOWS
        for window in [w for w in self._windows if w < self._dropped_before]:
            del self._windows[window]
            self._changed.pop(window, None)

    def _get_count(self, window: int, source: Source) -> _Count:
        return self._windows.setdefault(window, {}).setdefault(source, _Count())

    def _describe(
        self, window: int, source: Source, teams: Iterable[str]
    ) -> UsageCounts:
        count = self._windows[window][source]
        counts = tuple(TeamCount(team, count.requests[team]) for team in sorted(teams))
        return UsageCounts(*source, window, count.is_closed, counts)
