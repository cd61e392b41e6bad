"""Know which gateways there are, also while a restored store lacks some of them."""

from collections.abc import Mapping
from typing import Final

from radishtally.store.core import Row

ERA_SETTLE_SECONDS: Final = 30.0
"""Time for which the store must have answered in a new era before a gateway that it
doesn't list is taken for gone. All see the era at their next read, 10 s later at most,
look at it within 2 s and write within 2 s more: twice that, for calls turned away."""


class Roster:
    """Hold the rows of the gateways that there are."""

    def __init__(self) -> None:
        self._rows: Mapping[str, Row] = {}
        self._is_settled = True
        self._answered_since: float | None = None
        """Since when the store has answered in an era that is not settled."""

    @property
    def is_read_pending(self) -> bool:
        """Tell whether the rows of a new era are still to be read."""
        return not self._is_settled and self._answered_since is None

    def enter_era(self) -> None:
        """Keep the gateways that are known until each may have written again."""
        self._is_settled = False
        self._answered_since = None

    def record_read_failure(self) -> None:
        """Take that the store did not answer: the others can't have written either."""
        self._answered_since = None

    def update(self, read: Mapping[str, Row], now: float) -> Mapping[str, Row]:
        """Take the rows that the store has; give those of all gateways there are."""
        if self._answered_since is None:
            self._answered_since = now
        if now - self._answered_since >= ERA_SETTLE_SECONDS:
            self._is_settled = True
        self._rows = read if self._is_settled else {**self._rows, **read}
        return self._rows
