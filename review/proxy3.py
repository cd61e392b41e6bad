"""Proxies on loopback before the store, and a stand-in for the platform's own API."""

import asyncio
import base64
import binascii
import json
import socket
import struct
import time
from collections.abc import Callable
from typing import Any, NamedTuple


class StoreProxy:
    """Pass calls on to the store; lose the answer of a call when told to."""

    def __init__(self, target: str, note: Callable[[str], None]) -> None:
        self.target = target
        self.address = ""
        self._note = note
        self._losing = b""
        """Part of the call whose next answer is lost; empty for none."""
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        self._server = server

    def lose_next_answer(self, part: bytes) -> None:
        """Lose the next answer to a call that contains a text, and what follows it."""
        self._losing = part

    async def _serve(self, reader, writer) -> None:  # noqa: ANN001
        ip, port = self.target.rsplit(":", 1)
        try:
            up_reader, up_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        last_call = [b""]
        back = asyncio.create_task(self._pass_back(up_reader, writer, last_call))
        self._tasks.add(back)
        back.add_done_callback(self._tasks.discard)
        try:
            while data := await reader.read(65536):
                last_call[0] = data
                up_writer.write(data)
        except ConnectionError:
            pass
        finally:
            up_writer.close()
            back.cancel()
            writer.close()

    async def _pass_back(self, reader, writer, last_call) -> None:  # noqa: ANN001
        is_lost = False
        try:
            while data := await reader.read(65536):
                if self._losing and self._losing in last_call[0]:
                    self._losing, is_lost = b"", True
                    line = last_call[0].split(b"\r\n", 1)[0].decode()
                    self._note(f"the answer of the store is lost: {line}")
                if not is_lost:
                    writer.write(data)
        except ConnectionError:
            pass
        if not is_lost:
            writer.close()


class Message(NamedTuple):
    """Hold an HTTP message with a length."""

    first: str
    headers: dict[str, str]
    raw: bytes
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message; its body has a length."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        key, _, value = line.partition(":")
        headers[key.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first, headers, raw + body, body)


class PartProxy:
    """Pass one gateway's calls on to the store, and reset those to some parts."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.refused_parts: set[str] = set()
        self.on_refused: Callable[[str], None] = lambda part: None
        """Called with the part of a transaction that was refused."""
        self.on_lease: Callable[[dict[str, Any]], None] = lambda value: None
        """Called with the lease's row once it was written."""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def _serve(self, reader, writer) -> None:  # noqa: ANN001
        ip, port = self.target.rsplit(":", 1)
        up_writer = None
        try:
            up_reader, up_writer = await asyncio.open_connection(ip, int(port))
            while True:
                message = await read_message(reader)
                self._refuse(message, writer)
                up_writer.write(message.raw)
                answer = await read_message(up_reader)
                self._look(message, answer)
                writer.write(answer.raw)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if up_writer is not None:
                up_writer.close()
            writer.close()

    def _refuse(self, message: Message, writer) -> None:  # noqa: ANN001
        """Reset the connection of a call to a refused part."""
        is_write = "rows-tx" in message.first
        if is_write:
            call = json.loads(message.body)
            rows = call["expected"] + call["writes"] + call["remove"]
            parts = {row.get("part", "") for row in rows}
        else:
            query = message.first.split(" ")[1].partition("?")[2]
            parts = {
                pair.partition("=")[2]
                for pair in query.split("&")
                if pair.startswith("part=")
            }
        refused = parts & self.refused_parts
        if not refused:
            return
        end = writer.get_extra_info("socket")
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        if is_write:
            self.on_refused(min(refused))
        raise ConnectionResetError

    def _look(self, message: Message, answer: Message) -> None:
        if "rows-tx" not in message.first or " 200 " not in answer.first:
            return
        for row in json.loads(message.body)["writes"]:
            if row.get("part") == "lease":
                try:
                    self.on_lease(json.loads(base64.b64decode(row["value"]))["value"])
                except (binascii.Error, ValueError):
                    continue


class Report(NamedTuple):
    """Hold a usage report as the platform has got it."""

    at: float
    holder: str
    token: int
    window: int
    counts: dict[str, int]


class PlatformApi:
    """Take usage reports without a check of their fencing tokens."""

    def __init__(self) -> None:
        self.address = ""
        self.reports: list[Report] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def _serve(self, reader, writer) -> None:  # noqa: ANN001
        try:
            while True:
                message = await read_message(reader)
                body = json.loads(message.body)
                report = Report(
                    time.monotonic(),
                    message.headers["x-lease-holder"],
                    int(message.headers["x-fence-token"]),
                    body["windowSeq"],
                    body["counts"],
                )
                self.reports.append(report)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
