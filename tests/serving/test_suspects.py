"""Tests of tracking requests that are open at hosts when these terminate."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.links.gateway_messages import Suspicion
from radishtally.serving.suspects import (
    ENDS_TO_DENY,
    MAX_DENY_SECONDS,
    MAX_SUSPECTS,
    MAX_SUSPICIONS_PER_MESSAGE,
    MIN_OUTLIVED_SECONDS,
    OUTLIVED_FACTOR,
    SUSPICION_SECONDS,
    TRIAL_SECONDS,
    HostEnd,
    Suspects,
    group_suspicions,
)

QUICK = 0.05


def terminate_hosts(
    suspects: Suspects, content: str, times: int, now: float = 0.0
) -> int:
    """Terminate hosts one after another under a request."""
    ends = 0
    for _ in range(times):
        known = suspects.record_offer(content, now)
        ends = suspects.record_host_end(content, HostEnd(known, QUICK), now)
    return ends


@pytest.fixture
def suspects() -> Suspects:
    """Return an entry's empty suspect tracker."""
    return Suspects()


def test_request_is_denied_after_three_ends_in_a_row(suspects: Suspects) -> None:
    assert terminate_hosts(suspects, "a", ENDS_TO_DENY - 1) == ENDS_TO_DENY - 1
    assert suspects.find_denial_seconds("a", 0.0) == 0.0
    assert terminate_hosts(suspects, "a", 1) == ENDS_TO_DENY
    assert suspects.find_denial_seconds("a", 0.0) == SUSPICION_SECONDS
    assert suspects.count_denied(0.0) == 1


# When a rack fails while a request's repeats are open on many of its hosts, the request
# must not be denied.
def test_simultaneous_host_ends_count_as_one(suspects: Suspects) -> None:
    known = [suspects.record_offer("a", 0.0) for _ in range(20)]
    for ends in known:
        suspects.record_host_end("a", HostEnd(ends, QUICK), 1.0)
    assert suspects.count_ends("a", 1.0) == 1


def test_complete_answer_clears_a_request(suspects: Suspects) -> None:
    terminate_hosts(suspects, "a", ENDS_TO_DENY - 1)
    suspects.clear("a")
    assert terminate_hosts(suspects, "a", ENDS_TO_DENY - 1) == ENDS_TO_DENY - 1
    assert suspects.find_denial_seconds("a", 0.0) == 0.0


# A long answer that is resumed on another host each time must not be denied because of
# other requests that terminated its hosts.
def test_much_longer_run_resets_the_count(suspects: Suspects) -> None:
    terminate_hosts(suspects, "a", 2)
    known = suspects.record_offer("a", 0.0)
    longer = MIN_OUTLIVED_SECONDS + OUTLIVED_FACTOR * QUICK
    assert suspects.record_host_end("a", HostEnd(known, longer), 0.0) == 1


def test_suspicion_expires(suspects: Suspects) -> None:
    terminate_hosts(suspects, "a", ENDS_TO_DENY - 1)
    assert suspects.count_ends("a", SUSPICION_SECONDS) == 0


# Without a trial a request would stay denied after the fault is fixed; with unlimited
# trials all its repeats would hit the hosts at once while the fault persists.
def test_expired_denial_allows_one_trial_run(suspects: Suspects) -> None:
    terminate_hosts(suspects, "a", ENDS_TO_DENY)
    assert suspects.find_denial_seconds("a", SUSPICION_SECONDS) == 0.0
    known = suspects.record_offer("a", SUSPICION_SECONDS)
    assert suspects.find_denial_seconds("a", SUSPICION_SECONDS) == TRIAL_SECONDS
    assert (
        suspects.record_host_end("a", HostEnd(known, QUICK), SUSPICION_SECONDS)
        == ENDS_TO_DENY + 1
    )
    assert suspects.find_denial_seconds("a", SUSPICION_SECONDS) == 2 * SUSPICION_SECONDS


def test_answer_in_a_trial_run_clears_a_denied_request(
    suspects: Suspects,
) -> None:
    terminate_hosts(suspects, "a", ENDS_TO_DENY)
    suspects.record_offer("a", SUSPICION_SECONDS)
    suspects.clear("a")
    assert suspects.find_denial_seconds("a", SUSPICION_SECONDS) == 0.0


def test_denial_time_is_bounded(suspects: Suspects) -> None:
    terminate_hosts(suspects, "a", 50)
    assert suspects.find_denial_seconds("a", 0.0) == MAX_DENY_SECONDS


def test_ends_seen_by_different_entries_add_up() -> None:
    entries = [Suspects() for _ in range(3)]
    for entry in entries:
        terminate_hosts(entry, "a", 1)
        for suspicion in entry.pop_changed(0.0):
            for other in entries:
                other.merge(suspicion, 0.0)
    assert all(entry.find_denial_seconds("a", 0.0) for entry in entries)


# If each entry's report of the same end counted, a request open at two entries would be
# denied too early.
def test_end_seen_by_two_entries_counts_once() -> None:
    entries = [Suspects(), Suspects()]
    for entry in entries:
        terminate_hosts(entry, "a", 1)
    per_entry = [entry.pop_changed(0.0) for entry in entries]
    for entry, suspicions in zip(entries, reversed(per_entry), strict=True):
        for suspicion in suspicions:
            entry.merge(suspicion, 0.0)
    assert [entry.count_ends("a", 0.0) for entry in entries] == [1, 1]


def test_answer_seen_by_another_entry_clears_a_request(suspects: Suspects) -> None:
    other = Suspects()
    terminate_hosts(other, "a", 2)
    for suspicion in other.pop_changed(0.0):
        suspects.merge(suspicion, 0.0)
    other.clear("a")
    for suspicion in other.pop_changed(0.0):
        suspects.merge(suspicion, 0.0)
    assert suspects.count_ends("a", 0.0) == 0


# A link that reconnects resends all suspicions; if that extended denials, they would
# never expire.
def test_repeated_suspicion_does_not_extend_a_denial(suspects: Suspects) -> None:
    other = Suspects()
    terminate_hosts(other, "a", ENDS_TO_DENY)
    for suspicion in other.list_all(100.0):
        suspects.merge(suspicion, 100.0)
    assert suspects.find_denial_seconds("a", 100.0) == SUSPICION_SECONDS - 100.0


def test_suspects_with_few_ends_are_evicted_first(suspects: Suspects) -> None:
    terminate_hosts(suspects, "guilty", ENDS_TO_DENY)
    for number in range(MAX_SUSPECTS + 100):
        terminate_hosts(suspects, f"beside-{number}", 1)
    assert suspects.find_denial_seconds("guilty", 0.0)
    assert len(suspects.list_all(0.0)) == MAX_SUSPECTS


def test_suspicions_are_split_into_messages(suspects: Suspects) -> None:
    for number in range(MAX_SUSPICIONS_PER_MESSAGE + 1):
        terminate_hosts(suspects, f"beside-{number}", 1)
    assert len(suspects.pop_changed(0.0)) == MAX_SUSPICIONS_PER_MESSAGE
    assert len(suspects.pop_changed(0.0)) == 1
    assert suspects.pop_changed(0.0) == []
    assert list(map(len, group_suspicions(suspects.list_all(0.0)))) == [
        MAX_SUSPICIONS_PER_MESSAGE,
        1,
    ]


def test_request_without_a_digest_is_never_suspected(suspects: Suspects) -> None:
    assert terminate_hosts(suspects, "", ENDS_TO_DENY) == 0
    assert suspects.find_denial_seconds("", 0.0) == 0.0


@given(
    st.lists(
        st.builds(
            Suspicion,
            st.just("a"),
            st.integers(1, 6),
            st.floats(0.0, 10.0),
            st.floats(0.0, 5_000.0),
        )
    ),
    st.randoms(use_true_random=False),
)
def test_merge_order_does_not_matter(
    suspicions: list[Suspicion], random: "object"
) -> None:
    one, other = Suspects(), Suspects()
    for suspicion in suspicions:
        one.merge(suspicion, 0.0)
    random.shuffle(suspicions)
    for suspicion in suspicions:
        other.merge(suspicion, 0.0)
    assert one.list_all(0.0) == other.list_all(0.0)
