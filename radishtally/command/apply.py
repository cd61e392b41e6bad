"""Put an operator's changes of the folder in force."""

from pathlib import Path

from radishtally.command import const
from radishtally.command.answer import Answer, Failure
from radishtally.command.base import Base, write_base
from radishtally.command.changes import Change, cut_diff, format_diff, hash_texts
from radishtally.command.client import Client
from radishtally.command.comparison import (
    HEAD,
    Comparison,
    compare,
    warn_kept,
    warn_raced,
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
    """Put the folder's changes in force."""
    path = Path(folder)
    compared = compare(client, path, base, remove)
    if compared.is_error():
        return compared
    local, in_force, change, based = compared.ok
    if change.raced:
        return Error(_describe_races(client, compared.ok))
    revision = in_force.revision
    fault = _find_lockout(client.key, in_force.files, change)
    if fault is not None:
        return Error(fault)
    if change.files:
        body = {"base": revision, "files": change.files, "cause": cause}
        posted = client.post(Accepted, HEAD, body)
        if posted.is_error():
            return posted
        revision = posted.ok["revision"]
    warnings = warn_kept(change.kept)
    # A base says of each file that the folder lacks that its owner removed it. While
    # that is not so, the folder goes without one.
    if not change.kept:
        noted = write_base(path, Base(revision, hash_texts(local)))
        warnings += [] if noted.is_ok() else [noted.error.message]
    answer = _describe_apply(revision, change, tuple(warnings))
    return Ok(answer) if wait is None else _wait(client, answer, revision, wait)


def _find_lockout(key: str, files: dict[str, str], change: Change) -> Failure | None:
    """Refuse a change after which the operator's own key would open nothing."""
    from radishtally.configuration.core import hash_key, merge_files

    changed = {**files, **change.files}
    after = merge_files({n: text for n, text in changed.items() if text is not None})
    before = merge_files(files)
    # What can't be merged is for the entry to refuse, which may be newer than the tool.
    if before.is_error() or after.is_error():
        return None
    digest = hash_key(key)
    if not _has_key(before.ok, digest) or _has_key(after.ok, digest):
        return None
    text = "nothing was changed: your own key would be refused afterwards"
    return Failure(const.EXIT_REFUSED, f"{text}; remove a key by another one")


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
    """Wait for the hosts; the change stands whatever comes of it."""
    query = {"revision": revision, "seconds": seconds}
    read = client.get(Confirmed, f"{HEAD}/confirmed", query, seconds=seconds)
    if read.is_error():
        text = f"revision {revision} is accepted, its spread can't be followed"
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


def _describe_races(client: Client, compared: Comparison) -> Failure:
    local, in_force, change, based = compared
    read = client.get(RevisionRecord, f"{HEAD}/revisions/{in_force.revision}")
    entries = read.ok["files"] if read.is_ok() else {}
    lines = ["nothing was changed: " + warn_raced(change.raced[0], based)]
    for name in change.raced:
        entry = entries.get(name)
        by = f" by {entry['author']}, revision {entry['revision']}" if entry else ""
        lines.append(f"{name}: in force{by}, and as in the folder:")
        diff = format_diff(name, in_force.files.get(name), local.get(name))
        lines += cut_diff(diff)
    lines.append(
        "fetch with `radishtally config show --into FOLDER`, merge, and apply with "
        f"--base {in_force.revision} to say that you have seen that revision"
    )
    return Failure(const.EXIT_RACED, "\n".join(lines))
