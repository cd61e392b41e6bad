"""Tests of what follows from a host's word on one attempt."""

import random

from radishtally.entry.attempts import receive
from radishtally.entry.hosts import KnownHost
from radishtally.entry.placement import RankedPlacement
from radishtally.entry.requests import OpenRequest
from radishtally.entry.state import EntryCore
from radishtally.links.messages import STREAM, Chunk, Work


class NotedPlacement(RankedPlacement):
    """Remember at which hosts answers have begun."""

    def __init__(self) -> None:
        super().__init__()
        self.noted: list[str] = []

    def note_answer(self, request: OpenRequest, host: KnownHost, now: float) -> None:
        self.noted.append(host.host)


# Prompts stay away from an engine that has room: the answer it goes on with began at
# another one, which broke off, and its own prompt counts as unread until the end.
def test_first_part_after_a_move_tells_that_the_prompt_is_read() -> None:
    placement = NotedPlacement()
    core = EntryCore("g", "howrah", random.Random(1), placement)
    request = OpenRequest(Work("r", "", "llm", STREAM, b""), 10.0, True, 0.0)
    core.requests["r"] = request
    for attempt, host in enumerate(("d-1", "d-2"), start=1):
        core.set_host(host, "howrah", "llm", live=True)
        request.host, request.attempt = host, attempt
        chunk = Chunk("r", attempt, len(request.received), b"a part", attempt)
        list(receive(chunk, host, core, 0.0))
    assert placement.noted == ["d-1", "d-2"]
