"""Tests of the bounded parser of HTTP requests."""

import asyncio
from typing import Any

import pytest
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpRequestParser

from radishtally.inbound.const import MAX_HEAD_BYTES
from radishtally.inbound.http import NOTHING, BoundedParser
from tests.common import run

HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n"
UPGRADE = HEAD + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class Feeding:
    """Feed a bounded parser, and note what it reports."""

    def __init__(self, loop: Any) -> None:
        protocol = BaseProtocol(loop)
        parser = HttpRequestParser(
            protocol,
            loop,
            4096,
            max_line_size=2**31 - 1,
            max_field_size=2**31 - 1,
            max_msg_queue_size=2,
        )
        protocol._parser = parser
        self.sizes: list[int] = []
        self.stops = 0
        self.parser = BoundedParser(
            parser, MAX_HEAD_BYTES, self.sizes.append, self._stop
        )

    def _stop(self) -> None:
        self.stops += 1

    def feed(self, data: bytes) -> list[Any]:
        return [message for message, _ in self.parser.feed_data(data)[0]]


async def make_feeding() -> Feeding:
    """Make a parser on the running event loop."""
    return Feeding(asyncio.get_running_loop())


# Guards against a parser that goes on after its first error, and keeps each read as
# text.
@pytest.mark.parametrize(
    "start",
    [b"\x00\x01", HEAD + b"\x00", CHUNKED + b"x\r\n", UPGRADE + b"\x00"],
    ids=["no request", "field", "chunk size", "behind an upgrade"],
)
def test_nothing_is_parsed_after_the_first_error(start: bytes) -> None:
    async def scenario() -> None:
        feeding = await make_feeding()
        with pytest.raises(HttpProcessingError) as error:
            feeding.feed(start + 10_000 * b"\x00")
        assert len(error.value.message) <= 200
        assert feeding.stops == 1
        assert feeding.parser.feed_data(HEAD + b"\r\n") == NOTHING
        assert feeding.stops == 1

    run(scenario())


# Guards against bytes without end that never make the library's parser fail.
@pytest.mark.parametrize(
    ("start", "more"),
    [
        (b"", b"\r\n"),
        (HEAD, b"X: a\r\n"),
        (CHUNKED + b"1;x=", b"x"),
        (CHUNKED + b"0\r\n", b"X: a\r\n"),
    ],
    ids=["empty lines", "fields", "chunk extension", "trailers"],
)
def test_bytes_outside_of_bodies_are_bounded(start: bytes, more: bytes) -> None:
    async def scenario() -> None:
        feeding = await make_feeding()
        feeding.feed(start)
        with pytest.raises(HttpProcessingError):
            for _ in range(0, 4 * MAX_HEAD_BYTES, 1_000 * len(more)):
                feeding.feed(1_000 * more)
        assert feeding.stops == 1

    run(scenario())


# Guards against a count that goes on for requests that have begun to be handled.
def test_handled_request_holds_no_bytes() -> None:
    async def scenario() -> None:
        feeding = await make_feeding()
        feeding.feed(HEAD)
        assert feeding.sizes[-1] > len(HEAD)
        assert len(feeding.feed(b"\r\n")) == 1
        assert feeding.sizes[-1] > len(HEAD)
        feeding.parser.message_consumed()
        assert feeding.sizes[-1] == 0

    run(scenario())


# Guards against requests behind one for an upgrade that are kept unparsed.
def test_request_for_an_upgrade_is_an_ordinary_one() -> None:
    async def scenario() -> None:
        feeding = await make_feeding()
        messages = feeding.feed(UPGRADE + HEAD + b"\r\n")
        assert [message.method for message in messages] == ["GET", "GET"]
        assert feeding.stops == 0

    run(scenario())


# Guards against a tunnel, whose body would never end.
def test_tunnel_is_refused() -> None:
    async def scenario() -> None:
        feeding = await make_feeding()
        with pytest.raises(HttpProcessingError):
            feeding.feed(b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n")

    run(scenario())
