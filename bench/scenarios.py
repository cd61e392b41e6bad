"""Scenarios: what is sent to which fleet, and what goes wrong meanwhile."""

from typing import Any, Final, Literal, NamedTuple

from bench.kinds import REMINDER, Deployment
from bench.traces import Phase

ENGINES: Final[dict[str, int]] = {"lagna": 9, "brolga": 6}
POOLS: Final[dict[str, str]] = {"lagna": "gown-llm", "brolga": "fault-reader"}
HOSTS: Final[dict[str, str]] = {"lagna": "gown", "brolga": "reader"}
REMINDERS_PER_SECOND: Final = 4.0
SPLITS: Final[dict[str, dict[str, tuple[str, ...]]]] = {
    "lagna": {
        "all-roles": ("prefill", "mixed", "decode"),
        "one-decode": ("mixed", "mixed", "decode"),
    },
    "brolga": {
        "all-roles": ("prefill", "decode"),
        "one-decode": ("mixed", "decode"),
    },
}
"""Roles of the engines of each place."""

ActionKind = Literal[
    "kill_engine",
    "kill_agent",
    "kill_entry",
    "kill_planner",
    "pause_agents",
    "stall_engines",
    "drain",
    "table_down",
]


class Action(NamedTuple):
    """Do something to the fleet in the middle of a run."""

    at: float
    """Seconds from the start of the trace."""
    kind: ActionKind
    target: str = ""
    """Host; all of the pool where it is empty."""
    seconds: float = 0.0
    """How long it lasts; 0: for good."""


class Variant(NamedTuple):
    """Name the decisions that a run is made with."""

    name: str
    policy: dict[str, Any] = {}
    """Differs from the sample's policy in these."""
    roles: dict[str, str] = {}
    """Configured roles by host."""


class Scenario(NamedTuple):
    """Describe a run but for its decisions and its seed."""

    name: str
    deployment: Deployment
    speed: float
    """How many times faster than the real engines the stand-ins are."""
    phases: tuple[Phase, ...]
    actions: tuple[Action, ...] = ()
    retries: bool = False
    entries: int = 3

    @property
    def seconds(self) -> float:
        """Give the length of the trace."""
        return sum(phase.seconds for phase in self.phases)


def make_lagna_shift(
    load: float = 0.8, speed: float = 1.5, burst_seconds: float = 30.0
) -> Scenario:
    """Turn a morning of long sheets into a burst of short work."""
    reminders = ((REMINDER, REMINDERS_PER_SECOND),)
    morning = {"sheet": 0.95 * load, "tag": 0.02 * load, "dart": 0.03 * load}
    turn = {"sheet": 0.5 * load, "tag": 0.2 * load, "dart": 0.3 * load}
    burst = {"sheet": 0.1 * load, "tag": 0.3 * load, "dart": 0.6 * load}
    phases = (
        Phase(20.0, morning, reminders),
        Phase(5.0, turn, reminders),
        Phase(burst_seconds, burst, reminders),
    )
    return Scenario(f"lagna-shift-{load:g}", "lagna", speed, phases)


def make_brolga_shift(
    load: float = 0.8, speed: float = 1.5, burst_seconds: float = 30.0
) -> Scenario:
    """Turn line histories into a burst of classifications."""
    morning = {"history": 0.95 * load, "classification": 0.05 * load}
    burst = {"history": 0.4 * load, "classification": 0.6 * load}
    phases = (Phase(25.0, morning), Phase(burst_seconds, burst))
    return Scenario(f"brolga-shift-{load:g}", "brolga", speed, phases)


def make_overload(times: float, retries: bool = False) -> Scenario:
    """Ask for a multiple of what the pool can do, in a mix of all kinds."""
    shares = {"sheet": 0.5 * times, "tag": 0.1 * times, "dart": 0.4 * times}
    name = f"overload-{times:g}" + ("-retried" if retries else "")
    phases = (Phase(30.0, shares, ((REMINDER, REMINDERS_PER_SECOND),)),)
    return Scenario(name, "lagna", 1.0, phases, retries=retries)


def make_steady(name: str, *actions: Action, load: float = 0.6) -> Scenario:
    """Let something go wrong in the middle of an even load."""
    shares = {"sheet": 0.5 * load, "tag": 0.1 * load, "dart": 0.4 * load}
    phases = (Phase(35.0, shares, ((REMINDER, REMINDERS_PER_SECOND),)),)
    return Scenario(name, "lagna", 1.0, phases, actions)


def make_hot() -> Scenario:
    """Let half of the work share one long beginning."""
    phases = (Phase(30.0, {"hot": 0.5, "dart": 0.3, "tag": 0.05}),)
    return Scenario("hot-prefix", "lagna", 1.0, phases)


def make_revisions() -> Scenario:
    """Let sheets be revised: a hundred long beginnings, more than one cache holds."""
    phases = (Phase(30.0, {"revision": 0.6, "dart": 0.2, "tag": 0.05}),)
    return Scenario("revisions", "lagna", 1.0, phases)


def make_flood() -> Scenario:
    """Let one team send three times the pool's capacity beside a modest one."""
    phases = (
        Phase(8.0, {"peer": 0.2, "flood": 0.2}),
        Phase(17.0, {"peer": 0.2, "flood": 2.0}),
        Phase(8.0, {"peer": 0.2, "flood": 0.2}),
    )
    return Scenario("flood", "lagna", 1.0, phases)


ROUTING: Final = tuple(
    Variant(name, {"routing": name})
    for name in ("rendezvous", "round_robin", "least_reported")
)
DEFAULT: Final = Variant("default")


def make_planning(deployment: Deployment) -> tuple[Variant, ...]:
    """Make the variants of planning; those that change roles may do so quickly."""
    quick = {"min_dwell_seconds": 5, "drain_seconds": 3}
    return (
        Variant("off", {"planning": "off"}),
        *(
            Variant(
                f"static-{name}",
                {"planning": "static"},
                assign_roles(deployment, roles),
            )
            for name, roles in SPLITS[deployment].items()
        ),
        Variant("threshold", {"planning": "threshold", **quick}),
        Variant("cost", {"planning": "cost", **quick}),
    )


def assign_roles(deployment: Deployment, roles: tuple[str, ...]) -> dict[str, str]:
    """Give the engines of each place these roles."""
    name = HOSTS[deployment]
    number = ENGINES[deployment]
    return {f"{name}-{n + 1}": roles[n % len(roles)] for n in range(number)}
