"""Events that the lease core handles and commands that it returns."""

from typing import Final, NamedTuple, NotRequired, TypedDict

from radishtally.outcome import Result
from radishtally.store.core import Key, Put, Row, TableError

LEASE: Final = "lease"
RELEASED: Final = 0.0
"""Value of `granted` in a row whose holder has released the lease."""


class LeaseTerms(NamedTuple):
    """Define the timing of a lease, in seconds."""

    granted: float = 10.0
    """Lease duration, counted from each write of the row."""
    margin: float = 1.0
    """Safety margin for clock drift, applied by holder and contenders alike."""
    renew_every: float = 3.0
    read_every: float = 1.0


class LeaseValue(TypedDict):
    """Represent the value of the lease row."""

    holder: str
    incarnation: str
    fencing: int
    granted: float
    counter: int
    era: NotRequired[int]
    """Newest store era that the writer knew of; a missing field counts as 0."""


class Tick(NamedTuple):
    """Event: time has passed."""


class RowRead(NamedTuple):
    """Event: the lease row was read."""

    row: Row | None
    asked_at: float
    """Monotonic time at which the read was sent."""


class ReadFailed(NamedTuple):
    """Event: the lease row could not be read."""


class WriteSettled(NamedTuple):
    """Event: a write of the lease row has ended with this outcome."""

    write_id: str
    outcome: Result[None, TableError]


class Resign(NamedTuple):
    """Event: this process releases the lease and stops contending for good."""


class SetContending(NamedTuple):
    """Event: start or stop contending for a lease that another process holds."""

    contends: bool


class FencingOutdated(NamedTuple):
    """Event: an order was refused because a higher fencing token has been seen."""

    fencing: int


class EraEntered(NamedTuple):
    """Event: the store answers from a new era, or its era is seen for the first time.

    Calls in flight are abandoned; their outcomes must not be reported to the core.
    """

    era: int


Event = (
    Tick
    | RowRead
    | ReadFailed
    | WriteSettled
    | Resign
    | SetContending
    | FencingOutdated
    | EraEntered
)


class ReadLease(NamedTuple):
    """Command: read the lease row."""

    key: Key


class WriteLease(NamedTuple):
    """Command: write the lease row."""

    put: Put
    write_id: str


class LeaseGained(NamedTuple):
    """Command: report that the lease is now held under this fencing token."""

    fencing: int


class LeaseLost(NamedTuple):
    """Command: report that the lease is no longer held."""

    cause: str


class RowInvalid(NamedTuple):
    """Command: report that the row in the table is not a valid lease."""

    fault: str


class WakeAt(NamedTuple):
    """Command: send a Tick at this monotonic time."""

    time: float


Command = ReadLease | WriteLease | LeaseGained | LeaseLost | RowInvalid | WakeAt
