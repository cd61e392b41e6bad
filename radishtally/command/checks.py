"""Validate command-line arguments; each check returns a message or None."""

from radishtally.command import const


def check_cause(cause: str) -> str | None:
    """Refuse an empty cause."""
    return None if cause.strip() else "--cause: expected a reason for the change"


def check_name(what: str, name: str) -> str | None:
    """Refuse an empty name."""
    return None if name.strip() else f"{what}: expected a name"


def check_limit(limit: object) -> str | None:
    """Refuse a limit that is not a number of lines within bounds."""
    if type(limit) is int and 1 <= limit <= const.MAX_LIMIT:
        return None
    return f"--limit: expected a number from 1 to {const.MAX_LIMIT}, got {limit}"


def check_base(base: object) -> str | None:
    """Refuse a base that is not a revision number."""
    if base is None or (type(base) is int and base >= 0):
        return None
    return f"--base: expected the number of a revision, got {base}"


def check_wait(wait: object) -> str | None:
    """Refuse a wait that is not a number of seconds within bounds."""
    if wait is None or (
        type(wait) in (int, float) and 0 <= wait <= const.MAX_WAIT_SECONDS
    ):
        return None
    longest = const.MAX_WAIT_SECONDS
    return f"--wait: expected seconds from 0 to {longest:g}, got {wait}"


def check_switch(name: str, value: object) -> str | None:
    """Refuse a value for a flag that takes no value."""
    return None if isinstance(value, bool) else f"{name}: takes no value"
