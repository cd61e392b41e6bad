"""Track the known gateways, including those that a restored store lacks for a while."""

from collections.abc import Mapping
from typing import Final

from radishtally.store.core import Row

ERA_SETTLE_SECONDS: Final = 30.0
"""Time for which the store must have answered in a new era before a gateway that it
does not list is dropped. Each gateway detects the era with its next read, at most 10 s
later, reads the rows within 2 s and writes its own within another 2 s. The time is
twice that, to allow for rejected calls."""


class Roster:
    """Hold the rows of all known gateways."""

    def __init__(self) -> None:
        self._rows: Mapping[str, Row] = {}
        self._is_settled = True
        self._answered_since: float | None = None
        """Time since which the store has answered in an era that is not settled."""

    @property
    def is_read_pending(self) -> bool:
        """Return whether the rows of a new era have not been read yet."""
        return not self._is_settled and self._answered_since is None

    def enter_era(self) -> None:
        """Keep the known gateways until each has had time to write its row again."""
        self._is_settled = False
        self._answered_since = None

    def record_read_failure(self) -> None:
        """Record a failed read; the other gateways could not write meanwhile either."""
        self._answered_since = None

    def update(self, read: Mapping[str, Row], now: float) -> Mapping[str, Row]:
        """Apply the stored rows; return the rows of all known gateways."""
        if self._answered_since is None:
            self._answered_since = now
        if now - self._answered_since >= ERA_SETTLE_SECONDS:
            self._is_settled = True
        self._rows = read if self._is_settled else {**self._rows, **read}
        return self._rows
