"""Tests of what the agent says of attempts: known, withdrawn, unknown."""

import pytest

from radishtally.agent import events
from radishtally.agent.const import (
    ATTEMPT_RETENTION_SECONDS,
    KEYED_RETENTION_SECONDS,
    ORPHAN_GRACE_SECONDS,
    UNKEYED_RETENTION_SECONDS,
)
from radishtally.links.messages import (
    LEAVING,
    NOT_KNOWN,
    Accepted,
    Ack,
    Attach,
    Cancel,
    Cancelled,
    Chunk,
    Finished,
    Lost,
    Refused,
)
from radishtally.outcome import Ran
from tests.agent.common import Driver, make_call, make_text


@pytest.fixture
def driver() -> Driver:
    """Hold an agent with one place at its upstream."""
    return Driver()


def test_attempt_that_never_came_is_not_run_here(driver: Driver) -> None:
    # The caller's call is made elsewhere. Its offer was lost with a link, or is held
    # up in it: the entry is told that it did not run here, which stays true however
    # late the offer comes.
    assert driver.receive(Attach("r", 1, 0)) == [Lost("r", 1, Ran.NO, NOT_KNOWN, 0)]
    (late,) = driver.offer(make_call())
    assert isinstance(late, Refused)
    assert not driver.list_runs()


def test_attempt_that_ran_is_remembered(driver: Driver) -> None:
    # The caller is told "unknown". The call ran and its answer is no longer kept when
    # its entry comes back; "not run" would let it run a second time.
    driver.offer(make_call())
    driver.complete("r")
    driver.pass_time(UNKEYED_RETENTION_SECONDS + 1)
    assert not driver.core.assignments
    driver.pass_time(ATTEMPT_RETENTION_SECONDS - 1)
    (lost,) = driver.receive(Attach("r", 1, 0))
    assert lost.ran == Ran.UNKNOWN
    assert driver.receive(Cancel("r", 1)) == [Cancelled("r", 1, Ran.UNKNOWN)]
    (lost,) = driver.offer(make_call())
    assert lost.ran == Ran.UNKNOWN


def test_withdrawn_offer_is_refused_when_it_comes_late(driver: Driver) -> None:
    assert driver.receive(Cancel("r", 1)) == [Cancelled("r", 1, Ran.NO)]
    (late,) = driver.offer(make_call())
    assert isinstance(late, Refused)
    assert not driver.list_runs()


def test_queued_call_is_withdrawn_untouched(driver: Driver) -> None:
    driver.offer(make_call("first"))
    driver.offer(make_call("r"))
    assert driver.receive(Cancel("r", 1)) == [Cancelled("r", 1, Ran.NO)]
    driver.complete("first")
    assert driver.list_runs() == [("first", 1)]


def test_running_call_is_left_to_end(driver: Driver) -> None:
    # The caller still gets its answer: its entry withdrew the call too late, is told
    # so, and comes for the outcome.
    driver.offer(make_call())
    assert driver.receive(Cancel("r", 1)) == [Cancelled("r", 1, Ran.UNKNOWN)]
    assert not driver.list_of(events.Abort)
    driver.produce("r", b"sent")
    driver.complete("r")
    sent = driver.receive(Attach("r", 1, 0))
    assert [type(m) for m in sent] == [Accepted, Chunk, Finished]


def test_running_text_is_ended_when_withdrawn(driver: Driver) -> None:
    driver.offer(make_text())
    driver.receive(Cancel("r", 1))
    assert driver.list_of(events.Abort) == [events.Abort("r", 1)]
    assert not driver.core.assignments


@pytest.mark.parametrize("queued", [True, False])
def test_withdrawal_leaves_the_work_to_who_joined_it(queued: bool) -> None:
    # The second caller, with the same key at another entry, gets its answer. The
    # first one's request is withdrawn; ended with it, the shared work would leave
    # the second caller waiting until its deadline.
    driver = Driver()
    if queued:
        driver.offer(make_text("first"))
    driver.offer(make_text("r", key="k"))
    driver.offer(make_text("s", key="k"), entry="entry-1")
    assert driver.receive(Cancel("r", 1)) == [Cancelled("r", 1, Ran.UNKNOWN)]
    if queued:
        driver.complete("first")
    driver.produce("r", b"text")
    driver.complete("r")
    assert [m.request for m in driver.list_sent(Finished)][-1] == "s"
    assert not driver.list_of(events.Abort)


def test_work_given_back_reaches_all_who_joined_it(driver: Driver) -> None:
    driver.offer(make_text("first"))
    driver.offer(make_text("r", key="k"))
    driver.offer(make_text("s", key="k"), entry="entry-1")
    driver.give(events.Drain("drain", 5.0))
    assert {m.request for m in driver.list_sent(Refused)} == {"r", "s"}


def test_refusal_lost_with_a_link_is_given_again(driver: Driver) -> None:
    # The caller waits for another host, as for any planned change. The queue was
    # given back while the link was away.
    driver.offer(make_text("first"))
    driver.offer(make_text("r"))
    driver.give(events.LinkDown("entry-0"))
    driver.give(events.Drain("drain", 5.0))
    driver.give(events.LinkUp("entry-0"))
    (refused,) = driver.receive(Attach("r", 1, 0))
    assert isinstance(refused, Refused) and refused.reason == LEAVING


def test_doubled_offer_runs_once(driver: Driver) -> None:
    driver.offer(make_call())
    driver.offer(make_call())
    driver.complete("r")
    assert driver.list_runs() == [("r", 1)]


def test_confirmed_answer_is_dropped(driver: Driver) -> None:
    driver.offer(make_text())
    driver.complete("r")
    driver.receive(Ack("r", 1, 0))
    assert not driver.core.assignments and not driver.core.assignment_ids


def test_confirmation_before_the_end_drops_nothing(driver: Driver) -> None:
    driver.offer(make_text())
    driver.receive(Ack("r", 1, 0))
    assert driver.core.assignments


@pytest.mark.parametrize("queued", [True, False])
@pytest.mark.parametrize("key", ["", "k"])
def test_orphans_go(key: str, queued: bool) -> None:
    # No caller sees anything: its entry has died. Work without a key is ended soon,
    # work with one when its caller's time is over; kept for ever, either would hold
    # a place that waiting people need.
    driver = Driver()
    if queued:
        driver.offer(make_text("first"), entry="entry-1")
    driver.offer(make_text("r", key=key))
    driver.give(events.LinkDown("entry-0"))
    driver.pass_time(ORPHAN_GRACE_SECONDS + 1)
    assert (("r", 1) in driver.core.assignments) == bool(key)
    driver.pass_time(31.0 + ORPHAN_GRACE_SECONDS)
    assert ("r", 1) not in driver.core.assignments
    assert ("r", 1) not in driver.core.running


def test_all_is_forgotten_in_time(driver: Driver) -> None:
    for number in range(50):
        driver.offer(make_text(f"r{number}", key=f"k{number}"))
        driver.complete(f"r{number}")
        driver.receive(Cancel(f"c{number}", 1))
    driver.pass_time(KEYED_RETENTION_SECONDS + ATTEMPT_RETENTION_SECONDS + 2)
    core = driver.core
    kept = (
        core.assignments,
        core.assignment_ids,
        core.keys,
        core.ended_attempts,
        core.dirty,
    )
    assert not any(map(len, kept))
    assert core.retained.bytes == 0
