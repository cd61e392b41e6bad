"""Read the command line of `radishtally` and run what it asks for."""

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

NAME: Final = "radishtally"
HELP: Final = ("--help", "-h", "help")
SWITCHES: Final = ("--json", "--remove")
"""Flags without a value; the library would take the next word for theirs."""
PARSER_GROUP: Final = """
GROUPS
    GROUP is one of the following:

     FIRE_METADATA
"""
"""Attribute that the library leaves on functions and lists as if it were ours."""


class Help(NamedTuple):
    """Hold a help page that was asked for."""

    text: str


def read_line(words: Sequence[str]) -> Result[Command, Failure | Help]:
    """Find the command that a line asks for, or the help that it wants."""
    words = [f"{word}=True" if word in SWITCHES else word for word in words]
    bare = not words or words[0] in HELP
    # On the class the library would show only the flags, not the commands.
    component = Tool() if bare else Tool
    words = ["--help"] if bare else words
    said = io.StringIO()
    try:
        with contextlib.redirect_stderr(said):
            found = fire.Fire(
                component, command=words, name=NAME, serialize=lambda _: None
            )
    except FireExit as end:
        if end.code == 0:
            return Error(Help(tidy_help(said.getvalue())))
        text = end.trace.elements[-1].ErrorAsStr().rstrip(":. ")
        return Error(Failure(const.EXIT_USAGE, f"{text}; see {NAME} --help"))
    if not isinstance(found, Command):
        text = f"expected a command; see {NAME} {' '.join(words)} --help"
        return Error(Failure(const.EXIT_USAGE, text))
    return Ok(found)


def tidy_help(text: str) -> str:
    """Take out of a help page what only the library's authors need."""
    page = text.partition("\n\n")[2]
    if PARSER_GROUP in page:
        page = page.replace(PARSER_GROUP, "").replace("GROUP | ", "", 1)
    page = re.sub(r"Optional\[(\w+) \| None\]", r"\1", page)
    return page.replace("        Default: None\n", "").rstrip()


def run_command(command: Command) -> int:
    """Run a command and print what it gives."""
    fault = check_switch("--json", command.as_json)
    if fault is not None:
        return complain(Failure(const.EXIT_USAGE, fault))
    result = command.run()
    if result.is_error():
        return complain(result.error)
    answer = result.ok
    if command.as_json:
        print(json.dumps(answer.value, indent=2))
    else:
        print("\n".join(answer.lines))
    for warning in answer.warnings:
        print(f"{NAME}: {warning}", file=sys.stderr)
    return answer.code


def complain(failure: Failure) -> int:
    """Say on standard error what went wrong."""
    print(f"{NAME}: {failure.message}", file=sys.stderr)
    return failure.code


def run_words(words: Sequence[str]) -> int:
    """Carry out a command line and give the exit code."""
    read = read_line(words)
    if read.is_ok():
        return run_command(read.ok)
    if isinstance(read.error, Failure):
        return complain(read.error)
    print(read.error.text)
    return const.EXIT_FINE


def main() -> NoReturn:
    """Run as a program."""
    # Help goes to standard output as it is, without a pager.
    os.environ["PAGER"] = "-"
    try:
        code = run_words(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        # Whoever read the output has closed it, as `head` does.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = const.EXIT_FAILED
    except KeyboardInterrupt:
        code = complain(Failure(const.EXIT_FAILED, "interrupted"))
    sys.exit(code)


if __name__ == "__main__":
    main()
