"""Tests of gateways under bodies over the limit, stopped, or in tiny chunks."""

import asyncio
from functools import partial

import pytest

from tests.clients.common import (
    PIECE_BYTES,
    Process,
    ask,
    ask_gateway,
    make_head,
    play_crowd,
    send_endlessly,
    wait_for_descriptors,
)

ANNOUNCING_CLIENTS = 120
ANNOUNCED_BYTES = 10**12
STOPPED_CLIENTS = 1_500
LARGE_BODY_BYTES = 90_000
SMALL_BODY_BYTES = 60_000
"""Less than the size up to which bodies need not wait for room."""


def make_post(size: int) -> bytes:
    """Make the head of a request with a body."""
    return make_head("/book/x", "POST", f"Content-Length: {size}\r\n")


async def ask_with_bodies(gateway: Process) -> None:
    """Send ordinary requests with and without a body."""
    await ask_gateway(gateway)
    for size in (SMALL_BODY_BYTES, LARGE_BODY_BYTES):
        address = gateway.addresses["callers"]
        await ask(address, lambda size=size: make_post(size) + size * b"b")


# Guards against the memory of bodies that are read although they are refused.
@pytest.mark.alone
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_memory_is_bounded_under_bodies_over_the_limit(
    framing: str, gateway: Process
) -> None:
    before = gateway.count_descriptors()
    head, piece = make_post(ANNOUNCED_BYTES), PIECE_BYTES * b"b"
    if framing == "chunks":
        head = make_head("/book/x", "POST", "Transfer-Encoding: chunked\r\n")
        piece = b"10000\r\n" + piece + b"\r\n"

    async def play() -> None:
        await play_crowd(
            gateway.addresses["callers"],
            partial(send_endlessly, first=head, piece=piece),
            ANNOUNCING_CLIENTS,
        )
        await wait_for_descriptors(gateway, before)
        await ask_with_bodies(gateway)

    asyncio.run(play())
    gateway.check()


# Guards against clients who stop within bodies, which together take the memory, or
# leave no room for the bodies of others.
@pytest.mark.alone
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("size", [SMALL_BODY_BYTES, LARGE_BODY_BYTES])
def test_memory_is_bounded_under_stopped_bodies(
    size: int, framing: str, gateway: Process
) -> None:
    before = gateway.count_descriptors()
    head = make_post(size)
    if framing == "chunks":
        head = make_head("/book/x", "POST", "Transfer-Encoding: chunked\r\n")
        head += b"%x\r\n" % size

    async def play() -> None:
        await play_crowd(
            gateway.addresses["callers"],
            partial(send_endlessly, first=head, piece=(size - 1) * b"b", max_bytes=1),
            STOPPED_CLIENTS,
            while_open=partial(ask_with_bodies, gateway),
        )
        await wait_for_descriptors(gateway, before)
        await ask_with_bodies(gateway)

    asyncio.run(play())
    gateway.check()


# Guards against the memory and the processor time of bodies in chunks of one byte.
@pytest.mark.alone
def test_memory_is_bounded_under_tiny_chunks(gateway: Process) -> None:
    head = make_head("/book/x", "POST", "Transfer-Encoding: chunked\r\n")

    async def play() -> None:
        await play_crowd(
            gateway.addresses["callers"],
            partial(send_endlessly, first=head, piece=10_000 * b"1\r\nx\r\n"),
            while_open=partial(ask_with_bodies, gateway),
        )
        await ask_with_bodies(gateway)

    asyncio.run(play())
    gateway.check()


# Guards against limits that refuse a body of the full size, also one in chunks.
@pytest.mark.alone
@pytest.mark.parametrize("chunk_bytes", [0, 10, 100_000])
def test_body_of_the_full_size_is_served(chunk_bytes: int, gateway: Process) -> None:
    body = 100_000 * b"b"
    request = make_post(len(body)) + body
    if chunk_bytes:
        head = make_head("/book/x", "POST", "Transfer-Encoding: chunked\r\n")
        chunk = b"%x\r\n" % chunk_bytes + chunk_bytes * b"b" + b"\r\n"
        request = head + len(body) // chunk_bytes * chunk + b"0\r\n\r\n"

    async def play() -> None:
        address = gateway.addresses["callers"]
        reader, writer = await asyncio.open_connection(*address.rsplit(":", 1))
        writer.write(request)
        assert (await reader.readline()).split()[1] == b"200"
        writer.close()

    asyncio.run(play())
