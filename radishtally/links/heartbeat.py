"""Heartbeat timing: when to ping a link, and when it counts as silent."""

import random
from typing import Final

from radishtally.links.const import (
    IDLE_PING_INTERVAL_SECONDS,
    IDLE_SILENCE_TIMEOUT_SECONDS,
    PING_INTERVAL_SECONDS,
    SILENCE_TIMEOUT_SECONDS,
)

FOLLOWER_PING_FACTOR: Final = 1.5
"""Multiple of the leading end's ping interval after which the other end sends pings."""
IDLE_SILENCE_FACTOR: Final = 2.5
"""Multiple of the ping interval after which an idle link counts as silent, if that is
longer than the idle timeout."""
JITTER_FRACTION: Final = 0.1
"""Share of an interval by which pings are randomized, so that links don't
synchronize."""


class Heartbeat:
    """Track pings and received data of one link.

    The end that dialled leads: it sends pings, and its peer sends pings only if these
    stop. Both ends detect a silent link that way, at the cost of one end's pings.
    """

    __slots__ = (
        "_unanswered_ping_at",
        "_received_at",
        "_peer_interval",
        "_leads",
        "_peer_pinged_at",
        "_pinged_at",
        "_jitter",
        "_started_at",
    )

    def __init__(self, leads: bool, now: float) -> None:
        self._leads = leads
        self._started_at = now
        self._received_at = now
        self._pinged_at = now
        self._peer_pinged_at = now
        self._unanswered_ping_at: float | None = None
        """Time of the first ping since data was last received."""
        # Without it, links that came up together would always be pinged together.
        self._jitter = random.uniform(0.0, 1.0)
        self._peer_interval = 0.0
        """Seconds between the peer's pings, as the peer has announced."""

    def record_received(self, now: float) -> None:
        """Record that data was received."""
        self._received_at = now
        self._unanswered_ping_at = None

    def record_ping(self, now: float) -> None:
        """Record a ping to the peer."""
        if self._pinged_at > self._started_at:
            self._jitter = random.uniform(1.0 - JITTER_FRACTION, 1.0)
        self._pinged_at = now
        if self._unanswered_ping_at is None:
            self._unanswered_ping_at = now

    def record_peer_ping(self, now: float) -> None:
        """Record a ping from the peer."""
        self._peer_pinged_at = now

    def set_peer_interval(self, seconds: float) -> None:
        """Set the longest interval between the peer's pings."""
        self._peer_interval = seconds

    def next_ping_at(self, busy: bool, spacing: float) -> float:
        """Return the time of the next ping; `spacing` is the minimum interval."""
        if not self._leads:
            interval = max(IDLE_PING_INTERVAL_SECONDS, spacing, self._peer_interval)
            return (
                max(self._pinged_at, self._peer_pinged_at)
                + FOLLOWER_PING_FACTOR * interval
            )
        interval = max(
            PING_INTERVAL_SECONDS if busy else IDLE_PING_INTERVAL_SECONDS, spacing
        )
        due = self._pinged_at + self._jitter * interval
        if not busy:
            return due
        # Parts of an answer show that the peer is alive too, so a busy link is pinged
        # early only after nothing has been received for a while.
        return min(due, max(self._received_at, self._pinged_at) + PING_INTERVAL_SECONDS)

    def silence_deadline(self, busy: bool, spacing: float) -> float:
        """Return when the link counts as silent, infinite if no ping is unanswered."""
        if self._unanswered_ping_at is None:
            return float("inf")
        if busy and self._leads:
            return max(
                self._received_at + SILENCE_TIMEOUT_SECONDS,
                self._unanswered_ping_at + PING_INTERVAL_SECONDS,
            )
        interval = max(spacing, 0.0 if self._leads else self._peer_interval)
        limit = max(IDLE_SILENCE_TIMEOUT_SECONDS, IDLE_SILENCE_FACTOR * interval)
        return max(
            self._received_at + limit,
            self._unanswered_ping_at + SILENCE_TIMEOUT_SECONDS,
        )
