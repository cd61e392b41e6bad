"""Test the commands on hosts, the audit trail and explanations on a real fleet."""

import json
from collections.abc import Callable

import pytest

from bench.fleet import Fleet, post_json
from radishtally.command import const
from tests.command.conftest import Run, Said

Ask = Callable[..., Said]


@pytest.fixture
def ask(run: Run, small_fleet: Fleet) -> Ask:
    url = small_fleet.entries["entry-1"].url
    return lambda *words: run(*words, url=url)


def test_status(ask: Ask) -> None:
    said = ask("status")
    assert said.code == const.EXIT_FINE
    assert said.out.startswith("entry-1 in ")
    for host in ("entry-1", "gown-1", "booking-1"):
        assert f"\n{host} " in said.out
    hosts = json.loads(ask("status", "--json").out)["hosts"]
    assert {name: host["state"] for name, host in hosts.items()} == {
        "entry-1": "live",
        "gown-1": "live",
        "booking-1": "live",
    }


def test_drain_and_undrain(ask: Ask, small_fleet: Fleet) -> None:
    def is_draining() -> bool:
        return small_fleet.status()["hosts"]["gown-1"]["draining"]

    done = ask("host", "drain", "gown-1", "--cause", "new fan")
    assert (done.code, done.out) == (0, "gown-1 gets no new work\n")
    small_fleet.wait_until(is_draining, "the drain")
    told = json.loads(ask("explain", "host", "gown-1", "--json").out)
    assert told["gets_new_work"] is False
    assert told["drain"]["who"] == "mitali"
    assert told["drain"]["cause"] == "new fan"
    assert ask("host", "undrain", "gown-1", "--cause", "fan is in").code == 0
    small_fleet.wait_until(lambda: not is_draining(), "the end of the drain")
    trail = json.loads(ask("audit", "--subject", "gown-1", "--json").out)
    assert [one["what"] for one in trail[:2]] == ["undrain", "drain"]
    assert [one["cause"] for one in trail[:2]] == ["fan is in", "new fan"]


def test_drain_of_host_that_is_away(ask: Ask) -> None:
    # gown-2 is configured, but not running. An operator drains it before it returns.
    assert ask("host", "drain", "gown-2", "--cause", "x").code == const.EXIT_FINE
    assert ask("host", "drain", "gown-99", "--cause", "x").code == const.EXIT_NOT_FOUND
    assert ask("host", "drain", "a/b", "--cause", "x").code == const.EXIT_NOT_FOUND


def test_explain_request(ask: Ask, small_fleet: Fleet) -> None:
    url = f"{small_fleet.entries['entry-1'].url}/v1/completions"
    body = {"model": "gown-llm", "prompt": "a secret hem", "max_tokens": 2}
    answer = post_json(url, body, "lagna-demo-key")
    said = ask("explain", "request", answer["id"])
    assert said.code == const.EXIT_FINE
    assert "offered to gown-1" in said.out
    assert "answered whole" in said.out
    assert "secret" not in said.out
    assert ask("explain", "request", "req-0").code == const.EXIT_NOT_FOUND


def test_explain_place(ask: Ask) -> None:
    told = json.loads(ask("explain", "place", "salt-lake", "--json").out)
    assert told["place"] == "salt-lake"
    assert ask("explain", "place", "nowhere").code == const.EXIT_NOT_FOUND
    assert ask("explain", "host", "nobody").code == const.EXIT_NOT_FOUND


def test_wrong_key(run: Run, small_fleet: Fleet) -> None:
    url = small_fleet.entries["entry-1"].url
    for key in ("lagna-demo-key", "no-key"):
        assert run("status", url=url, key=key).code == const.EXIT_KEY_REFUSED
