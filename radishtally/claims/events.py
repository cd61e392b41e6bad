"""Events that the claims' core takes, commands that it gives, outcomes of claims."""

from typing import NamedTuple

import msgspec

from radishtally.claims.record import (
    Claim,
    StoredAnswer,
)
from radishtally.outcome import Result
from radishtally.store.core import (
    Key,
    Put,
    Row,
    TableError,
)


class _Outcome(msgspec.Struct, frozen=True):
    """Tell outcomes apart by type when they are compared.

    Empty named tuples are all equal, so a comparison with Granted() would hold for a
    refusal and let a call run that was not claimed.
    """


class Granted(_Outcome, frozen=True):
    """Say that the call may run, once, by who asked."""


class Repeated(_Outcome, frozen=True):
    """Say that the call ran before, with this answer."""

    answer: StoredAnswer


class UnknownOutcome(_Outcome, frozen=True):
    """Say that the call was claimed before and its outcome is not known."""


class KeyReused(_Outcome, frozen=True):
    """Say that the key belongs to a call with another body."""


class StoreAway(_Outcome, frozen=True):
    """Say that the claim could not be made and the call did not run."""


ClaimOutcome = Granted | Repeated | UnknownOutcome | KeyReused | StoreAway


class ClaimAsked(NamedTuple):
    """Ask to run a call."""

    caller: int
    """Number by which the answer is matched."""
    claim: Claim
    deadline: float
    expires: int
    """Seconds since 1970 after which the platform may remove the row."""


class CallFinished(NamedTuple):
    """Give the answer of a call that was granted."""

    claim: Claim
    answer: StoredAnswer


class CallReleased(NamedTuple):
    """Say that a call that was granted surely did not run and won't."""

    claim: Claim


class GroupSettled(NamedTuple):
    """Give the outcome of a transaction."""

    write_id: str
    outcome: Result[None, TableError]


class RowRead(NamedTuple):
    """Give a row as it stands."""

    key: Key
    row: Row | None


class RowUnread(NamedTuple):
    """Say that a row could not be read."""

    key: Key


class Tick(NamedTuple):
    """Let time pass."""


Event = (
    ClaimAsked | CallFinished | CallReleased | GroupSettled | RowRead | RowUnread | Tick
)


class SendGroup(NamedTuple):
    """Carry out one transaction."""

    write_id: str
    puts: list[Put]


class ReadRow(NamedTuple):
    """Read a row."""

    key: Key


class Answer(NamedTuple):
    """Answer who asked to run a call."""

    caller: int
    outcome: ClaimOutcome


class OutcomeLost(NamedTuple):
    """Say that an outcome is given up; repeats are told that it is unknown."""

    request: str
    cause: str


class WakeAt(NamedTuple):
    """Ask for a Tick."""

    time: float


Command = SendGroup | ReadRow | Answer | OutcomeLost | WakeAt
