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
CHECK_SECONDS: Final = 1.0
"""Interval between checks for clients who have left while nothing is read from them."""
FREE_BYTES: Final = 65_536
"""Size up to which a body is small: most are, and slow readers of large ones must not
hold them up."""
LARGE_SHARE: Final = 0.2
"""Share of a process's memory for large bodies. Each may be copied once on its way."""
MIN_LARGE_BYTES: Final = 16 * 1024 * 1024
"""Lower bound of the room for large bodies: the largest answer must fit."""
SMALL_SHARE: Final = 0.15
"""Share for small bodies when large ones have taken theirs."""
BODY_ROOM_SECONDS: Final = 1.0
"""Longest time for which a request waits for room for its body."""
BODY_GRACE_SECONDS: Final = 0.5
MIN_BODY_RATE: Final = 65_536
"""Bytes a second below which a body is cut off after that time, if others wait."""
CUT_OFF_SECONDS: Final = 0.1
"""Shortest interval between checks for slow bodies."""
FREE_CHUNKS: Final = 4_096
MIN_CHUNK_BYTES: Final = 16
"""Mean size of a body's chunks below which it is refused, once it has that many."""
CHUNKS_AT_A_TIME: Final = 256
"""Chunks after which other connections are served."""
