"""The highest revision that was ever seen is kept, and peers fill each other up."""

import pytest

from radishtally.distribution.core import Keeper, hash_files, hash_text
from radishtally.links.messages import ConfigurationFiles, ConfigurationRequest
from tests.configuration.common import BASE, write_teams

TEAMS = write_teams(desk={"key_sha256": ["0" * 64]})
OTHER_TEAMS = write_teams(desk={"key_sha256": ["1" * 64]})


def give(revision: int, **files: str) -> ConfigurationFiles:
    """Form the message that gives a whole configuration."""
    named = {f"{name}.json": text for name, text in files.items()}
    return ConfigurationFiles(revision, hash_files(named), named)


@pytest.fixture
def keeper() -> Keeper:
    """Hold revision 2."""
    keeper = Keeper()
    assert keeper.take(give(2, base=BASE, teams=TEAMS)).ok
    return keeper


def test_a_keeper_without_configuration_asks_for_everything():
    assert Keeper().note_peer("entry-1", 3) == ConfigurationRequest(0, {})


@pytest.mark.parametrize("revision", [0, 1, 2])
def test_a_peer_that_is_not_ahead_is_not_asked(keeper: Keeper, revision: int):
    assert keeper.note_peer("entry-1", revision) is None
    assert keeper.peers == {"entry-1": revision}


@pytest.mark.parametrize("revision", [1, 2])
def test_a_lower_or_equal_revision_changes_nothing(keeper: Keeper, revision: int):
    before = keeper.current
    assert keeper.take(give(revision, base=BASE)).ok is False
    assert keeper.current is before


def test_a_higher_revision_is_taken(keeper: Keeper):
    assert keeper.take(give(5, base=BASE)).ok is True
    assert keeper.revision == 5
    assert set(keeper.current.files) == {"base.json"}
    assert keeper.current.configuration.teams == {}


def test_only_changed_files_are_given_and_merged_with_the_known_ones(keeper: Keeper):
    newer = Keeper()
    newer.take(give(3, base=BASE, teams=OTHER_TEAMS))
    given = newer.answer(keeper.note_peer("entry-2", 3))
    assert set(given.files) == {"teams.json"}
    assert keeper.take(given).ok is True
    assert keeper.current.files == newer.current.files
    assert keeper.current.configuration == newer.current.configuration


@pytest.mark.parametrize("revision", [2, 9])
def test_a_peer_that_is_not_behind_is_given_nothing(keeper: Keeper, revision: int):
    assert keeper.answer(ConfigurationRequest(revision, {})) is None


def test_an_unconfigured_keeper_gives_nothing():
    assert Keeper().answer(ConfigurationRequest(0, {})) is None


FAULTY = {
    "missing": ConfigurationFiles(3, {"new.json": hash_text(BASE)}, {}),
    "mixed up": ConfigurationFiles(
        3, {"base.json": hash_text(BASE)}, {"base.json": TEAMS}
    ),
    "cut": ConfigurationFiles(
        3, {"base.json": hash_text(BASE)}, {"base.json": BASE[:-9]}
    ),
    "refused": give(3, base="{}"),
    "of another revision": ConfigurationFiles(
        3, {"teams.json": hash_text(OTHER_TEAMS)}, {}
    ),
}


@pytest.mark.parametrize("fault", FAULTY)
def test_what_is_faulty_never_comes_into_force(keeper: Keeper, fault: str):
    before = keeper.current
    assert keeper.take(FAULTY[fault]).is_error()
    assert keeper.current is before
    assert keeper.take(give(3, base=BASE)).ok is True


def test_peers_that_are_behind_are_named(keeper: Keeper):
    for host, revision in {"a": 2, "b": 1, "c": 0}.items():
        keeper.note_peer(host, revision)
    keeper.forget_peer("c")
    assert keeper.find_behind(2) == ["b"]
    assert keeper.find_behind(1) == []
