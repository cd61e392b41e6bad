"""Plans and drains, and the table rows that store them."""

from typing import Any, Final, NamedTuple, TypedDict

from radishtally.numbers import Count
from radishtally.outcome import Result
from radishtally.store.core import ABSENT, Check, Invalid, Key, Put, Row, Write
from radishtally.store.records import read_record

PLAN: Final = "plan"
DRAIN: Final = "drain"


class Wanted(NamedTuple):
    """Represent the state that the plan wants one engine to have."""

    role: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()


class Plan(NamedTuple):
    """Represent the wanted state of every engine of a place."""

    place: str
    number: int
    """Increases by one with each plan of the place."""
    fencing: int
    """Fencing token of the lease under which the plan was written."""
    cause: str
    wanted: dict[str, Wanted]
    """Wanted state by host."""


class Drain(NamedTuple):
    """Represent whether an operator wants a host to accept no work."""

    host: str
    drained: bool
    who: str
    cause: str


class WantedValue(TypedDict):
    """Describe the state that the plan wants one engine to have, as stored."""

    role: str
    model: str
    version: str
    adapters: tuple[str, ...]


class PlanValue(TypedDict):
    """Describe a plan as stored."""

    place: str
    number: Count
    fencing: Count
    cause: str
    wanted: dict[str, WantedValue]


class DrainValue(TypedDict):
    """Describe a drain as stored."""

    host: str
    drained: bool
    who: str
    cause: str


def make_plan_key(place: str) -> Key:
    """Return the key of a place's plan row."""
    return Key(PLAN, place)


def make_drain_key(host: str) -> Key:
    """Return the key of a host's drain row."""
    return Key(DRAIN, host)


def make_next_plan(
    place: str,
    previous: Plan | None,
    fencing: int,
    cause: str,
    wanted: dict[str, Wanted],
) -> Plan:
    """Build the successor of the previous plan."""
    number = 1 if previous is None else previous.number + 1
    return Plan(place, number, fencing, cause, wanted)


def make_plan_writes(
    plan: Plan, previous_rev: int, lease: Check, audit: Put
) -> list[Write]:
    """Build the transaction that puts a plan in force.

    A planner that was paused while another one took over its lease would still write
    its plan; the check on the lease row's revision then fails the whole transaction.
    """
    put = Put(make_plan_key(plan.place), encode_record(plan), previous_rev)
    return [lease, put, audit]


def make_drain_writes(drain: Drain, previous: Row | None, audit: Put) -> list[Write]:
    """Build the transaction that drains a host or ends its drain."""
    expect = ABSENT if previous is None else previous.rev
    return [Put(make_drain_key(drain.host), encode_record(drain), expect), audit]


def encode_record(record: Plan | Drain) -> dict[str, Any]:
    """Encode a plan or a drain as a row's value."""
    value = record._asdict()
    if isinstance(record, Plan):
        value["wanted"] = {host: w._asdict() for host, w in record.wanted.items()}
    return value


def read_plan_row(row: Row) -> Result[Plan, Invalid]:
    """Decode a plan from its row, which other software may have filled."""
    return read_record(row, PlanValue).map(
        lambda value: Plan(
            **{
                **value,
                "wanted": {h: Wanted(**state) for h, state in value["wanted"].items()},
            }
        )
    )


def read_drain_row(row: Row) -> Result[Drain, Invalid]:
    """Decode a drain from its row, which other software may have filled."""
    return read_record(row, DrainValue).map(lambda value: Drain(**value))
