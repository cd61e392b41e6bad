"""Test whom a process asks for a newer configuration."""

from radishtally.distribution.core import ASK_SECONDS, Keeper


def test_one_peer_is_asked_when_all_tell_of_a_new_revision():
    # After a change every peer tells of the new revision within moments. Asked one and
    # all, 330 entries would each send the files to each of 1,400 agents.
    keeper = Keeper()
    asks = [keeper.note_peer(f"entry-{n}", 7, 10.0) for n in range(5)]
    assert asks[0] is not None
    assert asks[1:] == [None] * 4


def test_another_peer_is_asked_once_the_first_has_not_answered():
    # The asked peer is paused or its link silent: nobody else would be asked, and the
    # revision would not come into force here although all others have it.
    keeper = Keeper()
    keeper.note_peer("entry-1", 7, 10.0)
    assert keeper.note_peer("entry-2", 7, 10.0 + ASK_SECONDS / 2) is None
    assert keeper.note_peer("entry-2", 7, 10.0 + ASK_SECONDS) is not None


def test_another_peer_is_asked_at_once_when_the_first_is_gone():
    keeper = Keeper()
    keeper.note_peer("entry-1", 7, 10.0)
    keeper.forget_peer("entry-1")
    assert keeper.note_peer("entry-2", 7, 10.0) is not None


def test_a_peer_with_a_still_newer_revision_is_asked_at_once():
    keeper = Keeper()
    keeper.note_peer("entry-1", 7, 10.0)
    assert keeper.note_peer("entry-2", 8, 10.0) is not None


def test_a_peer_that_tells_again_is_asked_again():
    keeper = Keeper()
    assert keeper.note_peer("entry-1", 7, 10.0) is not None
    assert keeper.note_peer("entry-1", 7, 10.1) is not None
