"""Constants of usage counts and reports."""

from typing import Final

USAGE: Final = "usage"
"""Partition of the rows that hold the counts to report."""
SEND_SECONDS: Final = 0.2
"""Interval between messages with new counts: a gateway that is killed loses the
requests of this time."""
CLOSE_SECONDS: Final = 0.3
"""Time after the end of a window until a gateway takes its count for complete."""
MAX_CLOSE_WAIT_SECONDS: Final = 4.0
"""Longest time after the end of a window for which a report waits for the counts of all
gateways: one that was killed never completes its count."""
TICK_SECONDS: Final = 0.25
"""Interval between checks for windows to report."""
CALL_SECONDS: Final = 1.0
"""Timeout of a call to the platform."""
WRITE_SECONDS: Final = 1.5
"""Time within which a row must be written or read."""
MAX_RETRY_SECONDS: Final = 2.0
"""Longest delay before a failed call is repeated."""
KEPT_WINDOWS: Final = 12
"""Number of windows for which counts are kept."""
PRUNED_WINDOWS: Final = 60
"""Number of windows that keep their rows, and between two removals of older ones."""
CLOCK_SAMPLES: Final = 61
"""Readings of the time of day, one a second, whose median gives the time: the clock of
some machines jumps by seconds and back."""
