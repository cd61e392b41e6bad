"""A machine's links for the second review's scripts: pass on, cut off, heal.

A link stands between one machine and another address. While it is cut, nothing passes
in either direction: what is sent is held, and a new connection gets no answer, as its
listening socket's queue is full. After `DEAD_SECONDS` the connections that the machine
opened are reset at its end. On a real network its own kernel does that, as the gateway
asks it to (keep-alive probes after 1 s, two of them, 1 s apart); on a loopback link the
near kernel would go on answering the probes.
"""

import asyncio
import socket
import struct
from contextlib import suppress

DEAD_SECONDS = 3.0
BACKLOG = 256
FILLERS = 4
"""Connections that fill a queue of length nought."""
Ends = tuple[asyncio.StreamWriter, asyncio.StreamWriter]


class Link:
    """Pass connections on to an address."""

    def __init__(self, target: str, is_outgoing: bool) -> None:
        ip, port = target.rsplit(":", 1)
        self._target = ip, int(port)
        self._is_outgoing = is_outgoing
        """Whether the machine that may be cut off opens the connections."""
        self._open = asyncio.Event()
        self._open.set()
        self._connections: set[Ends] = set()
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = socket.socket()
        self._accepting: asyncio.Task[None] | None = None
        self.address = ""

    def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._listener.setblocking(False)
        self._listener.bind((ip, 0))
        self._listener.listen(BACKLOG)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._accepting = asyncio.create_task(self._accept())

    def cut(self) -> None:
        """Pass nothing on, and answer no new connection."""
        self._open.clear()
        self._accepting.cancel()
        self._listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(self._listener.getsockname())
            self._fillers.append(filler)
        if self._is_outgoing:
            self._keep(asyncio.create_task(self._reset_later()))

    def heal(self) -> None:
        """Pass on what was held, and accept connections again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listener.listen(BACKLOG)
        self._accepting = asyncio.create_task(self._accept())
        self._open.set()

    async def _reset_later(self) -> None:
        await asyncio.sleep(DEAD_SECONDS)
        if self._open.is_set():
            return
        for near, far in list(self._connections):
            _reset(near)
            _reset(far)

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._listener)
            self._keep(asyncio.create_task(self._carry(accepted)))

    async def _carry(self, accepted: socket.socket) -> None:
        reader, near = await asyncio.open_connection(sock=accepted)
        try:
            far_reader, far = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(near)
            return
        ends = near, far
        self._connections.add(ends)
        copies = [
            asyncio.create_task(self._copy(reader, far)),
            asyncio.create_task(self._copy(far_reader, near)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            await self._open.wait()
        finally:
            self._connections.discard(ends)
            for copy in copies:
                copy.cancel()
            for end in ends:
                with suppress(OSError):
                    end.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
            await self._open.wait()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    with suppress(OSError):
        end = writer.get_extra_info("socket")
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
