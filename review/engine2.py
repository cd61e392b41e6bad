"""Stand-in for a model server that spoils some of its answers.

It follows PROTOCOL.md: it reads prompts or streams answers according to its phase,
reports its state, carries out orders, and writes its entry to the store. With
`--spoil N`, one byte of an event's id is repeated in each Nth stream, from SIGUSR1 to
SIGUSR2. With `--still`, it writes its entry only where more than `sequence` changes, as
the store reports no other change of an entry.
"""

import argparse
import asyncio
import base64
import json
import secrets
import signal
import time

HEARTBEAT_SECONDS = 1.2
SWITCH_SECONDS = 1.0
EVENTS = 5
EVENT_SECONDS = 0.05
REPEATED = 400


def make_event(request: str, number: int) -> bytes:
    """Make one event of the answer to a request."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


class Engine:
    """Serve requests."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._name = args.name
        self._phase = args.phase
        self._store = args.store
        self._spoil = args.spoil
        self._events = args.events
        self._event_seconds = args.event_seconds
        self._is_still = args.still
        self._port = args.port
        self._address = ""
        self._born = int(time.time() * 1000)
        self._beats = 0
        self._orders = 0
        self._fence = 0
        self._is_busy = False
        self._streams = 0
        self._in_trouble = False
        self._in_trouble_streams = 0

    def set_trouble(self, in_trouble: bool) -> None:
        """Begin or end to spoil answers."""
        self._in_trouble = in_trouble

    async def start(self) -> None:
        """Listen, and register."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self.set_trouble, True)
        loop.add_signal_handler(signal.SIGUSR2, self.set_trouble, False)
        server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        ip, port = server.sockets[0].getsockname()
        self._address = f"{ip}:{port}"
        await self._write_entry()
        print(json.dumps({"ready": True, "address": self._address}), flush=True)
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if not self._is_still:
                await self._write_entry()

    async def _write_entry(self) -> None:
        self._beats += 1
        entry = {
            "service": "gown-llm",
            "address": self._address,
            "zone": "howrah",
            "version": "v1",
            "slots": 64,
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
            self._send(writer, 200, headers, {})
        elif (headers.get("x-serving-phase") == "prefill") != (
            self._phase == "prefill"
        ):
            self._send(writer, 421, headers, {}, ["X-Not-Executed: 1"])
        elif self._is_busy:
            self._send(writer, 503, headers, {}, ["X-Not-Executed: 1"])
        elif self._phase == "prefill":
            handle = {"kvHandle": secrets.token_hex(6), "tokens": 100, "version": 1}
            self._send(writer, 200, headers, handle)
        else:
            await self._stream(writer, headers)

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
        asyncio.get_running_loop().create_task(self._switch(order["phase"]))
        return 202

    async def _switch(self, phase: str) -> None:
        await asyncio.sleep(SWITCH_SECONDS)
        self._phase = phase
        self._is_busy = False
        await self._write_entry()

    async def _stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        request = headers["x-request-id"]
        self._streams += 1
        self._in_trouble_streams += self._in_trouble
        is_spoiled = (
            self._spoil
            and self._in_trouble
            and self._in_trouble_streams % self._spoil == 0
        )
        print(json.dumps({"run": request, "spoiled": bool(is_spoiled)}), flush=True)
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request}",
            f"X-Server-Signature: {self._name}.{self._streams}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        begin = int(headers.get("last-event-id", "0")) + 1
        for number in range(begin, self._events + 1):
            await asyncio.sleep(self._event_seconds)
            event = make_event(request, number)
            if is_spoiled and number == self._events - 1:
                digit = str(number).encode()
                event = event.replace(b"id: " + digit, b"id: " + digit * REPEATED)
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
    parser.add_argument("--spoil", type=int, default=0)
    parser.add_argument("--events", type=int, default=EVENTS)
    parser.add_argument("--event-seconds", type=float, default=EVENT_SECONDS)
    parser.add_argument("--still", action="store_true")
    parser.add_argument("--port", type=int, default=0)
    asyncio.run(Engine(parser.parse_args()).start())


if __name__ == "__main__":
    main()
