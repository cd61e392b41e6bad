"""Parse the command line of `radishtally` and run the command."""

import contextlib
import io
import json
import os
import re
import sys
from collections.abc import Sequence
from typing import Final, NamedTuple, NoReturn

import fire
from fire.core import FireExit

from radishtally.command import const
from radishtally.command.answer import Failure
from radishtally.command.checks import check_switch
from radishtally.command.commands import Command, Tool
from radishtally.outcome import Error, Ok, Result

PROGRAM_NAME: Final = "radishtally"
HELP_WORDS: Final = ("--help", "-h", "help")
SWITCHES: Final = ("--json", "--remove")
"""Flags without a value; Fire would take the next word as their value."""
FIRE_METADATA_GROUP: Final = """
GROUPS
    GROUP is one of the following:

     FIRE_METADATA
"""
"""Help section on an attribute that Fire adds to functions and lists as a group."""


class HelpPage(NamedTuple):
    """Hold a requested help page."""

    text: str


def parse_command_line(words: Sequence[str]) -> Result[Command, Failure | HelpPage]:
    """Parse a command line into its command, a usage error or a help page."""
    words = [f"{word}=True" if word in SWITCHES else word for word in words]
    wants_overview = not words or words[0] in HELP_WORDS
    # For the class Fire would list only the flags, for an instance also the commands.
    component = Tool() if wants_overview else Tool
    words = ["--help"] if wants_overview else words
    captured = io.StringIO()
    try:
        with contextlib.redirect_stderr(captured):
            found = fire.Fire(
                component, command=words, name=PROGRAM_NAME, serialize=lambda _: None
            )
    except FireExit as exit_request:
        if exit_request.code == 0:
            return Error(HelpPage(clean_help(captured.getvalue())))
        text = exit_request.trace.elements[-1].ErrorAsStr().rstrip(":. ")
        return Error(Failure(const.EXIT_USAGE, f"{text}; see {PROGRAM_NAME} --help"))
    if not isinstance(found, Command):
        text = f"expected a command; see {PROGRAM_NAME} {' '.join(words)} --help"
        return Error(Failure(const.EXIT_USAGE, text))
    return Ok(found)


def clean_help(text: str) -> str:
    """Remove Fire's title lines, metadata group and type details from a help page."""
    page = text.partition("\n\n")[2]
    if FIRE_METADATA_GROUP in page:
        page = page.replace(FIRE_METADATA_GROUP, "").replace("GROUP | ", "", 1)
    page = re.sub(r"Optional\[(\w+) \| None\]", r"\1", page)
    return page.replace("        Default: None\n", "").rstrip()


def run_command(command: Command) -> int:
    """Run a command and print its output; return the exit code."""
    usage_error = check_switch("--json", command.as_json)
    if usage_error is not None:
        return print_failure(Failure(const.EXIT_USAGE, usage_error))
    result = command.run()
    if result.is_error():
        return print_failure(result.error)
    answer = result.ok
    if command.as_json:
        print(json.dumps(answer.value, indent=2))
    else:
        print("\n".join(answer.lines))
    for warning in answer.warnings:
        print(f"{PROGRAM_NAME}: {warning}", file=sys.stderr)
    return answer.code


def print_failure(failure: Failure) -> int:
    """Print a failure to standard error; return its exit code."""
    print(f"{PROGRAM_NAME}: {failure.message}", file=sys.stderr)
    return failure.code


def run_command_line(words: Sequence[str]) -> int:
    """Parse and run a command line; return the exit code."""
    read = parse_command_line(words)
    if read.is_ok():
        return run_command(read.ok)
    if isinstance(read.error, Failure):
        return print_failure(read.error)
    print(read.error.text)
    return const.EXIT_OK


def main() -> NoReturn:
    """Run the program and exit."""
    # Print help directly to standard output, without a pager.
    os.environ["PAGER"] = "-"
    try:
        code = run_command_line(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output, such as `head`, has closed the pipe.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = const.EXIT_FAILED
    except KeyboardInterrupt:
        code = print_failure(Failure(const.EXIT_FAILED, "interrupted"))
    sys.exit(code)


if __name__ == "__main__":
    main()
