"""Tests of the seeded traces."""

import pytest

from bench.kinds import KINDS, REMINDER, find_engine_rate
from bench.traces import Phase, make_prompt, make_trace

PHASES = (
    Phase(10.0, {"sheet": 0.5, "hot": 0.2}, ((REMINDER, 4.0),)),
    Phase(5.0, {"tag": 0.5, "dart": 0.2}),
)


def make_phases_trace(seed: int = 1, phases=PHASES):
    return make_trace(phases, engines=9, speed=2.0, seed=seed)


def test_same_seed_gives_the_same_trace():
    assert make_phases_trace() == make_phases_trace()
    assert [make_prompt(c) for c in make_phases_trace()] == [
        make_prompt(c) for c in make_phases_trace()
    ]
    assert make_phases_trace(1) != make_phases_trace(2)


def test_calls_are_sorted_and_within_their_phase():
    calls = make_phases_trace()
    assert calls == sorted(calls, key=lambda call: call.at)
    for name, begin, end in (("sheet", 0, 10), ("reminder", 0, 10), ("tag", 10, 15)):
        times = [call.at for call in calls if call.name == name]
        assert times
        assert begin <= min(times) <= max(times) < end


@pytest.mark.parametrize("name", ["sheet", "tag", "dart"])
def test_offered_load_is_the_configured_share_of_capacity(name):
    calls = make_trace((Phase(60.0, {name: 0.5}),), engines=9, speed=1.0, seed=3)
    expected = 0.5 * 60 * 9 * find_engine_rate(KINDS[name], 1.0)
    assert len(calls) == pytest.approx(expected, rel=0.1)


def test_sizes_and_deadlines_match_the_kind():
    for call in make_phases_trace():
        if not call.model:
            assert call.key
            continue
        kind = KINDS[call.name]
        prompt = make_prompt(call).split()
        assert kind.words[0] <= len(prompt) == call.words <= kind.words[1]
        assert kind.output[0] <= call.output <= kind.output[1]
        assert call.deadline == kind.deadline / 2


def test_family_shares_only_its_prefix():
    hot = [
        make_prompt(call).split() for call in make_phases_trace() if call.name == "hot"
    ]
    shared = int(0.8 * min(map(len, hot)))
    assert len({tuple(words[:shared]) for words in hot}) == 1
    assert len({tuple(words) for words in hot}) == len(hot)


def test_calls_of_a_kind_do_not_depend_on_other_kinds():
    """Guard paired comparisons: adding a kind must not change the others' calls."""
    phases_with_dart = (
        PHASES[0]._replace(shares={"sheet": 0.5, "hot": 0.2, "dart": 0.1}),
    )
    before = [call for call in make_phases_trace() if call.name == "sheet"]
    assert [
        call
        for call in make_phases_trace(phases=phases_with_dart)
        if call.name == "sheet"
    ] == before
