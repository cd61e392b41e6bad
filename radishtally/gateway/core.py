"""Interfaces between the gateway and the adapter for a platform's own protocol."""

from typing import NamedTuple, Protocol

from radishtally.exchange import Headers
from radishtally.outcome import Refusal, Result
from radishtally.serving.terms import PromptPart


class CallerRequest(NamedTuple):
    """Hold a request as parsed from a caller's request head."""

    request: str
    """Id of this attempt, assigned by the caller."""
    authority: str
    path: str
    """Path without the query."""
    timeout: float | None
    """Seconds that the caller waits, or None if not specified."""
    model: str
    prompt_tokens: int
    max_tokens: int
    output_tokens: int
    """Length of the answer in tokens that the caller expects; 0 if not specified."""
    parts: tuple[PromptPart, ...]
    resumed_after: int
    """Number of the last event that the caller has received of an earlier answer; the
    answer resumes after it. 0 to start from the beginning."""
    resumed_stream: str
    """Id of the request that brought the first event of the resumed stream; empty if
    none is resumed."""
    headers: Headers
    """Headers to forward to the upstream, without the caller's credentials."""
    credentials: tuple[str, ...] = ()
    """Values of the Authorization headers, decoded byte by byte; never logged."""
    expected_host: str = ""
    """Host that the request is meant for, as gateways name it; empty if none."""


class CallerDialect(Protocol):
    """Parse the request heads that callers send."""

    ready_path: str
    """Path of the balancer's readiness check."""

    def read_request(
        self, target: str, headers: Headers
    ) -> Result[CallerRequest, Refusal]:
        """Parse the head of a request; the target is path and query as sent."""

    def read_name(self, headers: Headers) -> str:
        """Return a request's id for the log, or an empty string if it has none."""
