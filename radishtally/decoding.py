"""Decoding of JSON that other processes have written."""

from typing import Final, TypeVar

import msgspec

from radishtally.outcome import Error, Ok, Result

DECODE_ERRORS: Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
)
"""Exceptions that any bytes may raise; too deeply nested ones raise the last."""
T = TypeVar("T")


def decode(decoder: "msgspec.json.Decoder[T]", data: bytes) -> Result[T, str]:
    """Decode JSON of a type; the error is the reason why it can't be decoded."""
    try:
        return Ok(decoder.decode(data))
    except DECODE_ERRORS as error:
        return Error(str(error))
