"""Tests of the host, audit and explain commands against a real fleet."""

import json
from collections.abc import Callable

import pytest

from bench.fleet import Fleet, post_json
from radishtally.command import const
from tests.command.conftest import RunTool, ToolResult

RunOnFleet = Callable[..., ToolResult]


@pytest.fixture
def run_on_fleet(run: RunTool, small_fleet: Fleet) -> RunOnFleet:
    url = small_fleet.entries["entry-1"].url
    return lambda *words: run(*words, url=url)


def test_status(run_on_fleet: RunOnFleet) -> None:
    result = run_on_fleet("status")
    assert result.code == const.EXIT_OK
    assert result.out.startswith("entry-1 in ")
    for host in ("entry-1", "gown-1", "booking-1"):
        assert f"\n{host} " in result.out
    hosts = json.loads(run_on_fleet("status", "--json").out)["hosts"]
    assert {name: host["state"] for name, host in hosts.items()} == {
        "entry-1": "live",
        "gown-1": "live",
        "booking-1": "live",
    }


def test_drain_and_undrain(run_on_fleet: RunOnFleet, small_fleet: Fleet) -> None:
    def is_draining() -> bool:
        return small_fleet.status()["hosts"]["gown-1"]["draining"]

    result = run_on_fleet("host", "drain", "gown-1", "--cause", "new fan")
    assert (result.code, result.out) == (0, "gown-1 gets no new work\n")
    small_fleet.wait_until(is_draining, "the drain")
    explanation = json.loads(run_on_fleet("explain", "host", "gown-1", "--json").out)
    assert explanation["gets_new_work"] is False
    assert explanation["drain"]["who"] == "mitali"
    assert explanation["drain"]["cause"] == "new fan"
    assert run_on_fleet("host", "undrain", "gown-1", "--cause", "fan is in").code == 0
    small_fleet.wait_until(lambda: not is_draining(), "the end of the drain")
    entries = json.loads(run_on_fleet("audit", "--subject", "gown-1", "--json").out)
    assert [entry["what"] for entry in entries[:2]] == ["undrain", "drain"]
    assert [entry["cause"] for entry in entries[:2]] == ["fan is in", "new fan"]


def test_drain_of_host_that_is_not_running(run_on_fleet: RunOnFleet) -> None:
    # gown-2 is configured but not running: it can be drained before it starts.
    assert run_on_fleet("host", "drain", "gown-2", "--cause", "x").code == const.EXIT_OK
    assert (
        run_on_fleet("host", "drain", "gown-99", "--cause", "x").code
        == const.EXIT_NOT_FOUND
    )
    assert (
        run_on_fleet("host", "drain", "a/b", "--cause", "x").code
        == const.EXIT_NOT_FOUND
    )


def test_explain_request(run_on_fleet: RunOnFleet, small_fleet: Fleet) -> None:
    url = f"{small_fleet.entries['entry-1'].url}/v1/completions"
    body = {"model": "gown-llm", "prompt": "a secret hem", "max_tokens": 2}
    answer = post_json(url, body, "lagna-demo-key")
    result = run_on_fleet("explain", "request", answer["id"])
    assert result.code == const.EXIT_OK
    assert "offered to gown-1" in result.out
    assert "answered whole" in result.out
    assert "secret" not in result.out
    assert run_on_fleet("explain", "request", "req-0").code == const.EXIT_NOT_FOUND


def test_explain_place(run_on_fleet: RunOnFleet) -> None:
    explanation = json.loads(
        run_on_fleet("explain", "place", "salt-lake", "--json").out
    )
    assert explanation["place"] == "salt-lake"
    assert run_on_fleet("explain", "place", "nowhere").code == const.EXIT_NOT_FOUND
    assert run_on_fleet("explain", "host", "nobody").code == const.EXIT_NOT_FOUND


def test_wrong_key(run: RunTool, small_fleet: Fleet) -> None:
    url = small_fleet.entries["entry-1"].url
    for key in ("lagna-demo-key", "no-key"):
        assert run("status", url=url, key=key).code == const.EXIT_KEY_REFUSED
