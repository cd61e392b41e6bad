"""Tests of the handling of a host's messages about an attempt."""

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


class RecordingPlacement(RankedPlacement):
    """Record the hosts at which answers have made progress."""

    def __init__(self) -> None:
        super().__init__()
        self.progressed_hosts: list[str] = []

    def record_progress(
        self, request: OpenRequest, host: KnownHost, now: float
    ) -> None:
        self.progressed_hosts.append(host.host)


# Guards against an engine with free capacity that gets no prompts: it continues an
# answer that another engine began, and its prompt counts as unread until the end.
def test_first_part_after_a_move_records_progress_at_the_new_host() -> None:
    placement = RecordingPlacement()
    core = DispatchCore("g", "howrah", random.Random(1), placement)
    request = OpenRequest(Work("r", "", "llm", STREAM, b""), 10.0, True, 0.0)
    core.requests["r"] = request
    for attempt, host in enumerate(("d-1", "d-2"), start=1):
        core.set_host(host, "howrah", "llm", live=True)
        request.host, request.attempt = host, attempt
        chunk = Chunk("r", attempt, len(request.received), b"a part", attempt)
        list(receive(chunk, host, core, 0.0))
    assert placement.progressed_hosts == ["d-1", "d-2"]


# Guards against answers that stall while a crashed engine stays listed. The first
# requests show that it is unreachable. One failure alone may be a lost packet, and any
# message of the engine shows that it is reachable.
def test_host_is_out_of_reach_after_two_failed_attempts() -> None:
    core = DispatchCore("g", "howrah", random.Random(1))
    core.set_host("d-1", "howrah", "llm", live=True)

    def receive_message(name: str, message: type, *more: object) -> None:
        work = Work(name, "", "llm", STREAM, b"")
        request = OpenRequest(work, 10.0, True, 0.0)
        request.host, request.attempt, request.phase = "d-1", 1, OFFERED
        core.requests[name] = request
        list(receive(message(name, 1, *more), "d-1", core, 0.0))

    lost = Lost, Ran.NO, UNREACHED, 0
    receive_message("a", *lost)
    assert not core.is_out_of_reach("d-1")
    receive_message("b", *lost)
    assert core.is_out_of_reach("d-1")
    receive_message("c", Refused, "status 503", 0.0)
    assert not core.is_out_of_reach("d-1")
    receive_message("d", *lost)
    receive_message("e", Accepted, 0.0)
    receive_message("f", *lost)
    assert not core.is_out_of_reach("d-1")
    receive_message("g", *lost)
    core.restart_host("d-1")
    assert not core.is_out_of_reach("d-1")
