"""Reading and validation of a daemon's settings file."""

import ipaddress
from collections.abc import Iterator
from pathlib import Path
from typing import Final, TypeVar

from radishtally.configuration.schema import convert, format_path, parse_text
from radishtally.outcome import Error, Fault, Ok, Result
from radishtally.settings.config import Settings

MAX_PORT: Final = 65_535
T = TypeVar("T")


def read_settings(path: str | Path) -> Result[Settings, Fault]:
    """Read and validate settings from a file in JSON with comments."""
    return read_file(path, Settings).bind(
        lambda settings: _check_role(settings, str(path))
    )


def read_file(path: str | Path, kind: type[T]) -> Result[T, Fault]:
    """Read a file in JSON with comments and convert it to its schema."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except UnicodeDecodeError:
        return Error(Fault("expected UTF-8 text", str(path)))
    except OSError as error:
        return Error(Fault(error.strerror or str(error), str(path)))
    return _parse(text, str(path), kind)


def parse_settings(text: str, file: str) -> Result[Settings, Fault]:
    """Parse and validate the settings of one process."""
    return _parse(text, file, Settings).bind(
        lambda settings: _check_role(settings, file)
    )


def _parse(text: str, file: str, kind: type[T]) -> Result[T, Fault]:
    parsed = parse_text(text)
    if parsed.is_error():
        return Error(Fault(parsed.error, file))
    converted = convert(parsed.ok, kind)
    if converted.is_error():
        path, message = converted.error
        place = f"{file}: {format_path(path)}" if path else file
        return Error(Fault(message, place))
    return Ok(converted.ok)


def _check_role(settings: Settings, file: str) -> Result[Settings, Fault]:
    if settings.role == "agent" and settings.upstream is None:
        return Error(Fault("expected an upstream for an agent", f"{file}: upstream"))
    if settings.role == "entry" and settings.http_address is None:
        message = "expected an address for callers of an entry"
        return Error(Fault(message, f"{file}: http_address"))
    for path, address in _list_addresses(settings):
        if not is_address(address):
            message = f"expected an IP number and a port, got {address}"
            return Error(Fault(message, f"{file}: {path}"))
    return Ok(settings)


def _list_addresses(settings: Settings) -> Iterator[tuple[str, str]]:
    yield "address", settings.address
    if settings.http_address is not None:
        yield "http_address", settings.http_address
    if settings.statsd is not None:
        yield "statsd", settings.statsd
    for index, address in enumerate(settings.seeds):
        yield f"seeds.{index}", address
    for host, address in settings.dial.items():
        yield f"dial.{host}", address


def is_address(text: str) -> bool:
    """Return whether a text is an IP number and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    return int(port) <= MAX_PORT
