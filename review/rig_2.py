"""Small deployment on loopback for scripts of the second review.

The gateways are the project's own program, started with the command of the deploy file
and with its template of settings. Everything around them is played here: the store
(rows of `standins.rows`, behind one address a gateway), and small servers.
"""

import asyncio
import base64
import json
import logging
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import aiohttp
from aiohttp import web

from standins.rows import RowId, Rows

ROOT: Final = Path(__file__).resolve().parent.parent
BROKEN: Final = 10
"""Not 1, with which the interpreter ends after an error."""
HELD: Final = 0
NOT_RUN: Final = 2
HEARTBEAT_SECONDS: Final = 1.2
START_SECONDS: Final = 30.0
AUTHORITY: Final = "shop.example"
ZONES: Final = ("salt-lake", "salt-lake", "howrah", "new-town")
"""Zones of the four gateways, as at Lagna Fittings."""
BOUNDS: Final = {
    "graceS": 8,
    "drainMs": 2000,
    "leaseMs": 3000,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 54,
    "budgetWindowS": 10,
}
STABLE_SECONDS: Final = 3.0
"""`stableMs` of the deployment."""
LIMITS: Final = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ENGINE: Final = {
    "slots": 64,
    "kvCapacityTokens": 577757,
    "kvTokenBytes": 35136,
    "stride": 10,
    "handleTtlS": 5.0,
    "roleSwitchS": 3.0,
}


class CannotRunError(Exception):
    """Raised when a case can't be judged."""


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text: str) -> float:
        """Write a line; return the time of it."""
        now = time.monotonic()
        self._file.write(f"{now - self.began:8.3f} {text}\n")
        self._file.flush()
        return now

    def show(self, at: float) -> float:
        """Return a monotonic time as seconds since the start."""
        return round(at - self.began, 3)


def pick_ip() -> str:
    """Pick a loopback address that nothing listens on."""
    while True:
        ip = f"127.{random.randint(60, 190)}.{random.randint(1, 250)}.7"
        try:
            for port in (9464, 8149):
                socket.create_server((ip, port)).close()
        except OSError:
            continue
        return ip


async def serve(app: web.Application, ip: str) -> tuple[web.AppRunner, str]:
    """Serve an application on a free port; return the runner and the address."""
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0)
    await runner.setup()
    await web.TCPSite(runner, ip, 0, backlog=1024).start()
    return runner, "{}:{}".format(*runner.addresses[0][:2])


@dataclass
class Door:
    """Represent the store as one gateway reaches it."""

    gateway: str
    is_silent: bool = False
    """Whether calls get no response, which also ends their connections' use."""
    silences: int = 0
    feeds: dict[str, float] = field(default_factory=dict)
    """Time at which the last call for changes that waits came in, by table."""
    address: str = ""


class Store:
    """Play the platform's store; rows are those of the project's stand-in."""

    def __init__(self, record: Record) -> None:
        self.rows = Rows()
        self._record = record
        self._runners: list[web.AppRunner] = []

    async def open_door(self, gateway: str, ip: str) -> Door:
        """Serve the store at an address of its own for one gateway."""
        door = Door(gateway)
        app = self.rows.build_app()

        @web.middleware
        async def answer(request: web.Request, handler: Callable) -> web.StreamResponse:
            if request.path.endswith("rows-feed") and request.query["waitMs"] != "0":
                door.feeds[request.query["table"]] = time.monotonic()
            silences = door.silences
            if not door.is_silent:
                response = await handler(request)
            if door.is_silent or door.silences != silences:
                # The response is lost: the connection delivers nothing further.
                name = request.path.rsplit("/", 1)[-1]
                table = request.query.get("table", "")
                self._record.write(f"store: no response to {gateway}: {name} {table}")
                await asyncio.Event().wait()
            return response

        app.middlewares.insert(0, answer)
        runner, door.address = await serve(app, ip)
        self._runners.append(runner)
        return door

    def silence(self, door: Door) -> None:
        """Stop to respond to one gateway; what it has asked already is lost too."""
        door.is_silent = True
        door.silences += 1
        self._record.write(f"store: no responses to {door.gateway} from now on")

    def resume(self, door: Door) -> None:
        """Respond to the gateway's calls again."""
        door.is_silent = False
        self._record.write(f"store: serves {door.gateway} again")

    def configure(self, version: int, routes: list[dict], services: list[dict]) -> None:
        """Write a configuration as the operator does."""
        value = {"version": version, "routes": routes, "services": services}
        self.put("op", "config", {**value, "limits": LIMITS})
        self._record.write(f"operator: configuration {version} is acknowledged")

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row, or remove it if there is no value."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows.write(RowId(table, "", key), text)

    def is_listed(self, key: str) -> bool:
        """Return whether a server has an entry."""
        _, known = self.rows._rows.get(RowId("servers", "", key), (0, None))
        return known is not None

    def refresh(self, key: str, value: dict[str, Any]) -> None:
        """Renew a server's entry: a new `sequence` alone is no change."""
        row_id = RowId("servers", "", key)
        version, known = self.rows._rows[row_id]
        try:
            before = json.loads(base64.b64decode(known or ""))
        except ValueError:
            before = None
        if before is None or {**before, "sequence": value["sequence"]} != value:
            self.put("servers", key, value)
            return
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows._rows[row_id] = version, text

    async def close(self) -> None:
        """Stop serving."""
        for runner in self._runners:
            await runner.cleanup()


class Server:
    """Play a server: it registers itself, crashes and starts again under its id."""

    phase = ""
    slots = 6

    def __init__(self, case: "Case", name: str, service: str, zone: str) -> None:
        self.case = case
        self.name, self.service, self.zone = name, service, zone
        self.born = 0
        self.crashes = 0
        self.is_up = False
        self._sequence = 0
        self._runner: web.AppRunner | None = None
        self._port = 0
        self._signatures = 0

    async def start(self) -> None:
        """Start, at the same address as before, and register."""
        app = web.Application(client_max_size=2**24)
        self.add_routes(app)
        self._runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, "127.0.0.1", self._port, backlog=1024, reuse_address=True
        )
        await site.start()
        self._port = self._runner.addresses[0][1]
        self.born, self._sequence, self.is_up = int(time.time() * 1000), 0, True
        self.register()
        self.case.record.write(f"{self.name}: up, born {self.born}")

    def add_routes(self, app: web.Application) -> None:
        """Add what the server answers."""
        app.router.add_get("/health", self._answer_health)
        app.router.add_route("*", "/{path:.*}", self.answer)

    def describe(self) -> dict[str, Any]:
        """Return the entry in the list of servers."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self._port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        return entry | ({"phase": self.phase} if self.phase else {})

    def register(self) -> None:
        """Write the entry."""
        self.case.store.put("servers", self.name, self.describe())

    def beat(self) -> None:
        """Renew the entry."""
        if self.is_up:
            self.case.store.refresh(self.name, self.describe())

    def crash(self) -> None:
        """End at once: connections close, and new ones are refused."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        self.crashes += 1
        self.is_up = False
        self.case.record.write(f"{self.name}: crashes")
        for site in list(runner.sites):
            site._server.close()
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def sign(self) -> str:
        """Make a signature for an answer."""
        self._signatures += 1
        return f"{self.name}.{self.born}.{self._signatures}"

    def check_target(self, request: web.Request) -> web.Response | None:
        """Return the refusal of a request that is meant for another server."""
        if request.headers.get("X-Target-Instance", self.name) == self.name:
            return None
        return web.Response(status=421, headers={"X-Not-Executed": "1"})

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Run a request; cases replace this."""
        refusal = self.check_target(request)
        if refusal is not None:
            return refusal
        await request.read()
        name = request.headers["X-Request-Id"]
        self.case.record.write(f"{self.name}: runs {name} {request.path}")
        headers = {"X-Request-Id": name, "X-Server-Signature": self.sign()}
        return web.Response(body=f"{self.service} {name}".encode(), headers=headers)

    async def _answer_health(self, request: web.Request) -> web.Response:
        refusal = self.check_target(request)
        return refusal or web.Response(headers={"X-Instance-Id": self.name})


class Engine(Server):
    """Play a model server: it reads prompts or streams answers, and takes orders."""

    slots = 64
    events = 12
    prompt_seconds = 0.05
    event_seconds = 0.03

    def __init__(
        self, case: "Case", name: str, service: str, zone: str, phase: str = "decode"
    ) -> None:
        super().__init__(case, name, service, zone)
        self.phase = phase
        self._orders = 0
        self._fence = 0
        self._is_busy = False

    async def start(self) -> None:
        """Start without orders, fences and handles."""
        self._orders = self._fence = 0
        self._is_busy = False
        await super().start()

    def add_routes(self, app: web.Application) -> None:
        """Add the calls of model servers."""
        app.router.add_get("/api/report", self._report)
        app.router.add_get("/api/kv-list", self._list_parts)
        app.router.add_post("/api/order", self._receive_order)
        app.router.add_delete("/api/kv-handle/{name}", self._free_handle)
        super().add_routes(app)

    async def _report(self, request: web.Request) -> web.Response:
        state = {
            "phase": self.phase,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self._is_busy,
            "sequence": self._orders,
            "queued": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": ENGINE["kvCapacityTokens"],
            "kvHandles": 0,
            "born": self.born,
        }
        return self.check_target(request) or web.json_response(state)

    async def _list_parts(self, request: web.Request) -> web.Response:
        return web.json_response({"epoch": 1, "next": 1, "held": []})

    async def _free_handle(self, request: web.Request) -> web.Response:
        return web.Response()

    async def _receive_order(self, request: web.Request) -> web.Response:
        refusal = self.check_target(request)
        if refusal is not None:
            return refusal
        status = await self.take_order(await request.json())
        return web.Response(status=status)

    async def take_order(self, body: dict[str, Any]) -> int:
        """Take an order and return the status of the answer."""
        return self.carry_out(body)

    def carry_out(self, body: dict[str, Any]) -> int:
        """Carry out an order if that is allowed; return the status."""
        if body["fenceToken"] < self._fence:
            return 412
        self._fence = body["fenceToken"]
        if self._is_busy or body.get("expected", self._orders) != self._orders:
            return 409
        if body["phase"] == self.phase:
            return 200
        self._orders += 1
        self._is_busy = True
        self.case.spawn(self._switch(body["phase"], self.born))
        return 202

    async def _switch(self, phase: str, born: int) -> None:
        await asyncio.sleep(ENGINE["roleSwitchS"])
        if self.born == born and self.is_up:
            self.phase, self._is_busy = phase, False
            self.register()

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Read a prompt, or stream an answer."""
        refusal = self.check_target(request)
        if refusal is not None:
            return refusal
        await request.read()
        name = request.headers["X-Request-Id"]
        if self._is_busy:
            headers = {"X-Request-Id": name, "X-Not-Executed": "1"}
            return web.Response(status=503, headers=headers)
        if request.headers.get("X-Serving-Phase") != "prefill":
            if self.phase == "prefill":
                return web.Response(status=421, headers={"X-Request-Id": name})
            self.case.record.write(f"{self.name}: runs {name} {request.path}")
            return await self.stream(request, name)
        if self.phase != "prefill":
            return web.Response(status=421, headers={"X-Request-Id": name})
        self.case.record.write(f"{self.name}: reads the prompt of {name}")
        await asyncio.sleep(self.prompt_seconds)
        handle = f"{random.getrandbits(48):012x}"
        text = json.dumps({"kvHandle": handle, "tokens": 1460, "version": 1})
        headers = {"X-Request-Id": name, "Content-Type": "application/json"}
        return web.Response(text=text, headers=headers)

    async def stream(self, request: web.Request, name: str) -> web.StreamResponse:
        """Stream an answer."""
        response = web.StreamResponse()
        response.headers["Content-Type"] = "text/event-stream"
        response.headers["X-Request-Id"] = name
        response.headers["X-Server-Signature"] = self.sign()
        response.headers["X-Weight-Versions"] = "1"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            await response.write(f"id: {number}\ndata: {name}\n\n".encode())
        await response.write_eof()
        return response


@dataclass
class Gateway:
    """Represent one gateway's process."""

    name: str
    zone: str
    ip: str
    door: Door
    settings: Path
    log: Path
    front: str
    ready: str
    process: subprocess.Popen[bytes] | None = None


@dataclass
class Answer:
    """Hold what a client got for one attempt."""

    gateway: str
    request: str
    sent_at: float
    status: int = 0
    """0 if the connection ended without an answer."""
    signature: str = ""
    body: bytes = b""
    ended_at: float = 0.0


class Case:
    """Run one case: start everything, play it, end all that was started."""

    def __init__(self, folder: Path) -> None:
        # Callers that leave are no errors of the stand-ins.
        logging.getLogger("aiohttp.server").disabled = True
        self.record = Record(folder / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.write(f"TROUBLE={int(self.has_trouble)}")
        self.store = Store(self.record)
        self.servers: list[Server] = []
        self.gateways: list[Gateway] = []
        self.answers: list[Answer] = []
        self._tasks: list[asyncio.Task] = []
        self._numbers = 0

    async def add_gateway(self, zone: str) -> Gateway:
        """Fill in the settings of a gateway."""
        ip, number = pick_ip(), len(self.gateways) + 1
        name = f"front-{zone}-{number}"
        door = await self.store.open_door(name, "127.0.0.1")
        folder = Path(self._folder.name)
        gateway = Gateway(
            name,
            zone,
            ip,
            door,
            folder / f"{name}.json",
            folder / f"{name}.log",
            f"{ip}:8149",
            f"{ip}:8141",
        )
        fields = {
            "nodeName": name,
            "zone": zone,
            "ip": ip,
            "limits": {"cores": 1, "cpuShare": 0.817, "memoryMb": 300},
            "listen": {"front": gateway.front, "ready": gateway.ready},
            "internalPorts": [7380, 7395],
            "platform": {"address": door.address},
            "bounds": BOUNDS,
        }
        template = (ROOT / "deploy" / "gateway.json").read_text()
        gateway.settings.write_text(fill_in(template, fields))
        self.gateways.append(gateway)
        return gateway

    def start_gateway(self, gateway: Gateway) -> None:
        """Start a gateway with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"]["gateway"]["run"])
        words[0] = sys.executable if words[0] == "python3" else words[0]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "RADISHTALLY_CONFIG": str(gateway.settings),
        }
        with gateway.log.open("ab") as log:
            gateway.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"{gateway.name}: started, process {gateway.process.pid}")

    async def wait_ready(self) -> None:
        """Wait until all gateways are ready."""
        until = time.monotonic() + START_SECONDS
        for gateway in self.gateways:
            while not await self._is_ready(gateway):
                if time.monotonic() > until or gateway.process.poll() is not None:
                    raise CannotRunError(f"{gateway.name} isn't ready")
                await asyncio.sleep(0.1)
        self.record.write("all gateways are ready")

    async def _is_ready(self, gateway: Gateway) -> bool:
        url = f"http://{gateway.ready}/api/ready"
        wait = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self._session.get(url, timeout=wait) as reply:
                return reply.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def signal(self, gateway: Gateway, number: int) -> None:
        """Send a signal to a gateway's process."""
        gateway.process.send_signal(number)
        self.record.write(f"{gateway.name}: {signal.Signals(number).name}")

    def make_name(self) -> str:
        """Make the id of a request."""
        self._numbers += 1
        return f"{self._numbers:04d}{random.getrandbits(48):012x}"

    async def ask(
        self,
        gateway: Gateway,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        deadline: float = 1.5,
        **more: str,
    ) -> Answer:
        """Send a request on a new connection and wait for the answer."""
        name = self.make_name()
        headers = {
            "Host": AUTHORITY,
            "X-Request-Id": name,
            "X-Deadline-Ms": str(int(deadline * 1000)),
            **{key.replace("_", "-"): value for key, value in more.items()},
        }
        sent_at = self.record.write(f"client: {name} {method} {path} to {gateway.name}")
        answer = Answer(gateway.name, name, sent_at)
        try:
            async with (
                asyncio.timeout(deadline),
                self._session.request(
                    method,
                    f"http://{gateway.front}{path}",
                    headers=headers,
                    data=body or None,
                ) as reply,
            ):
                answer.body = await reply.read()
                answer.status = reply.status
                answer.signature = reply.headers.get("X-Server-Signature", "")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer.body = type(error).__name__.encode()
        text = f"{answer.status} {answer.signature} {answer.body[:70]!r}"
        answer.ended_at = self.record.write(f"client: {name} got {text}")
        self.answers.append(answer)
        return answer

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run something beside the case until its end."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for server in self.servers:
                server.beat()

    async def play(self) -> int:
        """Play the case; return the exit code."""
        raise NotImplementedError

    async def _run(self) -> int:
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        async with aiohttp.ClientSession(connector=connector) as self._session:
            self.spawn(self._beat())
            try:
                return await self.play()
            finally:
                for task in self._tasks:
                    task.cancel()
                await asyncio.gather(*self._tasks, return_exceptions=True)
                self._end_processes()
                for server in self.servers:
                    server.crash()
                await self.store.close()

    def _end_processes(self) -> None:
        for gateway in self.gateways:
            if gateway.process is None:
                continue
            code = gateway.process.poll()
            if code is None:
                gateway.process.kill()
                gateway.process.wait()
            self.record.write(f"{gateway.name}: ended, code before the end: {code}")

    def run(self) -> int:
        """Run the case in a temporary folder; return the exit code."""
        # Ended early, it still ends what it has started.
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        with tempfile.TemporaryDirectory() as folder:
            self._folder = tempfile.TemporaryDirectory(dir=folder)
            try:
                code = asyncio.run(self._run())
            except CannotRunError as error:
                self.record.write(f"the case can't run: {error}")
                code = NOT_RUN
            keep = os.environ.get("KEEP_LOGS")
            for gateway in self.gateways:
                if keep and gateway.log.exists():
                    Path(keep, gateway.log.name).write_bytes(gateway.log.read_bytes())
        self.record.write(f"exit {code}")
        return code


def fill_in(template: str, fields: dict[str, Any]) -> str:
    """Fill in the template of settings as DEPLOY.md tells it.

    Its sections are about matters that a small deployment doesn't have.
    """
    text = re.sub(r"\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}", "", template, flags=re.DOTALL)

    def look_up(match: re.Match[str]) -> str:
        value: Any = fields
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", look_up, text)


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Make a route whose path prefix is its name."""
    return {
        "name": name,
        "host": AUTHORITY,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        **more,
    }
