"""Constants of the soak."""

import json
from pathlib import Path
from typing import Any, Final

EVENTS: Final = 12
"""Events of each stream."""
EVENT_SECONDS: Final = 0.02
"""Time that an engine takes for each event, and for a prompt."""
CALLERS: Final = 10
MAX_ATTEMPTS: Final = 3
"""Attempts that a caller makes for one request, each under its own request id."""
MAX_PAUSE_SECONDS: Final = 0.05
"""Longest pause of a caller between two requests."""
SWITCH_CHANCE: Final = 0.15
"""Chance that a caller reconnects, to any gateway, before a request."""
DISCONNECT_CHANCE: Final = 0.03
"""Chance that a caller disconnects before its answer has arrived."""
DEADLINE_MS: Final = 4000
CALLER_TIMEOUT_SECONDS: Final = 6.0
"""Time after which a caller gives up on a gateway that was disturbed meanwhile."""
HANG_SECONDS: Final = 60.0
"""Time after which an undisturbed request without an answer is a finding. The routes'
timeouts are a tenth of it."""
RECOVERY_TIMEOUT_SECONDS: Final = 60.0
"""Longest time from the last fault until all gateways serve all kinds again."""
DEREGISTRATION_SECONDS: Final = 10.0
"""Time after the removal of a host's entry beyond which it may get no new requests.
The gateways' own limit is 2 s."""
LINGER_SECONDS: Final = 17.0
"""Time for which a removed host goes on serving: a few seconds more than
DEREGISTRATION_SECONDS after the last fault of another component."""
SILENCE_SECONDS: Final = 30.0
"""Time after a silent fault for which a silenced connection may still be in use."""
ORDER_SLACK_SECONDS: Final = 5.0
"""Time by which an order may be late after its sender or its link was disturbed."""
SETTLE_SECONDS: Final = 2.0
"""Time after the last answer in which a request reported as not run could still run."""
RECORD_POLL_SECONDS: Final = 0.25
"""Interval at which the hosts' records are read."""
POLL_SECONDS: Final = 0.02
START_TIMEOUT_SECONDS: Final = 60.0
EXPECTED_EXIT_CODES: Final = frozenset({0, -9, -15})
NOT_EXECUTED_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the request did not run and never will."""
UNEXPECTED_STATUSES: Final = frozenset({400, 401, 403, 404, 405, 413, 431})
"""Statuses that no valid request, such as these callers send, may get."""
REQUEST_KINDS: Final = ("read", "book", "draft", "sheet")
AT_MOST_ONCE_KINDS: Final = frozenset({"book", "sheet"})
"""Kinds that may run at most once under one request id."""
STREAMING_KINDS: Final = frozenset({"draft", "sheet"})
BAD_PREFIX: Final = "bad"
"""Start of the names of prompt parts that crash the engines."""
STABLE_SECONDS: Final = 3.0
"""Time that undisturbed gateways have after a part's fifth crash to deny it."""
CRASHES_TO_KNOW: Final = 5
MAX_LATE_RUNS: Final = 3
"""Runs with a bad part that may begin after that time."""
MIN_JUDGED: Final = 20
"""Sound streams beside a bad part from which on their refusals are judged."""
HOST_LIMIT: Final = 2.0
"""Requests a second that a host in need names."""
LIMIT_WINDOW_SECONDS: Final = 4.0
MAX_IN_LIMIT_WINDOW: Final = 1.5 * LIMIT_WINDOW_SECONDS * HOST_LIMIT + 5
DESK_SLOTS: Final = 4
"""Slots in the entries of plain hosts."""
CROWD_CALL_SECONDS: Final = 0.1
"""Time of a call during a crowd."""
CROWD_CALLERS: Final = 40
"""Callers of a crowd; the plain hosts take less than half as many at a time."""
MAX_REJECTED_SHARE: Final = 0.05
"""Rejections by crowded hosts, as a share of the calls that they take."""
FLOOD_CONNECTIONS: Final = 600
"""Connections that are opened to one gateway at once; its accept queue holds more."""
DEPLOYMENT: Final[dict[str, Any]] = json.loads(
    Path(__file__).with_name("deployment.json").read_bytes()
)
"""Bounds, limits, routes and entries, with the field names of the platform."""
GRACE_SECONDS: Final[float] = DEPLOYMENT["bounds"]["grace_seconds"]
"""Time from a gateway's SIGTERM to its SIGKILL."""
