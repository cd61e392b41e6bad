"""Validate the value of a lease row."""

from typing import Any, Final

from radishtally.authority.lease_events import LeaseValue
from radishtally.outcome import Error, Ok, Result

MAX_SAFE_INTEGER: Final = 2**53 - 1
"""Largest integer that every JSON parser represents exactly."""
MAX_GRANTED_SECONDS: Final = 3600.0
"""Longest lease accepted from a row; a longer one would block planning for as long."""


def parse_lease_value(value: dict[str, Any]) -> Result[LeaseValue, str]:
    """Parse a row's value, which other software may have filled with anything."""
    fault = _find_fault(value)
    if fault is not None:
        return Error(fault)
    return Ok(LeaseValue(**{name: value[name] for name in _list_known_fields(value)}))


def _list_known_fields(value: dict[str, Any]) -> list[str]:
    return [name for name in LeaseValue.__annotations__ if name in value]


def _find_fault(value: dict[str, Any]) -> str | None:
    missing = LeaseValue.__required_keys__ - value.keys()
    if missing:
        return f"missing field {min(missing)}"
    for name in ("holder", "incarnation"):
        if not isinstance(value[name], str):
            return f"{name} is not a string"
    for name in ("fencing", "counter", "era"):
        if not _is_whole_number(value.get(name, 0)):
            return f"{name} is not an integer from 0 to {MAX_SAFE_INTEGER}"
    if not _is_lease_time(value["granted"]):
        return f"granted is not a time from 0 to {MAX_GRANTED_SECONDS:.0f} s"
    return None


def _is_whole_number(value: object) -> bool:
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    return is_whole and 0 <= value <= MAX_SAFE_INTEGER


def _is_lease_time(value: object) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 <= value <= MAX_GRANTED_SECONDS
