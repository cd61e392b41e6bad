"""Carry out the faults of a schedule, all from outside the programs."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Final

import aiohttp

from soak.const import LINGER_SECONDS, SILENCE_SECONDS
from soak.fleet import Fleet, Gateway, Host
from soak.schedule import Fault
from standins.proxy import FaultProxy
from standins.spoiling import CLOSE

DELAYS: Final = (0.03, 0.1, 0.4)
"""Seconds by which a link is late, one way."""
SLOW_SECONDS: Final = (0.25, 1.0)
DRAIN_SECONDS: Final = 1.0
CRASH_SECONDS: Final = 3.0
"""Time from a host's crash to the end of its entry."""
FEWEST_PEERS: Final = 2
"""Hosts of a kind below which none of them goes."""
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
OTHER_BODY: Final = "of another answer " * 40
"""Longer than all events of a stream."""
SPOILED_RUNS: Final = (
    {},
    {},
    {"status": 500, "body": OTHER_BODY},
    {"status": 500, "body": "short"},
    {"status": 404, "body": OTHER_BODY},
    {"status": 302, "body": OTHER_BODY},
    {"cut_after": 0},
    {"cut_after": 0, "half": False, "end": CLOSE, "is_unframed": True},
    {"cut_after": 3},
    {"cut_after": 9, "half": False},
    {"cut_after": 6, "end": CLOSE, "is_unframed": True},
    {"is_unframed": True},
)
Carry = Callable[[Fleet, Fault, str], Awaitable[None]]


async def carry_out(fleet: Fleet, fault: Fault) -> None:
    """Show a fault for its time, and end it."""
    kind, _, name = fault.kind.partition("_")
    await _CARRIERS[kind](fleet, fault, name)


async def _disturb_link(fleet: Fleet, fault: Fault, name: str) -> None:
    proxy, what = _choose_link(fleet, fault.target)
    tail = SILENCE_SECONDS if name == "silence" else 0.0
    with fleet.trouble.mark(what, tail=tail):
        await _show_on_link(proxy, name, fault)


async def _show_on_link(proxy: FaultProxy, name: str, fault: Fault) -> None:
    match name:
        case "delay":
            proxy.delay(DELAYS[fault.variant % len(DELAYS)])
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
    fronts = [(one.front, f"front:{one.name}") for one in fleet.gateways]
    stores = [(one.store, f"store:{one.name}") for one in fleet.gateways]
    hosts = [(one.proxy, one.name) for one in fleet.hosts]
    links = [*fronts, *stores, *hosts]
    return links[target % len(links)]


async def _disturb_gateway(fleet: Fleet, fault: Fault, name: str) -> None:
    gateway = fleet.gateways[fault.target % len(fleet.gateways)]
    if name == "hangup":
        _hang_up(fleet, gateway, fault.variant)
        return
    with fleet.trouble.mark(gateway.name):
        if name == "pause":
            await _pause(fleet, gateway, fault.seconds)
            return
        number = signal.SIGTERM if name == "term" else signal.SIGKILL
        await fleet.restart_gateway(gateway, number)


async def _stall_gateways(fleet: Fleet, fault: Fault, name: str) -> None:
    """Pause all gateways at once: holder and contenders of the lease wake together."""

    async def stall(gateway: Gateway) -> None:
        with fleet.trouble.mark(gateway.name):
            await _pause(fleet, gateway, fault.seconds)

    await asyncio.gather(*map(stall, fleet.gateways))


async def _pause(fleet: Fleet, gateway: Gateway, seconds: float) -> None:
    fleet.signal_gateway(gateway, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    fleet.signal_gateway(gateway, signal.SIGCONT)


def _hang_up(fleet: Fleet, gateway: Gateway, variant: int) -> None:
    """Change the settings, with a signal if the process is there to take it."""
    bounds = gateway.settings["bounds"]
    bounds["retry_slack"] = 20 + variant % 50
    bounds["retry_ratio"] = 0.1 + variant % 3 / 10
    gateway.settings["core_share"] = 0.5 + variant % 4 / 10
    fleet.write_settings(gateway)
    # The interpreter itself can't ignore the signal before the program's first line.
    if variant % 4 and gateway.was_ready:
        fleet.signal_gateway(gateway, signal.SIGHUP)


async def _disturb_store(fleet: Fleet, fault: Fault, name: str) -> None:
    address, process = fleet.store.address, fleet.store.process
    if name == "forget":
        await fleet.post(address, "/_compact", {})
        return
    with fleet.trouble.mark("store"):
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


async def _disturb_host(fleet: Fleet, fault: Fault, name: str) -> None:
    host = fleet.hosts[fault.target % len(fleet.hosts)]
    peers = [one for one in fleet.hosts if one.service == host.service]
    if name in ("leave", "crash") and len(peers) < FEWEST_PEERS:
        return
    match name:
        case "leave":
            await _leave(fleet, host, fault.variant)
        case "crash":
            await _crash(fleet, host)
        case "pause":
            with fleet.trouble.mark(host.name):
                host.child.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.seconds)
                host.child.process.send_signal(signal.SIGCONT)
        case "garble":
            await fleet.garble(host)
            await asyncio.sleep(fault.seconds)
            if host in fleet.hosts:
                await fleet.announce(host)


async def _leave(fleet: Fleet, host: Host, variant: int) -> None:
    """Let a host leave; another one comes, and it serves on whatever still comes.

    An engine may come with the other role, until the gateways order another one.
    """
    fleet.hosts.remove(host)
    others = {"prefill": "decode", "decode": "prefill"}
    turned = others.get(host.phase, "") if variant % 4 < 2 else host.phase
    await fleet.add_host(turned)
    if variant % 2:
        await fleet.announce(host, "draining")
        await asyncio.sleep(DRAIN_SECONDS)
    await fleet.withdraw(host)
    await asyncio.sleep(LINGER_SECONDS)
    host.child.process.terminate()


async def _crash(fleet: Fleet, host: Host) -> None:
    """Kill a host; it starts again at its address under another id."""
    fleet.hosts.remove(host)
    host.child.process.kill()
    await fleet.add_host(host.phase, host.proxy)
    await asyncio.sleep(CRASH_SECONDS)
    await fleet.withdraw(host)


async def _disturb_answers(fleet: Fleet, fault: Fault, name: str) -> None:
    """Let a host answer falsely; it is not told to be sound before its time is up."""
    is_desk = fault.kind.startswith("desk")
    hosts = [host for host in fleet.hosts if is_desk != bool(host.phase)]
    host = hosts[fault.target % len(hosts)]
    if is_desk:
        modes = DESK_MODES[fault.variant % len(DESK_MODES)]
        shown, sound = {"modes": modes, "seed": fault.variant}, {"modes": ["whole"]}
    else:
        shown, sound = ENGINE_FAULTS[fault.variant % len(ENGINE_FAULTS)], {}
    await _tell(fleet, host, shown)
    await asyncio.sleep(fault.seconds)
    await _tell(fleet, host, sound)


async def _spoil_runs(fleet: Fleet, fault: Fault, name: str) -> None:
    """Let all engines spoil each run in a way of its own."""
    engines = [host for host in fleet.hosts if host.phase]
    for number, engine in enumerate(engines):
        seed = fault.variant + number
        await _tell(fleet, engine, {"runs": SPOILED_RUNS, "seed": seed})
    await asyncio.sleep(fault.seconds)
    for engine in engines:
        await _tell(fleet, engine, {})


async def _tell(fleet: Fleet, host: Host, fault: dict) -> None:
    """Tell a host how to answer, as long as it runs."""
    try:
        await fleet.post(host.child.address, "/_fault", fault)
    except aiohttp.ClientError:
        if host in fleet.hosts:
            raise


async def _configure(fleet: Fleet, fault: Fault, name: str) -> None:
    """Change times and add a route, then take it away."""
    variant = fault.variant
    times = {"timeoutMs": 4000 + variant % 2000, "priority": variant % 5}
    route = {"name": f"more-{variant % 3}", "kind": "safe", "service": "desk"}
    await fleet.configure(route, **times)
    await asyncio.sleep(fault.seconds)
    await fleet.configure()


_CARRIERS: Final[dict[str, Carry]] = {
    "link": _disturb_link,
    "gateway": _disturb_gateway,
    "store": _disturb_store,
    "host": _disturb_host,
    "desk": _disturb_answers,
    "engine": _disturb_answers,
    "configure": _configure,
    "spoil": _spoil_runs,
    "stall": _stall_gateways,
}
