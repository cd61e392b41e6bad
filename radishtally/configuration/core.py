"""Merge the folder's files and validate the result."""

import hashlib
from collections.abc import Iterator, Mapping
from typing import Any, Final

from radishtally.configuration.config import Configuration, Engines
from radishtally.configuration.schema import (
    KeyPath,
    Violation,
    convert,
    format_path,
    parse_text,
)
from radishtally.outcome import Error, Fault, Ok, Result
from radishtally.store.core import ENTRY

MERGED_FOLDER: Final = "merged folder"
"""Fault location if no single file wrote the faulty value."""


class Origin:
    """Track which file set a value and which files overrode parts of it."""

    __slots__ = ("file", "parts")

    def __init__(self, file: str) -> None:
        self.file = file
        self.parts: dict[str, Origin | str] = {}

    def expand(self, name: str) -> "Origin":
        """Return the part's own origin, so that its parts can be tracked in turn."""
        part = self.parts.get(name, self.file)
        if isinstance(part, str):
            part = self.parts[name] = Origin(part)
        return part

    def find(self, path: KeyPath) -> str:
        """Return the file that set the value at the path, or its nearest ancestor."""
        origin = self
        for name in path:
            part = origin.parts.get(str(name), origin.file)
            if isinstance(part, str):
                return part
            origin = part
        return origin.file


def merge_files(files: Mapping[str, str]) -> Result[Configuration, Fault]:
    """Merge files in the order of their names and validate the result."""
    merged: dict[str, Any] = {}
    origin = Origin(MERGED_FOLDER)
    for name in sorted(files):
        parsed = parse_text(files[name])
        if parsed.is_error():
            return Error(Fault(parsed.error, name))
        merge_object(merged, origin, parsed.ok, name)
    return _check(merged, origin)


def merge_object(
    target: dict[str, Any], origin: Origin, source: dict[str, Any], file: str
) -> None:
    """Merge an object into another in place, as a JSON merge patch (RFC 7396).

    A null removes the field; any other value that is not an object replaces it.
    """
    for name, value in source.items():
        present = target.get(name)
        if isinstance(value, dict) and isinstance(present, dict):
            merge_object(present, origin.expand(name), value, file)
            continue
        # Keep the origin of a removed value: its absence may cause a fault.
        origin.parts[name] = file
        if value is None:
            target.pop(name, None)
            continue
        target[name] = _drop_nulls(value) if isinstance(value, dict) else value


def hash_key(key: str) -> str:
    """Return the SHA-256 hex digest by which the configuration lists an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def _drop_nulls(value: dict[str, Any]) -> dict[str, Any]:
    for name, part in list(value.items()):
        if part is None:
            del value[name]
        if isinstance(part, dict):
            _drop_nulls(part)
    return value


def _check(merged: dict[str, Any], origin: Origin) -> Result[Configuration, Fault]:
    converted = convert(merged, Configuration)
    if converted.is_error():
        return Error(_build_fault(converted.error, origin))
    configuration = converted.ok
    violation = find_violation(configuration)
    if violation is not None:
        return Error(_build_fault(violation, origin))
    return Ok(configuration)


def _build_fault(violation: Violation, origin: Origin) -> Fault:
    path, message = violation
    file = origin.find(path)
    return Fault(message, f"{file}: {format_path(path)}" if path else file)


def find_violation(configuration: Configuration) -> Violation | None:
    """Return the first inconsistency between parts of the configuration, if any."""
    return next(_find_violations(configuration), None)


def _find_violations(configuration: Configuration) -> Iterator[Violation]:
    yield from _check_servers(configuration)
    yield from _check_models(configuration)
    yield from _check_teams(configuration)
    yield from _check_keys(configuration)


def _check_servers(configuration: Configuration) -> Iterator[Violation]:
    owners: dict[str, str] = {}
    for name, upstream in configuration.upstreams.items():
        path: KeyPath = ("upstreams", name)
        if name == ENTRY:
            yield Violation(path, f"{ENTRY} is reserved for the entry hosts")
        for host, server in upstream.servers.items():
            here = (*path, "servers", host)
            if host in owners:
                yield Violation(
                    here, f"server belongs to upstream {owners[host]} already"
                )
            owners[host] = name
            if server.place not in configuration.places:
                yield Violation(
                    (*here, "place"), _format_unknown_reference("a place", server.place)
                )


def _check_models(configuration: Configuration) -> Iterator[Violation]:
    owners = dict.fromkeys(configuration.models, "")
    for name, model in configuration.models.items():
        for index, adapter in enumerate(model.adapters):
            here = ("models", name, "adapters", index)
            if adapter in owners:
                owner = owners[adapter]
                taken = f"an adapter of model {owner}" if owner else "a model"
                yield Violation(here, f"name {adapter} is taken by {taken}")
            owners[adapter] = name
    for name, upstream in configuration.upstreams.items():
        if isinstance(upstream, Engines) and upstream.model not in configuration.models:
            here = ("upstreams", name, "model")
            yield Violation(here, _format_unknown_reference("a model", upstream.model))


def _check_teams(configuration: Configuration) -> Iterator[Violation]:
    for name, team in configuration.teams.items():
        for index, upstream in enumerate(team.upstreams):
            if upstream not in configuration.upstreams:
                here = ("teams", name, "upstreams", index)
                yield Violation(
                    here, _format_unknown_reference("an upstream", upstream)
                )


def _check_keys(configuration: Configuration) -> Iterator[Violation]:
    owners: dict[str, str] = {}
    for section in ("teams", "operators"):
        for name, holder in getattr(configuration, section).items():
            for index, digest in enumerate(holder.key_sha256):
                if digest in owners:
                    here = (section, name, "key_sha256", index)
                    yield Violation(here, f"key is in use by {owners[digest]} already")
                owners[digest] = f"{section}.{name}"


def _format_unknown_reference(what: str, name: str) -> str:
    return f"expected {what} of the configuration, got {name}"
