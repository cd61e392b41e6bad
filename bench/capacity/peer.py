"""Run the remote end of the measured links in a separate process."""

import asyncio
import json
import os
import sys
from collections.abc import Callable
from typing import Final

import uvloop

from bench.fleet import find_port
from radishtally.links.hub import LinkCallbacks, LinkHub
from radishtally.links.kinds import Message
from radishtally.links.messages import Hello, Load, Ping

PEER_KEY: Final = "capacity"
NEAR: Final = "near"


def make_load(host: str) -> Load:
    """Make a load report of typical size."""
    figures = 3, 12, 16, 0.41, 0.0813, 8123.5, 0.0231
    names = "mixed", "gown-llm", "2026.11", ("alteration-sheet", "fabric-tag")
    return Load(host, *figures, *names, False, 1_812_331, 712_998, 9_177, 41)


def make_hub(host: str, receive: Callable[[str, Message], None]) -> LinkHub:
    """Make a link hub whose only active callback is `receive`."""
    hello = Hello(host, "place", "agent", host, 1)
    ignore = lambda *_: None  # noqa: E731
    return LinkHub(
        hello, PEER_KEY, LinkCallbacks(ignore, ignore, receive, lambda _: False)
    )


async def run_agents(count: int, reports: bool) -> None:
    """Listen as this many hosts; with `reports`, answer pings with a load report."""
    hubs: list[LinkHub] = []
    addresses = {}
    for number in range(count):
        host = f"far-{number}"

        def receive(peer: str, message: Message, number: int = number) -> None:
            if reports and isinstance(message, Ping):
                hubs[number].send(peer, make_load(f"far-{number}"))

        hubs.append(make_hub(host, receive))
        ip = f"127.{os.getpid() % 100 + 120}.{number // 250}.{number % 250 + 1}"
        addresses[host] = f"{ip}:{find_port(ip)}"
        await hubs[-1].start(addresses[host])
    print(json.dumps(addresses), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(run_agents(int(sys.argv[1]), sys.argv[2] == "reports"))
