"""Constants of the entry."""

from typing import Final

OFFER_TIMEOUT_SECONDS: Final = 1.0
"""Longest time that an agent may leave an offer without a word."""
CANCEL_TIMEOUT_SECONDS: Final = 2.0
"""Longest wait for the word that a withdrawn attempt did not start."""
RECONNECT_GRACE_SECONDS: Final = 1.0
"""Time that a lost link gets to come back before an answer goes on elsewhere."""
CALL_RECONNECT_GRACE_SECONDS: Final = 4.0
"""The same for a call that may not run twice: only its agent knows the outcome."""
OUTCOME_WAIT_SECONDS: Final = 60.0
"""Time that the outcome of a call that may not run twice is awaited for its claim,
after the caller has been told that it is not known."""
OUTCOME_POLL_DELAYS: Final = (0.02, 0.05, 0.1, 0.2, 0.4)
"""Seconds between looks for the outcome of a call that another request has begun."""
MAX_OFFERS: Final = 4
"""Agents that one request is offered to before it is refused."""
MAX_LOST_ATTEMPTS: Final = 8
"""Attempts of one request that may be lost; planned moves do not count."""
NOT_RUN_TRUST_SECONDS: Final = 60.0
"""Age of an offer up to which an agent's memory can tell that it never began. Agents
remember for twice as long, so neither a pause nor a slow clock makes it untrue."""
REQUEUE_SECONDS: Final = 5.0
"""Time that accepted work which a leaving agent gave back waits for another host."""
REFUSALS_TO_TRIP_BREAKER: Final = 2
"""Refusals in a row after which a host is left out for a while."""
UNREACHED_TO_PRESUME_GONE: Final = 2
"""Offers in a row that could not be brought to a host, from which it is taken for gone
before the list of hosts says so: one alone may be a lost packet."""
MIN_HOSTS_TO_RISK_ONE: Final = 2
"""Hosts that must be able to run a request for one of them to be risked."""
PAUSE_JITTER: Final = 0.1
"""Part of a pause by which its end is put off at random: all who were asked for it
would come back together."""
MAX_PAUSE_WAIT_SECONDS: Final = 0.5
"""Longest pause that a request waits for; for longer ones its caller is told."""
OK: Final = 200
MIN_FAILURE_STATUS: Final = 500
"""Least status of an answer in which an upstream says that it failed."""
MIN_RETRY_AFTER: Final = 0.5
DEFAULT_RETRY_AFTER: Final = 1.0
MAX_RETRY_AFTER: Final = 60.0
STORE_RETRY_AFTER: Final = 2.0

CODE_OVERLOADED: Final = "overloaded"
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
