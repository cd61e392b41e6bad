"""Measure what a call with an idempotency claim costs the table and the entry."""

import asyncio
import time
from collections.abc import Iterator
from typing import Any, Final

import uvloop

from bench.capacity.figures import Figure
from bench.fleet import Fleet, get_json
from radishtally.claims.events import Granted
from radishtally.claims.store import ClaimStore
from radishtally.store.ids import WriteIds
from radishtally.store.table import HttpTable

CLAIMS: Final = 600
BODY: Final = b"x" * 200


async def run_claims(url: str, rate: float) -> tuple[float, float]:
    """Claim and finish calls at a constant rate; return processor and wall seconds."""
    table = HttpTable(url, "radishtally")
    holder = f"capacity-{rate}"
    store = ClaimStore(table, holder, WriteIds(holder))
    store.start()

    async def claim(number: int) -> None:
        key = f"{rate}-{number}"
        outcome = await store.claim("team", key, key, "hash")
        assert isinstance(outcome, Granted), outcome
        store.finish("team", key, key, 200, (), BODY)

    cpu_seconds, started_at = time.process_time(), time.monotonic()
    tasks = []
    for number in range(CLAIMS):
        await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
        tasks.append(asyncio.create_task(claim(number)))
    await asyncio.gather(*tasks)
    cpu_seconds, wall_seconds = (
        time.process_time() - cpu_seconds,
        time.monotonic() - started_at,
    )
    await store.stop()
    await table.close()
    return cpu_seconds, wall_seconds


def measure_claims() -> Iterator[Figure]:
    """Measure claims at several rates against an unlimited table."""
    fleet = Fleet({})
    try:
        args = ("--writes-per-second", "1000000")
        url = fleet.start_standin("table", "table", fleet.take_ip(), *args).url
        for rate in (20.0, 100.0, 200.0):
            before: dict[str, Any] = get_json(f"{url}/_counts")
            cpu_seconds, _ = uvloop.run(run_claims(url, rate))
            after = get_json(f"{url}/_counts")
            at = {"claims_per_second": rate}
            yield Figure("claim, entry", cpu_seconds / CLAIMS * 1e6, "us", at)
            for operation in ("reads", "writes", "transactions"):
                each = (after[operation] - before[operation]) / CLAIMS
                yield Figure(f"claim, table {operation}", each, "per claim", at)
    finally:
        fleet.stop()
