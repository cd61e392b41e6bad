"""Be the far end of measured links, as a process of its own."""

import asyncio
import json
import os
import sys
from collections.abc import Callable
from typing import Final

import uvloop

from radishtally.links.hub import Callbacks, LinkHub
from radishtally.links.messages import Hello, Load, Message, Ping

PEER_KEY: Final = "capacity"
NEAR: Final = "near"


def make_load(host: str) -> Load:
    """Make a load report of the usual size."""
    figures = 3, 12, 16, 0.41, 0.0813, 8123.5, 0.0231
    names = "mixed", "gown-llm", "2026.11", ("alteration-sheet", "fabric-tag")
    return Load(host, *figures, *names, False, 1_812_331, 712_998, 9_177, 41)


def make_hub(host: str, receive: Callable[[str, Message], None]) -> LinkHub:
    """Make a hub that does nothing but what it is told."""
    hello = Hello(host, "place", "agent", host, 1)
    ignore = lambda *_: None  # noqa: E731
    return LinkHub(hello, PEER_KEY, Callbacks(ignore, ignore, receive, lambda _: False))


async def run_agents(address: str, count: int, reports: bool) -> None:
    """Dial an address from many hosts; answer pings with a load, as agents do."""
    hubs: list[LinkHub] = []

    def add_hub(host: str) -> None:
        def receive(peer: str, message: Message) -> None:
            if reports and isinstance(message, Ping):
                hub.send(peer, make_load(host))

        hub = make_hub(host, receive)
        hubs.append(hub)
        hub.dial(NEAR, address)

    for number in range(count):
        add_hub(f"far-{number}")
        await asyncio.sleep(0)
    print(json.dumps({"pid": os.getpid()}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(run_agents(sys.argv[1], int(sys.argv[2]), sys.argv[3] == "reports"))
