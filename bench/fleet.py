"""Start stand-ins, entries, agents and upstreams as processes on loopback."""

import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final, NamedTuple

from radishtally.configuration.config import Configuration, Engines
from radishtally.configuration.core import merge_files
from radishtally.configuration.folder import read_folder

ROOT: Final = Path(__file__).resolve().parent.parent
PEER_KEY: Final = "demo-peer-key"
START_SECONDS: Final = 60.0
STOP_SECONDS: Final = 40.0
POLL_SECONDS: Final = 0.02
KINDS: Final = ("table", "objects", "hosts")


class Child(NamedTuple):
    """Hold a process that the fleet has started."""

    name: str
    process: subprocess.Popen[bytes]
    address: str

    @property
    def url(self) -> str:
        """Give the address as a URL."""
        return f"http://{self.address}"

    @property
    def pid(self) -> int:
        """Give the process id."""
        return self.process.pid


@dataclass(slots=True)
class Fleet:
    """Hold a running fleet and what it is made of."""

    files: dict[str, str]
    """Configuration folder: text by file name."""
    entries_wanted: int = 2
    engine_args: tuple[str, ...] = ()
    service_args: tuple[str, ...] = ()
    servers_wanted: Callable[[str], bool] = lambda name: True
    """Tell which of the configured servers are started."""
    list_lag: float = 1.0
    standins: dict[str, Child] = field(default_factory=dict)
    upstreams: dict[str, Child] = field(default_factory=dict)
    agents: dict[str, Child] = field(default_factory=dict)
    entries: dict[str, Child] = field(default_factory=dict)
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    """Settings of each daemon by host; changed ones hold from its next start."""
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    _children: list[Child] = field(default_factory=list)
    _next_ip: int = 0
    _ip_base: int = field(default_factory=lambda: os.getpid() % 200 + 20)

    @property
    def configuration(self) -> Configuration:
        """Give the configuration that the fleet is started with."""
        merged = merge_files(self.files)
        assert merged.is_ok(), str(merged)
        return merged.ok

    def start(self) -> "Fleet":
        """Start everything and wait until it serves."""
        for kind in KINDS:
            self.standins[kind] = self.start_standin(kind, kind, self.take_ip())
        servers = list(self._list_servers())
        for host, name, place, upstream in servers:
            self._start_upstream(host, name, upstream)
            self._prepare_agent(host, name, place)
        places = sorted(self.configuration.places)
        for number in range(self.entries_wanted):
            self._prepare_entry(f"entry-{number + 1}", places[number % len(places)])
        for host, settings in self.settings.items():
            upstream = settings.get("upstream", {"name": "entry"})["name"]
            self.list_host(host, settings["place"], upstream, settings["address"])
            self.start_daemon(host)
        self.apply(self.files)
        self.wait_until(self.is_ready, "the fleet to be ready")
        return self

    def stop(self) -> None:
        """End every process that was started."""
        for child in self._children:
            # A paused process would not take the signal.
            with contextlib.suppress(ProcessLookupError):
                child.process.send_signal(signal.SIGCONT)
        for child in self._children:
            child.process.kill()
        for child in self._children:
            child.process.wait()
            if child.process.stdout is not None:
                child.process.stdout.close()

    def __enter__(self) -> "Fleet":
        """Start."""
        try:
            return self.start()
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *_: object) -> None:
        """Stop."""
        self.stop()

    def take_ip(self) -> str:
        """Give a loopback address that no other host of this fleet has."""
        self._next_ip += 1
        return f"127.{self._ip_base}.{self._next_ip // 250}.{self._next_ip % 250 + 1}"

    def start_standin(self, name: str, kind: str, ip: str, *args: str) -> Child:
        """Start a stand-in and read where it listens."""
        command = [sys.executable, "-m", f"standins.{kind}", "--address", ip, *args]
        process = subprocess.Popen(
            command, cwd=ROOT, env=make_environment(), stdout=subprocess.PIPE
        )
        child = Child(name, process, "")
        self._children.append(child)
        ready, _, _ = select.select([process.stdout], [], [], START_SECONDS)
        line = process.stdout.readline() if ready else b""
        assert line, f"stand-in {name} did not start"
        child = child._replace(address=json.loads(line)["address"])
        self._children[-1] = child
        return child

    def start_daemon(self, host: str) -> Child:
        """Start the daemon of a host with its settings as they stand."""
        settings = self.settings[host]
        path = self.folder / f"{host}.json"
        path.write_text(json.dumps(settings, indent=2))
        log = (self.folder / f"{host}.log").open("ab")
        command = [sys.executable, "-m", "radishtally.daemon", "--settings", str(path)]
        process = subprocess.Popen(
            command, cwd=ROOT, env=make_environment(), stdout=log, stderr=log
        )
        log.close()
        address = settings.get("http_address", settings["address"])
        child = Child(host, process, address)
        group = self.entries if settings["role"] == "entry" else self.agents
        group[host] = child
        self._children.append(child)
        return child

    def list_host(
        self, host: str, place: str, upstream: str, target: str, state: str = "live"
    ) -> None:
        """Put a host on the platform's list at once."""
        body = {
            "host": host,
            "place": place,
            "upstream": upstream,
            "target": target,
            "state": state,
            "lag": 0,
        }
        post_json(f"{self.standins['hosts'].url}/_hosts", body)

    def apply(
        self, files: Mapping[str, str | None], key: str = PEER_KEY, base: int = 0
    ) -> int:
        """Apply a change of the configuration; give the revision."""
        entry = next(iter(self.entries.values()))
        self.wait_until(lambda: is_up(entry.url), "an entry to listen")
        body = {"base": base, "files": dict(files), "cause": "first configuration"}
        url = f"{entry.url}/operators/v1/configuration"
        return post_json(url, body, key)["revision"]

    def is_ready(self) -> bool:
        """Tell whether every entry is ready and sees every agent usable."""
        for entry in self.entries.values():
            try:
                status = get_json(f"{entry.url}/operators/v1/status", self.operator_key)
            except (urllib.error.URLError, OSError):
                return False
            hosts = status["hosts"]
            states = [hosts.get(name, {}) for name in self.agents]
            if not all(s.get("state") == "live" and "role" in s for s in states):
                return False
            if any(s.get("draining") for s in states):
                return False
        return True

    @property
    def operator_key(self) -> str:
        """Give a key that operators of the samples have."""
        operators = self.configuration.operators
        return (
            "brolga-operator-key"
            if "mitali" not in operators
            else ("lagna-operator-key")
        )

    def status(self, entry: str = "entry-1") -> dict[str, Any]:
        """Read an entry's status."""
        url = f"{self.entries[entry].url}/operators/v1/status"
        return get_json(url, self.operator_key)

    def wait_until(self, condition: Callable[[], bool], what: str) -> None:
        """Wait for a condition, at most as long as a start may take."""
        until = time.monotonic() + START_SECONDS
        while not condition():
            self._check_children()
            assert time.monotonic() < until, f"waited in vain for {what}"
            time.sleep(POLL_SECONDS)

    def _check_children(self) -> None:
        for child in (*self.entries.values(), *self.agents.values()):
            code = child.process.poll()
            if code is not None and code > 0:
                log = (self.folder / f"{child.name}.log").read_text()[-2000:]
                raise AssertionError(f"{child.name} ended with {code}: {log}")

    def _list_servers(self) -> Iterable[tuple[str, str, str, Any]]:
        for name, upstream in self.configuration.upstreams.items():
            for host, server in upstream.servers.items():
                if self.servers_wanted(host):
                    yield host, name, server.place, upstream

    def _start_upstream(self, host: str, name: str, upstream: Any) -> None:
        kind, args = "service", self.service_args
        if isinstance(upstream, Engines):
            kind = "engine"
            model = self.configuration.models[upstream.model]
            args = (
                f"--model={upstream.model}",
                f"--version={model.version}",
                f"--adapters={','.join(model.adapters)}",
                f"--role={upstream.servers[host].role}",
                f"--checks-fencing={str(upstream.checks_fencing).lower()}",
                *self.engine_args,
            )
        self.upstreams[host] = self.start_standin(host, kind, self.take_ip(), *args)

    def _prepare_agent(self, host: str, name: str, place: str) -> None:
        upstream = self.upstreams[host]
        kind = "engine" if self._is_engine(name) else "service"
        self.settings[host] = {
            **self._make_settings(host, place),
            "role": "agent",
            "upstream": {"name": name, "kind": kind, "url": upstream.url},
        }

    def _is_engine(self, name: str) -> bool:
        return isinstance(self.configuration.upstreams[name], Engines)

    def _prepare_entry(self, host: str, place: str) -> None:
        ip = self.take_ip()
        self.settings[host] = {
            **self._make_settings(host, place),
            "role": "entry",
            "http_address": f"{ip}:{find_port(ip)}",
        }

    def _make_settings(self, host: str, place: str) -> dict[str, Any]:
        ip = self.take_ip()
        return {
            "host": host,
            "place": place,
            "address": f"{ip}:{find_port(ip)}",
            "peer_key": PEER_KEY,
            "table": {"url": self.standins["table"].url},
            "objects": {"url": self.standins["objects"].url},
            "host_list": {"url": self.standins["hosts"].url},
        }


def make_environment() -> dict[str, str]:
    """Give the environment of the fleet's processes."""
    return {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}


def find_port(ip: str) -> int:
    """Let the system choose a port; the address is this fleet's alone."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def read_sample(name: str) -> dict[str, str]:
    """Read the files of one of the samples."""
    read = read_folder(ROOT / "samples" / name)
    assert read.is_ok(), str(read)
    return read.ok


def is_up(url: str) -> bool:
    """Tell whether an entry answers."""
    try:
        get_json(f"{url}/healthz")
    except (urllib.error.URLError, OSError):
        return False
    return True


def get_json(url: str, key: str = "") -> Any:
    """Read a JSON answer."""
    request = urllib.request.Request(url, headers=make_headers(key))
    with urllib.request.urlopen(request, timeout=START_SECONDS) as reply:
        return json.load(reply)


def post_json(url: str, body: Any, key: str = "", **headers: str) -> Any:
    """Send a JSON body and read the JSON answer."""
    data = json.dumps(body).encode()
    request = urllib.request.Request(
        url, data, headers={**make_headers(key), **headers}, method="POST"
    )
    with urllib.request.urlopen(request, timeout=START_SECONDS) as reply:
        return json.load(reply)


def make_headers(key: str) -> dict[str, str]:
    """Give the headers that carry a key."""
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    return headers
