"""Events that the claim core handles, its commands, and the outcomes of claims."""

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
    """Base of outcomes, which compare equal only if their types are the same.

    Empty named tuples are all equal, so a comparison with Granted() would also be true
    for a refusal and let an unclaimed call run.
    """


class Granted(_Outcome, frozen=True):
    """Outcome: the requester may run the call, once."""


class Repeated(_Outcome, frozen=True):
    """Outcome: the call already ran, with this answer."""

    answer: StoredAnswer


class UnknownOutcome(_Outcome, frozen=True):
    """Outcome: the call was claimed before and its result is unknown."""


class KeyReused(_Outcome, frozen=True):
    """Outcome: the key belongs to a call with a different body."""


class StoreAway(_Outcome, frozen=True):
    """Outcome: the call could not be claimed and did not run."""


ClaimOutcome = Granted | Repeated | UnknownOutcome | KeyReused | StoreAway


class ClaimRequested(NamedTuple):
    """Event: a caller requests permission to run a call."""

    caller: int
    """Number that matches the reply to this request."""
    claim: Claim
    deadline: float
    expires: int
    """Unix time in seconds after which the platform may remove the row."""


class CallFinished(NamedTuple):
    """Event: a granted call has its answer."""

    claim: Claim
    answer: StoredAnswer


class CallReleased(NamedTuple):
    """Event: a granted call certainly did not run and never will."""

    claim: Claim


class GroupSettled(NamedTuple):
    """Event: a transaction has finished."""

    write_id: str
    outcome: Result[None, TableError]


class RowRead(NamedTuple):
    """Event: a row was read."""

    key: Key
    row: Row | None


class RowReadFailed(NamedTuple):
    """Event: a row could not be read."""

    key: Key


class Tick(NamedTuple):
    """Event: time has passed."""


Event = (
    ClaimRequested
    | CallFinished
    | CallReleased
    | GroupSettled
    | RowRead
    | RowReadFailed
    | Tick
)


class SendGroup(NamedTuple):
    """Command: execute one transaction."""

    write_id: str
    puts: list[Put]


class ReadRow(NamedTuple):
    """Command: read a row."""

    key: Key


class ReplyToCaller(NamedTuple):
    """Command: reply to a caller that requested a claim."""

    caller: int
    outcome: ClaimOutcome


class OutcomeLost(NamedTuple):
    """Command: report that an outcome can't be stored; repeats get "unknown"."""

    request: str
    cause: str


class WakeAt(NamedTuple):
    """Command: schedule a Tick."""

    time: float


Command = SendGroup | ReadRow | ReplyToCaller | OutcomeLost | WakeAt
