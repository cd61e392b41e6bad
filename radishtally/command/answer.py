"""What a command gives back: an answer to print, or a failure."""

from typing import Any, NamedTuple

from radishtally.command.const import EXIT_FINE


class Answer(NamedTuple):
    """Hold what a command found or did."""

    value: Any
    """Printed as JSON if that was asked for."""
    lines: tuple[str, ...]
    """Printed otherwise."""
    warnings: tuple[str, ...] = ()
    """Printed on standard error in either case."""
    code: int = EXIT_FINE


class Failure(NamedTuple):
    """Say why a command did nothing, or can't tell what it did."""

    code: int
    message: str
