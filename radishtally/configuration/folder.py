"""Read a folder of configuration files."""

import re
from collections.abc import Mapping
from pathlib import Path
from typing import Final

from radishtally.outcome import Error, Fault, Ok, Result

FILE_GLOB: Final = "*.json"
FILE_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,90}\.json")
MAX_FILES: Final = 800
"""The head's row lists every file and must fit into the table's limit of 400 KB."""
MAX_FILE_BYTES: Final = 8 * 1024 * 1024
MAX_TOTAL_BYTES: Final = 32 * 1024 * 1024


def read_folder(path: str | Path) -> Result[dict[str, str], Fault]:
    """Read a folder; return the text of each file by its name."""
    folder = Path(path)
    if not folder.is_dir():
        return Error(Fault("expected a folder", str(path)))
    names = sorted(
        entry.name for entry in folder.glob(FILE_GLOB) if _is_configuration_file(entry)
    )
    if len(names) > MAX_FILES:
        return Error(_build_count_fault(len(names)))
    files: dict[str, str] = {}
    for name in names:
        text = _read_file(folder / name)
        if text.is_error():
            return text
        files[name] = text.ok
    return check_change(files).bind(lambda _: check_sizes(files)).map(lambda _: files)


def check_change(change: Mapping[str, str | None]) -> Result[None, Fault]:
    """Refuse file names and texts that can't be stored."""
    for name, text in change.items():
        if not FILE_NAME.fullmatch(name):
            return Error(Fault(f"expected a file name like {FILE_NAME.pattern}", name))
        if text is not None and not _is_unicode(text):
            return Error(Fault("expected text that can be encoded as UTF-8", name))
    return Ok(None)


def check_sizes(files: Mapping[str, str]) -> Result[None, Fault]:
    """Refuse too many or too large files."""
    if len(files) > MAX_FILES:
        return Error(_build_count_fault(len(files)))
    total = 0
    for name, text in files.items():
        size = len(text.encode())
        if size > MAX_FILE_BYTES:
            return Error(_build_size_fault(name, MAX_FILE_BYTES, size))
        total += size
    if total > MAX_TOTAL_BYTES:
        return Error(_build_size_fault("folder", MAX_TOTAL_BYTES, total))
    return Ok(None)


def _is_configuration_file(path: Path) -> bool:
    return path.is_file() and not path.name.startswith(".")


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _read_file(path: Path) -> Result[str, Fault]:
    try:
        size = path.stat().st_size
        if size > MAX_FILE_BYTES:
            return Error(_build_size_fault(path.name, MAX_FILE_BYTES, size))
        return Ok(path.read_text(encoding="utf-8"))
    except UnicodeDecodeError as error:
        return Error(
            Fault(f"expected UTF-8 text, byte {error.start} is invalid", path.name)
        )
    except OSError as error:
        return Error(Fault(error.strerror or str(error), path.name))


def _build_size_fault(name: str, limit: int, size: int) -> Fault:
    return Fault(f"expected at most {limit} bytes, got {size}", name)


def _build_count_fault(count: int) -> Fault:
    return Fault(f"expected at most {MAX_FILES} files, got {count}", "folder")
