"""Terms on which a request is served, in addition to the work itself."""

from typing import Final, NamedTuple

from radishtally.serving.const import MAX_LOST_ATTEMPTS

MAX_LOGGED_PARTS: Final = 8
"""Prompt parts of a request that its log line names."""


class PromptPart(NamedTuple):
    """Describe a part of a prompt that other requests may have in common."""

    name: str
    tokens: int


class Terms(NamedTuple):
    """Hold the route's settings for a request and the caller's hints about it."""

    max_attempts: int = MAX_LOST_ATTEMPTS
    """Attempts that may run before the request fails."""
    objective: float = float("inf")
    """Target time to the first part of the answer, in seconds."""
    priority: int = 0
    """Lower values are served first."""
    output_tokens: int = 0
    """Expected length of the answer."""
    parts: tuple[PromptPart, ...] = ()
    """Parts of the prompt in order; the last one is specific to this request."""
    resumed_after: int = 0
    """Id of the last event that the caller already has; 0 if it resumes no stream."""
    resumed_stream: str = ""
    """Id of the request that brought the first event of the stream that the caller
    resumes; empty if it resumes none."""
    upstreams: tuple[str, ...] = ()
    """Upstreams that the route allows; empty if only the work's own."""
    caller_seconds: float = 0.0
    """Seconds that the caller waits; 0 if it has not said."""
    content: str = ""
    """Digest of the request's content, equal in all repeats; empty if not computed."""
    route: str = ""
    """Authority and path prefix of the route; empty if sources aren't recorded."""

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])

    def describe_shared_parts(self) -> str:
        """Name the first parts that other requests may share, for logs."""
        return ",".join(part.name for part in self.parts[:-1][:MAX_LOGGED_PARTS])


DEFAULT_TERMS: Final = Terms()
