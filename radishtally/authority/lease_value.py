"""Read what the row of a lease says."""

import math
from typing import Any, Final

from radishtally.authority.lease_events import LeaseValue
from radishtally.outcome import Error, Ok, Result

MAX_NUMBER: Final = 2**53 - 1
"""Largest whole number that every reader of JSON keeps exactly."""
MAX_GRANTED_SECONDS: Final = 3600.0
"""Longest lease that is believed: nobody would plan for as long."""


def read_value(value: dict[str, Any]) -> Result[LeaseValue, str]:
    """Read a row's value; another writer may have put anything there."""
    fault = _find_fault(value)
    if fault is not None:
        return Error(fault)
    return Ok(LeaseValue(**{name: value[name] for name in _list_names(value)}))


def _list_names(value: dict[str, Any]) -> list[str]:
    return [name for name in LeaseValue.__annotations__ if name in value]


def _find_fault(value: dict[str, Any]) -> str | None:
    missing = LeaseValue.__required_keys__ - value.keys()
    if missing:
        return f"no {min(missing)}"
    for name in ("holder", "incarnation"):
        if not isinstance(value[name], str):
            return f"{name} is no text"
    for name in ("fencing", "counter", "era"):
        if not _is_number(value.get(name, 0)):
            return f"{name} is no whole number up to {MAX_NUMBER}"
    if not _is_time(value["granted"]):
        return f"granted is no time up to {MAX_GRANTED_SECONDS:.0f} s"
    return None


def _is_number(value: object) -> bool:
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    return is_whole and 0 <= value <= MAX_NUMBER


def _is_time(value: object) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and math.isfinite(value) and 0 <= value <= MAX_GRANTED_SECONDS
