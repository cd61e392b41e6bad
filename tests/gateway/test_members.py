"""Tests of following the hosts behind the upstreams."""

from radishtally.direct.core import Instance
from radishtally.gateway.members import (
    LAPSE_SECONDS,
    Change,
    Members,
    Set,
)


def make_instance(host: str, is_draining: bool = False) -> Instance:
    return Instance(host, "desk", f"{host}:1", "howrah", is_draining, 6)


A, B = make_instance("a"), make_instance("b")


def describe(changes: list[Change]) -> list[str]:
    """Name changes with their kinds: as tuples, those of two kinds may be equal."""
    return sorted(f"{type(change).__name__} {change.host}" for change in changes)


def test_list_sets_and_forgets() -> None:
    members = Members()
    assert members.replace([A, B], 0.0, False) == [Set(A), Set(B)]
    assert describe(members.replace([A], 1.0, False)) == ["Forget b"]
    assert members.replace([A], 2.0, False) == []


def test_draining_is_passed_on() -> None:
    members = Members()
    members.set(A)
    leaving = make_instance("a", is_draining=True)
    assert members.set(leaving) == [Set(leaving)]


# Callers are refused everywhere: the store was away, hosts could not renew their
# entries, and the first list after its return lacks them though they serve.
def test_entries_that_lapsed_with_the_store_away_are_kept_for_a_while() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    missed = members.replace([], 10.0, True)
    assert describe(missed) == ["Miss a", "Miss b"]
    assert members.count_missing() == 2
    assert describe(members.set(A)) == ["Return a"]
    assert members.expire(10.0 + LAPSE_SECONDS - 0.1, False) == []
    assert describe(members.expire(10.0 + LAPSE_SECONDS, False)) == ["Forget b"]
    assert list(members) == [A]


# Work goes to a host two seconds after it was removed: the store was back for this
# gateway and had been for a while, but the gateway had only just noticed that.
def test_removed_host_is_given_up_within_what_a_leaving_one_may_get() -> None:
    drain_seconds, late_seconds = 2.0, 0.3
    members = Members()
    members.set(A)
    members.remove(["a"], 5.0, True)
    gone = members.expire(5.0 + drain_seconds - late_seconds, False)
    assert describe(gone) == ["Forget a"]


def test_removal_that_is_read_just_after_an_outage_waits_too() -> None:
    members = Members()
    members.set(A)
    assert describe(members.remove(["a"], 5.0, True)) == ["Miss a"]
    assert describe(members.expire(5.0 + LAPSE_SECONDS, False)) == ["Forget a"]


# Callers of a small upstream are refused for a second: its only host's entry had
# lapsed in an outage behind a held question, and one removal is not many at once.
# Proved by the log of a day: the host is gone and seen again 0.98 s later, and in
# between 42 callers are told that no host is there.
def test_last_host_of_an_upstream_is_kept_for_a_while() -> None:
    members = Members()
    members.replace([A, B], 0.0, False)
    assert describe(members.remove(["b"], 5.0, False)) == ["Forget b"]
    assert describe(members.remove(["a"], 20.0, False)) == ["Miss a"]
    assert describe(members.expire(20.0 + LAPSE_SECONDS, False)) == ["Forget a"]
