"""What a request costs at the entry and the agent, by real daemons."""

import asyncio
import json
import time
from collections.abc import Iterator
from typing import Final, NamedTuple

import aiohttp
import uvloop

from bench.capacity.figures import Figure
from bench.capacity.fleets import SharedFleet, make_fleet, wait_quiet

REQUESTS: Final = 600
AT_ONCE: Final = 12
SHORT: Final = 4
LONG: Final = 104
SPEED: Final = 2.0
AGENTS: Final = 2
PROMPT: Final = "A line history of the usual length. " * 60


class Cost(NamedTuple):
    """Hold the processor seconds of one request."""

    entry: float
    agent: float
    frames: float
    """Parts that a caller was sent."""


async def ask(
    session: aiohttp.ClientSession, url: str, tokens: int, streamed: bool, number: int
) -> int:
    """Ask once and count the parts of the answer."""
    body = {
        "model": "model-0",
        "messages": [{"role": "user", "content": f"{number} {PROMPT}"}],
        "max_tokens": tokens,
        "stream": streamed,
    }
    async with session.post(f"{url}/v1/chat/completions", json=body) as response:
        assert response.status == 200, await response.text()
        if not streamed:
            assert json.loads(await response.read())["choices"]
            return 1
        lines = [line async for line in response.content if line.startswith(b"data:")]
    assert lines[-1].strip() == b"data: [DONE]"
    return len(lines)


async def ask_all(url: str, tokens: int, streamed: bool, requests: int) -> int:
    """Ask many times, some at once; give the number of parts."""
    numbers = iter(range(requests))
    parts = 0
    headers = {"Authorization": "Bearer key-0"}
    async with aiohttp.ClientSession(headers=headers) as session:

        async def ask_on() -> None:
            nonlocal parts
            for number in numbers:
                given = await ask(session, url, tokens, streamed, number)
                parts += given

        await asyncio.gather(*[ask_on() for _ in range(AT_ONCE)])
    return parts


def measure_cost(fleet: SharedFleet, tokens: int, streamed: bool) -> Cost:
    """Measure requests of one kind, less what the fleet uses when idle."""
    url = next(iter(fleet.entries.values())).url
    uvloop.run(ask_all(url, tokens, streamed, AT_ONCE))
    before = fleet.read_seconds("entry"), fleet.read_seconds("agent")
    parts = uvloop.run(ask_all(url, tokens, streamed, REQUESTS))
    entry = fleet.read_seconds("entry") - before[0]
    agent = fleet.read_seconds("agent") - before[1]
    return Cost(entry / REQUESTS, agent / REQUESTS, parts / REQUESTS)


def measure_requests() -> Iterator[Figure]:
    """Measure whole and streamed answers, short and long."""
    with make_fleet(entries=1, agents=AGENTS, speed=SPEED) as fleet:
        wait_quiet()
        for streamed in (False, True):
            kind = "streamed" if streamed else "whole"
            began = time.monotonic()
            short = measure_cost(fleet, SHORT, streamed)
            long = measure_cost(fleet, LONG, streamed)
            rate = 2 * REQUESTS / (time.monotonic() - began)
            at = {"per_second": round(rate, 1), "at_once": AT_ONCE}
            tokens = LONG - SHORT
            for end in ("entry", "agent"):
                one, many = getattr(short, end), getattr(long, end)
                token = (many - one) / tokens
                base = (one - SHORT * token) * 1e6
                yield Figure(f"request, {kind}, {end}", base, "us", at)
                yield Figure(f"token, {kind}, {end}", token * 1e6, "us", at)
            if streamed:
                parts = (long.frames - short.frames) / tokens
                yield Figure("chunk to the caller", parts, "per token", at)
