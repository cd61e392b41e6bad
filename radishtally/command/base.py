"""Store in a folder which configuration its edits are based on."""

import json
from pathlib import Path
from typing import Final, NamedTuple

import msgspec

from radishtally.command.answer import Failure
from radishtally.command.const import EXIT_FAILED, EXIT_USAGE
from radishtally.outcome import Error, Ok, Result

BASE_FILE: Final = ".radishtally-base.json"


class Base(NamedTuple):
    """Record the configuration in force as the operator last saw it."""

    revision: int
    files: dict[str, str]
    """SHA-256 of each file's text as the operator saw it."""


def read_base(folder: Path) -> Result[Base | None, Failure]:
    """Read the folder's base; None if it has none."""
    path = folder / BASE_FILE
    try:
        value = json.loads(path.read_text(encoding="utf-8"))
        fields = [value[name] for name in Base._fields]
        return Ok(msgspec.convert(fields, Base))
    except FileNotFoundError:
        return Ok(None)
    except (OSError, ValueError, KeyError, TypeError, msgspec.MsgspecError) as error:
        text = f"{path}: can't be read ({error}); fetch the configuration again"
        return Error(Failure(EXIT_USAGE, text))


def write_base(folder: Path, base: Base) -> Result[None, Failure]:
    """Store the base of the folder's files."""
    text = json.dumps(base._asdict(), indent=1, sort_keys=True) + "\n"
    return write_file(folder, BASE_FILE, text)


def write_file(folder: Path, name: str, text: str | None) -> Result[None, Failure]:
    """Write a file atomically, or remove it if the text is None."""
    path = folder / name
    partial = folder / f".{name}.partial"
    try:
        if text is None:
            path.unlink(missing_ok=True)
            return Ok(None)
        with partial.open("w", encoding="utf-8", newline="") as file:
            file.write(text)
        partial.replace(path)
    except OSError as error:
        message = f"{path}: can't be written: {error.strerror or error}"
        return Error(Failure(EXIT_FAILED, message))
    return Ok(None)
