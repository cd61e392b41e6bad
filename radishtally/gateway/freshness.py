"""Track how recently the store has confirmed the configuration in force.

A key that was taken away must be refused in time also by a gateway that no longer hears
of changes. A gateway therefore accepts keys only for a limited time after the start of
the last read that showed its configuration to be current.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from radishtally.runtime import read_boot_clock

REVOCATION_MARGIN_SECONDS: Final = 0.25
"""Part of the time to refuse a revoked key that is reserved for clock drift."""
CHECK_SHARE: Final = 0.6
"""Share of the maximum age after which a confirmation is requested; the rest is for
retries."""
RETRY_SECONDS: Final = 0.25
"""Interval between requests for a confirmation while the store is unavailable."""
POLL_SECONDS: Final = 1.0
"""Longest time until a changed configuration or setting is taken into account."""
MAX_PENDING: Final = 4
"""Requests for a confirmation that may be open at a time: a call that the store holds
during an outage must not delay the one that is sent after its return."""


class ConfigurationView:
    """Hold the time of the last confirmation of the configuration in force."""

    def __init__(self, clock: Callable[[], float] = read_boot_clock) -> None:
        self._clock = clock
        """Counts the time of a suspend, in which a key may be taken away."""
        self.confirmed_at = float("-inf")
        self.max_age = float("inf")
        """Seconds after which keys are no longer accepted without a confirmation."""

    def limit_age(self, revocation_ms: float | None) -> None:
        """Set the time within which a revoked key must be refused, if there is one."""
        if revocation_ms is None:
            self.max_age = float("inf")
            return
        self.max_age = max(0.0, revocation_ms / 1000 - REVOCATION_MARGIN_SECONDS)

    def confirm(self, asked_at: float) -> None:
        """Record a confirmation that was requested at a time of this clock."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    @property
    def age(self) -> float:
        """Return the seconds since the last confirmation was requested."""
        return self._clock() - self.confirmed_at

    def is_fresh(self) -> bool:
        """Return whether keys may be accepted."""
        return self.age < self.max_age


class ViewConfirmer:
    """Request confirmations in time, and at once when a caller needs one."""

    def __init__(
        self,
        view: ConfigurationView,
        needs_view: Callable[[], bool],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task],
    ) -> None:
        self._view = view
        self._needs_view = needs_view
        """Returns whether the configuration in force has keys."""
        self._spawn = spawn
        self.confirm: Callable[[], Coroutine[Any, Any, None]] = _confirm_nothing
        """Asks the store for changes of the configuration."""
        self._pending: set[asyncio.Task] = set()
        self._wanted = asyncio.Event()

    def request(self) -> None:
        """Request a confirmation now, as a caller was refused for want of one."""
        self._wanted.set()

    async def run(self) -> None:
        """Keep the view confirmed until cancelled."""
        while True:
            self._wanted.clear()
            if self._needs_view() and self._find_delay() <= 0.0:
                self._start_call()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            try:
                async with asyncio.timeout(min(POLL_SECONDS, self._find_delay())):
                    await self._wanted.wait()
            except TimeoutError:
                continue

    def _find_delay(self) -> float:
        """Return the seconds until a confirmation is due."""
        if self._view.max_age == float("inf") or not self._needs_view():
            return POLL_SECONDS
        return self._view.max_age * CHECK_SHARE - self._view.age

    def _start_call(self) -> None:
        if len(self._pending) >= MAX_PENDING:
            return
        task = self._spawn(self.confirm())
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)


async def _confirm_nothing() -> None:
    """Stand in until the store is watched."""
