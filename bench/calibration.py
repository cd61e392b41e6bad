"""Check the worked-out rate of an engine against a stand-in that is kept full."""

import asyncio
import itertools
import random
import time
from collections.abc import Iterator
from typing import Any, Final

import aiohttp

from bench.fleet import Fleet
from bench.kinds import DART, HISTORY, SHEET, TAG, Kind, find_engine_rate
from bench.load import make_body
from bench.traces import Call, make_call, make_prompt

CONCURRENT: Final = 24
"""Requests at the engine at any time: more than its batch takes."""
WARM_SECONDS: Final = 10.0
SECONDS: Final = 20.0
KINDS: Final = (SHEET, TAG, DART, HISTORY)


def calibrate(speed: float = 1.0) -> Iterator[dict[str, Any]]:
    """Measure each kind on an engine of its own, all at the same time."""
    fleet = Fleet({})
    try:
        engines = {
            kind: fleet.start_standin(
                kind.name,
                "engine",
                fleet.take_ip(),
                f"--model={kind.model}",
                f"--speed={speed}",
            )
            for kind in KINDS
        }
        urls = {kind: engine.url for kind, engine in engines.items()}
        rates = asyncio.run(measure_all(urls))
    finally:
        fleet.stop()
    for kind, rate in rates.items():
        expected = find_engine_rate(kind, speed)
        yield {
            "kind": kind.name,
            "speed": speed,
            "worked_out_per_second": round(expected, 2),
            "measured_per_second": round(rate, 2),
            "measured_share": round(rate / expected, 3),
        }


async def measure_all(urls: dict[Kind, str]) -> dict[Kind, float]:
    """Measure all kinds side by side."""
    timeout = aiohttp.ClientTimeout(total=None)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        rates = await asyncio.gather(
            *(measure_kind(session, url, kind) for kind, url in urls.items())
        )
    return dict(zip(urls, rates, strict=True))


async def measure_kind(session: aiohttp.ClientSession, url: str, kind: Kind) -> float:
    """Keep an engine full and count the answers a second once it is warm."""
    source = random.Random(kind.name)
    begin = time.monotonic() + WARM_SECONDS
    end = begin + SECONDS
    done = itertools.count()

    async def ask_on() -> None:
        while time.monotonic() < end:
            call = make_call(source, kind, 0.0, 1.0)._replace(streamed=False)
            await ask(session, url, call)
            if begin <= time.monotonic() < end:
                next(done)

    await asyncio.gather(*(ask_on() for _ in range(CONCURRENT)))
    return next(done) / SECONDS


async def ask(session: aiohttp.ClientSession, url: str, call: Call) -> None:
    """Ask for one answer and read it."""
    body = make_body(call, make_prompt(call))
    async with session.post(url + call.path, data=body) as response:
        response.raise_for_status()
        await response.read()
