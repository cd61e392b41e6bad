"""Tests of what follows from a host's word on one attempt."""

import random

from radishtally.links.messages import (
    STREAM,
    UNREACHED,
    Accepted,
    Chunk,
    Lost,
    Refused,
    Work,
)
from radishtally.outcome import Ran
from radishtally.serving.attempts import receive
from radishtally.serving.hosts import KnownHost
from radishtally.serving.placement import RankedPlacement
from radishtally.serving.requests import OFFERED, OpenRequest
from radishtally.serving.state import DispatchCore


class NotedPlacement(RankedPlacement):
    """Remember at which hosts answers have begun."""

    def __init__(self) -> None:
        super().__init__()
        self.noted: list[str] = []

    def record_progress(
        self, request: OpenRequest, host: KnownHost, now: float
    ) -> None:
        self.noted.append(host.host)


# Prompts stay away from an engine that has room: the answer it goes on with began at
# another one, which broke off, and its own prompt counts as unread until the end.
def test_first_part_after_a_move_tells_that_the_prompt_is_read() -> None:
    placement = NotedPlacement()
    core = DispatchCore("g", "howrah", random.Random(1), placement)
    request = OpenRequest(Work("r", "", "llm", STREAM, b""), 10.0, True, 0.0)
    core.requests["r"] = request
    for attempt, host in enumerate(("d-1", "d-2"), start=1):
        core.set_host(host, "howrah", "llm", live=True)
        request.host, request.attempt = host, attempt
        chunk = Chunk("r", attempt, len(request.received), b"a part", attempt)
        list(receive(chunk, host, core, 0.0))
    assert placement.noted == ["d-1", "d-2"]


# All answers stop for as long as a crashed engine stays listed: that it is not reached
# is seen with the first requests. One of them alone may have met a lost packet, and any
# word of the engine's shows that it is there.
def test_host_that_is_tried_in_vain_twice_is_out_of_reach() -> None:
    core = DispatchCore("g", "howrah", random.Random(1))
    core.set_host("d-1", "howrah", "llm", live=True)

    def tell(name: str, message: type, *more: object) -> None:
        work = Work(name, "", "llm", STREAM, b"")
        request = OpenRequest(work, 10.0, True, 0.0)
        request.host, request.attempt, request.phase = "d-1", 1, OFFERED
        core.requests[name] = request
        list(receive(message(name, 1, *more), "d-1", core, 0.0))

    lost = Lost, Ran.NO, UNREACHED, 0
    tell("a", *lost)
    assert not core.is_out_of_reach("d-1")
    tell("b", *lost)
    assert core.is_out_of_reach("d-1")
    tell("c", Refused, "status 503", 0.0)
    assert not core.is_out_of_reach("d-1")
    tell("d", *lost)
    tell("e", Accepted, 0.0)
    tell("f", *lost)
    assert not core.is_out_of_reach("d-1")
    tell("g", *lost)
    core.restart_host("d-1")
    assert not core.is_out_of_reach("d-1")
