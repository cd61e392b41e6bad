"""Test whom a process asks for a newer configuration."""

from radishtally.distribution.core import REPLY_TIMEOUT_SECONDS, ConfigurationReplica


def test_one_peer_is_asked_when_all_tell_of_a_new_revision():
    # After a change every peer tells of the new revision within moments. Asked one and
    # all, 330 entries would each send the files to each of 1,400 agents.
    keeper = ConfigurationReplica()
    asks = [keeper.record_peer_revision(f"entry-{n}", 7, 10.0) for n in range(5)]
    assert asks[0] is not None
    assert asks[1:] == [None] * 4


def test_another_peer_is_asked_once_the_first_has_not_answered():
    # The asked peer is paused or its link silent: nobody else would be asked, and the
    # revision would not come into force here although all others have it.
    keeper = ConfigurationReplica()
    keeper.record_peer_revision("entry-1", 7, 10.0)
    assert (
        keeper.record_peer_revision("entry-2", 7, 10.0 + REPLY_TIMEOUT_SECONDS / 2)
        is None
    )
    assert (
        keeper.record_peer_revision("entry-2", 7, 10.0 + REPLY_TIMEOUT_SECONDS)
        is not None
    )


def test_another_peer_is_asked_at_once_when_the_first_is_gone():
    keeper = ConfigurationReplica()
    keeper.record_peer_revision("entry-1", 7, 10.0)
    keeper.forget_peer("entry-1")
    assert keeper.record_peer_revision("entry-2", 7, 10.0) is not None


def test_a_peer_with_a_still_newer_revision_is_asked_at_once():
    keeper = ConfigurationReplica()
    keeper.record_peer_revision("entry-1", 7, 10.0)
    assert keeper.record_peer_revision("entry-2", 8, 10.0) is not None


def test_a_peer_that_tells_again_is_asked_again():
    keeper = ConfigurationReplica()
    assert keeper.record_peer_revision("entry-1", 7, 10.0) is not None
    assert keeper.record_peer_revision("entry-1", 7, 10.1) is not None
