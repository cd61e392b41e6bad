"""Requests under which hosts have ended: which are suspected, and for how long."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.links.messages import Suspicion
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


def end_in_a_row(suspects: Suspects, content: str, times: int, now: float = 0.0) -> int:
    """End hosts one after another under a request."""
    ends = 0
    for _ in range(times):
        known = suspects.record_offer(content, now)
        ends = suspects.record_host_end(content, HostEnd(known, QUICK), now)
    return ends


@pytest.fixture
def suspects() -> Suspects:
    """Make an entry's suspects."""
    return Suspects()


def test_request_is_denied_after_three_ends_in_a_row(suspects: Suspects) -> None:
    assert end_in_a_row(suspects, "a", ENDS_TO_DENY - 1) == ENDS_TO_DENY - 1
    assert suspects.find_denial_seconds("a", 0.0) == 0.0
    assert end_in_a_row(suspects, "a", 1) == ENDS_TO_DENY
    assert suspects.find_denial_seconds("a", 0.0) == SUSPICION_SECONDS
    assert suspects.count_denied(0.0) == 1


# A rack is lost while one request is open on many of its hosts: nobody gets its answer.
def test_hosts_that_end_at_once_are_one_end(suspects: Suspects) -> None:
    known = [suspects.record_offer("a", 0.0) for _ in range(20)]
    for ends in known:
        suspects.record_host_end("a", HostEnd(ends, QUICK), 1.0)
    assert suspects.count_ends("a", 1.0) == 1


def test_whole_answer_clears_a_request(suspects: Suspects) -> None:
    end_in_a_row(suspects, "a", ENDS_TO_DENY - 1)
    suspects.clear("a")
    assert end_in_a_row(suspects, "a", ENDS_TO_DENY - 1) == ENDS_TO_DENY - 1
    assert suspects.find_denial_seconds("a", 0.0) == 0.0


# A long answer that is gone on with elsewhere each time would be cut off for what ran
# beside it.
def test_run_that_outlived_earlier_ones_begins_anew(suspects: Suspects) -> None:
    end_in_a_row(suspects, "a", 2)
    known = suspects.record_offer("a", 0.0)
    longer = MIN_OUTLIVED_SECONDS + OUTLIVED_FACTOR * QUICK
    assert suspects.record_host_end("a", HostEnd(known, longer), 0.0) == 1


def test_request_is_forgotten_in_time(suspects: Suspects) -> None:
    end_in_a_row(suspects, "a", ENDS_TO_DENY - 1)
    assert suspects.count_ends("a", SUSPICION_SECONDS) == 0


# A mended release would never be given the request again; one that is not mended would
# be given all its repeats at once.
def test_denied_request_is_tried_once_after_a_while(suspects: Suspects) -> None:
    end_in_a_row(suspects, "a", ENDS_TO_DENY)
    assert suspects.find_denial_seconds("a", SUSPICION_SECONDS) == 0.0
    known = suspects.record_offer("a", SUSPICION_SECONDS)
    assert suspects.find_denial_seconds("a", SUSPICION_SECONDS) == TRIAL_SECONDS
    assert (
        suspects.record_host_end("a", HostEnd(known, QUICK), SUSPICION_SECONDS)
        == ENDS_TO_DENY + 1
    )
    assert suspects.find_denial_seconds("a", SUSPICION_SECONDS) == 2 * SUSPICION_SECONDS


def test_denied_request_that_is_answered_in_its_trial_is_free(
    suspects: Suspects,
) -> None:
    end_in_a_row(suspects, "a", ENDS_TO_DENY)
    suspects.record_offer("a", SUSPICION_SECONDS)
    suspects.clear("a")
    assert suspects.find_denial_seconds("a", SUSPICION_SECONDS) == 0.0


def test_denial_has_a_longest_time(suspects: Suspects) -> None:
    end_in_a_row(suspects, "a", 50)
    assert suspects.find_denial_seconds("a", 0.0) == MAX_DENY_SECONDS


def test_ends_seen_by_different_entries_add_up() -> None:
    entries = [Suspects() for _ in range(3)]
    for entry in entries:
        end_in_a_row(entry, "a", 1)
        for suspicion in entry.pop_changed(0.0):
            for other in entries:
                other.merge(suspicion, 0.0)
    assert all(entry.find_denial_seconds("a", 0.0) for entry in entries)


# Each entry reports the same end: a request open at two of them would be denied early.
def test_one_end_that_two_entries_saw_counts_once() -> None:
    entries = [Suspects(), Suspects()]
    for entry in entries:
        end_in_a_row(entry, "a", 1)
    told = [entry.pop_changed(0.0) for entry in entries]
    for entry, suspicions in zip(entries, reversed(told), strict=True):
        for suspicion in suspicions:
            entry.merge(suspicion, 0.0)
    assert [entry.count_ends("a", 0.0) for entry in entries] == [1, 1]


def test_answer_that_another_entry_saw_clears_a_request(suspects: Suspects) -> None:
    other = Suspects()
    end_in_a_row(other, "a", 2)
    for suspicion in other.pop_changed(0.0):
        suspects.merge(suspicion, 0.0)
    other.clear("a")
    for suspicion in other.pop_changed(0.0):
        suspects.merge(suspicion, 0.0)
    assert suspects.count_ends("a", 0.0) == 0


# Links that come and go tell all anew each time: a denial would never end.
def test_what_is_told_again_lasts_no_longer(suspects: Suspects) -> None:
    other = Suspects()
    end_in_a_row(other, "a", ENDS_TO_DENY)
    for suspicion in other.list_all(100.0):
        suspects.merge(suspicion, 100.0)
    assert suspects.find_denial_seconds("a", 100.0) == SUSPICION_SECONDS - 100.0


def test_suspects_with_few_ends_are_forgotten_first(suspects: Suspects) -> None:
    end_in_a_row(suspects, "guilty", ENDS_TO_DENY)
    for number in range(MAX_SUSPECTS + 100):
        end_in_a_row(suspects, f"beside-{number}", 1)
    assert suspects.find_denial_seconds("guilty", 0.0)
    assert len(suspects.list_all(0.0)) == MAX_SUSPECTS


def test_much_is_told_in_parts(suspects: Suspects) -> None:
    for number in range(MAX_SUSPICIONS_PER_MESSAGE + 1):
        end_in_a_row(suspects, f"beside-{number}", 1)
    assert len(suspects.pop_changed(0.0)) == MAX_SUSPICIONS_PER_MESSAGE
    assert len(suspects.pop_changed(0.0)) == 1
    assert suspects.pop_changed(0.0) == []
    assert list(map(len, group_suspicions(suspects.list_all(0.0)))) == [
        MAX_SUSPICIONS_PER_MESSAGE,
        1,
    ]


def test_request_without_a_digest_is_never_suspected(suspects: Suspects) -> None:
    assert end_in_a_row(suspects, "", ENDS_TO_DENY) == 0
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
def test_order_in_which_entries_are_heard_does_not_matter(
    told: list[Suspicion], random: "object"
) -> None:
    one, other = Suspects(), Suspects()
    for suspicion in told:
        one.merge(suspicion, 0.0)
    random.shuffle(told)
    for suspicion in told:
        other.merge(suspicion, 0.0)
    assert one.list_all(0.0) == other.list_all(0.0)
