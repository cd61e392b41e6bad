"""Scenarios: the load that a fleet gets and the faults injected during the run."""

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
"""Roles of the engines of each place by split; the engines get them in turn."""

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
    """Describe a fault or an operation to apply to the fleet during a run."""

    at: float
    """Seconds from the start of the trace."""
    kind: ActionKind
    target: str = ""
    """Host, or place for `kill_planner`; empty: all hosts of the pool."""
    seconds: float = 0.0
    """Duration; 0: permanent."""


class Variant(NamedTuple):
    """Describe the policy and the engine roles that a run uses."""

    name: str
    policy: dict[str, Any] = {}
    """Policy settings that override those of the sample."""
    roles: dict[str, str] = {}
    """Configured engine roles by host; they override those of the sample."""


class Scenario(NamedTuple):
    """Describe the load and the faults of a run, without its variant and seed."""

    name: str
    deployment: Deployment
    speed: float
    """Speed of the stand-in engines as a multiple of the real engines' speed."""
    phases: tuple[Phase, ...]
    actions: tuple[Action, ...] = ()
    retries: bool = False
    entries: int = 3

    @property
    def seconds(self) -> float:
        """Return the length of the trace."""
        return sum(phase.seconds for phase in self.phases)


def make_lagna_shift(
    load: float = 0.8, speed: float = 1.5, burst_seconds: float = 30.0
) -> Scenario:
    """Shift the mix from long sheets to a burst of short requests."""
    reminders = ((REMINDER, REMINDERS_PER_SECOND),)
    morning = {"sheet": 0.95 * load, "tag": 0.02 * load, "dart": 0.03 * load}
    transition = {"sheet": 0.5 * load, "tag": 0.2 * load, "dart": 0.3 * load}
    burst = {"sheet": 0.1 * load, "tag": 0.3 * load, "dart": 0.6 * load}
    phases = (
        Phase(20.0, morning, reminders),
        Phase(5.0, transition, reminders),
        Phase(burst_seconds, burst, reminders),
    )
    return Scenario(f"lagna-shift-{load:g}", "lagna", speed, phases)


def make_brolga_shift(
    load: float = 0.8, speed: float = 1.5, burst_seconds: float = 30.0
) -> Scenario:
    """Shift the mix from line histories to a burst of classifications."""
    morning = {"history": 0.95 * load, "classification": 0.05 * load}
    burst = {"history": 0.4 * load, "classification": 0.6 * load}
    phases = (Phase(25.0, morning), Phase(burst_seconds, burst))
    return Scenario(f"brolga-shift-{load:g}", "brolga", speed, phases)


def make_overload(multiple: float, retries: bool = False) -> Scenario:
    """Offer a multiple of the pool's capacity, in a mix of all kinds."""
    shares = {"sheet": 0.5 * multiple, "tag": 0.1 * multiple, "dart": 0.4 * multiple}
    name = f"overload-{multiple:g}" + ("-retried" if retries else "")
    phases = (Phase(30.0, shares, ((REMINDER, REMINDERS_PER_SECOND),)),)
    return Scenario(name, "lagna", 1.0, phases, retries=retries)


def make_steady(name: str, *actions: Action, load: float = 0.6) -> Scenario:
    """Apply faults or operations in the middle of a constant load."""
    shares = {"sheet": 0.5 * load, "tag": 0.1 * load, "dart": 0.4 * load}
    phases = (Phase(35.0, shares, ((REMINDER, REMINDERS_PER_SECOND),)),)
    return Scenario(name, "lagna", 1.0, phases, actions)


def make_hot() -> Scenario:
    """Offer half of the pool's capacity as sheets that share one long prefix."""
    phases = (Phase(30.0, {"hot": 0.5, "dart": 0.3, "tag": 0.05}),)
    return Scenario("hot-prefix", "lagna", 1.0, phases)


def make_revisions() -> Scenario:
    """Offer sheets with a hundred long prefixes, more than one KV cache holds."""
    phases = (Phase(30.0, {"revision": 0.6, "dart": 0.2, "tag": 0.05}),)
    return Scenario("revisions", "lagna", 1.0, phases)


def make_flood() -> Scenario:
    """Let one team flood the pool with twice its capacity beside a modest team."""
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
    """Make the planning variants; short dwell and drain times suit the short runs."""
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
    """Assign the roles to the deployment's engines in turn."""
    name = HOSTS[deployment]
    number = ENGINES[deployment]
    return {f"{name}-{n + 1}": roles[n % len(roles)] for n in range(number)}
