"""Fixtures of the tests of the command-line tool."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest

from radishtally.command.const import KEY_VARIABLE, URL_VARIABLE
from radishtally.command.core import run_command_line
from tests.command.fake import FakeEntry, fake_entry


class ToolResult(NamedTuple):
    """Hold the exit code and the output of a run of the tool."""

    code: int
    out: str
    err: str


RunTool = Callable[..., ToolResult]


@pytest.fixture
def entry() -> Iterator[FakeEntry]:
    with fake_entry() as entry:
        yield entry


@pytest.fixture
def other_entry() -> Iterator[FakeEntry]:
    with fake_entry() as entry:
        yield entry


@pytest.fixture
def run(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> Iterator[RunTool]:
    """Return a function that runs the tool with an address and a key."""

    def run_tool(
        *words: str, url: str = "", key: str = "lagna-operator-key"
    ) -> ToolResult:
        monkeypatch.setenv(URL_VARIABLE, url)
        monkeypatch.setenv(KEY_VARIABLE, key)
        code = run_command_line(words)
        result = capsys.readouterr()
        return ToolResult(code, result.out, result.err)

    return run_tool
