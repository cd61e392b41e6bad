"""Run a short soak: the guarantees hold under the faults of one seed."""

import asyncio
import shutil

from soak.core import run_seed
from soak.schedule import make_schedule

SEED = 101
SECONDS = 20.0


def test_guarantees_hold_under_faults() -> None:
    outcome = asyncio.run(run_seed(SEED, SECONDS))
    assert outcome.findings == [], f"logs: {outcome.folder}"
    served = [outcome.counts.get(f"{kind} 200", 0) for kind in ("read", "book")]
    assert all(served) and outcome.faults
    shutil.rmtree(outcome.folder)


def test_seed_determines_the_schedule() -> None:
    assert make_schedule(SEED, 60.0) == make_schedule(SEED, 60.0)
    assert make_schedule(SEED, 60.0) != make_schedule(SEED + 1, 60.0)
