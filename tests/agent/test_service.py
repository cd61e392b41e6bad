"""Tests of the plain service client: the events that it reports to the core."""

import asyncio
import gc
import itertools
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import Final

import pytest
from aiohttp import web
from eliot import add_destinations, remove_destination

from radishtally.agent import events, service
from radishtally.agent.service import Service
from radishtally.connector import CheckedConnector
from radishtally.links.messages import CALL, Offer, Work
from radishtally.liveness import Liveness, Sign
from radishtally.outcome import Ran
from standins.desk import reset
from tests.agent.upstream import Answer, EventRecorder, reply, serve, stream
from tests.common import READ_SECONDS, run
from tests.gateway.broken import BROKEN, AnsweringHost, make_broken
from tests.gateway.test_early_answers import FRAMINGS, UPLOAD, EarlyHost


def make_offer(**more: object) -> Offer:
    work = Work("r", "team", "desk", CALL, b"body", path="/remind", **more)
    return Offer(work, 1, 30.0)


async def run_call(url: str, offer: Offer) -> EventRecorder:
    recorder = EventRecorder()
    client = Service(url, recorder.record)
    client.run(offer)
    await recorder.wait_end()
    await client.close()
    return recorder


def run_against(answer: Answer, **more: object) -> EventRecorder:
    async def check() -> EventRecorder:
        async with serve(answer) as url:
            return await run_call(url, make_offer(**more))

    return run(check())


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("answer", [stream(b"half", cut=True), stream(cut=True)])
def test_outcome_of_cut_call_is_unknown(answer: Answer, idempotent: bool) -> None:
    last = run_against(answer, idempotent=idempotent).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


# Guards against taking a part of an answer for the whole. The answer has no length, and
# its connection is reset, or is closed because the service is killed.
@pytest.mark.parametrize("is_killed", [False, True], ids=["reset", "killed"])
def test_interrupted_answer_without_length_is_lost(is_killed: bool) -> None:
    async def check() -> EventRecorder:
        async def answer_raw(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nonly a part")
            await asyncio.sleep(0.02)
            if is_killed:
                server.close()
                writer.close()
            else:
                reset(writer)

        server = await asyncio.start_server(answer_raw, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        return await run_call(f"http://127.0.0.1:{port}", make_offer())

    last = run(check()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


# Guards against taking a part for the whole: the service answers a long upload at once
# and resets the connection while the upload is still being written.
@pytest.mark.parametrize("framing", FRAMINGS)
def test_part_of_an_answer_to_an_upload_is_lost(framing: str) -> None:
    async def check() -> EventRecorder:
        host = EarlyHost(framing, "reset", 0.0)
        work = Work("r", "team", "desk", CALL, UPLOAD, path="/remind")
        return await run_call(f"http://{host.listen()}", Offer(work, 1, 30.0))

    last = run(check()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


def test_closed_answer_without_length_is_whole() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        await request.read()
        request.transport.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        request.transport.close()
        return web.Response()

    recorder = run_against(answer)
    assert recorder.events[-1].status == 200
    assert b"".join(recorder.parts) == b"all of it"


# Guards against an answer that reaches the caller though it is none in the protocol.
@pytest.mark.parametrize("name", BROKEN)
def test_outcome_of_a_call_with_a_broken_answer_is_unknown(name: str) -> None:
    async def check() -> EventRecorder:
        host = AnsweringHost("service", make_broken()[name])
        return await run_call(f"http://{host.listen()}", make_offer())

    last = run(check()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


def test_call_to_unreachable_service_did_not_run() -> None:
    async def check() -> EventRecorder:
        async with serve(reply(200, b"")) as url:
            pass
        return await run_call(url, make_offer(idempotent=False))

    last = run(check()).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.NO


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_any_status_is_reported_as_the_answer(status: int) -> None:
    recorder = run_against(reply(status, b"said"))
    assert recorder.events[-1].status == status
    assert b"".join(recorder.parts) == b"said"


def test_call_is_sent_once_with_its_key() -> None:
    # Guards against a call that runs twice. The service gets the call, and the
    # connection ends without an answer; the HTTP library would resend PUT and DELETE.
    seen = []

    async def answer(request: web.Request) -> web.StreamResponse:
        seen.append((request.method, request.headers["Idempotency-Key"]))
        request.transport.abort()
        return web.Response()

    for method in ("POST", "PUT", "DELETE"):
        run_against(answer, method=method, key="k", idempotent=False)
    assert seen == [("POST", "k"), ("PUT", "k"), ("DELETE", "k")]


def test_hung_call_frees_its_slot(monkeypatch: pytest.MonkeyPatch) -> None:
    # A service that never answers must not occupy a slot, and block a drain, for ever.
    # At its deadline the caller got the outcome "unknown".
    monkeypatch.setattr(service, "CALL_TIMEOUT_SECONDS", 0.1)

    async def hang(request: web.Request) -> web.StreamResponse:
        await request.content.read()
        await asyncio.sleep(30.0)
        return web.Response()

    last = run_against(hang, idempotent=False).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


def test_answer_size_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service, "MAX_ANSWER_BYTES", 1_000)
    last = run_against(reply(200, b"x" * 2_000)).events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
UNFRAMED: Final = b"HTTP/1.1 200 OK\r\n\r\n"
EMPTY_ANSWER: Final = b"HTTP/1.1 %d Any\r\nContent-Length: 0\r\n\r\n"
QUEUE_SIZE: Final = 8
"""Connections that certainly fill a listener's queue for one."""
SECOND: Final = Offer(Work("s", "team", "desk", CALL, b"body", path="/remind"), 1, 30.0)


@asynccontextmanager
async def serve_raw(serve_connection: Serve) -> AsyncIterator[str]:
    """Serve connections on a free port; yield the URL."""
    server = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
    async with server:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def read_method(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    return head.split()[0]


async def answer_empty(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, status: int
) -> None:
    await read_method(reader)
    writer.write(EMPTY_ANSWER % status)
    writer.close()


async def end_connection(
    how: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """End a connection as a relay does whose target is gone."""
    match how:
        case "closes":
            writer.close()
        case "resets":
            reset(writer)
        case "hangs":
            await reader.read()
            await reader.read()
            writer.close()
        case _:
            await answer_empty(reader, writer, int(how))


def assert_whole(recorder: EventRecorder, body: bytes) -> None:
    assert isinstance(recorder.events[-1], events.Completed)
    assert b"".join(recorder.parts) == body


def assert_lost(recorder: EventRecorder, sign: Sign) -> None:
    last = recorder.events[-1]
    assert isinstance(last, events.Failed) and last.ran == Ran.UNKNOWN
    assert sign in last.reason


RELAYS: Final = {
    "closes": Sign.CLOSED,
    "resets": Sign.CLOSED,
    "502": Sign.UNCLEAR,
    "503": Sign.UNCLEAR,
    "504": Sign.UNCLEAR,
    "hangs": Sign.SILENT,
}


# Guards against a part of an answer passing as the whole: its service is killed, and a
# relay in front of it goes on accepting connections.
@pytest.mark.parametrize("relay", RELAYS)
def test_answer_without_length_of_a_killed_service_behind_a_relay_is_lost(
    relay: str,
) -> None:
    connections = itertools.count()

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if next(connections):
            await end_connection(relay, reader, writer)
            return
        await read_method(reader)
        writer.write(UNFRAMED + b"only a part")
        writer.close()

    async def check() -> EventRecorder:
        async with serve_raw(serve_connection) as url:
            return await run_call(url, make_offer())

    lines: list[dict[str, object]] = []
    add_destinations(lines.append)
    # The first destination gets the lines of earlier tests.
    lines.clear()
    try:
        assert_lost(run(check()), RELAYS[relay])
    finally:
        remove_destination(lines.append)
    [line] = [
        line for line in lines if line["message_type"] == "service:answer_unframed"
    ]
    assert line["request"] == "r" and line["sign"] == RELAYS[relay]
    assert line["liveness"] != Liveness.ALIVE and line["open_connections"] == 0


# Guards against a lost answer of a sound service that is at its limit of connections
# until it has noticed that the one of the answer is closed.
def test_answer_without_length_is_whole_if_service_resets_a_second_connection() -> None:
    connections = itertools.count()

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        match next(connections):
            case 0:
                await read_method(reader)
                writer.write(UNFRAMED + b"all of it")
                writer.close()
            case 1:
                reset(writer)
            case _:
                await answer_empty(reader, writer, 405)

    async def check() -> EventRecorder:
        async with serve_raw(serve_connection) as url:
            return await run_call(url, make_offer())

    assert_whole(run(check()), b"all of it")


async def run_beside_open_call(url: str) -> tuple[EventRecorder, EventRecorder]:
    """Run a call that stays open, and another one; return both once that has ended."""
    opened, ended = EventRecorder(), EventRecorder()
    recorders = {"r": opened, "s": ended}
    client = Service(url, lambda event: recorders[event.request].record(event))
    client.run(make_offer())
    while not opened.parts:
        await asyncio.sleep(0.001)
    client.run(SECOND)
    await ended.wait_end()
    await client.close()
    return opened, ended


# Guards against a lost answer of a sound service whose limit of connections is used up
# by others: it resets new connections, and keeps those that it has.
@pytest.mark.parametrize("host", ["127.0.0.1", "localhost"])
def test_answer_without_length_is_whole_beside_an_older_open_connection(
    host: str,
) -> None:
    connections = itertools.count()

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        match next(connections):
            case 0:
                await read_method(reader)
                writer.write(UNFRAMED + b"still open")
                while not reader.at_eof():
                    writer.write(b".")
                    with suppress(TimeoutError):
                        async with asyncio.timeout(0.05):
                            await reader.read()
                writer.close()
            case 1:
                await read_method(reader)
                writer.write(UNFRAMED + b"all of it")
                writer.close()
            case _:
                reset(writer)

    async def check() -> EventRecorder:
        async with serve_raw(serve_connection) as url:
            named = url.replace("127.0.0.1", host)
            return (await run_beside_open_call(named))[1]

    assert_whole(run(check()), b"all of it")


# Guards against a part of an answer passing as the whole behind a link that is cut: the
# connections over it stay open, and new ones get no answer.
def test_answer_without_length_is_lost_if_service_is_cut_off() -> None:
    async def check() -> EventRecorder:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0), backlog=1) as server:
            server.setblocking(False)
            address = server.getsockname()
            url = f"http://127.0.0.1:{address[1]}"
            call = asyncio.create_task(run_beside_open_call(url))
            first, _ = await loop.sock_accept(server)
            await loop.sock_recv(first, 1024)
            await loop.sock_sendall(first, UNFRAMED + b"still open")
            second, _ = await loop.sock_accept(server)
            await loop.sock_recv(second, 1024)
            # The kernel drops further attempts to connect once its queue is full.
            queued = [socket.socket() for _ in range(QUEUE_SIZE)]
            for client in queued:
                client.setblocking(False)
                client.connect_ex(address)
            await loop.sock_sendall(second, UNFRAMED + b"only a part")
            second.close()
            _, ended = await call
            for client in (first, *queued):
                client.close()
            return ended

    assert_lost(run(check()), Sign.UNREACHED)


class OpenTransport(asyncio.Transport):
    """Stand for the transport of an open connection."""

    def is_closing(self) -> bool:
        return False


# Guards against a service with an IPv6 address that is taken for ended because its open
# connections are not found.
def test_open_connections_of_an_ipv6_peer_are_counted() -> None:
    async def check() -> int:
        connector = CheckedConnector("service")
        handler = connector._factory()
        transport = OpenTransport({"peername": ("::1", 80, 0, 0)})
        handler.connection_made(transport)
        count = connector.count_open("::1:80", time.monotonic() + 1.0, 0.0)
        await connector.close()
        return count

    assert run(check()) == 1


# Guards against a probe that outlives its client and fails on the closed session.
def test_close_of_the_client_ends_its_probes() -> None:
    connections = itertools.count()

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if next(connections):
            queried.set()
            await reader.read()
        else:
            await read_method(reader)
            writer.write(UNFRAMED + b"all of it")
        writer.close()

    queried = asyncio.Event()

    async def check() -> list[dict[str, object]]:
        faults: list[dict[str, object]] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: faults.append(context))
        async with serve_raw(serve_connection) as url:
            client = Service(url, EventRecorder().record)
            client.run(make_offer())
            await queried.wait()
            before = asyncio.all_tasks()
            await client.close()
            await asyncio.wait(before - {asyncio.current_task()}, timeout=5.0)
            gc.collect()
        return faults

    assert run(check()) == []


# Guards against connections to a killed service that vouch for it because their ends
# arrive a little later than that of the answer.
def test_answer_without_length_is_lost_if_older_connections_end_soon_after() -> None:
    connections = itertools.count()
    killed = asyncio.Event()

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        match next(connections):
            case 0:
                await read_method(reader)
                writer.write(UNFRAMED + b"a part")
                await killed.wait()
            case 1:
                await read_method(reader)
                writer.write(UNFRAMED + b"only a part")
            case _:
                killed.set()
        writer.close()

    async def check() -> tuple[EventRecorder, EventRecorder]:
        async with serve_raw(serve_connection) as url:
            return await run_beside_open_call(url)

    opened, ended = run(check())
    assert_lost(ended, Sign.CLOSED)
    assert not isinstance(opened.events[-1], events.Completed)


# Guards against a service that is flooded with probes when many of its answers end at
# once. Those that end during a probe share the next one.
def test_answers_without_length_that_end_together_share_a_probe() -> None:
    total = 6
    queries = []
    closed = itertools.count(1)
    all_closed = asyncio.Event()
    all_begun = asyncio.Barrier(total)

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if await read_method(reader) == b"OPTIONS":
            queries.append(1)
            await all_closed.wait()
            await asyncio.sleep(READ_SECONDS)
            writer.write(EMPTY_ANSWER % 200)
            writer.close()
            return
        await all_begun.wait()
        writer.write(UNFRAMED + b"all of it")
        writer.write_eof()
        while await reader.read(1024):
            pass
        writer.close()
        if next(closed) == total:
            all_closed.set()

    async def check() -> list[EventRecorder]:
        async with serve_raw(serve_connection) as url:
            recorders = {str(number): EventRecorder() for number in range(total)}
            client = Service(url, lambda event: recorders[event.request].record(event))
            for request in recorders:
                work = Work(request, "team", "desk", CALL, b"body", path="/remind")
                client.run(Offer(work, 1, 30.0))
            for recorder in recorders.values():
                await recorder.wait_end()
            await client.close()
            return list(recorders.values())

    for recorder in run(check()):
        assert_whole(recorder, b"all of it")
    assert len(queries) == 2
