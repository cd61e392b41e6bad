"""Name what the core of a lease takes and gives."""

from typing import Final, NamedTuple, NotRequired, TypedDict

from radishtally.outcome import Result
from radishtally.store.core import Key, Put, Row, TableError

LEASE: Final = "lease"
RELEASED: Final = 0.0
"""Seconds granted by a row whose holder has given the lease up."""


class LeaseTerms(NamedTuple):
    """Set the times of a lease, in seconds."""

    granted: float = 10.0
    margin: float = 1.0
    """Covers clocks that run at different rates, on either side."""
    renew_every: float = 3.0
    read_every: float = 1.0


class LeaseValue(TypedDict):
    """Hold what the lease row says."""

    holder: str
    incarnation: str
    fencing: int
    granted: float
    counter: int
    era: NotRequired[int]
    """Newest era that the writer knew of; absent counts as 0."""


class Tick(NamedTuple):
    """Let time pass."""


class RowRead(NamedTuple):
    """Give the lease row as it stands."""

    row: Row | None
    asked_at: float


class ReadFailed(NamedTuple):
    """Say that the lease row could not be read."""


class WriteSettled(NamedTuple):
    """Give the outcome of a lease write."""

    write_id: str
    outcome: Result[None, TableError]


class Resign(NamedTuple):
    """Ask to give the lease up for good."""


class Contend(NamedTuple):
    """Say whether to look at the lease while another one holds it."""

    contends: bool


class Outdated(NamedTuple):
    """Say that an order was refused, as a higher fencing number has been used."""

    fencing: int


class EraEntered(NamedTuple):
    """Say that the store answers from a new era, or that its era was seen first.

    Calls that are under way are over with it: their outcomes are not to be given.
    """

    era: int


Event = (
    Tick
    | RowRead
    | ReadFailed
    | WriteSettled
    | Resign
    | Contend
    | Outdated
    | EraEntered
)


class ReadLease(NamedTuple):
    """Read the lease row."""

    key: Key


class WriteLease(NamedTuple):
    """Write the lease row."""

    put: Put
    write_id: str


class Gained(NamedTuple):
    """Say that the lease is held from now on."""

    fencing: int


class LostLease(NamedTuple):
    """Say that the lease is no longer held."""

    cause: str


class Misread(NamedTuple):
    """Say that the row that stands now is not one of a lease."""

    fault: str


class WakeAt(NamedTuple):
    """Ask for a Tick."""

    time: float


Command = ReadLease | WriteLease | Gained | LostLease | Misread | WakeAt
