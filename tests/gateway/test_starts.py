"""Tests of distinguishing the successive starts of a host."""

from radishtally.direct.core import EngineReport, Instance
from radishtally.gateway import starts
from radishtally.gateway.members import MISSING_GRACE_SECONDS, HostChange, Members
from radishtally.gateway.starts import MAX_ENDED_STARTS, HostStarts, StartSource
from radishtally.links.messages import DECODE, PREFILL

EARLY, LATE = 5_000, 4_000
"""Start times of two successive starts; the clock was set back between them."""


def make_instance(started_ms: int, **more: object) -> Instance:
    instance = Instance("a", "llm", "a:1", "howrah", False, 6, DECODE, started_ms)
    return instance._replace(**more)


def make_report(started_ms: int, role: str = DECODE) -> EngineReport:
    return EngineReport(role, 0, False, started_ms)


def describe(changes: list[HostChange]) -> list[str]:
    """List the types of changes: tuples of different types may be equal."""
    return [type(change).__name__ for change in changes]


def list_known(members: Members) -> list[Instance]:
    return list(members)


# Guards against an unnoticed restart: a host restarts under the same name and loses its
# state, and only the start time in its entry shows that.
def test_new_start_in_the_list_is_a_restart() -> None:
    members = Members()
    assert describe(members.update(make_instance(EARLY))) == ["HostUpdated"]
    changes = members.update(make_instance(LATE))
    assert describe(changes) == ["HostRestarted", "HostUpdated"]
    assert tuple(changes[0]) == ("a", EARLY, LATE, StartSource.LISTED)
    assert members.update(make_instance(LATE)) == []


# Guards against repeated false restarts, each of which drops the host's work: its entry
# still shows the earlier start until the next heartbeat.
def test_list_does_not_undo_a_report() -> None:
    members = Members()
    members.update(make_instance(EARLY, is_draining=True))
    changes = members.apply_report(
        make_instance(EARLY, is_draining=True), make_report(LATE, PREFILL)
    )
    assert describe(changes) == ["HostRestarted", "HostUpdated"]
    assert changes[0].source == StartSource.REPORTED
    reported = make_instance(LATE, role=PREFILL, is_draining=True)
    assert list_known(members) == [reported]
    assert members.update(make_instance(EARLY, is_draining=True)) == []
    assert members.replace([make_instance(EARLY)], 1.0, True) == []
    assert members.replace([make_instance(EARLY)], 2.0, False) == []
    assert list_known(members) == [reported]
    listed = make_instance(LATE, role=PREFILL)
    assert describe(members.update(listed)) == ["HostUpdated"]
    assert list_known(members) == [listed]


# The reverse: the list shows the new start, and a report of the earlier one is late.
def test_late_report_does_not_undo_the_list() -> None:
    members = Members()
    queried = make_instance(EARLY)
    members.update(queried)
    members.update(make_instance(LATE))
    assert members.apply_report(queried, make_report(EARLY)) == []
    assert list_known(members) == [make_instance(LATE)]


# Guards against a false restart of a healthy host: the report of its earlier start was
# answered by another host that listens at the earlier address now.
def test_report_is_ignored_for_a_start_that_was_not_queried() -> None:
    members = Members()
    queried = make_instance(EARLY)
    members.update(queried)
    members.update(make_instance(LATE, address="a:2"))
    assert members.apply_report(queried, make_report(7)) == []
    assert list_known(members) == [make_instance(LATE, address="a:2")]


def test_new_start_of_a_missing_host_returns_it() -> None:
    members = Members()
    members.update(make_instance(EARLY))
    members.remove(["a"], 1.0, True)
    changes = members.update(make_instance(LATE, address="a:2"))
    assert describe(changes) == ["HostReturned", "HostRestarted", "HostUpdated"]
    assert members.expire(1.0 + MISSING_GRACE_SECONDS, False) == []


def test_removed_host_can_return_with_the_same_or_another_start() -> None:
    members = Members()
    for other in ("b", "c", "d", "e"):
        members.update(make_instance(EARLY)._replace(host=other))
    for now, instance, kinds in (
        (0.0, make_instance(EARLY), ["HostUpdated"]),
        (20.0, make_instance(EARLY), ["HostUpdated"]),
        (40.0, make_instance(LATE), ["HostRestarted", "HostUpdated"]),
        (60.0, make_instance(EARLY), []),
    ):
        assert describe(members.update(instance, now=now)) == kinds
        members.remove(["a"], now + 1.0, False)


# Guards against a fleet that loses all its work at once, when its hosts begin to report
# their start times, or only one of the sources reports them.
def test_first_reported_start_is_no_restart() -> None:
    members = Members()
    members.update(make_instance(0, is_draining=True))
    assert members.apply_report(make_instance(0), make_report(0)) == []
    changes = members.apply_report(make_instance(0), make_report(EARLY, PREFILL))
    assert describe(changes) == ["HostUpdated"]
    assert list_known(members) == [make_instance(EARLY, is_draining=True)]
    assert members.update(make_instance(0, is_draining=True)) == []
    assert members.starts.name_incarnation("a") == HostStarts().name_incarnation("a")


def test_starts_have_distinct_names() -> None:
    known = HostStarts()
    names = [known.name_incarnation("a")]
    for started_ms in (EARLY, LATE, 3):
        known.record("a", started_ms, StartSource.LISTED)
        names.append(known.name_incarnation("a"))
    assert names[0] == names[1]
    assert len(set(names)) == 3


def test_memory_of_starts_is_limited(monkeypatch) -> None:  # noqa: ANN001
    known = HostStarts()
    for started_ms in range(1, MAX_ENDED_STARTS + 4):
        known.record("a", started_ms, StartSource.LISTED)
    assert [known.is_ended("a", ms) for ms in (1, 2, 3, MAX_ENDED_STARTS)] == [
        False,
        False,
        True,
        True,
    ]
    monkeypatch.setattr(starts, "MAX_HOSTS", 2)
    for host in "bac":
        known.record(host, 10_000, StartSource.LISTED)
    assert [known.get(host) for host in "abc"] == [10_000, 0, 10_000]


def list_versions(members: Members) -> list[str]:
    return [instance.version for instance in members]


def test_other_version_in_the_list_is_a_change_of_version() -> None:
    members = Members()
    members.update(make_instance(0, version="v1"))
    changes = members.update(make_instance(0, version="v2"))
    assert describe(changes) == ["HostVersionChanged", "HostUpdated"]
    assert tuple(changes[0]) == ("a", "v1", "v2", True)
    (changed, _) = members.update(make_instance(0, version="v1"), 0, True)
    assert not changed.is_recent


# Guards against streams that are taken for those of the former version: a report shows
# the new start before its entry, which alone names the version.
def test_version_of_a_reported_start_is_unknown_until_it_is_listed() -> None:
    members = Members()
    queried = make_instance(EARLY, version="v1")
    members.update(queried)
    changes = members.apply_report(queried, make_report(LATE))
    assert describe(changes) == ["HostVersionChanged", "HostRestarted", "HostUpdated"]
    assert list_versions(members) == [""]
    assert members.update(make_instance(EARLY, version="v1")) == []
    members.update(make_instance(0, version="v1"))
    assert list_versions(members) == [""]
    changes = members.update(make_instance(LATE, version="v2"))
    assert describe(changes) == ["HostVersionChanged", "HostUpdated"]
    assert list_versions(members) == ["v2"]


# Guards against the same where the entry had lapsed before the host began again.
def test_host_that_is_listed_again_at_another_version_has_changed_it() -> None:
    members = Members()
    members.update(make_instance(0, version="v1"))
    members.update(make_instance(0, host="b", version="v1"))
    members.remove(["a"], 10.0, False)
    members.expire(10.0 + MISSING_GRACE_SECONDS, False)
    changes = members.update(make_instance(0, version="v2"), now=20.0)
    assert describe(changes) == ["HostVersionChanged", "HostUpdated"]
    assert not changes[0].is_recent


# Guards against a host that is believed to have ended for good: an entry or a report of
# an earlier start was read late, and counted as a newer start.
def test_start_that_writes_again_is_the_current_one() -> None:
    members = Members()
    members.update(make_instance(LATE), 5, now=0.0)
    members.update(make_instance(EARLY), 30, now=1.0)
    assert members.update(make_instance(LATE), 6, now=2.0) == []
    restored = members.replace([make_instance(LATE)], 3.5, False, {"a": 7})
    assert describe(restored) == ["HostUpdated"]
    assert list_known(members) == [make_instance(LATE)]
    assert members.starts.is_ended("a", EARLY)
    assert members.next_review() == float("inf")


def test_reported_start_is_reviewed_against_the_list() -> None:
    members = Members()
    queried = make_instance(LATE)
    members.update(queried, 5, now=0.0)
    members.apply_report(queried, make_report(EARLY), now=1.0)
    assert members.next_review() < float("inf")
    members.replace([queried], 2.5, False, {"a": 7})
    assert members.next_review() < float("inf")
    members.replace([queried], 4.0, False, {"a": 8})
    assert list_known(members) == [queried]


# Guards against a leaving host that gets work again: it said so while another start was
# taken for the current one.
def test_leaving_announcement_holds_for_the_start_that_proves_current() -> None:
    members = Members()
    members.update(make_instance(LATE), 5, now=0.0)
    members.update(make_instance(EARLY), 30, now=1.0)
    members.record_leaving(make_instance(EARLY))
    members.update(make_instance(LATE), 6, now=2.0)
    members.replace([make_instance(LATE)], 3.5, False, {"a": 7})
    assert list_known(members) == [make_instance(LATE, is_draining=True)]
