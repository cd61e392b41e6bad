"""Turn errors into HTTP responses for operators."""

from functools import singledispatch
from typing import Any

from sanic.response import HTTPResponse

from radishtally.configuration.head import EditConflict
from radishtally.entry.http import respond_json
from radishtally.outcome import Fault
from radishtally.store.core import Conflict, Invalid, Unavailable, Unclear


def respond_error(status: int, message: str, **more: Any) -> HTTPResponse:
    """Return an error response in JSON."""
    return respond_json({"error": {"message": message, **more}}, status)


@singledispatch
def respond_fault(error: object) -> HTTPResponse:
    """Return the error response for a fault, by its type."""
    return respond_error(500, str(error))


@respond_fault.register
def _(error: Fault) -> HTTPResponse:
    return respond_error(422, str(error), kind="refused")


@respond_fault.register
def _(error: EditConflict) -> HTTPResponse:
    return respond_error(
        409, str(error), kind="raced", file=error.name, by=error.author
    )


@respond_fault.register
def _(error: Unavailable) -> HTTPResponse:
    text = f"the platform's store is away, nothing was changed: {error.message}"
    return respond_error(503, text, kind="unavailable")


@respond_fault.register
def _(error: Unclear) -> HTTPResponse:
    text = f"the change may have been made, look at the history: {error.message}"
    return respond_error(504, text, kind="unclear")


@respond_fault.register
def _(error: Invalid) -> HTTPResponse:
    return respond_error(500, error.message, kind="invalid")


@respond_fault.register
def _(error: Conflict) -> HTTPResponse:
    return respond_error(409, "somebody else changed it just now", kind="raced")
