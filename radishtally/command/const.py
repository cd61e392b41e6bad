"""Constants of the command-line tool."""

from typing import Final

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
"""Any other error, such as an internal error of an entry."""
EXIT_USAGE: Final = 2
EXIT_REFUSED: Final = 3
"""The configuration was refused by a check."""
EXIT_CONFLICT: Final = 4
"""Another operator made a conflicting change."""
EXIT_UNAVAILABLE: Final = 5
"""No entry can be reached, or the entry can't reach the platform's store."""
EXIT_NOT_CONFIRMED: Final = 6
"""The change is in force, but some hosts did not confirm it in time."""
EXIT_NOT_FOUND: Final = 7
EXIT_KEY_REFUSED: Final = 8

URL_VARIABLE: Final = "RADISHTALLY_URL"
KEY_VARIABLE: Final = "RADISHTALLY_KEY"
BASE_PATH: Final = "/operators/v1"
CONNECT_TIMEOUT_SECONDS: Final = 3.0
REPLY_TIMEOUT_SECONDS: Final = 30.0
MAX_REPLY_BYTES: Final = 64 * 1024 * 1024
MAX_LIMIT: Final = 1_000
MAX_WAIT_SECONDS: Final = 60.0
MAX_DIFF_LINES: Final = 60
