"""Tests of entries that are ignored until their hosts have written again."""

import pytest

from radishtally.direct.core import Instance
from radishtally.gateway.members import HostUpdated, Members
from radishtally.gateway.unconfirmed import (
    MAX_UNCONFIRMED_SECONDS,
    MIN_CONFIRM_SECONDS,
    REVIEW_INTERVAL_SECONDS,
    UnconfirmedEntries,
)

A = Instance("a", "desk", "a:1", "howrah", False, 6, "", 2_000)
EARLIER = A._replace(started_ms=1_000)


@pytest.fixture
def entries() -> UnconfirmedEntries:
    """Hold one entry from time 0 on."""
    entries = UnconfirmedEntries()
    entries.hold(A, 5, 0.0)
    return entries


def test_entry_is_confirmed_by_a_later_write(entries: UnconfirmedEntries) -> None:
    assert entries.next_review() == REVIEW_INTERVAL_SECONDS
    assert not entries.is_confirmed(A, 5, REVIEW_INTERVAL_SECONDS)
    assert not entries.is_confirmed(EARLIER, 6, REVIEW_INTERVAL_SECONDS)
    assert entries.is_confirmed(A, 6, REVIEW_INTERVAL_SECONDS)
    assert entries.is_confirmed(A, 5, MAX_UNCONFIRMED_SECONDS)


# Guards against two changes of an ended start that are read one after the other.
def test_entries_read_together_do_not_confirm_each_other(
    entries: UnconfirmedEntries,
) -> None:
    assert not entries.is_confirmed(A, 6, MIN_CONFIRM_SECONDS / 2)


# Guards against the loss of evidence: another start's entry is written late just after.
def test_entry_stays_held_while_another_start_is_applied(
    entries: UnconfirmedEntries,
) -> None:
    entries.release(EARLIER)
    assert entries.is_confirmed(A, 6, REVIEW_INTERVAL_SECONDS)
    entries.begin_review(["a"], MAX_UNCONFIRMED_SECONDS)
    entries.end_review(MAX_UNCONFIRMED_SECONDS)
    assert entries.list_hosts() == []
    assert entries.next_review() == float("inf")


def test_review_that_was_requested_happens_once() -> None:
    entries = UnconfirmedEntries()
    entries.request_review(1.0)
    assert entries.next_review() == 1.0 + REVIEW_INTERVAL_SECONDS
    entries.begin_review(["a"], 2.5)
    entries.end_review(2.5)
    assert entries.next_review() == float("inf")


# Guards against requests to a draining host: its entry is overwritten by other bytes,
# and an older one is written late.
def test_older_entry_of_a_host_with_an_unreadable_one_is_outdated() -> None:
    members = Members()
    draining = A._replace(is_draining=True)
    members.update(draining, 9, now=0.0)
    members.remove_unreadable("a", 1.0)
    assert members.update(A, 6, now=2.0) == []
    assert members.update(draining, 10, now=3.0) == [HostUpdated(draining)]
