"""HTTP server that answers with scripted bytes."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager


def build_reply(status: int, body: str) -> bytes:
    """Build the bytes of one reply."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return (head + body).encode()


@asynccontextmanager
async def serve_replies(
    choose: Callable[[int], bytes | None],
) -> AsyncIterator[str]:
    """Answer the n-th request of each connection with choose(n); None is no reply."""
    connections: set[asyncio.StreamWriter] = set()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connections.add(writer)
        number = 0
        while await _read_request(reader):
            reply = choose(number)
            number += 1
            if reply is None:
                continue
            writer.write(reply)
            if not reply.endswith((b"}", b"]")):
                break
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"http://{host}:{port}"
    finally:
        server.close()
        for writer in connections:
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> bool:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
    except (asyncio.IncompleteReadError, ConnectionError):
        return False
    length = head.partition(b"content-length:")[2].split(b"\r\n")[0]
    await reader.readexactly(int(length or 0))
    return True
