"""Stand-in for a model server whose handles count from one after each start.

It follows PROTOCOL.md: it reads prompts and keeps their memory under handles, or takes
memory by a handle and streams, according to its phase. It runs `slots` requests at a
time and queues others. It reports its state, carries out orders, and writes its entry
to the store. The data of its events names the prompt from which it goes on.
"""

import argparse
import asyncio
import base64
import hashlib
import itertools
import json
import time

HEARTBEAT_SECONDS = 1.2
SWITCH_SECONDS = 1.0
EVENT_SECONDS = 0.06
FETCH_SECONDS = 1.0


def hash_prompt(body: bytes) -> str:
    """Return what events say of the prompt that they go on from."""
    return hashlib.sha256(body).hexdigest()[:16]


def make_event(prompt: str, number: int) -> bytes:
    """Make one event of the answer to a prompt."""
    return f"id: {number}\ndata: {prompt} {number}\n\n".encode()


class Engine:
    """Serve requests."""

    def __init__(
        self, name: str, phase: str, store: str, port: int, slots: int
    ) -> None:
        self._name = name
        self._phase = phase
        self._store = store
        self._port = port
        self._slots = slots
        self._free = asyncio.Semaphore(slots)
        self._address = ""
        self._born = int(time.time() * 1000)
        self._beats = 0
        self._orders = 0
        self._fence = 0
        self._is_busy = False
        self._version = "v1"
        self._streams = 0
        self._handles = itertools.count(1)
        self._kept: dict[str, tuple[str, str]] = {}
        """Request and prompt by handle."""

    async def start(self) -> None:
        """Listen, and register."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
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
            "service": "gown-llm",
            "address": self._address,
            "zone": "howrah",
            "version": self._version,
            "slots": self._slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._beats,
            "phase": self._phase,
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
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, path, _ = lines[0].split(" ")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (one.partition(":") for one in lines[1:])
                }
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size)
                await self._answer(writer, method, path, headers, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if headers.get("x-target-instance", self._name) != self._name:
            self._send(writer, 421, headers, {}, ["X-Not-Executed: 1"])
        elif path == "/api/report":
            self._send(writer, 200, headers, self._describe())
        elif path == "/api/order":
            status = self._take_order(json.loads(body))
            self._send(writer, status, headers, {})
        elif path == "/api/kv-list":
            self._send(writer, 200, headers, {"epoch": "1", "next": 0, "held": []})
        elif method == "DELETE":
            self._kept.pop(path.rpartition("/")[2], None)
            self._send(writer, 200, headers, {})
        elif path.startswith("/take/"):
            kept = self._kept.pop(path.rpartition("/")[2], None)
            status = 404 if kept is None else 200
            self._send(writer, status, headers, {"kept": kept})
        elif (headers.get("x-serving-phase") == "prefill") != (
            self._phase == "prefill"
        ):
            self._send(writer, 421, headers, {}, ["X-Not-Executed: 1"])
        elif self._is_busy:
            self._send(writer, 503, headers, {}, ["X-Not-Executed: 1"])
        elif self._phase == "prefill":
            handle = f"{next(self._handles):012x}"
            kept = headers["x-request-id"], hash_prompt(body)
            self._kept[handle] = kept
            self._print(prompt=kept[0], handle=handle)
            answer = {"kvHandle": handle, "tokens": 100, "version": 1}
            self._send(writer, 200, headers, answer)
        else:
            await self._run(writer, headers, body)

    def _print(self, **fields: object) -> None:
        print(json.dumps({**fields, "born": self._born}), flush=True)

    async def _run(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], body: bytes
    ) -> None:
        """Wait for a slot, fetch the memory if there is a handle, and stream."""
        async with self._free:
            if writer.is_closing():
                return
            kept = headers["x-request-id"], hash_prompt(body)
            if "x-kv-source" in headers:
                kept = await self._fetch(headers["x-kv-source"])
            if kept is None:
                self._send(writer, 503, headers, {}, ["X-Not-Executed: 1"])
                return
            source = headers.get("x-kv-source", "")
            self._print(run=headers["x-request-id"], of=kept[0], source=source)
            await self._stream(writer, headers, kept[1])

    async def _fetch(self, source: str) -> tuple[str, str] | None:
        address, _, handle = source.partition("/")
        ip, port = address.rsplit(":", 1)
        try:
            async with asyncio.timeout(FETCH_SECONDS):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(f"GET /take/{handle} HTTP/1.1\r\nHost: s\r\n\r\n".encode())
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.lower().partition(b"content-length:")[2].split()[0])
                kept = json.loads(await reader.readexactly(size))["kept"]
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        return kept and (kept[0], kept[1])

    def _describe(self) -> dict:
        return {
            "phase": self._phase,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self._is_busy,
            "sequence": self._orders,
            "born": self._born,
        }

    def _take_order(self, order: dict) -> int:
        if order["fenceToken"] < self._fence:
            return 412
        self._fence = order["fenceToken"]
        if self._is_busy or order.get("expected", self._orders) != self._orders:
            return 409
        if order["phase"] == self._phase:
            return 200
        self._orders += 1
        self._is_busy = True
        self._print(order=order["phase"], owner=order["owner"])
        asyncio.get_running_loop().create_task(self._switch(order["phase"]))
        return 202

    async def _switch(self, phase: str) -> None:
        await asyncio.sleep(SWITCH_SECONDS)
        self._phase = phase
        self._is_busy = False
        await self._write_entry()

    async def _stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], prompt: str
    ) -> None:
        self._streams += 1
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {headers['x-request-id']}",
            f"X-Server-Signature: {self._name}.{self._born}.{self._streams}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        events = int(headers["x-token-count"].partition(",")[2])
        begin = int(headers.get("last-event-id", "0")) + 1
        for number in range(begin, events + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = make_event(prompt, number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: dict,
        more: list[str] | None = None,
    ) -> None:
        data = json.dumps(body).encode()
        lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(data)}", *(more or [])]
        lines.append("Content-Type: application/json")
        if request := headers.get("x-request-id"):
            lines.append(f"X-Request-Id: {request}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)


def main() -> None:
    """Run the server."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--phase", required=True, choices=["prefill", "decode"])
    parser.add_argument("--store", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=64)
    args = parser.parse_args()
    options = args.name, args.phase, args.store, args.port, args.slots
    asyncio.run(_serve(*options))


async def _serve(name: str, phase: str, store: str, port: int, slots: int) -> None:
    await Engine(name, phase, store, port, slots).start()


if __name__ == "__main__":
    main()
