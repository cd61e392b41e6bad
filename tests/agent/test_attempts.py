"""Tests of the agent's reports on attempts: known, cancelled and unknown ones."""

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
    """Make an agent whose upstream has one slot."""
    return Driver()


def test_unknown_attempt_is_reported_as_not_run_and_stays_so(driver: Driver) -> None:
    # The offer was lost with a link or is delayed in it. Once the entry has been told
    # "not run", it may run the call elsewhere, so a late offer must be refused.
    assert driver.receive(Attach("r", 1, 0)) == [Lost("r", 1, Ran.NO, NOT_KNOWN, 0)]
    (late,) = driver.offer(make_call())
    assert isinstance(late, Refused)
    assert not driver.list_runs()


def test_outcome_of_evicted_attempt_is_unknown(driver: Driver) -> None:
    # The call ran, and its answer has been evicted when its entry returns. Reporting
    # "not run" would let the call run a second time.
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


def test_late_offer_of_cancelled_attempt_is_refused(driver: Driver) -> None:
    assert driver.receive(Cancel("r", 1)) == [Cancelled("r", 1, Ran.NO)]
    (late,) = driver.offer(make_call())
    assert isinstance(late, Refused)
    assert not driver.list_runs()


def test_cancelled_call_in_the_queue_does_not_run(driver: Driver) -> None:
    driver.offer(make_call("first"))
    driver.offer(make_call("r"))
    assert driver.receive(Cancel("r", 1)) == [Cancelled("r", 1, Ran.NO)]
    driver.complete("first")
    assert driver.list_runs() == [("first", 1)]


def test_cancelled_running_call_completes(driver: Driver) -> None:
    # The entry cancels the call too late, is told that it may have run, and attaches to
    # it for the outcome.
    driver.offer(make_call())
    assert driver.receive(Cancel("r", 1)) == [Cancelled("r", 1, Ran.UNKNOWN)]
    assert not driver.list_commands(events.Abort)
    driver.produce("r", b"sent")
    driver.complete("r")
    sent = driver.receive(Attach("r", 1, 0))
    assert [type(m) for m in sent] == [Accepted, Chunk, Finished]


def test_cancelled_running_text_is_aborted(driver: Driver) -> None:
    driver.offer(make_text())
    driver.receive(Cancel("r", 1))
    assert driver.list_commands(events.Abort) == [events.Abort("r", 1)]
    assert not driver.core.assignments


@pytest.mark.parametrize("queued", [True, False])
def test_cancelling_shared_work_keeps_it_for_the_others(queued: bool) -> None:
    # A second caller uses the same key at another entry, and the first request is
    # cancelled. If the shared work were aborted, the second caller would wait until
    # its deadline.
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
    assert not driver.list_commands(events.Abort)


def test_refusal_of_queued_work_reaches_all_subscribers(driver: Driver) -> None:
    driver.offer(make_text("first"))
    driver.offer(make_text("r", key="k"))
    driver.offer(make_text("s", key="k"), entry="entry-1")
    driver.handle(events.Drain("drain", 5.0))
    assert {m.request for m in driver.list_sent(Refused)} == {"r", "s"}


def test_refusal_lost_with_a_link_is_repeated(driver: Driver) -> None:
    # The queue was refused because of a drain while the link was down. The entry must
    # still learn the reason, so that it treats the attempt as a planned move.
    driver.offer(make_text("first"))
    driver.offer(make_text("r"))
    driver.handle(events.LinkDown("entry-0"))
    driver.handle(events.Drain("drain", 5.0))
    driver.handle(events.LinkUp("entry-0"))
    (refused,) = driver.receive(Attach("r", 1, 0))
    assert isinstance(refused, Refused) and refused.reason == LEAVING


def test_duplicate_offer_runs_once(driver: Driver) -> None:
    driver.offer(make_call())
    driver.offer(make_call())
    driver.complete("r")
    assert driver.list_runs() == [("r", 1)]


def test_acknowledged_answer_is_removed(driver: Driver) -> None:
    driver.offer(make_text())
    driver.complete("r")
    driver.receive(Ack("r", 1, 0))
    assert not driver.core.assignments and not driver.core.assignment_ids


def test_acknowledgement_before_the_end_removes_nothing(driver: Driver) -> None:
    driver.offer(make_text())
    driver.receive(Ack("r", 1, 0))
    assert driver.core.assignments


@pytest.mark.parametrize("queued", [True, False])
@pytest.mark.parametrize("key", ["", "k"])
def test_orphaned_work_is_removed(key: str, queued: bool) -> None:
    # The entry has died. Work without a key is removed soon, and work with a key after
    # its deadline; otherwise it would occupy a slot or a place in the queue for ever.
    driver = Driver()
    if queued:
        driver.offer(make_text("first"), entry="entry-1")
    driver.offer(make_text("r", key=key))
    driver.handle(events.LinkDown("entry-0"))
    driver.pass_time(ORPHAN_GRACE_SECONDS + 1)
    assert (("r", 1) in driver.core.assignments) == bool(key)
    driver.pass_time(31.0 + ORPHAN_GRACE_SECONDS)
    assert ("r", 1) not in driver.core.assignments
    assert ("r", 1) not in driver.core.running


def test_all_state_is_evicted_in_time(driver: Driver) -> None:
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
