"""Constants of direct upstreams."""

from typing import Final

CONNECT_SECONDS: Final = 0.25
"""Longest time to make a connection. Within a region it takes two trips of some
milliseconds; a host that is cut off would else hold the request past its objective."""
USER_TIMEOUT_MS: Final = 1_500
"""Time that sent bytes may stay unconfirmed before the connection counts as dead: some
retransmissions on a link that loses packets, and well under the callers' patience."""
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_PROBE_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
"""A connection that has gone silent is dead after idle time and probes, 3 s in all."""
POOL_SECONDS: Final = 4.0
"""Time that an idle connection is kept for the next request. Shorter than what hosts
allow, so that they seldom close one just as a request goes out on it."""
READ_BYTES: Final = 65_536
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
"""Longest answer that is collected before it is passed on."""
DROP_SECONDS: Final = 1.0
"""Longest time to free a KV cache; the engine frees it by itself some seconds later."""
OK: Final = 200
ORDER_SECONDS: Final = 1.0
"""Longest time to ask an engine or to give it an order; it answers in milliseconds."""
