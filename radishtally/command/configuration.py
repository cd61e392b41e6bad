"""Check, compare, change and show the configuration."""

from pathlib import Path
from typing import Any, NamedTuple

from radishtally.command import const, replies
from radishtally.command.answer import Answer, Failure
from radishtally.command.base import Base, read_base, write_base, write_file
from radishtally.command.changes import (
    ABSENT,
    Change,
    Update,
    cut_diff,
    find_change,
    find_update,
    format_diff,
    hash_texts,
)
from radishtally.command.client import Client
from radishtally.command.replies import Accepted, Confirmed, InForce, RevisionRecord
from radishtally.command.tables import format_table, format_time
from radishtally.configuration.config import Configuration
from radishtally.configuration.folder import read_folder
from radishtally.outcome import Error, Fault, Ok, Result

HEAD = "/configuration"


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


def check(folder: str) -> Result[Answer, Failure]:
    """Check a folder without any entry."""
    from radishtally.configuration.core import merge_files

    read = _read_local(folder)
    if read.is_error():
        return read
    merged = merge_files(read.ok)
    if merged.is_error():
        return Error(_refuse(merged.error))
    configuration = merged.ok
    servers = sum(len(one.servers) for one in configuration.upstreams.values())
    counts = {
        "deployment": configuration.deployment,
        "files": len(read.ok),
        "places": len(configuration.places),
        "upstreams": len(configuration.upstreams),
        "servers": servers,
        "models": len(configuration.models),
        "teams": len(configuration.teams),
        "operators": len(configuration.operators),
    }
    told = ", ".join(f"{name} {count}" for name, count in counts.items())
    warnings = () if configuration.operators else (_warn_no_operators(),)
    return Ok(Answer(counts, (f"fine: {told}",), warnings))


def diff(
    client: Client, folder: str, base: int | None, remove: bool
) -> Result[Answer, Failure]:
    """Show what an apply of the folder would change."""
    compared = _compare(client, Path(folder), base, remove)
    if compared.is_error():
        return compared
    local, in_force, change, based = compared.ok
    lines = []
    for name in (*change.files, *change.raced):
        lines += format_diff(name, in_force.files.get(name), local.get(name))
    value = {
        "revision": in_force.revision,
        "changed": sorted(change.files),
        "raced": change.raced,
        "missing_from_folder": change.kept,
    }
    warnings = [_warn_raced(name, based) for name in change.raced]
    warnings += _warn_kept(change.kept)
    if not lines:
        lines = [f"no changes to revision {in_force.revision}"]
    return Ok(Answer(value, tuple(lines), tuple(warnings)))


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
    compared = _compare(client, path, base, remove)
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
    kept = _warn_kept(change.kept)
    noted = write_base(path, Base(revision, hash_texts(local)))
    if noted.is_error():
        kept.append(noted.error.message)
    answer = _describe_apply(revision, change, tuple(kept))
    return Ok(answer) if wait is None else _wait(client, answer, revision, wait)


def show(client: Client) -> Result[Answer, Failure]:
    """Print the files in force."""
    read = _read_in_force(client)
    if read.is_error():
        return read
    lines = [f"// revision {read.ok.revision}"]
    for name, text in sorted(read.ok.files.items()):
        lines += ["", f"// {name}", *text.splitlines()]
    return Ok(Answer(read.ok._asdict(), tuple(lines)))


def fetch(client: Client, folder: str) -> Result[Answer, Failure]:
    """Bring a folder to the configuration in force, but for the operator's edits."""
    path = Path(folder)
    try:
        path.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        text = f"{path}: can't be made: {error.strerror}"
        return Error(Failure(const.EXIT_USAGE, text))
    local = _read_local(folder)
    if local.is_error():
        return local
    base = read_base(path)
    if base.is_error():
        return base
    in_force = _read_in_force(client, base.ok)
    if in_force.is_error():
        return in_force
    known = base.ok.files if base.ok is not None else {}
    update = find_update(local.ok, known, in_force.ok.files)
    for name, text in update.files.items():
        written = write_file(path, name, text)
        if written.is_error():
            return written
    noted = write_base(path, Base(in_force.ok.revision, update.known))
    return noted.map(lambda _: _describe_update(in_force.ok, update))


def history(client: Client, limit: int) -> Result[Answer, Failure]:
    """List the latest revisions."""
    read = client.get(list[replies.Change], f"{HEAD}/history", {"limit": limit})
    return read.map(lambda heads: Answer(heads, tuple(_format_history(heads))))


def _read_local(folder: str) -> Result[dict[str, str], Failure]:
    return read_folder(folder).map_error(_refuse)


def _refuse(fault: Fault) -> Failure:
    return Failure(const.EXIT_REFUSED, str(fault))


def _read_in_force(client: Client, base: Base | None = None) -> Result[Any, Failure]:
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


def _compare(
    client: Client, folder: Path, revision: int | None, remove: bool
) -> Result[Comparison, Failure]:
    local = _read_local(str(folder))
    if local.is_error():
        return local
    base = read_base(folder)
    if base.is_error():
        return base
    in_force = _read_in_force(client, base.ok)
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
    lines = ["nothing was changed: " + _warn_raced(change.raced[0], based)]
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


def _warn_raced(name: str, based: bool) -> str:
    if based:
        return f"{name}: changed by another operator since the folder's base"
    return f"{name}: in force with another text, which this folder may not have seen"


def _warn_kept(names: tuple[str, ...]) -> list[str]:
    return [
        f"{name}: in force but not in the folder; kept (--remove removes it)"
        for name in names
    ]


def _warn_no_operators() -> str:
    return "no operators: only the peer key of the daemons' settings could change it"


def _describe_update(in_force: Revision, update: Update) -> Answer:
    lines = [f"the folder is based on revision {in_force.revision}"]
    for name, text in update.files.items():
        lines.append(f"  {'removed' if text is None else 'written'}: {name}")
    lines += [f"  your edit stays: {name}" for name in update.edited]
    value = {
        "revision": in_force.revision,
        "written": sorted(update.files),
        "edited": update.edited,
        "raced": update.raced,
    }
    warnings = tuple(
        f"{name}: edited here and changed by another operator; your text stays"
        for name in update.raced
    )
    code = const.EXIT_RACED if update.raced else const.EXIT_FINE
    return Answer(value, tuple(lines), warnings, code)


def _format_history(heads: list[replies.Change]) -> list[str]:
    rows = [
        (
            head["revision"],
            format_time(head["at_ms"] / 1000),
            head["author"],
            head["cause"],
            head["changed"],
        )
        for head in heads
    ]
    return format_table(("REVISION", "WHEN", "WHO", "CAUSE", "FILES"), rows)
