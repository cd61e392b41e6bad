"""Tests of telling the starts of a host apart."""

from radishtally.direct.core import EngineReport, Instance
from radishtally.gateway import starts
from radishtally.gateway.members import MISSING_GRACE_SECONDS, HostChange, Members
from radishtally.gateway.starts import ENDED_STARTS, Starts, StartSource
from radishtally.links.messages import DECODE, PREFILL

EARLY, LATE = 5_000, 4_000
"""Two starts in their order: the clock has stepped back between them."""


def make_instance(started_ms: int, **more: object) -> Instance:
    instance = Instance("a", "llm", "a:1", "howrah", False, 6, DECODE, started_ms)
    return instance._replace(**more)


def make_report(started_ms: int, role: str = DECODE) -> EngineReport:
    return EngineReport(role, 0, False, started_ms)


def describe(changes: list[HostChange]) -> list[str]:
    """Name changes with their kinds, in order: as tuples, two kinds may be equal."""
    return [type(change).__name__ for change in changes]


def list_known(members: Members) -> list[Instance]:
    return list(members)


# Work goes on as if nothing had happened though a host has lost all that it held: it
# started again under its name, and only the start in its entry tells.
def test_new_start_in_the_list_is_a_restart() -> None:
    members = Members()
    assert describe(members.set(make_instance(EARLY))) == ["HostUpdated"]
    changes = members.set(make_instance(LATE))
    assert describe(changes) == ["HostRestarted", "HostUpdated"]
    assert tuple(changes[0]) == ("a", EARLY, LATE, StartSource.LISTED)
    assert members.set(make_instance(LATE)) == []


# A host is taken for restarted again and again, each time losing what it does: its
# entry is written with the next heartbeat only, and still shows the earlier start.
def test_list_does_not_take_back_what_a_report_has_shown() -> None:
    members = Members()
    members.set(make_instance(EARLY, is_draining=True))
    changes = members.take_report(
        make_instance(EARLY, is_draining=True), make_report(LATE, PREFILL)
    )
    assert describe(changes) == ["HostRestarted", "HostUpdated"]
    assert changes[0].source == StartSource.REPORTED
    assert list_known(members) == [make_instance(LATE, role=PREFILL)]
    assert members.set(make_instance(EARLY, is_draining=True)) == []
    assert members.replace([make_instance(EARLY)], 1.0, True) == []
    assert members.replace([make_instance(EARLY)], 2.0, False) == []
    assert list_known(members) == [make_instance(LATE, role=PREFILL)]


# The same the other way round: the list has shown the new start, and a report of the
# earlier one comes late.
def test_late_report_does_not_take_back_what_the_list_has_shown() -> None:
    members = Members()
    asked = make_instance(EARLY)
    members.set(asked)
    members.set(make_instance(LATE))
    assert members.take_report(asked, make_report(EARLY)) == []
    assert list_known(members) == [make_instance(LATE)]


# A host that serves well is taken for ended: the report that was asked of its earlier
# start was answered at that one's address, which another host has by now.
def test_report_tells_nothing_of_a_start_that_was_not_asked() -> None:
    members = Members()
    asked = make_instance(EARLY)
    members.set(asked)
    members.set(make_instance(LATE, address="a:2"))
    assert members.take_report(asked, make_report(7)) == []
    assert list_known(members) == [make_instance(LATE, address="a:2")]


def test_new_start_of_a_missing_host_returns_it() -> None:
    members = Members()
    members.set(make_instance(EARLY))
    members.remove(["a"], 1.0, True)
    changes = members.set(make_instance(LATE, address="a:2"))
    assert describe(changes) == ["HostReturned", "HostRestarted", "HostUpdated"]
    assert members.expire(1.0 + MISSING_GRACE_SECONDS, False) == []


def test_host_that_was_gone_is_back_as_the_same_start_or_another() -> None:
    members = Members()
    for other in ("b", "c", "d", "e"):
        members.set(make_instance(EARLY)._replace(host=other))
    for instance, kinds in (
        (make_instance(EARLY), ["HostUpdated"]),
        (make_instance(EARLY), ["HostUpdated"]),
        (make_instance(LATE), ["HostRestarted", "HostUpdated"]),
        (make_instance(EARLY), []),
    ):
        assert describe(members.set(instance)) == kinds
        members.remove(["a"], 1.0, False)


# A whole fleet would lose its work at once: its hosts begin to tell their starts, or
# the one source does and the other one does not.
def test_start_that_is_told_for_the_first_time_is_no_restart() -> None:
    members = Members()
    members.set(make_instance(0, is_draining=True))
    assert members.take_report(make_instance(0), make_report(0)) == []
    changes = members.take_report(make_instance(0), make_report(EARLY, PREFILL))
    assert describe(changes) == ["HostUpdated"]
    assert list_known(members) == [make_instance(EARLY, is_draining=True)]
    assert members.set(make_instance(0, is_draining=True)) == []
    assert members.starts.name("a") == Starts().name("a")


def test_starts_are_named_apart() -> None:
    known = Starts()
    names = [known.name("a")]
    for started_ms in (EARLY, LATE, 3):
        known.note("a", started_ms, StartSource.LISTED)
        names.append(known.name("a"))
    assert names[0] == names[1]
    assert len(set(names)) == 3


def test_starts_that_are_remembered_are_bounded(monkeypatch) -> None:  # noqa: ANN001
    known = Starts()
    for started_ms in range(1, ENDED_STARTS + 4):
        known.note("a", started_ms, StartSource.LISTED)
    assert [known.is_ended("a", ms) for ms in (1, 2, 3, ENDED_STARTS)] == [
        False,
        False,
        True,
        True,
    ]
    monkeypatch.setattr(starts, "MAX_HOSTS", 2)
    for host in "bac":
        known.note(host, 10_000, StartSource.LISTED)
    assert [known.get(host) for host in "abc"] == [10_000, 0, 10_000]
