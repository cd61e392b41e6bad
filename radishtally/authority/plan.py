"""Hold what a place's planner wants of its engines, and form the rows that say so."""

from typing import Any, Final, NamedTuple

from radishtally.store.core import ABSENT, Check, Key, Put, Row, Write

PLAN: Final = "plan"
DRAIN: Final = "drain"


class Wanted(NamedTuple):
    """Say what one engine is to be."""

    role: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()


class Plan(NamedTuple):
    """Say what every engine of a place is to be."""

    place: str
    number: int
    """Grows by one with each plan of the place."""
    fencing: int
    """Fencing number of the lease under which the plan was written."""
    cause: str
    wanted: dict[str, Wanted]
    """By host."""


class Drain(NamedTuple):
    """Say whether an operator wants a host to take no work."""

    host: str
    drained: bool
    who: str
    cause: str


def make_plan_key(place: str) -> Key:
    """Name the row of a place's plan."""
    return Key(PLAN, place)


def make_drain_key(host: str) -> Key:
    """Name the row of a host's drain."""
    return Key(DRAIN, host)


def make_next_plan(
    place: str,
    previous: Plan | None,
    fencing: int,
    cause: str,
    wanted: dict[str, Wanted],
) -> Plan:
    """Form the plan that comes after the previous one."""
    number = 1 if previous is None else previous.number + 1
    return Plan(place, number, fencing, cause, wanted)


def make_plan_writes(
    plan: Plan, previous_rev: int, lease: Check, audit: Put
) -> list[Write]:
    """Form the transaction that puts a plan in force.

    A planner that was paused while its lease went to another one still believes in its
    plan; the check on the lease row's revision makes the whole transaction void then.
    """
    put = Put(make_plan_key(plan.place), encode_record(plan), previous_rev)
    return [lease, put, audit]


def make_drain_writes(drain: Drain, previous: Row | None, audit: Put) -> list[Write]:
    """Form the transaction that drains a host or takes the drain back."""
    expect = ABSENT if previous is None else previous.rev
    return [Put(make_drain_key(drain.host), encode_record(drain), expect), audit]


def encode_record(record: Plan | Drain) -> dict[str, Any]:
    """Give a record as a row's value."""
    value = record._asdict()
    if isinstance(record, Plan):
        value["wanted"] = {host: w._asdict() for host, w in record.wanted.items()}
    return value


def read_plan_row(row: Row) -> Plan:
    """Read a plan back from its row."""
    wanted = {
        host: Wanted(**{**one, "adapters": tuple(one["adapters"])})
        for host, one in row.value["wanted"].items()
    }
    return Plan(**{**row.value, "wanted": wanted})


def read_drain_row(row: Row) -> Drain:
    """Read a drain back from its row."""
    return Drain(**row.value)
