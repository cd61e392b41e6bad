"""Small fleets of the Lagna sample and helpers to inspect and disturb them."""

import asyncio
import json
import urllib.error
from collections import Counter
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from bench.fleet import Fleet, get_json, post_json, read_sample
from bench.network import Network
from radishtally.authority.plan import Plan
from radishtally.authority.plan_store import PlanStore
from radishtally.store.ids import WriteIds
from radishtally.store.table import HttpTable
from tests.integration.callers import Stream

PLACE: Final = "salt-lake"
ENGINES: Final = ("gown-1", "gown-2", "gown-3")
SERVICES: Final = ("booking-1", "booking-2")
POLICY_FILE: Final = "60-policy.json"
ROLES_FILE: Final = "61-roles.json"
POLICY: Final = {
    "policy": {"planning": "static", "min_dwell_seconds": 0, "retry_budget": 1}
}
STREAM_TOKENS: Final = 100
"""Tokens that the stand-in produces in two seconds."""
READY_DELAY: Final = 1.0
"""Seconds for which a stopping entry still accepts requests."""
MIN_STREAMED_PARTS: Final = 3

T = TypeVar("T")


def make_fleet(
    *,
    engine_args: tuple[str, ...] = ("--role-change-seconds=1",),
    service_args: tuple[str, ...] = ("--seconds=0.2",),
    files: dict[str, Any] | None = None,
    **more: Any,
) -> Fleet:
    """Create a fleet of two entries, three engines of one place, two service hosts."""
    written = {POLICY_FILE: POLICY, **(files or {})}
    texts = {name: json.dumps(content) for name, content in written.items()}
    wanted = {*ENGINES, *SERVICES}
    return Fleet(
        {**read_sample("lagna"), **texts},
        engine_args=("--report-lag=0.2", *engine_args),
        service_args=service_args,
        servers_wanted=lambda name: name in wanted,
        entry_places=(PLACE,),
        network=Network(),
        daemon_settings={"ready_delay": READY_DELAY},
        **more,
    )


def restore(fleet: Fleet) -> None:
    """Undo all faults, restart ended processes and wait until the fleet is ready."""
    fleet.network.heal()
    for kind in ("table", "objects", "hosts"):
        set_fault(fleet.standins[kind].url, mode="up")
    for host, child in list(fleet.upstreams.items()):
        if child.process.poll() is not None:
            fleet.restart_upstream(host)
    for host in SERVICES:
        set_fault(fleet.upstreams[host].url, mode="up")
    for host in (*fleet.entries, *fleet.agents):
        ended = fleet.find_daemon(host).process.poll() is not None
        if ended or host in fleet.stopping:
            fleet.restart(host)
        fleet.resume(host)
    fleet.wait_until(fleet.is_ready, "the fleet to be as it was")


def set_fault(url: str, **fault: Any) -> None:
    """Inject a fault into a stand-in."""
    post_json(f"{url}/_fault", fault)


def start_streams(fleet: Fleet, count: int, name: str) -> list[Stream]:
    """Request answers from all entries in turn and wait until all are streaming."""
    urls = [entry.url for entry in fleet.entries.values()]
    streams = [
        Stream(urls[number % len(urls)], f"{name} {number}", STREAM_TOKENS)
        for number in range(count)
    ]

    def have_started() -> bool:
        return all(len(one.answer.parts) >= MIN_STREAMED_PARTS for one in streams)

    fleet.wait_until(have_started, "all answers to stream")
    return streams


def find_busy_engine(fleet: Fleet) -> str:
    """Find the engine that runs most of the answers in flight."""
    total: Counter[str] = Counter()
    for entry in fleet.entries:
        hosts = fleet.status(entry)["hosts"]
        total.update({h: hosts[h].get("in_flight_from_here", 0) for h in ENGINES})
    return total.most_common(1)[0][0]


def read_engine(fleet: Fleet, host: str) -> dict[str, Any]:
    """Read the counts of an engine."""
    return get_json(f"{fleet.upstreams[host].url}/_counts")


def read_state(fleet: Fleet, host: str) -> dict[str, Any]:
    """Read the state that an engine reports."""
    return get_json(f"{fleet.upstreams[host].url}/state")


def has_role(fleet: Fleet, host: str, role: str) -> bool:
    """Return whether an engine has finished its change to a role."""
    try:
        state = read_state(fleet, host)
    except (urllib.error.URLError, OSError):
        return False
    return state["role"] == role and not state["changing"]


def count_runs(fleet: Fleet) -> Counter[str]:
    """Count the runs of each key at all servers of the service."""
    total: Counter[str] = Counter()
    for host in SERVICES:
        total.update(get_json(f"{fleet.upstreams[host].url}/_counts"))
    return total


def configure(
    fleet: Fleet, files: dict[str, Any], entry: str = "entry-1", base: int | None = None
) -> int:
    """Apply a configuration change at an entry; return the revision."""
    url = f"{fleet.entries[entry].url}/operators/v1/configuration"
    if base is None:
        base = get_json(url, fleet.operator_key)["revision"]
    texts = {
        name: None if content is None else json.dumps(content)
        for name, content in files.items()
    }
    body = {"base": base, "files": texts, "cause": "integration test"}
    return post_json(url, body, fleet.operator_key)["revision"]


def make_roles(**roles: str) -> dict[str, Any]:
    """Build a configuration file that sets the roles of some engines."""
    servers = {
        host.replace("_", "-"): {"place": PLACE, "role": role}
        for host, role in roles.items()
    }
    return {"upstreams": {"gown-llm": {"servers": servers}}}


def read_plan(fleet: Fleet, place: str = PLACE) -> Plan | None:
    """Read the plan in force from the table."""

    async def read() -> Plan | None:
        table = HttpTable(fleet.standins["table"].url, "radishtally")
        plan = await PlanStore(table, "test", WriteIds("test")).read_plan(place)
        await table.close()
        assert plan.is_ok(), str(plan)
        return plan.ok

    return run(read())


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new event loop."""
    return asyncio.run(coroutine)


def find_planner(fleet: Fleet) -> str | None:
    """Find the entry that holds the place's planner lease."""
    for entry in fleet.entries:
        if fleet.status(entry)["planner"].get(PLACE, {}).get("holds_lease"):
            return entry
    return None


def find_revisions(fleet: Fleet, entry: str) -> dict[str, int | None]:
    """Return the revision in force at each host in the view of one entry."""
    status = fleet.status(entry)
    hosts = {host: known["revision"] for host, known in status["hosts"].items()}
    return {**hosts, entry: status["revision"]}


def read_log(fleet: Fleet, host: str) -> list[dict[str, Any]]:
    """Read the log messages of a daemon."""
    lines = (fleet.folder / f"{host}.log").read_text().splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]
