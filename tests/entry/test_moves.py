"""Tests of planned changes: they cut no request."""

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


def test_handed_over_answer_waits_for_a_host() -> None:
    # The caller sees its answer pause and then go on. Its only host drains and hands
    # the stream over; no other host is linked. A planned change must cut nobody, so
    # the request waits for a host instead of being refused.
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


def test_many_handovers_cut_nobody() -> None:
    # The caller sees one answer without a gap while a rolling drain moves it twenty
    # times. Planned moves are no failures: neither attempts nor offers run out.
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


def test_moved_work_is_never_called_not_run() -> None:
    # The caller is refused after its prompt was prefilled and handed over. An engine
    # has begun it, so "not run" would be a lie.
    driver = Driver(hosts=1)
    driver.open(make_text(), seconds=1.0)
    driver.receive("agent-0", make_handover("r", 1, b"", KV))
    driver.pass_time(2.0)
    assert driver.refusal.ran == Ran.UNKNOWN


def test_work_given_back_by_a_drain_waits_a_while() -> None:
    # The caller was promised an answer: its request was accepted and queued. Its host
    # drains and gives the queue back while no other host is there. The request waits
    # some seconds for one, then it is refused as not run.
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


def test_new_work_that_nobody_takes_is_refused_at_once() -> None:
    driver = Driver(hosts=1)
    driver.open(make_text())
    driver.receive("agent-0", Refused("r", 1, LEAVING, 1.0))
    assert (driver.refusal.status, driver.refusal.ran) == (429, Ran.NO)
    assert driver.refusal.retry_after == 1.0


def test_handover_is_had_again_over_a_new_link() -> None:
    # The caller sees no gap. The agent hands the stream over just as the link breaks;
    # the entry asks over the new link and gets the rest and the handover.
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


def test_prefilled_work_goes_on_with_its_cache() -> None:
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


def test_prefill_moved_without_its_cache_starts_over() -> None:
    driver = Driver()
    driver.open(make_text())
    host, _ = driver.find_offer()
    request = driver.core.requests["r"]
    request.stage = PREFILL
    driver.receive(host, make_handover("r", 1, b""))
    assert request.next_stage == WHOLE
    assert driver.list_sent(Offer)[-1][0] != host
