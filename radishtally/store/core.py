"""Interfaces of the platform's table, object store and host list."""

from typing import Any, Final, NamedTuple, Protocol

from radishtally.outcome import Result

ABSENT: Final = 0
"""Expected revision of a row that must not exist yet."""
UNREADABLE: Final = -1
"""Expected revision of a row that was last read as bytes that can't be decoded."""

MAX_WRITES: Final = 100
"""Maximum number of rows in one transaction, a limit of DynamoDB."""


class Key(NamedTuple):
    """Identify a row by its partition key and sort key."""

    pk: str
    sk: str


class Row(NamedTuple):
    """Represent a row that was read."""

    key: Key
    rev: int
    write_id: str
    value: dict[str, Any]
    era: int = 0
    """Era of the store that returned the row; 0 if the store reports none."""


class Put(NamedTuple):
    """Write a row if it has the expected revision."""

    key: Key
    value: dict[str, Any]
    expect: int | None
    """Required current revision; ABSENT for a new row, UNREADABLE for one of another
    writer's bytes, None for no condition."""


class Delete(NamedTuple):
    """Delete a row if it has the expected revision."""

    key: Key
    expect: int


class Check(NamedTuple):
    """Require a row to have the expected revision, without writing it."""

    key: Key
    expect: int


Write = Put | Delete | Check


def find_next_revision(expect: int | None) -> int:
    """Return the revision that a row has after a write that expects one."""
    return max(expect or ABSENT, ABSENT) + 1


class Conflict(NamedTuple):
    """Error: the conditions of these writes failed; no write took effect."""

    indexes: tuple[int, ...]


class Unavailable(NamedTuple):
    """Error: the service definitely did not carry out the call."""

    message: str


class Unclear(NamedTuple):
    """Error: the outcome is unknown; the call may have taken effect."""

    message: str


class Invalid(NamedTuple):
    """Error: the service rejected the call as malformed."""

    message: str


TableError = Conflict | Unavailable | Unclear | Invalid
ReadError = Unavailable | Invalid


class Table(Protocol):
    """Read and write rows in transactions."""

    async def get(self, key: Key) -> Result[Row | None, ReadError]:
        """Read one row."""

    async def query(
        self,
        pk: str,
        *,
        after: str = "",
        prefix: str = "",
        limit: int = 100,
        newest_first: bool = False,
    ) -> Result[list[Row], ReadError]:
        """Read rows of one partition in the order of their sort keys."""

    async def transact(
        self, writes: list[Write], write_id: str
    ) -> Result[None, TableError]:
        """Carry out all writes or none; each written row stores the write id."""


class Objects(Protocol):
    """Store immutable objects under their content hash."""

    async def put(self, key: str, body: bytes) -> Result[None, Unavailable]:
        """Store an object."""

    async def get(self, key: str) -> Result[bytes | None, Unavailable]:
        """Read an object; return None if it does not exist."""


class ListedHost(NamedTuple):
    """Represent one entry of the platform's host list."""

    host: str
    place: str
    upstream: str
    """Upstream that the host's agent runs beside, or ENTRY."""
    address: str
    """IP address and port for links to the host."""
    state: str
    """LIVE or LEAVING."""


ENTRY: Final = "entry"
LIVE: Final = "live"
LEAVING: Final = "leaving"
