"""Start a small fleet for the scripts of the second part of the review.

The store is the project's stand-in `standins.rows`; servers are `review/server3.py`;
the gateway is started as the deploy file starts it. All addresses are loopback ones.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
IP = "127.0.0.1"
AUTHORITY = "ficu95.example"
START_SECONDS = 30.0
BROKEN = 10
"""Exit code of a case whose rule was broken: a failed program exits with 1."""
ENGINE = {
    "slots": 64,
    "kvCapacityTokens": 560177,
    "kvTokenBytes": 35136,
    "stride": 10,
    "handleTtlS": 5.0,
    "roleSwitchS": 3.0,
}


class CannotRunError(Exception):
    """Raised if a case can't be played, which says nothing about the rule."""


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Make a route of the operator's configuration; its prefix is its name."""
    return {
        "name": name,
        "host": AUTHORITY,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 10000,
        "targetLatencyMs": 600,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        **more,
    }


class Fleet:
    """Hold the processes of a case, and end them all."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.work = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[subprocess.Popen] = []
        self.store = ""
        self.gateways: dict[str, dict[str, Any]] = {}
        self.servers: dict[str, str] = {}
        """Addresses of the servers."""
        self.started = time.monotonic()
        self.record_file = (folder / "record.txt").open("w")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.started

    def record(self, text: str) -> None:
        """Write a line to the record of the case."""
        self.record_file.write(f"{self.now():8.3f} {text}\n")
        self.record_file.flush()

    def stop(self) -> None:
        """Kill and reap every process that was started here."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.record_file.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.work, keep, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)

    def spawn(self, name: str, *args: str, **environment: str) -> subprocess.Popen:
        """Start a program of the repository, with its output in a file."""
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            **environment,
        }
        with (self.work / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ["python3", *args],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        return process

    async def start_store(self, *args: str) -> None:
        """Start the platform's store."""
        self.spawn("store", "-m", "standins.rows", "--address", IP, *args)
        self.store = await self._read_address("store")

    async def _read_address(self, name: str, start: int = 0) -> str:
        path = self.work / f"{name}.log"
        async for _ in poll(START_SECONDS):
            for line in path.read_text()[start:].splitlines():
                if line.startswith("{") and "address" in line:
                    return json.loads(line)["address"]
        raise CannotRunError(f"{name} has not started: {path.read_text()[-800:]}")

    async def write(self, table: str, key: str, value: Any) -> None:
        """Write a row of the store as the operator or a server does."""
        row: dict[str, Any] = {"table": table, "key": key}
        if value is not None:
            row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
        status, _, _ = await call(self.store, "POST", "/_write", json.dumps(row))
        if status != 200:
            raise CannotRunError(f"the store answered {status}")

    async def configure(
        self, version: int, routes: list, services: list, **more: Any
    ) -> None:
        """Write a configuration as the operator does."""
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        }
        value = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
            **more,
        }
        await self.write("op", "config", value)

    async def start_server(self, name: str, *args: str) -> subprocess.Popen:
        """Start a server, which writes its own entry into the store."""
        path = self.work / f"{name}.log"
        start = len(path.read_text()) if path.exists() else 0
        process = self.spawn(
            name, "review/server3.py", "--id", name, "--store", self.store, *args
        )
        self.servers[name] = await self._read_address(name, start)
        return process

    async def start_gateway(
        self,
        name: str,
        store: str = "",
        zone: str = "toowoomba-hall",
        usage_api: str = "",
    ) -> subprocess.Popen:
        """Start a gateway as the deploy file does, and wait until it is ready."""
        ports = free_ports(4)
        settings = {
            "host": name,
            "data_centre": zone,
            "cores": 1,
            "core_share": 0.817,
            "memory_mb": 300,
            "address": f"{IP}:{ports[0]}",
            "ready_address": f"{IP}:{ports[1]}",
            "metrics_address": f"{IP}:{ports[2]}",
            "peer_address": f"{IP}:{ports[3]}",
            "store_address": store or self.store,
            "bounds": {
                "grace_seconds": 8,
                "drain_ms": 2000,
                "lease_ms": 3000,
                "retry_ratio": 0.2,
                "retry_slack": 58,
                "retry_window_seconds": 10,
            },
        }
        if usage_api:
            settings["usage"] = {
                "api_address": usage_api,
                "window_seconds": 5,
                "late_seconds": 10,
            }
        self.gateways[name] = settings
        return await self.launch_gateway(name)

    async def launch_gateway(self, name: str) -> subprocess.Popen:
        """Start a gateway's process with the settings that it has."""
        settings = self.gateways[name]
        path = self.work / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = self.spawn(
            name,
            "platform/radishtallyd.py",
            "gateway",
            RADISHTALLY_CONFIG=str(path),
        )
        async for _ in poll(START_SECONDS):
            if process.poll() is not None:
                raise CannotRunError(f"{name} has ended with {process.returncode}")
            try:
                status, _, _ = await call(
                    settings["ready_address"], "GET", "/api/ready"
                )
            except OSError:
                continue
            if status == 200:
                return process
        raise CannotRunError(f"{name} has not become ready")

    async def list_decode(self) -> list[str]:
        """List the engines whose phase is decode, by their own reports."""
        found = []
        for name, address in self.servers.items():
            _, _, body = await call(address, "GET", "/api/report")
            report = json.loads(body)
            if report["phase"] == "decode" and not report["busy"]:
                found.append(name)
        return found

    def read_logs(self, prefix: str = "") -> str:
        """Return what the programs have written."""
        paths = sorted(self.work.glob(f"{prefix}*.log"))
        return "".join(path.read_text() for path in paths)

    def read_runs(self) -> list[dict[str, Any]]:
        """Return what the servers have recorded of their runs."""
        runs = []
        for path in sorted(self.work.glob("*.log")):
            for line in path.read_text().splitlines():
                if line.startswith('{"run"'):
                    runs.append(json.loads(line))
        return runs


async def poll(seconds: float, step: float = 0.05):  # noqa: ANN201
    """Yield again and again for a time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        yield
        await asyncio.sleep(step)


def free_ports(count: int) -> list[int]:
    """Return ports that nothing uses."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((IP, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Answer:
    """Hold what a client has got on its connection."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        """Whether its framing says that the answer is whole."""
        self.error = ""

    @property
    def last_event(self) -> int:
        """Return the id of the last event in the body; 0 without events."""
        ids = [line[3:] for line in self.body.split(b"\n") if line.startswith(b"id:")]
        return int(ids[-1]) if ids else 0


async def ask(
    address: str,
    path: str,
    name: str,
    method: str = "POST",
    body: bytes = b"{}",
    seconds: float = 15.0,
    **headers: str,
) -> Answer:
    """Send a request on a new connection and read its answer to the end."""
    answer = Answer()
    try:
        async with asyncio.timeout(seconds):
            await _ask(answer, address, path, name, method, body, headers)
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    except TimeoutError:
        answer.error = "no end in time"
    return answer


async def _ask(
    answer: Answer,
    address: str,
    path: str,
    name: str,
    method: str,
    body: bytes,
    headers: dict[str, str],
) -> None:
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    lines = [f"{method} {path} HTTP/1.1", f"Host: {AUTHORITY}"]
    lines += [f"X-Request-Id: {name}"] if name else []
    lines += [f"{key.replace('_', '-')}: {value}" for key, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await writer.drain()
        await _read_answer(answer, reader)
    finally:
        writer.close()


async def _read_answer(answer: Answer, reader: asyncio.StreamReader) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.split("\r\n")
    answer.status = int(first.split(" ")[1])
    for line in rest:
        key, _, value = line.partition(":")
        answer.headers[key.lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            answer.body += data[:-2]
            if not size:
                answer.is_complete = True
                return
    length = answer.headers.get("content-length")
    if length is None:
        answer.body = await reader.read()
        return
    answer.body = await reader.readexactly(int(length))
    answer.is_complete = True


async def call(
    address: str, method: str, path: str, body: str = ""
) -> tuple[int, dict[str, str], bytes]:
    """Make a call that is no client's request."""
    headers = {"Content_Type": "application/json"} if body else {}
    answer = Answer()
    async with asyncio.timeout(5.0):
        await _ask(answer, address, path, "", method, body.encode(), headers)
    return answer.status, answer.headers, answer.body


def run_case(folder: Path, play) -> None:  # noqa: ANN001
    """Play a case and exit with BROKEN if the rule was broken, 0 if not, else 2."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(play(fleet, with_trouble), 110.0))
        fleet.record("the rule was broken" if broken else "the rule held")
        code = BROKEN if broken else 0
    except Exception as error:
        fleet.record(f"the case could not run: {type(error).__name__}: {error}")
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
    finally:
        fleet.stop()
    sys.exit(code)
