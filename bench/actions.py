"""Faults and operations applied to a fleet: kills, pauses, drains, outages."""

import contextlib
import os
import signal
import threading
import time
import urllib.error
from collections.abc import Callable
from typing import Final

from bench.fleet import Fleet, post_json
from bench.scenarios import POOLS, Action

TAKEOVER_SECONDS: Final = 60.0
TAKEOVER_POLL_SECONDS: Final = 0.1
RESTART_SECONDS: Final = 1.0
"""Delay after which a killed daemon is restarted, as the platform does."""


def carry_out(action: Action, fleet: Fleet) -> None:
    """Apply an action to the fleet and schedule its end if it has one."""
    ACTIONS[action.kind](action, fleet)


def run_after(seconds: float, callback: Callable[[], object]) -> None:
    """Call a function after a delay, on a timer thread."""
    timer = threading.Timer(seconds, callback)
    timer.daemon = True
    timer.start()


def kill_engine(action: Action, fleet: Fleet) -> None:
    """Kill an engine without a restart."""
    os.kill(fleet.upstreams[action.target].pid, signal.SIGKILL)


def kill_agent(action: Action, fleet: Fleet) -> None:
    """Kill an agent and restart it after `RESTART_SECONDS`."""
    os.kill(fleet.agents[action.target].pid, signal.SIGKILL)
    run_after(RESTART_SECONDS, lambda: fleet.start_daemon(action.target))


def kill_entry(action: Action, fleet: Fleet) -> None:
    """Kill an entry and restart it after `RESTART_SECONDS`."""
    os.kill(fleet.entries[action.target].pid, signal.SIGKILL)
    run_after(RESTART_SECONDS, lambda: fleet.start_daemon(action.target))


def kill_planner(action: Action, fleet: Fleet) -> None:
    """Kill the entry that holds the planner lease of the action's place."""
    holder = find_planner(action.target, fleet)
    assert holder is not None, f"no entry holds the planner lease of {action.target}"
    kill_entry(action._replace(target=holder), fleet)


def find_planner(place: str, fleet: Fleet) -> str | None:
    """Return the entry that holds a place's planner lease, if any."""
    for entry in list(fleet.entries):
        with contextlib.suppress(urllib.error.URLError, OSError, ValueError):
            planner = fleet.status(entry)["planner"]
            if planner.get(place, {}).get("holds_lease"):
                return entry
    return None


class TakeoverTimer(threading.Thread):
    """Measure the time until an entry holds a place's planner lease again."""

    def __init__(self, place: str, fleet: Fleet) -> None:
        super().__init__(daemon=True)
        self._place = place
        self._fleet = fleet
        self.seconds: float | None = None

    def run(self) -> None:
        """Poll until an entry holds the lease or `TAKEOVER_SECONDS` have passed."""
        begin = time.monotonic()
        while time.monotonic() - begin < TAKEOVER_SECONDS:
            if find_planner(self._place, self._fleet) is not None:
                self.seconds = round(time.monotonic() - begin, 2)
                return
            time.sleep(TAKEOVER_POLL_SECONDS)


def pause_agents(action: Action, fleet: Fleet) -> None:
    """Suspend the agents of a pool, or one of them, for the action's duration."""
    pids = [fleet.agents[host].pid for host in list_pool(action, fleet)]
    for pid in pids:
        os.kill(pid, signal.SIGSTOP)
    run_after(
        action.seconds, lambda: [os.kill(pid, signal.SIGCONT) for pid in pids] and None
    )


def stall_engines(action: Action, fleet: Fleet) -> None:
    """Stall the engines of a pool, or one of them, for the action's duration."""
    for host in list_pool(action, fleet):
        post_json(f"{fleet.upstreams[host].url}/_fault", {"stall": action.seconds})


def list_pool(action: Action, fleet: Fleet) -> list[str]:
    """List the hosts that an action applies to: its target or the whole pool."""
    if action.target:
        return [action.target]
    pools = fleet.configuration.upstreams
    name = next(pool for pool in POOLS.values() if pool in pools)
    return sorted(pools[name].servers)


def drain(action: Action, fleet: Fleet) -> None:
    """Drain a host through the operators' API."""
    url = f"{next(iter(fleet.entries.values())).url}/operators/v1"
    body = {"drained": True, "cause": "measurement"}
    post_json(f"{url}/hosts/{action.target}/drain", body, fleet.operator_key)


def disable_table(action: Action, fleet: Fleet) -> None:
    """Make the table service unavailable for the action's duration."""
    url = f"{fleet.standins['table'].url}/_fault"
    post_json(url, {"mode": "down"})
    run_after(action.seconds, lambda: post_json(url, {"mode": "up"}))


ACTIONS: Final[dict[str, Callable[[Action, Fleet], None]]] = {
    "kill_engine": kill_engine,
    "kill_agent": kill_agent,
    "kill_entry": kill_entry,
    "kill_planner": kill_planner,
    "pause_agents": pause_agents,
    "stall_engines": stall_engines,
    "drain": drain,
    "table_down": disable_table,
}
