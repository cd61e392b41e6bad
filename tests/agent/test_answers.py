"""Tests of answers: joined by key, gone on from, handed over, kept and dropped."""

import time

import pytest

from radishtally.agent import events
from radishtally.agent.const import (
    DELIVERY_TIMEOUT_SECONDS,
    MAX_CHUNK_BYTES,
    MAX_RETAINED_BYTES,
    MAX_UNDELIVERED_BYTES,
)
from radishtally.links.messages import (
    KEY_REUSED,
    LEAVING,
    PREFILL,
    Accepted,
    Ack,
    Attach,
    Chunk,
    Finished,
    Handover,
    KvRef,
    Lost,
    Refused,
)
from radishtally.outcome import Ran
from tests.agent.common import Driver, make_call, make_text

KV = KvRef("agent-0", "http://127.0.0.1", "handle", 9)


@pytest.fixture
def driver() -> Driver:
    """Hold an agent with four places at its upstream."""
    return Driver(slots=4)


def test_repeated_key_gets_the_same_answer(driver: Driver) -> None:
    # Both callers get the one answer whole. The first one's entry died half-way; the
    # second asks with the same key at another entry and is given it from the start.
    driver.offer(make_text("r", key="k"))
    driver.produce("r", b"ab")
    driver.give(events.LinkDown("entry-0"))
    accepted, chunk = driver.offer(make_text("s", key="k"), entry="entry-1")
    assert accepted == Accepted("s", 1, 0.0, attached=True)
    assert (chunk.request, chunk.offset, chunk.data) == ("s", 0, b"ab")
    driver.produce("r", b"cd")
    driver.complete("r")
    assert [(m.request, m.length) for m in driver.list_sent(Finished)] == [("s", 4)]
    assert driver.list_runs() == [("r", 1)]


def test_part_of_another_run_is_not_joined(driver: Driver) -> None:
    # The caller gets the rest of the answer that it has begun to read. Its key is
    # known here from another run, whose text differs: joined, the caller would be
    # shown the beginning of one answer and the end of another.
    driver.offer(make_text("r", key="k"))
    driver.produce("r", b"one way")
    driver.offer(make_text("s", key="k"), attempt=2, done=b"other", tokens_done=2)
    assert driver.list_runs() == [("r", 1), ("s", 2)]
    driver.produce("s", b" way", attempt=2)
    driver.complete("s", attempt=2)
    (chunk,) = [m for m in driver.list_sent(Chunk) if m.request == "s"]
    assert (chunk.offset, chunk.data) == (5, b" way")


def test_key_belongs_to_one_body(driver: Driver) -> None:
    driver.offer(make_text("r", key="k"))
    (refused,) = driver.offer(make_text("s", key="k")._replace(body=b"[]"))
    assert isinstance(refused, Refused) and refused.reason == KEY_REUSED


def test_lost_answer_is_made_anew_for_its_key(driver: Driver) -> None:
    driver.offer(make_text("r", key="k"))
    driver.fail("r", Ran.UNKNOWN)
    driver.offer(make_text("s", key="k"))
    assert driver.list_runs() == [("r", 1), ("s", 1)]


@pytest.mark.parametrize("ran", [Ran.NO, Ran.UNKNOWN])
def test_lost_call_runs_again_only_if_it_did_not_run(driver: Driver, ran: str) -> None:
    # The caller that repeats its key is told "unknown" if the first call may have
    # run. The claim in the table forbids it already; the agent is the last guard.
    driver.offer(make_call("r", key="k"))
    driver.fail("r", ran)
    sent = driver.offer(make_call("s", key="k"))
    ran_again = driver.list_runs() == [("r", 1), ("s", 1)]
    assert ran_again == (ran == Ran.NO)
    assert ran_again or isinstance(sent[-1], Lost)


def test_answer_that_lacks_only_its_end_is_not_gone_on_with(driver: Driver) -> None:
    # The caller gets as many tokens as it asked for. The first engine crashed after
    # the last one; an engine asked to go on gives at least one more.
    work = make_text(max_tokens=3)
    accepted, finished = driver.offer(work, attempt=2, done=b"abc", tokens_done=3)
    assert not driver.list_runs()
    assert (finished.length, finished.finish_reason) == (3, "length")


def test_refusal_to_go_on_is_not_the_answers_rest(driver: Driver) -> None:
    driver.offer(make_text(), done=b"abc", tokens_done=3)
    driver.complete("r", status=400, reason="no such option")
    assert not driver.list_sent(Finished)
    (lost,) = driver.list_sent(Lost)
    assert lost.ran == Ran.UNKNOWN


def test_engine_refusal_of_the_request_is_its_answer(driver: Driver) -> None:
    driver.offer(make_text())
    driver.complete("r", status=400, reason="prompt too long")
    (finished,) = driver.list_sent(Finished)
    assert (finished.status, finished.finish_reason) == (400, "prompt too long")


def test_part_sent_again_counts_its_tokens_once(driver: Driver) -> None:
    driver.offer(make_text(), done=b"ab", tokens_done=2)
    driver.produce("r", b"cd")
    driver.pass_time(0.1)
    _, chunk = driver.receive(Attach("r", 1, 3))
    assert (chunk.offset, chunk.data, chunk.tokens) == (3, b"d", 4)


def test_running_answer_is_handed_over_when_a_drain_lasts(driver: Driver) -> None:
    driver.offer(make_text())
    driver.produce("r", b"ab")
    driver.give(events.Drain("drain", 5.0))
    driver.pass_time(4.0)
    assert not driver.list_of(events.Export)
    driver.pass_time(2.0)
    assert driver.list_of(events.Export) == [events.Export("r", 1)]
    driver.give(events.Exported("r", 1, KV))
    (handover,) = driver.list_sent(Handover)
    assert (handover.length, handover.kv) == (2, KV)
    assert driver.list_of(events.Drained)


def test_running_call_is_not_cut_by_a_drain(driver: Driver) -> None:
    driver.offer(make_call())
    driver.give(events.Drain("drain", 0.0))
    driver.pass_time(60.0)
    assert not driver.list_of(events.Export) and not driver.list_of(events.Abort)
    assert not driver.list_of(events.Drained)


def test_a_taken_back_drain_hands_nothing_over(driver: Driver) -> None:
    # The caller's stream goes on undisturbed. Two drains are in force; the one that
    # would end first is taken back.
    driver.offer(make_text())
    driver.give(events.Drain("change", 1.0))
    driver.give(events.Drain("operator", 60.0))
    driver.give(events.Undrain("change"))
    driver.pass_time(30.0)
    assert not driver.list_of(events.Export)


def test_new_work_is_refused_while_any_drain_holds(driver: Driver) -> None:
    driver.give(events.Drain("change", 1.0))
    driver.give(events.Drain("operator", 60.0))
    driver.give(events.Undrain("change"))
    (refused,) = driver.offer(make_text())
    assert refused.reason == LEAVING


@pytest.mark.parametrize("reason", ["length", "stop"])
def test_prefill_ends_in_a_handover_or_naturally(driver: Driver, reason: str) -> None:
    driver.offer(make_text(), stage=PREFILL)
    driver.produce("r", b"a")
    driver.complete("r", reason=reason)
    assert bool(driver.list_of(events.Export)) == (reason == "length")
    assert bool(driver.list_sent(Finished)) == (reason == "stop")


def test_prefill_is_exported_once(driver: Driver) -> None:
    driver.offer(make_text(), stage=PREFILL)
    driver.produce("r", b"a")
    driver.give(events.Drain("drain", 0.0))
    driver.pass_time(0.1)
    driver.complete("r", reason="length")
    driver.pass_time(1.0)
    assert len(driver.list_of(events.Export)) == 1


def test_stopping_agent_waits_until_ends_have_arrived(driver: Driver) -> None:
    # The caller gets its answer whole although its agent stops for good: the link
    # broke with the answer's end on it. Gone at once, the agent would leave a whole
    # answer taken for lost, and a call's outcome unknown.
    driver.offer(make_call())
    driver.give(events.Drain("stopping", 0.0, final=True))
    driver.complete("r")
    driver.give(events.LinkDown("entry-0"))
    driver.pass_time(DELIVERY_TIMEOUT_SECONDS - 1)
    assert not driver.list_of(events.Drained)
    driver.give(events.LinkUp("entry-0"))
    assert isinstance(driver.receive(Attach("r", 1, 0))[-1], Finished)
    driver.receive(Ack("r", 1, 0))
    assert driver.list_of(events.Drained)


def test_stopping_agent_does_not_wait_for_ever(driver: Driver) -> None:
    driver.offer(make_call())
    driver.complete("r")
    driver.give(events.Drain("stopping", 0.0, final=True))
    driver.pass_time(DELIVERY_TIMEOUT_SECONDS + 1)
    assert driver.list_of(events.Drained)


def test_answers_have_bounded_room(driver: Driver) -> None:
    # Callers that repeat a key soon get the first answer; under a flood of large
    # answers those go first that their callers have, and the process keeps its size.
    part = b"x" * 1_000_000
    for number in range(100):
        name = f"r{number}"
        driver.offer(make_text(name, key=name))
        driver.give(events.Produced(name, 1, part, 1))
        driver.complete(name)
        if number < 20:
            driver.receive(Ack(name, 1, len(part)))
        driver.give(events.Tick())
    assert driver.core.retained.bytes <= MAX_UNDELIVERED_BYTES
    assert "r99" in {name for name, _ in driver.core.assignments}
    for number in range(100):
        driver.receive(Ack(f"r{number}", 1, len(part)))
    driver.give(events.Tick())
    assert driver.core.retained.bytes <= MAX_RETAINED_BYTES


def test_large_answer_goes_in_parts_that_a_link_takes(driver: Driver) -> None:
    # The caller gets its large body. A link takes frames up to a limit; one message
    # over it would end each link that the answer is asked for on.
    body = bytes(range(256)) * 12_000
    driver.offer(make_call())
    driver.give(events.Produced("r", 1, body, 0))
    driver.complete("r")
    sent = driver.list_sent(Chunk)
    assert max(len(chunk.data) for chunk in sent) <= MAX_CHUNK_BYTES
    assert b"".join(chunk.data for chunk in sent) == body
    assert [c.offset for c in sent] == list(range(0, len(body), MAX_CHUNK_BYTES))


def test_cost_does_not_grow_with_kept_answers(driver: Driver) -> None:
    # Callers' tokens wait while the agent looks through what it keeps. Looking at
    # every kept answer at each event would cost most of a core at 1,000 of them.
    def measure() -> float:
        took = []
        for _ in range(50):
            start = time.perf_counter()
            for _ in range(20):
                driver.give(events.Tick())
            took.append(time.perf_counter() - start)
            driver.log.clear()
        return min(took)

    few = measure()
    for number in range(1_000):
        driver.offer(make_text(f"r{number}", key=f"k{number}"))
        driver.complete(f"r{number}")
    assert len(driver.core.assignments) == 1_000
    assert measure() < 5 * few
