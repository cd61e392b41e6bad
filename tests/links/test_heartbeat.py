"""Test when links are pinged and when they count as silent."""

from radishtally.links.const import (
    IDLE_PING_INTERVAL_SECONDS,
    IDLE_SILENCE_TIMEOUT_SECONDS,
    PING_INTERVAL_SECONDS,
    SILENCE_TIMEOUT_SECONDS,
)
from radishtally.links.heartbeat import (
    FOLLOWER_PING_FACTOR,
    IDLE_SILENCE_FACTOR,
    Heartbeat,
)

NEVER = float("inf")


def test_busy_link_that_receives_nothing_counts_as_silent_in_time():
    heartbeat = Heartbeat(True, 0.0)
    heartbeat.record_ping(0.1)
    heartbeat.record_received(0.2)
    assert heartbeat.silence_deadline(True, 0.0) == NEVER
    due = heartbeat.next_ping_at(True, 0.0)
    assert due <= 0.2 + PING_INTERVAL_SECONDS
    heartbeat.record_ping(due)
    assert heartbeat.silence_deadline(True, 0.0) == 0.2 + SILENCE_TIMEOUT_SECONDS


def test_busy_link_is_pinged_early_only_if_its_answers_stop():
    # With very many links, regular pings are far apart. A link that receives answers
    # needs no additional pings, but one whose answers stop is pinged at once.
    heartbeat = Heartbeat(True, 0.0)
    heartbeat.record_ping(0.1)
    heartbeat.record_ping(0.2)
    heartbeat.record_received(9.0)
    assert heartbeat.next_ping_at(True, 40.0) == 9.0 + PING_INTERVAL_SECONDS
    heartbeat.record_received(9.1)
    assert heartbeat.next_ping_at(True, 40.0) == 9.1 + PING_INTERVAL_SECONDS


def test_following_end_does_not_ping_while_it_is_pinged():
    heartbeat = Heartbeat(False, 0.0)
    heartbeat.set_peer_interval(35.0)
    heartbeat.record_peer_ping(100.0)
    assert heartbeat.next_ping_at(True, 0.0) == 100.0 + FOLLOWER_PING_FACTOR * 35.0
    assert heartbeat.silence_deadline(True, 0.0) == NEVER


def test_following_end_pings_when_it_is_no_longer_pinged():
    heartbeat = Heartbeat(False, 0.0)
    heartbeat.record_peer_ping(10.0)
    heartbeat.record_received(10.0)
    due = heartbeat.next_ping_at(False, 0.0)
    assert due == 10.0 + FOLLOWER_PING_FACTOR * IDLE_PING_INTERVAL_SECONDS
    heartbeat.record_ping(due)
    assert heartbeat.silence_deadline(False, 0.0) == 10.0 + IDLE_SILENCE_TIMEOUT_SECONDS


def test_silence_timeout_grows_with_the_interval():
    heartbeat = Heartbeat(True, 0.0)
    heartbeat.record_received(1.0)
    heartbeat.record_ping(40.0)
    assert heartbeat.silence_deadline(False, 40.0) == 1.0 + IDLE_SILENCE_FACTOR * 40.0


def test_links_that_came_up_together_are_not_pinged_together():
    heartbeats = [Heartbeat(True, 0.0) for _ in range(200)]
    for heartbeat in heartbeats:
        heartbeat.record_ping(0.01)
    due = sorted(heartbeat.next_ping_at(False, 40.0) for heartbeat in heartbeats)
    assert due[50] < 20.0 < due[150]
