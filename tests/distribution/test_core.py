"""Tests that the revision never decreases and that peers send each other files."""

import pytest

from radishtally.distribution.core import ConfigurationReplica, hash_files, hash_text
from radishtally.links.messages import ConfigurationFiles, ConfigurationRequest
from tests.configuration.common import BASE, write_teams

TEAMS = write_teams(desk={"key_sha256": ["0" * 64]})
OTHER_TEAMS = write_teams(desk={"key_sha256": ["1" * 64]})


def make_files(revision: int, **files: str) -> ConfigurationFiles:
    """Build a message that holds all files of a configuration."""
    named = {f"{name}.json": text for name, text in files.items()}
    return ConfigurationFiles(revision, hash_files(named), named)


@pytest.fixture
def replica() -> ConfigurationReplica:
    """Return a replica with revision 2."""
    replica = ConfigurationReplica()
    assert replica.adopt(make_files(2, base=BASE, teams=TEAMS)).ok
    return replica


def test_a_replica_without_configuration_requests_all_files():
    assert ConfigurationReplica().record_peer_revision(
        "entry-1", 3
    ) == ConfigurationRequest(0, {})


@pytest.mark.parametrize("revision", [0, 1, 2])
def test_a_peer_that_is_not_ahead_is_not_asked(
    replica: ConfigurationReplica, revision: int
):
    assert replica.record_peer_revision("entry-1", revision) is None
    assert replica.peer_revisions == {"entry-1": revision}


@pytest.mark.parametrize("revision", [1, 2])
def test_a_lower_or_equal_revision_changes_nothing(
    replica: ConfigurationReplica, revision: int
):
    before = replica.current
    assert replica.adopt(make_files(revision, base=BASE)).ok is False
    assert replica.current is before


def test_a_higher_revision_is_adopted(replica: ConfigurationReplica):
    assert replica.adopt(make_files(5, base=BASE)).ok is True
    assert replica.revision == 5
    assert set(replica.current.files) == {"base.json"}
    assert replica.current.configuration.teams == {}


def test_only_changed_files_are_sent_and_merged_with_the_known_ones(
    replica: ConfigurationReplica,
):
    newer = ConfigurationReplica()
    newer.adopt(make_files(3, base=BASE, teams=OTHER_TEAMS))
    reply = newer.build_reply(replica.record_peer_revision("entry-2", 3))
    assert set(reply.files) == {"teams.json"}
    assert replica.adopt(reply).ok is True
    assert replica.current.files == newer.current.files
    assert replica.current.configuration == newer.current.configuration


@pytest.mark.parametrize("revision", [2, 9])
def test_a_peer_that_is_up_to_date_is_sent_nothing(
    replica: ConfigurationReplica, revision: int
):
    assert replica.build_reply(ConfigurationRequest(revision, {})) is None


def test_a_replica_without_configuration_sends_nothing():
    assert ConfigurationReplica().build_reply(ConfigurationRequest(0, {})) is None


FAULTY = {
    "missing": ConfigurationFiles(3, {"new.json": hash_text(BASE)}, {}),
    "swapped": ConfigurationFiles(
        3, {"base.json": hash_text(BASE)}, {"base.json": TEAMS}
    ),
    "truncated": ConfigurationFiles(
        3, {"base.json": hash_text(BASE)}, {"base.json": BASE[:-9]}
    ),
    "refused": make_files(3, base="{}"),
    "of another revision": ConfigurationFiles(
        3, {"teams.json": hash_text(OTHER_TEAMS)}, {}
    ),
}


@pytest.mark.parametrize("fault", FAULTY)
def test_faulty_files_never_come_into_force(replica: ConfigurationReplica, fault: str):
    before = replica.current
    assert replica.adopt(FAULTY[fault]).is_error()
    assert replica.current is before
    assert replica.adopt(make_files(3, base=BASE)).ok is True


def test_lagging_peers_are_listed(replica: ConfigurationReplica):
    for host, revision in {"a": 2, "b": 1, "c": 0}.items():
        replica.record_peer_revision(host, revision)
    replica.forget_peer("c")
    assert replica.list_lagging_peers(2) == ["b"]
    assert replica.list_lagging_peers(1) == []
