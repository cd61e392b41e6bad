"""Helpers for tests of the upstream clients: an HTTP server with scripted answers."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from aiohttp import web
from aiohttp.test_utils import TestServer

from radishtally.agent import events

Answer = Callable[[web.Request], Awaitable[web.StreamResponse]]


class EventRecorder:
    """Record reported events and wait for the one that ends the work."""

    def __init__(self) -> None:
        self.events: list[events.Event] = []
        self._ended = asyncio.Event()

    def record(self, event: events.Event) -> None:
        self.events.append(event)
        if not isinstance(event, events.Produced):
            self._ended.set()

    async def wait_end(self) -> events.Event:
        """Wait for the event that ends the work and return it."""
        await asyncio.wait_for(self._ended.wait(), 20.0)
        return self.events[-1]

    @property
    def parts(self) -> list[bytes]:
        return [e.data for e in self.events if isinstance(e, events.Produced)]


@asynccontextmanager
async def serve(answer: Answer) -> AsyncIterator[str]:
    """Serve the answer to every request on a free port; yield the URL."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    async with TestServer(app, host="127.0.0.1") as server:
        yield f"http://127.0.0.1:{server.port}"


def stream(*pieces: bytes, cut: bool = False) -> Answer:
    """Make an answer that streams these pieces one by one, then ends or is cut."""

    async def answer(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for piece in pieces:
            await response.write(piece)
            await asyncio.sleep(0.005)
        if cut:
            request.transport.abort()
        return response

    return answer


def reply(status: int, body: bytes) -> Answer:
    """Make an answer with a status and a body."""

    async def answer(request: web.Request) -> web.StreamResponse:
        return web.Response(status=status, body=body)

    return answer
