"""Tests of which entries are sent a request when some are unavailable."""

import socket

import pytest

from radishtally.command import const
from radishtally.command.client import Client, Target
from tests.command.fake import FakeEntry


def make_client(*urls: str) -> Client:
    return Client(Target(urls, "key"))


@pytest.fixture
def dead_url() -> str:
    """Return an address where nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{probe.getsockname()[1]}"


def test_next_entry_is_tried_if_one_is_unreachable(
    dead_url: str, entry: FakeEntry
) -> None:
    entry.set_answer("/x", [1])
    client = make_client(dead_url, entry.url)
    assert client.get(list[int], "/x").ok == [1]
    assert client.post(list[int], "/x", {}).ok == [1]


def test_all_entries_unreachable(dead_url: str) -> None:
    for result in (
        make_client(dead_url, dead_url).get(list, "/x"),
        make_client(dead_url, dead_url).post(list, "/x", {}),
    ):
        assert result.error.code == const.EXIT_UNAVAILABLE
        assert "can't be reached" in result.error.message


@pytest.mark.parametrize("outcome", ["silent", 503, 504])
def test_read_is_retried_at_next_entry(
    entry: FakeEntry, other_entry: FakeEntry, outcome: str | int
) -> None:
    entry.answers["/x"] = None if outcome == "silent" else (outcome, b"{}")
    other_entry.set_answer("/x", [1])
    assert make_client(entry.url, other_entry.url).get(list, "/x").ok == [1]


@pytest.mark.parametrize("outcome", ["silent", 500, 503, 504])
def test_change_is_not_sent_twice(
    entry: FakeEntry, other_entry: FakeEntry, outcome: str | int
) -> None:
    # The entry makes the change and dies before it answers. Meanwhile another operator
    # reverts the change. If it were sent again to the next entry, it would silently
    # undo that, so the tool must report that the change may have been made.
    entry.answers["/x"] = None if outcome == "silent" else (outcome, b"{}")
    other_entry.set_answer("/x", [1])
    result = make_client(entry.url, other_entry.url).post(list, "/x", {})
    assert result.is_error()
    assert other_entry.requests == []
    assert ("may have been made" in result.error.message) is (outcome == "silent")


def test_refusal_is_final(entry: FakeEntry, other_entry: FakeEntry) -> None:
    entry.refuse("/x", 401)
    result = make_client(entry.url, other_entry.url).get(list, "/x")
    assert result.error.code == const.EXIT_KEY_REFUSED
    assert other_entry.requests == []


def test_everywhere_tries_next_entry_if_not_found(
    entry: FakeEntry, other_entry: FakeEntry
) -> None:
    other_entry.set_answer("/x", [1])
    client = make_client(entry.url, other_entry.url)
    assert client.get(list, "/x").error.code == const.EXIT_NOT_FOUND
    assert client.get(list, "/x", everywhere=True).ok == [1]
