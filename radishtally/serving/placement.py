"""Choose the host and the stage of the next offer."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from radishtally.links.messages import CALL, PREFILL, WHOLE
from radishtally.routing.core import POLICIES, RoutingPolicy, WorkSpec, needs_split
from radishtally.serving.hosts import KnownHost
from radishtally.serving.requests import OpenRequest


class Placed(NamedTuple):
    """Describe a placement: the host to offer to, and for which stage."""

    stage: str
    host: str
    why: str = ""
    """Reason for the decision, for the log."""


class Declined(NamedTuple):
    """Report that no host should be offered the request now."""

    retry_after: float | None
    """Seconds after which a retry is worthwhile, if known."""
    why: str = ""
    """Reason for the decision, for the log."""


class Placement(Protocol):
    """Choose hosts and track the work offered to them."""

    def place(
        self,
        request: OpenRequest,
        hosts: Sequence[KnownHost],
        data_centre: str,
        now: float,
    ) -> Placed | Declined:
        """Choose among usable hosts, for a dispatcher in this data centre."""

    def find_role(self, host: str) -> str:
        """Return a host's role; only hosts of the same role can replace it."""

    def count_open(self, host: KnownHost) -> int:
        """Return the number of answers that would be lost with a host."""

    def begin(self, request: OpenRequest, host: KnownHost, now: float) -> None:
        """Record that the request was offered to a host."""

    def record_progress(
        self, request: OpenRequest, host: KnownHost, now: float
    ) -> None:
        """Record that a part of the answer has arrived from a host."""

    def record_completion(self, request: OpenRequest, host: KnownHost) -> None:
        """Record that the request's answer is complete."""

    def end_attempt(self, request: OpenRequest, host: KnownHost) -> None:
        """Record that the request's current attempt at a host is over."""


class RankedPlacement:
    """Choose by the load that agents report."""

    def __init__(self, policy: RoutingPolicy = POLICIES["rendezvous"]) -> None:
        self.policy = policy

    def place(
        self,
        request: OpenRequest,
        hosts: Sequence[KnownHost],
        data_centre: str,
        now: float,
    ) -> Placed | Declined:
        """Choose among usable hosts, for a dispatcher in this data centre."""
        spec = _to_work_spec(request, data_centre, now)
        stage = request.next_stage
        candidates = [host.to_candidate(now) for host in hosts]
        if stage == WHOLE and request.work.kind != CALL and not request.received:
            stage = PREFILL if needs_split(candidates, spec) else WHOLE
        spec = spec._replace(stage=stage)
        host = self.policy(spec, candidates, request.tried)
        return Declined(None) if host is None else Placed(stage, host)

    def find_role(self, host: str) -> str:
        """Return one role for all hosts; agents refuse work that they can't run."""
        return ""

    def count_open(self, host: KnownHost) -> int:
        """Return the number of answers that would be lost with a host."""
        return host.in_flight

    def begin(self, request: OpenRequest, host: KnownHost, now: float) -> None:
        """Do nothing: KnownHost counts the work in flight."""

    def record_progress(
        self, request: OpenRequest, host: KnownHost, now: float
    ) -> None:
        """Do nothing: progress does not affect the ranking."""

    def record_completion(self, request: OpenRequest, host: KnownHost) -> None:
        """Do nothing: a complete answer does not affect the ranking."""

    def end_attempt(self, request: OpenRequest, host: KnownHost) -> None:
        """Do nothing: KnownHost counts the work in flight."""


def _to_work_spec(request: OpenRequest, data_centre: str, now: float) -> WorkSpec:
    work = request.work
    return WorkSpec(
        request.next_stage,
        work.prefix,
        work.model,
        work.adapter,
        work.prompt_tokens,
        work.max_tokens,
        request.deadline - now,
        data_centre,
    )
