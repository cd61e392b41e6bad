"""Merge a folder again after a change without reading all of it anew."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import msgspec

from radishtally.configuration.config import Configuration, Team
from radishtally.configuration.core import find_misfit, merge_files
from radishtally.configuration.schema import convert, parse_text
from radishtally.outcome import Fault, Ok, Result

TEAMS: Final = "teams"


class TeamFile(NamedTuple):
    """Hold a file that says nothing but what some teams are."""

    text: str
    teams: dict[str, Team]


class Merger:
    """Merge folders that mostly stay as they were.

    Nearly all of a large folder is files of teams, each team in one file. Of these
    only the changed ones are read; whatever else the folder holds takes the long way,
    and so does a folder with a fault, which is then named as ever.
    """

    def __init__(self) -> None:
        self._known: dict[str, TeamFile] = {}

    def merge(self, files: Mapping[str, str]) -> Result[Configuration, Fault]:
        """Merge files in the order of their names and check the whole."""
        self._known = {
            name: found
            for name, text in files.items()
            if (found := self._read(name, text)) is not None
        }
        short = self._merge_short(files)
        return Ok(short) if short is not None else merge_files(files)

    def _read(self, name: str, text: str) -> TeamFile | None:
        known = self._known.get(name)
        if known is not None and known.text == text:
            return known
        return read_team_file(text)

    def _merge_short(self, files: Mapping[str, str]) -> Configuration | None:
        rest = {name: text for name, text in files.items() if name not in self._known}
        others = _list_teams(rest)
        merged = merge_files(rest)
        if others is None or merged.is_error():
            return None
        teams: dict[str, Team] = dict(merged.ok.teams)
        for file in self._known.values():
            teams.update(file.teams)
        count = sum(len(file.teams) for file in self._known.values())
        # A team that two files name is merged from both in the order of the files.
        if len(teams) != count + len(merged.ok.teams) or not others.isdisjoint(
            _list_names(self._known)
        ):
            return None
        configuration = msgspec.structs.replace(merged.ok, teams=teams)
        return configuration if find_misfit(configuration) is None else None


def read_team_file(text: str) -> TeamFile | None:
    """Read a file of nothing but whole teams; none if it is any other file."""
    parsed = parse_text(text)
    if parsed.is_error() or parsed.ok.keys() != {TEAMS}:
        return None
    teams = parsed.ok[TEAMS]
    # A null takes away what an earlier file has said.
    if not isinstance(teams, dict) or not all(map(_is_whole, teams.values())):
        return None
    converted = convert(teams, dict[str, Team])
    return TeamFile(text, converted.ok) if converted.is_ok() else None


def _is_whole(team: Any) -> bool:
    return isinstance(team, dict) and None not in team.values()


def _list_teams(files: Mapping[str, str]) -> frozenset[str] | None:
    """List the teams that files name, removed ones included; none if unreadable."""
    names: set[str] = set()
    for text in files.values():
        parsed = parse_text(text)
        if parsed.is_error():
            return None
        teams = parsed.ok.get(TEAMS, {})
        if not isinstance(teams, dict):
            return None
        names.update(teams)
    return frozenset(names)


def _list_names(files: Mapping[str, TeamFile]) -> set[str]:
    return {name for file in files.values() for name in file.teams}
