"""Checks whether an answer belongs to its request and is complete."""

from collections.abc import Collection
from enum import StrEnum
from typing import Final

import aiohttp

from radishtally.connector import AnswerSyntaxError, ConnectionUsage
from radishtally.exchange import BodyTooLargeError


class AnswerMismatch(StrEnum):
    """Reasons why an answer may belong to another request."""

    FOREIGN = "it names another request"
    UNNAMED = "it names no request"
    SEVERAL = "it names several requests"
    UNASKED = "it came while no request was out"


class UnframedEnd(StrEnum):
    """Verdicts on an answer without framing, which ended with its connection."""

    WHOLE = "whole"
    PART = "part"
    UNKNOWN = "unknown"


class IncompleteReason(StrEnum):
    """Reasons why an answer may be incomplete although no connection error occurred."""

    CUT_EVENT = "closed within an event"
    NO_EVENT = "closed before the first event"
    OTHER_EVENT = "it goes on at another event than asked for"
    HOST_ENDED = "closed by a host that has ended"
    UNCONFIRMED = "closed by a host that gave no sign of life afterwards"
    OTHER_START = "it goes on at a host that has started again"
    UNCONFIRMED_START = "it goes on at a host that may have started again"


PROBED_REASONS: Final = (
    IncompleteReason.HOST_ENDED,
    IncompleteReason.UNCONFIRMED,
    IncompleteReason.OTHER_START,
    IncompleteReason.UNCONFIRMED_START,
)


class AnswerFault(StrEnum):
    """Reasons why an answer can't be used, however it goes on."""

    EVENT_ID = "an event's id is out of range"
    EVENT_BYTES = "an event is too large"


class InvalidAnswerError(aiohttp.ClientPayloadError):
    """Raised when an answer can't be used."""

    def __init__(self, fault: AnswerFault) -> None:
        super().__init__(f"invalid answer: {fault}")
        self.fault = fault


class IncompleteAnswerError(aiohttp.ClientPayloadError):
    """Raised when an answer may be incomplete."""

    def __init__(self, reason: IncompleteReason) -> None:
        super().__init__(f"the answer may be incomplete: {reason}")
        self.reason = reason

    @property
    def was_probed(self) -> bool:
        """Return whether the host has been probed to find the reason."""
        return self.reason in PROBED_REASONS


class MismatchedAnswerError(aiohttp.ClientPayloadError):
    """Raised when an answer may belong to another request."""

    def __init__(self, mismatch: AnswerMismatch) -> None:
        super().__init__(f"not the request's answer: {mismatch}")


DESCRIBED_ERRORS: Final = (
    AnswerSyntaxError,
    BodyTooLargeError,
    IncompleteAnswerError,
    InvalidAnswerError,
    MismatchedAnswerError,
)


def find_mismatch(
    names: Collection[str], request: str, usage: ConnectionUsage
) -> AnswerMismatch | None:
    """Return why an answer may belong to another request, by the request ids in it."""
    if len(names) > 1:
        return AnswerMismatch.SEVERAL
    if names and request not in names:
        return AnswerMismatch.FOREIGN
    # The first answer on a connection cannot belong to an earlier request.
    return AnswerMismatch.UNNAMED if usage.carried and not names else None


def describe_error(error: BaseException) -> str:
    """Describe how an exchange failed, for logs."""
    # The library's error texts may contain parts of answers, so only the type is shown.
    if isinstance(error, DESCRIBED_ERRORS):
        return str(error)
    return type(error).__name__
