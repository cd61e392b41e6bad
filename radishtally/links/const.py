"""Constants of the links."""

from typing import Final

METHOD_EXCHANGE: Final = "/radishtally.Link/Exchange"
ATTR_HOST: Final = "radishtally-host"
ATTR_INCARNATION: Final = "radishtally-incarnation"
ATTR_TOKEN: Final = "radishtally-token"

PING_SECONDS: Final = 0.5
"""Time between heartbeats while work is open on a link."""
IDLE_PING_SECONDS: Final = 2.0
"""Time between heartbeats on a link without open work."""
SILENCE_SECONDS: Final = 1.5
"""Time without any sign of life after which a link with open work is given up."""
IDLE_SILENCE_SECONDS: Final = 5.0
MAX_PINGS_PER_SECOND: Final = 40.0
"""Most regular pings that one process sends over all its links: docs/CAPACITY.md."""
DIAL_SECONDS: Final = 1.0
"""Longest time that setting up a link may take."""
MIN_REDIAL_SECONDS: Final = 0.1
MAX_REDIAL_SECONDS: Final = 2.0
FRAME_BYTES: Final = 1024 * 1024
"""Size from which a frame takes no more messages."""
MAX_OUTBOX_BYTES: Final = 64 * 1024 * 1024
"""Most that may wait for a slow peer before its link is dropped."""
