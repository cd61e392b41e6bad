"""Fetch the configuration in force into an operator's folder."""

from pathlib import Path

from radishtally.command import const
from radishtally.command.answer import Answer, Failure
from radishtally.command.base import Base, read_base, write_base, write_file
from radishtally.command.changes import Update, find_update
from radishtally.command.client import Client
from radishtally.command.comparison import Revision, read_in_force, read_local
from radishtally.outcome import Error, Result


def fetch(client: Client, folder: str) -> Result[Answer, Failure]:
    """Update a folder to the configuration in force, keeping the operator's edits."""
    path = Path(folder)
    try:
        path.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        text = f"{path}: can't be created: {error.strerror}"
        return Error(Failure(const.EXIT_USAGE, text))
    local = read_local(folder)
    if local.is_error():
        return local
    base = read_base(path)
    if base.is_error():
        return base
    in_force = read_in_force(client, base.ok)
    if in_force.is_error():
        return in_force
    base_hashes = base.ok.files if base.ok is not None else {}
    update = find_update(local.ok, base_hashes, in_force.ok.files)
    for name, text in update.files.items():
        written = write_file(path, name, text)
        if written.is_error():
            return written
    written_base = write_base(path, Base(in_force.ok.revision, update.base_hashes))
    return written_base.map(lambda _: _describe_update(in_force.ok, update))


def _describe_update(in_force: Revision, update: Update) -> Answer:
    lines = [f"the folder is based on revision {in_force.revision}"]
    for name, text in update.files.items():
        lines.append(f"  {'removed' if text is None else 'written'}: {name}")
    lines += [f"  edit kept: {name}" for name in update.edited]
    value = {
        "revision": in_force.revision,
        "written": sorted(update.files),
        "edited": update.edited,
        "raced": update.conflicts,
    }
    warnings = tuple(
        f"{name}: also changed by another operator; your edit is kept"
        for name in update.conflicts
    )
    code = const.EXIT_CONFLICT if update.conflicts else const.EXIT_OK
    return Answer(value, tuple(lines), warnings, code)
