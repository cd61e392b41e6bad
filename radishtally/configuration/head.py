"""Decide how an operator's change moves the configuration's head."""

import hashlib
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import msgspec

from radishtally.outcome import Error, Ok, Result

MAX_REMOVED: Final = 200
"""Removed files that a head remembers, to name who removed them."""

REMOVED: Final = ""
"""Content hash of a removed file."""


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
    """Files removed last, oldest first; their content hash is REMOVED."""
    author: str
    cause: str
    write_id: str
    at_ms: int
    """Wall clock, milliseconds since 1970; for people, nothing decides by it."""
    changed: tuple[str, ...] = ()
    """Files that this revision changed."""


EMPTY: Final = Head(0, {}, {}, "", "", "", 0)
"""Head of a system that has no configuration yet."""


class EditConflict(NamedTuple):
    """Say that another operator changed the same file since the base revision."""

    name: str
    author: str
    """Empty if the head no longer remembers who removed the file."""
    revision: int
    cause: str = ""
    diff: str = ""
    """What the other operator changed."""

    def __str__(self) -> str:
        """Give the lines for standard error."""
        by = f"{self.author} in revision {self.revision}" if self.author else "another"
        cause = f" ({self.cause})" if self.cause else ""
        text = f"{self.name}: changed by {by}{cause} since your base revision"
        return f"{text}\n{self.diff}" if self.diff else text


class Plan(NamedTuple):
    """Hold the effective changes, rebased onto the head."""

    changes: dict[str, str | None]
    """New text of each file; none removes it."""


class Stamp(NamedTuple):
    """Say who makes a change, why and when."""

    author: str
    cause: str
    write_id: str
    at_ms: int


def hash_text(text: str) -> str:
    """Hash a file's content."""
    return hashlib.sha256(text.encode()).hexdigest()


def plan_change(
    base: Head, head: Head, change: Mapping[str, str | None]
) -> Result[Plan, EditConflict]:
    """Rebase a change made on one revision onto the head."""
    changes: dict[str, str | None] = {}
    for name in sorted(change):
        wanted = REMOVED if change[name] is None else hash_text(change[name])
        present = get_content(head, name)
        if wanted == present:
            continue
        # Failure: two operators edit one file, and the later apply carries only its
        # own edit. Symptom: the earlier edit is gone without a word. The content
        # that the change was made on must still be the content in force.
        if get_content(base, name) != present:
            return Error(_describe_race(head, name))
        changes[name] = change[name]
    return Ok(Plan(changes))


def advance(head: Head, plan: Plan, stamp: Stamp) -> Head:
    """Form the head that follows when the plan is carried out."""
    revision = head.revision + 1
    files = dict(head.files)
    removed = dict(head.removed)
    for name, text in plan.changes.items():
        removed.pop(name, None)
        if text is None:
            files.pop(name)
            removed[name] = FileEntry(REMOVED, stamp.author, revision)
            continue
        files[name] = FileEntry(hash_text(text), stamp.author, revision)
    kept = dict(list(removed.items())[-MAX_REMOVED:])
    changed = tuple(sorted(plan.changes))
    author, cause, write_id, at_ms = stamp
    return Head(revision, files, kept, author, cause, write_id, at_ms, changed)


def get_content(head: Head, name: str) -> str:
    """Give a file's content hash at a revision."""
    entry = head.files.get(name)
    return REMOVED if entry is None else entry.sha256


def encode_head(head: Head) -> dict[str, Any]:
    """Form the value of the head's row."""
    return msgspec.to_builtins(head._asdict())


def decode_head(value: dict[str, Any]) -> Result[Head, str]:
    """Read a head back from its row's value."""
    try:
        fields = [value[name] for name in Head._fields]
        return Ok(msgspec.convert(fields, Head))
    except (KeyError, msgspec.ValidationError) as error:
        return Error(f"broken head: {error}")


def _describe_race(head: Head, name: str) -> EditConflict:
    entry = head.files.get(name) or head.removed.get(name)
    if entry is None:
        return EditConflict(name, "", 0)
    return EditConflict(name, entry.author, entry.revision)


class HeadTracker:
    """Hold the highest head seen."""

    def __init__(self) -> None:
        self.head = EMPTY

    def offer(self, head: Head) -> bool:
        """Take a head if it is newer; tell whether it was taken."""
        # Failure: heads arrive late or out of order, from the store and from peers.
        # Symptom: a process goes back to an older configuration. Revisions only
        # grow at the store, so the highest one seen is the newest known.
        if head.revision <= self.head.revision:
            return False
        self.head = head
        return True
