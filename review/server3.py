"""Stand-in for a server of the platform: an engine, or a host of a plain service.

It does what PROTOCOL.md says of servers: it writes its entry and heartbeats itself,
answers reports, orders, health checks and requests, and echoes the request's id. Each
run is printed to standard output.
"""

import argparse
import asyncio
import base64
import json
import os
import signal
import socket
import struct
import time

HEARTBEAT_SECONDS = 1.2


class Server:
    """Serve requests and keep the entry in the store."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.phase = args.phase
        self.state = "ready"
        self.beats = 0
        self.orders = 0
        self.fence = 0
        self.busy = False
        self.born = int(time.time() * 1000)
        self.handles = 0
        self.runs = 0
        self.address = ""
        self.writers: set = set()

    def describe_start(self) -> dict:
        """Return the start as the server reports it, if it does."""
        return {"born": self.born} if self.args.born else {}

    async def keep_entry(self) -> None:
        """Write the entry now and with each heartbeat."""
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            end = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def write_entry(self) -> None:
        """Write the entry into the store, unless the server is cut off from it."""
        if self.args.cut:
            return
        self.beats += 1
        entry = {
            "service": self.args.service,
            "address": self.address,
            "zone": self.args.zone,
            "version": self.args.version,
            "slots": self.args.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.beats,
            **self.describe_start(),
        }
        if self.phase:
            entry["phase"] = self.phase
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        row = json.dumps({"table": "servers", "key": self.args.id, "value": value})
        ip, port = self.args.store.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            head = "POST /_write HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(row)}\r\n\r\n"
            writer.write(head.encode() + row.encode())
            await reader.read()
            writer.close()
        except OSError:
            return

    async def serve(self, reader, writer) -> None:  # noqa: ANN001
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                method, path, _ = first.split(" ")
                headers = {}
                for line in lines:
                    key, _, value = line.partition(":")
                    headers[key.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self.answer(method, path, headers, body, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, path, headers, body, writer) -> bool:  # noqa: ANN001
        """Answer a request; return whether the connection is kept."""
        name = headers.get("x-request-id", "")
        if headers.get("x-target-instance", self.args.id) != self.args.id:
            self.reply(writer, 421, name, b"", "X-Not-Executed: 1")
            return True
        if path == "/api/report":
            report = {
                "phase": self.phase,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": self.busy,
                "sequence": self.orders,
                "queued": 0,
                "running": 0,
                "kvUsed": 0,
                "kvTotal": 560177,
                "kvHandles": 0,
                **self.describe_start(),
            }
            self.reply(writer, 200, name, json.dumps(report).encode())
            return True
        if path == "/api/order":
            self.reply(writer, self.take_order(json.loads(body)), name, b"")
            return True
        if path.startswith("/api/"):
            data = b'{"epoch":1,"next":1,"held":[]}' if method == "GET" else b""
            self.reply(writer, 200, name, data)
            return True
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            self.reply(writer, status, name, b"", f"X-Instance-Id: {self.args.id}")
            return True
        wants_prompt = headers.get("x-serving-phase") == "prefill"
        if self.phase and wants_prompt != (self.phase == "prefill"):
            self.reply(writer, 421, name, b"", "X-Not-Executed: 1")
            return True
        if wants_prompt:
            self.handles += 1
            handle = {"kvHandle": f"{self.born:x}{self.handles:x}", "tokens": 1000}
            self.reply(writer, 200, name, json.dumps({**handle, "version": 1}).encode())
            return True
        return await self.run(method, path, headers, body, writer)

    def take_order(self, order: dict) -> int:
        """Take an order to change the phase; return the status of its answer."""
        if order["fenceToken"] < self.fence:
            return 412
        self.fence = order["fenceToken"]
        if self.busy or order.get("expected", self.orders) != self.orders:
            return 409
        if order["phase"] == self.phase:
            return 200
        self.orders += 1
        self.busy = True
        asyncio.get_running_loop().call_later(3.0, self.change_phase, order["phase"])
        return 202

    def change_phase(self, phase: str) -> None:
        """Complete an order."""
        self.busy, self.phase = False, phase
        asyncio.ensure_future(self.write_entry())

    def reply(self, writer, status, name, body, *lines) -> None:  # noqa: ANN001
        """Send a whole answer."""
        head = [f"HTTP/1.1 {status} Said", f"Content-Length: {len(body)}", *lines]
        head += [f"X-Request-Id: {name}"] if name else []
        writer.write("\r\n".join([*head, "", ""]).encode() + body)

    def note(self, **fields) -> None:  # noqa: ANN003
        """Print a line about a run."""
        line = {"run": self.args.id, "at": round(time.monotonic(), 4), **fields}
        print(json.dumps(line), flush=True)

    async def run(self, method, path, headers, body, writer) -> bool:  # noqa: ANN001
        """Run a request; return whether the connection is kept."""
        self.runs += 1
        name = headers["x-request-id"]
        signature = f"{self.args.id}.{self.runs}"
        sent = {"target": path, "method": method, "bytes": len(body)}
        sent["model"] = headers.get("x-model", "")
        after = int(headers.get("last-event-id", 0))
        self.note(what="begins", id=name, after=after, **sent)
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {name}",
            f"X-Server-Signature: {signature}",
        ]
        if not self.phase:
            await asyncio.sleep(self.args.gap)
            text = f"{name} done by {self.args.id}".encode()
            head += [f"Content-Length: {len(text)}", "", ""]
            writer.write("\r\n".join(head).encode() + text)
            self.note(what="ends", id=name, last=0)
            return True
        unframed = self.args.unframed
        head += ["Content-Type: text/event-stream"]
        head += ["Connection: close" if unframed else "Transfer-Encoding: chunked"]
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(after + 1, self.args.events + 1):
            await asyncio.sleep(self.args.gap)
            if writer.transport.is_closing():
                self.note(what="is dropped", id=name, last=number - 1)
                return False
            event = f"id: {number}\ndata: {name} {number} {self.args.version}\n\n"
            data = event.encode()
            writer.write(data if unframed else b"%x\r\n%s\r\n" % (len(data), data))
            self.note(what="sends", id=name, event=number, of=self.args.events)
        if not unframed:
            writer.write(b"0\r\n\r\n")
        self.note(what="ends", id=name, last=self.args.events)
        return not unframed


async def main() -> None:
    """Run the server until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--service", default="fault-reader")
    parser.add_argument("--phase", default="")
    parser.add_argument("--zone", default="toowoomba-hall")
    parser.add_argument("--version", default="v1")
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--events", type=int, default=38)
    parser.add_argument("--gap", type=float, default=0.2)
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--born", action="store_true")
    parser.add_argument("--cut", action="store_true")
    server = Server(parser.parse_args())
    listener = await asyncio.start_server(
        server.serve, "127.0.0.1", server.args.port, backlog=512
    )
    ip, port = listener.sockets[0].getsockname()[:2]
    server.address = f"{ip}:{port}"

    def leave() -> None:
        """Announce that the server leaves."""
        server.state = "draining"
        asyncio.ensure_future(server.write_entry())

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, leave)
    loop.add_signal_handler(signal.SIGUSR2, server.reset_connections)
    await server.write_entry()
    print(json.dumps({"address": server.address, "pid": os.getpid()}), flush=True)
    await server.keep_entry()


if __name__ == "__main__":
    asyncio.run(main())
