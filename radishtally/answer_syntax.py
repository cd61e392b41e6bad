"""Checks whether the head of an answer keeps to HTTP/1.1."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Final

STATUSES: Final = range(100, 600)
SWITCHING_PROTOCOLS: Final = 101
Fields = Iterable[tuple[bytes, bytes]]


class SyntaxFault(StrEnum):
    """Reasons why an answer is none in the protocol."""

    STATUS = "its status is out of range"
    SWITCH = "it switches to another protocol"


def find_fault(status: int) -> SyntaxFault | None:
    """Return why a head can't be that of an answer to one of our requests."""
    if status not in STATUSES:
        return SyntaxFault.STATUS
    # No request asks for another protocol.
    if status == SWITCHING_PROTOCOLS:
        return SyntaxFault.SWITCH
    return None
