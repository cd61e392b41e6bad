"""Tests of failures: which requests are retried, refused or unaffected."""

import pytest

from radishtally.limits.retries import MAX_BACKOFF_SECONDS, RetryBudgets
from radishtally.links.kinds import Message
from radishtally.links.messages import (
    NOT_KNOWN,
    Accepted,
    Ack,
    Attach,
    Cancel,
    Finished,
    Lost,
    Refused,
    Work,
)
from radishtally.outcome import Ran
from radishtally.serving import const
from radishtally.serving.events import Deliver, LinkDown, SendFullAnswer
from tests.entry.common import (
    POOL,
    Driver,
    make_chunk,
    make_finished,
    make_handover,
    make_text,
)


def test_partial_answer_waits_for_a_host_after_a_crash() -> None:
    # The engine crashes in the middle of an answer while no other host is available.
    # Refusing it would waste the part that the caller has, so the request is retried
    # with backoff until its deadline, and the stream continues after a pause.
    driver = Driver(hosts=1)
    driver.open(make_text())
    driver.receive("agent-0", make_chunk("r", 1, 0, b"abc"))
    driver.receive("agent-0", Lost("r", 1, Ran.UNKNOWN, "crashed", 3))
    assert not driver.list_refusals()
    _, offer = driver.wait_for_offer(5.0)
    assert (offer.attempt, offer.done, offer.tokens_done) == (2, b"abc", 3)


def test_work_without_output_is_refused_at_once_after_a_crash() -> None:
    driver = Driver(hosts=1)
    driver.open(make_text())
    driver.receive("agent-0", Lost("r", 1, Ran.UNKNOWN, "crashed", 0))
    assert (driver.refusal.status, driver.refusal.ran) == (429, Ran.UNKNOWN)
    assert driver.refusal.retry_after is not None


def test_partial_answer_waits_for_the_retry_budget() -> None:
    # A crash breaks many streams at once. The retry budget lets only some continue at
    # first, so that the other hosts are not flooded. The others wait for the budget
    # instead of being refused.
    driver = Driver(hosts=2)
    driver.core.budgets = RetryBudgets(0.0, floor=0.1)
    while driver.core.budgets.spend(make_text().upstream, driver.now):
        pass
    driver.open(make_text())
    host, _ = driver.find_offer()
    driver.receive(host, make_chunk("r", 1, 0, b"abc"))
    driver.receive(host, Lost("r", 1, Ran.UNKNOWN, "crashed", 3))
    assert len(driver.list_offers()) == 1
    assert not driver.list_refusals()
    driver.pass_time(10.0 + 2 * MAX_BACKOFF_SECONDS)
    assert len(driver.list_offers()) == 2


def test_attempt_that_did_not_run_costs_no_retry() -> None:
    # An attempt that did not run has cost no upstream anything. If it counted against
    # the budget, a host whose engine is down would use up the retries that streams
    # broken by crashes need.
    driver = Driver(hosts=2)
    driver.core.budgets = RetryBudgets(0.0, floor=0.0)
    driver.open(make_text())
    host, _ = driver.find_offer()
    driver.receive(host, Lost("r", 1, Ran.NO, "connection refused", 0))
    assert len(driver.list_offers()) == 2


def test_repeated_crashes_end_the_request() -> None:
    driver = Driver(hosts=2)
    driver.core.budgets = RetryBudgets(1.0, floor=100.0)
    driver.open(make_text(), seconds=300.0)
    host, offer = driver.find_offer()
    for number in range(const.MAX_LOST_ATTEMPTS):
        assert offer.attempt == number + 1
        driver.receive(host, make_chunk("r", offer.attempt, number, b"x"))
        driver.receive(host, Lost("r", offer.attempt, Ran.UNKNOWN, "crash", number + 1))
        while driver.find_offer()[1] == offer and not driver.list_refusals():
            driver.wait_for_offer()
        host, offer = driver.find_offer()
    assert (driver.refusal.code, driver.refusal.ran) == (const.CODE_LOST, Ran.UNKNOWN)


@pytest.mark.parametrize(
    "message",
    [
        make_chunk("r", 1, 2, b"zz"),
        make_finished("r", 1, b"zz"),
        make_handover("r", 1, b"zz"),
        Lost("r", 1, Ran.NO, "late", 0),
        Refused("r", 1, "late", 1.0),
    ],
    ids=lambda message: type(message).__name__,
)
def test_late_message_of_an_old_attempt_is_ignored(message: Message) -> None:
    # Attempt 1 was lost, and attempt 2 runs at the same host when messages of attempt
    # 1 arrive late. They belong to another run and must not reach the caller.
    driver = Driver(hosts=1)
    driver.open(make_text())
    driver.receive("agent-0", make_chunk("r", 1, 0, b"ab"))
    driver.receive("agent-0", Lost("r", 1, Ran.UNKNOWN, "crashed", 2))
    driver.wait_for_offer()
    driver.receive("agent-0", Accepted("r", 2, 0.0))
    assert driver.receive("agent-0", message) == []
    driver.receive("agent-0", make_chunk("r", 2, 2, b"cd"))
    driver.receive("agent-0", make_finished("r", 2, b"abcd"))
    assert driver.answer == b"abcd"


def test_late_acceptance_is_cancelled() -> None:
    # The first host accepts too late, when the second one already has the request.
    # Without a cancel it would spend a slot on an answer that is not used.
    driver = Driver(hosts=2)
    driver.open(make_text())
    first, _ = driver.find_offer()
    driver.pass_time(const.OFFER_TIMEOUT_SECONDS)
    second, offer = driver.find_offer()
    assert (second != first, offer.attempt) == (True, 2)
    driver.log.clear()
    driver.receive(first, Accepted("r", 1, 0.0))
    assert driver.list_sent(Cancel) == [(first, Cancel("r", 1))]


def test_second_run_of_a_call_discards_the_first_part() -> None:
    # A GET is lost halfway and run again. The second run may give another answer, so
    # its bytes must not be appended to those of the first run.
    driver = Driver(hosts=2)
    driver.open(Work("r", "team", POOL, "call", b"", method="GET"), streamed=False)
    host, _ = driver.find_offer()
    driver.receive(host, make_chunk("r", 1, 0, b"first"))
    driver.receive(host, Lost("r", 1, Ran.UNKNOWN, "reset", 5))
    host, offer = driver.find_offer()
    assert offer.done == b""
    driver.receive(host, make_chunk("r", 2, 0, b"second run"))
    driver.receive(host, make_finished("r", 2, b"second run"))
    assert driver.answer == b"second run"


def test_tokens_of_repeated_parts_are_counted_once() -> None:
    # After a link break the agent repeats its part. If its tokens were counted twice,
    # the next host would get too small a limit and the answer would be too short.
    driver = Driver()
    driver.open(make_text())
    host, _ = driver.find_offer()
    driver.receive(host, make_chunk("r", 1, 0, b"ab"))
    driver.handle(LinkDown(host))
    driver.link_up(host)
    driver.receive(host, make_chunk("r", 1, 0, b"ab"))
    driver.receive(host, make_chunk("r", 1, 1, b"bc"))
    assert driver.core.requests["r"].tokens == 3
    assert b"".join(d.data for d in driver.list_commands(Deliver)) == b"abc"


def test_missing_part_is_requested_at_each_attempt() -> None:
    # The end arrives without a part that was lost with a link, and again in the next
    # attempt from the same byte. The part is requested each time, so that the caller
    # sees no gap.
    driver = Driver()
    driver.open(make_text())
    for attempt in (1, 2):
        host, _ = driver.find_offer()
        driver.receive(host, make_finished("r", attempt, b"abc"))
        driver.receive(host, make_finished("r", attempt, b"abc"))
        driver.receive(host, Lost("r", attempt, Ran.UNKNOWN, "crashed", 0))
    assert [m.attempt for _, m in driver.list_sent(Attach)] == [1, 2]


def test_corrupt_answer_is_refused() -> None:
    driver = Driver()
    driver.open(make_text())
    host, _ = driver.find_offer()
    driver.receive(host, make_chunk("r", 1, 0, b"abX"))
    driver.receive(host, make_finished("r", 1, b"abc"))
    assert (driver.refusal.code, driver.refusal.ran) == (
        const.CODE_CORRUPT,
        Ran.UNKNOWN,
    )
    assert not driver.list_ends()


def test_engine_refusal_is_forwarded() -> None:
    driver = Driver()
    driver.open(make_text())
    host, _ = driver.find_offer()
    end = Finished("r", 1, 0, 0xEF46DB3751D8E999, 400, "prompt too long", 0, 0)
    driver.receive(host, end)
    (finish,) = driver.list_commands(SendFullAnswer)
    assert (finish.end.status, finish.end.finish_reason) == (400, "prompt too long")


# Guards against a partial answer that ends as complete: the engine that should continue
# it refuses the request, which has grown by the part.
def test_engine_refusal_of_the_rest_does_not_complete_an_answer() -> None:
    driver = Driver()
    driver.open(make_text())
    host, _ = driver.find_offer()
    driver.receive(host, make_chunk("r", 1, 0, b"ab"))
    driver.receive(host, Lost("r", 1, Ran.UNKNOWN, "crashed", 2))
    host, offer = driver.find_offer()
    assert offer.done == b"ab"
    end = make_finished("r", offer.attempt, b"ab")
    driver.receive(host, end._replace(status=400, finish_reason="prompt too long"))
    assert not driver.list_ends()


def test_complete_answer_is_acknowledged() -> None:
    driver = Driver()
    driver.open(make_text())
    host, _ = driver.find_offer()
    driver.receive(host, make_chunk("r", 1, 0, b"abc"))
    assert not driver.list_sent(Ack)
    driver.receive(host, make_finished("r", 1, b"abc"))
    assert driver.list_sent(Ack) == [(host, Ack("r", 1, 3))]


def test_unlinked_hosts_are_offered_nothing() -> None:
    # No host is linked, so the request is refused at once. An offer without a link
    # would time out a second later, and its outcome would then be unknown.
    driver = Driver(hosts=1)
    driver.handle(LinkDown("agent-0"))
    driver.open(make_text())
    assert (driver.refusal.status, driver.refusal.ran) == (503, Ran.NO)
    assert not driver.list_offers()


def test_each_offer_carries_the_remaining_time() -> None:
    driver = Driver(hosts=2)
    driver.open(make_text(), seconds=30.0)
    assert driver.find_offer()[1].budget == 30.0
    driver.pass_time(const.OFFER_TIMEOUT_SECONDS)
    assert driver.find_offer()[1].budget == 30.0 - const.OFFER_TIMEOUT_SECONDS


def test_lost_offer_is_repeated_at_the_same_host() -> None:
    # The link breaks with the offer in flight. The only host doesn't know the offer,
    # but it has not refused it either, so the request is offered there again.
    driver = Driver(hosts=1)
    driver.open(make_text())
    driver.handle(LinkDown("agent-0"))
    driver.link_up("agent-0")
    driver.receive("agent-0", Lost("r", 1, Ran.NO, NOT_KNOWN, 0))
    _, offer = driver.find_offer()
    assert offer.attempt == 2


def test_in_flight_count_survives_a_change_of_upstream() -> None:
    driver = Driver(hosts=1)
    driver.open(make_text())
    driver.core.set_host("agent-0", "howrah", "other", True)
    assert driver.core.hosts["agent-0"].in_flight == 1
    driver.receive("agent-0", make_finished("r", 1, b""))
    assert driver.core.hosts["agent-0"].in_flight == 0


def test_removed_host_is_forgotten_after_its_last_request() -> None:
    driver = Driver(hosts=1)
    driver.open(make_text())
    driver.core.forget_host("agent-0")
    assert not driver.core.hosts["agent-0"].live
    driver.receive("agent-0", make_finished("r", 1, b""))
    assert not driver.core.hosts
    assert driver.core.next_wake() == float("inf")
