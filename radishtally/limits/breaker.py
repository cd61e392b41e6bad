"""Circuit breaker for failing peers."""

from typing import Final

FIRST_OPEN_SECONDS: Final = 0.5
MAX_OPEN_SECONDS: Final = 30.0


class CircuitBreaker:
    """Exclude a failing peer for a growing time, then probe it with one request."""

    __slots__ = (
        "_first_seconds",
        "_max_seconds",
        "_open_until",
        "_is_probing",
        "_open_seconds",
    )

    def __init__(
        self, first: float = FIRST_OPEN_SECONDS, longest: float = MAX_OPEN_SECONDS
    ) -> None:
        self._first_seconds = first
        self._max_seconds = longest
        self._open_seconds = 0.0
        self._open_until = 0.0
        self._is_probing = False

    def record_failure(self, now: float) -> None:
        """Record a failure of the peer."""
        # Requests in flight at the same time fail together and count as one failure.
        # Otherwise one short fault under load would open the breaker for the maximum.
        if self._open_seconds and not self._is_probing and now < self._open_until:
            return
        doubled = min(self._max_seconds, 2 * self._open_seconds)
        self._open_seconds = doubled or self._first_seconds
        self._open_until = now + self._open_seconds
        self._is_probing = False

    def record_success(self) -> None:
        """Record a successful answer of the peer."""
        self._open_seconds = 0.0
        self._is_probing = False

    def allows(self, now: float) -> bool:
        """Return whether the peer may be offered work, without changing any state."""
        return not self._open_seconds or now >= self._open_until

    def record_offer(self, now: float) -> None:
        """Record an offer to the peer; a peer that is being probed gets no others."""
        if not self._open_seconds:
            return
        # The probe's result may never arrive, so another probe is allowed after the
        # same time.
        self._is_probing = True
        self._open_until = now + self._open_seconds
