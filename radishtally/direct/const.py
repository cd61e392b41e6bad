"""Constants of direct upstreams."""

from typing import Final

CONNECT_SECONDS: Final = 0.25
"""Connection timeout. Within a region connecting takes two round trips of a few
milliseconds; without the timeout an unreachable host would delay the request past its
objective."""
USER_TIMEOUT_MS: Final = 1_500
"""How long sent data may stay unacknowledged before the connection counts as dead. It
allows some retransmissions on a lossy link and is well below the callers' timeouts."""
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_PROBE_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
"""A silent connection is closed after the idle time and the probes, 3 s in total."""
IDLE_CONNECTION_SECONDS: Final = 4.0
"""How long an idle connection is kept. Shorter than the hosts' own keep-alive timeouts,
so that a host rarely closes a connection just as a request is sent on it."""
READ_BYTES: Final = 65_536
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
"""Largest answer that is buffered before it is passed on."""
ROOM_SECONDS: Final = 5.0
"""Longest time for which an answer of unknown length waits for more room: longer than
callers who read nothing are kept while others wait."""
MAX_ERROR_BYTES: Final = 1024 * 1024
"""Largest body of an answer that reports an error."""
MAX_STREAM_BYTES: Final = 4 * 1024 * 1024
"""Largest stream; its events are kept so that another host can continue it."""
FREE_STREAM_BYTES: Final = 256 * 1024
"""Size up to which a stream takes no room from large bodies."""
MAX_HANDLE_BYTES: Final = 16 * 1024
"""Largest answer to a prompt that was only prefilled."""
MAX_REPORT_BYTES: Final = 1024 * 1024
"""Largest answer that a host gives about itself, such as its list of cached parts."""
FREE_KV_TIMEOUT_SECONDS: Final = 1.0
"""Timeout for freeing a KV cache; the engine frees it by itself some seconds later."""
OK: Final = 200
ENGINE_CALL_TIMEOUT_SECONDS: Final = 1.0
"""Timeout for querying an engine or giving it an order; it answers in milliseconds."""
