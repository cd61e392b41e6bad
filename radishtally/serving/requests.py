"""Follow one caller's request over its attempts."""

from dataclasses import dataclass, field
from typing import Final

import xxhash

from radishtally.links.messages import CALL, WHOLE, Begun, KvRef, Offer, Work
from radishtally.serving.events import Finish
from radishtally.serving.terms import DEFAULT_TERMS, Terms

CLAIMING: Final = "claiming"
OFFERED: Final = "offered"
ACCEPTED: Final = "accepted"
WITHDRAWING: Final = "withdrawing"
"""An offer went unanswered; the word that it did not start is awaited."""
CUT: Final = "cut"
"""The link to the agent is gone; it may come back."""
WAITING: Final = "waiting"
"""No host takes the request now; it is offered again after a while."""


@dataclass(slots=True)
class OpenRequest:
    """Hold what is known of a request that has no final answer yet."""

    work: Work
    deadline: float
    streamed: bool
    arrived: float
    terms: Terms = DEFAULT_TERMS
    phase: str = CLAIMING
    attempt: int = 0
    offers: int = 0
    """Offers in a row that led to nothing."""
    lost: int = 0
    """Attempts that failed after they may have begun."""
    rounds: int = 0
    """Times that the request has waited for a host."""
    host: str | None = None
    incarnation: str = ""
    """Process that the present attempt was offered to."""
    offered_at: float = 0.0
    accepted_at: float | None = None
    """Time at which the present attempt's host began to answer."""
    ends_known: int = 0
    """Hosts that were known to have ended under it at the present attempt's offer."""
    stage: str = WHOLE
    next_stage: str = WHOLE
    kv: KvRef | None = None
    kv_lost: bool = False
    """Whether an engine could not fetch the KV cache that another one had made."""
    waits_until: float = float("inf")
    """Time at which the present phase is given up."""
    scheduled: float = float("inf")
    """Earliest time at which the core will look at the request."""
    hold_until: float = float("-inf")
    """Time until which it waits for a host rather than be refused."""
    owes_retry: bool = False
    """Whether the next offer is to be paid from the retry budget."""
    tried: set[str] = field(default_factory=set)
    retry_after: float | None = None
    """Least time that a refusing agent named."""
    maybe_ran: bool = False
    """Whether some attempt may have run."""
    received: bytearray = field(default_factory=bytearray)
    tokens: int = 0
    asked_again_at: int = -1
    head: Begun | None = None
    """Head of the present attempt's answer, if that is passed on as it comes."""
    has_part: bool = False
    """Whether the caller has been given a part of an answer."""
    failure: Finish | None = None
    """Last answer in which an upstream said that it failed."""
    answered: bool = False
    """The caller has its final answer or is gone; only the outcome is awaited."""

    @property
    def wake(self) -> float:
        """Give the time at which the request wants to be looked at."""
        return min(self.waits_until, self.deadline)

    @property
    def is_claimed(self) -> bool:
        """Tell whether the key is claimed before the work runs."""
        return bool(self.work.key) and not self.work.idempotent

    @property
    def is_begun(self) -> bool:
        """Tell whether a part of an answer is there that can be gone on from."""
        return bool(self.received) and self.work.kind != CALL

    def give_up_kv(self) -> None:
        """Go on without a KV cache: it is gone, or could not be fetched in time."""
        self.kv = None
        self.kv_lost = True
        self.next_stage = WHOLE
        self.tried.clear()

    def append(self, offset: int, data: bytes, tokens: int) -> bytes | None:
        """Add a chunk; give what of it is new, or nothing if a part is missing.

        Late, doubled and reordered chunks are told by their offset alone.
        """
        if offset > len(self.received):
            return None
        new = data[len(self.received) - offset :]
        if new:
            self.received += new
            self.tokens = max(self.tokens, tokens)
        return new

    def drop_received(self) -> None:
        """Forget the part of an answer that can't be gone on from."""
        self.received.clear()
        self.tokens = 0
        self.asked_again_at = -1

    def checksum(self) -> int:
        """Give the xxh64 of the whole answer."""
        return xxhash.xxh64_intdigest(bytes(self.received))

    def make_offer(self, budget: float) -> Offer:
        """Give the message that offers what is left to do."""
        done = bytes(self.received)
        return Offer(
            self.work, self.attempt, budget, self.stage, done, self.tokens, self.kv
        )
