"""Stand-in for a server of a plain service.

It follows PROTOCOL.md: it registers itself at its start and writes its entry with each
heartbeat, serves one request at a time on a connection, echoes the request's id, signs
its answers and answers health checks.
"""

import argparse
import asyncio
import base64
import hashlib
import json
import time

HEARTBEAT_SECONDS = 1.2
WORK_SECONDS = 0.05
SLOTS = 6


class Desk:
    """Serve calls."""

    def __init__(self, name: str, service: str, store: str) -> None:
        self._name = name
        self._service = service
        self._store = store
        self._address = ""
        self._born = int(time.time() * 1000)
        self._beats = 0
        self._slots = asyncio.Semaphore(SLOTS)

    async def start(self) -> None:
        """Listen, register, and send heartbeats."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        self._address = f"{ip}:{port}"
        await self._write_entry()
        print(json.dumps({"ready": True, "address": self._address}), flush=True)
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            await self._write_entry()

    async def _write_entry(self) -> None:
        self._beats += 1
        entry = {
            "service": self._service,
            "address": self._address,
            "zone": "howrah",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._beats,
            "born": self._born,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        row = {"table": "servers", "key": self._name, "value": value}
        body = json.dumps(row).encode()
        ip, port = self._store.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            head = "POST /_write HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}"
            writer.write(head.encode() + b"\r\n\r\n" + body)
            await reader.read()
            writer.close()
        except OSError:
            return

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await self._answer_next(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer_next(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = head[0].split(" ")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        await reader.readexactly(int(headers.get("content-length", "0")))
        request = headers.get("x-request-id", "")
        if headers.get("x-target-instance", self._name) != self._name:
            _send(writer, 421, request, ["X-Not-Executed: 1"])
            return
        if path == "/health":
            _send(writer, 200, "", [f"X-Instance-Id: {self._name}"])
            return
        if not request:
            _send(writer, 400, "", ["X-Not-Executed: 1"])
            return
        async with self._slots:
            if reader.at_eof() or writer.is_closing():
                return
            print(json.dumps({"run": request, "at": f"{method} {path}"}), flush=True)
            await asyncio.sleep(WORK_SECONDS)
            body = hashlib.sha256(request.encode()).hexdigest().encode()
            signature = f"X-Server-Signature: {self._name}.{body[:12].decode()}"
            _send(writer, 200, request, [signature], body)


def _send(
    writer: asyncio.StreamWriter,
    status: int,
    request: str,
    headers: list[str],
    body: bytes = b"",
) -> None:
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}", *headers]
    if request:
        lines.append(f"X-Request-Id: {request}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def main() -> None:
    """Run the server."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--store", required=True)
    args = parser.parse_args()
    asyncio.run(Desk(args.name, args.service, args.store).start())


if __name__ == "__main__":
    main()
