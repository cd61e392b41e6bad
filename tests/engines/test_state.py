"""Tests of the engine state and the prompt cache model."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.engines.cache import PromptCache
from radishtally.engines.state import (
    CHUNK_TOKENS,
    INITIAL_PREFILL_RATE,
    PREFILL_OVERHEAD_SECONDS,
    EngineState,
    PeerShare,
    make_start_mark,
)
from radishtally.links.gateway_messages import WaitingTokens
from radishtally.serving.terms import PromptPart


def make_engine() -> EngineState:
    return EngineState("e", "howrah", "prefill", PromptCache(10_000))


def make_parts(*names: str, tokens: int = 100) -> list[PromptPart]:
    return [PromptPart(name, tokens) for name in names]


def test_wait_includes_earlier_prompts() -> None:
    engine = make_engine()
    engine.begin_prefill("long", int(INITIAL_PREFILL_RATE), 1, 10.0)
    assert engine.predict_wait(1, 10.0) == pytest.approx(1.0)
    assert engine.predict_wait(1, 10.4) == pytest.approx(0.6)
    engine.end_prefill("long", 11.1, True)
    assert engine.predict_wait(1, 11.1) == 0.0


# Some engines start an urgent prompt at their next chunk, others finish a long one
# first. With the wrong assumption, urgent prompts are treated as late and sent away
# from their cached parts, or they wait unexpectedly. The order is learned from the
# engine.
@pytest.mark.parametrize("takes_urgent_first", [True, False])
def test_predicted_wait_follows_the_observed_queue_order(
    takes_urgent_first: bool,
) -> None:
    engine = make_engine()
    chunk = CHUNK_TOKENS / INITIAL_PREFILL_RATE
    for number in range(100):
        begin = 10.0 * number
        engine.begin_prefill("long", int(INITIAL_PREFILL_RATE), 2, begin)
        engine.begin_prefill("urgent", 100, 0, begin)
        wait = chunk if takes_urgent_first else 1.0
        engine.end_prefill("urgent", begin + wait + PREFILL_OVERHEAD_SECONDS, True)
        engine.end_prefill("long", begin + 1.0 + PREFILL_OVERHEAD_SECONDS, True)
    now = 2_000.0
    engine.begin_prefill("long", int(engine.rate), 2, now)
    expected = chunk if takes_urgent_first else 1.0
    assert engine.predict_wait(0, now) == pytest.approx(expected, abs=0.1)
    assert engine.predict_wait(2, now) == pytest.approx(1.0, abs=0.01)


# Late prompts also wait for requests that arrive after them. If their waits were used,
# it would look as if the engine ignored priorities.
def test_late_prompts_do_not_affect_the_queue_order() -> None:
    engine = make_engine()
    engine.begin_prefill("long", int(INITIAL_PREFILL_RATE), 8, 0.0)
    engine.begin_prefill("late", 100, 7, 0.0)
    before = engine.queue_order.fifo_share
    engine.end_prefill("late", 9.0, True)
    assert engine.queue_order.fifo_share == before


def test_share_lists_waiting_tokens_by_priority() -> None:
    engine = make_engine()
    engine.begin_prefill("a", 100, 2, 0.0)
    engine.begin_prefill("b", 50, 0, 0.0)
    engine.record_peer_share("peer", PeerShare((WaitingTokens(2, 7),), 1), 0.0)
    engine.record_peer_share("other", PeerShare((WaitingTokens(2, 1_000),), 1), 0.0)
    assert engine.build_share() == (((0, 50), (2, 100)), 0)
    assert engine.build_share(("other",)) == (((0, 50), (2, 107)), 1)


def test_wait_includes_prompts_of_other_gateways() -> None:
    engine = make_engine()
    engine.record_peer_share(
        "peer", PeerShare((WaitingTokens(2, int(INITIAL_PREFILL_RATE)),), 2), 10.0
    )
    assert engine.predict_wait(2, 10.5) == pytest.approx(0.5)
    assert engine.count_answers() == 2
    engine.record_peer_share("peer", PeerShare((), 0), 11.0)
    assert engine.predict_wait(2, 11.0) == 0.0


def test_rate_is_learned_from_busy_periods() -> None:
    engine = make_engine()
    for period in range(60):
        begin = 10.0 * period
        engine.begin_prefill("a", 20_000, 1, begin)
        engine.begin_prefill("b", 20_000, 1, begin + 0.1)
        engine.end_prefill("a", begin + 0.5 + PREFILL_OVERHEAD_SECONDS, True)
        engine.end_prefill("b", begin + 1.0 + PREFILL_OVERHEAD_SECONDS, True)
    assert engine.rate == pytest.approx(40_000, rel=0.01)


# Under sustained load an engine is never idle. If its rate were learned only when it
# is, an engine that became slower would still get prompts as if it were fast.
def test_rate_is_learned_while_the_engine_is_busy() -> None:
    engine = make_engine()
    engine.begin_prefill("always", 1_000_000, 1, 0.0)
    for number in range(200):
        engine.begin_prefill("a", 10_000, 1, 0.4 * number)
        engine.end_prefill("a", 0.4 * (number + 1), True)
    assert engine.rate == pytest.approx(25_000, rel=0.05)


def test_abandoned_prompts_do_not_affect_the_rate() -> None:
    engine = make_engine()
    engine.begin_prefill("a", 20_000, 1, 0.0)
    engine.end_prefill("a", 5.0, False)
    assert engine.rate == INITIAL_PREFILL_RATE


def test_part_counts_only_after_cached_parts() -> None:
    cache = PromptCache(10_000)
    cache.record_prompt("m", make_parts("a", "b", "c"))
    assert cache.count_cached_tokens("m", make_parts("a", "b", "x")) == 200
    assert cache.count_cached_tokens("m", make_parts("x", "b", "c")) == 0
    assert cache.count_cached_tokens("m", make_parts("a", "x", "c")) == 100
    assert cache.count_cached_tokens("other", make_parts("a", "b")) == 0


def test_least_recently_used_parts_are_evicted_first() -> None:
    cache = PromptCache(300)
    cache.record_prompt("m", make_parts("a", "b"))
    cache.record_prompt("m", make_parts("x", "y"))
    assert cache.count_cached_tokens("m", make_parts("x", "y")) == 200
    assert cache.count_cached_tokens("m", make_parts("a", "b")) == 0


def test_marks_distinguish_starts_and_unknown_starts() -> None:
    starts = (0, 1, 0xFFFF_0000, 1_790_000_000_123, 1_790_000_000_124)
    marks = [make_start_mark(started_ms) for started_ms in starts]
    assert marks[0] == 0
    assert len(set(marks)) == len(starts)
    assert all(0 < mark <= 0xFFFF for mark in marks[1:])


# If the incremental sums drifted from the shares as peers report, update and leave, an
# engine would look busy or idle forever.
@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.none() | st.tuples(st.integers(0, 9), st.integers(0, 2)),
            st.integers(0, 4),
        )
    )
)
def test_sums_match_the_last_shares_of_peers(reports: list[tuple]) -> None:
    engine = make_engine()
    engine.begin_prefill("own", 7, 1, 0.0)
    last: dict[str, tuple[int, int, int]] = {}
    for peer, waiting, answers in reports:
        if waiting is None:
            engine.drop_peer(peer)
            last.pop(peer, None)
            continue
        tokens, priority = waiting
        share = PeerShare((WaitingTokens(priority, tokens),), answers)
        engine.record_peer_share(peer, share, 0.0)
        last[peer] = (tokens, priority, answers)
    assert engine.count_pending_tokens() == 7 + sum(t for t, _, _ in last.values())
    urgent = sum(t for t, priority, _ in last.values() if priority <= 1)
    assert engine.count_pending_tokens(1) == 7 + urgent
    assert engine.count_answers() == sum(answers for _, _, answers in last.values())
    for excluded in ((), ("a",), ("a", "b")):
        share = engine.build_share(excluded)
        kept = [item for peer, item in last.items() if peer not in excluded]
        assert share.tokens == 7 + sum(tokens for tokens, _, _ in kept)
        assert share.answers == sum(answers for _, _, answers in kept)
