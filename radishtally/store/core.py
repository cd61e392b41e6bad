"""Contracts of the platform's services, as the rest of the system sees them."""

from typing import Any, Final, NamedTuple, Protocol

from radishtally.outcome import Result

ABSENT: Final = 0
"""Expected revision of a row that must not exist yet."""

MAX_WRITES: Final = 100
"""Most rows that one transaction may touch, as DynamoDB sets it."""


class Key(NamedTuple):
    """Name a row."""

    pk: str
    sk: str


class Row(NamedTuple):
    """Hold a row as it was read."""

    key: Key
    rev: int
    write_id: str
    value: dict[str, Any]
    era: int = 0


class Put(NamedTuple):
    """Write a row, if its revision is the expected one."""

    key: Key
    value: dict[str, Any]
    expect: int | None
    """Revision that must stand; ABSENT for a new row, None for no condition."""


class Delete(NamedTuple):
    """Remove a row, if its revision is the expected one."""

    key: Key
    expect: int


class Check(NamedTuple):
    """Hold the transaction to a row's revision without writing it."""

    key: Key
    expect: int


Write = Put | Delete | Check


class Conflict(NamedTuple):
    """Say which writes of the transaction failed their condition; none took effect."""

    indexes: tuple[int, ...]


class Unavailable(NamedTuple):
    """Say that the service surely did not carry out the call."""

    message: str


class Unclear(NamedTuple):
    """Say that the call may have taken effect: its reply was lost."""

    message: str


class Invalid(NamedTuple):
    """Say that the service refused the call as malformed."""

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
        """Carry out all writes or none; every row written keeps the write id."""


class Objects(Protocol):
    """Keep immutable objects under their content hash."""

    async def put(self, key: str, body: bytes) -> Result[None, Unavailable]:
        """Store an object."""

    async def get(self, key: str) -> Result[bytes | None, Unavailable]:
        """Read an object; none if it is not there."""


class ListedHost(NamedTuple):
    """Hold one line of the platform's host list."""

    host: str
    place: str
    upstream: str
    """Upstream that the host's agent stands beside, or ENTRY."""
    address: str
    """IP and port of the host's links."""
    state: str
    """LIVE or LEAVING."""


ENTRY: Final = "entry"
LIVE: Final = "live"
LEAVING: Final = "leaving"
