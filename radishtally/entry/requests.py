"""Follow one caller's request over its attempts."""

from dataclasses import dataclass, field
from typing import Final

import xxhash

from radishtally.links.messages import WHOLE, KvRef, Offer, Work

CLAIMING: Final = "claiming"
OFFERED: Final = "offered"
ACCEPTED: Final = "accepted"
WITHDRAWING: Final = "withdrawing"
"""An offer went unanswered; the word that it did not start is awaited."""
CUT: Final = "cut"
"""The link to the agent is gone; it may come back."""


@dataclass(slots=True)
class OpenRequest:
    """Hold what is known of a request that has no final answer yet."""

    work: Work
    deadline: float
    streamed: bool
    arrived: float
    phase: str = CLAIMING
    attempt: int = 0
    offers: int = 0
    host: str | None = None
    incarnation: str = ""
    stage: str = WHOLE
    next_stage: str = WHOLE
    kv: KvRef | None = None
    waits_until: float = float("inf")
    """Time at which the present phase is given up."""
    tried: set[str] = field(default_factory=set)
    retry_after: float | None = None
    """Least time that a refusing agent named."""
    maybe_ran: bool = False
    """Whether some attempt may have run."""
    received: bytearray = field(default_factory=bytearray)
    tokens: int = 0
    acked: int = 0
    asked_again_at: int = -1
    first_token: float | None = None
    answered: bool = False
    """The caller has its final answer or is gone; only the outcome is awaited."""

    @property
    def wake(self) -> float:
        """Give the time at which the request wants to be looked at."""
        return min(self.waits_until, self.deadline)

    def append(self, offset: int, data: bytes, tokens: int) -> bytes | None:
        """Add a chunk; give what of it is new, or nothing if a part is missing.

        Late, doubled and reordered chunks are told by their offset alone.
        """
        if offset > len(self.received):
            return None
        new = data[len(self.received) - offset :]
        if new:
            self.received += new
            self.tokens += tokens
        return new

    def checksum(self) -> int:
        """Give the xxh64 of the whole answer."""
        return xxhash.xxh64_intdigest(bytes(self.received))

    def make_offer(self, budget: float) -> Offer:
        """Give the message that offers what is left to do."""
        done = bytes(self.received)
        return Offer(
            self.work, self.attempt, budget, self.stage, done, self.tokens, self.kv
        )
