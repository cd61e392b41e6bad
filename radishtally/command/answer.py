"""Result types of commands: an answer to print, or a failure."""

from typing import Any, NamedTuple

from radishtally.command.const import EXIT_OK


class Answer(NamedTuple):
    """Hold the output of a successful command."""

    value: Any
    """Printed as JSON with --json."""
    lines: tuple[str, ...]
    """Printed without --json."""
    warnings: tuple[str, ...] = ()
    """Printed on standard error in either case."""
    code: int = EXIT_OK


class Failure(NamedTuple):
    """Describe why a command failed or why its outcome is unknown."""

    code: int
    message: str
