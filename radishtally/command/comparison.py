"""Read a folder and the configuration in force, and compare them."""

from pathlib import Path
from typing import Any, Final, NamedTuple

from radishtally.command import const
from radishtally.command.answer import Failure
from radishtally.command.base import Base, read_base
from radishtally.command.changes import ABSENT, Change, find_change, hash_texts
from radishtally.command.client import Client
from radishtally.command.replies import ConfigurationInForce, RevisionRecord
from radishtally.configuration.folder import read_folder
from radishtally.outcome import Error, Fault, Ok, Result

CONFIGURATION_PATH: Final = "/configuration"


class Revision(NamedTuple):
    """Hold the number and the files' texts of a revision."""

    revision: int
    files: dict[str, str]


class Comparison(NamedTuple):
    """Hold a folder's files, the configuration in force and the difference."""

    local: dict[str, str]
    in_force: Revision
    change: Change
    has_base: bool
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
    local_hashes = hash_texts(local.ok)
    seen_hashes = _read_revision_hashes(client, revision)
    if seen_hashes.is_error():
        return seen_hashes
    hashes_in_force = hash_texts(in_force.ok.files)
    base_hashes = _find_base_hashes(
        local_hashes, base.ok, seen_hashes.ok, hashes_in_force
    )
    removable = set(base.ok.files) if base.ok is not None else set()
    if remove:
        removable |= set(base_hashes)
    texts = in_force.ok.files
    change = find_change(local.ok, base_hashes, texts, frozenset(removable))
    has_base = base.ok is not None or revision is not None
    return Ok(Comparison(local.ok, in_force.ok, change, has_base))


def _find_base_hashes(
    local_hashes: dict[str, str],
    base: Base | None,
    seen_hashes: dict[str, str] | None,
    hashes_in_force: dict[str, str],
) -> dict[str, str]:
    """Find the hash of the text that each file's edit is based on."""
    if base is None and seen_hashes is None:
        # The base of the folder's files is unknown, but missing files were not edited.
        return {
            name: digest
            for name, digest in hashes_in_force.items()
            if name not in local_hashes
        }
    if base is None:
        return seen_hashes
    if seen_hashes is None:
        return base.files
    # A file with the text that was fetched is unedited: the revision that the operator
    # names must not turn this older text into an edit.
    names = {*local_hashes, *base.files, *seen_hashes}
    base_hashes = {}
    for name in names:
        fetched = base.files.get(name, ABSENT)
        edited = local_hashes.get(name, ABSENT) != fetched
        base_hashes[name] = seen_hashes.get(name, ABSENT) if edited else fetched
    return base_hashes


def _read_revision_hashes(
    client: Client, revision: int | None
) -> Result[dict[str, str] | None, Failure]:
    """Read the file hashes of the revision that the operator names, if any."""
    if revision is None:
        return Ok(None)
    read = client.get(RevisionRecord, f"{CONFIGURATION_PATH}/revisions/{revision}")
    return read.map(
        lambda head: {name: one["sha256"] for name, one in head["files"].items()}
    )


def read_in_force(client: Client, base: Base | None = None) -> Result[Any, Failure]:
    """Read the configuration in force; refuse one older than the folder's base."""
    at_least = 0 if base is None else base.revision
    read = client.get(ConfigurationInForce, CONFIGURATION_PATH, {"at_least": at_least})
    return read.map(lambda value: Revision(value["revision"], value["files"])).bind(
        lambda found: _check_age(found, at_least)
    )


def _check_age(found: Revision, at_least: int) -> Result[Revision, Failure]:
    if found.revision >= at_least:
        return Ok(found)
    text = f"the entry has revision {found.revision}, the folder is based on {at_least}"
    return Error(Failure(const.EXIT_UNAVAILABLE, f"{text}; is it the same system?"))


def read_local(folder: str) -> Result[dict[str, str], Failure]:
    """Read the folder's files."""
    return read_folder(folder).map_error(make_refusal)


def make_refusal(fault: Fault) -> Failure:
    """Convert a fault of the configuration to a failure of the command."""
    return Failure(const.EXIT_REFUSED, str(fault))


def format_conflict_warning(name: str, has_base: bool) -> str:
    """Format the warning that a file was also changed by another operator."""
    if has_base:
        return f"{name}: changed by another operator since the folder's base"
    return f"{name}: differs from the text in force, which you may not have seen"


def list_missing_warnings(names: tuple[str, ...]) -> list[str]:
    """List a warning for each file in force that is missing from the folder."""
    return [
        f"{name}: in force but not in the folder; kept (--remove removes it, "
        "`config show --into` fetches it)"
        for name in names
    ]
