"""Tests of the links' addresses under clients without the shared key."""

import asyncio
import struct

import pytest
from hpack import Encoder

from tests.clients.common import (
    Process,
    ask_gateway,
    play_endless_crowd,
    wait_for_descriptors,
)

PEER_CLIENTS = 180
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS, PING, CONTINUATION, UNKNOWN = 0, 1, 4, 6, 9, 99
END_HEADERS = 4
MAX_PAYLOAD = 16_384


def make_frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    """Make a frame of HTTP/2."""
    length = struct.pack(">I", len(payload))[1:]
    return length + struct.pack(">BBI", kind, flags, stream) + payload


def make_request_headers() -> bytes:
    """Encode the headers of a call without a key."""
    pairs = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/radishtally.Link/Exchange"),
        (":authority", "gateway"),
        ("content-type", "application/grpc+radishtally"),
        ("te", "trailers"),
    ]
    return Encoder().encode(pairs)


OPENING = PREFACE + make_frame(SETTINGS, 0, 0, b"")
BLOCK = make_request_headers()
CALL = make_frame(HEADERS, END_HEADERS, 1, BLOCK)
CALLS = b"".join(
    make_frame(HEADERS, END_HEADERS, number, BLOCK) for number in range(1, 20_000, 2)
)
CROWDS = {
    "binary": (b"", bytes(range(256))),
    "binary frames": (OPENING, bytes(range(256))),
    "unknown frames": (OPENING, make_frame(UNKNOWN, 0, 0, MAX_PAYLOAD * b"x")),
    "pings": (OPENING, make_frame(PING, 0, 0, 8 * b"p")),
    "settings": (OPENING, make_frame(SETTINGS, 0, 0, b"")),
    "unfinished headers": (
        OPENING + make_frame(HEADERS, 0, 1, BLOCK),
        make_frame(CONTINUATION, 0, 1, MAX_PAYLOAD * b"x"),
    ),
    "data": (OPENING + CALL, make_frame(DATA, 0, 1, MAX_PAYLOAD * b"x")),
    "calls": (OPENING, CALLS),
}


# Guards against gateways that are killed for the memory of bytes on the address of
# their links, before the shared key has been seen.
@pytest.mark.alone
@pytest.mark.parametrize("kind", CROWDS)
def test_memory_is_bounded_without_the_shared_key(kind: str, gateway: Process) -> None:
    before = gateway.count_descriptors()

    async def play() -> None:
        await play_endless_crowd(
            gateway.addresses["peers"], *CROWDS[kind], clients=PEER_CLIENTS
        )
        await wait_for_descriptors(gateway, before)
        await ask_gateway(gateway)

    asyncio.run(play())
    gateway.check()
