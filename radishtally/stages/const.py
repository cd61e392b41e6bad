"""Constants of the engines' roles."""

from typing import Final

INITIAL_PREFILL_SHARE: Final = 0.6
"""Share of the engines that read prompts until traffic tells: assumed. Before traffic a
change of role costs nobody anything, and the first seconds of it correct the share."""
MAX_SCORE_RATIO: Final = 0.85
"""Part of its weight that another split must come down to: a change takes an engine
away for seconds, and the needs are estimates."""
SETTLE_SECONDS: Final = 1.0
"""Time for which the list of engines must stand before the first roles are set, and for
which a role must be without any engine."""
COUNT_CHANGE_SECONDS: Final = 2.0
"""Time for which another number of engines must be seen before roles change for it: an
engine that restarts is back sooner than another one has changed."""
DEMAND_SHIFT_SECONDS: Final = 5.0
"""Time for which demand must ask for other roles. With 2.5 s and less of a margin roles
followed each burst, and came back wrong for the next one."""
COOLDOWN_SECONDS: Final = 12.0
"""Least time between two changes for demand's sake."""
PENDING_SECONDS: Final = 4.0
"""Time for which an order that was given, or may have been, counts as carried out."""
RETRY_SECONDS: Final = 1.0
"""Time for which others are chosen before an engine that could not be ordered."""
TICK_SECONDS: Final = 0.5
DEMAND_WINDOW_SECONDS: Final = 6.0
"""Window of the demand: long enough for a burst to pass, short against a shift."""
MIN_DEMAND_SECONDS: Final = 1.5
"""Time from the first request after which the needs are measured: some of the answers
that have begun have ended, and each second with wrong roles is a second of them."""
MIN_REQUESTS: Final = 20
"""Requests from which the needs are measured: their sizes differ by a hundredfold."""
MIN_ANSWERS: Final = 10
"""Whole answers from which events are told from expected tokens: the expectations
scatter by half, so that the ratio is then right to a sixth (worked out)."""
MIN_ENDED_SHARE: Final = 0.5
"""Part of the expected tokens that came whose answers have ended, from which events are
told from tokens. Told after 1.7 s where long answers take three, needs of 1.1 engines
were measured in place of 2.2, and two engines too many were moved to prompts."""
REPORT_INTERVAL_SECONDS: Final = 1.0
"""Time between two reports of demand to the other gateways."""
STALE_SECONDS: Final = 5.0
"""Age from which another gateway's report counts no more."""
