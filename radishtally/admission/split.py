"""Split an upstream's places between ranks, teams and gateways.

All gateways compute the same split from the demand that they report to each other, so
that none has to decide for the others.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple

LOWER_RANK_SHARE: Final = 0.1
"""Share of the places that each rank leaves to every rank behind it."""

ROUNDING: Final = 1e-6
"""Places by which the sum of the parts may be too small."""


class WorkClass(NamedTuple):
    """Identify requests that are treated alike."""

    rank: int
    """Lower values are served first."""
    team: int
    """Hash of the team's name."""


class Wanted(NamedTuple):
    """Count the open and waiting requests of a class."""

    own: int
    """Those of this gateway."""
    others: int
    """Those of all other gateways."""

    @property
    def total(self) -> int:
        """Return those of all gateways."""
        return self.own + self.others


class Split(NamedTuple):
    """Hold the places that this gateway may use."""

    by_class: Mapping[WorkClass, float]
    by_rank: Mapping[int, float]
    met: frozenset[int]
    """Ranks that get all that they want, at all gateways."""

    @property
    def total(self) -> float:
        """Return the places of all ranks."""
        return sum(self.by_rank.values())


def split_places(places: float, demand: Mapping[WorkClass, Wanted]) -> Split:
    """Split places by rank, then equally between teams, then by the gateways' demand.

    Each rank leaves some places to those behind it, so that none starves.
    """
    wanted: dict[int, dict[int, Wanted]] = {}
    for (rank, team), count in demand.items():
        wanted.setdefault(rank, {})[team] = count
    floors = {
        rank: min(
            LOWER_RANK_SHARE * places, sum(count.total for count in teams.values())
        )
        for rank, teams in wanted.items()
    }
    left, floor_behind = places, sum(floors.values())
    by_class: dict[WorkClass, float] = {}
    by_rank: dict[int, float] = {}
    met = set()
    for rank in sorted(wanted):
        floor_behind -= floors[rank]
        teams = wanted[rank]
        totals = {team: count.total for team, count in teams.items()}
        parts = share_equally(max(0.0, left - floor_behind), totals)
        used = sum(parts.values())
        left -= used
        if used >= sum(totals.values()) - ROUNDING:
            met.add(rank)
        own = {
            WorkClass(rank, team): part * teams[team].own / teams[team].total
            for team, part in parts.items()
        }
        by_class |= own
        by_rank[rank] = sum(own.values())
    return Split(by_class, by_rank, frozenset(met))


def share_equally(places: float, wanted: Mapping[int, int]) -> dict[int, float]:
    """Give each team the same number of places, but none more than it wants."""
    parts: dict[int, float] = {}
    left = places
    for number, team in enumerate(sorted(wanted, key=wanted.__getitem__)):
        parts[team] = min(wanted[team], left / (len(wanted) - number))
        left -= parts[team]
    return {team: part for team, part in parts.items() if wanted[team]}
