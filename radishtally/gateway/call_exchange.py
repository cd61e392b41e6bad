"""Exchange calls to plain hosts, and refused callers, with the other gateways."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from typing import Final, NamedTuple

from radishtally.admission.queue import CallQueue
from radishtally.links.gateway_messages import CallersRefused, CallLoad
from radishtally.links.kinds import Message
from radishtally.serving.state import DispatchCore

CALL_MESSAGES: Final = CallLoad | CallersRefused
BUSY_SHARE: Final = 0.5
"""Share of the places that are wanted from which on gateways report their calls. Below
that no gateway can take places that another one needs."""
REFRESH_SECONDS: Final = 0.25
"""Interval between two reports of the same calls: a quarter of the time after which a
report no longer counts."""


class _Sent(NamedTuple):
    """Hold the last report to a peer."""

    load: CallLoad
    at: float


class CallExchange:
    """Report calls to the peers in rounds, while an upstream is busy."""

    def __init__(
        self,
        core: DispatchCore,
        send: Callable[[str, Message], object],
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._core = core
        self._send = send
        self._on_change = on_change
        """Called when waiting calls may begin by what peers have reported."""
        self._sent: dict[tuple[str, str], _Sent] = {}
        """Last report, by peer and upstream."""
        self._to_relay: list[tuple[str, CallersRefused]] = []

    def set_staleness(self, seconds: float) -> None:
        """Set the longest time until peers learn of a call."""
        self._core.admission.report_seconds = seconds

    def handle_message(
        self, peer: str, message: CALL_MESSAGES, is_collector: bool, now: float
    ) -> None:
        """Apply a message of a peer of the group."""
        admission = self._core.admission
        if isinstance(message, CallersRefused):
            admission.record_refused(message.callers, now)
            if is_collector:
                self._to_relay.append((peer, message))
            return
        admission.record_load(peer, message, now)
        if admission.get_queue(message.upstream):
            self._on_change()

    def forget_peer(self, peer: str, now: float) -> None:
        """Drop what a peer has reported, and report to it anew if it comes back."""
        self._core.admission.forget_peer(peer, now)
        for key in [key for key in self._sent if key[0] == peer]:
            del self._sent[key]

    def run_round(
        self,
        recipients: Collection[str],
        list_excluded: Callable[[str], frozenset[str] | None],
        gateway_count: int,
        now: float,
    ) -> None:
        """Report the calls of each busy upstream, and the end of such a time."""
        for upstream, queue in self._core.admission.queues.items():
            is_busy = self._is_busy(queue, gateway_count)
            for peer in recipients:
                self._report(peer, upstream, queue, is_busy, list_excluded(peer), now)

    def pop_refused(self, now: float) -> list[tuple[str | None, CallersRefused]]:
        """Return the news of refused callers with the peer that has sent them."""
        outgoing: list[tuple[str | None, CallersRefused]] = [*self._to_relay]
        self._to_relay.clear()
        callers = self._core.admission.refused.pop_news(now)
        if callers:
            outgoing.append((None, CallersRefused(tuple(callers))))
        return outgoing

    def _is_busy(self, queue: CallQueue, gateway_count: int) -> bool:
        demand = queue.demand
        least = BUSY_SHARE * queue.places
        # One call of each gateway fits if there are more places than gateways.
        least_own = 2.0 if gateway_count < queue.places else 1.0
        is_own_share = demand.own_count >= max(least_own, least / gateway_count)
        return demand.total >= least or is_own_share

    def _report(
        self,
        peer: str,
        upstream: str,
        queue: CallQueue,
        is_busy: bool,
        excluded: Collection[str] | None,
        now: float,
    ) -> None:
        key = peer, upstream
        sent = self._sent.get(key)
        if not is_busy:
            if sent is not None:
                del self._sent[key]
                self._send(peer, CallLoad(upstream, (), ()))
            return
        load = queue.demand.build_report(
            upstream, self._count_calls(upstream), excluded
        )
        if sent is not None and sent.load == load and now < sent.at + REFRESH_SECONDS:
            return
        self._sent[key] = _Sent(load, now)
        self._send(peer, load)

    def _count_calls(self, upstream: str) -> Counter[str]:
        hosts: Iterable = self._core.pools.get(upstream, {}).values()
        return Counter({known.host: known.in_flight for known in hosts})
