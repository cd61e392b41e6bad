"""Track how recently the store has confirmed the configuration in force.

A key that was taken away must be refused in time also by a gateway that no longer hears
of changes. A gateway therefore accepts keys only for a limited time after the start of
the last read that showed its configuration to be current.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple

from radishtally.gateway.topology import (
    Site,
    Sites,
    find_first_reachable,
    list_confirming_order,
)
from radishtally.links.gateway_messages import ViewConfirmation, ViewRequest
from radishtally.links.hub import LinkHub
from radishtally.runtime import read_boot_clock

REVOCATION_MARGIN_SECONDS: Final = 0.25
"""Part of the time to refuse a revoked key that is reserved for clock drift."""
READ_SHARE: Final = 0.25
"""Share of the maximum age after which a gateway asks for a confirmation: a peer if one
confirms for others, otherwise the store."""
CHECK_SHARE: Final = 0.6
"""Share of the maximum age after which a gateway asks the store itself although a peer
confirms for others; the rest is for retries."""
RETRY_SECONDS: Final = 0.25
"""Interval between calls to the store while it confirms nothing."""
FOLLOWER_RETRY_SECONDS: Final = 3.0
"""The same where a peer confirms for others, and passes the store's return on."""
POLL_SECONDS: Final = 1.0
"""Longest time until a changed configuration or setting is taken into account."""
MIN_STEP_SECONDS: Final = 0.02
MAX_PENDING: Final = 4
"""Requests for a confirmation that may be open at a time: a call that the store holds
during an outage must not delay the one that is sent after its return."""


class ConfigurationView:
    """Hold the time of the last confirmation of the configuration in force."""

    def __init__(self, clock: Callable[[], float] = read_boot_clock) -> None:
        self.clock = clock
        """Counts the time of a suspend, in which a key may be taken away."""
        self.confirmed_at = float("-inf")
        self.max_age = float("inf")
        """Seconds after which keys are no longer accepted without a confirmation."""
        self.on_confirmed: Callable[[], None] = lambda: None
        """Called after a new confirmation."""

    def limit_age(self, revocation_ms: float | None) -> None:
        """Set the time within which a revoked key must be refused, if there is one."""
        if revocation_ms is None:
            self.max_age = float("inf")
            return
        self.max_age = max(0.0, revocation_ms / 1000 - REVOCATION_MARGIN_SECONDS)

    def confirm(self, asked_at: float) -> None:
        """Record a confirmation that was requested at a time of this clock."""
        if asked_at <= self.confirmed_at:
            return
        self.confirmed_at = asked_at
        self.on_confirmed()

    @property
    def age(self) -> float:
        """Return the seconds since the last confirmation was requested."""
        return self.clock() - self.confirmed_at

    def is_fresh(self) -> bool:
        """Return whether keys may be accepted."""
        return self.age < self.max_age


class ConfigurationState(NamedTuple):
    """Identify a configuration in the store."""

    era: int
    version: int


class ViewExchange:
    """Pass confirmations on between gateways, so that few of them ask the store.

    One gateway of each data centre asks the store and answers the others there; where
    all gateways form a mesh, one does so for all. A confirmation counts from the time
    of the request for it, so that neither a slow link nor a suspended gateway makes it
    seem newer.
    """

    def __init__(
        self,
        own_name: str,
        view: ConfigurationView,
        get_state: Callable[[], ConfigurationState | None],
    ) -> None:
        self._own_name = own_name
        self._view = view
        self._get_state = get_state
        """Returns the configuration in force, None without one."""
        self._hub: LinkHub | None = None
        self._sites: Sites = {own_name: Site()}
        self._number = 0
        self._asked_at: dict[int, float] = {}
        """Times of the latest requests, by number."""
        self._pending: dict[str, int] = {}
        """Latest request of each peer that was not answered."""
        view.on_confirmed = self._answer_pending

    def attach(self, hub: LinkHub) -> None:
        """Use the links of a hub from now on."""
        self._hub = hub

    def set_sites(self, sites: Sites) -> None:
        """Set the known gateways, including this one."""
        self._sites = sites

    def find_source(self) -> str | None:
        """Return the peer to ask; None if this gateway asks the store."""
        if self._hub is None:
            return None
        order = list_confirming_order(self._sites, self._own_name)
        found = find_first_reachable(order, self._own_name, self._hub.hosts)
        return None if found == self._own_name else found

    def ask(self, peer: str) -> None:
        """Request a confirmation from a peer."""
        self._number += 1
        self._asked_at = {
            number: at
            for number, at in self._asked_at.items()
            if number > self._number - MAX_PENDING
        }
        self._asked_at[self._number] = self._view.clock()
        self._hub.send(peer, ViewRequest(self._number))

    def handle_message(
        self, peer: str, message: ViewRequest | ViewConfirmation
    ) -> None:
        """Answer a request of a peer, or use its confirmation."""
        if isinstance(message, ViewRequest):
            self._pending[peer] = message.number
            if self._view.age < self._view.max_age * CHECK_SHARE:
                self._answer_pending()
            return
        asked_at = self._asked_at.pop(message.number, None)
        state = ConfigurationState(message.era, message.version)
        # A gateway that has another configuration learns nothing about its own one.
        if asked_at is not None and message.age >= 0.0 and state == self._get_state():
            self._view.confirm(asked_at - message.age)

    def _answer_pending(self) -> None:
        state = self._get_state()
        if self._hub is None or state is None:
            return
        pending, self._pending = self._pending, {}
        for peer, number in pending.items():
            confirmation = ViewConfirmation(number, *state, self._view.age)
            self._hub.send(peer, confirmation)


class ViewConfirmer:
    """Request confirmations in time, and at once when a caller needs one."""

    def __init__(
        self,
        view: ConfigurationView,
        exchange: ViewExchange,
        needs_view: Callable[[], bool],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task],
    ) -> None:
        self._view = view
        self._exchange = exchange
        self._needs_view = needs_view
        """Returns whether the configuration in force has keys."""
        self._spawn = spawn
        self.confirm: Callable[[], Coroutine[Any, Any, None]] = _confirm_nothing
        """Asks the store for changes of the configuration."""
        self._pending: set[asyncio.Task] = set()
        self._wanted = asyncio.Event()
        self._called_at = float("-inf")
        self._asked_at = float("-inf")

    def request(self) -> None:
        """Request a confirmation now, as a caller was refused for want of one."""
        self._wanted.set()

    async def run(self) -> None:
        """Keep the view confirmed until cancelled."""
        while True:
            # A request for a confirmation just after a call waits for the next one.
            self._wanted.clear()
            seconds = self.step()
            try:
                async with asyncio.timeout(seconds):
                    await self._wanted.wait()
                    await asyncio.sleep(RETRY_SECONDS - self._seconds_since_call())
            except TimeoutError:
                continue

    def step(self) -> float:
        """Request the confirmations that are due; return the seconds to the next."""
        view = self._view
        if view.max_age == float("inf") or not self._needs_view():
            return POLL_SECONDS
        source, now = self._exchange.find_source(), view.clock()
        read_at = view.confirmed_at + view.max_age * READ_SHARE
        if source is None:
            call_at = max(read_at, self._called_at + RETRY_SECONDS)
            ask_at = float("inf")
        else:
            check_at = view.confirmed_at + view.max_age * CHECK_SHARE
            call_at = max(check_at, self._called_at + FOLLOWER_RETRY_SECONDS)
            interval = min(POLL_SECONDS, view.max_age * READ_SHARE)
            ask_at = max(read_at, self._asked_at + interval)
        if now >= ask_at:
            self._asked_at = now
            self._exchange.ask(source)
            ask_at = now + POLL_SECONDS
        if now >= call_at:
            self._called_at = now
            self._start_call()
            call_at = now + RETRY_SECONDS
        return max(MIN_STEP_SECONDS, min(POLL_SECONDS, ask_at - now, call_at - now))

    def _seconds_since_call(self) -> float:
        return min(RETRY_SECONDS, self._view.clock() - self._called_at)

    def _start_call(self) -> None:
        if len(self._pending) >= MAX_PENDING:
            return
        task = self._spawn(self.confirm())
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)


async def _confirm_nothing() -> None:
    """Stand in until the store is watched."""
