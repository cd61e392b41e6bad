"""Implement a minimal HTTP/1.1 client that checks every byte it receives."""

import asyncio
from dataclasses import dataclass, field
from typing import Final

UNSOLICITED_WAIT_SECONDS: Final = 0.001
"""Time to wait for bytes that belong to no request."""


@dataclass(slots=True)
class Answer:
    """Represent an answer as far as it was received."""

    status: int = 0
    headers: dict[str, list[str]] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    is_complete: bool = False
    protocol_error: str = ""
    """Description of invalid HTTP in it."""

    def get_header(self, name: str) -> str:
        """Return a header's value; join several values with `|`."""
        values = self.headers.get(name, [])
        return values[0] if len(values) == 1 else "|".join(values)


class Connection:
    """Send successive requests over one persistent connection."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.answer = Answer()
        self.is_open = False

    async def open(self) -> None:
        """Open the connection."""
        ip, port = self.address.rsplit(":", 1)
        self._reader, self._writer = await asyncio.open_connection(ip, int(port))
        self.is_open = True

    def close(self) -> None:
        """Close an open connection at once, without flushing it."""
        if self.is_open:
            self.is_open = False
            self._writer.transport.abort()

    async def read_unsolicited(self) -> bytes:
        """Return bytes that belong to no request; close if any came or at an end."""
        try:
            async with asyncio.timeout(UNSOLICITED_WAIT_SECONDS):
                data = await self._reader.read(1024)
        except TimeoutError:
            return b""
        except OSError:
            data = b""
        self.close()
        return data

    async def fetch(self, request: bytes) -> None:
        """Send a request and read its answer as far as it arrives."""
        self.answer = Answer()
        try:
            self._writer.write(request)
            await self._writer.drain()
            await self._read(self.answer)
        except (asyncio.IncompleteReadError, OSError):
            self.close()
        except (ValueError, asyncio.LimitOverrunError) as error:
            self.answer.protocol_error = repr(error)
            self.close()
        if "close" in self.answer.get_header("connection").lower():
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
        if answer.get_header("transfer-encoding") == "chunked":
            await self._read_chunks(answer)
        else:
            length = int(answer.get_header("content-length"))
            answer.body += await self._reader.readexactly(length)
        answer.is_complete = True

    async def _read_chunks(self, answer: Answer) -> None:
        while True:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            data = await self._reader.readexactly(size)
            if await self._reader.readexactly(2) != b"\r\n":
                raise ValueError("chunk without a line break at its end")
            if not size:
                return
            answer.body += data
