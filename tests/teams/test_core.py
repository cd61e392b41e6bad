"""Lookup of teams by their keys."""

from hypothesis import given
from hypothesis import strategies as st

from radishtally.teams.core import Team, TeamKeys, extract_bearer, hash_key

TEAMS = st.builds(Team, st.text(min_size=1, max_size=5), st.none() | st.integers(0, 9))
HOLDERS = st.dictionaries(st.binary(min_size=1, max_size=8), TEAMS)


def make_keys(holders: dict[bytes, Team]) -> TeamKeys:
    return TeamKeys({hash_key(key): team for key, team in holders.items()})


@given(HOLDERS, st.binary(max_size=8))
def test_each_key_finds_its_team_and_no_other_key_does(
    holders: dict[bytes, Team], other: bytes
) -> None:
    keys = make_keys(holders)
    assert len(keys) == len(holders)
    for key, team in holders.items():
        assert keys.find(key) == team
    assert keys.find(other) == holders.get(other)


def test_each_of_many_keys_finds_its_team() -> None:
    holders = {b"key-%d" % n: Team(f"team-{n % 50}", n % 3) for n in range(3_000)}
    keys = make_keys(holders)
    assert all(keys.find(key) == team for key, team in holders.items())
    assert keys.find(b"key-3000") is None


@given(HOLDERS, HOLDERS)
def test_keys_are_equal_if_they_belong_to_the_same_teams(
    one: dict[bytes, Team], other: dict[bytes, Team]
) -> None:
    assert (make_keys(one) == make_keys(other)) == (one == other)
    assert make_keys(one) == make_keys(dict(reversed(one.items())))


def test_priority_out_of_range_is_limited() -> None:
    for priority, limited in ((-5, 0), (10**9, 1_000)):
        assert make_keys({b"k": Team("t", priority)}).find(b"k").priority == limited


def test_only_bearer_keys_are_extracted() -> None:
    assert extract_bearer("Bearer  key ") == "key"
    assert extract_bearer("bEARER key") == "key"
    for other in ("", "Bearer", "Basic key", "key", "Bearerkey x"):
        assert extract_bearer(other) == ""
