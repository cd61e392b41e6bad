"""A holder that has given up its lease sends a usage report under its old token."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet3 import Fleet, ask, make_route, run_case  # noqa: E402
from proxy3 import PartProxy, PlatformApi  # noqa: E402

GATEWAYS = 5
CYCLES = 7
WINDOW_SECONDS = 5.0
REFUSED_SECONDS = 4.5
KEY = "kayit-1"


class Watch:
    """Follow who holds the lease, and refuse calls to the part with the reports."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.holder = ""
        self.token = 0
        self.proxies: dict[str, PartProxy] = {}
        self.refused_by = asyncio.Event()
        self.taken_over = asyncio.Event()

    async def add(self, name: str) -> PartProxy:
        """Put a proxy between a gateway and the store."""
        proxy = self.proxies[name] = PartProxy(self.fleet.store)
        proxy.on_lease = self._see_lease
        proxy.on_refused = lambda part: self._see_refused(name, part)
        await proxy.start()
        return proxy

    def _see_lease(self, value: dict) -> None:
        released = value["granted"] == 0
        if value["fencing"] != self.token or released:
            verb = "releases" if released else "takes"
            self.fleet.record(
                f"{value['holder']} {verb} the lease, token {value['fencing']}"
            )
        if value["fencing"] > self.token:
            self.holder, self.token = value["holder"], value["fencing"]
            self.taken_over.set()

    def _see_refused(self, name: str, part: str) -> None:
        if name == self.holder and not self.refused_by.is_set():
            self.fleet.record(f"the store resets {name}'s write to part {part}")
            self.refused_by.set()

    def refuse(self, parts: set[str]) -> None:
        """Refuse all calls to these parts, of all gateways."""
        for proxy in self.proxies.values():
            proxy.refused_parts = parts


async def send_requests(fleet: Fleet) -> None:
    """Send keyed requests to all gateways in turn."""
    number = 0
    while True:
        await asyncio.sleep(0.1)
        number += 1
        name = f"front-{number % GATEWAYS + 1}"
        address = fleet.gateways[name]["address"]
        headers = {"X_Deadline_Ms": "3139", "Authorization": f"Bearer {KEY}"}
        await ask(address, "/seat/2f", f"r{number:05d}", seconds=4.0, **headers)


async def disrupt(fleet: Fleet, watch: Watch, processes: dict) -> None:
    """Refuse the part for a moment while its holder is stopped, then start it again."""
    left = WINDOW_SECONDS - time.time() % WINDOW_SECONDS
    await asyncio.sleep(left + 0.05)
    watch.refused_by.clear()
    watch.refuse({"usage"})
    fleet.record("the store is down for part usage")
    until = time.monotonic() + REFUSED_SECONDS
    try:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + 3.0):
            await watch.refused_by.wait()
        holder = watch.holder
        watch.taken_over.clear()
        processes[holder].send_signal(signal.SIGTERM)
        fleet.record(f"SIGTERM for {holder}, which holds the lease")
        async with asyncio.timeout(max(0.0, until - time.monotonic())):
            await watch.taken_over.wait()
    except TimeoutError:
        fleet.record("nobody has taken over in time")
        holder = ""
    watch.refuse(set())
    fleet.record("the store serves all parts")
    if not holder:
        return
    await asyncio.to_thread(processes[holder].wait, 12)
    processes[holder] = await fleet.launch_gateway(holder)


async def play(fleet: Fleet, with_trouble: bool) -> bool:
    """Return whether the platform got a lower token after a higher one."""
    await fleet.start_store()
    api = PlatformApi()
    await api.start()
    await fleet.configure(
        3,
        [make_route("seat", "unsafe", "kayit-app", timeoutMs=3139)],
        [{"name": "kayit-app", "healthPath": "/health"}],
        tenants=[{"name": "uni", "apiKeys": [KEY]}],
    )
    await fleet.start_server("i-1", "--service", "kayit-app", "--gap", "0.02")
    watch = Watch(fleet)
    processes = {}
    for number in range(GATEWAYS):
        name = f"front-{number + 1}"
        proxy = await watch.add(name)
        processes[name] = await fleet.start_gateway(
            name, proxy.address, usage_api=api.address
        )
    sending = asyncio.create_task(send_requests(fleet))
    await asyncio.sleep(12.0)
    for _ in range(CYCLES if with_trouble else 4):
        if fleet.now() > 88.0 or find_lower(api):
            break
        if with_trouble:
            await disrupt(fleet, watch, processes)
        else:
            await asyncio.sleep(WINDOW_SECONDS)
        await asyncio.sleep(WINDOW_SECONDS)
    sending.cancel()
    for report in api.reports:
        fleet.record(
            f"the platform got at {report.at - fleet.started:.3f} from {report.holder} "
            f"token {report.token}: window {report.window}, {report.counts}"
        )
    lower = find_lower(api)
    fleet.record(f"calls with a lower token than was seen before: {len(lower)} {lower}")
    return bool(lower)


def find_lower(api: PlatformApi) -> list[tuple[str, int, int]]:
    """List the calls with a lower token than the platform has seen before."""
    highest, lower = 0, []
    for report in api.reports:
        if report.token < highest:
            lower.append((report.holder, report.token, highest))
        highest = max(highest, report.token)
    return lower


run_case(FOLDER, play)
