"""Jobs that are queued for an upstream."""

from typing import NamedTuple


class Job(NamedTuple):
    """Represent one attempt to run a request."""

    request: str
    attempt: int
    team: str
    priority: int
    """Lower values are served first."""
    share: float
    """Weight of the team in fair queueing; above 0."""
    prompt_tokens: int
    output_tokens: int
    """Estimated."""
    deadline: float
    arrived: float
