"""Constants of the links."""

from typing import Final

METHOD_EXCHANGE: Final = "/radishtally.Link/Exchange"
ATTR_HOST: Final = "radishtally-host"
ATTR_INCARNATION: Final = "radishtally-incarnation"
ATTR_TOKEN: Final = "radishtally-token"

PING_INTERVAL_SECONDS: Final = 0.5
"""Heartbeat interval of a link with requests in flight."""
IDLE_PING_INTERVAL_SECONDS: Final = 2.0
"""Heartbeat interval of an idle link."""
SILENCE_TIMEOUT_SECONDS: Final = 1.5
"""Time without received data after which a link with requests in flight is closed."""
IDLE_SILENCE_TIMEOUT_SECONDS: Final = 5.0
MAX_PINGS_PER_SECOND: Final = 40.0
"""Maximum rate of regular pings that a process sends over all its links: see
docs/CAPACITY.md."""
DIAL_TIMEOUT_SECONDS: Final = 1.0
"""Timeout for setting up a link."""
MAX_STRANGERS: Final = 512
"""Accepted connections without the shared key beyond which the oldest is closed. All
processes of a fleet may dial at the same time."""
MAX_STRANGER_BYTES: Final = 65_536
STRANGER_SECONDS: Final = 5.0
"""Limits on what a connection sends, and how long it lasts, without the shared key."""
MIN_REDIAL_SECONDS: Final = 0.1
MAX_REDIAL_SECONDS: Final = 2.0
TARGET_FRAME_BYTES: Final = 1024 * 1024
"""Size from which no more messages are added to a frame."""
MAX_OUTBOX_BYTES: Final = 64 * 1024 * 1024
"""Maximum size of the messages queued for a slow peer before its link is closed."""
