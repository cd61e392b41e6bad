"""TCP proxy that resets, silences and delays connections for tests."""

import asyncio
import socket
import struct
from typing import Final, Literal, NotRequired, TypeAlias, TypedDict

import uvloop
from aiohttp import web

from standins.common import (
    build_app,
    build_parser,
    print_ready,
    read_json,
    reply_json,
    wait_for_stop,
)

CHUNK_BYTES: Final = 64 * 1024
MAX_QUEUED_CHUNKS: Final = 256
BACKLOG: Final = 1024
LINGER_RESET: Final = struct.pack("ii", 1, 0)

Direction: TypeAlias = Literal["up", "down"]


class FaultProxy:
    """Forward connections to a target and inject network faults."""

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.address = ""
        self.delay_seconds = 0.0
        self.lossy: set[Direction] = set()
        self.drops_next_reply = False
        self.links: set[Link] = set()
        self._reservation: socket.socket
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @classmethod
    async def start(
        cls, target: str, address: str = "127.0.0.1", port: int = 0
    ) -> "FaultProxy":
        """Listen on the address."""
        proxy = cls(target)
        # A bound socket that never listens reserves the port while the proxy refuses
        # connections.
        proxy._reservation = _bind(address, port)
        host, bound_port = proxy._reservation.getsockname()
        proxy.address = f"{host}:{bound_port}"
        proxy._listen()
        return proxy

    async def stop(self) -> None:
        """Reset all connections and free the port."""
        self.cut()
        self._reservation.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Reset the open connections and refuse new ones until `heal`."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for link in list(self.links):
            link.reset()

    def heal(self) -> None:
        """End `cut` and `cut_one_way`, and reset connections that lost bytes."""
        self.lossy.clear()
        # Bytes after a gap must not arrive, since TCP never delivers data with a gap.
        for link in list(self.links):
            if link.lost_bytes and not link.silent:
                link.reset()
        if self._listener is None:
            self._listen()

    def go_silent(self) -> None:
        """Discard all further bytes of the open connections without closing them."""
        for link in self.links:
            link.silent = True

    def cut_one_way(self, direction: Direction) -> None:
        """Discard the bytes in one direction until `heal`; `up` is to the target."""
        if direction not in ("up", "down"):
            raise ValueError(direction)
        self.lossy.add(direction)

    def delay(self, seconds: float) -> None:
        """Add a one-way delay in both directions."""
        self.delay_seconds = seconds

    def drop_next_reply(self) -> None:
        """Drop the answer to the next bytes sent `up`, and reset the connection."""
        self.drops_next_reply = True

    def _listen(self) -> None:
        host, port = self._reservation.getsockname()
        self._listener = _bind(host, port)
        self._listener.listen(BACKLOG)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._listener, self._accept, self._listener)

    def _accept(self, listener: socket.socket) -> None:
        try:
            connection, _ = listener.accept()
        except (BlockingIOError, ConnectionError):
            return
        connection.setblocking(False)
        link = Link(self, connection)
        self.links.add(link)
        task = asyncio.get_running_loop().create_task(link.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class Link:
    """Forward one connection."""

    def __init__(self, proxy: FaultProxy, connection: socket.socket) -> None:
        self.silent = False
        self.lost_bytes = False
        self._gaps: set[Direction] = set()
        """Directions in which bytes were lost, and no later ones may arrive."""
        self._proxy = proxy
        self._client = connection
        self._target: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None
        self._drops_reply = False

    async def run(self) -> None:
        """Forward bytes both ways until both ends have closed."""
        self._task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        self._target = socket.socket()
        self._target.setblocking(False)
        try:
            for end in (self._client, self._target):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.sock_connect(self._target, self._proxy.target)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward("up", self._client, self._target))
                group.create_task(self._forward("down", self._target, self._client))
        except (OSError, ExceptionGroup):
            self._prepare_reset()
        finally:
            self._client.close()
            self._target.close()
            self._proxy.links.discard(self)

    def reset(self) -> None:
        """Close both ends with a reset."""
        self._prepare_reset()
        self._proxy.links.discard(self)
        if self._task is None:
            # The task has not started yet; a closed socket makes its first step fail.
            self._client.close()
            return
        self._task.cancel()

    def _prepare_reset(self) -> None:
        for end in (self._client, self._target):
            if end is not None and end.fileno() >= 0:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    async def _forward(
        self, direction: Direction, source: socket.socket, sink: socket.socket
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read(source, queue))
            group.create_task(self._write(direction, sink, queue))

    async def _read(
        self, source: socket.socket, queue: asyncio.Queue[tuple[float, bytes]]
    ) -> None:
        loop = asyncio.get_running_loop()
        data = b"-"
        while data:
            data = await loop.sock_recv(source, CHUNK_BYTES)
            await queue.put((loop.time() + self._proxy.delay_seconds, data))

    async def _write(
        self,
        direction: Direction,
        sink: socket.socket,
        queue: asyncio.Queue[tuple[float, bytes]],
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            if self._discards(direction):
                self.lost_bytes = True
                self._gaps.add(direction)
                continue
            if not data:
                sink.shutdown(socket.SHUT_WR)
                return
            self._check_reply_drop(direction)
            await loop.sock_sendall(sink, data)

    def _discards(self, direction: Direction) -> bool:
        is_lossy = direction in self._proxy.lossy or direction in self._gaps
        return self.silent or is_lossy

    def _check_reply_drop(self, direction: Direction) -> None:
        if direction == "down" and self._drops_reply:
            raise ConnectionResetError("reply dropped")
        if direction == "up" and self._proxy.drops_next_reply:
            self._proxy.drops_next_reply = False
            self._drops_reply = True


def _bind(address: str, port: int) -> socket.socket:
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setblocking(False)
    bound.bind((address, port))
    return bound


class Command(TypedDict):
    """Select the fault that a proxy process injects."""

    mode: Literal["cut", "heal", "go_silent", "cut_one_way", "delay", "drop_next_reply"]
    direction: NotRequired[Direction]
    seconds: NotRequired[float]


def _apply(proxy: FaultProxy, command: Command) -> None:
    match command["mode"]:
        case "cut_one_way":
            proxy.cut_one_way(command.get("direction", "up"))
        case "delay":
            proxy.delay(command.get("seconds", 0.0))
        case mode:
            getattr(proxy, mode)()


async def _run(target: str, address: str, port: int) -> None:
    proxy = await FaultProxy.start(target, address, port)

    async def set_fault(request: web.Request) -> web.Response:
        _apply(proxy, await read_json(request, Command))
        return reply_json({})

    app = build_app()
    app.router.add_post("/_fault", set_fault)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, address, 0).start()
    host, control_port = runner.addresses[0][:2]
    print_ready(proxy.address, control=f"{host}:{control_port}")
    await wait_for_stop()
    await proxy.stop()
    await runner.cleanup()


def main() -> None:
    """Run a proxy with a control address that accepts `POST /_fault`."""
    parser = build_parser("fault proxy")
    parser.add_argument("--target", required=True)
    args = parser.parse_args()
    uvloop.run(_run(args.target, args.address, args.port))


if __name__ == "__main__":
    main()
