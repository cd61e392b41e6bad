"""Constants of request dispatch."""

from typing import Final

OFFER_TIMEOUT_SECONDS: Final = 1.0
"""Longest time an agent may take to respond to an offer."""
CANCEL_TIMEOUT_SECONDS: Final = 2.0
"""Longest wait for confirmation that a withdrawn attempt did not start."""
RECONNECT_GRACE_SECONDS: Final = 1.0
"""Time a lost link has to reconnect before the answer is resumed on another host."""
CALL_RECONNECT_GRACE_SECONDS: Final = 4.0
"""The same for a call that is not idempotent: only its agent knows the outcome."""
OUTCOME_WAIT_SECONDS: Final = 60.0
"""How long to wait for the outcome of a call that is not idempotent, to store it with
its claim, after the caller has been told that the outcome is unknown."""
OUTCOME_POLL_DELAYS: Final = (0.02, 0.05, 0.1, 0.2, 0.4)
"""Seconds between polls for the outcome of a call that another request has started."""
ORIGIN_TIMEOUT_SECONDS: Final = 0.3
"""Longest wait for the peers' answers to where a stream began."""
SOURCE_TIMEOUT_SECONDS: Final = 0.5
"""Longest wait for the store's answer, if no peer knows it."""
VERSION_LAG_SECONDS: Final = 3.0
"""Longest time from a host's start to its entry, while the store is available: its
first heartbeat, and the delay until the change is read."""
DOUBT_MARGIN_SECONDS: Final = 1.5
"""Longest time from the end of a host's process to the verdict of the probes."""
MAX_OFFERS: Final = 4
"""Consecutive unsuccessful offers of one request before it is refused."""
MAX_LOST_ATTEMPTS: Final = 8
"""Lost attempts allowed for one request; planned moves do not count."""
NOT_RUN_TRUST_SECONDS: Final = 60.0
"""Age of an offer up to which an agent's "not run" is trusted. Agents remember attempts
for twice as long, which leaves room for process pauses and slow clocks."""
REQUEUE_SECONDS: Final = 5.0
"""How long accepted work that a draining agent returned may wait for another host."""
REFUSALS_TO_TRIP_BREAKER: Final = 2
"""Consecutive refusals after which the host's circuit breaker opens."""
UNREACHED_TO_PRESUME_GONE: Final = 2
"""Consecutive undeliverable offers after which a host is presumed gone although the
host list still has it. A single one may be due to a lost packet."""
MIN_HOSTS_TO_RISK_ONE: Final = 2
"""Hosts that must be able to run a suspected request before one of them is risked."""
TRIAL_WAIT_SECONDS: Final = 1.0
"""Longest time for which a request waits for the outcome of a run that has a suspected
prompt part in common with it."""
PAUSE_JITTER: Final = 0.1
"""Random share by which a pause is extended, so that all processes that were asked for
it do not return at the same moment."""
MAX_PAUSE_WAIT_SECONDS: Final = 0.5
"""Longest pause that a request waits out; for a longer one the caller is refused."""
PERMIT_WAIT_SECONDS: Final = 0.15
"""Longest wait for a permit of a host with a limit: the round trip to the gateway that
issues it, through two collectors."""
PROMPT_PERMIT_WAIT_SECONDS: Final = 0.5
"""The same for a request whose prompt has been read, which would be in vain."""
OK: Final = 200
MIN_FAILURE_STATUS: Final = 500
"""Lowest status with which an upstream reports a failure of its own."""
MIN_RETRY_AFTER: Final = 0.5
DEFAULT_RETRY_AFTER: Final = 1.0
MAX_RETRY_AFTER: Final = 60.0
STORE_RETRY_AFTER: Final = 2.0

CODE_OVERLOADED: Final = "overloaded"
CODE_EARLY: Final = "returned_early"
CODE_NO_UPSTREAM: Final = "no_upstream"
CODE_DEADLINE: Final = "deadline_exceeded"
CODE_KEY_REUSED: Final = "idempotency_key_reused"
CODE_OUTCOME_UNKNOWN: Final = "outcome_unknown"
CODE_STORE_UNAVAILABLE: Final = "store_unavailable"
CODE_CORRUPT: Final = "answer_corrupt"
CODE_LOST: Final = "upstream_lost"
CODE_REST_REFUSED: Final = "rest_refused"
CODE_RETRY_BUDGET: Final = "retry_budget_spent"
CODE_ENDS_HOSTS: Final = "ends_hosts"
CODE_STOPPING: Final = "stopping"
CODE_INTERNAL: Final = "internal_error"
CODE_VERSION_UNKNOWN: Final = "version_unknown"
CODE_VERSION_GONE: Final = "version_gone"
CODE_ROUTE_MOVED: Final = "route_moved"
