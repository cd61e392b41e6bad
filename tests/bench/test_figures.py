"""Tests of the figures computed from the records of a run."""

import pytest

from bench.figures import (
    describe_class,
    find_percentiles,
    find_recovery,
    find_series,
)
from bench.load import AnswerText, Record, check_answer
from bench.report import summarise
from bench.traces import Call, make_prompt
from standins.completions import build_token, digest_seed


def make_record(at: float = 0.0, **overrides) -> Record:
    defaults = {
        "name": "dart",
        "at": at,
        "sent": at,
        "deadline": 2.0,
        "took": 1.0,
        "status": 200,
        "whole": True,
        "own": True,
    }
    return Record(**{**defaults, **overrides})


REFUSAL = {"status": 429, "code": "overloaded", "ran": "no", "whole": False}


@pytest.mark.parametrize(
    ("overrides", "outcome"),
    [
        ({}, "good"),
        ({"took": 2.1}, "late"),
        ({"whole": False}, "200 not whole"),
        ({"whole": False, "code": "deadline_exceeded"}, "200 deadline_exceeded"),
        (REFUSAL, "429 overloaded, ran no"),
        ({"status": 0, "whole": False}, "no answer"),
    ],
)
def test_outcome_of_a_call(overrides, outcome):
    described = describe_class([make_record(**overrides)], 10.0)
    assert described["outcomes"] == {outcome: 1}
    assert described["good"] == (outcome == "good")
    assert described["refused"] == (outcome.endswith("ran no"))


def test_answer_to_another_prompt_is_wrong():
    described = describe_class([make_record(own=False)], 10.0)
    assert (described["good"], described["wrong"]) == (0, 1)


def test_percentiles_are_in_milliseconds():
    found = find_percentiles([n / 1000 for n in range(1, 101)])
    assert found == pytest.approx({"p50": 50, "p95": 95, "p99": 99}, rel=0.01)
    assert find_percentiles([]) == {"p50": None, "p95": None, "p99": None}


def test_series_counts_by_scheduled_time():
    records = [make_record(0.1), make_record(1.9, whole=False), make_record(1.2)]
    assert find_series(records, 3.0) == [(1, 1), (2, 1), (0, 0)]


def test_recovery_ends_at_the_last_return_to_full_goodput():
    def is_good(at: float) -> bool:
        return at < 5 or 6 <= at < 8 or at >= 9

    times = [number / 10 for number in range(200)]
    records = [make_record(at, whole=is_good(at)) for at in times]
    assert find_recovery(records, 5.0, 20.0) == pytest.approx(4.0, abs=0.3)
    lost = [make_record(at, whole=at < 5) for at in times]
    assert find_recovery(lost, 5.0, 20.0) is None


def make_answer(prompt: str, tokens: int) -> str:
    digest = digest_seed(prompt)
    return "".join(build_token(digest, index) for index in range(tokens))


@pytest.mark.parametrize(
    ("prompt", "tokens", "ended", "whole", "own"),
    [
        ("own", 5, True, True, True),
        ("own", 5, False, False, True),
        ("own", 4, True, False, True),
        ("own", 6, True, False, True),
        ("other", 5, True, True, False),
    ],
)
def test_check_of_stand_in_answers(prompt, tokens, ended, whole, own):
    call = Call(0.0, "dart", "team", 2.0, 7, model="gown-llm", words=9, output=5)
    prompts = {"own": make_prompt(call), "other": "other"}
    text = make_answer(prompts[prompt], tokens)
    record = make_record(whole=False, own=False)
    check_answer(call, prompts["own"], AnswerText(text, ended), record)
    assert (record.whole, record.own) == (whole, own)


def test_answer_with_a_repeated_token_is_not_whole():
    call = Call(0.0, "dart", "team", 2.0, 7, model="gown-llm", words=9, output=3)
    text = make_answer(make_prompt(call), 2)
    doubled = f"{text} {text.split()[-1]}"
    record = make_record(whole=False, own=False)
    check_answer(call, make_prompt(call), AnswerText(doubled, True), record)
    assert not record.whole


def test_summary_row_of_several_runs():
    class Run:
        def __init__(self, rate):
            self.classes = {
                "all": {
                    **describe_class([make_record()], 1.0),
                    "good_per_second": rate,
                }
            }
            self.figures = {
                "scenario": "s",
                "variant": "v",
                "role_changes": 2,
                "engine_seconds_away": 6.0,
                "wasted_tokens": 10,
                "useful_share": 0.5,
                "recovery_seconds": 1.5,
            }

    row = summarise([Run(10.0), Run(14.0)])
    assert (row["good/s"], row["spread"]) == (12.0, "10.0 to 14.0")
    assert (row["role changes"], row["recovery s"]) == (2, "1.5, 1.5")
