"""Three-way comparison of a folder, its base and the configuration in force."""

import difflib
from collections.abc import Mapping
from typing import Final, NamedTuple

from radishtally.command.const import MAX_DIFF_LINES
from radishtally.configuration.head import hash_text

ABSENT: Final = ""
"""Stands for the hash of a file that does not exist."""

Hashes = Mapping[str, str]
Texts = Mapping[str, str]


class Change(NamedTuple):
    """Hold the operator's changes to the configuration in force."""

    files: dict[str, str | None]
    """New text by file name; None removes the file."""
    conflicts: tuple[str, ...]
    """Changed files whose text in force the operator has not seen."""
    kept: tuple[str, ...]
    """Files in force that the folder lacks but that are not marked for removal."""


class Update(NamedTuple):
    """Hold the changes that bring a folder up to date with the configuration."""

    files: dict[str, str | None]
    edited: tuple[str, ...]
    """Files that only the operator edited."""
    conflicts: tuple[str, ...]
    """Files that both the operator and another one edited."""
    base_hashes: dict[str, str]
    """Hashes of the texts that the folder's edits are based on after the update."""


def find_change(
    local: Texts, base_hashes: Hashes, in_force: Texts, removable: frozenset[str]
) -> Change:
    """Find the operator's changes since the base, and conflicts with those in force."""
    files: dict[str, str | None] = {}
    conflicts = []
    kept = []
    for name in sorted({*local, *base_hashes, *in_force}):
        mine, base, theirs = _hash_versions(name, local, base_hashes, in_force)
        if mine in (base, theirs):
            continue
        if mine == ABSENT and name not in removable:
            kept.append(name)
            continue
        # Lost update: two operators edit the same file, each in a folder of their own,
        # and the second apply silently reverts the first edit. So the text that the
        # edit is based on must still be in force. The entry repeats this check, as
        # the configuration may change after this one.
        if base != theirs:
            conflicts.append(name)
            continue
        files[name] = local.get(name)
    return Change(files, tuple(conflicts), tuple(kept))


def find_update(local: Texts, base_hashes: Hashes, in_force: Texts) -> Update:
    """Find the changes of other operators, leaving out files that were edited here."""
    update = Update({}, (), (), {})
    for name in sorted({*local, *base_hashes, *in_force}):
        mine, base, theirs = _hash_versions(name, local, base_hashes, in_force)
        if mine not in (base, theirs):
            update = _record_edit(update, name, base, theirs)
            continue
        if mine != theirs:
            update.files[name] = in_force.get(name)
        if theirs != ABSENT:
            update.base_hashes[name] = theirs
    return update


def hash_texts(texts: Texts) -> dict[str, str]:
    """Return the hash of each file by its name."""
    return {name: hash_text(text) for name, text in texts.items()}


def format_diff(name: str, before: str | None, after: str | None) -> list[str]:
    """Return a file's unified diff from the text in force to the folder's."""
    lines = difflib.unified_diff(
        (before or "").splitlines(),
        (after or "").splitlines(),
        f"in force/{name}" if before is not None else "absent",
        f"folder/{name}" if after is not None else "removed",
        lineterm="",
        n=2,
    )
    return list(lines)


def truncate_diff(lines: list[str]) -> list[str]:
    """Truncate a long diff."""
    if len(lines) <= MAX_DIFF_LINES:
        return lines
    return [*lines[:MAX_DIFF_LINES], f"({len(lines) - MAX_DIFF_LINES} more lines)"]


def _hash_versions(
    name: str, local: Texts, base_hashes: Hashes, in_force: Texts
) -> tuple[str, str, str]:
    mine = hash_text(local[name]) if name in local else ABSENT
    theirs = hash_text(in_force[name]) if name in in_force else ABSENT
    return mine, base_hashes.get(name, ABSENT), theirs


def _record_edit(update: Update, name: str, base: str, theirs: str) -> Update:
    if base != ABSENT:
        update.base_hashes[name] = base
    if base == theirs:
        return update._replace(edited=(*update.edited, name))
    return update._replace(conflicts=(*update.conflicts, name))
