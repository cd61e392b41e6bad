"""Answers that come, and break off, while their request is still being sent."""

import asyncio
import socket

import pytest

from tests.common import run
from tests.gateway.common import LIMITS, LOOPBACK, Deployment, deployment
from tests.gateway.raw_hosts import HEAD_END, reset
from tests.gateway.test_calls import ask

UPLOAD = b"u" * 4_000_000
"""Body that exceeds all socket buffers."""
SMALL_BUFFER = 4096
PART = b"only a part"
FRAMINGS = {
    "no length": b"",
    "length": b"Content-Length: 100\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
}
ENDS = {"reset": reset, "close": socket.socket.close}
"""A close with unread data resets the connection too."""
HEALTHY = b"HTTP/1.1 200 OK\r\nX-Instance-Id: early\r\nContent-Length: 0\r\n\r\n"
PAUSES_SECONDS = (0.0, 0.02)


class EarlyHost:
    """Answer an upload by a part after its head, and end the connection."""

    def __init__(self, framing: str, end: str, pause: float) -> None:
        self.calls = 0
        self._framing = framing
        self._end = end
        self._pause = pause

    def listen(self) -> str:
        """Listen until the event loop ends; return the address."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        listener.bind((LOOPBACK, 0))
        listener.listen()
        listener.setblocking(False)
        self._serving = asyncio.create_task(self._serve(listener))
        return "{}:{}".format(*listener.getsockname())

    async def _serve(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(listener)
            connection.setblocking(False)
            data = b""
            while HEAD_END not in data:
                data += await loop.sock_recv(connection, SMALL_BUFFER)
            if data.startswith(b"GET /health"):
                await loop.sock_sendall(connection, HEALTHY)
                connection.close()
                continue
            await self._answer(connection, data.partition(HEAD_END)[0])
            ENDS[self._end](connection)

    async def _answer(self, connection: socket.socket, head: bytes) -> None:
        self.calls += 1
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        part = b"%x\r\n%s\r\n" % (len(PART), PART)
        answer = (
            b"HTTP/1.1 200 OK\r\nX-Server-Signature: by-early\r\nX-Request-Id: %s\r\n"
            b"%s\r\n%s"
            % (
                fields.get(b"X-Request-Id", b""),
                FRAMINGS[self._framing],
                part if self._framing == "chunks" else PART,
            )
        )
        await asyncio.get_running_loop().sock_sendall(connection, answer)
        await asyncio.sleep(self._pause)


async def upload(env: Deployment, path: str) -> tuple[int, bytes]:
    """Send an upload; return the status and the body of the answer."""
    status, _, body = await ask(env, path, path, "POST", UPLOAD)
    return status, body


# Guards against a part of an answer that looks complete: the host answers a long upload
# at once and resets the connection while the upload is still being written.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("pause", PAUSES_SECONDS)
def test_part_of_an_answer_to_an_upload_is_not_returned(
    framing: str, end: str, pause: float
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            env.configure(limits={**LIMITS, "maxBodyBytes": len(UPLOAD)})
            await env.wait_for_configuration()
            host = EarlyHost(framing, end, pause)
            env.announce("early", host.listen(), "desk")
            await env.wait_for("early")
            for path in ("/read/a", "/book/a"):
                status, body = await upload(env, path)
                assert status == 502
                assert PART not in body
            assert host.calls >= 2

    run(scenario())
