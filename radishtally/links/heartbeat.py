"""Decide when a link is pinged and when it has been silent for too long."""

import random
from typing import Final

from radishtally.links.const import (
    IDLE_PING_SECONDS,
    IDLE_SILENCE_SECONDS,
    PING_SECONDS,
    SILENCE_SECONDS,
)

FOLLOW: Final = 1.5
"""Times the leading end's interval after which the other end pings by itself."""
PATIENCE: Final = 2.5
"""Times the interval after which an idle link is silent, if that is longer."""
JITTER: Final = 0.1
"""Part of an interval by which pings are spread, so that many don't stay in step."""


class Heartbeat:
    """Follow the signs of life of one link.

    The end that dialled leads: it pings, and its peer pings only if that stops. Both
    see a silent link, for the messages of one.
    """

    __slots__ = (
        "_asked",
        "_heard",
        "_interval",
        "_leads",
        "_peer_pinged",
        "_pinged",
        "_spread",
        "_started",
    )

    def __init__(self, leads: bool, now: float) -> None:
        self._leads = leads
        self._started = now
        self._heard = now
        self._pinged = now
        self._peer_pinged = now
        self._asked: float | None = None
        """Time of the first ping since the last sign of life."""
        # Links that came up together would be pinged together for ever.
        self._spread = random.uniform(0.0, 1.0)
        self._interval = 0.0
        """Seconds between pings by the peer's own word."""

    def hear(self, now: float) -> None:
        """Note a sign of life."""
        self._heard = now
        self._asked = None

    def ping(self, now: float) -> None:
        """Note a ping to the peer."""
        if self._pinged > self._started:
            self._spread = random.uniform(1.0 - JITTER, 1.0)
        self._pinged = now
        if self._asked is None:
            self._asked = now

    def take_ping(self, now: float) -> None:
        """Note a ping of the peer."""
        self._peer_pinged = now

    def take_interval(self, seconds: float) -> None:
        """Note how far apart the peer's pings may be."""
        self._interval = seconds

    def next_ping(self, busy: bool, spacing: float) -> float:
        """Give the time of the next ping; a spacing is the least interval."""
        if not self._leads:
            every = max(IDLE_PING_SECONDS, spacing, self._interval)
            return max(self._pinged, self._peer_pinged) + FOLLOW * every
        every = max(PING_SECONDS if busy else IDLE_PING_SECONDS, spacing)
        due = self._pinged + self._spread * every
        if not busy:
            return due
        # Parts of an answer are signs of life as good as any: a busy link is asked
        # early only once nothing has come for a while.
        return min(due, max(self._heard, self._pinged) + PING_SECONDS)

    def silent_at(self, busy: bool, spacing: float) -> float:
        """Give the time at which the link counts as silent, infinite if unasked."""
        if self._asked is None:
            return float("inf")
        if busy and self._leads:
            return max(self._heard + SILENCE_SECONDS, self._asked + PING_SECONDS)
        every = max(spacing, 0.0 if self._leads else self._interval)
        limit = max(IDLE_SILENCE_SECONDS, PATIENCE * every)
        return max(self._heard + limit, self._asked + SILENCE_SECONDS)
