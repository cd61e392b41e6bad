"""Check, compare and show the configuration."""

from pathlib import Path
from typing import Final

from radishtally.command.answer import Answer, Failure
from radishtally.command.changes import format_diff
from radishtally.command.client import Client
from radishtally.command.comparison import (
    CONFIGURATION_PATH,
    compare,
    format_conflict_warning,
    list_missing_warnings,
    make_refusal,
    read_in_force,
    read_local,
)
from radishtally.command.replies import Change
from radishtally.command.tables import format_table, format_time
from radishtally.outcome import Error, Ok, Result

MAX_LISTED_FILES: Final = 3


def check(folder: str) -> Result[Answer, Failure]:
    """Check a folder without contacting an entry."""
    from radishtally.configuration.core import merge_files

    read = read_local(folder)
    if read.is_error():
        return read
    merged = merge_files(read.ok)
    if merged.is_error():
        return Error(make_refusal(merged.error))
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
    summary = ", ".join(f"{name} {count}" for name, count in counts.items())
    warnings = () if configuration.operators else (_warn_no_operators(),)
    return Ok(Answer(counts, (f"fine: {summary}",), warnings))


def diff(
    client: Client, folder: str, base: int | None, remove: bool
) -> Result[Answer, Failure]:
    """Show what applying the folder would change."""
    compared = compare(client, Path(folder), base, remove)
    if compared.is_error():
        return compared
    local, in_force, change, has_base = compared.ok
    lines = []
    for name in (*change.files, *change.conflicts):
        lines += format_diff(name, in_force.files.get(name), local.get(name))
    value = {
        "revision": in_force.revision,
        "changed": sorted(change.files),
        "raced": change.conflicts,
        "missing_from_folder": change.kept,
    }
    warnings = [format_conflict_warning(name, has_base) for name in change.conflicts]
    warnings += list_missing_warnings(change.kept)
    if not lines:
        lines = [f"no changes to revision {in_force.revision}"]
    return Ok(Answer(value, tuple(lines), tuple(warnings)))


def show(client: Client) -> Result[Answer, Failure]:
    """Show the files in force."""
    read = read_in_force(client)
    if read.is_error():
        return read
    lines = [f"// revision {read.ok.revision}"]
    for name, text in sorted(read.ok.files.items()):
        lines += ["", f"// {name}", *text.splitlines()]
    return Ok(Answer(read.ok._asdict(), tuple(lines)))


def history(client: Client, limit: int) -> Result[Answer, Failure]:
    """List the most recent revisions."""
    read = client.get(list[Change], f"{CONFIGURATION_PATH}/history", {"limit": limit})
    return read.map(lambda heads: Answer(heads, tuple(_format_history(heads))))


def _warn_no_operators() -> str:
    return "no operators: only the peer key from the daemons' settings can change it"


def _format_history(heads: list[Change]) -> list[str]:
    rows = [
        (
            head["revision"],
            format_time(head["at_ms"] / 1000),
            head["author"],
            head["cause"],
            _format_names(head["changed"]),
        )
        for head in heads
    ]
    return format_table(("REVISION", "WHEN", "WHO", "CAUSE", "FILES"), rows)


def _format_names(names: list[str]) -> str:
    listed = ", ".join(names[:MAX_LISTED_FILES])
    left = len(names) - MAX_LISTED_FILES
    return f"{listed} and {left} more" if left > 0 else listed
