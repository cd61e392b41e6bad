"""Apply an operator's changes in a folder to the configuration in force."""

from pathlib import Path

from radishtally.command import const
from radishtally.command.answer import Answer, Failure
from radishtally.command.base import Base, write_base
from radishtally.command.changes import Change, format_diff, hash_texts, truncate_diff
from radishtally.command.client import Client
from radishtally.command.comparison import (
    CONFIGURATION_PATH,
    Comparison,
    compare,
    format_conflict_warning,
    list_missing_warnings,
)
from radishtally.command.replies import Accepted, Confirmed, RevisionRecord
from radishtally.configuration.config import Configuration
from radishtally.outcome import Error, Ok, Result


def apply(
    client: Client,
    folder: str,
    cause: str,
    *,
    base: int | None = None,
    remove: bool = False,
    wait: float | None = None,
) -> Result[Answer, Failure]:
    """Put the folder's changes in force, and wait for the hosts if asked to."""
    path = Path(folder)
    compared = compare(client, path, base, remove)
    if compared.is_error():
        return compared
    local, in_force, change, has_base = compared.ok
    if change.conflicts:
        return Error(_describe_conflicts(client, compared.ok))
    revision = in_force.revision
    fault = _find_lockout(client.key, in_force.files, change)
    if fault is not None:
        return Error(fault)
    if change.files:
        body = {"base": revision, "files": change.files, "cause": cause}
        posted = client.post(Accepted, CONFIGURATION_PATH, body)
        if posted.is_error():
            return posted
        revision = posted.ok["revision"]
    warnings = list_missing_warnings(change.kept)
    # A base records that every file missing from the folder was removed on purpose.
    # While files in force are missing without that intent, write no base.
    if not change.kept:
        written_base = write_base(path, Base(revision, hash_texts(local)))
        warnings += [] if written_base.is_ok() else [written_base.error.message]
    answer = _describe_apply(revision, change, tuple(warnings))
    return Ok(answer) if wait is None else _wait(client, answer, revision, wait)


def _find_lockout(key: str, files: dict[str, str], change: Change) -> Failure | None:
    """Refuse a change that would revoke the key that the operator uses."""
    from radishtally.configuration.core import hash_key, merge_files

    changed = {**files, **change.files}
    after = merge_files({n: text for n, text in changed.items() if text is not None})
    before = merge_files(files)
    # Leave invalid files to the entry: it may be newer than this tool.
    if before.is_error() or after.is_error():
        return None
    digest = hash_key(key)
    if not _has_key(before.ok, digest) or _has_key(after.ok, digest):
        return None
    text = "nothing was changed: this would revoke your own key"
    return Failure(const.EXIT_REFUSED, f"{text}; use another key to remove it")


def _has_key(configuration: Configuration, digest: str) -> bool:
    operators = configuration.operators.values()
    return any(digest in operator.key_sha256 for operator in operators)


def _describe_apply(revision: int, change: Change, warnings: tuple[str, ...]) -> Answer:
    value = {"revision": revision, "changed": sorted(change.files)}
    if not change.files:
        return Answer(value, (f"nothing to change in revision {revision}",), warnings)
    lines = [f"revision {revision} is accepted"]
    for name, text in change.files.items():
        lines.append(f"  {'removed' if text is None else 'written'}: {name}")
    return Answer(value, tuple(lines), warnings)


def _wait(
    client: Client, answer: Answer, revision: int, seconds: float
) -> Result[Answer, Failure]:
    """Wait until the hosts confirm; the change stays in force in any case."""
    query = {"revision": revision, "seconds": seconds}
    read = client.get(
        Confirmed, f"{CONFIGURATION_PATH}/confirmed", query, seconds=seconds
    )
    if read.is_error():
        text = f"revision {revision} is accepted, but can't read who confirmed it"
        warnings = (*answer.warnings, f"{text}: {read.error.message}")
        return Ok(answer._replace(warnings=warnings, code=const.EXIT_NOT_CONFIRMED))
    behind = read.ok["behind"]
    answer = answer._replace(value={**answer.value, "behind": behind})
    if not behind:
        text = f"in force everywhere after {read.ok['seconds']:g} s"
        return Ok(answer._replace(lines=(*answer.lines, text)))
    text = f"not confirmed within {seconds:g} s by: {', '.join(behind)}"
    warnings = (*answer.warnings, text)
    return Ok(answer._replace(warnings=warnings, code=const.EXIT_NOT_CONFIRMED))


def _describe_conflicts(client: Client, compared: Comparison) -> Failure:
    local, in_force, change, has_base = compared
    read = client.get(
        RevisionRecord, f"{CONFIGURATION_PATH}/revisions/{in_force.revision}"
    )
    entries = read.ok["files"] if read.is_ok() else {}
    lines = [
        "nothing was changed: " + format_conflict_warning(change.conflicts[0], has_base)
    ]
    for name in change.conflicts:
        entry = entries.get(name)
        by = f" by {entry['author']}, revision {entry['revision']}" if entry else ""
        lines.append(f"{name}: text in force{by}, compared with the folder:")
        diff = format_diff(name, in_force.files.get(name), local.get(name))
        lines += truncate_diff(diff)
    lines.append(
        "fetch with `radishtally config show --into FOLDER`, merge, and apply with "
        f"--base {in_force.revision} to confirm that you have seen that revision"
    )
    return Failure(const.EXIT_CONFLICT, "\n".join(lines))
