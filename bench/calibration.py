"""Compare the computed rate of an engine with a stand-in under constant full load."""

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

CONCURRENCY: Final = 24
"""Requests in flight at an engine: more than its batch holds."""
WARM_UP_SECONDS: Final = 10.0
MEASURED_SECONDS: Final = 20.0
KINDS: Final = (SHEET, TAG, DART, HISTORY)


def calibrate(speed: float = 1.0) -> Iterator[dict[str, Any]]:
    """Measure each kind on a separate engine, all concurrently."""
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
    """Measure all kinds concurrently and return the rates by kind."""
    timeout = aiohttp.ClientTimeout(total=None)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        rates = await asyncio.gather(
            *(measure_kind(session, url, kind) for kind, url in urls.items())
        )
    return dict(zip(urls, rates, strict=True))


async def measure_kind(session: aiohttp.ClientSession, url: str, kind: Kind) -> float:
    """Saturate an engine and return the answers per second after the warm-up."""
    rng = random.Random(kind.name)
    begin = time.monotonic() + WARM_UP_SECONDS
    end = begin + MEASURED_SECONDS
    done = itertools.count()

    async def ask_repeatedly() -> None:
        while time.monotonic() < end:
            call = make_call(rng, kind, 0.0, 1.0)._replace(streamed=False)
            await ask(session, url, call)
            if begin <= time.monotonic() < end:
                next(done)

    await asyncio.gather(*(ask_repeatedly() for _ in range(CONCURRENCY)))
    return next(done) / MEASURED_SECONDS


async def ask(session: aiohttp.ClientSession, url: str, call: Call) -> None:
    """Send one request and read the answer."""
    body = make_body(call, make_prompt(call))
    async with session.post(url + call.path, data=body) as response:
        response.raise_for_status()
        await response.read()
