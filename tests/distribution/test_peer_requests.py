"""Tests of which peer a newer configuration is requested from."""

from radishtally.distribution.core import REPLY_TIMEOUT_SECONDS, ConfigurationReplica


def test_one_peer_is_asked_when_all_report_a_new_revision():
    # After a change all peers report the new revision at nearly the same time. If all
    # were asked, each of 330 entries would send the files to each of 1,400 agents.
    replica = ConfigurationReplica()
    requests = [replica.record_peer_revision(f"entry-{n}", 7, 10.0) for n in range(5)]
    assert requests[0] is not None
    assert requests[1:] == [None] * 4


def test_another_peer_is_asked_after_the_reply_timeout():
    # The asked peer is paused or its link is silent. Without a timeout no other peer
    # would be asked, and the revision would never come into force in this process.
    replica = ConfigurationReplica()
    replica.record_peer_revision("entry-1", 7, 10.0)
    assert (
        replica.record_peer_revision("entry-2", 7, 10.0 + REPLY_TIMEOUT_SECONDS / 2)
        is None
    )
    assert (
        replica.record_peer_revision("entry-2", 7, 10.0 + REPLY_TIMEOUT_SECONDS)
        is not None
    )


def test_another_peer_is_asked_at_once_when_the_first_has_left():
    replica = ConfigurationReplica()
    replica.record_peer_revision("entry-1", 7, 10.0)
    replica.forget_peer("entry-1")
    assert replica.record_peer_revision("entry-2", 7, 10.0) is not None


def test_a_peer_with_an_even_newer_revision_is_asked_at_once():
    replica = ConfigurationReplica()
    replica.record_peer_revision("entry-1", 7, 10.0)
    assert replica.record_peer_revision("entry-2", 8, 10.0) is not None


def test_a_peer_that_reports_again_is_asked_again():
    replica = ConfigurationReplica()
    assert replica.record_peer_revision("entry-1", 7, 10.0) is not None
    assert replica.record_peer_revision("entry-1", 7, 10.1) is not None
