"""Stand-in for a plain service whose answers may end with their connection.

It follows PROTOCOL.md: it serves one request at a time on a connection, echoes the
request's id, signs its answers and answers health checks. The answer is sent in pieces
over a time. SIGUSR1 tells that the server leaves; SIGTERM ends it after its answers.
"""

import argparse
import asyncio
import hashlib
import json
import signal

PIECES = 10
PIECE_BYTES = 80


def make_body(request: str) -> bytes:
    """Make the whole body of the answer to a request."""
    text = hashlib.sha256(request.encode()).hexdigest()
    return b"".join(
        f"{number:02d} {text} ".encode().ljust(PIECE_BYTES, b".")
        for number in range(PIECES)
    )


class Desk:
    """Serve calls."""

    def __init__(self, name: str, seconds: float, framed: bool) -> None:
        self._name = name
        self._seconds = seconds
        self._framed = framed
        self._open = 0
        self.is_leaving = False
        self.stop = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while await self._answer_next(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer_next(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = head[0].split(" ")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        await reader.readexactly(int(headers.get("content-length", "0")))
        target = headers.get("x-target-instance", self._name)
        request = headers.get("x-request-id", "")
        if target != self._name:
            _send(writer, 421, request, ["X-Not-Executed: 1"])
            return True
        leaving = ["Server-Leaving: 1"] if self.is_leaving else []
        if path == "/health":
            status = 503 if self.is_leaving else 200
            _send(writer, status, "", [f"X-Instance-Id: {self._name}", *leaving])
            return True
        if not request:
            _send(writer, 400, "", ["X-Not-Executed: 1", *leaving])
            return True
        print(json.dumps({"run": request, "method": method, "path": path}), flush=True)
        self._open += 1
        try:
            await self._run(writer, request, leaving)
        finally:
            self._open -= 1
        return self._framed

    async def _run(
        self, writer: asyncio.StreamWriter, request: str, leaving: list[str]
    ) -> None:
        body = make_body(request)
        signature = hashlib.sha256(body).hexdigest()[:12]
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request}",
            f"X-Server-Signature: {self._name}.{signature}",
            *leaving,
        ]
        if self._framed:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for start in range(0, len(body), PIECE_BYTES):
            await asyncio.sleep(self._seconds / PIECES)
            writer.write(body[start : start + PIECE_BYTES])
            await writer.drain()
        print(json.dumps({"ended": request}), flush=True)

    async def wait_end(self) -> None:
        """Wait for SIGTERM and for the last answer."""
        await self.stop.wait()
        while self._open:
            await asyncio.sleep(0.02)

    def leave(self) -> None:
        """Tell from now on that the server leaves."""
        self.is_leaving = True


def _send(
    writer: asyncio.StreamWriter, status: int, request: str, headers: list[str]
) -> None:
    lines = [f"HTTP/1.1 {status} -", "Content-Length: 0", *headers]
    if request:
        lines.append(f"X-Request-Id: {request}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


async def main() -> None:
    """Run the server."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--seconds", type=float, default=0.05)
    parser.add_argument("--framed", action="store_true")
    args = parser.parse_args()
    desk = Desk(args.name, args.seconds, args.framed)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, desk.leave)
    loop.add_signal_handler(signal.SIGTERM, desk.stop.set)
    server = await asyncio.start_server(desk.serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    print(json.dumps({"ready": True, "address": f"{ip}:{port}"}), flush=True)
    await desk.wait_end()


if __name__ == "__main__":
    asyncio.run(main())
