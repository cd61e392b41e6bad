"""Stand-in for a host of a plain service that breaks off, repeats itself or lies."""

import asyncio
import itertools
import random
import socket
import struct
from collections import deque
from typing import Final, Literal, NamedTuple, NotRequired, TypedDict

import msgspec
import uvloop

from standins.common import build_parser, print_ready, wait_for_stop
from standins.runs import RUN, Run, RunLog, digest, read_clock

BACKLOG: Final = 1024
FAULT_PATH: Final = "/_fault"
SPREAD: Final = 4000
"""Most bytes by which answers differ in length."""
LATE_SECONDS: Final = 0.02
"""Time after which a second answer comes late."""
LINGER_RESET: Final = struct.pack("ii", 1, 0)
Mode = Literal[
    "whole",
    "refuse",
    "fail",
    "fail_part",
    "break_off",
    "reset",
    "reset_unframed",
    "hang",
    "twice",
    "twice_unnamed",
    "twice_late",
    "twice_next",
    "close",
]


class Fault(TypedDict):
    """Say how the host answers from now on."""

    modes: list[Mode]
    """One of these for each request, by the host's own chance."""
    seed: NotRequired[int]


class Asked(NamedTuple):
    """Hold a request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def name(self) -> str:
        """Give the request's name."""
        return self.headers.get("x-request-id", "")


class Desk:
    """Answer each request with a text of its own, and keep a record of it."""

    def __init__(self, host: str, log: RunLog) -> None:
        self.host = host
        self.modes: deque[Mode] = deque(["whole"])
        self._random = random.Random(host)
        self._log = log
        self._numbers = itertools.count(1)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        kept = b""
        try:
            while True:
                asked = await read_request(reader)
                writer.write(kept)
                kept = b""
                if asked.path == FAULT_PATH:
                    self._take_fault(asked.body)
                    writer.write(make_answer("", 200, b"{}"))
                    continue
                if not self._is_meant(asked):
                    writer.write(refuse(asked.name, 421))
                    continue
                kept = await self._answer(asked, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    def _take_fault(self, body: bytes) -> None:
        fault = msgspec.json.decode(body, type=Fault)
        self.modes = deque(fault["modes"])
        self._random.seed(fault.get("seed", 0))

    def _is_meant(self, asked: Asked) -> bool:
        return asked.headers.get("x-target-instance", self.host) == self.host

    async def _answer(self, asked: Asked, writer: asyncio.StreamWriter) -> bytes:
        """Answer a request; give what is to be sent before the next answer."""
        mode = self._random.choice(self.modes)
        if mode == "refuse":
            writer.write(refuse(asked.name, 503))
            return b""
        status = 500 if mode in ("fail", "fail_part") else 200
        number = next(self._numbers)
        body = self._make_body(asked.name, number)
        signature = f"{self.host}.{number}.{digest(body)}"
        self._note(asked, signature, status, body)
        answer = make_answer(asked.name, status, body, signature)
        return await self._send(mode, asked.name, answer, body, signature, writer)

    async def _send(
        self,
        mode: Mode,
        name: str,
        answer: bytes,
        body: bytes,
        signature: str,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        unnamed = make_answer("", 200, body, signature)
        match mode:
            case "fail_part" | "break_off":
                writer.write(answer[: -len(body) // 2])
                raise ConnectionAbortedError(mode)
            case "reset":
                reset(writer)
                raise ConnectionResetError(mode)
            case "reset_unframed":
                writer.write(make_unframed(name, body[: len(body) // 2], signature))
                await asyncio.sleep(LATE_SECONDS)
                reset(writer)
                raise ConnectionResetError(mode)
            case "hang":
                await asyncio.Event().wait()
            case "twice":
                writer.write(answer + answer)
            case "twice_unnamed":
                cut = answer.index(b"\r\n\r\n") + 5
                writer.write(answer[:cut])
                await asyncio.sleep(LATE_SECONDS)
                writer.write(answer[cut:] + unnamed)
            case "twice_late":
                writer.write(answer)
                await asyncio.sleep(LATE_SECONDS)
                writer.write(answer)
            case "twice_next":
                writer.write(answer)
                return answer
            case "close":
                writer.write(answer)
                raise ConnectionAbortedError(mode)
            case _:
                writer.write(answer)
        return b""

    def _make_body(self, name: str, number: int) -> bytes:
        text = f"{name} {self.host} {number} ".encode()
        return text + b"." * self._random.randrange(SPREAD)

    def _note(self, asked: Asked, signature: str, status: int, body: bytes) -> None:
        run = Run(
            RUN,
            read_clock(),
            self.host,
            asked.name,
            asked.method,
            asked.path,
            digest(asked.body),
            signature,
            status,
            digest(body),
        )
        self._log.write(run)


async def read_request(reader: asyncio.StreamReader) -> Asked:
    """Read a request whose body, if any, comes with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.splitlines()
    method, path, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Asked(method, path, headers, body)


def make_answer(name: str, status: int, body: bytes, signature: str = "") -> bytes:
    """Make an answer with a length; it bears the names that are not empty."""
    return _make_head(name, status, signature, f"Content-Length: {len(body)}") + body


def make_unframed(name: str, body: bytes, signature: str) -> bytes:
    """Make an answer that ends with its connection."""
    return _make_head(name, 200, signature, "Connection: close") + body


def refuse(name: str, status: int) -> bytes:
    """Make the answer that the request was not run."""
    return _make_head(name, status, "", "X-Not-Executed: 1", "Content-Length: 0")


def _make_head(name: str, status: int, signature: str, *lines: str) -> bytes:
    named = [f"X-Request-Id: {name}"] if name else []
    signed = [f"X-Server-Signature: {signature}"] if signature else []
    head = [f"HTTP/1.1 {status} Said", *named, *signed, *lines, "", ""]
    return "\r\n".join(head).encode("latin-1")


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset, not by a close."""
    end = writer.get_extra_info("socket")
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


async def _run(host: str, log: str, address: str, port: int) -> None:
    desk = Desk(host, RunLog(log))
    server = await asyncio.start_server(desk.serve, address, port, backlog=BACKLOG)
    ip, bound_port = server.sockets[0].getsockname()[:2]
    print_ready(f"{ip}:{bound_port}")
    await wait_for_stop()
    server.close()


def main() -> None:
    """Run the host."""
    parser = build_parser("host of a plain service")
    parser.add_argument("--instance", default="d-0")
    parser.add_argument("--log", default="")
    args = parser.parse_args()
    uvloop.run(_run(args.instance, args.log, args.address, args.port))


if __name__ == "__main__":
    main()
