"""Servers whose answers go on until their caller closes the connection."""

import asyncio
from contextlib import suppress

from tests.gateway.common import LOOPBACK

HEAD_END = b"\r\n\r\n"
WRITE_BYTES = 65_536


class EndlessServer:
    """Answer requests by a beginning and then one piece over and over.

    The beginning may contain the id of the request, at `%(id)s`.
    """

    def __init__(self, beginning: bytes, piece: bytes, path: str = "") -> None:
        self.path = path
        """Beginning of the paths that it answers so; it closes others at once."""
        self.sent = 0
        """Bytes written over all connections, as far as they went out."""
        self.closed = 0
        """Number of endless answers whose caller has closed the connection."""
        self.asked = 0
        self._beginning = beginning
        self._filler = piece * (WRITE_BYTES // len(piece) + 1)

    async def listen(self) -> str:
        """Listen until the event loop ends; return the address."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return "{}:{}".format(*self._server.sockets[0].getsockname())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(HEAD_END)
            await self._answer(head, writer)
        writer.close()

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        line, *fields = head.decode().split("\r\n")
        if not line.split()[1].startswith(self.path):
            return
        self.asked += 1
        values = dict(field.lower().split(": ", 1) for field in fields if field)
        name = values.get("x-request-id", "").encode()
        writer.write(self._beginning.replace(b"%(id)s", name))
        try:
            while True:
                writer.write(self._filler)
                await writer.drain()
                self.sent += len(self._filler)
        except ConnectionError:
            self.closed += 1
            raise


MAX_SENT_BYTES = 64 * 1024 * 1024
"""Well above the largest answer and what the kernel buffers of several connections. A
reader without a bound takes a thousand times that until its time limit."""
NAMED = b"X-Request-Id: %(id)s\r\nX-Server-Signature: by-endless\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + NAMED
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
FAILED = b"HTTP/1.1 500 Failed\r\n" + NAMED
CHUNK = b"4000\r\n" + 0x4000 * b" " + b"\r\n"
HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "header": (OK + b"X-More: ", b"x"),
    "headers": (OK, b"X-More: x\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim answers with headers": (b"", b"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n"),
    "no answer": (b"", b"\0"),
    "blank lines": (b"", b"\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;x=", b"x"),
    "chunk extensions": (CHUNKED, b"1;x=%s\r\nx\r\n" % (b"x" * 100)),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: x\r\n"),
}
"""Beginnings and pieces of answers that never get to the end of a head or a framing."""
REPORTS = {
    "body": (OK + b"\r\n", b" "),
    "chunks": (CHUNKED, CHUNK),
    "failure": (FAILED + b"\r\n", b" "),
    "header": HEADS["header"],
    "interim answers": HEADS["interim answers"],
    "chunk size": HEADS["chunk size"],
}
"""Those of answers whose body is to be read whole."""
