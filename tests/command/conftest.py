"""Fixtures of the tool's tests."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest

from radishtally.command.const import KEY_VARIABLE, URL_VARIABLE
from radishtally.command.core import run_words
from tests.command.fake import FakeEntry, fake_entry


class Said(NamedTuple):
    """Hold what a run of the tool gave."""

    code: int
    out: str
    err: str


Run = Callable[..., Said]


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
) -> Iterator[Run]:
    """Run the tool with an address and a key."""

    def run_tool(*words: str, url: str = "", key: str = "lagna-operator-key") -> Said:
        monkeypatch.setenv(URL_VARIABLE, url)
        monkeypatch.setenv(KEY_VARIABLE, key)
        code = run_words(words)
        said = capsys.readouterr()
        return Said(code, said.out, said.err)

    return run_tool
