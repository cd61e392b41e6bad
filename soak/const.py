"""Constants of the soak."""

import json
from pathlib import Path
from typing import Any, Final

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
LINGER_SECONDS: Final = 17.0
"""Time for which a host that left goes on serving whatever comes: some seconds more
than GONE_SECONDS behind the last fault of others."""
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
STOP_CODES: Final = frozenset({0, -9, -15})
NOT_RUN: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request did not run and never will."""
DENIED: Final = frozenset({400, 401, 403, 404, 405, 413, 431})
"""Statuses that no request of these callers deserves."""
KINDS: Final = ("read", "book", "draft", "sheet")
ONCE: Final = frozenset({"book", "sheet"})
"""Kinds that may run at most once under one name."""
STREAMS: Final = frozenset({"draft", "sheet"})
DEPLOYMENT: Final[dict[str, Any]] = json.loads(
    Path(__file__).with_name("deployment.json").read_bytes()
)
"""Bounds, limits, routes and entries, named as on the platform's wire."""
GRACE_SECONDS: Final[float] = DEPLOYMENT["bounds"]["grace_seconds"]
"""Time from a gateway's SIGTERM to its kill."""
