"""Inject the faults of a schedule, all from outside the programs."""

import asyncio
import math
import signal
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import aiohttp

from soak.callers import BadCaller, CrowdCaller, Flood
from soak.const import (
    BAD_PREFIX,
    CROWD_CALLERS,
    DESK_SLOTS,
    HOST_LIMIT,
    LINGER_SECONDS,
    SILENCE_SECONDS,
)
from soak.fleet import Fleet, Gateway, Host
from soak.schedule import Fault
from standins.proxy import FaultProxy
from standins.runs import read_clock
from standins.spoiling import CLOSE
from standins.staged import LATE_CRASH

LINK_DELAY_SECONDS: Final = (0.03, 0.1, 0.4)
"""One-way delays of a link."""
SLOW_SECONDS: Final = (0.25, 1.0)
DRAIN_SECONDS: Final = 1.0
HEARTBEAT_SECONDS: Final = 1.2
PRESENT_START_MS: Final = 2_000_000
LATE_START: Final = (
    ("ready", PRESENT_START_MS),
    ("ready", PRESENT_START_MS - 5_000),
    ("ready", PRESENT_START_MS),
    ("ready", PRESENT_START_MS),
)
"""States and starts of the entries that precede a host's leaving."""
CRASHED_ENTRY_SECONDS: Final = 3.0
"""Time from a host's crash to the removal of its entry."""
SET_AGAIN_SECONDS: Final = 0.1
BAD_CALLERS: Final = 2
CROWD_DELAY_SECONDS: Final = 5.0
"""Time from the last fault of a schedule to its crowd: no fault lasts longer."""
CROWD_ONSET_SECONDS: Final = 1.0
"""Time after which a report of another gateway's calls is in use or has expired."""
MIN_PEERS: Final = 2
"""Smallest number of hosts of a service at which one may leave or crash."""
DESK_MODES: Final = (
    ["whole", "twice"],
    ["whole", "twice_unnamed"],
    ["whole", "twice_late"],
    ["whole", "whole", "twice_next"],
    ["whole", "break_off", "fail"],
    ["whole", "reset_unframed"],
    ["whole", "reset", "close"],
    ["whole", "fail", "fail_part", "refuse"],
    ["refuse"],
    ["whole", "whole", "whole", "hang"],
    ["whole", "twice", "twice_unnamed", "twice_late", "reset_unframed", "break_off"],
)
ENGINE_FAULTS: Final = (
    {"refuses": True},
    {"loses_handles": True},
    {"cut_after": 2},
    {"cut_after": 7},
    {"cut_after": 12},
)
LONG_BODY: Final = "of another answer " * 40
"""Longer than all events of a stream."""
SPOILED_RUNS: Final = (
    {},
    {},
    {"status": 500, "body": LONG_BODY},
    {"status": 500, "body": "short"},
    {"status": 404, "body": LONG_BODY},
    {"status": 302, "body": LONG_BODY},
    {"cut_after": 0},
    {"cut_after": 0, "half": False, "end": CLOSE, "is_unframed": True},
    {"cut_after": 3},
    {"cut_after": 9, "half": False},
    {"cut_after": 6, "end": CLOSE, "is_unframed": True},
    {"is_unframed": True},
)
UNFRAMED_RUN: Final = {"is_unframed": True, "pause_seconds": 0.1}
UNFRAMED_ENGINE: Final = {"runs": (UNFRAMED_RUN,)}
UNFRAMED_DESK: Final = {"modes": ["unframed"], "pause_seconds": 0.8}
FULL_DESK: Final = {"modes": ["unframed"], "pause_seconds": 0.2, "max_connections": 2}
SOUND_DESK: Final = {"modes": ["whole"]}
Injector = Callable[[Fleet, Fault, str], Awaitable[None]]


async def inject(fleet: Fleet, fault: Fault) -> None:
    """Inject a fault, wait for its duration and end it."""
    kind, _, name = fault.kind.partition("_")
    await _INJECTORS[kind](fleet, fault, name)


async def _inject_link(fleet: Fleet, fault: Fault, name: str) -> None:
    proxy, link_name = _choose_link(fleet, fault.target)
    tail = SILENCE_SECONDS if name == "silence" else 0.0
    with fleet.disturbances.mark(link_name, tail=tail):
        await _inject_on_link(proxy, name, fault)


async def _inject_on_link(proxy: FaultProxy, name: str, fault: Fault) -> None:
    match name:
        case "delay":
            proxy.delay(LINK_DELAY_SECONDS[fault.variant % len(LINK_DELAY_SECONDS)])
        case "reset":
            proxy.cut()
        case "silence":
            proxy.go_silent()
        case "one_way":
            proxy.cut_one_way("up" if fault.variant % 2 else "down")
        case "reply":
            proxy.drop_next_reply()
    await asyncio.sleep(fault.seconds)
    if name == "delay":
        proxy.delay(0.0)
    if name in ("reset", "one_way"):
        proxy.heal()


def _choose_link(fleet: Fleet, target: int) -> tuple[FaultProxy, str]:
    fronts = [(one.front_proxy, f"front:{one.name}") for one in fleet.gateways]
    stores = [(one.store_proxy, f"store:{one.name}") for one in fleet.gateways]
    hosts = [(one.proxy, one.name) for one in fleet.hosts]
    links = [*fronts, *stores, *hosts]
    return links[target % len(links)]


async def _inject_gateway(fleet: Fleet, fault: Fault, name: str) -> None:
    gateway = fleet.gateways[fault.target % len(fleet.gateways)]
    if name == "hangup":
        _reload_settings(fleet, gateway, fault.variant)
        return
    with fleet.disturbances.mark(gateway.name):
        if name == "pause":
            await _pause(fleet, gateway, fault.seconds)
            return
        number = signal.SIGTERM if name == "term" else signal.SIGKILL
        await fleet.restart_gateway(gateway, number)


async def _inject_stall(fleet: Fleet, fault: Fault, name: str) -> None:
    """Pause all gateways at once, so that lease holder and contenders wake together."""

    async def stall(gateway: Gateway) -> None:
        with fleet.disturbances.mark(gateway.name):
            await _pause(fleet, gateway, fault.seconds)

    await asyncio.gather(*map(stall, fleet.gateways))


async def _pause(fleet: Fleet, gateway: Gateway, seconds: float) -> None:
    fleet.signal_gateway(gateway, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    fleet.signal_gateway(gateway, signal.SIGCONT)


def _reload_settings(fleet: Fleet, gateway: Gateway, variant: int) -> None:
    """Change the settings, and send SIGHUP if the process can handle it."""
    bounds = gateway.settings["bounds"]
    bounds["retry_slack"] = 20 + variant % 50
    bounds["retry_ratio"] = 0.1 + variant % 3 / 10
    gateway.settings["core_share"] = 0.5 + variant % 4 / 10
    fleet.write_settings(gateway)
    # Before the program's first line, SIGHUP would kill the interpreter.
    if variant % 4 and gateway.was_ready:
        fleet.signal_gateway(gateway, signal.SIGHUP)


async def _inject_store(fleet: Fleet, fault: Fault, name: str) -> None:
    address, process = fleet.store.address, fleet.store.process
    if name == "forget":
        await fleet.post(address, "/_compact", {})
        return
    with fleet.disturbances.mark("store"):
        if name == "pause":
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.seconds)
            process.send_signal(signal.SIGCONT)
            return
        mode = {"down": "down", "slow": "slow", "lose": "lose_reply"}[name]
        slow = SLOW_SECONDS[fault.variant % len(SLOW_SECONDS)]
        await fleet.post(address, "/_fault", {"mode": mode, "seconds": slow})
        await asyncio.sleep(fault.seconds)
        await fleet.post(address, "/_fault", {"mode": "up"})


async def _inject_host(fleet: Fleet, fault: Fault, name: str) -> None:
    host = fleet.hosts[fault.target % len(fleet.hosts)]
    peers = [one for one in fleet.hosts if one.service == host.service]
    if name in ("leave", "crash") and len(peers) < MIN_PEERS:
        return
    match name:
        case "leave":
            await _replace_host(fleet, host, fault.variant)
        case "crash":
            await _crash_host(fleet, host)
        case "pause":
            with fleet.disturbances.mark(host.name):
                host.child.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.seconds)
                host.child.process.send_signal(signal.SIGCONT)
        case "garble":
            await fleet.garble(host)
            await asyncio.sleep(fault.seconds)
            if host in fleet.hosts:
                await fleet.announce(host)


async def _inject_release(fleet: Fleet, fault: Fault, name: str) -> None:
    """Replace all engines by ones of a new software version, one after the other."""
    fleet.releases += 1
    software = f"v{fleet.releases}"
    async with asyncio.TaskGroup() as group:
        for engine in _find_hosts(fleet, is_desk=False):
            await fleet.add_host(engine.phase, software=software)
            # It may have crashed or left meanwhile.
            if engine in fleet.hosts:
                fleet.hosts.remove(engine)
                group.create_task(_retire_host(fleet, engine, is_draining=True))


async def _replace_host(fleet: Fleet, host: Host, variant: int) -> None:
    """Replace a host; the old one goes on serving requests that still arrive.

    A new engine may start with the opposite role, until the gateways order another.
    """
    fleet.hosts.remove(host)
    opposite = {"prefill": "decode", "decode": "prefill"}
    role = opposite.get(host.phase, "") if variant % 4 < 2 else host.phase
    await fleet.add_host(role)
    await _retire_host(fleet, host, is_draining=bool(variant % 2))


async def _retire_host(fleet: Fleet, host: Host, is_draining: bool) -> None:
    """Let a host leave that is out of service, with or without an announcement."""
    if is_draining:
        await fleet.announce(host, "draining")
        await asyncio.sleep(DRAIN_SECONDS)
    await fleet.withdraw(host)
    await asyncio.sleep(LINGER_SECONDS)
    host.child.process.terminate()


async def _inject_late_start(fleet: Fleet, fault: Fault, name: str) -> None:
    """Let a host leave, serving on, after an entry of its earlier start came late."""
    host = fleet.hosts[fault.target % len(fleet.hosts)]
    fleet.hosts.remove(host)
    await fleet.add_host(host.phase, software=host.software)
    for state, started_ms in LATE_START:
        await fleet.announce(host, state, started_ms)
        await asyncio.sleep(HEARTBEAT_SECONDS)
    fleet.ledger.record_leaving(host.name)
    until = read_clock() + LINGER_SECONDS
    while read_clock() < until:
        await fleet.announce(host, "draining", PRESENT_START_MS)
        await asyncio.sleep(HEARTBEAT_SECONDS)
    await fleet.withdraw(host)
    host.child.process.terminate()


async def _inject_limit(fleet: Fleet, fault: Fault, name: str) -> None:
    """Let a host name a limit in its answers for a while."""
    host = fleet.hosts[fault.target % len(fleet.hosts)]
    since = read_clock()
    await _command(fleet, host, "/_limit", {"limit": HOST_LIMIT})
    await asyncio.sleep(fault.seconds)
    fleet.ledger.record_limit(host.name, since, read_clock())
    await _command(fleet, host, "/_limit", {"limit": 0.0})


async def _inject_crowd(fleet: Fleet, fault: Fault, name: str) -> None:
    """Let more callers come than the plain hosts take, after the other faults."""
    await asyncio.sleep(CROWD_DELAY_SECONDS)
    desks = _find_hosts(fleet, is_desk=True)
    for desk in desks:
        await fleet.set_crowd(desk, DESK_SLOTS)
    since = read_clock()
    parts = fleet.gateways, fleet.ledger, fleet.disturbances
    callers = [CrowdCaller(number, *parts) for number in range(CROWD_CALLERS)]
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(caller.run())
        # Gateways learn of each other's calls within that time.
        await asyncio.sleep(CROWD_ONSET_SECONDS)
        for desk in desks:
            await fleet.set_crowd(desk, DESK_SLOTS)
        await asyncio.sleep(fault.seconds)
        for caller in callers:
            caller.is_stopping = True
    counts = [await fleet.set_crowd(desk, 0) for desk in desks]
    taken, rejected = map(sum, zip(*counts, strict=True))
    names = [gateway.name for gateway in fleet.gateways]
    fleet.ledger.check_crowd(since, names, taken, rejected)


async def _crash_host(fleet: Fleet, host: Host) -> None:
    """Kill a host and start another at its address, under a new id."""
    fleet.hosts.remove(host)
    with fleet.disturbances.mark(f"crash:{host.name}", tail=math.inf):
        host.child.process.kill()
    await fleet.add_host(host.phase, host.proxy, host.software)
    await asyncio.sleep(CRASHED_ENTRY_SECONDS)
    await fleet.withdraw(host)


def _find_hosts(fleet: Fleet, is_desk: bool) -> list[Host]:
    return [host for host in fleet.hosts if is_desk != bool(host.phase)]


async def _inject_answers(fleet: Fleet, fault: Fault, name: str) -> None:
    """Make a host give faulty answers until the fault's duration is over."""
    is_desk = fault.kind.startswith("desk")
    hosts = _find_hosts(fleet, is_desk)
    if not hosts:
        # All engines have exited on a bad part and are being started again.
        return
    host = hosts[fault.target % len(hosts)]
    if is_desk:
        modes = DESK_MODES[fault.variant % len(DESK_MODES)]
        faulty, sound = {"modes": modes, "seed": fault.variant}, SOUND_DESK
    else:
        faulty, sound = ENGINE_FAULTS[fault.variant % len(ENGINE_FAULTS)], {}
    await _set_fault(fleet, host, faulty)
    await asyncio.sleep(fault.seconds)
    await _set_fault(fleet, host, sound)


async def _inject_spoiled_runs(fleet: Fleet, fault: Fault, name: str) -> None:
    """Make all engines spoil each run with a fault that is drawn for it."""
    engines = _find_hosts(fleet, is_desk=False)
    for number, engine in enumerate(engines):
        seed = fault.variant + number
        await _set_fault(fleet, engine, {"runs": SPOILED_RUNS, "seed": seed})
    await asyncio.sleep(fault.seconds)
    for engine in engines:
        await _set_fault(fleet, engine, {})


async def _inject_unframed(fleet: Fleet, fault: Fault, name: str) -> None:
    """Kill the busiest host while all hosts answer without framing."""
    is_desk = name == "desk"
    faulty, sound = (UNFRAMED_DESK, SOUND_DESK) if is_desk else (UNFRAMED_ENGINE, {})
    prepared: dict[str, Host] = {}
    until = read_clock() + fault.seconds

    async def disturb(host: Host) -> None:
        """Set a host's fault again and again, since others may end it."""
        while read_clock() < until:
            await _set_fault(fleet, host, faulty)
            prepared[host.name] = host
            await asyncio.sleep(SET_AGAIN_SECONDS)
        await _set_fault(fleet, host, sound)

    async with asyncio.TaskGroup() as group:
        for host in _find_hosts(fleet, is_desk):
            group.create_task(disturb(host))
        await asyncio.sleep(fault.seconds)
        await _crash_busiest(fleet, prepared.values(), is_desk)


async def _crash_busiest(fleet: Fleet, hosts: Iterable[Host], is_desk: bool) -> None:
    """Crash the host with the most connections, unless it is the last one."""
    answering = [
        host for host in hosts if host in fleet.hosts and host.phase != "prefill"
    ]
    if answering and len(_find_hosts(fleet, is_desk)) >= MIN_PEERS:
        await _crash_host(fleet, max(answering, key=_count_links))


def _count_links(host: Host) -> int:
    return len(host.proxy.links)


async def _inject_full(fleet: Fleet, fault: Fault, name: str) -> None:
    """Make a plain host answer without framing, at its limit of connections."""
    hosts = _find_hosts(fleet, is_desk=True)
    host = hosts[fault.target % len(hosts)]
    await _set_fault(fleet, host, FULL_DESK)
    await asyncio.sleep(fault.seconds)
    await _set_fault(fleet, host, SOUND_DESK)


async def _set_fault(fleet: Fleet, host: Host, fault: dict) -> None:
    """Set a host's fault."""
    await _command(fleet, host, "/_fault", fault)


async def _command(fleet: Fleet, host: Host, path: str, body: dict) -> None:
    """Send a command; ignore connection errors of a host out of service."""
    try:
        await fleet.post(host.child.address, path, body)
    except aiohttp.ClientError:
        # It may be exiting on a bad part.
        await asyncio.sleep(SET_AGAIN_SECONDS)
        if host in fleet.hosts and host.child.process.poll() is None:
            raise


async def _inject_configuration(fleet: Fleet, fault: Fault, name: str) -> None:
    """Change timeouts and priority and add a route, then restore the configuration."""
    variant = fault.variant
    times = {"timeoutMs": 4000 + variant % 2000, "priority": variant % 5}
    route = {"name": f"more-{variant % 3}", "kind": "safe", "service": "desk"}
    await fleet.configure(route, **times)
    await asyncio.sleep(fault.seconds)
    await fleet.configure()


async def _inject_bad_part(fleet: Fleet, fault: Fault, name: str) -> None:
    """Send prompts with a part on which each engine that answers them exits."""
    when = LATE_CRASH if fault.variant % 2 else "early"
    part = f"{BAD_PREFIX}-{when}-{fault.variant}"
    callers = [
        BadCaller(part, number, fleet.gateways, fleet.ledger, fleet.disturbances)
        for number in range(BAD_CALLERS)
    ]
    until = read_clock() + fault.seconds
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(caller.run())
        while read_clock() < until or _list_exited(fleet):
            for engine in _list_exited(fleet):
                group.create_task(_crash_host(fleet, engine))
            await asyncio.sleep(SET_AGAIN_SECONDS)
            for caller in callers:
                caller.is_stopping = read_clock() >= until


def _list_exited(fleet: Fleet) -> list[Host]:
    """List the hosts in service whose processes have exited by themselves."""
    return [host for host in fleet.hosts if host.child.process.poll() is not None]


async def _inject_flood(fleet: Fleet, fault: Fault, name: str) -> None:
    """Let one gateway find more new connections at once than it can serve in time.

    It is paused until all are open, so that they come at once on any machine.
    """
    gateway = fleet.gateways[fault.target % len(fleet.gateways)]
    opened = Flood(gateway, f"flood-{fault.target}-{fault.at}", fleet.ledger)
    since = read_clock()
    fleet.signal_gateway(gateway, signal.SIGSTOP)
    try:
        await opened.open()
    finally:
        fleet.signal_gateway(gateway, signal.SIGCONT)
    fleet.ledger.check_flood(gateway.name, since, await opened.ask())


_INJECTORS: Final[dict[str, Injector]] = {
    "link": _inject_link,
    "gateway": _inject_gateway,
    "store": _inject_store,
    "host": _inject_host,
    "desk": _inject_answers,
    "engine": _inject_answers,
    "configure": _inject_configuration,
    "spoil": _inject_spoiled_runs,
    "stall": _inject_stall,
    "unframed": _inject_unframed,
    "full": _inject_full,
    "release": _inject_release,
    "bad": _inject_bad_part,
    "flood": _inject_flood,
    "late": _inject_late_start,
    "limit": _inject_limit,
    "crowd": _inject_crowd,
}
