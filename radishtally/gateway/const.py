"""Constants of the gateway."""

from typing import Final

IDLE_MARGIN_SECONDS: Final = 1.0
"""Added to the configured idle timeout before a connection is closed, so that a caller
that counts from the last byte it sent never races with the close."""
IDLE_SWEEP_SECONDS: Final = 1.0
"""Interval between checks for idle connections."""
CROWDED_CONNECTIONS: Final = 1_000
"""Callers' connections beyond which idle ones are closed early."""
CROWDED_IDLE_SECONDS: Final = 1.0
MAX_CONNECTIONS: Final = 2_000
"""Callers' connections beyond which new ones are refused: half of the 4,096 file
descriptors of a machine. Calls to hosts and the store need the others."""
MAX_PROBE_CONNECTIONS: Final = 64
"""Connections to the readiness or metrics address beyond which the oldest is closed."""
MIN_LEAVE_SECONDS: Final = 3.0
"""Time for which a stopping gateway keeps accepting connections: the balancer checks
readiness once a second and stops sending after two answers other than 200."""
LEAVE_MARGIN_SECONDS: Final = 0.9
"""Time before the platform's kill at which a stopping gateway exits by itself: time to
shut its parts down, and a margin for a slow machine."""
HANDLER_LOOP_ITERATIONS: Final = 3
"""Event loop iterations from the read of a request to the start of its handler: the
HTTP library wakes the connection's task, which creates the handler's task. One more is
allowed as a margin."""
SHUTDOWN_TIMEOUT_SECONDS: Final = 0.4
"""Limit on the time that a stopping gateway waits for its parts to stop."""
CLOSE_SECONDS: Final = 0.1
"""Limit on the time that open requests get once connections are closed."""
LEAVE_POLL_SECONDS: Final = 0.05
DRAIN_SECONDS: Final = 2.0
"""Longest time for which the rest of a refused request's body is read."""
MAX_DRAINED_BYTES: Final = 8 * 1024 * 1024
SLOW_READER_SECONDS: Final = 3.0
"""Time after which a caller that reads nothing is cut off, if others wait for room."""
PIECE_BYTES: Final = 65_536
"""Bytes of a large answer that are passed to the connection at a time."""
DEFAULT_RETRY_AFTER: Final = 1.0
"""Retry-After seconds for refusals that carry no better estimate."""
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that guarantee the caller that its request did not run."""
RETRY_SHARE: Final = 0.5
"""Share of the deployment's retry budget that the gateways use together. Each gateway
counts only its own retries, and requests are spread unevenly over gateways."""
DEFAULT_GATEWAY_COUNT: Final = 16
"""Number of gateways assumed to share the retry budget until they are counted."""
UNAUTHORIZED: Final = 401
BAD_GATEWAY: Final = 502
GATEWAY_TIMEOUT: Final = 504
STAGES_LEASE: Final = "stages"
"""Name of the lease whose holder assigns roles to engines."""
LEASE_SECONDS: Final = 6.0
"""Duration of the lease: twice the minimum time between two holders that deployments
require. A faster takeover gains little, since roles stay unchanged meanwhile."""
LEASE_HANDOVER_FACTOR: Final = 2.0
"""Minimum duration of the lease, as a multiple of the minimum time between two
holders."""
LEASE_MARGIN_SECONDS: Final = 0.5
LEASE_RENEW_SECONDS: Final = 2.0
LEASE_READ_SECONDS: Final = 2.0
"""Interval between reads of the lease; each read is a billed call to the store."""
LOAD_BATCH_SECONDS: Final = 0.02
"""Time over which changes of the open work are batched for the other gateways: a third
of an engine's shortest prefill time."""
JOIN_POLL_SECONDS: Final = 1.0
"""Interval between calls to the store while this gateway or others are starting."""
PEER_READ_SECONDS: Final = 10.0
"""Interval between reads of the gateways' rows; each read is a call to the store."""
SECRET_CHECK_SECONDS: Final = 5.0
"""Time for which a peer is out of reach until the shared secret is read again: it may
have started with another one."""
ERA_READ_SPREAD_SECONDS: Final = 2.0
"""Time over which gateways spread their reads in a new era of the store. With three
calls each, 330 gateways make 500 calls a second, half of their allowance."""
STARTUP_PEER_READS: Final = 4
"""Number of reads at the shorter interval after startup, while other gateways may be
starting as well."""
GATHER_SECONDS_PER_GATEWAY: Final = 0.015
"""Time per gateway for which changes in the store are left to accumulate between
queries. All gateways together then query each table about 90 times a second, whatever
their number. Without it, when 64 hosts registered within four seconds, each of 68
gateways sent one query per host."""
GATHER_MARGIN_SECONDS: Final = 0.15
"""Part of a host's drain time that is reserved for the store's answer and for a slow
machine, and is not used to let changes accumulate."""
