"""Encode and decode the rows of the audit trail."""

from typing import Any, Final, NamedTuple, TypedDict

from radishtally.numbers import UnixMs
from radishtally.outcome import Result
from radishtally.store.core import Invalid, Key, Put, Row
from radishtally.store.records import read_record

AUDIT_PARTITION: Final = "audit"


class AuditEntry(NamedTuple):
    """Describe who changed what and why, with the state before and after."""

    at_ms: int
    """Wall clock, milliseconds since 1970; for people, no decision depends on it."""
    who: str
    what: str
    subject: str
    cause: str
    before: dict[str, Any]
    after: dict[str, Any]
    number: str
    """Distinguishes entries of the same writer within a millisecond."""


def make_audit_put(
    now_ms: int,
    who: str,
    what: str,
    subject: str,
    cause: str,
    before: dict[str, Any],
    after: dict[str, Any],
    number: str,
) -> Put:
    """Build the write that records a change, for the transaction that makes it."""
    entry = AuditEntry(now_ms, who, what, subject, cause, before, after, number)
    key = Key(AUDIT_PARTITION, f"{now_ms:013d}-{who}-{number}")
    return Put(key, entry._asdict(), None)


class AuditValue(TypedDict):
    """Describe an entry as stored."""

    at_ms: UnixMs
    who: str
    what: str
    subject: str
    cause: str
    before: dict[str, Any]
    after: dict[str, Any]
    number: str


def read_entry(row: Row) -> Result[AuditEntry, Invalid]:
    """Decode an entry from its row, which other software may have filled."""
    return read_record(row, AuditValue).map(lambda value: AuditEntry(**value))
