"""Constants of the agent."""

from typing import Final

FLUSH_SECONDS: Final = 0.02
"""Time over which parts of one answer are put together."""
CHUNK_BYTES: Final = 1024 * 1024
"""Most that one message carries of an answer; far over any text, so that only the
bodies of calls are cut."""
EXPIRE_SECONDS: Final = 0.05
"""Time between looks at queued work that can't be met any more."""
IDLE_WAKE_SECONDS: Final = 0.5
ORPHAN_SECONDS: Final = 5.0
"""Time that work without a key goes on after the link to its entry is gone."""
RETAIN_SECONDS: Final = 120.0
"""Time that an ended answer is kept for a repeat of its idempotency key."""
UNKEYED_RETAIN_SECONDS: Final = 10.0
ATTEMPT_RETENTION_SECONDS: Final = 120.0
"""Time that an attempt's name is remembered; twice what an entry relies on."""
DELIVER_SECONDS: Final = 5.0
"""Time that a stopping agent waits for the word that an answer's end has come."""
MAX_RETAINED_BYTES: Final = 8 * 1024 * 1024
"""Answers kept for repeats; beyond it those go first that their callers have."""
MAX_UNDELIVERED_BYTES: Final = 64 * 1024 * 1024
"""Answers kept in all."""
STATE_SECONDS: Final = 0.5
"""Time between looks at the engine's state."""
UPSTREAM_CONNECT_SECONDS: Final = 2.0
FIRST_TOKEN_SECONDS: Final = 8.0
PREFILL_PATIENCE: Final = 4.0
"""Times its own prefill that a first token is waited for, beyond the seconds above: an
engine may prefill others' prompts beside it."""
STREAM_SILENCE_SECONDS: Final = 4.0
"""Time without a token, after the first one, after which a stream is given up."""
CALL_SECONDS: Final = 600.0
"""Longest time that a call which may not run twice holds its place."""
SERVICE_LATENCY_START: Final = 0.05
"""Seconds that a service call is taken to last until one has been seen."""
LATENCY_WEIGHT: Final = 0.1
REASON_CANCELLED: Final = "cancelled"
REASON_NOT_READY: Final = "upstream not ready"
REASON_NOT_MET: Final = "deadline can't be met"
LEAVING_RETRY_SECONDS: Final = 1.0
