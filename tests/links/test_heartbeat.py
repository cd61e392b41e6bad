"""Test when links are pinged and given up."""

from radishtally.links.const import (
    IDLE_PING_SECONDS,
    IDLE_SILENCE_SECONDS,
    PING_SECONDS,
    SILENCE_SECONDS,
)
from radishtally.links.heartbeat import FOLLOW, PATIENCE, Heartbeat

NEVER = float("inf")


def test_a_busy_link_without_signs_of_life_is_silent_in_time():
    heartbeat = Heartbeat(True, 0.0)
    heartbeat.ping(0.1)
    heartbeat.hear(0.2)
    assert heartbeat.silent_at(True, 0.0) == NEVER
    due = heartbeat.next_ping(True, 0.0)
    assert due <= 0.2 + PING_SECONDS
    heartbeat.ping(due)
    assert heartbeat.silent_at(True, 0.0) == 0.2 + SILENCE_SECONDS


def test_a_stream_of_parts_needs_no_early_pings():
    # With very many links regular pings are far apart; a link whose answers flow is
    # not asked besides, but one whose answers stop is asked at once.
    heartbeat = Heartbeat(True, 0.0)
    heartbeat.ping(0.1)
    heartbeat.ping(0.2)
    heartbeat.hear(9.0)
    assert heartbeat.next_ping(True, 40.0) == 9.0 + PING_SECONDS
    heartbeat.hear(9.1)
    assert heartbeat.next_ping(True, 40.0) == 9.1 + PING_SECONDS


def test_a_pinged_end_does_not_ping_as_well():
    heartbeat = Heartbeat(False, 0.0)
    heartbeat.take_interval(35.0)
    heartbeat.take_ping(100.0)
    assert heartbeat.next_ping(True, 0.0) == 100.0 + FOLLOW * 35.0
    assert heartbeat.silent_at(True, 0.0) == NEVER


def test_a_pinged_end_pings_when_it_is_no_longer_pinged():
    heartbeat = Heartbeat(False, 0.0)
    heartbeat.take_ping(10.0)
    heartbeat.hear(10.0)
    due = heartbeat.next_ping(False, 0.0)
    assert due == 10.0 + FOLLOW * IDLE_PING_SECONDS
    heartbeat.ping(due)
    assert heartbeat.silent_at(False, 0.0) == 10.0 + IDLE_SILENCE_SECONDS


def test_patience_grows_with_the_interval():
    heartbeat = Heartbeat(True, 0.0)
    heartbeat.hear(1.0)
    heartbeat.ping(40.0)
    assert heartbeat.silent_at(False, 40.0) == 1.0 + PATIENCE * 40.0


def test_links_that_came_up_together_are_not_pinged_together():
    beats = [Heartbeat(True, 0.0) for _ in range(200)]
    for heartbeat in beats:
        heartbeat.ping(0.01)
    due = sorted(heartbeat.next_ping(False, 40.0) for heartbeat in beats)
    assert due[50] < 20.0 < due[150]
