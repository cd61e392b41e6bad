"""Choose the final reply to a caller."""

from collections.abc import Iterator

from radishtally.links.messages import Finished
from radishtally.outcome import Refusal
from radishtally.serving.events import (
    AbortAnswer,
    Command,
    EndStream,
    Refuse,
    SendFullAnswer,
)
from radishtally.serving.requests import OpenRequest


def reply_with_answer(
    request: OpenRequest, end: Finished, body: bytes
) -> Iterator[Command]:
    """Reply with a complete answer."""
    if request.answered:
        return
    if request.has_part:
        yield EndStream(request.work.request, end)
    else:
        yield SendFullAnswer(request.work.request, end, body)


def reply_with_refusal(request: OpenRequest, refusal: Refusal) -> Iterator[Command]:
    """Reply that the request has failed or was refused."""
    if request.answered:
        return
    name = request.work.request
    if request.has_part:
        # A failure answer from another attempt cannot complete this partial answer.
        yield AbortAnswer(name, refusal)
        return
    # An upstream's own failure answer is more useful to the caller than a refusal that
    # says no other host was available.
    yield request.failure or Refuse(name, refusal)
