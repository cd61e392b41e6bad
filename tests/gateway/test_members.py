"""Tests of tracking the hosts of the upstreams."""

import pytest

from radishtally.direct.core import EngineReport, Instance
from radishtally.gateway.members import (
    GONE_RETENTION_SECONDS,
    LATE_WRITE_SECONDS,
    MAX_MISSING_AVAILABLE_SECONDS,
    MAX_REMEMBERED_HOSTS,
    MISSING_GRACE_SECONDS,
    HostChange,
    HostUpdated,
    Members,
)
from radishtally.gateway.unconfirmed import (
    MAX_UNCONFIRMED_SECONDS,
    REVIEW_INTERVAL_SECONDS,
)
from radishtally.links.messages import DECODE, PREFILL


def make_instance(host: str, is_draining: bool = False) -> Instance:
    return Instance(host, "desk", f"{host}:1", "howrah", is_draining, 6)


A, B = make_instance("a"), make_instance("b")


def describe(changes: list[HostChange]) -> list[str]:
    """Format changes with their types: tuples of different types may be equal."""
    return sorted(f"{type(change).__name__} {change.host}" for change in changes)


def test_list_adds_and_removes_hosts() -> None:
    members = Members()
    assert members.replace([A, B], 0.0, False) == [HostUpdated(A), HostUpdated(B)]
    assert describe(members.replace([A], 1.0, False)) == ["HostRemoved b"]
    assert members.replace([A], 2.0, False) == []


def test_draining_state_is_reported() -> None:
    members = Members()
    members.update(A)
    leaving = make_instance("a", is_draining=True)
    assert members.update(leaving) == [HostUpdated(leaving)]


# Guards against refusals by all gateways after a store outage: hosts could not renew
# their entries, and the first list lacks them although they serve.
def test_hosts_whose_entries_expired_in_an_outage_are_kept_for_a_while() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    missed = members.replace([], 10.0, True)
    assert describe(missed) == ["HostMissing a", "HostMissing b"]
    assert members.count_missing() == 2
    assert describe(members.update(A)) == ["HostReturned a"]
    assert members.expire(10.0 + MISSING_GRACE_SECONDS - 0.1, False) == []
    assert describe(members.expire(10.0 + MISSING_GRACE_SECONDS, False)) == [
        "HostRemoved b"
    ]
    assert list(members) == [A]


# Guards against work for a host two seconds after its removal, when the gateway has
# noticed the store's return late.
def test_removed_host_is_dropped_within_its_drain_time() -> None:
    drain_seconds, late_seconds = 2.0, 0.3
    members = Members()
    members.update(A)
    members.remove(["a"], 5.0, True)
    gone = members.expire(5.0 + drain_seconds - late_seconds, False)
    assert describe(gone) == ["HostRemoved a"]


# Guards against requests to a removed host for as long as the store fails again and
# again: each outage starts the time anew in which its entry may come back.
def test_removed_host_is_dropped_although_outages_go_on() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["a"], 10.0, True)
    available, now = 0.0, 10.0
    while available < MAX_MISSING_AVAILABLE_SECONDS:
        assert A in list(members)
        now += 3.0
        members.expire(now, True)
        for _ in range(2):
            now += 0.5
            available += 0.5
            members.expire(now, True)
    assert list(members) == [B]


def test_single_removal_just_after_an_outage_is_delayed() -> None:
    members = Members()
    members.update(A)
    assert describe(members.remove(["a"], 5.0, True)) == ["HostMissing a"]
    assert describe(members.expire(5.0 + MISSING_GRACE_SECONDS, False)) == [
        "HostRemoved a"
    ]


# Guards against refusals by a small upstream: the entry of its only host expires in an
# outage that a pending long poll hides, and one removal does not count as a mass
# removal. In one case the host was back 0.98 s later, and 42 callers were refused.
def test_last_host_of_an_upstream_is_kept_for_a_while() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    assert describe(members.remove(["b"], 5.0, False)) == ["HostRemoved b"]
    assert describe(members.remove(["a"], 20.0, False)) == ["HostMissing a"]
    assert describe(members.expire(20.0 + MISSING_GRACE_SECONDS, False)) == [
        "HostRemoved a"
    ]


DRAINING = make_instance("a", is_draining=True)


# Guards against requests to a draining host: the store is restored from a backup taken
# before the drain. An entry that the host writes in the new era is applied.
@pytest.mark.parametrize("started_ms", [0, 7])
def test_drain_is_not_undone_by_an_older_backup(started_ms: int) -> None:
    older = A._replace(started_ms=started_ms)
    members = Members()
    members.replace([older, B], 0.0, False, {"a": 3, "b": 3})
    members.update(DRAINING._replace(started_ms=started_ms), 9)
    members.enter_era(20.0)
    assert members.replace([older, B], 21.0, True, {"a": 5, "b": 5}) == []
    assert members.list_unconfirmed() == ["a"]
    assert members.update(older, 11) == [HostUpdated(older)]
    assert members.next_review() == float("inf")


# Guards against work for a stage that the engine no longer serves, answered with 421.
def test_role_is_not_undone_by_an_older_backup() -> None:
    before, after = A._replace(role=PREFILL), A._replace(role=DECODE)
    members = Members()
    members.update(before, 3)
    members.update(after, 9)
    members.enter_era(20.0)
    assert members.replace([before], 21.0, True, {"a": 8}) == []
    assert members.replace([after], 22.5, False, {"a": 10}) == []
    assert members.list_unconfirmed() == []


# Guards against an outdated role: a first backup shows the current role with a lower
# heartbeat count. If that count were adopted, a second backup would look newer.
def test_heartbeat_count_is_not_lowered_by_a_backup() -> None:
    now_again, between = A._replace(role=PREFILL), A._replace(role=DECODE)
    members = Members()
    members.update(now_again, 3)
    members.update(between, 7)
    members.update(now_again, 9)
    members.enter_era(20.0)
    assert members.replace([now_again], 21.0, True, {"a": 4}) == []
    members.enter_era(25.0)
    assert members.replace([between], 26.0, True, {"a": 7}) == []


# Guards against refusals by a small upstream: unchanged entries are treated as
# unconfirmed for their lower counts, which most backups have.
def test_hosts_with_unchanged_entries_in_a_backup_keep_serving() -> None:
    members = Members()
    members.replace([A, B], 0.0, False, {"a": 30, "b": 30})
    members.enter_era(20.0)
    assert members.replace([A, B], 21.0, True, {"a": 10, "b": 10}) == []
    assert members.list_unconfirmed() == []
    assert members.next_review() == float("inf")


# Guards against requests to a removed host whose entry is still in the backup. Its
# heartbeat count is no evidence, since heartbeats before the removal were not reported.
# A change in the new era brings the host back immediately.
def test_removed_host_stays_out_until_it_has_written_again() -> None:
    members = Members()
    members.replace([A, B], 0.0, False, {"a": 1, "b": 1})
    assert describe(members.remove(["b"], 10.0, False)) == ["HostRemoved b"]
    members.enter_era(20.0)
    assert members.replace([A, B], 21.0, True, {"a": 40, "b": 40}) == []
    assert members.list_unconfirmed() == ["b"]
    assert members.next_review() == 21.0 + REVIEW_INTERVAL_SECONDS
    assert members.update(B, 41, now=22.0) == [HostUpdated(B)]


# Guards against a live host that gets no work permanently: its entry expired and it was
# dropped, the backup has the entry again, and a heartbeat alone does not end a long
# poll. The list is therefore read again: a higher count was written in the new era.
def test_removed_host_is_back_once_its_heartbeat_count_has_grown() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["b"], 10.0, False)
    members.enter_era(20.0)
    members.replace([A, B], 21.0, True, {"b": 40})
    assert members.replace([A, B], 22.5, False, {"b": 40}) == []
    assert members.next_review() == 22.5 + REVIEW_INTERVAL_SECONDS
    assert members.replace([A, B], 24.0, False, {"b": 41}) == [HostUpdated(B)]
    assert members.next_review() == float("inf")


# As above, without heartbeat counts: the store deletes an entry that is not renewed,
# unless the store is away.
def test_removed_host_is_back_once_its_entry_has_existed_for_long() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["b"], 10.0, False)
    members.enter_era(20.0)
    members.replace([A, B], 21.0, True)
    members.expire(23.0, True)
    assert members.replace([A, B], 21.0 + MAX_UNCONFIRMED_SECONDS, False) == []
    assert members.replace([A, B], 23.0 + MAX_UNCONFIRMED_SECONDS, False) == [
        HostUpdated(B)
    ]


def test_entry_that_the_store_deletes_is_no_longer_unconfirmed() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["b"], 10.0, False)
    members.enter_era(20.0)
    members.replace([A, B], 21.0, True)
    assert members.remove(["b"], 24.0, False) == []
    assert members.list_unconfirmed() == []


# Guards against a delay of seconds for a host that restarted after its removal: the
# heartbeat count of a new start begins again and can't be compared.
def test_new_start_is_not_unconfirmed_for_an_earlier_one() -> None:
    first, second = (B._replace(started_ms=started_ms) for started_ms in (5, 9))
    members = Members()
    members.replace([A, first], 0.0, False, {"a": 1, "b": 50})
    members.remove(["b"], 10.0, False)
    members.enter_era(20.0)
    assert HostUpdated(second) in members.replace([A, second], 21.0, True, {"b": 1})
    assert members.list_unconfirmed() == []


def test_heartbeat_count_of_an_earlier_start_is_ignored_for_the_next() -> None:
    first, second = (B._replace(started_ms=started_ms) for started_ms in (5, 9))
    report = EngineReport(DECODE, 0, False, 9)
    members = Members()
    members.update(first._replace(is_draining=True), 50)
    members.apply_report(first, report)
    members.enter_era(20.0)
    shown = second._replace(role=PREFILL)
    assert members.replace([shown], 21.0, True, {"b": 1}) == [HostUpdated(shown)]


# A missing host is not confirmed by its entry in a backup, which was written before the
# entry went missing.
def test_missing_host_is_not_returned_by_an_older_backup() -> None:
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


# Guards against hosts that are dropped before they can write again: the grace period of
# hosts that were already missing must start again at the restore.
def test_grace_period_of_missing_hosts_starts_at_the_restore() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["b"], 19.0, True)
    members.enter_era(20.0)
    assert describe(members.replace([], 21.0, True)) == ["HostMissing a"]
    assert members.expire(20.0 + MISSING_GRACE_SECONDS - 0.1, False) == []
    gone = members.expire(20.0 + MISSING_GRACE_SECONDS, False)
    assert describe(gone) == ["HostRemoved a", "HostRemoved b"]


def test_memory_of_removed_hosts_is_limited_in_time_and_number() -> None:
    members = Members()
    hosts = [make_instance(f"h{n}") for n in range(MAX_REMEMBERED_HOSTS + 5)]
    for instance in [A, *hosts]:
        members.update(instance)
        members.remove([instance.host], 5.0, False)
        members.expire(5.0 + MISSING_GRACE_SECONDS, False)
    members.enter_era(5.0 + GONE_RETENTION_SECONDS / 2)
    members.replace([A, *hosts], 40.0, True)
    assert len(members.list_unconfirmed()) == MAX_REMEMBERED_HOSTS
    members.enter_era(7.0 + GONE_RETENTION_SECONDS)
    members.replace([A, *hosts], 70.0, True)
    assert members.list_unconfirmed() == []


# Guards against requests to a draining host: its older entry is written late, without a
# restore. An entry that its host wrote later is applied, and one that stands for long.
def test_entry_with_a_lower_heartbeat_count_is_outdated() -> None:
    members = Members()
    members.update(DRAINING, 9)
    assert members.replace([A], 1.0, False, {"a": 3}) == []
    assert members.list_unconfirmed() == ["a"]
    assert members.next_review() == 1.0 + REVIEW_INTERVAL_SECONDS
    assert members.update(DRAINING, 10, now=2.0) == []
    assert members.list_unconfirmed() == []
    assert members.update(A, 11, now=3.0) == [HostUpdated(A)]
    assert members.replace([DRAINING], 4.0, False, {"a": 3}) == []
    assert members.replace([DRAINING], 4.0 + MAX_UNCONFIRMED_SECONDS, False) == [
        HostUpdated(DRAINING)
    ]


# Guards against requests to a removed host: several entries of it are written late. It
# is back once it writes when none can be late any more, and after an outage, in which
# it may only have lapsed.
def test_entry_of_a_removed_host_is_applied_once_no_write_can_be_late() -> None:
    members = Members()
    members.replace([A, B], 0.0, False, {"a": 3, "b": 3})
    members.remove(["a"], 2.0, False)
    assert members.update(A, 4, now=3.0) == []
    assert members.replace([A, B], 4.5, False, {"a": 4, "b": 4}) == []
    assert members.replace([A, B], 6.0, False, {"a": 5, "b": 5}) == []
    last = 2.0 + LATE_WRITE_SECONDS - 0.1
    assert members.replace([A, B], last, False, {"a": 6, "b": 6}) == []
    assert members.replace([A, B], last + 1.0, False, {"a": 6, "b": 7}) == []
    assert members.replace([A, B], last + 2.0, False, {"a": 7, "b": 8}) == [
        HostUpdated(A)
    ]
    members.remove(["a"], 20.0, False)
    assert members.update(A, 8, after_outage=True, now=21.0) == [HostUpdated(A)]
    members.remove(["a"], 22.0, False)
    assert members.update(A, 9, now=22.0 + LATE_WRITE_SECONDS) == [HostUpdated(A)]


# Guards against seconds without a host that was removed and has begun again.
def test_new_start_of_a_removed_host_is_applied_once_it_is_written_again() -> None:
    first, second = (A._replace(started_ms=started_ms) for started_ms in (5, 9))
    members = Members()
    members.replace([first, B], 0.0, False, {"a": 3, "b": 3})
    members.remove(["a"], 2.0, False)
    assert members.update(second, 1, now=3.0) == []
    assert HostUpdated(second) in members.replace([second, B], 4.5, False, {"a": 2})


# Guards against refusals by an upstream whose last host is gone: the entry of another
# one had only lapsed, and is held as that of a removed host.
def test_held_entry_is_applied_where_no_other_host_is_left() -> None:
    members = Members()
    members.replace([A, B], 0.0, False, {"a": 3, "b": 3})
    members.remove(["a"], 2.0, False)
    assert members.update(A, 4, now=3.0) == []
    assert describe(members.remove(["b"], 3.5, False)) == ["HostMissing b"]
    assert members.expire(4.0, False) == []
    changes = members.expire(3.5 + MISSING_GRACE_SECONDS, False)
    assert describe(changes[:1]) == ["HostRemoved b"]
    assert changes[1:] == [HostUpdated(A)]
    members.remove(["a"], 6.0, False)
    members.expire(6.0 + MISSING_GRACE_SECONDS, False)
    assert members.update(B, 9, now=8.0) == [HostUpdated(B)]


LEAVING_A = make_instance("a", is_draining=True)


# A host announces that it is leaving while the store is away. Its entry still says that
# it is ready, is written again like that, is lost in the outage, or is restored.
def test_entry_does_not_undo_a_leaving_announcement() -> None:
    members = Members()
    members.replace([A, B], 0.0, False, {"a": 1, "b": 1})
    assert members.record_leaving(A) == [HostUpdated(LEAVING_A)]
    assert members.record_leaving(A) == []
    assert members.update(A, 2) == []
    assert members.replace([A, B], 1.0, False, {"a": 3, "b": 3}) == []
    members.remove(["a"], 2.0, False)
    assert members.update(A, 4, now=2.0 + LATE_WRITE_SECONDS) == [
        HostUpdated(LEAVING_A)
    ]
    members.enter_era(3.0)
    members.replace([A, B], 3.0, False, {"a": 1, "b": 1})
    assert LEAVING_A in list(members)


# Guards against requests to a leaving host for which an entry of an earlier start is
# written late: a new start is used once it has written twice.
def test_new_start_of_a_leaving_host_is_used() -> None:
    members = Members()
    first, second = (A._replace(started_ms=start) for start in (1_000, 2_000))
    members.update(first, 30)
    members.record_leaving(first)
    assert members.update(second, 1, now=1.0) == []
    assert members.next_review() == 1.0 + REVIEW_INTERVAL_SECONDS
    members.replace([second], members.next_review(), False, {"a": 2})
    assert list(members) == [second]


# Guards against a restarted host without work, because its earlier start was leaving.
def test_late_leaving_announcement_of_an_earlier_start_is_ignored() -> None:
    members = Members()
    first, second = (A._replace(started_ms=start) for start in (1_000, 2_000))
    members.update(first)
    members.update(second)
    assert members.record_leaving(first) == []
    assert list(members) == [second]


def test_leaving_announcement_of_a_removed_host_is_ignored() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    members.remove(["a"], 0.0, False)
    assert members.record_leaving(A) == []
    assert list(members) == [B]


def test_memory_of_leaving_hosts_is_limited() -> None:
    members = Members()
    for number in range(2 * MAX_REMEMBERED_HOSTS):
        leaving = make_instance(f"h-{number}")
        members.update(leaving)
        members.record_leaving(leaving)
        members.remove([leaving.host], float(number), False)
    assert len(members._leaving) == MAX_REMEMBERED_HOSTS
