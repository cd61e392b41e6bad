"""Start the project's gateways, the store and servers on loopback, and call them."""

import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
BEAT_SECONDS = 1.2
GRACE_SECONDS = 8.0
HOST = "desk.example"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Answer(NamedTuple):
    """Describe what a client has received."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    """Whether the answer has ended as its framing says."""
    error: str = ""


class Child(NamedTuple):
    """Hold a process of the stage and its address."""

    name: str
    process: subprocess.Popen[bytes]
    address: str


class Stage:
    """Manage the processes of a case, and its record."""

    def __init__(self, folder: Path, record: Path) -> None:
        self.folder = folder
        self.store = ""
        self.config_version = 0
        self.gateways: dict[str, Child] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self.servers: dict[str, Child] = {}
        self.entries: dict[str, dict[str, Any]] = {}
        self.started: list[subprocess.Popen[bytes]] = []
        self._record = record.open("w")
        self._began = time.time()
        self._block = f"127.{random.randint(60, 220)}.{random.randint(1, 250)}"

    def note(self, text: str, **fields: Any) -> None:
        """Write a line to the record."""
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        print(
            f"{time.time() - self._began:8.3f} {text} {shown}".rstrip(),
            file=self._record,
            flush=True,
        )

    def launch(self, name: str, command: list[str], **variables: str) -> Any:
        """Start a process with the variables that the platform passes on."""
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        deps = str(ROOT / "target" / "deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**kept, "PYTHONPATH": f"{deps}:{ROOT}", **variables},
                stdout=log,
                stderr=log,
            )
        self.started.append(process)
        return process

    async def start_store(self, *more: str) -> None:
        """Start the project's stand-in of the platform's store."""
        port = find_free_port()
        command = [sys.executable, "-m", "standins.rows", "--port", str(port), *more]
        self.launch("store", command)
        self.store = f"127.0.0.1:{port}"
        await wait_until(lambda: is_listening(self.store), 15, "the store")

    async def write(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator and the servers do; None removes it."""
        row: dict[str, Any] = {"table": table, "key": key}
        if value is not None:
            row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
        await self.command("/_write", row)

    async def command(self, path: str, value: Any) -> None:
        """Send a command to the store's stand-in."""

        def post() -> None:
            data = json.dumps(value).encode()
            urllib.request.urlopen(f"http://{self.store}{path}", data, 5).read()

        await asyncio.to_thread(post)

    async def configure(self, routes: list[dict[str, Any]], **limits: int) -> None:
        """Write a configuration as the operator does."""
        self.config_version += 3
        engine = {
            "slots": 64,
            "kvCapacityTokens": 577_757,
            "kvTokenBytes": 35_136,
            "stride": 10,
            "handleTtlS": 5.0,
            "roleSwitchS": 3.0,
        }
        known = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        }
        value = {
            "version": self.config_version,
            "routes": routes,
            "services": [
                {"name": "llm", "engine": engine, "healthPath": "/health"},
                {"name": "desk", "healthPath": "/health"},
            ],
            "limits": known | limits,
        }
        await self.write("op", "config", value)

    async def start_server(self, name: str, service: str, **options: Any) -> Child:
        """Start a server and write its entry."""
        address_file = self.folder / f"{name}.address"
        options |= {"name": name, "log": str(self.folder / "runs.jsonl")}
        options |= {"address_file": str(address_file)}
        command = [sys.executable, "-m", "review.server", json.dumps(options)]
        process = self.launch(name, command)
        await wait_until(address_file.exists, 15, name)
        child = Child(name, process, address_file.read_text())
        self.servers[name] = child
        phase = options.get("phase", "")
        self.entries[name] = {
            "service": service,
            "address": child.address,
            "zone": "salt-lake",
            "version": options.get("version", "v1"),
            "slots": 64 if phase else options.get("slots", 6),
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 0,
            **({"phase": phase} if phase else {}),
            **({"born": options["born"]} if "born" in options else {}),
        }
        await self.beat(name)
        return child

    async def beat(self, name: str, **changes: Any) -> None:
        """Write a server's entry as its heartbeat does."""
        entry = self.entries[name]
        entry |= {"sequence": entry["sequence"] + 1, **changes}
        await self.write("servers", name, entry)

    async def keep_beating(self) -> None:
        """Write the entries of all servers that run, until cancelled."""
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            for change in self.read_runs():
                if change["kind"] == "phase" and change["server"] in self.entries:
                    self.entries[change["server"]]["phase"] = change["phase"]
            for name in list(self.entries):
                if name in self.entries and self.servers[name].process.poll() is None:
                    await self.beat(name)

    async def withdraw(self, name: str) -> None:
        """Remove a server's entry."""
        self.entries.pop(name, None)
        await self.write("servers", name, None)

    async def start_gateway(self, name: str, **more: Any) -> Child:
        """Start a gateway as the deploy file says, and wait until it is ready."""
        known = self.settings.get(name)
        if known is None:
            ip = f"{self._block}.{len(self.settings) + 1}"
            known = self.settings[name] = {
                "host": name,
                "data_centre": "salt-lake",
                "cores": 1,
                "core_share": 0.817,
                "memory_mb": 300,
                "address": f"{ip}:8149",
                "ready_address": f"{ip}:8141",
                "metrics_address": f"{ip}:9464",
                "peer_address": f"{ip}:7380",
                "store_address": self.store,
                "bounds": {
                    "grace_seconds": GRACE_SECONDS,
                    "drain_ms": 2000,
                    "lease_ms": 3000,
                    "retry_ratio": 0.2,
                    "retry_slack": 54,
                    "retry_window_seconds": 10,
                },
                **more,
            }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(known))
        command = [sys.executable, "platform/radishtallyd.py", "gateway"]
        deps = str(ROOT / "target" / "deps")
        process = self.launch(
            name, command, RADISHTALLY_CONFIG=str(path), PYTHONPATH=deps
        )
        child = self.gateways[name] = Child(name, process, known["address"])
        ready = known["ready_address"]
        await wait_until(lambda: is_ready(ready), 30, name)
        self.note("gateway ready", name=name, pid=process.pid)
        return child

    def read_runs(self) -> list[dict[str, Any]]:
        """Return what the servers have logged."""
        path = self.folder / "runs.jsonl"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self.started:
            process.kill()
        for process in self.started:
            process.wait()
        self._record.close()


@asynccontextmanager
async def open_stage(record: Path) -> AsyncIterator[Stage]:
    """Open a stage in a temporary folder; end its processes at the end."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        stage = Stage(Path(folder), record)
        try:
            yield stage
        finally:
            stage.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in Path(folder).iterdir():
                    (Path(keep) / log.name).write_bytes(log.read_bytes())


def run_case(case: Any, record: Path) -> None:
    """Run a case and exit with its verdict."""

    async def scenario() -> int:
        async with open_stage(record) as stage:
            try:
                async with asyncio.timeout(110):
                    return await case(stage)
            except (TimeoutError, OSError) as error:
                stage.note("the case could not run", error=repr(error))
                return NOT_RUN

    # Ends the processes of the stage also if the case itself is ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    raise SystemExit(asyncio.run(scenario()))


def find_free_port() -> int:
    """Return a port that is free."""
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def is_listening(address: str) -> bool:
    """Return whether a process listens at an address."""
    import socket

    ip, port = address.rsplit(":", 1)
    with suppress(OSError), socket.create_connection((ip, int(port)), 1):
        return True
    return False


def is_ready(address: str) -> bool:
    """Return whether a gateway says that it is ready."""
    url = f"http://{address}/api/ready"
    with suppress(OSError), urllib.request.urlopen(url, timeout=1) as reply:
        return reply.status == 200
    return False


async def wait_until(condition: Any, seconds: float, what: str) -> None:
    """Wait for a condition."""
    until = time.monotonic() + seconds
    while not await asyncio.to_thread(condition):
        if time.monotonic() > until:
            raise TimeoutError(f"{what} was not there in time")
        await asyncio.sleep(0.05)


async def set_server(stage: Stage, name: str, **options: Any) -> None:
    """Change the behaviour of a server."""
    url = f"http://{stage.servers[name].address}/_set"
    call = urllib.request.Request(url, headers={"X-Set": json.dumps(options)})
    await asyncio.to_thread(lambda: urllib.request.urlopen(call, timeout=5).read())


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Make a route whose path prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 10_000,
        "targetLatencyMs": 600,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        **more,
    }


def make_head(
    method: str, path: str, request: str, deadline_ms: int, **more: Any
) -> bytes:
    """Make the head of a client's request."""
    headers = {
        "Host": HOST,
        "X-Request-Id": request,
        "X-Deadline-Ms": str(deadline_ms),
        **{name.replace("_", "-"): str(value) for name, value in more.items()},
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


async def read_answer(reader: asyncio.StreamReader, seconds: float) -> Answer:
    """Read one answer to its end."""
    status, headers, body = 0, {}, bytearray()
    try:
        async with asyncio.timeout(seconds):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.split("\r\n")
            status = int(first.split(" ")[1])
            pairs = (line.partition(":") for line in lines if line)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            if "chunked" in headers.get("transfer-encoding", ""):
                while size := int((await reader.readuntil(b"\r\n")), 16):
                    body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readuntil(b"\r\n")
            else:
                body += await reader.readexactly(int(headers["content-length"]))
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(status, headers, bytes(body), False, type(error).__name__)
    return Answer(status, headers, bytes(body), True)


async def ask(
    address: str,
    method: str,
    path: str,
    request: str,
    deadline_ms: int = 10_000,
    **more: Any,
) -> Answer:
    """Send a request on a connection of its own and read the answer."""
    ip, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, int(port))
    except (OSError, TimeoutError) as error:
        return Answer(0, {}, b"", False, type(error).__name__)
    try:
        if method == "POST":
            more.setdefault("Content_Length", 0)
        writer.write(make_head(method, path, request, deadline_ms, **more))
        return await read_answer(reader, deadline_ms / 1000)
    finally:
        writer.close()
