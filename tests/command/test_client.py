"""Test what is asked of which entry when some are away."""

import socket

import pytest

from radishtally.command import const
from radishtally.command.client import Client, Target
from tests.command.fake import FakeEntry


def make_client(*urls: str) -> Client:
    return Client(Target(urls, "key"))


@pytest.fixture
def dead_url() -> str:
    """Give an address where nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{probe.getsockname()[1]}"


def test_next_entry_if_one_is_away(dead_url: str, entry: FakeEntry) -> None:
    entry.set("/x", [1])
    client = make_client(dead_url, entry.url)
    assert client.get(list[int], "/x").ok == [1]
    assert client.post(list[int], "/x", {}).ok == [1]


def test_all_entries_away(dead_url: str) -> None:
    for result in (
        make_client(dead_url, dead_url).get(list, "/x"),
        make_client(dead_url, dead_url).post(list, "/x", {}),
    ):
        assert result.error.code == const.EXIT_AWAY
        assert "can't be reached" in result.error.message


@pytest.mark.parametrize("how", ["silent", 503, 504])
def test_read_goes_on_to_next_entry(
    entry: FakeEntry, other_entry: FakeEntry, how: str | int
) -> None:
    entry.answers["/x"] = None if how == "silent" else (how, b"{}")
    other_entry.set("/x", [1])
    assert make_client(entry.url, other_entry.url).get(list, "/x").ok == [1]


@pytest.mark.parametrize("how", ["silent", 500, 503, 504])
def test_change_is_not_sent_twice(
    entry: FakeEntry, other_entry: FakeEntry, how: str | int
) -> None:
    # The entry takes the change, dies, and its answer is lost. Meanwhile another
    # operator takes the change back. Sent again to the next entry, the change would
    # undo that without anybody's wish: the operator must be told to look instead.
    entry.answers["/x"] = None if how == "silent" else (how, b"{}")
    other_entry.set("/x", [1])
    result = make_client(entry.url, other_entry.url).post(list, "/x", {})
    assert result.is_error()
    assert other_entry.asked == []
    assert ("may have been made" in result.error.message) is (how == "silent")


def test_refusal_is_final(entry: FakeEntry, other_entry: FakeEntry) -> None:
    entry.refuse("/x", 401)
    result = make_client(entry.url, other_entry.url).get(list, "/x")
    assert result.error.code == const.EXIT_KEY_REFUSED
    assert other_entry.asked == []


def test_everywhere_asks_on_where_not_found(
    entry: FakeEntry, other_entry: FakeEntry
) -> None:
    other_entry.set("/x", [1])
    client = make_client(entry.url, other_entry.url)
    assert client.get(list, "/x").error.code == const.EXIT_NOT_FOUND
    assert client.get(list, "/x", everywhere=True).ok == [1]
