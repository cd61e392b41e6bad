"""Tests of following the hosts behind the upstreams."""

import pytest

from radishtally.direct.core import EngineReport, Instance
from radishtally.gateway.members import (
    MAX_REMEMBERED,
    MISSING_GRACE_SECONDS,
    REMEMBER_SECONDS,
    REVIEW_SECONDS,
    SILENCE_SECONDS,
    HostChange,
    HostUpdated,
    Members,
)
from radishtally.links.messages import DECODE, PREFILL


def make_instance(host: str, is_draining: bool = False) -> Instance:
    return Instance(host, "desk", f"{host}:1", "howrah", is_draining, 6)


A, B = make_instance("a"), make_instance("b")


def describe(changes: list[HostChange]) -> list[str]:
    """Name changes with their kinds: as tuples, those of two kinds may be equal."""
    return sorted(f"{type(change).__name__} {change.host}" for change in changes)


def test_list_sets_and_forgets() -> None:
    members = Members()
    assert members.replace([A, B], 0.0, False) == [HostUpdated(A), HostUpdated(B)]
    assert describe(members.replace([A], 1.0, False)) == ["HostRemoved b"]
    assert members.replace([A], 2.0, False) == []


def test_draining_is_passed_on() -> None:
    members = Members()
    members.set(A)
    leaving = make_instance("a", is_draining=True)
    assert members.set(leaving) == [HostUpdated(leaving)]


# Callers are refused everywhere: the store was away, hosts could not renew their
# entries, and the first list after its return lacks them though they serve.
def test_entries_that_lapsed_with_the_store_away_are_kept_for_a_while() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    missed = members.replace([], 10.0, True)
    assert describe(missed) == ["HostMissing a", "HostMissing b"]
    assert members.count_missing() == 2
    assert describe(members.set(A)) == ["HostReturned a"]
    assert members.expire(10.0 + MISSING_GRACE_SECONDS - 0.1, False) == []
    assert describe(members.expire(10.0 + MISSING_GRACE_SECONDS, False)) == [
        "HostRemoved b"
    ]
    assert list(members) == [A]


# Work goes to a host two seconds after it was removed: the store was back for this
# gateway and had been for a while, but the gateway had only just noticed that.
def test_removed_host_is_given_up_within_what_a_leaving_one_may_get() -> None:
    drain_seconds, late_seconds = 2.0, 0.3
    members = Members()
    members.set(A)
    members.remove(["a"], 5.0, True)
    gone = members.expire(5.0 + drain_seconds - late_seconds, False)
    assert describe(gone) == ["HostRemoved a"]


def test_removal_that_is_read_just_after_an_outage_waits_too() -> None:
    members = Members()
    members.set(A)
    assert describe(members.remove(["a"], 5.0, True)) == ["HostMissing a"]
    assert describe(members.expire(5.0 + MISSING_GRACE_SECONDS, False)) == [
        "HostRemoved a"
    ]


# Callers of a small upstream are refused for a second: its only host's entry had
# lapsed in an outage behind a held question, and one removal is not many at once.
# Proved by the log of a day: the host is gone and seen again 0.98 s later, and in
# between 42 callers are told that no host is there.
def test_last_host_of_an_upstream_is_kept_for_a_while() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    assert describe(members.remove(["b"], 5.0, False)) == ["HostRemoved b"]
    assert describe(members.remove(["a"], 20.0, False)) == ["HostMissing a"]
    assert describe(members.expire(20.0 + MISSING_GRACE_SECONDS, False)) == [
        "HostRemoved a"
    ]


DRAINING = make_instance("a", is_draining=True)


# A host that is leaving gets requests again: the store came back from a copy that was
# made before the host said that it drains. What it writes in the new era holds.
@pytest.mark.parametrize("started_ms", [0, 7])
def test_drain_is_not_undone_by_an_older_copy(started_ms: int) -> None:
    older = A._replace(started_ms=started_ms)
    members = Members()
    members.replace([older, B], 0.0, False, {"a": 3, "b": 3})
    members.set(DRAINING._replace(started_ms=started_ms), 9)
    members.enter_era(20.0)
    assert members.replace([older, B], 21.0, True, {"a": 5, "b": 5}) == []
    assert members.list_doubted() == ["a"]
    assert members.set(older, 11) == [HostUpdated(older)]
    assert members.next_review() == float("inf")


# An engine gets work of a stage that it no longer serves, and answers 421.
def test_role_is_not_undone_by_an_older_copy() -> None:
    before, after = A._replace(role=PREFILL), A._replace(role=DECODE)
    members = Members()
    members.set(before, 3)
    members.set(after, 9)
    members.enter_era(20.0)
    assert members.replace([before], 21.0, True, {"a": 8}) == []
    assert members.replace([after], 22.5, False, {"a": 10}) == []
    assert members.list_doubted() == []


# An engine is taken for a role that it left: a first copy showed it as it is, from an
# earlier time, and its lower count let a second copy pass for newer.
def test_count_that_is_known_is_not_taken_back_by_a_copy() -> None:
    now_again, between = A._replace(role=PREFILL), A._replace(role=DECODE)
    members = Members()
    members.set(now_again, 3)
    members.set(between, 7)
    members.set(now_again, 9)
    members.enter_era(20.0)
    assert members.replace([now_again], 21.0, True, {"a": 4}) == []
    members.enter_era(25.0)
    assert members.replace([between], 26.0, True, {"a": 7}) == []


# Callers are refused by all hosts of a small upstream: entries of hosts that changed
# nothing were doubted for their lower counts, though most copies hold lower ones.
def test_hosts_that_a_copy_shows_as_they_are_go_on_serving() -> None:
    members = Members()
    members.replace([A, B], 0.0, False, {"a": 30, "b": 30})
    members.enter_era(20.0)
    assert members.replace([A, B], 21.0, True, {"a": 10, "b": 10}) == []
    assert members.list_doubted() == []
    assert members.next_review() == float("inf")


# Requests go to a host that was removed, and reach nobody: the copy still has its
# entry. The count in it tells nothing, since heartbeats before the removal were not
# shown. A change of the new era brings it back at once.
def test_removed_host_stays_out_until_it_has_written_again() -> None:
    members = Members()
    members.replace([A, B], 0.0, False, {"a": 1, "b": 1})
    assert describe(members.remove(["b"], 10.0, False)) == ["HostRemoved b"]
    members.enter_era(20.0)
    assert members.replace([A, B], 21.0, True, {"a": 40, "b": 40}) == []
    assert members.list_doubted() == ["b"]
    assert members.next_review() == 21.0 + REVIEW_SECONDS
    assert members.set(B, 41) == [HostUpdated(B)]


# A host that lives stays without work for good: its entry had lapsed and it was given
# up, the copy has the entry again, and heartbeats alone wake no question. So the list
# is read once more: a count that has grown since was written in the new era.
def test_removed_host_is_back_once_its_count_has_grown() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["b"], 10.0, False)
    members.enter_era(20.0)
    members.replace([A, B], 21.0, True, {"b": 40})
    assert members.replace([A, B], 22.5, False, {"b": 40}) == []
    assert members.next_review() == 22.5 + REVIEW_SECONDS
    assert members.replace([A, B], 24.0, False, {"b": 41}) == [HostUpdated(B)]
    assert members.next_review() == float("inf")


# The same where the count does not show: an entry that nobody renews is dropped by the
# store, unless the store is away.
def test_removed_host_is_back_once_its_entry_has_stood_for_long() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["b"], 10.0, False)
    members.enter_era(20.0)
    members.replace([A, B], 21.0, True)
    members.expire(23.0, True)
    assert members.replace([A, B], 21.0 + SILENCE_SECONDS, False) == []
    assert members.replace([A, B], 23.0 + SILENCE_SECONDS, False) == [HostUpdated(B)]


def test_removed_host_whose_entry_the_store_drops_is_doubted_no_more() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["b"], 10.0, False)
    members.enter_era(20.0)
    members.replace([A, B], 21.0, True)
    assert members.remove(["b"], 24.0, False) == []
    assert members.list_doubted() == []


# A host that has started again after its removal waits for seconds: the doubt about
# its earlier start is none about this one, whose count begins anew.
def test_new_start_is_not_doubted_for_an_earlier_one() -> None:
    first, second = (B._replace(started_ms=started_ms) for started_ms in (5, 9))
    members = Members()
    members.replace([A, first], 0.0, False, {"a": 1, "b": 50})
    members.remove(["b"], 10.0, False)
    members.enter_era(20.0)
    assert HostUpdated(second) in members.replace([A, second], 21.0, True, {"b": 1})
    assert members.list_doubted() == []


def test_count_of_an_earlier_start_says_nothing_of_the_next() -> None:
    first, second = (B._replace(started_ms=started_ms) for started_ms in (5, 9))
    report = EngineReport(DECODE, 0, False, 9)
    members = Members()
    members.set(first._replace(is_draining=True), 50)
    members.take_report(first, report)
    members.enter_era(20.0)
    shown = second._replace(role=PREFILL)
    assert members.replace([shown], 21.0, True, {"b": 1}) == [HostUpdated(shown)]


# A host is missed and kept as its entry may have lapsed; the copy has the entry from
# before, which does not show that the host lives.
def test_missing_host_is_not_returned_by_an_older_copy() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["b"], 19.0, True)
    members.enter_era(20.0)
    assert members.replace([A, B], 21.0, True, {"b": 5}) == []
    assert members.expire(20.0 + MISSING_GRACE_SECONDS - 0.1, False) == []
    assert describe(members.expire(20.0 + MISSING_GRACE_SECONDS, False)) == [
        "HostRemoved b"
    ]
    assert members.replace([A, B], 22.5, False, {"b": 6}) == [HostUpdated(B)]


# Hosts are dropped before they could write anew: the time of those that were missing
# already ran on over the restore.
def test_hosts_that_a_copy_lacks_have_their_time_from_the_restore_on() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["b"], 19.0, True)
    members.enter_era(20.0)
    assert describe(members.replace([], 21.0, True)) == ["HostMissing a"]
    assert members.expire(20.0 + MISSING_GRACE_SECONDS - 0.1, False) == []
    gone = members.expire(20.0 + MISSING_GRACE_SECONDS, False)
    assert describe(gone) == ["HostRemoved a", "HostRemoved b"]


def test_removed_hosts_are_remembered_for_a_while_and_not_without_bound() -> None:
    members = Members()
    hosts = [make_instance(f"h{n}") for n in range(MAX_REMEMBERED + 5)]
    for instance in [A, *hosts]:
        members.set(instance)
        members.remove([instance.host], 5.0, False)
        members.expire(5.0 + MISSING_GRACE_SECONDS, False)
    members.enter_era(5.0 + REMEMBER_SECONDS / 2)
    members.replace([A, *hosts], 40.0, True)
    assert len(members.list_doubted()) == MAX_REMEMBERED
    members.enter_era(7.0 + REMEMBER_SECONDS)
    members.replace([A, *hosts], 70.0, True)
    assert members.list_doubted() == []


# Where the store tells no eras, an entry holds whatever its count says.
def test_without_a_restore_the_newest_answer_holds() -> None:
    members = Members()
    members.set(DRAINING, 9)
    assert members.replace([A], 1.0, False, {"a": 3}) == [HostUpdated(A)]
    members.remove(["a"], 2.0, False)
    members.expire(2.0 + MISSING_GRACE_SECONDS, False)
    assert members.replace([A], 5.0, False, {"a": 3}) == [HostUpdated(A)]


LEAVING_A = make_instance("a", is_draining=True)


# The store is away while a host leaves: its entry says that it is ready, is written so
# again, is lost with the outage, or comes back from an older copy of the store.
def test_entry_does_not_undo_what_a_host_said_of_its_leaving() -> None:
    members = Members()
    members.replace([A, B], 0.0, False, {"a": 1, "b": 1})
    assert members.take_leaving(A) == [HostUpdated(LEAVING_A)]
    assert members.take_leaving(A) == []
    assert members.set(A, 2) == []
    assert members.replace([A, B], 1.0, False, {"a": 3, "b": 3}) == []
    members.remove(["a"], 2.0, False)
    assert members.set(A, 4) == [HostUpdated(LEAVING_A)]
    members.enter_era(3.0)
    members.replace([A, B], 3.0, False, {"a": 1, "b": 1})
    assert LEAVING_A in list(members)


def test_new_start_of_a_host_that_left_is_used() -> None:
    members = Members()
    first, second = (A._replace(started_ms=start) for start in (1_000, 2_000))
    members.set(first)
    members.take_leaving(first)
    members.set(second)
    assert list(members) == [second]


# A host that has just started again is left alone for what its former start had said.
def test_late_word_of_an_earlier_start_says_nothing() -> None:
    members = Members()
    first, second = (A._replace(started_ms=start) for start in (1_000, 2_000))
    members.set(first)
    members.set(second)
    assert members.take_leaving(first) == []
    assert list(members) == [second]


def test_word_of_a_host_that_is_gone_says_nothing() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["a"], 0.0, False)
    assert members.take_leaving(A) == []
    assert list(members) == [B]


def test_hosts_that_left_are_not_remembered_for_good() -> None:
    members = Members()
    for number in range(2 * MAX_REMEMBERED):
        leaving = make_instance(f"h-{number}")
        members.set(leaving)
        members.take_leaving(leaving)
        members.remove([leaving.host], float(number), False)
    assert len(members._leaving) == MAX_REMEMBERED
