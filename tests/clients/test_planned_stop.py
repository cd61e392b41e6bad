"""Tests of calls that reach a gateway, and its hosts, late in a planned stop."""

import asyncio
import json
import random
import signal
from contextlib import suppress
from pathlib import Path

import pytest
from aiohttp import web

from bench.fleet import Fleet
from soak.const import DEPLOYMENT, GRACE_SECONDS
from tests.clients.common import GatewayDeployment, Process, connect, make_head, write
from tests.clients.test_entry import KEY, POST
from tests.gateway.common import add_health_check, serve
from tests.integration.common import set_fault

CALLERS = 24
CALL_PAUSE_SECONDS = 0.1
POLL_SECONDS = 0.02
WARM_UP_SECONDS = 1.0
STOP_SECONDS = 2.0
LONG_MS = 60_000
ANSWER_SECONDS = (0.01, 0.1, 0.5, 1.0, 2.0, 5.0, 9.0)
DEADLINES_MS = (400, 1500, 4000, 20_000)
PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a call has not run."""


class Host:
    """Answer calls after a random time, and note their names."""

    def __init__(self) -> None:
        self.run: set[str] = set()
        self._random = random.Random(1)

    async def listen(self) -> str:
        """Listen until the event loop ends; return the address."""
        app = web.Application()
        add_health_check(app, "h-1")
        app.router.add_route("*", "/{path:.*}", self._answer)
        return await serve(app)

    async def _answer(self, request: web.Request) -> web.Response:
        name = request.headers["X-Request-Id"]
        self.run.add(name)
        await asyncio.sleep(self._random.choice(ANSWER_SECONDS))
        headers = {"X-Request-Id": name, "X-Server-Signature": "by-h-1"}
        return web.Response(body=b"whole", headers=headers)


class Caller:
    """Send calls that may not be repeated until the gateway is gone."""

    def __init__(self, address: str, number: int) -> None:
        self.answered: dict[str, int] = {}
        """Status of each call that got a whole answer, by the call's name."""
        self._address = address
        self._keeps = number % 2 == 0
        self._random = random.Random(number)
        self._writer: asyncio.StreamWriter | None = None

    async def call_until(self, ended: asyncio.Event) -> None:
        """Call again and again, on kept connections or on new ones."""
        while not ended.is_set():
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._call()
            await asyncio.sleep(CALL_PAUSE_SECONDS)
        self._close()

    async def _call(self) -> None:
        if self._writer is None:
            self._reader, self._writer = await connect(self._address)
        deadline_ms = self._random.choice(DEADLINES_MS)
        head = make_head("/book/x", deadline_ms=deadline_ms)
        writer, is_closed = self._writer, True
        try:
            writer.write(head)
            answer = (await self._reader.readuntil(b"\r\n\r\n")).lower()
            length = answer.partition(b"content-length: ")[2].split(b"\r\n")[0]
            await self._reader.readexactly(int(length))
            name = head.partition(b"X-Request-Id: ")[2].split(b"\r\n")[0].decode()
            self.answered[name] = int(answer.split()[1])
            is_closed = not self._keeps or b"connection: close" in answer
        finally:
            if is_closed:
                self._close()

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = None


async def stop(gateway: Process) -> None:
    """Stop a gateway as the platform does, and wait until it is gone."""
    process = gateway.process
    process.send_signal(signal.SIGTERM)
    with suppress(TimeoutError):
        async with asyncio.timeout(GRACE_SECONDS):
            while process.poll() is None:
                await asyncio.sleep(POLL_SECONDS)
    process.kill()


async def change_grace(gateway: Process, path: Path, seconds: float) -> None:
    """Change the grace period in the settings while a gateway is stopping."""
    await asyncio.sleep(1.0)
    settings = json.loads(path.read_text())
    settings["bounds"]["grace_seconds"] = seconds
    path.write_text(json.dumps(settings))
    gateway.process.send_signal(signal.SIGHUP)


# Guards against calls that are accepted late in a stop, run at a host, and cut off
# without an answer as the process exits.
@pytest.mark.alone
@pytest.mark.parametrize(
    ("slots", "grace"),
    [(1_000, None), (2, None), (1_000, 60.0), (1_000, 2.0)],
    ids=["free", "queued", "longer grace", "shorter grace"],
)
def test_no_call_that_has_run_is_cut_off_by_a_stop(
    slots: int,
    grace: float | None,
    deployment: GatewayDeployment,
    gateway: Process,
    tmp_path: Path,
) -> None:
    async def play() -> None:
        host = Host()
        entry = {**DEPLOYMENT["entry"], "service": "desk", "slots": slots}
        entry["address"] = await host.listen()
        write(deployment.store, "servers", "h-1", entry)
        ended = asyncio.Event()
        address = gateway.addresses["callers"]
        callers = [Caller(address, number) for number in range(CALLERS)]
        calling = [asyncio.create_task(one.call_until(ended)) for one in callers]
        await asyncio.sleep(WARM_UP_SECONDS)
        run_before = set(host.run)
        stopping = [stop(gateway)]
        if grace is not None:
            stopping.append(change_grace(gateway, tmp_path / "gateway.json", grace))
        await asyncio.gather(*stopping)
        ended.set()
        await asyncio.gather(*calling)
        answered = {name: s for one in callers for name, s in one.answered.items()}
        assert host.run - run_before
        assert host.run <= answered.keys()
        assert not [name for name in host.run if answered[name] in PROMISES]

    asyncio.run(play())


# Guards against callers who learn nothing of a call that may have run, as their entry
# stops before it ends.
@pytest.mark.alone
def test_calls_that_outlast_the_stop_of_an_entry_are_refused(
    small_fleet: Fleet,
) -> None:
    service = small_fleet.upstreams["booking-1"].url
    small_fleet.kill("entry-1")
    small_fleet.settings["entry-1"]["stop_seconds"] = STOP_SECONDS
    entry = small_fleet.start_daemon("entry-1")
    small_fleet.wait_until(small_fleet.is_ready, "the fleet to be ready")
    head = make_head(POST, "POST", f"{KEY}Content-Length: 2\r\n", LONG_MS)

    async def call() -> bytes:
        reader, writer = await connect(entry.address)
        writer.write(head + b"ok")
        answer = await reader.read()
        writer.close()
        return answer.lower()

    async def play() -> None:
        calling = [asyncio.create_task(call()) for _ in range(CALLERS)]
        await asyncio.sleep(WARM_UP_SECONDS)
        entry.process.send_signal(signal.SIGTERM)
        for answer in await asyncio.gather(*calling):
            assert answer.startswith(b"http/1.1 503 "), answer
            assert b"x-ran: unknown\r\n" in answer or b"x-ran: no\r\n" in answer

    set_fault(service, mode="slow", seconds=LONG_MS / 1000)
    try:
        asyncio.run(play())
    finally:
        set_fault(service, mode="up")
