"""Decide what the caller is told when its request ends."""

from collections.abc import Iterator

from radishtally.links.messages import Finished
from radishtally.outcome import Refusal
from radishtally.serving.events import AbortAnswer, Command, End, Finish, Refuse
from radishtally.serving.requests import OpenRequest


def conclude(request: OpenRequest, end: Finished, body: bytes) -> Iterator[Command]:
    """Give the caller the end of its answer, which is whole."""
    if request.answered:
        return
    if request.has_part:
        yield End(request.work.request, end)
    else:
        yield Finish(request.work.request, end, body)


def give_up(request: OpenRequest, refusal: Refusal) -> Iterator[Command]:
    """Tell the caller that its request is given up."""
    if request.answered:
        return
    name = request.work.request
    if request.has_part:
        # What another attempt has ended with is no end of this answer.
        yield AbortAnswer(name, refusal)
        return
    # What an upstream itself said of its failure tells the caller more than that no
    # other one could be asked.
    yield request.failure or Refuse(name, refusal)
