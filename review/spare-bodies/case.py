"""Bodies in chunks fill a gateway's memory while most connections go to one node."""

import asyncio
import os
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.lib2 import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    LIMITS,
    NOT_RUN,
    Gateway,
    Programs,
    Record,
    Store,
    find_trouble,
    make_route,
    run,
)

MEMORY_MB = 300
"""What the platform allows a process (`memoryMb`), in units of 2**20 bytes."""
WAVES = 8
WAVE_SECONDS = 9.0
REQUESTS = 80
"""Requests of a wave."""
UPLOAD_SECONDS = 6.0
PIECE_BYTES = 32_768
BODY_BYTES = LIMITS["maxBodyBytes"]
RESTART_SECONDS = 1.0
ENDS_OF_A_FAULT, MACHINES_OF_A_FAULT = 3, 2


class Platform:
    """Kill a process that exceeds its memory, and start it again."""

    def __init__(self, record: Record, gateways: list[Gateway]) -> None:
        self._record = record
        self._gateways = gateways
        self.ends: Counter[str] = Counter()
        self.most: Counter[str] = Counter()

    async def watch(self) -> None:
        """Watch the processes."""
        while True:
            await asyncio.sleep(0.05)
            for gateway in self._gateways:
                await self._check(gateway)

    async def _check(self, gateway: Gateway) -> None:
        megabytes = measure(gateway)
        self.most[gateway.name] = max(self.most[gateway.name], megabytes)
        if megabytes <= MEMORY_MB:
            return
        self.ends[gateway.name] += 1
        self._record.write(
            f"{gateway.name} holds {megabytes} MB and is killed, the "
            f"{self.ends[gateway.name]}. time"
        )
        gateway.process.kill()
        gateway.process.wait()
        await asyncio.sleep(RESTART_SECONDS)
        gateway.start()


def measure(gateway: Gateway) -> int:
    """Return the memory that a process holds, in MB."""
    path = Path(f"/proc/{gateway.process.pid}/status")
    for line in path.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) // 1024
    return 0


async def upload(
    gateway: Gateway, request: str, results: Counter, record: Record
) -> None:
    """Send a request with a body in chunks, and read the first line of its answer."""
    writer = None
    try:
        async with asyncio.timeout(3 * UPLOAD_SECONDS):
            ip, port = gateway.address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port))
            head = f"POST /book/a HTTP/1.1\r\nHost: {HOST}\r\n"
            head += f"X-Request-Id: {request}\r\nX-Deadline-Ms: 14000\r\n"
            writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
            pieces = BODY_BYTES // PIECE_BYTES
            piece = f"{PIECE_BYTES:x}\r\n".encode() + bytes(PIECE_BYTES) + b"\r\n"
            began = time.monotonic()
            for number in range(pieces):
                writer.write(piece)
                await writer.drain()
                due = began + (number + 1) * UPLOAD_SECONDS / pieces
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            writer.write(b"0\r\n\r\n")
            line = (await reader.readline()).decode("latin-1")
            outcome = line[9:12] or "closed without an answer"
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        outcome = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    results[outcome] += 1
    record.write(f"{request} at {gateway.name}: {outcome}")


async def scenario(record: Record, programs: Programs) -> int:
    """Send the requests of each wave to one node, or spread them over four."""
    _, address = await programs.start_ready(
        "store", ["python3", "-m", "standins.rows", "--address", "127.0.0.1"]
    )
    store = Store(address, record)
    route = make_route("book", "unsafe", "booking-app", timeoutMs=14000)
    services = [{"name": "booking-app", "healthPath": "/health"}]
    await store.configure(3, [route], services)
    for number in range(3):
        name = f"d-{number + 1}"
        command = ["python3", "review/desk2.py", "--name", name]
        command += ["--service", "booking-app", "--store", address]
        await programs.start_ready(name, command)
    gateways = [Gateway(programs, n, "howrah", address) for n in (1, 2, 3, 4)]
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(3.0)
    platform = Platform(record, gateways)
    watching = asyncio.create_task(platform.watch())
    total: Counter = Counter()
    for wave in range(WAVES):
        node = gateways[wave % 2]
        others = [gateway for gateway in gateways if gateway is not node]
        # Nine in ten go to one node.
        nodes = [node] * 27 + others if find_trouble() else gateways
        results: Counter = Counter()
        began = time.monotonic()
        calls = []
        for number in range(REQUESTS):
            name = f"{os.getpid()}-{wave}-{number}"
            calls.append(upload(nodes[number % len(nodes)], name, results, record))
        await asyncio.gather(*calls)
        where = f"mostly to {node.name}" if find_trouble() else "to all nodes"
        record.write(f"wave {wave + 1} {where}: {dict(results)}")
        total += results
        await asyncio.sleep(max(1.0, began + WAVE_SECONDS - time.monotonic()))
    watching.cancel()
    record.write(f"answers: {dict(total)}")
    record.write(f"most memory in MB: {dict(platform.most)}")
    record.write(f"processes killed for memory: {dict(platform.ends)}")
    often = [n for n, ends in platform.ends.items() if ends >= ENDS_OF_A_FAULT]
    if len(often) >= MACHINES_OF_A_FAULT:
        return BROKEN
    return HELD if total["200"] else NOT_RUN


run(scenario, Path(__file__).parent)
