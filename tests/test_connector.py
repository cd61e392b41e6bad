"""Tests of connections: counting open ones, and parsing what arrives on one."""

import asyncio
import itertools
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.connector import AnswerSyntaxError, CheckedConnector, CheckedHandler
from tests.common import run
from tests.gateway.broken import BODY, BROKEN_HEADS, SOUND, make_broken, make_sound

ADDRESS = "127.0.0.1:80"
READ_BYTES = 256 * 1024
"""Most bytes that the event loop reads at once."""


class OpenTransport(asyncio.Transport):
    """Stand for the transport of an open connection."""

    def __init__(self) -> None:
        super().__init__({"peername": ("127.0.0.1", 80)})

    def is_closing(self) -> bool:
        """Return that it is open."""
        return False

    def close(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""


def end(handler: CheckedHandler) -> None:
    """Let the peer close the connection."""
    handler.eof_received()


def lose(handler: CheckedHandler) -> None:
    """Let the connection be reset."""
    handler.connection_lost(ConnectionResetError())


def count_after(change: object) -> tuple[int, int]:
    """Count open connections before and after a change of the only one."""

    async def scenario() -> tuple[int, int]:
        connector = CheckedConnector("service")
        handler = connector._factory()
        handler.connection_made(OpenTransport())
        later = time.monotonic() + 1.0
        before = connector.count_open(ADDRESS, later, 0.0)
        change(handler)
        counts = before, connector.count_open(ADDRESS, later, 0.0)
        await connector.close()
        return counts

    return run(scenario())


# Guards against a killed host that counts as alive because of a connection that ended.
@pytest.mark.parametrize("change", [end, lose])
def test_connection_does_not_count_as_open(change: object) -> None:
    assert count_after(change) == (1, 0)


def test_connections_are_counted_by_address_and_times() -> None:
    async def scenario() -> None:
        connector = CheckedConnector("service")
        begin = time.monotonic()
        handler = connector._factory()
        handler.connection_made(OpenTransport())
        later = time.monotonic() + 1.0
        assert connector.count_open(ADDRESS, later, 0.0) == 1
        assert connector.count_open("127.0.0.1:81", later, 0.0) == 0
        assert connector.count_open(ADDRESS, begin, 0.0) == 0
        assert connector.count_open(ADDRESS, later, begin) == 0
        handler.data_received(b"HTTP/1.1 ")
        assert connector.count_open(ADDRESS, later, begin) == 1
        await connector.close()

    run(scenario())


def open_handler(connector: CheckedConnector) -> CheckedHandler:
    """Open a connection on which a request has been sent."""
    handler = connector._factory()
    handler.connection_made(OpenTransport())
    handler.begin_request()
    handler.set_response_params(read_until_eof=True)
    return handler


def play(reads: list[bytes]) -> tuple[list[tuple[int, bytes]], bool]:
    """Return the queued answers after these reads, and whether more was unsolicited."""
    unsolicited = []

    async def scenario() -> list[tuple[int, bytes]]:
        connector = CheckedConnector("service", lambda: unsolicited.append(True))
        handler = open_handler(connector)
        for read in reads:
            if handler.transport is not None:
                handler.data_received(read)
        if handler.transport is not None:
            handler.connection_lost(None)
        answers = []
        while len(handler):
            message, body = await handler.read()
            answers.append((message.code, await body.read()))
        await connector.close()
        return answers

    return run(scenario()), bool(unsolicited)


def cut(data: bytes, ends: list[int]) -> list[bytes]:
    """Cut data into reads that end at these places."""
    places = [0, *sorted(end % len(data) for end in ends), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(places) if a < b]


# Guards against a process whose memory is filled by answers that nobody waits for.
@pytest.mark.parametrize("name", sorted({*SOUND} - {"no length", "version 1.0"}))
def test_only_the_answer_that_is_waited_for_is_parsed(name: str) -> None:
    answer = make_sound()[name]
    data = answer * (READ_BYTES // len(answer))
    assert play([data]) == ([(200, BODY)], True)


@pytest.mark.parametrize("start", [b"HTTP/1.1 204 None", b"HTTP/1.1 304 Same"])
def test_only_one_answer_without_a_body_is_parsed(start: bytes) -> None:
    data = (start + b"\r\n\r\n") * (READ_BYTES // len(start))
    status = int(start.split()[1])
    assert play([data]) == ([(status, b"")], True)


# Guards against an answer that is read in another way if it arrives in other pieces.
@given(st.sampled_from(SOUND), st.lists(st.integers(0, 10_000), max_size=12))
def test_answer_is_read_however_it_is_cut(name: str, ends: list[int]) -> None:
    assert play(cut(make_sound()[name], ends)) == ([(200, BODY)], False)


@given(
    st.sampled_from(sorted({*SOUND} - {"no length", "version 1.0"})),
    st.lists(st.integers(0, 10_000), max_size=12),
    st.sampled_from([b"\0\1 none", b"HTTP/1.1 200 OK\r\n\r\n", b"zz\r\n"]),
)
def test_answer_is_read_whatever_follows_it(
    name: str, ends: list[int], more: bytes
) -> None:
    answers, _ = play(cut(make_sound()[name] + more, ends))
    assert answers == [(200, BODY)]


# Guards against a reader that goes on after an error, as long as bytes come.
@pytest.mark.parametrize("name", BROKEN_HEADS)
def test_connection_is_closed_at_the_first_error(name: str) -> None:
    async def scenario() -> None:
        connector = CheckedConnector("service")
        handler = open_handler(connector)
        handler.data_received(make_broken()[name] * 1_000)
        assert handler.transport is None
        with pytest.raises(AnswerSyntaxError):
            await handler.read()
        await connector.close()

    run(scenario())
