"""Run the HTTP server alone, with a backend whose answers the test sets."""

import asyncio
import itertools
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from sanic import Sanic

from bench.fleet import read_sample
from radishtally.configuration.core import merge_files
from radishtally.entry import connections
from radishtally.entry.callers import Directory, TokenRatio
from radishtally.entry.http import make_app
from radishtally.links.messages import Finished, Work
from radishtally.outcome import Refusal
from radishtally.serving.events import (
    AbortAnswer,
    Deliver,
    EndStream,
    Refuse,
    SendFullAnswer,
)
from radishtally.serving.replies import Reply
from tests.common import START_SECONDS

KEY = "lagna-demo-key"
CHAT_PATH = "/v1/chat/completions"
CHAT_BODY = {
    "model": "gown-llm",
    "messages": [{"role": "user", "content": "Which darts?"}],
    "max_tokens": 4,
}
NUMBERS = itertools.count()


class FakeBackend:
    """Answer every request with the parts that the test has set."""

    def __init__(self) -> None:
        merged = merge_files(read_sample("lagna"))
        self.directory: Directory | None = Directory(merged.ok)
        self.ratio = TokenRatio()
        self.parts: list[bytes | Refusal] = []
        self.whole = b""
        self.status = 200
        self.broken = False
        self.stopping = False
        self.works: list[Work] = []
        self.timeouts: list[float] = []
        self.closed: list[bool] = []
        self.was_closed = asyncio.Event()

    def open(self, work: Work, timeout: float, streamed: bool) -> asyncio.Queue[Reply]:
        if self.broken:
            raise AssertionError("a prompt that must not be shown")
        self.works.append(work)
        self.timeouts.append(timeout)
        queue: asyncio.Queue[Reply] = asyncio.Queue()
        has_part = False
        for part in self.parts:
            if isinstance(part, Refusal):
                kind = AbortAnswer if has_part else Refuse
                queue.put_nowait(kind(work.request, part))
            elif streamed:
                has_part = True
                queue.put_nowait(Deliver(work.request, part))
        if self.whole:
            queue.put_nowait(self._finish(work.request, has_part))
        return queue

    def _finish(self, request: str, has_part: bool) -> SendFullAnswer | EndStream:
        length = len(self.whole)
        end = Finished(request, 1, length, 0, self.status, "stop", 3, 4)
        return (
            EndStream(request, end)
            if has_part
            else SendFullAnswer(request, end, self.whole)
        )

    def close(self, request: str, done: bool) -> None:
        self.closed.append(done)
        self.was_closed.set()

    def is_ready(self) -> bool:
        return self.directory is not None and not self.stopping

    def is_closed(self) -> bool:
        return self.stopping


class Reply(NamedTuple):
    """Hold a complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict:
        """Return the error object of the body."""
        return json.loads(self.body)["error"]


class Collector(asyncio.Protocol):
    """Collect the received bytes, even if the peer then resets the connection.

    A server that refuses a request closes with part of it unread, which resets the
    connection. asyncio's streams may then raise the error and lose the refusal.
    """

    def __init__(self) -> None:
        self.received = bytearray()
        self.closed = asyncio.Event()

    def data_received(self, data: bytes) -> None:
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed.set()


class Wire(NamedTuple):
    """Connect to a served application."""

    ip: str
    port: int
    backend: FakeBackend

    async def connect(self) -> tuple[asyncio.Transport, "Collector"]:
        """Open a connection that collects the received bytes."""
        loop = asyncio.get_running_loop()
        return await loop.create_connection(Collector, self.ip, self.port)

    async def send(self, data: bytes) -> Reply:
        """Send bytes and read until the connection is closed."""
        transport, collector = await self.connect()
        transport.write(data)
        async with asyncio.timeout(START_SECONDS):
            await collector.closed.wait()
        return read_reply(bytes(collector.received))

    async def ask(
        self,
        path: str = CHAT_PATH,
        body: object = CHAT_BODY,
        *,
        method: str = "POST",
        key: str | bytes = KEY,
        headers: bytes = b"",
    ) -> Reply:
        """Send one request on a new connection."""
        return await self.send(format_request(path, body, method, key, headers))


def format_request(
    path: str, body: object, method: str, key: str | bytes, headers: bytes
) -> bytes:
    """Format a request; a body of bytes is sent unchanged, any other as JSON."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    secret = key if isinstance(key, bytes) else key.encode()
    return (
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n".encode()
        + b"Authorization: Bearer %b\r\n%b" % (secret, headers)
        + b"Content-Length: %d\r\n\r\n%b" % (len(data), data)
    )


def read_reply(whole: bytes) -> Reply:
    """Parse a response that ended with its connection."""
    head, _, body = whole.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    pairs = (line.split(": ", 1) for line in lines)
    headers = {name.lower(): value for name, value in pairs}
    if headers.get("transfer-encoding") == "chunked":
        body = join_chunks(body)
    return Reply(int(first.split(" ")[1]), headers, body)


def join_chunks(body: bytes) -> bytes:
    """Join the chunks of a body, as far as it was received."""
    joined = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        joined += body[:length]
        body = body[length + 2 :]
    return joined


@asynccontextmanager
async def serve(caller_seconds: float = 20.0) -> AsyncIterator[Wire]:
    """Run the HTTP server on a port chosen by the system."""
    backend = FakeBackend()
    app = make_app(backend, f"test-{next(NUMBERS)}", caller_seconds)
    listener = socket.create_server(("127.0.0.1", 0))
    # sanic starts a second application in one process only in test mode.
    Sanic.test_mode = True
    server = await connections.serve(app, listener)
    Sanic.test_mode = False
    try:
        yield Wire(*listener.getsockname(), backend)
    finally:
        server.close()
        await server.wait_closed()
        for connection in list(server.connections):
            connection.close()
