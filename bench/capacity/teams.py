"""Measure the lookup of callers' keys at a gateway."""

import itertools
import tracemalloc
from collections.abc import Iterator
from functools import partial
from typing import Final

from bench.capacity.figures import Figure, time_calls
from radishtally.teams.core import Team, TeamKeys, extract_bearer, hash_key

TEAMS: Final = (80, 27_000)
SAMPLE: Final = 1_000
"""Keys that are looked up in turn."""


def make_holders(count: int) -> dict[str, Team]:
    """Make teams with one key each, by the digests of the keys."""
    return {
        hash_key(f"key-{number}".encode()): Team(f"team-{number}", number % 3)
        for number in range(count)
    }


def measure_teams() -> Iterator[Figure]:
    """Measure the memory of the keys, and the time to find a caller's team."""
    for count in TEAMS:
        at = {"teams": count}
        holders = make_holders(count)
        tracemalloc.start()
        keys = TeamKeys(holders)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        yield Figure("keys, held", held, "bytes", at)
        yield Figure("keys, built", time_calls(partial(TeamKeys, holders)), "us", at)
        headers = itertools.cycle(
            [f"Bearer key-{number % count}" for number in range(SAMPLE)]
        )

        def find(
            keys: TeamKeys = keys, headers: Iterator[str] = headers
        ) -> Team | None:
            return keys.find(extract_bearer(next(headers)).encode("latin-1"))

        yield Figure("key, team found", time_calls(find), "us", at)
