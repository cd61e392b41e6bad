"""Check, compare and show the configuration."""

from pathlib import Path
from typing import Final

from radishtally.command.answer import Answer, Failure
from radishtally.command.changes import format_diff
from radishtally.command.client import Client
from radishtally.command.comparison import (
    HEAD,
    compare,
    read_in_force,
    read_local,
    refuse,
    warn_kept,
    warn_raced,
)
from radishtally.command.replies import Change
from radishtally.command.tables import format_table, format_time
from radishtally.outcome import Error, Ok, Result

LISTED_FILES: Final = 3


def check(folder: str) -> Result[Answer, Failure]:
    """Check a folder without any entry."""
    from radishtally.configuration.core import merge_files

    read = read_local(folder)
    if read.is_error():
        return read
    merged = merge_files(read.ok)
    if merged.is_error():
        return Error(refuse(merged.error))
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
    compared = compare(client, Path(folder), base, remove)
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
    warnings = [warn_raced(name, based) for name in change.raced]
    warnings += warn_kept(change.kept)
    if not lines:
        lines = [f"no changes to revision {in_force.revision}"]
    return Ok(Answer(value, tuple(lines), tuple(warnings)))


def show(client: Client) -> Result[Answer, Failure]:
    """Print the files in force."""
    read = read_in_force(client)
    if read.is_error():
        return read
    lines = [f"// revision {read.ok.revision}"]
    for name, text in sorted(read.ok.files.items()):
        lines += ["", f"// {name}", *text.splitlines()]
    return Ok(Answer(read.ok._asdict(), tuple(lines)))


def history(client: Client, limit: int) -> Result[Answer, Failure]:
    """List the latest revisions."""
    read = client.get(list[Change], f"{HEAD}/history", {"limit": limit})
    return read.map(lambda heads: Answer(heads, tuple(_format_history(heads))))


def _warn_no_operators() -> str:
    return "no operators: only the peer key of the daemons' settings could change it"


def _format_history(heads: list[Change]) -> list[str]:
    rows = [
        (
            head["revision"],
            format_time(head["at_ms"] / 1000),
            head["author"],
            head["cause"],
            _list_some(head["changed"]),
        )
        for head in heads
    ]
    return format_table(("REVISION", "WHEN", "WHO", "CAUSE", "FILES"), rows)


def _list_some(names: list[str]) -> str:
    listed = ", ".join(names[:LISTED_FILES])
    left = len(names) - LISTED_FILES
    return f"{listed} and {left} more" if left > 0 else listed
