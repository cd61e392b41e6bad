"""Errors that the system's functions return as values."""

from typing import Final, NamedTuple

from expression import Error, Ok, Result

__all__ = ["Error", "Ok", "Result", "Fault", "Ran", "Refusal"]


class Ran:
    """Tell whether refused work ran."""

    NO: Final = "no"
    UNKNOWN: Final = "unknown"


class Fault(NamedTuple):
    """Tell an operator what is wrong and where."""

    message: str
    place: str = ""
    """File and key path, or the name of what was asked for."""

    def __str__(self) -> str:
        """Give one line for standard error."""
        return f"{self.place}: {self.message}" if self.place else self.message


class Refusal(NamedTuple):
    """Tell a caller why its request is not answered."""

    status: int
    code: str
    message: str
    ran: str = Ran.NO
    retry_after: float | None = None
    """Seconds until it is worth asking again; none if it never is."""
