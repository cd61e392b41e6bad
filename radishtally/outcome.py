"""Error types that functions return as values instead of raising."""

from typing import Final, NamedTuple

from expression import Error, Ok, Result

__all__ = ["Error", "Ok", "Result", "Fault", "Ran", "Refusal"]


class Ran:
    """Define whether work that was refused or lost may have run."""

    NO: Final = "no"
    UNKNOWN: Final = "unknown"


class Fault(NamedTuple):
    """Describe an error and its location to an operator."""

    message: str
    place: str = ""
    """File and key path, or the name of the requested object."""

    def __str__(self) -> str:
        """Format the error in one line."""
        return f"{self.place}: {self.message}" if self.place else self.message


class Refusal(NamedTuple):
    """Describe to a caller why its request was refused."""

    status: int
    code: str
    message: str
    ran: str = Ran.NO
    retry_after: float | None = None
    """Seconds after which a retry makes sense; none if it never does."""
