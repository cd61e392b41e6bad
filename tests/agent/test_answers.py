"""Tests of answers: shared by key, continued, handed over, retained and evicted."""

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
    """Make an agent whose upstream has four slots."""
    return Driver(slots=4)


def test_repeated_key_gets_the_same_answer(driver: Driver) -> None:
    # The first caller's entry dies half-way. A second request with the same key at
    # another entry must get the same answer from the start, without a second run.
    driver.offer(make_text("r", key="k"))
    driver.produce("r", b"ab")
    driver.handle(events.LinkDown("entry-0"))
    accepted, chunk = driver.offer(make_text("s", key="k"), entry="entry-1")
    assert accepted == Accepted("s", 1, 0.0, attached=True)
    assert (chunk.request, chunk.offset, chunk.data) == ("s", 0, b"ab")
    driver.produce("r", b"cd")
    driver.complete("r")
    assert [(m.request, m.length) for m in driver.list_sent(Finished)] == [("s", 4)]
    assert driver.list_runs() == [("r", 1)]


def test_continuation_does_not_attach_to_another_run(driver: Driver) -> None:
    # The key is known here from another run, whose text differs from the part that the
    # caller already has. Attached to it, the caller would get the beginning of one
    # answer and the end of another.
    driver.offer(make_text("r", key="k"))
    driver.produce("r", b"one way")
    driver.offer(make_text("s", key="k"), attempt=2, done=b"other", tokens_done=2)
    assert driver.list_runs() == [("r", 1), ("s", 2)]
    driver.produce("s", b" way", attempt=2)
    driver.complete("s", attempt=2)
    (chunk,) = [m for m in driver.list_sent(Chunk) if m.request == "s"]
    assert (chunk.offset, chunk.data) == (5, b" way")


def test_key_with_another_body_is_refused(driver: Driver) -> None:
    driver.offer(make_text("r", key="k"))
    (refused,) = driver.offer(make_text("s", key="k")._replace(body=b"[]"))
    assert isinstance(refused, Refused) and refused.reason == KEY_REUSED


def test_lost_answer_is_generated_again_for_its_key(driver: Driver) -> None:
    driver.offer(make_text("r", key="k"))
    driver.fail("r", Ran.UNKNOWN)
    driver.offer(make_text("s", key="k"))
    assert driver.list_runs() == [("r", 1), ("s", 1)]


@pytest.mark.parametrize("ran", [Ran.NO, Ran.UNKNOWN])
def test_lost_call_runs_again_only_if_it_did_not_run(driver: Driver, ran: str) -> None:
    # A repeat of the key gets the outcome "unknown" if the first call may have run. The
    # claim in the store already prevents a second run; the agent is the last safeguard.
    driver.offer(make_call("r", key="k"))
    driver.fail("r", ran)
    sent = driver.offer(make_call("s", key="k"))
    ran_again = driver.list_runs() == [("r", 1), ("s", 1)]
    assert ran_again == (ran == Ran.NO)
    assert ran_again or isinstance(sent[-1], Lost)


def test_answer_that_lacks_only_its_end_is_not_continued(driver: Driver) -> None:
    # The first engine crashed after the last requested token. Another engine would
    # generate at least one more, and the caller would get too many tokens.
    work = make_text(max_tokens=3)
    accepted, finished = driver.offer(work, attempt=2, done=b"abc", tokens_done=3)
    assert not driver.list_runs()
    assert (finished.length, finished.finish_reason) == (3, "length")


def test_refusal_to_continue_is_not_appended_to_the_answer(driver: Driver) -> None:
    driver.offer(make_text(), done=b"abc", tokens_done=3)
    driver.complete("r", status=400, reason="no such option")
    assert not driver.list_sent(Finished)
    (lost,) = driver.list_sent(Lost)
    assert lost.ran == Ran.UNKNOWN


def test_engine_refusal_is_sent_as_the_answer(driver: Driver) -> None:
    driver.offer(make_text())
    driver.complete("r", status=400, reason="prompt too long")
    (finished,) = driver.list_sent(Finished)
    assert (finished.status, finished.finish_reason) == (400, "prompt too long")


def test_resent_part_counts_its_tokens_once(driver: Driver) -> None:
    driver.offer(make_text(), done=b"ab", tokens_done=2)
    driver.produce("r", b"cd")
    driver.pass_time(0.1)
    _, chunk = driver.receive(Attach("r", 1, 3))
    assert (chunk.offset, chunk.data, chunk.tokens) == (3, b"d", 4)


def test_running_answer_is_handed_over_when_drain_time_is_over(driver: Driver) -> None:
    driver.offer(make_text())
    driver.produce("r", b"ab")
    driver.handle(events.Drain("drain", 5.0))
    driver.pass_time(4.0)
    assert not driver.list_commands(events.Export)
    driver.pass_time(2.0)
    assert driver.list_commands(events.Export) == [events.Export("r", 1)]
    driver.handle(events.Exported("r", 1, KV))
    (handover,) = driver.list_sent(Handover)
    assert (handover.length, handover.kv) == (2, KV)
    assert driver.list_commands(events.Drained)


def test_running_call_is_not_interrupted_by_a_drain(driver: Driver) -> None:
    driver.offer(make_call())
    driver.handle(events.Drain("drain", 0.0))
    driver.pass_time(60.0)
    assert not driver.list_commands(events.Export) and not driver.list_commands(
        events.Abort
    )
    assert not driver.list_commands(events.Drained)


def test_cancelled_drain_hands_nothing_over(driver: Driver) -> None:
    # Two drains are active, and the one with the earlier handover time is cancelled.
    # The answer must keep running.
    driver.offer(make_text())
    driver.handle(events.Drain("change", 1.0))
    driver.handle(events.Drain("operator", 60.0))
    driver.handle(events.Undrain("change"))
    driver.pass_time(30.0)
    assert not driver.list_commands(events.Export)


def test_new_work_is_refused_while_any_drain_is_active(driver: Driver) -> None:
    driver.handle(events.Drain("change", 1.0))
    driver.handle(events.Drain("operator", 60.0))
    driver.handle(events.Undrain("change"))
    (refused,) = driver.offer(make_text())
    assert refused.reason == LEAVING


@pytest.mark.parametrize("reason", ["length", "stop"])
def test_prefill_ends_in_an_export_or_a_finished_answer(
    driver: Driver, reason: str
) -> None:
    driver.offer(make_text(), stage=PREFILL)
    driver.produce("r", b"a")
    driver.complete("r", reason=reason)
    assert bool(driver.list_commands(events.Export)) == (reason == "length")
    assert bool(driver.list_sent(Finished)) == (reason == "stop")


def test_prefill_is_exported_once(driver: Driver) -> None:
    driver.offer(make_text(), stage=PREFILL)
    driver.produce("r", b"a")
    driver.handle(events.Drain("drain", 0.0))
    driver.pass_time(0.1)
    driver.complete("r", reason="length")
    driver.pass_time(1.0)
    assert len(driver.list_commands(events.Export)) == 1


def test_stopping_agent_waits_until_ends_are_acknowledged(driver: Driver) -> None:
    # The link breaks with the answer's end in flight while the agent stops. If the
    # agent exited immediately, a whole answer would be treated as lost and the outcome
    # of the call would be unknown.
    driver.offer(make_call())
    driver.handle(events.Drain("stopping", 0.0, final=True))
    driver.complete("r")
    driver.handle(events.LinkDown("entry-0"))
    driver.pass_time(DELIVERY_TIMEOUT_SECONDS - 1)
    assert not driver.list_commands(events.Drained)
    driver.handle(events.LinkUp("entry-0"))
    assert isinstance(driver.receive(Attach("r", 1, 0))[-1], Finished)
    driver.receive(Ack("r", 1, 0))
    assert driver.list_commands(events.Drained)


def test_stopping_agent_does_not_wait_for_ever(driver: Driver) -> None:
    driver.offer(make_call())
    driver.complete("r")
    driver.handle(events.Drain("stopping", 0.0, final=True))
    driver.pass_time(DELIVERY_TIMEOUT_SECONDS + 1)
    assert driver.list_commands(events.Drained)


def test_size_of_retained_answers_is_limited(driver: Driver) -> None:
    # A flood of large answers must not exhaust the memory. Delivered answers are
    # evicted first, and recent ones are still there for a repeat of their key.
    part = b"x" * 1_000_000
    for number in range(100):
        name = f"r{number}"
        driver.offer(make_text(name, key=name))
        driver.handle(events.Produced(name, 1, part, 1))
        driver.complete(name)
        if number < 20:
            driver.receive(Ack(name, 1, len(part)))
        driver.handle(events.Tick())
    assert driver.core.retained.bytes <= MAX_UNDELIVERED_BYTES
    assert "r99" in {name for name, _ in driver.core.assignments}
    for number in range(100):
        driver.receive(Ack(f"r{number}", 1, len(part)))
    driver.handle(events.Tick())
    assert driver.core.retained.bytes <= MAX_RETAINED_BYTES


def test_large_answer_is_sent_in_limited_chunks(driver: Driver) -> None:
    # Links limit the size of a frame. A larger message would break every link on which
    # the answer is requested.
    body = bytes(range(256)) * 12_000
    driver.offer(make_call())
    driver.handle(events.Produced("r", 1, body, 0))
    driver.complete("r")
    sent = driver.list_sent(Chunk)
    assert max(len(chunk.data) for chunk in sent) <= MAX_CHUNK_BYTES
    assert b"".join(chunk.data for chunk in sent) == body
    assert [c.offset for c in sent] == list(range(0, len(body), MAX_CHUNK_BYTES))


def test_event_cost_does_not_grow_with_retained_answers(driver: Driver) -> None:
    # Tokens wait while the core handles an event. Scanning every retained answer at
    # each event would use most of a CPU core with 1,000 answers.
    def measure() -> float:
        durations = []
        for _ in range(50):
            start = time.perf_counter()
            for _ in range(20):
                driver.handle(events.Tick())
            durations.append(time.perf_counter() - start)
            driver.log.clear()
        return min(durations)

    few = measure()
    for number in range(1_000):
        driver.offer(make_text(f"r{number}", key=f"k{number}"))
        driver.complete(f"r{number}")
    assert len(driver.core.assignments) == 1_000
    assert measure() < 5 * few
