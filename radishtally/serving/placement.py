"""Choose the host and the stage of the next offer."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from radishtally.links.messages import CALL, PREFILL, WHOLE
from radishtally.routing.core import POLICIES, RoutingPolicy, WorkSpec, needs_split
from radishtally.serving.hosts import KnownHost
from radishtally.serving.requests import OpenRequest


class Placed(NamedTuple):
    """Say where a request is offered, and for which stage."""

    stage: str
    host: str
    why: str = ""
    """What decided it, for the log."""


class Declined(NamedTuple):
    """Say that no host should be offered the request now."""

    retry_after: float | None
    """Seconds until it is worth asking again, if that is known."""
    why: str = ""
    """What decided it, for the log."""


class Placement(Protocol):
    """Choose hosts, and follow what was offered to them."""

    def place(
        self, request: OpenRequest, hosts: Sequence[KnownHost], place: str, now: float
    ) -> Placed | Declined:
        """Choose among usable hosts, for an entry in a place."""

    def find_role(self, host: str) -> str:
        """Find a host's role: only hosts of the same one can replace it."""

    def count_open(self, host: KnownHost) -> int:
        """Count the answers that would be lost with a host."""

    def begin(self, request: OpenRequest, host: KnownHost, now: float) -> None:
        """Note that the request was offered to a host."""

    def record_progress(
        self, request: OpenRequest, host: KnownHost, now: float
    ) -> None:
        """Note that a part of an answer has come from a host."""

    def finish(self, request: OpenRequest, host: KnownHost) -> None:
        """Note that the request's answer is whole."""

    def end(self, request: OpenRequest, host: KnownHost) -> None:
        """Note that the request's present attempt at a host is over."""


class RankedPlacement:
    """Choose by what agents report of their hosts."""

    def __init__(self, choice: RoutingPolicy = POLICIES["rendezvous"]) -> None:
        self.choice = choice

    def place(
        self, request: OpenRequest, hosts: Sequence[KnownHost], place: str, now: float
    ) -> Placed | Declined:
        """Choose among usable hosts, for an entry in a place."""
        wanted = _describe(request, place, now)
        stage = request.next_stage
        candidates = [host.describe(now) for host in hosts]
        if stage == WHOLE and request.work.kind != CALL and not request.received:
            stage = PREFILL if needs_split(candidates, wanted) else WHOLE
        wanted = wanted._replace(stage=stage)
        host = self.choice(wanted, candidates, request.tried)
        return Declined(None) if host is None else Placed(stage, host)

    def find_role(self, host: str) -> str:
        """Give one role to all hosts of an upstream: agents have the last word."""
        return ""

    def count_open(self, host: KnownHost) -> int:
        """Count the answers that would be lost with a host."""
        return host.in_flight

    def begin(self, request: OpenRequest, host: KnownHost, now: float) -> None:
        """Note that the request was offered to a host."""

    def record_progress(
        self, request: OpenRequest, host: KnownHost, now: float
    ) -> None:
        """Note that a part of an answer has come from a host."""

    def finish(self, request: OpenRequest, host: KnownHost) -> None:
        """Note that the request's answer is whole."""

    def end(self, request: OpenRequest, host: KnownHost) -> None:
        """Note that the request's present attempt at a host is over."""


def _describe(request: OpenRequest, place: str, now: float) -> WorkSpec:
    work = request.work
    return WorkSpec(
        request.next_stage,
        work.prefix,
        work.model,
        work.adapter,
        work.prompt_tokens,
        work.max_tokens,
        request.deadline - now,
        place,
    )
