"""Ranges of the numbers that hosts, peers and the store send.

A number far beyond any sound one may be accepted where it is read and raise an error
much later, as a float or in a message, where an error ends the process.
"""

from typing import Annotated, Final

from msgspec import Meta

MAX_INTEGER: Final = 2**53 - 1
"""Largest integer that every JSON parser represents exactly."""
MAX_UNIX_MS: Final = 10**15
"""Unix milliseconds some 30,000 years from now."""

Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
UnixMs = Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)]
Amount = Annotated[float, Meta(ge=-1e15, le=1e15)]
"""Finite number, such as a rate or a sum of tokens."""
Seconds = Annotated[float, Meta(ge=-1e9, le=1e9)]
"""Finite time, up to 30 years; a difference of two readings may be negative."""
NonNegative = Annotated[float, Meta(ge=0)]
"""Number that may be infinite, such as the rate of a service without a limit."""
