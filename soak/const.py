"""Constants of the soak."""

from typing import Any, Final

AUTHORITY: Final = "desk.example"
EVENTS: Final = 12
"""Events of each stream."""
EVENT_SECONDS: Final = 0.02
"""Time of each event, and of a prompt."""
CALLERS: Final = 10
ATTEMPTS: Final = 3
"""Attempts that a caller makes for one wish, each under a name of its own."""
PAUSE_SECONDS: Final = 0.05
"""Longest pause of a caller between two requests."""
SWITCH_CHANCE: Final = 0.15
"""Chance that a caller takes another gateway for its next request."""
LEAVE_CHANCE: Final = 0.03
"""Chance that a caller leaves before its answer has come."""
DEADLINE_MS: Final = 4000
PATIENCE_SECONDS: Final = 6.0
"""Time after which a caller gives up at a gateway that was disturbed meanwhile."""
HANG_SECONDS: Final = 60.0
"""Time after which an undisturbed request that has no end is a finding; the routes'
timeouts are a tenth of it."""
RECOVER_SECONDS: Final = 60.0
"""Time from the last fault to requests that are served again."""
GONE_SECONDS: Final = 10.0
"""Time after which a host whose entry is gone gets no new request; the gateways are
told 2 s."""
LINGER_SECONDS: Final = 14.0
"""Time for which a host that left goes on serving whatever comes."""
SILENCE_SECONDS: Final = 30.0
"""Time after a silence for which a caller may still meet the silenced connection."""
ORDER_SLACK_SECONDS: Final = 5.0
"""Time for which an order may be late after trouble at its giver or on its way."""
SETTLE_SECONDS: Final = 2.0
"""Time after the last answer in which a request that was called not run would run."""
READ_SECONDS: Final = 0.25
"""Time between two looks at the hosts' records."""
POLL_SECONDS: Final = 0.02
START_SECONDS: Final = 60.0
GRACE_SECONDS: Final = 8.0
"""Time from a gateway's SIGTERM to its kill."""
STOP_CODES: Final = frozenset({0, -9, -15})
NOT_RUN: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request did not run and never will."""
DENIED: Final = frozenset({400, 401, 403, 404, 405, 413, 431})
"""Statuses that no request of these callers deserves."""
KINDS: Final = ("read", "book", "draft", "sheet")
ONCE: Final = frozenset({"book", "sheet"})
"""Kinds that may run at most once under one name."""
STREAMS: Final = frozenset({"draft", "sheet"})
BOUNDS: Final[dict[str, float]] = {
    "grace_seconds": GRACE_SECONDS,
    "drain_ms": 2000,
    "lease_ms": 3000,
    "retry_ratio": 0.2,
    "retry_slack": 54,
    "retry_window_seconds": 10,
}
LIMITS: Final = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 100_000,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ENGINE: Final = {
    "slots": 64,
    "kvCapacityTokens": 500_000,
    "kvTokenBytes": 35136,
    "stride": 10,
    "handleTtlS": 5.0,
    "roleSwitchS": 3.0,
}
ENTRY: Final[dict[str, Any]] = {
    "zone": "howrah",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
}
ROUTE: Final[dict[str, Any]] = {
    "host": AUTHORITY,
    "timeoutMs": 5000,
    "targetLatencyMs": 1000,
    "priority": 1,
    "maxAttempts": 2,
}
ROUTES: Final[tuple[dict[str, Any], ...]] = (
    {**ROUTE, "name": "read", "kind": "safe", "service": "desk"},
    {**ROUTE, "name": "book", "kind": "unsafe", "service": "desk"},
    {
        **ROUTE,
        "name": "draft",
        "kind": "streaming",
        "service": "llm",
        "resumable": True,
        "maxAttempts": 3,
    },
    {**ROUTE, "name": "sheet", "kind": "streaming", "service": "llm"},
)
