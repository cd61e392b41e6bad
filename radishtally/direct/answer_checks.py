"""Tell whether an answer may belong to another request, or lack a part."""

from collections.abc import Collection
from enum import StrEnum

import aiohttp

from radishtally.connector import ConnectionUsage


class AnswerMismatch(StrEnum):
    """Say why an answer may not be the request's own."""

    FOREIGN = "it names another request"
    UNNAMED = "it names no request"
    SEVERAL = "it names several requests"
    UNASKED = "it came while no request was out"


class IncompleteReason(StrEnum):
    """Say why an answer may lack a part, though nothing broke it off."""

    CUT_EVENT = "closed within an event"
    NO_EVENT = "closed before the first event"
    OTHER_EVENT = "it goes on at another event than asked for"
    HOST_ENDED = "closed by a host that has ended"


class IncompleteAnswerError(aiohttp.ClientPayloadError):
    """Say why an answer is not taken for a whole one."""

    def __init__(self, flaw: IncompleteReason) -> None:
        super().__init__(f"the answer may not be whole: {flaw}")


class MismatchedAnswerError(aiohttp.ClientPayloadError):
    """Say why an answer is not taken for the request's own."""

    def __init__(self, doubt: AnswerMismatch) -> None:
        super().__init__(f"not the request's answer: {doubt}")


def find_mismatch(
    names: Collection[str], request: str, usage: ConnectionUsage
) -> AnswerMismatch | None:
    """Find why an answer may not be the request's own, by the names that it bears."""
    if len(names) > 1:
        return AnswerMismatch.SEVERAL
    if names and request not in names:
        return AnswerMismatch.FOREIGN
    # The first answer on a connection can belong to no earlier request.
    return AnswerMismatch.UNNAMED if usage.carried and not names else None


def describe(error: BaseException) -> str:
    """Say how an exchange failed, for logs."""
    # Texts of the library's errors hold parts of answers.
    if isinstance(error, MismatchedAnswerError | IncompleteAnswerError):
        return str(error)
    return type(error).__name__
