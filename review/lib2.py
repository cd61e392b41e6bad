"""Parts of the second review's scripts: programs, a client and a record."""

import asyncio
import base64
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
BOUNDS = {
    "grace_seconds": 8,
    "drain_ms": 2000,
    "lease_ms": 3000,
    "retry_ratio": 0.2,
    "retry_slack": 54,
    "retry_window_seconds": 10,
}
BROKEN, HELD, NOT_RUN = 10, 0, 2
"""Exit codes; `run.sh` turns the first one into 1."""
LIMIT_SECONDS = 115.0


def find_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def make_environment() -> dict[str, str]:
    """Make the environment of a program: the packages of the deploy file's build."""
    environment = {"PATH": os.environ["PATH"], "PYTHONUNBUFFERED": "1"}
    environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
    return environment


def allocate_ip(number: int) -> str:
    """Return a loopback address that depends on this process."""
    process = os.getpid()
    return f"127.{100 + process % 100}.{1 + process // 100 % 250}.{number}"


class Record:
    """Write what happens, with the seconds since the start, to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._began
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


class Programs:
    """Start processes, and end each of them by its own id."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._started: list[subprocess.Popen[bytes]] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))

    def start(
        self, name: str, command: list[str], **variables: str
    ) -> subprocess.Popen[bytes]:
        """Start a process; its output goes to a file of the temporary folder."""
        with (self.folder / f"{name}.out").open("ab") as out:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**make_environment(), **variables},
                stdout=out,
                stderr=out,
            )
        self._started.append(process)
        self._record.write(f"started {name} as process {process.pid}")
        return process

    async def start_ready(
        self, name: str, command: list[str]
    ) -> tuple[subprocess.Popen[bytes], str]:
        """Start a stand-in and return it with the address in its first line."""
        process = self.start(name, command)
        path = self.folder / f"{name}.out"
        until = time.monotonic() + 30.0
        while time.monotonic() < until and process.poll() is None:
            line = path.read_bytes().partition(b"\n")
            if line[1]:
                return process, json.loads(line[0])["address"]
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{name} does not start")

    def stop(self) -> None:
        """End all processes, record what servers ran, remove the temporary folder."""
        for process in self._started:
            with suppress(ProcessLookupError):
                process.kill()
            process.wait()
        self._record.write(f"ended all {len(self._started)} processes")
        for path in sorted(self.folder.iterdir()):
            self._record_runs(path)
            path.unlink()
        self.folder.rmdir()

    def _record_runs(self, path: Path) -> None:
        for line in path.read_text(errors="replace").splitlines():
            if line.startswith('{"run"'):
                self._record.write(f"{path.stem} ran {line}")


class Store:
    """Write to the project's stand-in of the store as operator and servers do."""

    def __init__(self, address: str, record: Record) -> None:
        self.address = address
        self._record = record

    async def write(self, table: str, key: str, value: Any) -> None:
        """Write a row, or remove it if the value is none."""
        row: dict[str, Any] = {"table": table, "key": key}
        if value is not None:
            row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
        body = json.dumps(row).encode()
        answer = await ask(
            self.address, "POST", "/_write", {"Content-Type": "application/json"}, body
        )
        if answer.status != 200:
            raise RuntimeError("the store does not take a write")
        self._record.write(f"store took {table}/{key} = {json.dumps(value)[:120]}")

    async def configure(
        self, version: int, routes: list[dict[str, Any]], services: list[Any]
    ) -> None:
        """Write a configuration as the operator does."""
        value = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        await self.write("op", "config", value)


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Make a route whose prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 1,
        **more,
    }


class Answer:
    """Hold what a client saw of an answer."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.error = ""


async def ask(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 10.0,
) -> Answer:
    """Send one request on a new connection and read its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            ip, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if "Host" not in headers:
                lines.append(f"Host: {HOST}")
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await _read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split()[1])
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        length = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(length)
    answer.is_complete = True


class Gateway:
    """Run a gateway with the command of the deploy file."""

    def __init__(
        self, programs: Programs, number: int, zone: str, store: str, **bounds: Any
    ) -> None:
        self.name = f"front-{number}"
        ip = allocate_ip(number)
        self.address, self.ready = f"{ip}:8149", f"{ip}:8141"
        settings = {
            "host": self.name,
            "data_centre": zone,
            "cores": 1,
            "core_share": 0.817,
            "memory_mb": 300,
            "address": self.address,
            "ready_address": self.ready,
            "metrics_address": f"{ip}:9464",
            "peer_address": f"{ip}:7380",
            "store_address": store,
            "bounds": {**BOUNDS, **bounds},
        }
        path = programs.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        self._programs, self._path = programs, path
        self.process = self.start()

    def start(self) -> subprocess.Popen[bytes]:
        """Start the process."""
        command = ["python3", "platform/radishtallyd.py", "gateway"]
        self.process = self._programs.start(
            self.name, command, RADISHTALLY_CONFIG=str(self._path)
        )
        return self.process

    async def wait_ready(self) -> None:
        """Wait until the balancer would send requests."""
        until = time.monotonic() + 30.0
        while time.monotonic() < until:
            if (await ask(self.ready, "GET", "/api/ready", {})).status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} does not get ready")


def run(scenario: Any, folder: Path) -> None:
    """Run a case, and exit with its result."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder / "record.txt")
    programs = Programs(record)
    result = NOT_RUN
    try:
        result = asyncio.run(_run_within(scenario, record, programs))
    except Exception as error:  # Without a verdict the case could not run.
        record.write(f"the case could not run: {error!r}")
    finally:
        programs.stop()
    record.write(f"exit {result}")
    sys.exit(result)


async def _run_within(scenario: Any, record: Record, programs: Programs) -> int:
    async with asyncio.timeout(LIMIT_SECONDS):
        return await scenario(record, programs)
