"""Start stand-ins, entries, agents and upstreams as processes on loopback addresses."""

import contextlib
import json
import os
import selectors
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

from bench.network import Network
from radishtally.configuration.config import Configuration, Engines
from radishtally.configuration.core import merge_files
from radishtally.configuration.folder import read_folder

ROOT: Final = Path(__file__).resolve().parent.parent
PEER_KEY: Final = "demo-peer-key"
START_SECONDS: Final = 60.0
STOP_SECONDS: Final = 40.0
POLL_SECONDS: Final = 0.02
PLATFORM_KINDS: Final = ("table", "objects", "hosts")
SETTINGS_BY_KIND: Final = {"table": "table", "objects": "objects", "hosts": "host_list"}


class Child(NamedTuple):
    """Describe a process that the fleet has started."""

    name: str
    process: subprocess.Popen[bytes]
    address: str

    @property
    def url(self) -> str:
        """Return the address as a URL."""
        return f"http://{self.address}"

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid


@dataclass(slots=True)
class Fleet:
    """Manage the processes of a fleet, their settings and the configuration."""

    files: dict[str, str]
    """Files of the configuration folder: text by file name."""
    entries_wanted: int = 2
    engine_args: tuple[str, ...] = ()
    service_args: tuple[str, ...] = ()
    servers_wanted: Callable[[str], bool] = lambda name: True
    """Predicate on the server name that selects the configured servers to start."""
    entry_places: tuple[str, ...] = ()
    """Places assigned to the entries round robin; empty: those of the configuration."""
    daemon_settings: dict[str, Any] = field(default_factory=dict)
    """Settings that are added to those of every daemon."""
    stopping: set[str] = field(default_factory=set)
    """Hosts whose daemon has been sent SIGTERM and has not been restarted."""
    network: Network | None = None
    """If set, daemons reach peers, platform and upstreams through its proxies."""
    standins: dict[str, Child] = field(default_factory=dict)
    upstreams: dict[str, Child] = field(default_factory=dict)
    agents: dict[str, Child] = field(default_factory=dict)
    entries: dict[str, Child] = field(default_factory=dict)
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    """Settings of each daemon by host; changes take effect at its next start."""
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    _children: list[Child] = field(default_factory=list)
    _next_ip: int = 0
    _ip_base: int = field(default_factory=lambda: os.getpid() % 200 + 20)

    @property
    def configuration(self) -> Configuration:
        """Return the configuration that the fleet is started with."""
        merged = merge_files(self.files)
        assert merged.is_ok(), str(merged)
        return merged.ok

    def start(self) -> "Fleet":
        """Start all processes and wait until the fleet is ready to serve."""
        servers = list(self._list_servers())
        self._start_standins(servers)
        for host, name, place, _ in servers:
            self._prepare_agent(host, name, place)
        places = self.entry_places or sorted(self.configuration.places)
        for number in range(self.entries_wanted):
            self._prepare_entry(f"entry-{number + 1}", places[number % len(places)])
        if self.network is not None:
            self._insert_proxies(self.network)
        for host, settings in self.settings.items():
            upstream = settings.get("upstream", {"name": "entry"})["name"]
            self.list_host(host, settings["place"], upstream, settings["address"])
            self.start_daemon(host)
        self.apply(self.files)
        self.wait_until(self.is_ready, "the fleet to be ready")
        return self

    def stop(self) -> None:
        """Kill every process that was started and wait for its exit."""
        for child in self._children:
            # Resume paused processes so that they exit.
            with contextlib.suppress(ProcessLookupError):
                child.process.send_signal(signal.SIGCONT)
        for child in self._children:
            child.process.kill()
        for child in self._children:
            child.process.wait()
            if child.process.stdout is not None:
                child.process.stdout.close()
        if self.network is not None:
            self.network.stop()

    def kill(self, host: str) -> None:
        """Kill a host's daemon and wait for its exit."""
        child = self.find_daemon(host)
        child.process.kill()
        child.process.wait()

    def pause(self, host: str) -> None:
        """Suspend a host's daemon with SIGSTOP."""
        self.find_daemon(host).process.send_signal(signal.SIGSTOP)

    def resume(self, host: str) -> None:
        """Resume a suspended daemon."""
        self.find_daemon(host).process.send_signal(signal.SIGCONT)

    def terminate(self, host: str) -> Child:
        """Start a graceful shutdown of a host's daemon with SIGTERM."""
        child = self.find_daemon(host)
        child.process.terminate()
        self.stopping.add(host)
        return child

    def restart(self, host: str) -> Child:
        """Wait for a host's daemon to exit and start it again."""
        assert self.find_daemon(host).process.wait(STOP_SECONDS) is not None
        self.stopping.discard(host)
        return self.start_daemon(host)

    def find_daemon(self, host: str) -> Child:
        """Return the daemon process of an entry or agent."""
        return self.entries[host] if host in self.entries else self.agents[host]

    def restart_upstream(self, host: str) -> Child:
        """Wait for a host's engine or service to exit; restart it at its address."""
        old = self.upstreams[host]
        assert old.process.wait(STOP_SECONDS) is not None
        command = list(old.process.args)
        port = old.address.rsplit(":", 1)[1]
        child = launch(host, [*command, f"--port={port}"])
        self._children.append(child)
        self.upstreams[host] = read_address(child)
        return self.upstreams[host]

    def __enter__(self) -> "Fleet":
        """Start the fleet; stop it if the start fails."""
        try:
            return self.start()
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *_: object) -> None:
        """Stop the fleet."""
        self.stop()

    def take_ip(self) -> str:
        """Allocate a loopback address that no other host of this fleet uses."""
        self._next_ip += 1
        return f"127.{self._ip_base}.{self._next_ip // 250}.{self._next_ip % 250 + 1}"

    def start_standin(self, name: str, kind: str, ip: str, *args: str) -> Child:
        """Start a stand-in and wait for the address that it listens on."""
        return read_address(self._launch_standin(name, kind, ip, *args))

    def _launch_standin(self, name: str, kind: str, ip: str, *args: str) -> Child:
        command = [sys.executable, "-m", f"standins.{kind}", "--address", ip, *args]
        child = launch(name, command)
        self._children.append(child)
        return child

    def _start_standins(self, servers: list[tuple[str, str, str, Any]]) -> None:
        """Start the platform and the upstreams in parallel."""
        platform = [self._launch_standin(k, k, self.take_ip()) for k in PLATFORM_KINDS]
        upstreams = [self._launch_upstream(host, up) for host, _, _, up in servers]
        self.standins = {child.name: read_address(child) for child in platform}
        self.upstreams = {child.name: read_address(child) for child in upstreams}

    def start_daemon(self, host: str) -> Child:
        """Start the daemon of a host with its current settings."""
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
        """Add a host to the platform's host list without propagation lag."""
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
        """Apply a configuration change through an entry and return its revision."""
        entry = next(iter(self.entries.values()))
        self.wait_until(lambda: is_up(entry.url), "an entry to listen")
        body = {"base": base, "files": dict(files), "cause": "first configuration"}
        url = f"{entry.url}/operators/v1/configuration"
        return post_json(url, body, key)["revision"]

    def is_ready(self) -> bool:
        """Return whether every entry reports every agent as live and not draining."""
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
        """Return an operator key of the sample that the fleet runs."""
        operators = self.configuration.operators
        return (
            "brolga-operator-key"
            if "mitali" not in operators
            else ("lagna-operator-key")
        )

    def status(self, entry: str = "entry-1") -> dict[str, Any]:
        """Return an entry's status."""
        url = f"{self.entries[entry].url}/operators/v1/status"
        return get_json(url, self.operator_key)

    def wait_until(self, condition: Callable[[], bool], what: str) -> None:
        """Poll a condition until it holds; raise after `START_SECONDS`.

        The error has the entries' log lines about leases, because a fleet that does
        not get ready is often waiting for one.
        """
        until = time.monotonic() + START_SECONDS
        while not condition():
            self._check_daemons()
            if time.monotonic() >= until:
                lease_lines = "\n".join(self._list_lease_lines())
                raise AssertionError(f"timed out waiting for {what}\n{lease_lines}")
            time.sleep(POLL_SECONDS)

    def _list_lease_lines(self) -> list[str]:
        """List the entries' log lines about leases, to explain a time-out."""
        return [
            line
            for entry in self.entries
            for line in (self.folder / f"{entry}.log").read_text().splitlines()
            if '"lease:' in line
        ]

    def _check_daemons(self) -> None:
        for child in (*self.entries.values(), *self.agents.values()):
            code = child.process.poll()
            if code is not None and code > 0:
                log = (self.folder / f"{child.name}.log").read_text()[-2000:]
                raise AssertionError(f"{child.name} exited with code {code}: {log}")

    def _list_servers(self) -> Iterable[tuple[str, str, str, Any]]:
        for name, upstream in self.configuration.upstreams.items():
            for host, server in upstream.servers.items():
                if self.servers_wanted(host):
                    yield host, name, server.place, upstream

    def _launch_upstream(self, host: str, upstream: Any) -> Child:
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
        return self._launch_standin(host, kind, self.take_ip(), *args)

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
            **self.daemon_settings,
        }

    def _insert_proxies(self, network: Network) -> None:
        """Route each daemon's outgoing connections through proxies of their own."""
        for host, settings in self.settings.items():
            for kind, part in SETTINGS_BY_KIND.items():
                address = network.add(host, kind, self.standins[kind].address)
                settings[part] = {"url": f"http://{address}"}
            if settings["role"] == "agent":
                address = network.add(host, "upstream", self.upstreams[host].address)
                settings["upstream"]["url"] = f"http://{address}"
                continue
            settings["dial"] = {
                other: network.add(host, other, other_settings["address"])
                for other, other_settings in self.settings.items()
                if other != host
            }


def launch(name: str, command: list[str]) -> Child:
    """Start a stand-in process; its address is not known yet."""
    process = subprocess.Popen(
        command, cwd=ROOT, env=make_environment(), stdout=subprocess.PIPE
    )
    return Child(name, process, "")


def read_address(child: Child) -> Child:
    """Wait for a stand-in's first line, which has the address that it listens on."""
    stdout = child.process.stdout
    with selectors.DefaultSelector() as selector:
        selector.register(stdout, selectors.EVENT_READ)
        line = stdout.readline() if selector.select(START_SECONDS) else b""
    assert line, f"stand-in {child.name} printed no address"
    return child._replace(address=json.loads(line)["address"])


def make_environment() -> dict[str, str]:
    """Return the environment variables for the fleet's processes."""
    return {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}


def find_port(ip: str) -> int:
    """Return a free port of an address that only this fleet uses."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def read_sample(name: str) -> dict[str, str]:
    """Return the configuration files of a sample by name."""
    read = read_folder(ROOT / "samples" / name)
    assert read.is_ok(), str(read)
    return read.ok


def is_up(url: str) -> bool:
    """Return whether an entry answers its health check."""
    try:
        get_json(f"{url}/healthz")
    except (urllib.error.URLError, OSError):
        return False
    return True


def get_json(url: str, key: str = "") -> Any:
    """Send a GET request and return the decoded JSON body."""
    request = urllib.request.Request(url, headers=make_headers(key))
    with urllib.request.urlopen(request, timeout=START_SECONDS) as reply:
        return json.load(reply)


def post_json(url: str, body: Any, key: str = "", **headers: str) -> Any:
    """Send a JSON body with POST and return the decoded JSON answer."""
    data = json.dumps(body).encode()
    request = urllib.request.Request(
        url, data, headers={**make_headers(key), **headers}, method="POST"
    )
    with urllib.request.urlopen(request, timeout=START_SECONDS) as reply:
        return json.load(reply)


def make_headers(key: str) -> dict[str, str]:
    """Return the headers for a JSON request, with the key as a bearer token."""
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    return headers
