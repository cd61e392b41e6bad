"""Find what an operator changed in a folder, and what others changed meanwhile."""

import difflib
from collections.abc import Mapping
from typing import Final, NamedTuple

from radishtally.command.const import MAX_DIFF_LINES
from radishtally.configuration.head import hash_text

ABSENT: Final = ""
"""Hash of a file that is not there."""

Hashes = Mapping[str, str]
Texts = Mapping[str, str]


class Change(NamedTuple):
    """Hold what the operator changed."""

    files: dict[str, str | None]
    """New text by file name; none removes the file."""
    raced: tuple[str, ...]
    """Changed files that are in force with a text that the operator has not seen."""
    kept: tuple[str, ...]
    """Files in force that the folder lacks, with no word that they are to go."""


class Update(NamedTuple):
    """Hold what brings a folder to the configuration in force."""

    files: dict[str, str | None]
    edited: tuple[str, ...]
    """Files that the operator edited and nobody else."""
    raced: tuple[str, ...]
    """Files that the operator edited and somebody else too."""
    known: dict[str, str]
    """Hashes that the folder's edits are based on afterwards."""


def find_change(
    local: Texts, known: Hashes, in_force: Texts, removable: frozenset[str]
) -> Change:
    """Compare a folder with what it was made from and with what is in force."""
    files: dict[str, str | None] = {}
    raced = []
    kept = []
    for name in sorted({*local, *known, *in_force}):
        mine, base, theirs = _hash_three(name, local, known, in_force)
        if mine in (base, theirs):
            continue
        if mine == ABSENT and name not in removable:
            kept.append(name)
            continue
        # Failure: two operators edit one file, each in a folder of their own.
        # Symptom: the later apply takes back the earlier edit without a word. What
        # the edit was based on must still be what is in force; the entry checks the
        # same once more for the time after this look.
        if base != theirs:
            raced.append(name)
            continue
        files[name] = local.get(name)
    return Change(files, tuple(raced), tuple(kept))


def find_update(local: Texts, known: Hashes, in_force: Texts) -> Update:
    """Find what others changed, and leave the operator's own edits alone."""
    update = Update({}, (), (), {})
    for name in sorted({*local, *known, *in_force}):
        mine, base, theirs = _hash_three(name, local, known, in_force)
        if mine not in (base, theirs):
            update = _note_edit(update, name, base, theirs)
            continue
        if mine != theirs:
            update.files[name] = in_force.get(name)
        if theirs != ABSENT:
            update.known[name] = theirs
    return update


def hash_texts(texts: Texts) -> dict[str, str]:
    """Hash every file."""
    return {name: hash_text(text) for name, text in texts.items()}


def format_diff(name: str, before: str | None, after: str | None) -> list[str]:
    """Show how a file changes, as `diff -u` does."""
    lines = difflib.unified_diff(
        (before or "").splitlines(),
        (after or "").splitlines(),
        f"in force/{name}" if before is not None else "not there",
        f"folder/{name}" if after is not None else "removed",
        lineterm="",
        n=2,
    )
    return list(lines)


def cut_diff(lines: list[str]) -> list[str]:
    """Keep the start of a long diff."""
    if len(lines) <= MAX_DIFF_LINES:
        return lines
    return [*lines[:MAX_DIFF_LINES], f"({len(lines) - MAX_DIFF_LINES} more lines)"]


def _hash_three(
    name: str, local: Texts, known: Hashes, in_force: Texts
) -> tuple[str, str, str]:
    mine = hash_text(local[name]) if name in local else ABSENT
    theirs = hash_text(in_force[name]) if name in in_force else ABSENT
    return mine, known.get(name, ABSENT), theirs


def _note_edit(update: Update, name: str, base: str, theirs: str) -> Update:
    if base != ABSENT:
        update.known[name] = base
    if base == theirs:
        return update._replace(edited=(*update.edited, name))
    return update._replace(raced=(*update.raced, name))
