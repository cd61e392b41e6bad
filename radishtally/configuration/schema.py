"""Validate parsed JSON against a schema and find the key path of a fault."""

import types
import typing
from typing import Annotated, Any, Final, NamedTuple, TypeVar, Union

import msgspec
import pyjson5

from radishtally.outcome import Error, Ok, Result

T = TypeVar("T")
KeyPath = tuple[str | int, ...]

MSGSPEC_FIELD_MESSAGES: Final = {
    "Object missing required field ": "expected this field, got none",
    "Object contains unknown field ": "expected no such field",
}
"""Prefixes of msgspec's messages about a field, and the messages for operators."""


class Violation(NamedTuple):
    """Describe where and how a value violates its schema."""

    path: KeyPath
    message: str


def parse_text(text: str) -> Result[dict[str, Any], str]:
    """Parse a JSON5 text that holds one object."""
    try:
        data = pyjson5.loads(text)
    except pyjson5.Json5Exception as error:
        return Error(_describe_parse_error(text, str(error.args[0])))
    if not isinstance(data, dict):
        return Error("expected an object at the top")
    return Ok(data)


def convert(value: Any, kind: type[T]) -> Result[T, Violation]:
    """Convert a parsed value to a type."""
    try:
        return Ok(msgspec.convert(value, kind))
    except msgspec.ValidationError:
        return Error(_locate_violation(value, kind, ()))


def format_path(path: KeyPath) -> str:
    """Format a key path for messages."""
    return ".".join(str(part) for part in path)


def _describe_parse_error(text: str, message: str) -> str:
    message, _, offset = message.partition(" near ")
    digits = offset.split(",")[0]
    if not digits.isdigit():
        return message
    line = text.count("\n", 0, int(digits)) + 1
    return f"line {line}: {message}{offset.removeprefix(digits)}"


def _try_convert(value: Any, kind: Any) -> str | None:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        return str(error)
    return None


# msgspec's messages show `[...]` in place of an object's key, so search for the key.
def _locate_violation(value: Any, kind: Any, path: KeyPath) -> Violation:
    for name, part, part_kind in _list_children(value, kind):
        if _try_convert(part, part_kind) is not None:
            return _locate_violation(part, part_kind, (*path, name))
    message = _try_convert(value, kind)
    if message is None:
        raise AssertionError(f"value at {format_path(path)} matches its schema")
    return _build_violation(message, path)


def _list_children(value: Any, kind: Any) -> list[tuple[str | int, Any, Any]]:
    kind = _resolve_union(value, kind)
    origin = typing.get_origin(kind)
    if origin is tuple and isinstance(value, list):
        part = typing.get_args(kind)[0]
        return [(index, entry, part) for index, entry in enumerate(value)]
    if not isinstance(value, dict):
        return []
    if origin is dict:
        return _list_entries(value, *typing.get_args(kind))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        fields = msgspec.structs.fields(kind)
        return [(f.name, value[f.name], f.type) for f in fields if f.name in value]
    return []


def _list_entries(
    value: dict[str, Any], key_kind: Any, kind: Any
) -> list[tuple[str | int, Any, Any]]:
    keys = [(key, key, key_kind) for key in value]
    return keys + [(key, part, kind) for key, part in value.items()]


def _resolve_union(value: Any, kind: Any) -> Any:
    if typing.get_origin(kind) is Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) not in (Union, types.UnionType):
        return kind
    tag = value.get("kind") if isinstance(value, dict) else None
    for option in typing.get_args(kind):
        config = getattr(option, "__struct_config__", None)
        if config is not None and config.tag == tag:
            return option
    return kind


def _build_violation(message: str, path: KeyPath) -> Violation:
    text, _, rest = message.partition(" - at `")
    tail = rest.rstrip("`").removeprefix("$").lstrip(".")
    path = (*path, tail) if tail else path
    for start, reworded in MSGSPEC_FIELD_MESSAGES.items():
        if text.startswith(start):
            return Violation((*path, text.removeprefix(start).strip("`")), reworded)
    return Violation(path, text.replace("`", ""))
