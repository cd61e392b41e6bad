"""Work that waits for an upstream."""

from typing import NamedTuple


class Job(NamedTuple):
    """Describe one attempt of a request."""

    request: str
    attempt: int
    team: str
    priority: int
    """Lower goes first."""
    share: float
    """Weight of the team's fair share; above 0."""
    prompt_tokens: int
    output_tokens: int
    """Estimate."""
    deadline: float
    arrived: float
