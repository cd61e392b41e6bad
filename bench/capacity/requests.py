"""Measure what a request costs at the entry and the agent with real daemons."""

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
    """Describe the engine speed and the load of a run."""

    name: str
    speed: float
    requests: int
    at_once: int


# An entry sends tokens to the caller in parts of about 20 ms. At 57 ms a token each
# token is a separate part; at 2 ms a token many tokens share a part.
PACES: Final = (
    Pace("57 ms a token", 0.355, 96, 32),
    Pace("2 ms a token", 10.0, 400, 12),
)


class Cost(NamedTuple):
    """Hold the average processor seconds of one request."""

    entry: float
    agent: float
    parts: float
    """Parts of the answer that the caller received."""


async def ask(
    session: aiohttp.ClientSession, url: str, tokens: int, streamed: bool, number: int
) -> int:
    """Send one request and return the number of parts of the answer."""
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
    """Send requests, `at_once` of them concurrently; return the number of parts."""
    numbers = iter(range(requests))
    parts = 0
    headers = {"Authorization": "Bearer key-0"}
    async with aiohttp.ClientSession(headers=headers) as session:

        async def ask_repeatedly() -> None:
            nonlocal parts
            for number in numbers:
                part_count = await ask(session, url, tokens, streamed, number)
                parts += part_count

        await asyncio.gather(*[ask_repeatedly() for _ in range(at_once)])
    return parts


class CpuClock:
    """Measure the processor time of a fleet in excess of its idle usage."""

    def __init__(self, fleet: SharedFleet) -> None:
        self._fleet = fleet
        started_at, before = time.monotonic(), self._read()
        time.sleep(IDLE_SECONDS)
        elapsed = time.monotonic() - started_at
        after = self._read()
        self._idle = [
            (two - one) / elapsed for one, two in zip(before, after, strict=True)
        ]
        self._started_at, self._before = started_at, after

    def start(self) -> None:
        """Start a measurement."""
        self._started_at, self._before = time.monotonic(), self._read()

    def stop(self) -> list[float]:
        """Return the processor seconds of the entry and of all agents."""
        elapsed = time.monotonic() - self._started_at
        readings = zip(self._before, self._read(), self._idle, strict=True)
        return [two - one - idle * elapsed for one, two, idle in readings]

    def _read(self) -> list[float]:
        return [self._fleet.read_seconds(role) for role in ("entry", "agent")]


def measure_cost(
    fleet: SharedFleet, clock: CpuClock, pace: Pace, tokens: int, streamed: bool
) -> Cost:
    """Measure the average cost of requests with this many tokens, after a warm-up."""
    url = next(iter(fleet.entries.values())).url
    uvloop.run(ask_all(url, SHORT, streamed, pace.at_once, pace.at_once))
    clock.start()
    parts = uvloop.run(ask_all(url, tokens, streamed, pace.requests, pace.at_once))
    entry, agent = (cpu_seconds / pace.requests for cpu_seconds in clock.stop())
    return Cost(entry, agent, parts / pace.requests)


def measure_pace(pace: Pace) -> Iterator[Figure]:
    """Measure unstreamed and streamed answers, short and long, at one pace.

    The difference between short and long answers gives the cost of a token.
    """
    with make_fleet(entries=1, agents=AGENTS, speed=pace.speed) as fleet:
        wait_to_settle()
        clock = CpuClock(fleet)
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
    """Measure requests at each pace."""
    for pace in PACES:
        yield from measure_pace(pace)
