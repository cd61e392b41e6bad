"""Helpers for the tests of links."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from radishtally.links.hub import LinkCallbacks, LinkHub
from radishtally.links.kinds import Message
from radishtally.links.messages import Hello
from standins.proxy import FaultProxy

KEY = "shared"
TIMEOUT_SECONDS = 20.0


class Peer:
    """Run the hub of one process, and record its callbacks."""

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
        """Listen on a free port."""
        await self.hub.start("127.0.0.1:0")
        ip, port = self.hub._server._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def list_received(self, kind: type) -> list[Message]:
        return [message for _, message in self.received if isinstance(message, kind)]


async def wait_for(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    until = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < until, "timed out waiting for the condition"
        await asyncio.sleep(0.01)


@asynccontextmanager
async def connect_pair(key: str = KEY) -> AsyncIterator[tuple[Peer, Peer, FaultProxy]]:
    """Run an agent, and an entry that dials it with a key through a fault proxy."""
    async with AsyncExitStack() as stack:
        agent, entry = Peer("agent-0"), Peer("entry-0", key)
        for peer in (agent, entry):
            await peer.start()
            stack.push_async_callback(peer.hub.stop)
        proxy = await FaultProxy.start(agent.address)
        stack.push_async_callback(proxy.stop)
        entry.hub.dial("agent-0", proxy.address)
        yield agent, entry, proxy
