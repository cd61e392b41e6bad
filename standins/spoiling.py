"""Spoil single runs of a staged engine."""

import asyncio
import random
import socket
import struct
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, NamedTuple

from aiohttp import web

RESET: Final = "reset"
CLOSE: Final = "close"
LINGER_RESET: Final = struct.pack("ii", 1, 0)
HALF_EVENT: Final = b"id: 99\ndata: half an ev"
SIGNATURE: Final = "X-Server-Signature"
REQUEST_NAME: Final = "X-Request-Id"
DELIVERY_SECONDS: Final = 0.01
"""Time in which what was written reaches its reader, which a reset would lose."""


class RunFault(NamedTuple):
    """Say how one run is spoiled; as it stands, not at all."""

    status: int = 0
    """Status that is answered in place of a stream; 0 for a stream."""
    body: str = ""
    """Body of that answer."""
    cut_after: int | None = None
    """Event after which the stream breaks off; 0 for its head."""
    half: bool = True
    """Whether it breaks off within the next event."""
    end: str = RESET
    """RESET or CLOSE of the connection where the stream breaks off."""
    is_unframed: bool = False
    """Whether the stream has neither length nor chunks."""
    first_event: int = 0
    """Event that the stream begins with, whatever was asked for; 0 to obey."""


SOUND: Final = RunFault()


def draw_faults(faults: Sequence[Mapping[str, Any]], seed: int) -> Iterator[RunFault]:
    """Draw a fault for each run."""
    chance = random.Random(seed)
    while faults:
        yield RunFault(**chance.choice(faults))


class EventWriter:
    """Write the events of one answer, with chunks or without."""

    def __init__(
        self, request: web.Request, headers: Mapping[str, str], fault: RunFault
    ) -> None:
        self._request = request
        self._fault = fault
        self.response = web.StreamResponse(headers=headers)

    async def start(self) -> None:
        """Send the head."""
        if not self._fault.is_unframed:
            await self.response.prepare(self._request)
            return
        headers = dict(self.response.headers)
        headers[REQUEST_NAME] = self._request.headers[REQUEST_NAME]
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close", "", ""])
        self._request.transport.write(head.encode())

    async def write(self, data: bytes) -> None:
        """Send a part."""
        if self._fault.is_unframed:
            self._request.transport.write(data)
            return
        await self.response.write(data)

    async def break_off(self) -> None:
        """End the connection before the answer is whole."""
        if self._fault.half:
            await self.write(HALF_EVENT)
        await asyncio.sleep(DELIVERY_SECONDS)
        if self._fault.end == CLOSE:
            self._request.transport.close()
            return
        peer = self._request.transport.get_extra_info("socket")
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._request.transport.abort()

    async def end(self) -> None:
        """End the whole answer."""
        if self._fault.is_unframed:
            self._request.transport.close()
