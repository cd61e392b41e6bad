"""Compare a folder with the configuration in force."""

from pathlib import Path
from typing import Any, Final, NamedTuple

from radishtally.command import const
from radishtally.command.answer import Failure
from radishtally.command.base import Base, read_base
from radishtally.command.changes import ABSENT, Change, find_change, hash_texts
from radishtally.command.client import Client
from radishtally.command.replies import InForce, RevisionRecord
from radishtally.configuration.folder import read_folder
from radishtally.outcome import Error, Fault, Ok, Result

HEAD: Final = "/configuration"


class Revision(NamedTuple):
    """Hold the texts of the configuration in force."""

    revision: int
    files: dict[str, str]


class Comparison(NamedTuple):
    """Hold a folder beside the configuration in force."""

    local: dict[str, str]
    in_force: Revision
    change: Change
    based: bool
    """Whether it is known what the folder's edits are based on."""


def compare(
    client: Client, folder: Path, revision: int | None, remove: bool
) -> Result[Comparison, Failure]:
    """Compare a folder with the configuration in force."""
    local = read_local(str(folder))
    if local.is_error():
        return local
    base = read_base(folder)
    if base.is_error():
        return base
    in_force = read_in_force(client, base.ok)
    if in_force.is_error():
        return in_force
    hashes = hash_texts(local.ok)
    seen = _read_seen(client, revision)
    if seen.is_error():
        return seen
    theirs = hash_texts(in_force.ok.files)
    known = _find_known(hashes, base.ok, seen.ok, theirs)
    removable = set(base.ok.files) if base.ok is not None else set()
    if remove:
        removable |= set(known)
    texts = in_force.ok.files
    change = find_change(local.ok, known, texts, frozenset(removable))
    based = base.ok is not None or revision is not None
    return Ok(Comparison(local.ok, in_force.ok, change, based))


def _find_known(
    hashes: dict[str, str],
    base: Base | None,
    seen: dict[str, str] | None,
    theirs: dict[str, str],
) -> dict[str, str]:
    """Find what each file's edit is based on."""
    if base is None and seen is None:
        # Nothing is known to have been seen, but what the folder lacks was not edited.
        return {name: digest for name, digest in theirs.items() if name not in hashes}
    if base is None:
        return seen
    if seen is None:
        return base.files
    # A file that is as it was fetched was not edited: the revision that the operator
    # names must not turn its old text into an edit.
    names = {*hashes, *base.files, *seen}
    known = {}
    for name in names:
        fetched = base.files.get(name, ABSENT)
        edited = hashes.get(name, ABSENT) != fetched
        known[name] = seen.get(name, ABSENT) if edited else fetched
    return known


def _read_seen(
    client: Client, revision: int | None
) -> Result[dict[str, str] | None, Failure]:
    """Read the hashes of the revision that the operator says to have seen."""
    if revision is None:
        return Ok(None)
    read = client.get(RevisionRecord, f"{HEAD}/revisions/{revision}")
    return read.map(
        lambda head: {name: one["sha256"] for name, one in head["files"].items()}
    )


def read_in_force(client: Client, base: Base | None = None) -> Result[Any, Failure]:
    """Read what is in force, and no older than what the folder is based on."""
    at_least = 0 if base is None else base.revision
    read = client.get(InForce, HEAD, {"at_least": at_least})
    return read.map(lambda value: Revision(value["revision"], value["files"])).bind(
        lambda found: _check_age(found, at_least)
    )


def _check_age(found: Revision, at_least: int) -> Result[Revision, Failure]:
    if found.revision >= at_least:
        return Ok(found)
    text = f"the entry has revision {found.revision}, the folder is based on {at_least}"
    return Error(Failure(const.EXIT_AWAY, f"{text}; is it the same system?"))


def read_local(folder: str) -> Result[dict[str, str], Failure]:
    """Read the folder, or say what is wrong with it."""
    return read_folder(folder).map_error(refuse)


def refuse(fault: Fault) -> Failure:
    """Say what is wrong with a configuration."""
    return Failure(const.EXIT_REFUSED, str(fault))


def warn_raced(name: str, based: bool) -> str:
    """Say that a file was changed by somebody else too."""
    if based:
        return f"{name}: changed by another operator since the folder's base"
    return f"{name}: in force with another text, which this folder may not have seen"


def warn_kept(names: tuple[str, ...]) -> list[str]:
    """Say which files stay in force though the folder lacks them."""
    return [
        f"{name}: in force but not in the folder; kept (--remove removes it, "
        "`config show --into` fetches it)"
        for name in names
    ]
