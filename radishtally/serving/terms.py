"""Say on what terms a request is served, beside what its work is."""

from typing import Final, NamedTuple

from radishtally.serving.const import MAX_LOST_ATTEMPTS


class PromptPart(NamedTuple):
    """Name a part of a prompt that other requests may share."""

    name: str
    tokens: int


class Terms(NamedTuple):
    """Hold what a request's route asks for, and what its caller tells of it."""

    max_attempts: int = MAX_LOST_ATTEMPTS
    """Attempts that may run."""
    objective: float = float("inf")
    """Time to the first part of an answer that is on time, seconds."""
    priority: int = 0
    """Lower goes first."""
    output_tokens: int = 0
    """Tokens that the answer is expected to have."""
    parts: tuple[PromptPart, ...] = ()
    """The prompt's parts in their order; the last one is the request's own."""
    resumed_after: int = 0
    """Event of an earlier answer behind which this one is to begin; 0 for none."""
    content: str = ""
    """Digest of what is asked, equal in all repeats; empty where none is taken."""

    @property
    def shared_tokens(self) -> int:
        """Give the tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])


DEFAULT_TERMS: Final = Terms()
