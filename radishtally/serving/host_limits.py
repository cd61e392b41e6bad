"""Limits on the requests that hosts take from all gateways together."""

from typing import Final, NamedTuple

from radishtally.limits.shares import PermitPool

LIMIT_EXPIRY_SECONDS: Final = 60.0
"""Time after which a limit that no answer has named again is forgotten."""
MIN_LIMIT: Final = 0.1
"""Lowest limit in requests a second: a host whose limit has ended can say so only in an
answer."""
MAX_RETRY_AFTER_SECONDS: Final = 10.0


class _Limited(NamedTuple):
    """Hold the limit of a host."""

    limit: float
    named_at: float
    """Time at which it was last named."""
    pool: PermitPool


class HostLimits:
    """Track the hosts that have named a limit, and the permits held for them."""

    def __init__(self) -> None:
        self._hosts: dict[str, _Limited] = {}
        self._changed: dict[str, float] = {}
        """Hosts whose limit has changed by their own answers, and the limit; 0 if it
        has ended."""

    def __bool__(self) -> bool:
        """Return whether any host has a limit."""
        return bool(self._hosts)

    def is_limited(self, host: str) -> bool:
        """Return whether a host has a limit."""
        return host in self._hosts

    def find_pool(self, host: str) -> PermitPool | None:
        """Return the permits of a host; None if it has no limit."""
        known = self._hosts.get(host)
        return None if known is None else known.pool

    def get_limit(self, host: str) -> float:
        """Return a host's limit in requests a second; 0 if it has none."""
        known = self._hosts.get(host)
        return 0.0 if known is None else known.limit

    def record_answer(
        self, host: str, limit: float, sent_at: float, now: float
    ) -> None:
        """Record the limit that an answer names; 0 if it names none.

        An answer without one may be older than the answer that named it, unless its
        request was sent after that.
        """
        if not limit:
            known = self._hosts.get(host)
            if known is not None and sent_at >= known.named_at:
                del self._hosts[host]
                self._changed[host] = 0.0
            return
        limit = max(limit, MIN_LIMIT)
        if self.get_limit(host) != limit:
            self._changed[host] = limit
        self._set(host, limit, now)

    def record_told(self, host: str, limit: float, now: float) -> None:
        """Record a limit that another gateway has learned; 0 if it has ended."""
        if limit > 0.0:
            self._set(host, limit, now)
        elif host in self._hosts:
            del self._hosts[host]

    def _set(self, host: str, limit: float, now: float) -> None:
        known = self._hosts.get(host)
        pool = PermitPool(limit) if known is None else known.pool
        pool.limit = limit
        self._hosts[host] = _Limited(limit, now, pool)

    def forget(self, host: str) -> None:
        """Forget the limit of a host that has left or begun again."""
        self._hosts.pop(host, None)
        self._changed.pop(host, None)

    def expire(self, now: float) -> None:
        """Forget limits that have not been named for long."""
        for host, known in list(self._hosts.items()):
            if now >= known.named_at + LIMIT_EXPIRY_SECONDS:
                del self._hosts[host]

    def record_demand(self, host: str, now: float) -> None:
        """Record a request for which a host would be used if it has a limit."""
        known = self._hosts.get(host)
        if known is not None:
            known.pool.demand.record(now)

    def allows(self, host: str, now: float) -> bool:
        """Return whether a request may be sent to a host now."""
        known = self._hosts.get(host)
        return known is None or known.pool.has_permit(now)

    def count_permits(self, host: str, now: float) -> float:
        """Return how many requests may be sent to a host now."""
        known = self._hosts.get(host)
        if known is None:
            return float("inf")
        known.pool.expire(now)
        return len(known.pool.held)

    def use(self, host: str, now: float) -> None:
        """Use a permit for a request that is sent to a host."""
        known = self._hosts.get(host)
        if known is not None:
            known.pool.use(now)

    def add_waiter(self, host: str, request: str, until: float) -> None:
        """Record that a request waits for a permit of a host until a time."""
        known = self._hosts.get(host)
        if known is not None:
            known.pool.waiting[request] = until

    def list_waiting(self, host: str) -> list[str]:
        """List the requests that wait for a permit of a host, in order of arrival."""
        known = self._hosts.get(host)
        return [] if known is None else list(known.pool.waiting)

    def remove_waiter(self, request: str) -> None:
        """Record that a request does not wait for a permit any more."""
        for known in self._hosts.values():
            known.pool.waiting.pop(request, None)

    def has_room_to_wait(self, hosts: list[str], seconds: float) -> bool:
        """Return whether one more request may get a permit of a host in time."""
        pools = (known.pool for h in hosts if (known := self._hosts.get(h)) is not None)
        return any(pool.has_room_to_wait(seconds) for pool in pools)

    def estimate_wait(self, hosts: list[str], now: float) -> float:
        """Return the seconds until one of the hosts is likely to take a request."""
        waits = [
            (1.0 + known.pool.demand.measure(now)) / known.limit
            for host in hosts
            if (known := self._hosts.get(host)) is not None
        ]
        return min([*waits, MAX_RETRY_AFTER_SECONDS])

    def list_hosts(self) -> list[str]:
        """List the hosts that have a limit."""
        return list(self._hosts)

    def pop_changed(self) -> dict[str, float]:
        """Return the limits that hosts' answers have changed since the last call."""
        changed, self._changed = self._changed, {}
        return changed
