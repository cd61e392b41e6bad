"""Checks whether the head of an answer keeps to HTTP/1.1."""

import re
from collections.abc import Sequence
from enum import StrEnum
from typing import Final

VERSIONS: Final = ((1, 0), (1, 1))
STATUSES: Final = range(100, 600)
SWITCHING_PROTOCOLS: Final = 101
FIELD_NAME: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TRANSFER: Final = b"transfer-encoding"
LENGTH: Final = b"content-length"
CHUNKED: Final = b"chunked"
CONTROL: Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Control bytes other than a tab, which a value may contain."""
Fields = Sequence[tuple[bytes, bytes]]
"""Names and values of a head's fields, as received."""


class SyntaxFault(StrEnum):
    """Reasons why an answer is none in the protocol."""

    VERSION = "its version is not 1.0 or 1.1"
    STATUS = "its status is out of range"
    SWITCH = "it switches to another protocol"
    REASON = "its reason has control bytes"
    NAME = "a field's name has other characters"
    VALUE = "a field's value has control bytes"
    LENGTH = "its length is not one number"
    UNPARSED = "its head or its chunks can't be parsed"
    CODING = "its transfer coding is not just chunked"


def find_fault(
    version: tuple[int, int], status: int, reason: bytes, fields: Fields
) -> SyntaxFault | None:
    """Return why a head can't be that of an answer to one of our requests."""
    if version not in VERSIONS:
        return SyntaxFault.VERSION
    if status not in STATUSES:
        return SyntaxFault.STATUS
    # No request asks for another protocol.
    if status == SWITCHING_PROTOCOLS:
        return SyntaxFault.SWITCH
    if CONTROL.search(reason):
        return SyntaxFault.REASON
    for name, value in fields:
        if not FIELD_NAME.fullmatch(name):
            return SyntaxFault.NAME
        if CONTROL.search(value):
            return SyntaxFault.VALUE
    codings = [value.lower() for name, value in fields if name.lower() == TRANSFER]
    if codings not in ([], [CHUNKED]):
        return SyntaxFault.CODING
    lengths = [value for name, value in fields if name.lower() == LENGTH]
    if not all(map(bytes.isdigit, lengths)) or len(lengths) + len(codings) > 1:
        return SyntaxFault.LENGTH
    return None
