"""Tests of entries and agents under clients that don't keep to the limits."""

import asyncio
from collections.abc import Iterator
from functools import partial

import pytest

from bench.fleet import Fleet
from tests.clients.common import (
    Process,
    ask,
    make_bad_heads,
    make_head,
    play_crowd,
    play_endless_crowd,
    send_endlessly,
    wait_for_descriptors,
    wait_until_connected,
)
from tests.clients.test_peers import CROWDS
from tests.integration.common import set_fault

MEMORY_MB = 300
"""Memory of most machines that serve callers."""
KEY = "Authorization: Bearer lagna-demo-key\r\n"
GET, POST = "/v1/models", "/services/booking-app/slots"
HEADS = make_bad_heads(GET, POST)
STOPPED_CLIENTS = 1_500
STOPPED_BYTES = 90_000
LARGE_BYTES = 4_000_000
"""Within the default limit on bodies."""
PIPELINED = 2_000
"""Requests of each pipeline; more bytes than a connection reads ahead."""


@pytest.fixture
def entry(small_fleet: Fleet) -> Iterator[Process]:
    """Run an entry that is started anew for one test."""
    yield restart(small_fleet, "entry-1")


@pytest.fixture
def agent(small_fleet: Fleet) -> Iterator[Process]:
    """Run an agent that is started anew for one test."""
    yield restart(small_fleet, "booking-1")


def restart(fleet: Fleet, host: str) -> Process:
    """Start a host's daemon anew, and wait until the fleet serves."""
    fleet.kill(host)
    child = fleet.start_daemon(host)
    fleet.wait_until(fleet.is_ready, "the fleet to be ready")
    settings = fleet.settings[host]
    addresses = {"links": settings["address"]}
    if "http_address" in settings:
        addresses["callers"] = settings["http_address"]
        asyncio.run(ask_entry(addresses["callers"]))
    return Process(child.process, addresses)


def make_post(size: int) -> bytes:
    """Make the head of a request with a body."""
    return make_head(POST, "POST", f"{KEY}Content-Length: {size}\r\n")


def make_chunked_post() -> bytes:
    """Make the head of a request with a body in chunks."""
    return make_head(POST, "POST", f"{KEY}Transfer-Encoding: chunked\r\n")


async def ask_entry(address: str) -> None:
    """Send ordinary requests with and without a body."""
    await ask(address, lambda: make_head(GET, more=KEY))
    for size in (100, STOPPED_BYTES):
        await ask(address, lambda size=size: make_post(size) + size * b"b")


async def play_and_ask(
    process: Process, first: bytes, piece: bytes, **more: object
) -> None:
    """Let a crowd send; ask the entry beside it and afterwards."""
    before, address = process.count_descriptors(), process.addresses["callers"]
    await play_crowd(
        address,
        partial(send_endlessly, first=first, piece=piece, **more),
        while_open=partial(ask_entry, address),
    )
    await wait_for_descriptors(process, before)
    await ask_entry(address)


# Guards against entries that are killed for the memory of heads without end, or over
# the limit.
@pytest.mark.alone
@pytest.mark.parametrize("kind", HEADS)
def test_memory_of_entry_is_bounded_under_bad_heads(kind: str, entry: Process) -> None:
    before, address = entry.count_descriptors(), entry.addresses["callers"]

    async def play() -> None:
        await play_endless_crowd(address, *HEADS[kind])
        await wait_for_descriptors(entry, before)
        await ask_entry(address)

    asyncio.run(play())
    entry.check(MEMORY_MB)


# Guards against entries that spend their memory and their time on chunks of one byte.
@pytest.mark.alone
def test_entry_answers_beside_bodies_in_tiny_chunks(entry: Process) -> None:
    piece = 10_000 * b"1\r\nx\r\n"
    asyncio.run(play_and_ask(entry, make_chunked_post(), piece))
    entry.check(MEMORY_MB)


# Guards against large bodies that together take the memory of an entry.
@pytest.mark.alone
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_memory_of_entry_is_bounded_under_large_bodies(
    framing: str, entry: Process
) -> None:
    head, piece = make_post(LARGE_BYTES), 50_000 * b"b"
    if framing == "chunks":
        head, piece = make_chunked_post(), b"c350\r\n" + piece + b"\r\n"
    sent = LARGE_BYTES - 100_000
    asyncio.run(play_and_ask(entry, head, piece, max_bytes=sent))
    entry.check(MEMORY_MB)


# Guards against many clients who stop within a request and together take the memory of
# an entry, or leave no room for others.
@pytest.mark.alone
@pytest.mark.parametrize("part", ["head", "body", "chunks"])
def test_memory_of_entry_is_bounded_under_stopped_requests(
    part: str, entry: Process
) -> None:
    before, address = entry.count_descriptors(), entry.addresses["callers"]
    first = {
        "head": make_head(GET)[:-2] + b"X-Field: " + 15_000 * b"x",
        "body": make_post(STOPPED_BYTES) + (STOPPED_BYTES - 1) * b"b",
        "chunks": make_chunked_post()
        + b"%x\r\n" % STOPPED_BYTES
        + (STOPPED_BYTES - 1) * b"b",
    }[part]

    async def play() -> None:
        await play_crowd(
            address,
            partial(send_endlessly, first=first[:-1], piece=first[-1:], max_bytes=1),
            STOPPED_CLIENTS,
            while_open=partial(ask_entry, address),
        )
        await wait_for_descriptors(entry, before)
        await ask_entry(address)

    asyncio.run(play())
    entry.check(MEMORY_MB)


# Guards against connections of clients who have left, which were held until the
# requests of their pipelines were answered.
@pytest.mark.alone
def test_pipelines_at_entry_of_clients_who_left_are_given_back(
    small_fleet: Fleet, entry: Process
) -> None:
    service = small_fleet.upstreams["booking-1"].url
    set_fault(service, mode="slow", seconds=60)
    before, address = entry.count_descriptors(), entry.addresses["callers"]

    async def play() -> None:
        requests = PIPELINED * make_head(POST, more=KEY)
        await play_crowd(
            address,
            partial(send_endlessly, first=requests, piece=b"\r\n", max_bytes=1),
            while_open=partial(wait_until_connected, entry, before),
        )
        await wait_for_descriptors(entry, before)
        set_fault(service, mode="up")
        await ask_entry(address)

    asyncio.run(play())
    entry.check(MEMORY_MB)


# Guards against answers in a pipeline that fill the memory as nobody reads them.
@pytest.mark.alone
def test_memory_of_entry_is_bounded_under_pipelines_that_nobody_reads(
    entry: Process,
) -> None:
    asyncio.run(play_and_ask(entry, b"", 100 * make_head(GET, more=KEY)))
    entry.check(MEMORY_MB)


# Guards against limits that refuse a body of the full size, also one in chunks.
@pytest.mark.alone
@pytest.mark.parametrize("chunk_bytes", [0, 100, 1_000_000])
def test_body_of_the_full_size_is_served_by_entry(
    chunk_bytes: int, entry: Process
) -> None:
    body = LARGE_BYTES * b"b"
    request = make_post(len(body)) + body
    if chunk_bytes:
        chunk = b"%x\r\n" % chunk_bytes + chunk_bytes * b"b" + b"\r\n"
        request = make_chunked_post() + len(body) // chunk_bytes * chunk + b"0\r\n\r\n"
    asyncio.run(ask(entry.addresses["callers"], lambda: request))


# Guards against processes that are killed for the memory of bytes on the address of
# their links, before the shared key has been seen.
@pytest.mark.alone
@pytest.mark.parametrize("kind", CROWDS)
@pytest.mark.parametrize("role", ["entry", "agent"])
def test_memory_is_bounded_on_links_without_the_shared_key(
    role: str, kind: str, small_fleet: Fleet, request: pytest.FixtureRequest
) -> None:
    process: Process = request.getfixturevalue(role)
    before = process.count_descriptors()

    async def play() -> None:
        await play_endless_crowd(process.addresses["links"], *CROWDS[kind])
        await wait_for_descriptors(process, before)
        await ask_entry(small_fleet.settings["entry-1"]["http_address"])

    asyncio.run(play())
    process.check(MEMORY_MB)
