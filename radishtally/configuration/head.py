"""Rebase operators' changes onto the head, the latest configuration revision."""

import hashlib
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import msgspec

from radishtally.outcome import Error, Ok, Result

MAX_REMOVED: Final = 200
"""Maximum number of removed files that a head lists, to tell who removed them."""

REMOVED: Final = ""
"""Stands for the content hash of a file that does not exist."""


class FileEntry(NamedTuple):
    """Describe a file and its last change."""

    sha256: str
    author: str
    revision: int


class Head(NamedTuple):
    """Describe one revision of the configuration."""

    revision: int
    files: dict[str, FileEntry]
    removed: dict[str, FileEntry]
    """Files removed most recently, oldest first; their content hash is REMOVED."""
    author: str
    cause: str
    write_id: str
    at_ms: int
    """Wall clock, milliseconds since 1970; for people, no decision depends on it."""
    changed: tuple[str, ...] = ()
    """Files that this revision changed."""


EMPTY_HEAD: Final = Head(0, {}, {}, "", "", "", 0)
"""Head of a system without a configuration."""


class EditConflict(NamedTuple):
    """Error: another operator changed the same file since the base revision."""

    name: str
    author: str
    """Empty if the head no longer lists who removed the file."""
    revision: int
    cause: str = ""
    diff: str = ""
    """What the other operator changed."""

    def __str__(self) -> str:
        """Return the message for the operator."""
        by = f"{self.author} in revision {self.revision}" if self.author else "another"
        cause = f" ({self.cause})" if self.cause else ""
        text = f"{self.name}: changed by {by}{cause} since your base revision"
        return f"{text}\n{self.diff}" if self.diff else text


class RebasedChange(NamedTuple):
    """Hold the changes that take effect when rebased onto the head."""

    changes: dict[str, str | None]
    """New text of each file; None removes it."""


class ChangeMetadata(NamedTuple):
    """Describe who makes a change, why and when."""

    author: str
    cause: str
    write_id: str
    at_ms: int


def hash_text(text: str) -> str:
    """Return the SHA-256 hex digest of a file's content."""
    return hashlib.sha256(text.encode()).hexdigest()


def rebase_change(
    base: Head, head: Head, change: Mapping[str, str | None]
) -> Result[RebasedChange, EditConflict]:
    """Rebase a change from its base revision onto the head."""
    changes: dict[str, str | None] = {}
    for name in sorted(change):
        new_hash = REMOVED if change[name] is None else hash_text(change[name])
        current_hash = get_content_hash(head, name)
        if new_hash == current_hash:
            continue
        # Lost update: two operators edit the same file, and the second apply, made
        # without the first edit, would silently revert it. So the file's content at
        # the base revision must still be its content at the head.
        if get_content_hash(base, name) != current_hash:
            return Error(_build_conflict(head, name))
        changes[name] = change[name]
    return Ok(RebasedChange(changes))


def build_next_head(
    head: Head, rebased: RebasedChange, metadata: ChangeMetadata
) -> Head:
    """Build the head that follows when a rebased change is applied."""
    revision = head.revision + 1
    files = dict(head.files)
    removed = dict(head.removed)
    for name, text in rebased.changes.items():
        removed.pop(name, None)
        if text is None:
            files.pop(name)
            removed[name] = FileEntry(REMOVED, metadata.author, revision)
            continue
        files[name] = FileEntry(hash_text(text), metadata.author, revision)
    kept = dict(list(removed.items())[-MAX_REMOVED:])
    changed = tuple(sorted(rebased.changes))
    author, cause, write_id, at_ms = metadata
    return Head(revision, files, kept, author, cause, write_id, at_ms, changed)


def get_content_hash(head: Head, name: str) -> str:
    """Return a file's content hash at a head, REMOVED if it does not exist."""
    entry = head.files.get(name)
    return REMOVED if entry is None else entry.sha256


def encode_head(head: Head) -> dict[str, Any]:
    """Encode a head as the value of its row."""
    return msgspec.to_builtins(head._asdict())


def decode_head(value: dict[str, Any]) -> Result[Head, str]:
    """Decode a head from the value of its row."""
    try:
        fields = [value[name] for name in Head._fields]
        return Ok(msgspec.convert(fields, Head))
    except (KeyError, msgspec.ValidationError) as error:
        return Error(f"broken head: {error}")


def _build_conflict(head: Head, name: str) -> EditConflict:
    entry = head.files.get(name) or head.removed.get(name)
    if entry is None:
        return EditConflict(name, "", 0)
    return EditConflict(name, entry.author, entry.revision)


class HeadTracker:
    """Track the head with the highest revision seen."""

    def __init__(self) -> None:
        self.head = EMPTY_HEAD

    def accept_newer(self, head: Head) -> bool:
        """Accept a head if it is newer; return whether it was accepted."""
        # Heads arrive late or out of order, from the store and from peers, and must
        # not take a process back to an older configuration. Revisions only increase
        # at the store, so the highest one seen is the newest.
        if head.revision <= self.head.revision:
            return False
        self.head = head
        return True
