"""Stand-in for a host of a plain service that truncates or repeats answers."""

import asyncio
import itertools
import random
import socket
import struct
from collections import deque
from typing import Final, Literal, NamedTuple, NoReturn, NotRequired, TypedDict

import msgspec
import uvloop

from standins.common import build_parser, print_ready, wait_for_stop
from standins.runs import RUN, UNFRAMED, Run, RunLog, digest, read_clock

BACKLOG: Final = 1024
FAULT_PATH: Final = "/_fault"
LIMIT_PATH: Final = "/_limit"
CROWD_PATH: Final = "/_crowd"
HEALTH_PATH: Final = "/health"
MAX_PADDING: Final = 4000
"""Upper bound of the random padding of answers, in bytes."""
DELAY_SECONDS: Final = 0.02
"""Delay before the rest of a split answer, a repeated answer or a reset."""
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
    "unframed",
]


class Fault(TypedDict):
    """Set how the host answers from now on."""

    modes: list[Mode]
    """Modes of which one is drawn at random for each request."""
    seed: NotRequired[int]
    pause_seconds: NotRequired[float]
    """Time between the two parts of an answer without framing."""
    max_connections: NotRequired[int]
    """Number of open connections beyond which new ones are reset."""


class Limit(TypedDict):
    """Set the requests a second that the host names in its answers."""

    limit: float


class Crowd(TypedDict):
    """Set how long calls take, and how many the host takes at a time."""

    slots: int
    """Calls that it processes; it queues as many. 0 for no bound."""
    seconds: float


class Request(NamedTuple):
    """Represent a request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.headers.get("x-request-id", "")


class Desk:
    """Answer each request with a unique body, and record its run."""

    def __init__(self, host: str, log: RunLog) -> None:
        self.host = host
        self.modes: deque[Mode] = deque(["whole"])
        self.pause_seconds = DELAY_SECONDS
        self.max_connections: int | None = None
        self.limit = 0.0
        """Requests a second that it names in its answers; 0 to name none."""
        self.crowd = Crowd(slots=0, seconds=0.0)
        self._slots = asyncio.Semaphore(1)
        self._open = 0
        self._taken = 0
        """Calls taken, and those rejected for lack of room, since the bound was set."""
        self._rejected = 0
        self._connections = 0
        self._random = random.Random(host)
        self._log = log
        self._numbers = itertools.count(1)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self._connections += 1
        is_excess = self._is_full()
        pending = b""
        try:
            while True:
                request = await read_request(reader)
                if is_excess and request.path != FAULT_PATH:
                    reset(writer)
                    return
                writer.write(pending)
                pending = b""
                if request.path == FAULT_PATH:
                    self._set_fault(request.body)
                    writer.write(make_answer("", 200, b"{}"))
                    continue
                if request.path == LIMIT_PATH:
                    self.limit = msgspec.json.decode(request.body, type=Limit)["limit"]
                    writer.write(make_answer("", 200, b"{}"))
                    continue
                if request.path == CROWD_PATH:
                    writer.write(make_answer("", 200, self._set_crowd(request.body)))
                    continue
                if not self._is_addressed(request):
                    writer.write(make_refusal(request.request_id, 421))
                    continue
                if (request.method, request.path) == ("GET", HEALTH_PATH):
                    writer.write(make_health(self.host))
                    continue
                pending = await self._answer(request, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self._connections -= 1
            writer.close()

    def _is_full(self) -> bool:
        limit = self.max_connections
        return limit is not None and self._connections > limit

    def _set_fault(self, body: bytes) -> None:
        fault = msgspec.json.decode(body, type=Fault)
        self.modes = deque(fault["modes"])
        self._random.seed(fault.get("seed", 0))
        self.pause_seconds = fault.get("pause_seconds", DELAY_SECONDS)
        self.max_connections = fault.get("max_connections")

    def _set_crowd(self, body: bytes) -> bytes:
        """Set the bound; return the calls taken and rejected under the last one."""
        counts = msgspec.json.encode([self._taken, self._rejected])
        before, self.crowd = self.crowd, msgspec.json.decode(body, type=Crowd)
        if self.crowd != before:
            self._slots = asyncio.Semaphore(max(1, self.crowd["slots"]))
        self._taken = self._rejected = 0
        return counts

    async def _take_slot(self) -> bool:
        """Wait for a slot and spend the time of a call; return False if full."""
        if self._open >= 2 * self.crowd["slots"]:
            self._rejected += 1
            return False
        self._taken += 1
        self._open += 1
        try:
            async with self._slots:
                await asyncio.sleep(self.crowd["seconds"])
        finally:
            self._open -= 1
        return True

    def _is_addressed(self, request: Request) -> bool:
        return request.headers.get("x-target-instance", self.host) == self.host

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        """Answer a request; return the bytes to send before the next answer."""
        if self.crowd["slots"] and not await self._take_slot():
            writer.write(self._name_limit(make_refusal(request.request_id, 503)))
            return b""
        mode = self._random.choice(self.modes)
        if mode == "refuse":
            writer.write(self._name_limit(make_refusal(request.request_id, 503)))
            return b""
        status = 500 if mode in ("fail", "fail_part") else 200
        number = next(self._numbers)
        body = self._make_body(request.request_id, number)
        signature = f"{self.host}.{number}.{digest(body)}"
        run = self._record_run(request, signature, status, body)
        if mode == "unframed":
            await self._send_unframed(run, body, writer)
        answer = make_answer(request.request_id, status, body, signature)
        answer = self._name_limit(answer)
        return await self._send(
            mode, request.request_id, answer, body, signature, writer
        )

    async def _send_unframed(
        self, run: Run, body: bytes, writer: asyncio.StreamWriter
    ) -> NoReturn:
        """Send a whole answer in two parts, record its end and close."""
        half = len(body) // 2
        head = make_unframed(run.id, body[:half], run.signature)
        writer.write(self._name_limit(head))
        await asyncio.sleep(self.pause_seconds)
        if not writer.transport.is_closing():
            writer.write(body[half:])
            self._log.write(run._replace(kind=UNFRAMED))
        raise ConnectionAbortedError

    async def _send(
        self,
        mode: Mode,
        request_id: str,
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
                writer.write(
                    make_unframed(request_id, body[: len(body) // 2], signature)
                )
                await asyncio.sleep(DELAY_SECONDS)
                reset(writer)
                raise ConnectionResetError(mode)
            case "hang":
                await asyncio.Event().wait()
            case "twice":
                writer.write(answer + answer)
            case "twice_unnamed":
                cut = answer.index(b"\r\n\r\n") + 5
                writer.write(answer[:cut])
                await asyncio.sleep(DELAY_SECONDS)
                writer.write(answer[cut:] + unnamed)
            case "twice_late":
                writer.write(answer)
                await asyncio.sleep(DELAY_SECONDS)
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

    def _name_limit(self, answer: bytes) -> bytes:
        if not self.limit:
            return answer
        return answer.replace(
            b"\r\n", f"\r\nServer-Limit: {self.limit}\r\n".encode(), 1
        )

    def _make_body(self, request_id: str, number: int) -> bytes:
        text = f"{request_id} {self.host} {number} ".encode()
        return text + b"." * self._random.randrange(MAX_PADDING)

    def _record_run(
        self, request: Request, signature: str, status: int, body: bytes
    ) -> Run:
        run = Run(
            RUN,
            read_clock(),
            self.host,
            request.request_id,
            request.method,
            request.path,
            digest(request.body),
            signature,
            status,
            digest(body),
        )
        self._log.write(run)
        return run


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request; a body must have a Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.splitlines()
    method, path, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, path, headers, body)


def make_answer(
    request_id: str, status: int, body: bytes, signature: str = ""
) -> bytes:
    """Make an answer with a length; leave out the id and signature if empty."""
    return (
        _make_head(request_id, status, signature, f"Content-Length: {len(body)}") + body
    )


def make_health(host: str) -> bytes:
    """Make the answer of a host that lives, which is no run."""
    return _make_head("", 200, "", f"X-Instance-Id: {host}", "Content-Length: 0")


def make_unframed(request_id: str, body: bytes, signature: str) -> bytes:
    """Make an answer whose end is marked by the end of the connection only."""
    return _make_head(request_id, 200, signature, "Connection: close") + body


def make_refusal(request_id: str, status: int) -> bytes:
    """Make the answer to a request that was not run."""
    return _make_head(request_id, status, "", "X-Not-Executed: 1", "Content-Length: 0")


def _make_head(request_id: str, status: int, signature: str, *lines: str) -> bytes:
    named = [f"X-Request-Id: {request_id}"] if request_id else []
    signed = [f"X-Server-Signature: {signature}"] if signature else []
    head = [f"HTTP/1.1 {status} Said", *named, *signed, *lines, "", ""]
    return "\r\n".join(head).encode("latin-1")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection instead of closing it."""
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
