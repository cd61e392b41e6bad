"""Leaving out of peers that fail."""

from typing import Final

FIRST_SECONDS: Final = 0.5
MAX_SECONDS: Final = 30.0


class CircuitBreaker:
    """Leave a failing peer out for a growing while, then probe it with one request."""

    __slots__ = ("_first", "_longest", "_open_until", "_probed", "_seconds")

    def __init__(
        self, first: float = FIRST_SECONDS, longest: float = MAX_SECONDS
    ) -> None:
        self._first = first
        self._longest = longest
        self._seconds = 0.0
        self._open_until = 0.0
        self._probed = False

    def record_failure(self, now: float) -> None:
        """Note a failure of the peer."""
        # Requests sent together fail together: they count as one failure, else a
        # single hiccup under load would leave the peer out for the longest while.
        if self._seconds and not self._probed and now < self._open_until:
            return
        doubled = min(self._longest, 2 * self._seconds)
        self._seconds = doubled or self._first
        self._open_until = now + self._seconds
        self._probed = False

    def record_success(self) -> None:
        """Note an answer of the peer."""
        self._seconds = 0.0
        self._probed = False

    def allows(self, now: float) -> bool:
        """Tell whether the peer may be offered work; changes nothing."""
        return not self._seconds or now >= self._open_until

    def record_offer(self, now: float) -> None:
        """Note that the peer was offered work; while it is probed it gets no more."""
        if not self._seconds:
            return
        # The probe's verdict may get lost: after the same while another one may go.
        self._probed = True
        self._open_until = now + self._seconds
