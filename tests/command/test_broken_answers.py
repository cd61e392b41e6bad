"""Answers of entries that are none in the protocol."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from radishtally.command import const
from radishtally.command.client import Client, Target
from tests.gateway.broken import BROKEN, SOUND, make_answer, make_broken, make_sound

BODY = b"[1]"
READ = sorted({*SOUND} - {"interim answers"})
"""The library reads no interim answer but 100."""
FOUND = sorted({*BROKEN} - {"version HTTP/0.9", "version HTTP/1.2"})
"""The library reads these versions like 1.0 and 1.1."""


@contextmanager
def run_entry(answer: bytes) -> Iterator[Client]:
    """Run an entry that answers one request so; yield a client of it."""

    def serve() -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65_536)
            connection.sendall(answer)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield Client(Target((f"http://127.0.0.1:{port}",), "key"))
        thread.join()


@pytest.mark.parametrize("name", READ)
def test_sound_answer_is_read(name: str) -> None:
    with run_entry(make_sound(BODY)[name]) as client:
        assert client.get(list[int], "/x").ok == [1]


# Guards against figures of a fleet that no entry sent.
@pytest.mark.parametrize("name", FOUND)
def test_broken_answer_is_none(name: str) -> None:
    with run_entry(make_broken(BODY)[name]) as client:
        assert client.get(list[int], "/x").is_error()


# Guards against a change that is reported as refused, or as made, by an answer that may
# not be the entry's.
@pytest.mark.parametrize("name", FOUND)
def test_change_with_a_broken_answer_may_have_been_made(name: str) -> None:
    with run_entry(make_broken(BODY)[name]) as client:
        result = client.post(list[int], "/x", {})
    assert "may have been made" in result.error.message


def test_change_with_another_final_status_may_have_been_made() -> None:
    with run_entry(make_sound(BODY)["interim answers"]) as client:
        result = client.post(list[int], "/x", {})
    assert "may have been made" in result.error.message


def test_answer_that_is_cut_short_is_none() -> None:
    with run_entry(make_answer(BODY + b" ")[:-1]) as client:
        assert client.get(list[int], "/x").error.code == const.EXIT_UNAVAILABLE


# Guards against a tool whose memory an entry's answer fills.
def test_answer_over_the_limit_is_not_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(const, "MAX_REPLY_BYTES", 2)
    for name in ("length", "chunks", "no length"):
        with run_entry(make_sound(BODY)[name]) as client:
            assert "more than 2 bytes" in client.get(list[int], "/x").error.message
