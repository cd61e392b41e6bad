"""Helpers of the tests of links."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from radishtally.links.hub import LinkCallbacks, LinkHub
from radishtally.links.messages import Hello, Message
from standins.proxy import FaultProxy

KEY = "shared"
LIMIT_SECONDS = 20.0


class Peer:
    """Hold one process's hub and what it was told."""

    def __init__(self, host: str, key: str = KEY, incarnation: str = "1") -> None:
        self.ups: list[Hello] = []
        self.downs: list[tuple[str, str]] = []
        self.received: list[tuple[str, Message]] = []
        self.busy = True
        hello = Hello(host, "howrah", "agent", incarnation, 0)
        callbacks = LinkCallbacks(
            self.ups.append,
            lambda peer, reason: self.downs.append((peer, reason)),
            lambda peer, message: self.received.append((peer, message)),
            lambda _: self.busy,
        )
        self.hub = LinkHub(hello, key, callbacks)
        self.address = ""

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        await self.hub.start("127.0.0.1:0")
        ip, port = self.hub._server._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def list_received(self, kind: type) -> list[Message]:
        return [message for _, message in self.received if isinstance(message, kind)]


async def wait_for(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    until = time.monotonic() + LIMIT_SECONDS
    while not condition():
        assert time.monotonic() < until, "the condition never held"
        await asyncio.sleep(0.01)


@asynccontextmanager
async def pair(key: str = KEY) -> AsyncIterator[tuple[Peer, Peer, FaultProxy]]:
    """Hold an agent and an entry that dials it through a proxy with its key."""
    async with AsyncExitStack() as stack:
        agent, entry = Peer("agent-0"), Peer("entry-0", key)
        for peer in (agent, entry):
            await peer.start()
            stack.push_async_callback(peer.hub.stop)
        proxy = await FaultProxy.start(agent.address)
        stack.push_async_callback(proxy.stop)
        entry.hub.dial("agent-0", proxy.address)
        yield agent, entry, proxy
