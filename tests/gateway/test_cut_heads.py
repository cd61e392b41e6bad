"""Tests of hosts that stop within the head of their answer and close."""

import asyncio

import pytest

from tests.common import run
from tests.gateway.common import (
    LOOPBACK,
    Deployment,
    deployment,
    make_headers,
    make_prompt,
)

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Instance-Id: cut\r\n"
    b"X-Request-Id: r\r\nContent-Type: text/event-stream\r\nContent-Length: 5\r\n\r\n"
)
CUTS = range(1, len(HEAD), 7)
PATHS = {"/read/x": "desk", "/book/x": "desk", "/draft/x": "llm", "/sheet/x": "llm"}


class CutHost:
    """Answer each request with a part of a head, and close."""

    def __init__(self) -> None:
        self.sent = b""

    async def listen(self) -> str:
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.sent)
        writer.close()


async def ask(env: Deployment, path: str) -> bytes:
    """Send a request; return the whole answer."""
    ip, port = env.gateway.settings.address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    headers = make_prompt("r") if PATHS[path] == "llm" else make_headers("r")
    headers |= {"Content-Length": "2", "Connection": "close"}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"POST {path} HTTP/1.1\r\n{lines}\r\nok".encode())
    answer = await reader.read()
    writer.close()
    return answer


# Guards against a success with an empty or short body, framed as whole, where the host
# has closed within the head of its answer.
@pytest.mark.parametrize("path", PATHS)
def test_answer_cut_within_its_head_is_no_success(path: str) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = CutHost()
            address = await host.listen()
            more = {"phase": "decode"} if PATHS[path] == "llm" else {}
            env.announce("cut", address, PATHS[path], slots=64, **more)
            await env.wait_for("cut")
            for cut in CUTS:
                host.sent = HEAD[:cut]
                status = (await ask(env, path)).split(b" ")[1]
                assert status in (b"502", b"503"), (cut, status)

    run(scenario())
