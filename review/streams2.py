"""Streams that clients take up again, for the second review's scripts."""

import asyncio
import json
import os
import time
from typing import Any

from review.lib2 import BROKEN, HELD, HOST, NOT_RUN, Programs, Record, Store, make_route

EVENTS, EVENT_SECONDS = 60, 0.1
STREAMS = 24
MIN_TAKEN_UP = 12
"""Fewest streams for which the rule holds."""
DEADLINE_SECONDS = 8.0
TRIES = 3
ENGINES = [("e-1", "prefill"), ("e-2", "prefill"), ("e-3", "prefill")]
ENGINES += [(f"e-{number}", "decode") for number in range(4, 8)]


class Stream:
    """Read one stream, as a client does that takes it up again."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.last = 0
        """Id of the last event that has arrived whole."""
        self.status = 0
        self.retry_after = 0.0
        self.is_whole = False
        self._record = record
        self._began = time.monotonic()
        self.reading: Any = None
        """Task of the first attempt."""

    def find_left(self) -> float:
        """Return the seconds until the client gives up."""
        return self._began + DEADLINE_SECONDS - time.monotonic()

    async def ask(self, address: str, attempt: str) -> int:
        """Send one attempt, read what comes, and return the number of events."""
        headers = {
            "Host": HOST,
            "X-Request-Id": attempt,
            "X-Model": "m",
            "X-Token-Count": "100,50",
            "X-Prompt-Prefix": f"aa:60,{abs(hash(self.name)):x}:40",
            "X-Deadline-Ms": str(int(self.find_left() * 1000)),
            "Content-Length": "8",
        }
        if self.last:
            headers |= {"Last-Event-Id": str(self.last), "Resumes": self.name}
        before, self.status = self.last, 0
        writer = None
        try:
            async with asyncio.timeout(self.find_left()):
                ip, port = address.rsplit(":", 1)
                reader, writer = await asyncio.open_connection(ip, int(port))
                lines = ["POST /sheet/a HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\na prompt")
                await self._read(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        what = "whole" if self.is_whole else f"events {before + 1} to {self.last}"
        self._record.write(f"{attempt}: {self.status or 'no answer'}, {what}")
        return self.last - before

    async def _read(self, reader: asyncio.StreamReader) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        self.status = int(head[0].split()[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "retry-after":
                self.retry_after = float(value)
        if self.status != 200:
            return
        while size := int(await reader.readuntil(b"\r\n"), 16):
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            for line in data.decode().split("\n"):
                if line.startswith("id: "):
                    number = int(line[4:])
                    if number != self.last + 1:
                        raise ValueError("an event is missing or comes twice")
                    self.last = number
        self.is_whole = self.last == EVENTS

    async def take_up(self, addresses: list[str]) -> bool:
        """Take the stream up again elsewhere; return whether it goes on."""
        for number in range(TRIES):
            address = addresses[number % len(addresses)]
            if await self.ask(address, f"{self.name}-again-{number}"):
                return True
            pause = self.retry_after or 0.2
            if self.status not in (0, 429, 503) or pause > self.find_left() / 3:
                return False
            await asyncio.sleep(pause)
        return False

    async def finish(self) -> None:
        """Stop reading."""
        self.reading.cancel()
        await asyncio.gather(self.reading, return_exceptions=True)


class Streams:
    """Begin streams, and take up those that have been cut."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._count = 0

    async def begin(
        self, addresses: list[str], label: str, seconds: float
    ) -> list[Stream]:
        """Begin streams at the gateways by turns, evenly over a time."""
        begun = []
        for number in range(STREAMS):
            self._count += 1
            stream = Stream(f"{os.getpid()}-{label}-{self._count}", self._record)
            first = stream.ask(addresses[number % len(addresses)], stream.name)
            stream.reading = asyncio.create_task(first)
            begun.append(stream)
            await asyncio.sleep(seconds / STREAMS)
        return begun

    async def take_up(self, streams: list[Stream], addresses: list[str]) -> int:
        """Take up the streams that have been cut, and judge by the rule as written."""
        await asyncio.gather(*(stream.reading for stream in streams))
        cut = [stream for stream in streams if stream.last and not stream.is_whole]
        fresh = await self.begin(addresses, "fresh", 0.5)
        turns = len(addresses)
        went_on = await asyncio.gather(
            *(
                stream.take_up([*addresses[n % turns :], *addresses[: n % turns]])
                for n, stream in enumerate(cut)
            )
        )
        await asyncio.sleep(2.0)
        begun = sum(stream.last > 0 for stream in fresh)
        for stream in fresh:
            await stream.finish()
        self._record.write(
            f"streams taken up again at the other gateways: {len(cut)}, of which "
            f"{sum(went_on)} went on; new ones there: {STREAMS}, of which {begun} began"
        )
        if len(cut) < MIN_TAKEN_UP or not begun:
            return NOT_RUN
        share, share_new = sum(went_on) / len(cut), begun / STREAMS
        return BROKEN if share < share_new / 2 else HELD


async def start_engines(programs: Programs, store: Store, *more: str) -> dict[str, str]:
    """Write the configuration, start the servers, and return their addresses."""
    terms = {"kvCapacityTokens": 577757, "roleSwitchS": 1.0}
    route = make_route(
        "sheet",
        "streaming",
        "gown-llm",
        timeoutMs=8000,
        resumable=True,
        maxAttempts=2,
    )
    await store.configure(3, [route], [{"name": "gown-llm", "engine": terms}])
    addresses = {}
    for name, phase in ENGINES:
        command = ["python3", "review/engine2.py", "--name", name, "--phase", phase]
        command += ["--events", str(EVENTS), "--event-seconds", str(EVENT_SECONDS)]
        command += ["--store", store.address, *more]
        _, addresses[name] = await programs.start_ready(name, command)
    return addresses


def count_reasons(programs: Programs) -> dict[str, int]:
    """Count the gateways' refusals by code, for the record only."""
    counts: dict[str, int] = {}
    for path in sorted(programs.folder.glob("front-*.out")):
        for line in path.read_text().splitlines():
            if '"request:refused"' in line:
                code = json.loads(line)["code"]
                counts[code] = counts.get(code, 0) + 1
    return counts
