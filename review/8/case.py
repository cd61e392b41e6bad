"""A server that spoils one answer in fifty ends gateway processes."""

import asyncio
import json
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.lib2 import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Gateway,
    Programs,
    Record,
    Store,
    ask,
    find_trouble,
    make_route,
    run,
)

WINDOWS = 12
WINDOW_SECONDS, GAP_SECONDS = 5.5, 1.0
CALLERS = 24
SPOILED_EACH = 50
"""One stream in that many is spoiled: x = 0.02 of the answers, at share 0.35."""
RESTART_SECONDS = 1.0
ENDS_OF_A_FAULT, MACHINES_OF_A_FAULT = 3, 2
ENGINES = [("e-1", "prefill"), ("e-2", "prefill")]
ENGINES += [(f"e-{number}", "decode") for number in range(3, 7)]
SPOILING = ("e-3", "e-4")


class Platform:
    """Start processes again that have ended by themselves."""

    def __init__(self, record: Record, gateways: list[Gateway]) -> None:
        self._record = record
        self._gateways = gateways
        self.ends: Counter[str] = Counter()

    async def watch(self) -> None:
        """Watch the processes."""
        while True:
            await asyncio.sleep(0.05)
            for gateway in self._gateways:
                code = gateway.process.poll()
                if code is None:
                    continue
                self.ends[gateway.name] += 1
                self._record.write(
                    f"{gateway.name} has ended by itself with {code}, the "
                    f"{self.ends[gateway.name]}. time"
                )
                await asyncio.sleep(RESTART_SECONDS)
                gateway.start()


async def call(
    gateways: list[Gateway], number: int, until: float, results: Counter, record: Record
) -> None:
    """Ask for streams one after another, as a client does."""
    count = 0
    while time.monotonic() < until:
        count += 1
        request = f"{os.getpid()}-{number}-{count}"
        headers = {
            "X-Request-Id": request,
            "X-Model": "m",
            "X-Token-Count": "100,50",
            "X-Prompt-Prefix": f"aa:60,{os.getpid():x}{number:02x}{count:06x}:40",
            "X-Deadline-Ms": "8000",
            "Content-Type": "text/plain",
        }
        gateway = gateways[(number + count) % len(gateways)]
        answer = await ask(gateway.address, "POST", "/sheet/a", headers, b"a prompt")
        state = "whole" if answer.is_complete else "cut"
        results[f"{answer.status or answer.error} {state}"] += 1
        record.write(f"{request} at {gateway.name}: {answer.status} {state}")
        await asyncio.sleep(0.1 if answer.status else 0.3)


async def spoil(engines: list, record: Record) -> None:
    """Let servers spoil answers for a while."""
    record.write("two servers begin to spoil one answer in fifty")
    for engine in engines:
        engine.send_signal(signal.SIGUSR1)
    await asyncio.sleep(WINDOW_SECONDS)
    record.write("they end it")
    for engine in engines:
        engine.send_signal(signal.SIGUSR2)
    await asyncio.sleep(GAP_SECONDS)


async def scenario(record: Record, programs: Programs) -> int:
    """Play traffic, and count the processes that end by themselves."""
    _, address = await programs.start_ready(
        "store", ["python3", "-m", "standins.rows", "--address", "127.0.0.1"]
    )
    store = Store(address, record)
    engine = {
        "slots": 64,
        "kvCapacityTokens": 577757,
        "kvTokenBytes": 35136,
        "handleTtlS": 5.0,
        "roleSwitchS": 1.0,
    }
    route = make_route("sheet", "streaming", "gown-llm", timeoutMs=8000)
    await store.configure(3, [route], [{"name": "gown-llm", "engine": engine}])
    spoiling = []
    for name, phase in ENGINES:
        command = ["python3", "review/engine2.py", "--name", name, "--phase", phase]
        command += ["--spoil", str(SPOILED_EACH), "--store", address]
        process, _ = await programs.start_ready(name, command)
        if name in SPOILING:
            spoiling.append(process)
    gateways = [Gateway(programs, n, "howrah", address) for n in (1, 2)]
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4.0)
    platform = Platform(record, gateways)
    watching = asyncio.create_task(platform.watch())
    results: Counter = Counter()
    until = time.monotonic() + WINDOWS * (WINDOW_SECONDS + GAP_SECONDS)
    calls = [
        asyncio.create_task(call(gateways, n, until, results, record))
        for n in range(CALLERS)
    ]
    for _ in range(WINDOWS if find_trouble() else 0):
        await spoil(spoiling, record)
    await asyncio.gather(*calls)
    watching.cancel()
    record.write(f"answers: {dict(results)}")
    record.write(f"processes that ended by themselves: {dict(platform.ends)}")
    errors: Counter = Counter()
    for gateway in gateways:
        for line in (programs.folder / f"{gateway.name}.out").read_text().splitlines():
            if '"process:broken"' in line:
                errors[json.loads(line)["error"]] += 1
    record.write(f"what the processes said before they ended: {dict(errors)}")
    often = [n for n, ends in platform.ends.items() if ends >= ENDS_OF_A_FAULT]
    if len(often) >= MACHINES_OF_A_FAULT:
        return BROKEN
    return HELD if results["200 whole"] else NOT_RUN


run(scenario, Path(__file__).parent)
