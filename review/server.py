"""Small stand-in of a server: a model engine of one phase, or a plain service."""

import argparse
import asyncio
import itertools
import json
import os
import signal
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict"}
SMALL_BYTES = 800
ROLE_SECONDS = 3.0
NOT_RUN = {"X-Not-Executed": "1"}
Headers = dict[str, str]


class Request:
    """Hold one request."""

    def __init__(
        self, method: str, path: str, headers: Headers, length: int, body: bytes
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body_bytes = length
        self.body = body


class Server:
    """Answer requests as the protocol's page says, and log each run."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.name: str = options["name"]
        self.phase: str = options.get("phase", "")
        self.version: str = options.get("version", "v1")
        self.born: int = options.get("born", 0)
        self.events: int = options.get("events", 4)
        self.event_seconds: float = options.get("event_seconds", 0.02)
        self.work_seconds: float = options.get("work_seconds", 0.05)
        self.answer_bytes: int = options.get("answer_bytes", 800)
        self.unframed: bool = options.get("unframed", False)
        self.chunked: bool = options.get("chunked", False)
        self.spoil_every = 0
        """Each how-manieth stream is spoiled while this is above zero."""
        self.spoil_bytes = 0
        self.streams = 0
        self.extra: Headers = {}
        self.draining = False
        self.fence = 0
        self.orders = 0
        self.is_changing = False
        self.numbers = itertools.count(1)
        self.log = os.open(
            options["log"], os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644
        )

    def write(self, kind: str, **fields: Any) -> None:
        """Write one record."""
        record = {"t": round(time.time(), 4), "kind": kind, "server": self.name}
        os.write(self.log, json.dumps(record | fields).encode() + b"\n")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self.handle(await read_request(reader), writer):
                pass
        writer.close()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection is kept."""
        path = request.path
        if path == "/_set":
            for name, value in json.loads(request.headers["x-set"]).items():
                setattr(self, name, value)
            return await self.reply(writer, 200)
        target = request.headers.get("x-target-instance", self.name)
        if target != self.name:
            return await self.reply(writer, 421, NOT_RUN)
        if path == "/health":
            status = 503 if self.draining else 200
            return await self.reply(writer, status, {"X-Instance-Id": self.name})
        if path.startswith("/api/"):
            return await self.answer_api(request, writer)
        return await self.run(request, writer)

    async def answer_api(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a call about the server itself."""
        own = {"born": self.born} if self.born else {}
        if request.path == "/api/report":
            state = {
                "phase": self.phase,
                "busy": self.is_changing,
                "sequence": self.orders,
            }
            models = [{"name": "m", "version": 1, "adapters": []}]
            return await self.reply_json(writer, {**state, "models": models, **own})
        if request.path == "/api/kv-list":
            return await self.reply_json(writer, {"epoch": 1, "next": 1, "held": []})
        if request.path == "/api/order":
            return await self.reply(writer, self.take_order(json.loads(request.body)))
        return await self.reply(writer, 200)

    def take_order(self, order: dict[str, Any]) -> int:
        """Take an order to change the role; return the status of the answer."""
        if order["fenceToken"] < self.fence:
            return 412
        if self.is_changing or order.get("expected", self.orders) != self.orders:
            return 409
        self.fence = order["fenceToken"]
        if order["phase"] == self.phase:
            return 200
        self.orders += 1
        self.is_changing = True
        self.write("order", owner=order["owner"], phase=order["phase"])
        loop = asyncio.get_running_loop()
        loop.call_later(ROLE_SECONDS, self.change_role, order["phase"])
        return 202

    def change_role(self, phase: str) -> None:
        """Take the ordered role; running work goes on."""
        self.phase, self.is_changing = phase, False
        self.write("phase", phase=phase)

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a request, or read its prompt."""
        name = request.headers["x-request-id"]
        if self.is_changing:
            return await self.reply(writer, 503, NOT_RUN)
        wants_prompt = request.headers.get("x-serving-phase") == "prefill"
        if wants_prompt != (self.phase == "prefill"):
            return await self.reply(writer, 421, NOT_RUN)
        echo = {"X-Request-Id": name}
        if wants_prompt:
            await asyncio.sleep(self.event_seconds)
            handle = f"{self.name}{next(self.numbers):x}"
            answer = {"kvHandle": handle, "tokens": 100, "version": 1}
            return await self.reply_json(writer, answer, echo)
        pieces = self.events if self.phase else 0
        self.write(
            "run", id=name, path=request.path, bytes=request.body_bytes, pieces=pieces
        )
        signature = {"X-Server-Signature": f"{self.name}.{next(self.numbers)}"}
        headers = {**echo, **signature, **self.extra}
        if self.phase:
            return await self.stream(request, writer, headers)
        await asyncio.sleep(self.work_seconds)
        body = (name + " ").encode()
        is_large = request.path.startswith("/album/")
        size = self.answer_bytes if is_large else SMALL_BYTES
        body += b"x" * max(0, size - len(body))
        if not (self.chunked and is_large):
            return await self.reply(writer, 200, headers, body)
        start(writer, 200, {**headers, "Transfer-Encoding": "chunked"})
        for first in range(0, len(body), 50_000):
            writer.write(frame(body[first : first + 50_000]))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def stream(
        self, request: Request, writer: asyncio.StreamWriter, headers: Headers
    ) -> bool:
        """Send the events of an answer, framed or ended by the connection."""
        name = request.headers["x-request-id"]
        headers = {"Content-Type": "text/event-stream", **headers}
        framing = {"Transfer-Encoding": "chunked"}
        if self.unframed:
            framing = {"Connection": "close"}
        start(writer, 200, {**headers, **framing})
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.streams += 1
        is_spoiled = bool(self.spoil_every) and self.streams % self.spoil_every == 0
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            event = f"id: {number}\ndata: {name}.{number}@{self.version}\n\n".encode()
            writer.write(event if self.unframed else frame(event))
            await writer.drain()
            if is_spoiled and number == first + 1:
                return await self.spoil(name, writer)
        self.write("done", id=name, pieces=self.events)
        if not self.unframed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return not self.unframed

    async def spoil(self, name: str, writer: asyncio.StreamWriter) -> bool:
        """Go on with bytes that are no events."""
        self.write("spoiled", id=name)
        for _ in range(self.spoil_bytes // 50_000):
            writer.write(frame(b"x" * 50_000))
            await writer.drain()
        return False

    async def reply_json(
        self, writer: asyncio.StreamWriter, value: Any, headers: Headers | None = None
    ) -> bool:
        """Send a JSON answer."""
        more = {"Content-Type": "application/json", **(headers or {})}
        return await self.reply(writer, 200, more, json.dumps(value).encode())

    async def reply(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: Headers | None = None,
        body: bytes = b"",
    ) -> bool:
        """Send an answer with a length."""
        start(writer, status, {**(headers or {}), "Content-Length": str(len(body))})
        writer.write(body)
        await writer.drain()
        return True


def start(writer: asyncio.StreamWriter, status: int, headers: Headers) -> None:
    """Send the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Said')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode())


def frame(data: bytes) -> bytes:
    """Make one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, path, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", "0"))
    for _ in range(length // 65_536):
        await reader.readexactly(65_536)
    body = await reader.readexactly(length % 65_536)
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            await reader.readexactly(size + 2)
            length += size
        await reader.readuntil(b"\r\n")
    return Request(method, path, headers, length, body)


async def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("options", help="JSON")
    options = json.loads(parser.parse_args().options)
    server = Server(options)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    listener = await asyncio.start_server(
        server.serve, "127.0.0.1", options.get("port", 0), limit=1 << 20, backlog=512
    )
    port = listener.sockets[0].getsockname()[1]
    address = Path(options["address_file"])
    part = address.with_suffix(".part")
    part.write_text(f"127.0.0.1:{port}")
    part.replace(address)
    await stopping.wait()
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(main())
