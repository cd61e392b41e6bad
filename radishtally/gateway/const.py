"""Constants of the gateway."""

from typing import Final

MAX_HEADER_BYTES: Final = 65_536
"""Longest head of a request that is read at all; the configuration's bound is checked
behind it, since it may change while connections are open."""
IDLE_MARGIN_SECONDS: Final = 1.0
"""Time over the configured idle time after which a connection is closed, so that a
caller that counts from its last byte never meets the close."""
IDLE_SWEEP_SECONDS: Final = 1.0
"""Time between two looks for idle connections."""
LISTEN_BACKLOG: Final = 1_024
"""Connections that wait to be accepted; beyond them callers try again after seconds."""
MIN_LEAVE_SECONDS: Final = 3.0
"""Time that a stopping gateway goes on taking connections: the balancer asks once a
second and stops sending after two answers that are not 200."""
LEAVE_MARGIN_SECONDS: Final = 0.9
"""Time before the platform's kill at which a stopping gateway ends by itself: time to
unload, and some for a machine that is slow just then."""
HANDLER_LOOP_ITERATIONS: Final = 3
"""Turns of the loop from a request that has been read to its handler: the HTTP library
wakes the connection's task, which makes one for the handler; and one to spare."""
SHUTDOWN_TIMEOUT_SECONDS: Final = 0.4
"""Longest time that a stopping gateway waits for its parts."""
LEAVE_POLL_SECONDS: Final = 0.05
DEFAULT_RETRY_AFTER: Final = 1.0
"""Seconds until it is worth asking again where nothing better is known."""
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise the caller that its request did not run."""
RETRY_SHARE: Final = 0.5
"""Part of the retries that the deployment allows which gateways use: each counts its
own alone, and requests spread unevenly over them."""
DEFAULT_GATEWAY_COUNT: Final = 16
"""Gateways that are taken to share the retries until they have been counted."""
BAD_GATEWAY: Final = 502
GATEWAY_TIMEOUT: Final = 504
STAGES_LEASE: Final = "stages"
"""Name of the lease under which engines are given their roles."""
LEASE_SECONDS: Final = 6.0
"""Time of the lease: twice what the deployments ask of two holders' turns, since a
takeover within seconds buys little where roles stand as they are meanwhile."""
LEASE_HANDOVER_FACTOR: Final = 2.0
"""Times the least time between two holders' turns that the lease lasts at least."""
LEASE_MARGIN_SECONDS: Final = 0.5
LEASE_RENEW_SECONDS: Final = 2.0
LEASE_READ_SECONDS: Final = 2.0
"""Each read is a call to the store, and has its price."""
LOAD_BATCH_SECONDS: Final = 0.02
"""Time over which changes of what is open are put together for the other gateways; a
third of the least time that an engine takes for a prompt."""
JOIN_POLL_SECONDS: Final = 1.0
"""Time between two calls to the store while this gateway or others are starting."""
PEER_READ_SECONDS: Final = 10.0
"""Time between two looks for new gateways; each look is a call to the store."""
ERA_READ_SPREAD_SECONDS: Final = 2.0
"""Time over which gateways spread their looks at a new era of the store: with three
calls each, 330 of them ask 500 times a second, half of what they may take of it."""
STARTUP_PEER_READS: Final = 4
"""Looks right after the start, while the others start too."""
GATHER_SECONDS_PER_GATEWAY: Final = 0.015
"""Time for each gateway over which changes of the store are gathered before more are
asked for: together they then ask some 90 times a second for each table, whatever their
number. When 64 hosts registered within four seconds, each of 68 gateways asked once for
each of them."""
GATHER_MARGIN_SECONDS: Final = 0.15
"""Time that is kept free of the gathering, of that for which a host may still be sent
requests after its entry is gone: for an answer of the store and a slow machine."""
