"""Memory of a bare process, and what each library adds to it."""

import subprocess
import sys
from collections.abc import Iterator
from typing import Final

from bench.capacity.figures import Figure
from bench.capacity.fleets import make_fleet, wait_to_settle
from bench.capacity.usage import read_usage
from bench.fleet import ROOT, make_environment

IMPORTS: Final = {
    "agent": (
        "sys", "asyncio", "uvloop", "msgspec", "xxhash", "eliot", "expression",
        "statsd", "grpclib.client", "grpclib.server", "aiohttp", "pyjson5", "fire",
        "radishtally.agent.daemon",
    ),
    "entry": ("radishtally.agent.daemon", "sanic", "radishtally.entry.daemon"),
}  # fmt: skip
CODE: Final = """
import sys, importlib
from bench.capacity.usage import read_usage
for name in sys.argv[1:]:
    importlib.import_module(name)
    print(name, read_usage().resident, flush=True)
"""


def measure_imports(role: str) -> Iterator[Figure]:
    """Measure what each import adds, in the order given."""
    command = [sys.executable, "-c", CODE, *IMPORTS[role]]
    lines = subprocess.run(
        command, cwd=ROOT, env=make_environment(), capture_output=True, check=True
    ).stdout.splitlines()
    before = 0.0
    for line in lines:
        name, resident = line.decode().split()
        added = float(resident) - before
        before = float(resident)
        at = {"role": role, "sum": round(before, 1)}
        yield Figure(f"import {name}", added, "MB", at)


def measure_startup() -> Iterator[Figure]:
    """Measure imports, and daemons that have just started and serve nothing."""
    for role in IMPORTS:
        yield from measure_imports(role)
    fleet = make_fleet(entries=1, agents=2)
    with fleet:
        wait_to_settle()
        for role, group in (("entry", fleet.entries), ("agent", fleet.agents)):
            child = next(iter(group.values()))
            at = {"entries": 1, "agents": 2}
            resident = read_usage(child.pid).resident
            yield Figure(f"{role}, resident after start", resident, "MB", at)
