"""Speak HTTP/1.1 as a caller that sees every byte."""

import asyncio
from dataclasses import dataclass, field
from typing import Final

LOOK_SECONDS: Final = 0.001
"""Time of a look for bytes that nobody asked for."""


@dataclass(slots=True)
class Answer:
    """Hold what has come of an answer."""

    status: int = 0
    headers: dict[str, list[str]] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    is_whole: bool = False
    fault: str = ""
    """What is no HTTP in it."""

    def get(self, name: str) -> str:
        """Give a header's only value."""
        values = self.headers.get(name, [])
        return values[0] if len(values) == 1 else "|".join(values)


class Connection:
    """Keep one connection open for requests that follow each other."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.answer = Answer()
        self.is_open = False

    async def open(self) -> None:
        """Connect."""
        ip, port = self.address.rsplit(":", 1)
        self._reader, self._writer = await asyncio.open_connection(ip, int(port))
        self.is_open = True

    def close(self) -> None:
        """Close."""
        if self.is_open:
            self.is_open = False
            self._writer.transport.abort()

    async def read_unasked(self) -> bytes:
        """Give what came though nothing was asked; an end closes the connection."""
        try:
            async with asyncio.timeout(LOOK_SECONDS):
                data = await self._reader.read(1024)
        except TimeoutError:
            return b""
        except OSError:
            data = b""
        self.close()
        return data

    async def ask(self, request: bytes) -> None:
        """Send a request and read its answer as far as it comes."""
        self.answer = Answer()
        try:
            self._writer.write(request)
            await self._writer.drain()
            await self._read(self.answer)
        except (asyncio.IncompleteReadError, OSError):
            self.close()
        except (ValueError, asyncio.LimitOverrunError) as error:
            self.answer.fault = repr(error)
            self.close()
        if "close" in self.answer.get("connection").lower():
            self.close()

    async def _read(self, answer: Answer) -> None:
        head = await self._reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        version, status, *_ = first.split(" ")
        if version != "HTTP/1.1":
            raise ValueError(version)
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            answer.headers.setdefault(name.lower(), []).append(value.strip())
        answer.status = int(status)
        if answer.get("transfer-encoding") == "chunked":
            await self._read_chunks(answer)
        else:
            length = int(answer.get("content-length"))
            answer.body += await self._reader.readexactly(length)
        answer.is_whole = True

    async def _read_chunks(self, answer: Answer) -> None:
        while True:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            data = await self._reader.readexactly(size)
            if await self._reader.readexactly(2) != b"\r\n":
                raise ValueError("a chunk without an end")
            if not size:
                return
            answer.body += data
