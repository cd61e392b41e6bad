"""Tests that drains and handovers don't end open requests."""

from radishtally.limits.retries import MAX_BACKOFF_SECONDS
from radishtally.links.messages import (
    LEAVING,
    PREFILL,
    WHOLE,
    Accepted,
    Attach,
    Offer,
    Refused,
)
from radishtally.outcome import Ran
from radishtally.serving import const
from radishtally.serving.events import LinkDown
from tests.entry.common import (
    KV,
    Driver,
    make_chunk,
    make_finished,
    make_handover,
    make_text,
)


def test_answer_after_a_handover_waits_for_a_host() -> None:
    # The only host drains and hands its stream over while no other host is linked. A
    # planned change must not end requests, so the answer pauses until a host is back
    # and then continues, instead of being refused.
    driver = Driver(hosts=1)
    driver.open(make_text())
    driver.receive("agent-0", make_chunk("r", 1, 0, b"abc"))
    driver.handle(LinkDown("agent-0"))
    driver.link_up("agent-0")
    driver.receive("agent-0", make_handover("r", 1, b"abc"))
    driver.handle(LinkDown("agent-0"))
    driver.pass_time(8.0)
    assert not driver.list_refusals()

    driver.link_up("agent-0", "2")
    driver.pass_time(MAX_BACKOFF_SECONDS)
    host, offer = driver.find_offer()
    assert (host, offer.attempt, offer.done, offer.tokens_done) == (
        "agent-0",
        2,
        b"abc",
        3,
    )


def test_waiting_ends_at_the_deadline() -> None:
    driver = Driver(hosts=1)
    driver.open(make_text(), seconds=3.0)
    driver.receive("agent-0", make_handover("r", 1, b""))
    driver.handle(LinkDown("agent-0"))
    driver.pass_time(10.0)
    assert (driver.refusal.status, driver.refusal.ran) == (504, Ran.UNKNOWN)
    assert not driver.core.requests


def test_many_handovers_end_no_request() -> None:
    # A rolling drain hands one answer over twenty times, and the caller sees no gap.
    # Handovers are not failures, so they don't count against attempts or offers.
    driver = Driver(hosts=2)
    driver.open(make_text())
    for number in range(20):
        host, offer = driver.find_offer()
        assert offer.attempt == number + 1
        driver.receive(host, Accepted("r", offer.attempt, 0.0))
        data = b"x" * (number + 1)
        driver.receive(host, make_chunk("r", offer.attempt, number, b"x"))
        driver.receive(host, make_handover("r", offer.attempt, data))
    host, offer = driver.find_offer()
    driver.receive(host, make_finished("r", offer.attempt, b"x" * 20))
    assert driver.answer == b"x" * 20


def test_prefilled_work_is_never_reported_as_not_run() -> None:
    # The request is refused after its prompt was prefilled and handed over. An engine
    # has begun it, so "not run" would be wrong.
    driver = Driver(hosts=1)
    driver.open(make_text(), seconds=1.0)
    driver.receive("agent-0", make_handover("r", 1, b"", KV))
    driver.pass_time(2.0)
    assert driver.refusal.ran == Ran.UNKNOWN


def test_queued_work_refused_by_a_drain_waits_for_a_host() -> None:
    # A request was accepted and queued when its host drains and refuses its queue
    # while no other host is linked. The request waits some seconds for a host and is
    # then refused as not run.
    driver = Driver(hosts=1)
    driver.open(make_text())
    driver.receive("agent-0", Accepted("r", 1, 0.0))
    driver.receive("agent-0", Refused("r", 1, LEAVING, 1.0))
    driver.handle(LinkDown("agent-0"))
    driver.pass_time(const.REQUEUE_SECONDS - 1)
    assert not driver.list_refusals()
    driver.pass_time(MAX_BACKOFF_SECONDS)
    assert driver.refusal.ran == Ran.NO
    assert driver.refusal.retry_after is not None


def test_new_work_that_no_host_accepts_is_refused_at_once() -> None:
    driver = Driver(hosts=1)
    driver.open(make_text())
    driver.receive("agent-0", Refused("r", 1, LEAVING, 1.0))
    assert (driver.refusal.status, driver.refusal.ran) == (429, Ran.NO)
    assert driver.refusal.retry_after == 1.0


def test_handover_is_repeated_over_a_new_link() -> None:
    # The agent hands the stream over just as the link breaks. The entry attaches over
    # the new link and gets the rest and the handover, so the caller sees no gap.
    driver = Driver()
    driver.open(make_text())
    host, _ = driver.find_offer()
    driver.receive(host, make_chunk("r", 1, 0, b"ab"))
    driver.handle(LinkDown(host))
    driver.link_up(host)
    assert driver.list_sent(Attach) == [(host, Attach("r", 1, 2))]
    driver.receive(host, make_chunk("r", 1, 2, b"c"))
    driver.receive(host, make_handover("r", 1, b"abc", KV))
    other, offer = driver.find_offer()
    assert other != host
    assert (offer.done, offer.kv) == (b"abc", KV)


def test_decode_continues_with_the_prefilled_cache() -> None:
    driver = Driver()
    driver.open(make_text())
    host, _ = driver.find_offer()
    request = driver.core.requests["r"]
    request.stage = PREFILL
    driver.receive(host, make_chunk("r", 1, 0, b"a"))
    driver.receive(host, make_handover("r", 1, b"a", KV))
    _, offer = driver.find_offer()
    assert (offer.stage, offer.kv, offer.done) == (WHOLE, KV, b"a")
    assert request.next_stage == "decode"


def test_prefill_moved_without_its_cache_restarts() -> None:
    driver = Driver()
    driver.open(make_text())
    host, _ = driver.find_offer()
    request = driver.core.requests["r"]
    request.stage = PREFILL
    driver.receive(host, make_handover("r", 1, b""))
    assert request.next_stage == WHOLE
    assert driver.list_sent(Offer)[-1][0] != host
