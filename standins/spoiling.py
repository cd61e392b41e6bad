"""Inject faults into single runs of a staged engine."""

import asyncio
import random
import socket
import struct
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, NamedTuple

from aiohttp import web

RESET: Final = "reset"
CLOSE: Final = "close"
FINISH: Final = "finish"
LINGER_RESET: Final = struct.pack("ii", 1, 0)
HALF_EVENT: Final = b"id: 99\ndata: half an ev"
SIGNATURE_HEADER: Final = "X-Server-Signature"
REQUEST_ID_HEADER: Final = "X-Request-Id"
DELIVERY_SECONDS: Final = 0.01
"""Time for written data to reach its reader, since a reset would discard it."""


class RunFault(NamedTuple):
    """Describe the fault of one run; the defaults describe no fault."""

    status: int = 0
    """Status of an answer in place of the stream; 0 for a stream."""
    body: str = ""
    """Body of that answer."""
    cut_after: int | None = None
    """Event after which the stream breaks off; 0 for right after the head."""
    half: bool = True
    """Whether it breaks off in the middle of the next event."""
    rest: bytes = HALF_EVENT
    """Data sent in place of the next event if it breaks off there."""
    end: str = RESET
    """Whether the connection is reset (RESET) or closed (CLOSE) there, or the answer
    ends as a complete one does (FINISH)."""
    is_unframed: bool = False
    """Whether the stream has neither a length nor chunked encoding."""
    first_event: int = 0
    """Event to start with in place of the requested one; 0 for the requested one."""
    pause_seconds: float = 0.0
    """Time to wait before each event, in addition to the engine's own."""


SOUND: Final = RunFault()


def draw_faults(faults: Sequence[Mapping[str, Any]], seed: int) -> Iterator[RunFault]:
    """Draw a random fault for each run."""
    rng = random.Random(seed)
    while faults:
        yield RunFault(**rng.choice(faults))


class EventWriter:
    """Write the events of one answer, with or without chunked encoding."""

    def __init__(
        self, request: web.Request, headers: Mapping[str, str], fault: RunFault
    ) -> None:
        self._request = request
        self._fault = fault
        self.response = web.StreamResponse(headers=headers)

    async def start(self) -> None:
        """Send the head of the answer."""
        if not self._fault.is_unframed:
            await self.response.prepare(self._request)
            return
        headers = dict(self.response.headers)
        headers[REQUEST_ID_HEADER] = self._request.headers[REQUEST_ID_HEADER]
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close", "", ""])
        self._request.transport.write(head.encode())

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if self._fault.is_unframed:
            self._request.transport.write(data)
            return
        await self.response.write(data)

    async def break_off(self) -> None:
        """End the connection before the answer is complete."""
        if self._fault.half:
            await self.write(self._fault.rest)
        await asyncio.sleep(DELIVERY_SECONDS)
        if self._fault.end == FINISH:
            await self.end()
            return
        if self._fault.end == CLOSE:
            self._request.transport.close()
            return
        peer = self._request.transport.get_extra_info("socket")
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._request.transport.abort()

    async def end(self) -> None:
        """End a complete answer."""
        if self._fault.is_unframed:
            self._request.transport.close()
