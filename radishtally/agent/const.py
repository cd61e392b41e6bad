"""Constants of the agent."""

from typing import Final

FLUSH_INTERVAL_SECONDS: Final = 0.02
"""Parts of one answer that arrive within this interval are sent as one message."""
MAX_CHUNK_BYTES: Final = 1024 * 1024
"""Most bytes of an answer in one message. Generated texts are far smaller, so only the
response bodies of calls are split."""
EXPIRE_INTERVAL_SECONDS: Final = 0.05
"""Interval between checks for queued work that can no longer meet its deadline."""
IDLE_WAKE_SECONDS: Final = 0.5
ORPHAN_GRACE_SECONDS: Final = 5.0
"""How long open work without a linked entry is kept; with an idempotency key, counted
from its deadline if that is later."""
KEYED_RETENTION_SECONDS: Final = 120.0
"""How long an ended answer is kept for a repeat of its idempotency key."""
UNKEYED_RETENTION_SECONDS: Final = 10.0
"""How long an ended answer without an idempotency key is kept."""
ATTEMPT_RETENTION_SECONDS: Final = 120.0
"""How long the outcome of an ended attempt is remembered; at least twice as long as
entries rely on it."""
DELIVERY_TIMEOUT_SECONDS: Final = 5.0
"""How long a stopping agent waits for an entry to acknowledge an answer's end."""
MAX_RETAINED_BYTES: Final = 8 * 1024 * 1024
"""Limit on the size of retained answers; beyond it, delivered ones are evicted."""
MAX_UNDELIVERED_BYTES: Final = 64 * 1024 * 1024
"""Limit on the size of retained answers, beyond which any are evicted."""
STATE_POLL_SECONDS: Final = 0.5
"""Interval between polls of the upstream's state."""
CONNECT_TIMEOUT_SECONDS: Final = 2.0
FIRST_TOKEN_TIMEOUT_SECONDS: Final = 8.0
PREFILL_TIMEOUT_FACTOR: Final = 4.0
"""Multiple of the expected prefill time that is added to the time-out of the first
token, because an engine may prefill other prompts at the same time."""
NEXT_TOKEN_TIMEOUT_SECONDS: Final = 4.0
"""Time without a token, after the first one, after which a stream is aborted."""
CALL_TIMEOUT_SECONDS: Final = 600.0
"""Longest time that a call which may not run twice occupies a slot."""
INITIAL_SERVICE_LATENCY: Final = 0.05
"""Latency of a service call, in seconds, until one has been observed."""
LATENCY_EWMA_WEIGHT: Final = 0.1
"""Weight of the newest service call in the moving average of the latency."""
REASON_CANCELLED: Final = "cancelled"
REASON_NOT_READY: Final = "upstream not ready"
REASON_DEADLINE: Final = "deadline can't be met"
REASON_UNEXPECTED: Final = "unexpected error"
REFUSAL_RETRY_SECONDS: Final = 1.0
