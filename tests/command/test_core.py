"""Test the command line: usage, help, exit codes and output."""

import json
import subprocess
import sys

import pytest

from radishtally.command import const
from tests.command.conftest import Run
from tests.command.fake import FakeEntry
from tests.common import ROOT

DRAIN = ("host", "drain", "gown-1", "--cause", "new fan")
APPLY = ("config", "apply", "folder", "--cause", "why")

BAD_LINES = [
    (),
    ("bogus",),
    ("config",),
    ("config", "bogus"),
    ("config", "apply"),
    ("config", "apply", "folder"),
    ("config", "apply", "folder", "--cause", "  "),
    (*APPLY, "more"),
    (*APPLY, "--bogus", "1"),
    (*APPLY, "--wait", "soon"),
    (*APPLY, "--wait", "-1"),
    (*APPLY, "--wait", "1e9"),
    (*APPLY, "--base", "one"),
    (*APPLY, "--base", "1.5"),
    (*APPLY, "--remove=maybe"),
    (*DRAIN, "gown-2"),
    (*DRAIN, "--json=3"),
    ("host", "drain", "gown-1"),
    ("host", "drain", "", "--cause", "x"),
    ("audit", "--limit", "0"),
    ("audit", "--limit", "many"),
    ("status", "__class__"),
    ("status", "run"),
    ("explain", "request"),
    ("explain", "team", "x"),
]

REFUSALS = [
    (400, const.EXIT_USAGE),
    (401, const.EXIT_KEY_REFUSED),
    (404, const.EXIT_NOT_FOUND),
    (409, const.EXIT_RACED),
    (413, const.EXIT_REFUSED),
    (422, const.EXIT_REFUSED),
    (500, const.EXIT_FAILED),
    (503, const.EXIT_AWAY),
    (504, const.EXIT_AWAY),
]

ODD_ANSWERS = [b"", b"<html>", b"[]", b'{"hosts": 3}', b"null", b'{"error": "x"}']


@pytest.mark.parametrize("words", BAD_LINES[1:], ids=" ".join)
def test_usage_error(run: Run, entry: FakeEntry, words: tuple[str, ...]) -> None:
    # A typing error at the end of a line is seen only after the words before it. The
    # operator must not find the host drained all the same: nothing may be asked of an
    # entry before the whole line is known to be good.
    said = run(*words, url=entry.url)
    assert said.code == const.EXIT_USAGE
    assert said.out == ""
    assert said.err.startswith("radishtally: ")
    assert said.err.count("\n") == 1
    assert entry.asked == []


@pytest.mark.parametrize("url", ["", ",", "ftp://x", "127.0.0.1:80", "http://x:port"])
def test_bad_url(run: Run, url: str) -> None:
    said = run("status", url=url)
    assert said.code == const.EXIT_USAGE
    assert "address" in said.err


@pytest.mark.parametrize("key", ["", "schlüssel", "a\nb"])
def test_bad_key(run: Run, key: str) -> None:
    assert run("status", url="http://127.0.0.1:1", key=key).code == const.EXIT_USAGE


@pytest.mark.parametrize(
    "words",
    [
        ("config", "check"),
        ("config", "diff"),
        ("config", "apply"),
        ("config", "show"),
        ("config", "history"),
        ("status",),
        ("host", "drain"),
        ("host", "undrain"),
        ("audit",),
        ("explain", "request"),
        ("explain", "host"),
        ("explain", "place"),
    ],
    ids=" ".join,
)
def test_help(run: Run, words: tuple[str, ...]) -> None:
    said = run(*words, "--help")
    assert said.code == const.EXIT_FINE
    assert said.err == ""
    assert f"radishtally {' '.join(words)}" in said.out
    assert "DESCRIPTION" in said.out
    assert "FIRE" not in said.out


def test_help_of_all(run: Run) -> None:
    for words in ((), ("--help",)):
        said = run(*words)
        assert said.code == const.EXIT_FINE
        assert "RADISHTALLY_URL" in said.out
        assert "config" in said.out


@pytest.mark.parametrize(("status", "code"), REFUSALS)
def test_exit_code_of_refusal(
    run: Run, entry: FakeEntry, status: int, code: int
) -> None:
    entry.refuse("/hosts/gown-1/drain", status, "told by the entry")
    said = run(*DRAIN, url=entry.url)
    assert (said.code, said.out) == (code, "")
    assert said.err == "radishtally: told by the entry\n"


@pytest.mark.parametrize("body", ODD_ANSWERS)
@pytest.mark.parametrize("status", [200, 500])
def test_odd_answer(run: Run, entry: FakeEntry, body: bytes, status: int) -> None:
    entry.answers["/status"] = (status, body)
    said = run("status", url=entry.url)
    assert said.code == const.EXIT_FAILED
    assert said.err.startswith("radishtally: ")
    assert said.err.count("\n") == 1


def test_words_stay_text(run: Run, entry: FakeEntry) -> None:
    entry.set("/hosts/17/drain", {"host": "17", "drained": True})
    run("host", "drain", "17", "--cause", "a, b", url=entry.url)
    assert entry.bodies == [{"drained": True, "cause": "a, b"}]


def test_json_flag_takes_no_word(run: Run, entry: FakeEntry) -> None:
    entry.set("/audit", [])
    for words in (("--json", "audit"), ("audit", "--json")):
        assert json.loads(run(*words, url=entry.url).out) == []


def test_program(entry: FakeEntry) -> None:
    command = [sys.executable, "-m", "radishtally.command.core"]
    words = ["status", "--url", entry.url, "--key", "k"]
    entry.refuse("/status", 401)
    done = subprocess.run(
        command + words, cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == const.EXIT_KEY_REFUSED
    assert done.stderr == "radishtally: refused\n"


def test_tool_stays_small() -> None:
    code = "import sys, radishtally.command.core; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True
    )
    loaded = set(done.stdout.decode().split())
    assert loaded.isdisjoint({"sanic", "aiohttp", "grpclib", "uvloop", "eliot"})
