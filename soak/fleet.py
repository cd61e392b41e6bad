"""Start and stop the processes of a soak, connected through fault proxies."""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import subprocess
import sys
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import aiohttp

from bench.fleet import ROOT, Child, make_environment, read_address
from soak.checks import Disturbances, Ledger
from soak.const import (
    BAD_PREFIX,
    CROWD_CALL_SECONDS,
    DEPLOYMENT,
    DESK_SLOTS,
    EVENT_SECONDS,
    EVENTS,
    EXPECTED_EXIT_CODES,
    GRACE_SECONDS,
    POLL_SECONDS,
    START_TIMEOUT_SECONDS,
)
from standins.proxy import FaultProxy
from standins.runs import Order, RunReader, read_clock

PROGRAM: Final = ROOT / "platform" / "radishtallyd.py"
ORDER_ACCEPTED: Final = 202
"""Status with which an engine accepts a change of role."""
CONTAINED_KIND: Final = "error:contained"
"""Kind of the log lines on unexpected errors."""
IP_NUMBERS: Final = itertools.count(1)


@dataclass
class Gateway:
    """Represent a gateway and its proxies towards callers and store."""

    name: str
    ip: str
    front_proxy: FaultProxy
    store_proxy: FaultProxy
    settings: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None
    is_ending: bool = False
    """Whether the process was told to stop."""
    was_ready: bool = False
    """Whether the process was ready for callers."""

    @property
    def address(self) -> str:
        """Return the address that callers connect to."""
        return self.front_proxy.address


@dataclass
class Host:
    """Represent a host of an upstream, which is reached through its proxy only."""

    name: str
    service: str
    phase: str
    proxy: FaultProxy
    child: Child
    reader: RunReader
    software: str
    """Version of its software."""
    started_ms: int = 0
    """Start that it names in all that it says of itself; 0 if it names none."""
    is_listed: bool = False
    sequence: int = 0


@dataclass
class Fleet:
    """Manage the store, the hosts and the gateways of a soak."""

    folder: Path
    ledger: Ledger
    disturbances: Disturbances
    rng: random.Random
    gateways: list[Gateway] = field(default_factory=list)
    hosts: list[Host] = field(default_factory=list)
    """Hosts in service, without those that left or crashed."""
    version: int = 0
    """Version of the configuration."""
    releases: int = 2
    """Number of software versions so far; the first two serve side by side."""
    _started: list[subprocess.Popen[bytes]] = field(default_factory=list)
    _proxies: list[FaultProxy] = field(default_factory=list)
    _readers: list[RunReader] = field(default_factory=list)
    _names: itertools.count = field(default_factory=lambda: itertools.count(1))

    async def start(self, gateways: int, engines: int, desks: int) -> None:
        """Start all processes and wait until the gateways are ready."""
        # A kept-alive connection may close just as a command is sent on it.
        connector = aiohttp.TCPConnector(force_close=True)
        self.session = aiohttp.ClientSession(connector=connector)
        child = await self._launch("store", "rows")
        self.store = child
        await self.configure()
        roles = ["prefill", "decode"] * engines + [""] * desks
        await asyncio.gather(*(self.add_host(role) for role in roles))
        for number in range(gateways):
            self.gateways.append(await self._prepare_gateway(f"g-{number + 1}"))
        for gateway in self.gateways:
            self.start_gateway(gateway)
        for gateway in self.gateways:
            await self.wait_ready(gateway)

    async def stop(self) -> None:
        """Kill all processes and stop all proxies."""
        for process in self._started:
            # SIGKILL ends paused processes, too.
            process.kill()
        for process in self._started:
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        for proxy in self._proxies:
            await proxy.stop()
        await self.session.close()

    async def configure(self, *more: dict[str, Any], **changes: Any) -> None:
        """Write a configuration with changed or added routes as the operator does."""
        self.version += self.rng.randint(1, 4)
        routes = [
            {**DEPLOYMENT["route"], **changes, "prefix": f"/{one['name']}/", **one}
            for one in (*DEPLOYMENT["routes"], *more)
        ]
        value = {name: DEPLOYMENT[name] for name in ("services", "limits")}
        value |= {"version": self.version, "routes": routes}
        await self._write("op", "config", value)

    async def add_host(
        self,
        phase: str,
        proxy: FaultProxy | None = None,
        software: str = "",
        started_ms: int = 0,
    ) -> Host:
        """Start a host; with a proxy, take over the address of an earlier host.

        Without a software version it runs one of the two newest.
        """
        number = next(self._names)
        name = f"{phase[:1] or 's'}-{number}"
        software = software or f"v{self.releases - number // 2 % 2}"
        log = self.folder / f"{name}.runs"
        args = ["--instance", name, "--log", str(log)]
        if phase:
            args += ["--phase", phase, "--seconds", str(EVENT_SECONDS)]
            args += ["--events", str(EVENTS), "--version", software]
            args += ["--crash-prefix", BAD_PREFIX, "--started-ms", str(started_ms)]
        child = await self._launch(name, "staged" if phase else "desk", *args)
        if proxy is None:
            proxy = await self._add_proxy(child.address)
        ip, port = child.address.rsplit(":", 1)
        proxy.target = (ip, int(port))
        service = "llm" if phase else "desk"
        reader = RunReader(log)
        self._readers.append(reader)
        host = Host(name, service, phase, proxy, child, reader, software, started_ms)
        await self.announce(host)
        self.hosts.append(host)
        return host

    async def announce(
        self, host: Host, state: str = "ready", started_ms: int = 0
    ) -> None:
        """Write a host's entry as the host itself does, and its start if it has one."""
        host.sequence += 1
        entry = {
            **DEPLOYMENT["entry"],
            "service": host.service,
            "address": host.proxy.address,
        }
        more = {"phase": host.phase} if host.phase else {"slots": DESK_SLOTS}
        more |= {"state": state, "sequence": host.sequence, "version": host.software}
        started_ms = started_ms or host.started_ms
        more |= {"born": started_ms} if started_ms else {}
        await self._write("servers", host.name, {**entry, **more})

    async def withdraw(self, host: Host) -> None:
        """Remove a host's entry."""
        await self._write("servers", host.name, None)
        self.ledger.record_leaving(host.name)

    async def garble(self, host: Host) -> None:
        """Overwrite a host's entry with an invalid value, as a foreign writer may."""
        await self._write("servers", host.name, ["no entry"])

    async def _write(self, table: str, key: str, value: Any) -> None:
        row: dict[str, Any] = {"table": table, "key": key}
        if value is not None:
            row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
        await self.post(self.store.address, "/_write", row)

    async def post(self, address: str, path: str, body: Any) -> None:
        """Send a command to a stand-in directly, not through a proxy."""
        async with self.session.post(f"http://{address}{path}", json=body) as reply:
            reply.raise_for_status()

    async def set_crowd(self, host: Host, slots: int) -> list[int]:
        """Bound the calls at a host; return those taken and rejected before."""
        crowd = {"slots": slots, "seconds": CROWD_CALL_SECONDS}
        url = f"http://{host.child.address}/_crowd"
        async with self.session.post(url, json=crowd) as reply:
            return await reply.json(content_type=None)

    async def check_records(self) -> None:
        """Read the hosts' new records and check the signed answers against them."""
        signed = self.ledger.pop_signed()
        records = [record for reader in self._readers for record in reader.read()]
        self.ledger.add_records(records)
        self.ledger.check_signed(signed)
        for order in records:
            if isinstance(order, Order) and order.status == ORDER_ACCEPTED:
                await self._change_role(order)

    async def _change_role(self, order: Order) -> None:
        """Write the entry of an engine that has accepted another role."""
        for host in self.hosts:
            if host.name == order.host:
                host.phase = order.role
                await self.announce(host)

    def start_gateway(self, gateway: Gateway) -> None:
        """Start a gateway's process with its current settings."""
        path = self.write_settings(gateway)
        command = [sys.executable, str(PROGRAM), "gateway"]
        environment = {**make_environment(), "RADISHTALLY_CONFIG": str(path)}
        with (self.folder / f"{gateway.name}.log").open("ab") as log:
            gateway.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        gateway.is_ending = gateway.was_ready = False
        self._started.append(gateway.process)

    def write_settings(self, gateway: Gateway) -> Path:
        """Write a gateway's settings file."""
        path = self.folder / f"{gateway.name}.json"
        text = json.dumps(gateway.settings, indent=2)
        temporary = path.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(path)
        return path

    def signal_gateway(self, gateway: Gateway, number: int) -> None:
        """Send a signal to a gateway's process."""
        with suppress(ProcessLookupError):
            gateway.process.send_signal(number)

    async def restart_gateway(self, gateway: Gateway, number: int) -> None:
        """Stop a gateway, with SIGKILL after the grace period, and start it again."""
        process, is_first = gateway.process, not gateway.is_ending
        gateway.is_ending = True
        self.signal_gateway(gateway, number)
        if not is_first:
            return
        until = read_clock() + GRACE_SECONDS
        while process.poll() is None:
            if read_clock() > until:
                process.kill()
            await asyncio.sleep(POLL_SECONDS)
        self.check_exit(gateway)
        self.start_gateway(gateway)
        await self.wait_ready(gateway)

    async def wait_ready(self, gateway: Gateway) -> None:
        """Wait until a gateway's process is ready, or has been told to stop."""
        process, until = gateway.process, read_clock() + START_TIMEOUT_SECONDS
        while process is gateway.process and not gateway.is_ending:
            if await self._answers(gateway):
                gateway.was_ready = process is gateway.process
                return
            if process.poll() is not None:
                return
            if read_clock() > until:
                self.ledger.report_finding(
                    f"{gateway.name} was not ready in {START_TIMEOUT_SECONDS} s"
                )
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _answers(self, gateway: Gateway) -> bool:
        url = f"http://{gateway.settings['ready_address']}/api/ready"
        try:
            wait = aiohttp.ClientTimeout(total=1.0)
            async with self.session.get(url, timeout=wait) as reply:
                return reply.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def check_exit(self, gateway: Gateway) -> None:
        """Check the exit code of a gateway that was told to stop."""
        code = gateway.process.returncode
        if code not in EXPECTED_EXIT_CODES:
            self.ledger.report_finding(f"{gateway.name} ended with {code}; see its log")

    def restart_exited(self) -> None:
        """Report and restart gateways that exited without being told to stop."""
        for gateway in self.gateways:
            if gateway.is_ending or gateway.process.poll() is None:
                continue
            code = gateway.process.returncode
            self.ledger.report_finding(f"{gateway.name} ended by itself with {code}")
            self.start_gateway(gateway)

    def check_logs(self) -> None:
        """Check that no gateway has met an unexpected error, which it would survive."""
        for gateway in self.gateways:
            log = (self.folder / f"{gateway.name}.log").read_text(errors="replace")
            count = log.count(f'"{CONTAINED_KIND}"')
            if count:
                self.ledger.report_finding(
                    f"{gateway.name} met {count} unexpected errors; see its log"
                )

    async def heal(self) -> None:
        """End all faults and resume paused processes."""
        for gateway in self.gateways:
            self.signal_gateway(gateway, signal.SIGCONT)
        for proxy in self._proxies:
            proxy.delay(0.0)
            proxy.heal()
        for host in self.hosts:
            host.child.process.send_signal(signal.SIGCONT)
            await self.announce(host)

    async def _prepare_gateway(self, name: str) -> Gateway:
        ip = allocate_ip()
        front = await self._add_proxy(f"{ip}:8101")
        store = await self._add_proxy(self.store.address)
        settings = {
            "host": name,
            "data_centre": "howrah",
            "cores": 1.0,
            "core_share": 0.8,
            "address": f"{ip}:8101",
            "ready_address": f"{ip}:8102",
            "metrics_address": f"{ip}:9464",
            "peer_address": f"{ip}:8104",
            "store_address": store.address,
            "bounds": dict(DEPLOYMENT["bounds"]),
        }
        return Gateway(name, ip, front, store, settings)

    async def _add_proxy(self, target: str) -> FaultProxy:
        proxy = await FaultProxy.start(target, allocate_ip())
        self._proxies.append(proxy)
        return proxy

    async def _launch(self, name: str, kind: str, *args: str) -> Child:
        command = [sys.executable, "-m", f"standins.{kind}", "--address", allocate_ip()]
        with (self.folder / "standins.log").open("ab") as log:
            process = subprocess.Popen(
                [*command, *args],
                cwd=ROOT,
                env=make_environment(),
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self._started.append(process)
        return await asyncio.to_thread(read_address, Child(name, process, ""))


def allocate_ip() -> str:
    """Allocate a loopback address that nothing else on the machine uses."""
    process = os.getpid() % 12_500
    return (
        f"127.{200 + process // 250}.{1 + process % 250}.{next(IP_NUMBERS) % 250 + 1}"
    )
