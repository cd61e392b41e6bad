"""Contracts between the gateway and what speaks a platform's own protocol."""

from typing import NamedTuple, Protocol

from radishtally.exchange import Headers
from radishtally.outcome import Refusal, Result
from radishtally.serving.terms import PromptPart


class CallerRequest(NamedTuple):
    """Hold what a caller's head says."""

    request: str
    """Name of this attempt of the caller's."""
    authority: str
    path: str
    """Path without the query."""
    timeout: float | None
    """Seconds that the caller waits; none if it does not say."""
    model: str
    prompt_tokens: int
    max_tokens: int
    output_tokens: int
    """Tokens that the caller expects of the answer; 0 if it does not say."""
    parts: tuple[PromptPart, ...]
    resumed_after: int
    """Event of an earlier answer behind which this one is to begin; 0 for none."""
    headers: Headers
    """To be passed on to an upstream."""


class CallerDialect(Protocol):
    """Translate between callers' heads and requests."""

    ready_path: str
    """Path at which the balancer asks whether requests may be sent here."""

    def read_request(
        self, target: str, headers: Headers
    ) -> Result[CallerRequest, Refusal]:
        """Read the head of a request; its target is path and query as sent."""

    def read_name(self, headers: Headers) -> str:
        """Read a request's name, for the log; empty if it has none."""
