"""Tests of the authentication of callers and of the work built from requests."""

import pytest

from bench.fleet import read_sample
from radishtally.configuration.config import Route
from radishtally.configuration.core import merge_files
from radishtally.entry.callers import (
    Caller,
    Directory,
    RequestOptions,
    TokenRatio,
    is_idempotent,
    make_call_work,
    make_generation_work,
    read_options,
)
from radishtally.entry.openai import Generation
from radishtally.links.messages import CHAT
from radishtally.outcome import Refusal, Result

NO_MODEL = '{ "models": { "orphan": { "version": "1" } } }'
OPTIONS = RequestOptions("", 30.0)


@pytest.fixture
def directory() -> Directory:
    return Directory(merge_files({**read_sample("lagna"), "60.json": NO_MODEL}).ok)


@pytest.fixture
def caller(directory: Directory) -> Caller:
    return find_caller(directory, "lagna-demo-key")


def find_caller(directory: Directory, key: str) -> Caller:
    return directory.find_caller({"authorization": f"Bearer {key}"}).ok


def generate(
    caller: Caller, directory: Directory, **fields: object
) -> Result[object, Refusal]:
    plain = Generation(CHAT, "gown-llm", "Which darts?", 8, False, False)
    generation = plain._replace(**fields)
    ratio = TokenRatio()
    return make_generation_work(caller, generation, b"{}", OPTIONS, directory, ratio)


def call(
    caller: Caller,
    directory: Directory,
    path: str,
    method: str = "POST",
    **headers: str,
) -> Result[object, Refusal]:
    body = b"{}"
    return make_call_work(
        caller, "booking-app", method, path, headers, body, OPTIONS, directory
    )


@pytest.mark.parametrize(
    "authorization",
    [
        "",
        "Bearer",
        "Bearer ",
        "Basic lagna-demo-key",
        "lagna-demo-key",
        "Bearer \udcff",
    ],
)
def test_unknown_key(directory: Directory, authorization: str) -> None:
    headers = {"authorization": authorization}
    assert directory.find_caller(headers).error.status == 401
    assert directory.find_operator(headers) is None


def test_keys_of_teams_and_operators_are_separate(directory: Directory) -> None:
    team = {"authorization": "bearer lagna-demo-key"}
    operator = {"authorization": "Bearer lagna-operator-key"}
    assert directory.find_caller(team).ok.name == "demo"
    assert directory.find_operator(team) is None
    assert directory.find_operator(operator) == "mitali"
    assert directory.find_caller(operator).is_error()


def test_adapter_name_selects_its_model(caller: Caller, directory: Directory) -> None:
    work = generate(caller, directory, model="fabric-tag").ok
    assert (work.model, work.adapter) == ("gown-llm", "fabric-tag")
    assert (work.team, work.upstream) == ("demo", "gown-llm")


def test_max_tokens_is_bounded_by_the_model(
    caller: Caller, directory: Directory
) -> None:
    assert generate(caller, directory, max_tokens=10**30).ok.max_tokens == 4_096
    assert generate(caller, directory, max_tokens=None).ok.max_tokens == 256


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"model": "none"}, "model_not_found"),
        ({"model": "orphan"}, "model_not_found"),
        ({"text": "x" * 4 * 2 * 32_768 + "x" * 100}, "context_length_exceeded"),
    ],
)
def test_refused_generation(
    caller: Caller, directory: Directory, fields: dict, code: str
) -> None:
    refusal = generate(caller, directory, **fields).error
    assert (refusal.code, refusal.ran) == (code, "no")


def test_work_has_priority_and_share_of_the_team(directory: Directory) -> None:
    team = find_caller(directory, "lagna-seamstress-key")
    work = generate(team, directory).ok
    assert (work.priority, work.share) == (-1, 2.0)
    assert call(team, directory, "/slots").error.code == "upstream_not_allowed"


@pytest.mark.parametrize(
    ("path", "method", "idempotent"),
    [
        ("/reminders", "POST", False),
        ("/reminders?again=1", "POST", False),
        ("/%72eminders", "POST", False),
        ("/slots", "POST", True),
        ("/slots?day=Friday", "GET", True),
        ("/slots", "DELETE", False),
        ("/unnamed", "GET", True),
        ("/unnamed", "POST", False),
    ],
)
def test_idempotence_of_a_call(
    caller: Caller, directory: Directory, path: str, method: str, idempotent: bool
) -> None:
    work = call(caller, directory, path, method).ok
    assert work.idempotent is idempotent
    assert work.path == path


@pytest.mark.parametrize(
    "path", ["/slots/../reminders", "/slots/%2e%2e/reminders", "/./x", "/a/..", "/.."]
)
def test_dot_segments_are_refused(
    caller: Caller, directory: Directory, path: str
) -> None:
    # A route declares /slots* as idempotent. /slots/../reminders would match it but be
    # sent as /reminders, which is not idempotent, so a lost answer would make the
    # reminder run twice. Such paths are refused.
    refusal = call(caller, directory, path).error
    assert (refusal.status, refusal.ran) == (400, "no")


def test_first_matching_route_decides() -> None:
    routes = (Route(path="/once"), Route(path="/*", idempotent=True))
    assert not is_idempotent(routes, "POST", "/once")
    assert is_idempotent(routes, "POST", "/other")


def test_only_listed_headers_are_forwarded(
    caller: Caller, directory: Directory
) -> None:
    headers = {
        "Content-Type": "application/json",
        "Authorization": "Bearer lagna-demo-key",
        "Cookie": "secret",
        "Host": "x",
    }
    work = call(caller, directory, "/slots", **headers).ok
    assert work.headers == (("Content-Type", "application/json"),)


@pytest.mark.parametrize("text", ["soon", "0", "-1", "nan", "inf", "3600.1", "1e999"])
def test_bad_timeout(text: str) -> None:
    assert read_options({"x-request-timeout": text}, 30.0).error.status == 400


@pytest.mark.parametrize("key", ["k" * 256, "a\nb", "a\x00", "\udcff"])
def test_bad_key(key: str) -> None:
    assert read_options({"idempotency-key": key}, 30.0).error.status == 400


def test_read_options() -> None:
    assert read_options({}, 30.0).ok == ("", 30.0)
    headers = {"idempotency-key": "k" * 255, "x-request-timeout": "0.25"}
    assert read_options(headers, 30.0).ok == ("k" * 255, 0.25)


def test_token_ratio_follows_the_counts() -> None:
    ratio = TokenRatio()
    assert ratio.estimate("m", 400) == 100
    ratio.record_count("m", 100, 50)
    assert ratio.estimate("m", 400) == 200
    for _ in range(200):
        ratio.record_count("m", 100, 10)
    assert ratio.estimate("m", 400) == pytest.approx(40, abs=1)
    ratio.record_count("m", 0, 10)
    assert ratio.estimate("m", 0) == 1
