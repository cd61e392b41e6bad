"""Constants of the command-line tool."""

from typing import Final

EXIT_FINE: Final = 0
EXIT_FAILED: Final = 1
"""Something that none of the others names, such as a fault within an entry."""
EXIT_USAGE: Final = 2
EXIT_REFUSED: Final = 3
"""The configuration does not pass the checks."""
EXIT_RACED: Final = 4
"""Another operator changed the same thing."""
EXIT_AWAY: Final = 5
"""No entry can be reached, or the entry can't reach the platform's store."""
EXIT_NOT_CONFIRMED: Final = 6
"""The change is made, but some hosts did not confirm it in time."""
EXIT_NOT_FOUND: Final = 7
EXIT_KEY_REFUSED: Final = 8

URL_VARIABLE: Final = "RADISHTALLY_URL"
KEY_VARIABLE: Final = "RADISHTALLY_KEY"
BASE_PATH: Final = "/operators/v1"
CONNECT_SECONDS: Final = 3.0
REPLY_SECONDS: Final = 30.0
MAX_LIMIT: Final = 1_000
MAX_WAIT_SECONDS: Final = 60.0
MAX_DIFF_LINES: Final = 60
