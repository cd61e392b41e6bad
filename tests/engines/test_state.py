"""Tests of what is known of an engine."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.engines.cache import PromptCache
from radishtally.engines.state import (
    FIXED_SECONDS,
    INITIAL_PREFILL_RATE,
    PIECE_TOKENS,
    EngineState,
    PeerShare,
    mark_start,
)
from radishtally.links.messages import WaitingTokens
from radishtally.serving.terms import PromptPart


def make_engine() -> EngineState:
    return EngineState("e", "howrah", "prefill", PromptCache(10_000))


def make_parts(*names: str, tokens: int = 100) -> list[PromptPart]:
    return [PromptPart(name, tokens) for name in names]


def test_wait_counts_what_came_before() -> None:
    engine = make_engine()
    engine.begin_prefill("long", int(INITIAL_PREFILL_RATE), 1, 10.0)
    assert engine.predict_wait(1, 10.0) == pytest.approx(1.0)
    assert engine.predict_wait(1, 10.4) == pytest.approx(0.6)
    engine.end_prefill("long", 11.1, True)
    assert engine.predict_wait(1, 11.1) == 0.0


# Urgent prompts are taken for late, put behind others and sent away from their shared
# parts, though the engine takes them up at its next piece; or they are predicted to be
# first, and wait behind a long one. Which of the two is seen of the engine.
@pytest.mark.parametrize("takes_urgent_first", [True, False])
def test_wait_follows_the_order_that_is_seen(takes_urgent_first: bool) -> None:
    engine = make_engine()
    piece = PIECE_TOKENS / INITIAL_PREFILL_RATE
    for number in range(100):
        begin = 10.0 * number
        engine.begin_prefill("long", int(INITIAL_PREFILL_RATE), 2, begin)
        engine.begin_prefill("urgent", 100, 0, begin)
        seen = piece if takes_urgent_first else 1.0
        engine.end_prefill("urgent", begin + seen + FIXED_SECONDS, True)
        engine.end_prefill("long", begin + 1.0 + FIXED_SECONDS, True)
    now = 2_000.0
    engine.begin_prefill("long", int(engine.rate), 2, now)
    expected = piece if takes_urgent_first else 1.0
    assert engine.predict_wait(0, now) == pytest.approx(expected, abs=0.1)
    assert engine.predict_wait(2, now) == pytest.approx(1.0, abs=0.01)


# What is put behind all else waits for what comes later too: learned from, it would
# look as if nothing was read by priority.
def test_late_prompts_teach_no_order() -> None:
    engine = make_engine()
    engine.begin_prefill("long", int(INITIAL_PREFILL_RATE), 8, 0.0)
    engine.begin_prefill("late", 100, 7, 0.0)
    before = engine.order.part
    engine.end_prefill("late", 9.0, True)
    assert engine.order.part == before


def test_share_tells_waiting_tokens_by_priority() -> None:
    engine = make_engine()
    engine.begin_prefill("a", 100, 2, 0.0)
    engine.begin_prefill("b", 50, 0, 0.0)
    engine.take_share("peer", PeerShare((WaitingTokens(2, 7),), 1), 0.0)
    engine.take_share("other", PeerShare((WaitingTokens(2, 1_000),), 1), 0.0)
    assert engine.make_share() == (((0, 50), (2, 100)), 0)
    assert engine.make_share(("other",)) == (((0, 50), (2, 107)), 1)


def test_wait_counts_what_other_gateways_sent() -> None:
    engine = make_engine()
    engine.take_share(
        "peer", PeerShare((WaitingTokens(2, int(INITIAL_PREFILL_RATE)),), 2), 10.0
    )
    assert engine.predict_wait(2, 10.5) == pytest.approx(0.5)
    assert engine.count_answers() == 2
    engine.take_share("peer", PeerShare((), 0), 11.0)
    assert engine.predict_wait(2, 11.0) == 0.0


def test_rate_is_learned_from_a_spell_of_work() -> None:
    engine = make_engine()
    for spell in range(60):
        begin = 10.0 * spell
        engine.begin_prefill("a", 20_000, 1, begin)
        engine.begin_prefill("b", 20_000, 1, begin + 0.1)
        engine.end_prefill("a", begin + 0.5 + FIXED_SECONDS, True)
        engine.end_prefill("b", begin + 1.0 + FIXED_SECONDS, True)
    assert engine.rate == pytest.approx(40_000, rel=0.01)


# Prompts are sent to an engine that has turned slow as if it were fast: it is never
# idle under the load, and its rate was learned when it was.
def test_rate_is_learned_while_the_engine_is_at_work() -> None:
    engine = make_engine()
    engine.begin_prefill("always", 1_000_000, 1, 0.0)
    for number in range(200):
        engine.begin_prefill("a", 10_000, 1, 0.4 * number)
        engine.end_prefill("a", 0.4 * (number + 1), True)
    assert engine.rate == pytest.approx(25_000, rel=0.05)


def test_given_up_prompts_teach_nothing() -> None:
    engine = make_engine()
    engine.begin_prefill("a", 20_000, 1, 0.0)
    engine.end_prefill("a", 5.0, False)
    assert engine.rate == INITIAL_PREFILL_RATE


def test_part_counts_only_behind_kept_parts() -> None:
    cache = PromptCache(10_000)
    cache.note("m", make_parts("a", "b", "c"))
    assert cache.count("m", make_parts("a", "b", "x")) == 200
    assert cache.count("m", make_parts("x", "b", "c")) == 0
    assert cache.count("m", make_parts("a", "x", "c")) == 100
    assert cache.count("other", make_parts("a", "b")) == 0


def test_least_recently_used_parts_go_first() -> None:
    cache = PromptCache(300)
    cache.note("m", make_parts("a", "b"))
    cache.note("m", make_parts("x", "y"))
    assert cache.count("m", make_parts("x", "y")) == 200
    assert cache.count("m", make_parts("a", "b")) == 0


def test_marks_tell_starts_apart_and_from_none() -> None:
    starts = (0, 1, 0xFFFF_0000, 1_790_000_000_123, 1_790_000_000_124)
    marks = [mark_start(started_ms) for started_ms in starts]
    assert marks[0] == 0
    assert len(set(marks)) == len(starts)
    assert all(0 < mark <= 0xFFFF for mark in marks[1:])


# An engine is taken for busy or idle for good: what is kept as a sum drifts from the
# shares that it sums up, as others tell, tell anew and go.
@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.none() | st.tuples(st.integers(0, 9), st.integers(0, 2)),
            st.integers(0, 4),
        )
    )
)
def test_sums_of_others_are_what_they_told_last(told: list[tuple]) -> None:
    engine = make_engine()
    engine.begin_prefill("own", 7, 1, 0.0)
    last: dict[str, tuple[int, int, int]] = {}
    for peer, waiting, answers in told:
        if waiting is None:
            engine.drop_peer(peer)
            last.pop(peer, None)
            continue
        tokens, priority = waiting
        share = PeerShare((WaitingTokens(priority, tokens),), answers)
        engine.take_share(peer, share, 0.0)
        last[peer] = (tokens, priority, answers)
    assert engine.count_tokens() == 7 + sum(t for t, _, _ in last.values())
    urgent = sum(t for t, priority, _ in last.values() if priority <= 1)
    assert engine.count_tokens(1) == 7 + urgent
    assert engine.count_answers() == sum(answers for _, _, answers in last.values())
    for left_out in ((), ("a",), ("a", "b")):
        share = engine.make_share(left_out)
        kept = [told for peer, told in last.items() if peer not in left_out]
        assert share.tokens == 7 + sum(tokens for tokens, _, _ in kept)
        assert share.answers == sum(answers for _, _, answers in kept)
