"""Form and read the rows of the audit trail."""

from typing import Any, Final, NamedTuple

from radishtally.store.core import Key, Put, Row

AUDIT_PARTITION: Final = "audit"


class AuditEntry(NamedTuple):
    """Describe one change."""

    at_ms: int
    """Wall clock, milliseconds since 1970; for people, nothing decides by it."""
    who: str
    what: str
    subject: str
    cause: str
    before: dict[str, Any]
    after: dict[str, Any]
    number: str
    """Unique among the entries of the same writer and millisecond."""


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
    """Form the row that records a change, for the transaction that makes it."""
    entry = AuditEntry(now_ms, who, what, subject, cause, before, after, number)
    key = Key(AUDIT_PARTITION, f"{now_ms:013d}-{who}-{number}")
    return Put(key, entry._asdict(), None)


def read_entry(row: Row) -> AuditEntry:
    """Read an entry back from its row."""
    return AuditEntry(**row.value)
