"""Constants of the bounds on what clients send."""

from typing import Final

READ_BYTES: Final = 16_384
"""Most bytes that are read from a connection at a time."""
MAX_HEAD_BYTES: Final = 65_536
"""Size of a request's head beyond which it is not read on. Where the configured limit
is larger, twice that applies: a head takes more bytes than its fields."""
MAX_FIELDS: Final = 128
FIELD_BYTES: Final = 250
"""Memory that a field takes besides its bytes."""
PARSED_REQUESTS: Final = 2
"""Requests of a pipeline that are parsed before the first of them has been handled."""
BODY_READ_AHEAD_BYTES: Final = 4_096
"""Bytes of a body that are buffered before its request is handled."""
ERROR_TEXT_BYTES: Final = 200
"""Length to which errors that quote a client's bytes are cut."""
UNPARSED_SHARE: Final = 0.05
"""Share of a process's memory for the bytes that belong to no request yet."""
MIN_UNPARSED_BYTES: Final = 4 * 1024 * 1024
