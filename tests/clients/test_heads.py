"""Tests of gateways under heads that are over the limit, without end or unfinished."""

import asyncio
from functools import partial

import pytest

from tests.clients.common import (
    Process,
    ask_gateway,
    make_bad_heads,
    make_head,
    play_crowd,
    play_endless_crowd,
    send_endlessly,
    wait_for_descriptors,
)

HEADS = make_bad_heads("/read/x", "/book/x")
START = make_head("/read/x")[:-2]
UNFINISHED_CLIENTS = 1_500
UNFINISHED_BYTES = 15_000
"""Part of a head that is within the limit."""
TRICKLE_BYTES = 50
BAD_CONNECTIONS = 3_000
BAD_AT_A_TIME = 60


# Guards against gateways that are killed for the memory of heads without end, or over
# the limit, on any of their HTTP addresses.
@pytest.mark.alone
@pytest.mark.parametrize("listener", ["callers", "ready", "metrics"])
@pytest.mark.parametrize("kind", HEADS)
def test_memory_is_bounded_under_bad_heads(
    kind: str, listener: str, gateway: Process
) -> None:
    before = gateway.count_descriptors()

    async def play() -> None:
        await play_endless_crowd(gateway.addresses[listener], *HEADS[kind])
        await wait_for_descriptors(gateway, before)
        await ask_gateway(gateway)

    asyncio.run(play())
    gateway.check()


# Guards against unfinished heads within the limit that together take the memory, or
# that keep others from being served.
@pytest.mark.alone
@pytest.mark.parametrize("listener", ["callers", "ready", "metrics"])
def test_memory_is_bounded_under_unfinished_heads(
    listener: str, gateway: Process
) -> None:
    head = START + b"X-Field: " + UNFINISHED_BYTES * b"x"
    before = gateway.count_descriptors()

    async def play() -> None:
        await play_crowd(
            gateway.addresses[listener],
            partial(send_endlessly, first=head, piece=b"x", max_bytes=1),
            UNFINISHED_CLIENTS,
            while_open=partial(ask_gateway, gateway),
        )
        await wait_for_descriptors(gateway, before)
        await ask_gateway(gateway)

    asyncio.run(play())
    gateway.check()


# Guards against many fields, which take more memory than their bytes, in unfinished
# heads.
@pytest.mark.alone
def test_memory_is_bounded_under_unfinished_heads_of_many_fields(
    gateway: Process,
) -> None:
    fields = b"".join(b"f-%d: v\r\n" % number for number in range(120))

    async def play() -> None:
        await play_crowd(
            gateway.addresses["callers"],
            partial(send_endlessly, first=START + fields, piece=b"x", max_bytes=1),
            UNFINISHED_CLIENTS,
            while_open=partial(ask_gateway, gateway),
        )
        await ask_gateway(gateway)

    asyncio.run(play())
    gateway.check()


# Guards against clients who send a head byte by byte and hold up others.
@pytest.mark.alone
def test_callers_are_answered_beside_heads_that_trickle_in(gateway: Process) -> None:
    head = make_head("/read/x")

    async def trickle(writer: asyncio.StreamWriter) -> None:
        for number in range(TRICKLE_BYTES):
            writer.write(head[number : number + 1])
            await asyncio.sleep(0.01)

    async def play() -> None:
        await play_crowd(
            gateway.addresses["callers"],
            trickle,
            while_open=partial(ask_gateway, gateway),
        )

    asyncio.run(play())
    gateway.check()


# Guards against bad connections in quick succession that keep others from being served.
@pytest.mark.alone
def test_callers_are_answered_after_many_bad_connections(gateway: Process) -> None:
    before = gateway.count_descriptors()
    address = gateway.addresses["callers"]

    async def play() -> None:
        send = partial(send_endlessly, first=b"", piece=b"\x00", max_bytes=1)
        for _ in range(0, BAD_CONNECTIONS, BAD_AT_A_TIME):
            await play_crowd(address, send, BAD_AT_A_TIME)
        await wait_for_descriptors(gateway, before)
        await ask_gateway(gateway)

    asyncio.run(play())
    gateway.check()


# Guards against limits that refuse a head of the full size, also one that comes in
# pieces.
@pytest.mark.alone
@pytest.mark.parametrize("pieces", [1, 200])
def test_head_of_the_full_size_is_served(pieces: int, gateway: Process) -> None:
    start = make_head("/read/x")[:-2]
    head = start + b"X-Field: " + (16_000 - len(start)) * b"x" + b"\r\n\r\n"

    async def play() -> None:
        reader, writer = await asyncio.open_connection(
            *gateway.addresses["callers"].rsplit(":", 1)
        )
        size = len(head) // pieces + 1
        for start in range(0, len(head), size):
            writer.write(head[start : start + size])
            await asyncio.sleep(0.002)
        assert (await reader.readline()).split()[1] == b"200"
        writer.close()

    asyncio.run(play())


# Guards against a limit on connections with unfinished heads that closes idle ones.
@pytest.mark.alone
def test_idle_connection_is_served_beside_bad_heads(gateway: Process) -> None:
    async def play() -> None:
        address = gateway.addresses["callers"]
        reader, writer = await asyncio.open_connection(*address.rsplit(":", 1))
        for _ in range(2):
            writer.write(make_head("/read/x"))
            assert (await reader.readline()).split()[1] == b"200"
            await read_rest(reader)
            await play_endless_crowd(address, *HEADS["field"])
        writer.close()

    asyncio.run(play())


async def read_rest(reader: asyncio.StreamReader) -> None:
    """Read the rest of an answer whose length is given."""
    length = 0
    while (line := await reader.readline()) != b"\r\n":
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    await reader.readexactly(length)
