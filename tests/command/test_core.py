"""Tests of the command line: usage errors, help, exit codes and output."""

import json
import subprocess
import sys

import pytest

from radishtally.command import const
from tests.command.conftest import RunTool
from tests.command.fake import FakeEntry
from tests.common import ROOT

DRAIN = ("host", "drain", "gown-1", "--cause", "new fan")
APPLY = ("config", "apply", "folder", "--cause", "why")

INVALID_COMMAND_LINES = [
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
    (409, const.EXIT_CONFLICT),
    (413, const.EXIT_REFUSED),
    (422, const.EXIT_REFUSED),
    (500, const.EXIT_FAILED),
    (503, const.EXIT_UNAVAILABLE),
    (504, const.EXIT_UNAVAILABLE),
]

UNEXPECTED_ANSWERS = [
    b"",
    b"<html>",
    b"[]",
    b'{"hosts": 3}',
    b"null",
    b'{"error": "x"}',
]


@pytest.mark.parametrize("words", INVALID_COMMAND_LINES[1:], ids=" ".join)
def test_usage_error(run: RunTool, entry: FakeEntry, words: tuple[str, ...]) -> None:
    # Fire finds a typing error at the end of a line only after it has called the
    # command before it. The host must not be drained in that case: no request may be
    # sent before the whole command line has been parsed.
    result = run(*words, url=entry.url)
    assert result.code == const.EXIT_USAGE
    assert result.out == ""
    assert result.err.startswith("radishtally: ")
    assert result.err.count("\n") == 1
    assert entry.requests == []


@pytest.mark.parametrize("url", ["", ",", "ftp://x", "127.0.0.1:80", "http://x:port"])
def test_bad_url(run: RunTool, url: str) -> None:
    result = run("status", url=url)
    assert result.code == const.EXIT_USAGE
    assert "address" in result.err


@pytest.mark.parametrize("key", ["", "schlüssel", "a\nb"])
def test_bad_key(run: RunTool, key: str) -> None:
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
def test_help(run: RunTool, words: tuple[str, ...]) -> None:
    result = run(*words, "--help")
    assert result.code == const.EXIT_OK
    assert result.err == ""
    assert f"radishtally {' '.join(words)}" in result.out
    assert "DESCRIPTION" in result.out
    assert "FIRE" not in result.out


def test_overview_help(run: RunTool) -> None:
    for words in ((), ("--help",)):
        result = run(*words)
        assert result.code == const.EXIT_OK
        assert "RADISHTALLY_URL" in result.out
        assert "config" in result.out


@pytest.mark.parametrize(("status", "code"), REFUSALS)
def test_exit_code_of_refusal(
    run: RunTool, entry: FakeEntry, status: int, code: int
) -> None:
    entry.refuse("/hosts/gown-1/drain", status, "told by the entry")
    result = run(*DRAIN, url=entry.url)
    assert (result.code, result.out) == (code, "")
    assert result.err == "radishtally: told by the entry\n"


@pytest.mark.parametrize("body", UNEXPECTED_ANSWERS)
@pytest.mark.parametrize("status", [200, 500])
def test_unexpected_answer(
    run: RunTool, entry: FakeEntry, body: bytes, status: int
) -> None:
    entry.answers["/status"] = (status, body)
    result = run("status", url=entry.url)
    assert result.code == const.EXIT_FAILED
    assert result.err.startswith("radishtally: ")
    assert result.err.count("\n") == 1


def test_arguments_are_passed_as_text(run: RunTool, entry: FakeEntry) -> None:
    entry.set_answer("/hosts/17/drain", {"host": "17", "drained": True})
    run("host", "drain", "17", "--cause", "a, b", url=entry.url)
    assert entry.bodies == [{"drained": True, "cause": "a, b"}]


def test_json_flag_takes_no_value(run: RunTool, entry: FakeEntry) -> None:
    entry.set_answer("/audit", [])
    for words in (("--json", "audit"), ("audit", "--json")):
        assert json.loads(run(*words, url=entry.url).out) == []


def test_run_as_program(entry: FakeEntry) -> None:
    command = [sys.executable, "-m", "radishtally.command.core"]
    words = ["status", "--url", entry.url, "--key", "k"]
    entry.refuse("/status", 401)
    result = subprocess.run(
        command + words, cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert result.returncode == const.EXIT_KEY_REFUSED
    assert result.stderr == "radishtally: refused\n"


def test_tool_does_not_import_server_libraries() -> None:
    code = "import sys, radishtally.command.core; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True
    )
    loaded = set(result.stdout.decode().split())
    assert loaded.isdisjoint({"sanic", "aiohttp", "grpclib", "uvloop", "eliot"})
