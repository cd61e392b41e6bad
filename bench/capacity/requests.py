"""What a request costs at the entry and the agent, by real daemons."""

import asyncio
import json
import time
from collections.abc import Iterator
from typing import Final, NamedTuple

import aiohttp
import uvloop

from bench.capacity.figures import Figure
from bench.capacity.fleets import SharedFleet, make_fleet, wait_to_settle

SHORT: Final = 4
LONG: Final = 104
AGENTS: Final = 2
IDLE_SECONDS: Final = 4.0
PROMPT: Final = "A line history of the usual length. " * 60


class Pace(NamedTuple):
    """Describe a run: how fast the engines are and how much is asked of them."""

    name: str
    speed: float
    requests: int
    at_once: int


# Tokens come to the caller in parts of about 20 ms. At the pace of the letter each is
# a part of its own; at a fast one many share a part.
PACES: Final = (
    Pace("57 ms a token", 0.355, 96, 32),
    Pace("2 ms a token", 10.0, 400, 12),
)


class Cost(NamedTuple):
    """Hold the processor seconds of one request."""

    entry: float
    agent: float
    parts: float
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


async def ask_all(
    url: str, tokens: int, streamed: bool, requests: int, at_once: int
) -> int:
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

        await asyncio.gather(*[ask_on() for _ in range(at_once)])
    return parts


class Clock:
    """Read the processor time that a fleet used over what it uses when idle."""

    def __init__(self, fleet: SharedFleet) -> None:
        self._fleet = fleet
        began, before = time.monotonic(), self._read()
        time.sleep(IDLE_SECONDS)
        took = time.monotonic() - began
        after = self._read()
        self._idle = [
            (two - one) / took for one, two in zip(before, after, strict=True)
        ]
        self._began, self._before = began, after

    def start(self) -> None:
        """Begin to count."""
        self._began, self._before = time.monotonic(), self._read()

    def stop(self) -> list[float]:
        """Give the seconds used by the entry and the agents."""
        took = time.monotonic() - self._began
        used = zip(self._before, self._read(), self._idle, strict=True)
        return [two - one - idle * took for one, two, idle in used]

    def _read(self) -> list[float]:
        return [self._fleet.read_seconds(role) for role in ("entry", "agent")]


def measure_cost(
    fleet: SharedFleet, clock: Clock, pace: Pace, tokens: int, streamed: bool
) -> Cost:
    """Measure requests of one kind."""
    url = next(iter(fleet.entries.values())).url
    uvloop.run(ask_all(url, SHORT, streamed, pace.at_once, pace.at_once))
    clock.start()
    parts = uvloop.run(ask_all(url, tokens, streamed, pace.requests, pace.at_once))
    entry, agent = (used / pace.requests for used in clock.stop())
    return Cost(entry, agent, parts / pace.requests)


def measure_pace(pace: Pace) -> Iterator[Figure]:
    """Measure whole and streamed answers, short and long, at one pace."""
    with make_fleet(entries=1, agents=AGENTS, speed=pace.speed) as fleet:
        wait_to_settle()
        clock = Clock(fleet)
        for streamed in (False, True):
            kind = "streamed" if streamed else "whole"
            short = measure_cost(fleet, clock, pace, SHORT, streamed)
            long = measure_cost(fleet, clock, pace, LONG, streamed)
            at = {"pace": pace.name, "at_once": pace.at_once}
            tokens = LONG - SHORT
            for end in ("entry", "agent"):
                one, many = getattr(short, end), getattr(long, end)
                token = (many - one) / tokens
                base = (one - SHORT * token) * 1e6
                yield Figure(f"request, {kind}, {end}", base, "us", at)
                yield Figure(f"token, {kind}, {end}", token * 1e6, "us", at)
            if streamed:
                parts = (long.parts - short.parts) / tokens
                yield Figure("parts sent to the caller", parts, "per token", at)


def measure_requests() -> Iterator[Figure]:
    """Measure at each pace."""
    for pace in PACES:
        yield from measure_pace(pace)
