"""What a claimed call costs the table and the entry."""

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
    """Claim and finish at an even rate; give processor time and seconds taken."""
    table = HttpTable(url, "radishtally")
    holder = f"capacity-{rate}"
    store = ClaimStore(table, holder, WriteIds(holder))
    store.start()

    async def claim(number: int) -> None:
        key = f"{rate}-{number}"
        outcome = await store.claim("team", key, key, "hash")
        assert isinstance(outcome, Granted), outcome
        store.finish("team", key, key, 200, (), BODY)

    used, began = time.process_time(), time.monotonic()
    tasks = []
    for number in range(CLAIMS):
        await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
        tasks.append(asyncio.create_task(claim(number)))
    await asyncio.gather(*tasks)
    used, took = time.process_time() - used, time.monotonic() - began
    await store.stop()
    await table.close()
    return used, took


def measure_claims() -> Iterator[Figure]:
    """Measure claims at several rates."""
    fleet = Fleet({})
    try:
        args = ("--writes-per-second", "1000000")
        url = fleet.start_standin("table", "table", fleet.take_ip(), *args).url
        for rate in (20.0, 100.0, 200.0):
            before: dict[str, Any] = get_json(f"{url}/_counts")
            used, _ = uvloop.run(run_claims(url, rate))
            after = get_json(f"{url}/_counts")
            at = {"claims_per_second": rate}
            yield Figure("claim, entry", used / CLAIMS * 1e6, "us", at)
            for what in ("reads", "writes", "transactions"):
                each = (after[what] - before[what]) / CLAIMS
                yield Figure(f"claim, table {what}", each, "per claim", at)
    finally:
        fleet.stop()
