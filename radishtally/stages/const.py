"""Constants for controlling the engines' roles."""

from typing import Final

INITIAL_PREFILL_SHARE: Final = 0.6
"""Share of prefill engines before there is traffic. A role change then costs nothing,
and the first seconds of traffic correct the share."""
MAX_SCORE_RATIO: Final = 0.85
"""Ratio to the current split's score below which another split is worth a change: a
change takes an engine out of service for seconds, and the needs are estimates."""
SETTLE_SECONDS: Final = 1.0
"""Time that the list of engines must be stable before the first roles are set, and that
a role must be without engines before one is moved to it."""
COUNT_CHANGE_SECONDS: Final = 2.0
"""Time that a changed number of engines must persist before roles change: an engine
that restarts is back before another one could have changed its role."""
DEMAND_SHIFT_SECONDS: Final = 5.0
"""Time that demand must favour other roles. With 2.5 s and a smaller margin, roles
follow each burst and are wrong for the next one."""
COOLDOWN_SECONDS: Final = 12.0
"""Minimum time between two changes caused by demand."""
PENDING_SECONDS: Final = 4.0
"""Time that a role order counts as carried out, if the engine has or may have it."""
RETRY_SECONDS: Final = 1.0
"""Time that an engine is skipped after it could not be ordered."""
TICK_SECONDS: Final = 0.5
"""Interval of the control loop."""
DEMAND_WINDOW_SECONDS: Final = 6.0
"""Window of the demand: longer than a burst, shorter than a lasting shift."""
MIN_DEMAND_SECONDS: Final = 1.5
"""Time from the first request until the needs are computed: some answers have then
ended, and every second of waiting is a second with possibly wrong roles."""
MIN_REQUESTS: Final = 20
"""Requests before the needs are computed: their sizes differ by a factor of 100."""
MIN_ANSWERS: Final = 10
"""Complete answers before the ratio of events to expected tokens is used: expectations
deviate by half, so that the ratio is then accurate to a sixth."""
MIN_ENDED_SHARE: Final = 0.5
"""Share of the expected tokens whose answers must have ended before that ratio is used.
If it is used after 1.7 s while long answers take 3 s, the needs come out as 1.1 decode
engines instead of 2.2, and two engines too many are moved to prefill."""
REPORT_INTERVAL_SECONDS: Final = 1.0
"""Interval of the demand reports to other gateways."""
STALE_SECONDS: Final = 5.0
"""Age beyond which another gateway's report is ignored."""
