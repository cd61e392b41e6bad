"""Recognize a caller's team by its API key.

Only digests of keys are kept, so that a key never reaches a log or a message.
"""

import hashlib
from array import array
from collections import Counter
from collections.abc import Iterator, Mapping
from itertools import accumulate
from typing import Final, NamedTuple

BEARER: Final = "bearer"
DIGEST_BYTES: Final = 12
"""Bytes of a digest that are kept: too many to find another key that has the same."""
BUCKETS: Final = 256
"""Number of values of a digest's first byte."""
MAX_PRIORITY: Final = 1_000
NO_PRIORITY: Final = -1


class Team(NamedTuple):
    """Describe a team as far as requests are served by it."""

    name: str
    priority: int | None = None
    """Replaces the route's priority; None to keep it."""


class TeamKeys:
    """Find teams by the digests of their keys, in little memory for many teams."""

    def __init__(self, holders: Mapping[str, Team]) -> None:
        found = sorted((digest, team) for digest, team in holders.items())
        teams = {team: None for _, team in found}
        numbers = {team: number for number, team in enumerate(teams)}
        digests = [bytes.fromhex(digest)[:DIGEST_BYTES] for digest, _ in found]
        self._digests = b"".join(digests)
        """Digests of all keys, in ascending order."""
        sizes = Counter(digest[0] for digest in digests)
        ends = accumulate(sizes[first] for first in range(BUCKETS))
        self._bucket_ends = array("I", (DIGEST_BYTES * end for end in ends))
        """End of the digests with each first byte."""
        self._teams = array("I", (numbers[team] for _, team in found))
        """Number of the team of each digest."""
        self._names = "".join(team.name for team in teams)
        self._ends = array("I", accumulate(len(team.name) for team in teams))
        self._priorities = array("h", map(_encode_priority, teams))

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._teams)

    def __eq__(self, other: object) -> bool:
        """Return whether the same keys belong to the same teams."""
        if not isinstance(other, TeamKeys):
            return NotImplemented
        return self._digests == other._digests and list(self) == list(other)

    def __hash__(self) -> int:
        """Return a hash of the keys."""
        return hash(self._digests)

    def __iter__(self) -> Iterator[Team]:
        """Iterate over the teams of all keys, ordered by the keys' digests."""
        return map(self._get_team, self._teams)

    def find(self, key: bytes) -> Team | None:
        """Return the team that holds a key, if there is one."""
        wanted = hashlib.sha256(key).digest()[:DIGEST_BYTES]
        first = wanted[0]
        start = self._bucket_ends[first - 1] if first else 0
        end = self._bucket_ends[first]
        index = self._digests.find(wanted, start, end)
        # The bytes may also occur across the border of two digests.
        while index >= 0 and index % DIGEST_BYTES:
            index = self._digests.find(wanted, index + 1, end)
        if index < 0:
            return None
        return self._get_team(self._teams[index // DIGEST_BYTES])

    def _get_team(self, number: int) -> Team:
        start = self._ends[number - 1] if number else 0
        priority = self._priorities[number]
        return Team(
            self._names[start : self._ends[number]],
            None if priority == NO_PRIORITY else priority,
        )


def extract_bearer(authorization: str) -> str:
    """Return the key of an Authorization header; empty for any other scheme."""
    scheme, _, key = authorization.strip().partition(" ")
    return key.strip() if scheme.lower() == BEARER else ""


def hash_key(key: bytes) -> str:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(key).hexdigest()


def _encode_priority(team: Team) -> int:
    """Encode a team's priority; values out of range get the nearest one in it."""
    if team.priority is None:
        return NO_PRIORITY
    return min(max(team.priority, 0), MAX_PRIORITY)
