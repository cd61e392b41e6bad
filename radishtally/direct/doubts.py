"""Tell whether an answer may belong to another request."""

from collections.abc import Collection
from enum import StrEnum
from typing import NamedTuple


class Usage(NamedTuple):
    """Describe a connection at the moment at which a request takes it."""

    age: float = 0.0
    """Seconds since it was opened."""
    carried: int = 0
    """Requests that it carried before."""
    waiting: int = 0
    """Answers that were read before the request goes out."""
    is_unread: bool = False
    """Whether bytes, or the connection's end, wait in the kernel."""


class Doubt(StrEnum):
    """Say why an answer may not be the request's own."""

    FOREIGN = "it names another request"
    UNNAMED = "it names no request"
    SEVERAL = "it names several requests"
    EARLY = "it came before the request went out"


def find_doubt(names: Collection[str], request: str, usage: Usage) -> Doubt | None:
    """Find why an answer may not be the request's own, by the names that it bears."""
    if len(names) > 1:
        return Doubt.SEVERAL
    if names and request not in names:
        return Doubt.FOREIGN
    if usage.waiting or usage.is_unread:
        return Doubt.EARLY
    # The first answer on a connection can belong to no earlier request.
    return Doubt.UNNAMED if usage.carried and not names else None
