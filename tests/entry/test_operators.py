"""Tests of the operators' routes and of their authorization."""

import json
from collections.abc import Iterator
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import pytest

from bench.fleet import PEER_KEY, Fleet, get_json, is_up, post_json, read_sample
from tests.common import START_SECONDS

KEY = "lagna-operator-key"
CHANGE = {"base": 1, "files": {"60-x.json": "{}"}, "cause": "a test"}

BAD_CHANGES = [
    (b"", 400),
    (b"{", 400),
    (b"[]", 400),
    (b'{"base": 1, "files": {}, "cause": "\xff"}', 400),
    ({"base": 1}, 400),
    ({**CHANGE, "base": "1"}, 400),
    ({**CHANGE, "base": 1.5}, 400),
    ({**CHANGE, "files": []}, 400),
    ({**CHANGE, "files": {"60-x.json": 3}}, 400),
    ({**CHANGE, "cause": " "}, 400),
    ({**CHANGE, "author": "arnab"}, 400),
    ({**CHANGE, "base": -1}, 422),
    ({**CHANGE, "base": 99}, 422),
    ({**CHANGE, "base": 10**30}, 422),
    ({**CHANGE, "files": {"../x.json": "{}"}}, 422),
    ({**CHANGE, "files": {".hidden.json": "{}"}}, 422),
    ({**CHANGE, "files": {"60-x.json": "{"}}, 422),
    ({**CHANGE, "files": {"60-x.json": "[]"}}, 422),
    ({**CHANGE, "files": {"60-x.json": '{"policy": {"x": 1}}'}}, 422),
    ({**CHANGE, "files": {"10-places.json": None}}, 422),
    ({**CHANGE, "base": 0, "files": {"50-policy.json": "{}"}}, 409),
]

BAD_DRAINS = [
    ("gown-1", {}, 400),
    ("gown-1", {"drained": 1, "cause": "x"}, 400),
    ("gown-1", {"drained": True, "cause": ""}, 400),
    ("gown-1", {"drained": True, "cause": "x", "who": "arnab"}, 400),
    ("gown-99", {"drained": True, "cause": "x"}, 404),
]

PATHS = [
    "status",
    "configuration",
    "configuration/history",
    "configuration/confirmed",
    "configuration/revisions/1",
    "audit",
    "explain/request/x",
    "explain/host/gown-1",
    "explain/place/howrah",
    "nowhere",
]

ODD_QUERIES = [
    ("audit?limit=x", 200),
    ("audit?limit=-1", 200),
    ("audit?limit=0", 200),
    ("audit?limit=%C2%B2", 200),
    (f"audit?limit={'9' * 5000}", 200),
    ("audit?subject=%FF", 200),
    ("configuration?at_least=x", 200),
    ("configuration?at_least=99", 200),
    ("configuration/confirmed?revision=x", 400),
    (f"configuration/confirmed?revision={'9' * 5000}", 400),
    ("configuration/confirmed?seconds=soon", 400),
    ("configuration/confirmed?revision=99&seconds=nan", 200),
    ("configuration/confirmed?revision=99&seconds=-1", 200),
    ("configuration/revisions/99", 404),
    ("configuration/revisions/x", 404),
]


@pytest.fixture(scope="module")
def base(small_fleet: Fleet) -> str:
    return f"{small_fleet.entries['entry-1'].url}/operators/v1"


class NewFleet(Fleet):
    """Start a fleet without a configuration."""

    def apply(self, *_: object) -> int:
        return 0

    def is_ready(self) -> bool:
        return True


@pytest.fixture
def new_entry() -> Iterator[str]:
    """Run a single entry without a configuration; return its base URL."""
    files = read_sample("lagna")
    with NewFleet(files, entries_wanted=1, servers_wanted=lambda _: False) as fleet:
        url = fleet.entries["entry-1"].url
        fleet.wait_until(lambda: is_up(url), "the entry to listen")
        yield f"{url}/operators/v1"


def ask(url: str, body: object = None, key: str | None = KEY) -> tuple[int, Any]:
    """Send one request; return the status and the decoded body."""
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    request = Request(url, data)
    if key is not None:
        request.add_header("Authorization", f"Bearer {key}")
    try:
        with urlopen(request, timeout=START_SECONDS) as reply:
            return reply.status, json.load(reply)
    except HTTPError as error:
        with error:
            return error.code, json.load(error)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("key", [None, "no-key", "lagna-demo-key", PEER_KEY, "\xff"])
def test_key_is_needed(base: str, path: str, key: str | None) -> None:
    status, answer = ask(f"{base}/{path}", key=key)
    assert status == 401
    assert "key" in answer["error"]["message"]


@pytest.mark.parametrize("path", ["configuration", "hosts/gown-1/drain"])
def test_key_is_needed_for_changes(base: str, path: str) -> None:
    before = list_changes(base)
    assert ask(f"{base}/{path}", CHANGE, key="lagna-demo-key")[0] == 401
    assert list_changes(base) == before


def list_changes(base: str) -> list[dict[str, Any]]:
    """Return the audit entries without those of leases, which come at any time."""
    trail = get_json(f"{base}/audit", KEY)
    return [item for item in trail if not item["what"].startswith("lease.")]


@pytest.mark.parametrize(("body", "status"), BAD_CHANGES, ids=lambda v: str(v)[-50:])
def test_bad_change(base: str, body: object, status: int) -> None:
    before = get_json(f"{base}/configuration", KEY)
    got, answer = ask(f"{base}/configuration", body)
    assert got == status
    assert answer["error"]["message"]
    assert get_json(f"{base}/configuration", KEY) == before


@pytest.mark.parametrize(("host", "body", "status"), BAD_DRAINS)
def test_bad_drain(base: str, host: str, body: object, status: int) -> None:
    assert ask(f"{base}/hosts/{host}/drain", body)[0] == status


@pytest.mark.parametrize(("path", "status"), ODD_QUERIES)
def test_odd_query(base: str, path: str, status: int) -> None:
    assert ask(f"{base}/{path}")[0] == status


def test_confirmed_lists_hosts_that_are_behind(base: str) -> None:
    query = "configuration/confirmed?revision=99&seconds=0"
    answer = get_json(f"{base}/{query}", KEY)
    assert answer["behind"] == ["booking-1", "entry-1", "gown-1"]


def test_revision_lists_authors(base: str) -> None:
    answer = get_json(f"{base}/configuration/revisions/1", KEY)
    assert answer["author"] == "bootstrap"
    entry = answer["files"]["50-policy.json"]
    assert (entry["author"], entry["revision"]) == ("bootstrap", 1)
    assert get_json(f"{base}/configuration/revisions/0", KEY)["files"] == {}


def test_entry_reports_its_own_state(base: str) -> None:
    host = get_json(f"{base}/status", KEY)["hosts"]["entry-1"]
    assert host["state"] == "live"
    assert host["revision"] >= 1


def test_peer_key_is_valid_until_operators_are_configured(new_entry: str) -> None:
    # The first configuration names no operators. If the peer key became invalid with
    # it, no one could change the configuration again.
    assert ask(f"{new_entry}/status", key=KEY)[0] == 503
    assert ask(f"{new_entry}/status", key=PEER_KEY)[1]["revision"] == 0
    files = read_sample("lagna")
    operators = {"45-operators.json": files.pop("45-operators.json")}
    for base, part in enumerate((files, operators)):
        body = {**CHANGE, "base": base, "files": part}
        answer = post_json(f"{new_entry}/configuration", body, PEER_KEY)
        assert answer["revision"] == base + 1
        by_operator = ask(f"{new_entry}/status", key=KEY)[0]
        assert by_operator == (200 if part is operators else 401)
    assert ask(f"{new_entry}/status", key=PEER_KEY)[0] == 401
