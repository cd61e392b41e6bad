"""Contain unexpected errors to what they belong to: a request, host, row, link or task.

Errors are reported to the exception handler of the event loop. The runtime logs and
counts them, and ends the process only after a broken invariant.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any


class BrokenInvariant(Exception):
    """Error: this process may no longer be the only one that acts, so it must end."""


def report_error(error: BaseException, scope: str, **names: Any) -> None:
    """Report an unexpected error of one part; names say which one it was."""
    context = {
        "message": f"unexpected error in one {scope}",
        "exception": error,
        "scope": scope,
        "names": names,
    }
    asyncio.get_running_loop().call_exception_handler(context)


@contextmanager
def contain(scope: str, **names: Any) -> Iterator[None]:
    """Report an exception instead of raising it."""
    try:
        yield
    except Exception as error:
        report_error(error, scope, **names)


def contain_call(scope: str, callback: Callable[..., Any]) -> Callable[..., Any]:
    """Wrap a callback so that an exception in it is reported and not raised."""

    def call(*args: Any) -> Any:
        with contain(scope):
            return callback(*args)
        return None

    return call
