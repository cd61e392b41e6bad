"""Decoding of rows that other software may have filled with anything."""

from typing import Final, TypeVar

import msgspec
from eliot import log_message

from radishtally.outcome import Error, Ok, Result
from radishtally.store.core import Invalid, Row

T = TypeVar("T")
CONVERSION_ERRORS: Final = (msgspec.ValidationError, OverflowError, RecursionError)
"""Exceptions that a value of another type may raise."""


def read_record(row: Row, kind: type[T]) -> Result[T, Invalid]:
    """Convert a row's value to its type; log a row that does not fit."""
    try:
        return Ok(msgspec.convert(row.value, kind))
    except CONVERSION_ERRORS as error:
        name = f"{row.key.pk}/{row.key.sk}"
        log_message("store:row_invalid", row=name, reason=str(error))
        return Error(Invalid(f"row {name} is invalid: {error}"))
