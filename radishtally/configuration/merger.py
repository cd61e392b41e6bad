"""Merge a folder incrementally: after a change, parse only the changed team files."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import msgspec

from radishtally.configuration.config import Configuration, Team
from radishtally.configuration.core import find_violation, merge_files
from radishtally.configuration.schema import convert, parse_text
from radishtally.outcome import Fault, Ok, Result

TEAMS: Final = "teams"


class TeamFile(NamedTuple):
    """Cache a parsed file that defines whole teams and nothing else."""

    text: str
    teams: dict[str, Team]


class Merger:
    """Merge successive versions of a folder, of which most files do not change.

    Nearly all files of a large folder define teams, each team in one file only. Of
    these only the changed ones are parsed again. All other files are merged by
    merge_files, and so is the whole folder if it has a fault, so that the fault is
    reported in the same way.
    """

    def __init__(self) -> None:
        self._team_files: dict[str, TeamFile] = {}

    def merge(self, files: Mapping[str, str]) -> Result[Configuration, Fault]:
        """Merge files in the order of their names and validate the result."""
        self._team_files = {
            name: found
            for name, text in files.items()
            if (found := self._read_cached(name, text)) is not None
        }
        merged = self._merge_incrementally(files)
        return Ok(merged) if merged is not None else merge_files(files)

    def _read_cached(self, name: str, text: str) -> TeamFile | None:
        cached = self._team_files.get(name)
        if cached is not None and cached.text == text:
            return cached
        return read_team_file(text)

    def _merge_incrementally(self, files: Mapping[str, str]) -> Configuration | None:
        rest = {
            name: text for name, text in files.items() if name not in self._team_files
        }
        other_teams = _list_mentioned_teams(rest)
        merged = merge_files(rest)
        if other_teams is None or merged.is_error():
            return None
        teams: dict[str, Team] = dict(merged.ok.teams)
        for file in self._team_files.values():
            teams.update(file.teams)
        count = sum(len(file.teams) for file in self._team_files.values())
        # A team in more than one file has to be merged by merge_files, in file order.
        if len(teams) != count + len(merged.ok.teams) or not other_teams.isdisjoint(
            _list_cached_teams(self._team_files)
        ):
            return None
        configuration = msgspec.structs.replace(merged.ok, teams=teams)
        return configuration if find_violation(configuration) is None else None


def read_team_file(text: str) -> TeamFile | None:
    """Parse a file that defines only whole teams; return None for any other file."""
    parsed = parse_text(text)
    if parsed.is_error() or parsed.ok.keys() != {TEAMS}:
        return None
    teams = parsed.ok[TEAMS]
    # A null removes a value of an earlier file.
    if not isinstance(teams, dict) or not all(map(_is_whole, teams.values())):
        return None
    converted = convert(teams, dict[str, Team])
    return TeamFile(text, converted.ok) if converted.is_ok() else None


def _is_whole(team: Any) -> bool:
    return isinstance(team, dict) and None not in team.values()


def _list_mentioned_teams(files: Mapping[str, str]) -> frozenset[str] | None:
    """List the teams that files set or remove; return None if a file is invalid."""
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


def _list_cached_teams(files: Mapping[str, TeamFile]) -> set[str]:
    return {name for file in files.values() for name in file.teams}
