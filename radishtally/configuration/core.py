"""Merge the folder's files and check what they say together."""

import hashlib
from collections.abc import Iterator, Mapping
from typing import Any, Final

from radishtally.configuration.config import Configuration, Engines
from radishtally.configuration.schema import (
    KeyPath,
    Misfit,
    convert,
    format_path,
    parse_text,
)
from radishtally.outcome import Error, Fault, Ok, Result
from radishtally.store.core import ENTRY

MERGED: Final = "merged folder"
"""Place of a fault that no single file brought in."""


class Origin:
    """Remember which file wrote a value and which files changed parts of it."""

    __slots__ = ("file", "parts")

    def __init__(self, file: str) -> None:
        self.file = file
        self.parts: dict[str, Origin | str] = {}

    def expand(self, name: str) -> "Origin":
        """Give the part's own origin, so that parts of it may have others."""
        part = self.parts.get(name, self.file)
        if isinstance(part, str):
            part = self.parts[name] = Origin(part)
        return part

    def find(self, path: KeyPath) -> str:
        """Name the file that wrote the value, or the nearest one above it."""
        origin = self
        for name in path:
            part = origin.parts.get(str(name), origin.file)
            if isinstance(part, str):
                return part
            origin = part
        return origin.file


def merge_files(files: Mapping[str, str]) -> Result[Configuration, Fault]:
    """Merge files in the order of their names and check the whole."""
    merged: dict[str, Any] = {}
    origin = Origin(MERGED)
    for name in sorted(files):
        parsed = parse_text(files[name])
        if parsed.is_error():
            return Error(Fault(parsed.error, name))
        merge_object(merged, origin, parsed.ok, name)
    return _check(merged, origin)


def merge_object(
    target: dict[str, Any], origin: Origin, source: dict[str, Any], file: str
) -> None:
    """Merge an object into another; null removes, other values replace."""
    for name, value in source.items():
        present = target.get(name)
        if isinstance(value, dict) and isinstance(present, dict):
            merge_object(present, origin.expand(name), value, file)
            continue
        # The origin of a removed value stays: a fault may come from its absence.
        origin.parts[name] = file
        if value is None:
            target.pop(name, None)
            continue
        target[name] = _drop_nulls(value) if isinstance(value, dict) else value


def hash_key(key: str) -> str:
    """Hash an API key as the configuration holds it."""
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
    misfit = find_misfit(configuration)
    if misfit is not None:
        return Error(_build_fault(misfit, origin))
    return Ok(configuration)


def _build_fault(misfit: Misfit, origin: Origin) -> Fault:
    path, message = misfit
    file = origin.find(path)
    return Fault(message, f"{file}: {format_path(path)}" if path else file)


def find_misfit(configuration: Configuration) -> Misfit | None:
    """Find something that does not fit the rest of the configuration."""
    return next(_find_misfits(configuration), None)


def _find_misfits(configuration: Configuration) -> Iterator[Misfit]:
    yield from _check_servers(configuration)
    yield from _check_models(configuration)
    yield from _check_teams(configuration)
    yield from _check_keys(configuration)


def _check_servers(configuration: Configuration) -> Iterator[Misfit]:
    owners: dict[str, str] = {}
    for name, upstream in configuration.upstreams.items():
        path: KeyPath = ("upstreams", name)
        if name == ENTRY:
            yield Misfit(path, f"{ENTRY} is reserved for the entry hosts")
        for host, server in upstream.servers.items():
            here = (*path, "servers", host)
            if host in owners:
                yield Misfit(here, f"server stands in upstream {owners[host]} already")
            owners[host] = name
            if server.place not in configuration.places:
                yield Misfit((*here, "place"), _expect("a place", server.place))


def _check_models(configuration: Configuration) -> Iterator[Misfit]:
    owners = dict.fromkeys(configuration.models, "")
    for name, model in configuration.models.items():
        for index, adapter in enumerate(model.adapters):
            here = ("models", name, "adapters", index)
            if adapter in owners:
                owner = owners[adapter]
                taken = f"an adapter of model {owner}" if owner else "a model"
                yield Misfit(here, f"name {adapter} is taken by {taken}")
            owners[adapter] = name
    for name, upstream in configuration.upstreams.items():
        if isinstance(upstream, Engines) and upstream.model not in configuration.models:
            here = ("upstreams", name, "model")
            yield Misfit(here, _expect("a model", upstream.model))


def _check_teams(configuration: Configuration) -> Iterator[Misfit]:
    for name, team in configuration.teams.items():
        for index, upstream in enumerate(team.upstreams):
            if upstream not in configuration.upstreams:
                here = ("teams", name, "upstreams", index)
                yield Misfit(here, _expect("an upstream", upstream))


def _check_keys(configuration: Configuration) -> Iterator[Misfit]:
    owners: dict[str, str] = {}
    for section in ("teams", "operators"):
        for name, holder in getattr(configuration, section).items():
            for index, digest in enumerate(holder.key_sha256):
                if digest in owners:
                    here = (section, name, "key_sha256", index)
                    yield Misfit(here, f"key is in use by {owners[digest]} already")
                owners[digest] = f"{section}.{name}"


def _expect(what: str, name: str) -> str:
    return f"expected {what} of the configuration, got {name}"
