"""State of one caller's request across its attempts."""

from dataclasses import dataclass, field
from typing import Final

import xxhash

from radishtally.admission.split import WorkClass
from radishtally.links.messages import CALL, WHOLE, Begun, KvRef, Offer, Work
from radishtally.serving.events import SendFullAnswer
from radishtally.serving.prompt_suspects import PartKeys, hash_parts
from radishtally.serving.terms import DEFAULT_TERMS, Terms

CLAIMING: Final = "claiming"
LOCATING: Final = "locating"
"""Peers were asked where the stream began that the caller resumes."""
OFFERED: Final = "offered"
ACCEPTED: Final = "accepted"
WITHDRAWING: Final = "withdrawing"
"""An offer timed out; the agent is to confirm that the work did not start."""
DISCONNECTED: Final = "cut"
"""The link to the agent is down and may reconnect."""
WAITING: Final = "waiting"
"""No host accepts the request at present; it is offered again after a backoff."""


@dataclass(slots=True)
class OpenRequest:
    """Track a request until it has its final answer."""

    work: Work
    deadline: float
    streamed: bool
    arrived: float
    terms: Terms = DEFAULT_TERMS
    phase: str = CLAIMING
    attempt: int = 0
    offers: int = 0
    """Consecutive offers that were not accepted."""
    lost_attempts: int = 0
    """Attempts that failed after they may have started."""
    hold_rounds: int = 0
    """Times the request has been held for a host; sets the backoff."""
    host: str | None = None
    stream: bytes = b""
    """Key of the stream that the request begins or resumes; empty if not tracked."""
    offered_version: str = ""
    """Software version of the host, as known when the request was offered to it."""
    is_continuation: bool = False
    """Whether the current attempt continues a stream that another one has begun."""
    incarnation: str = ""
    """Incarnation of the process to which the current attempt was offered."""
    offered_at: float = 0.0
    accepted_at: float | None = None
    """Time at which the host accepted the current attempt, or began to answer it."""
    known_ends: int = 0
    """Number of hosts in a row that had terminated with this request open, as known
    when it was offered."""
    data_since: float | None = None
    """Time of the first data of the current attempt's answer."""
    hashed_parts: tuple[str, PartKeys] | None = None
    """Upstream for which the keys of the prompt's parts were computed, and these."""
    trial_wait_until: float | None = None
    """Time until which the request waits for the run of another one with which it has
    suspected parts in common."""
    stage: str = WHOLE
    next_stage: str = WHOLE
    kv: KvRef | None = None
    kv_lost: bool = False
    """Whether an engine could not fetch the KV cache that another engine computed."""
    phase_ends_at: float = float("inf")
    """Time at which the current phase times out."""
    scheduled_at: float = float("inf")
    """Earliest time at which the core will check the request."""
    hold_until: float = float("-inf")
    """Time until which the request is held for a host instead of refused."""
    permit_wait_until: float | None = None
    """Time until which the request waits for a host that is at its limit."""
    work_class: WorkClass | None = None
    """Class under which it counts in the demand for places; None if it doesn't."""
    queued_at: float = 0.0
    """Time at which it began to wait for a place."""
    has_place: bool = False
    """Whether it was taken from the queue for places and is to be offered."""
    holds_place: bool = False
    """Whether its current attempt counts among the open calls."""
    owes_retry: bool = False
    """Whether the next offer is charged to the retry budget."""
    tried: set[str] = field(default_factory=set)
    retry_after: float | None = None
    """Shortest retry delay named by a refusing agent."""
    maybe_ran: bool = False
    """Whether any attempt may have run."""
    received: bytearray = field(default_factory=bytearray)
    tokens: int = 0
    resend_offset: int = -1
    head: Begun | None = None
    """Head of the current attempt's answer, if the answer is streamed."""
    has_part: bool = False
    """Whether the caller has received a part of the answer."""
    failure: SendFullAnswer | None = None
    """Most recent answer in which an upstream reported a failure."""
    answered: bool = False
    """Whether the caller has its final answer or has disconnected; only the outcome is
    still pending."""

    @property
    def part_keys(self) -> PartKeys:
        """Keys of the prompt parts that other requests may have in common with it."""
        upstream = self.work.upstream
        if self.hashed_parts is None or self.hashed_parts[0] != upstream:
            self.hashed_parts = upstream, hash_parts(upstream, self.terms.parts)
        return self.hashed_parts[1]

    @property
    def wake_at(self) -> float:
        """Time at which the request must be checked next."""
        return min(self.phase_ends_at, self.deadline)

    @property
    def is_claimed(self) -> bool:
        """Whether the idempotency key must be claimed before the work runs."""
        return bool(self.work.key) and not self.work.idempotent

    @property
    def has_resumable_part(self) -> bool:
        """Whether a part of the answer has been received that can be resumed."""
        return bool(self.received) and self.work.kind != CALL

    def discard_kv(self) -> None:
        """Continue without the KV cache: it is gone or could not be fetched in time."""
        self.kv = None
        self.kv_lost = True
        self.next_stage = WHOLE
        self.tried.clear()

    def append(self, offset: int, data: bytes, tokens: int) -> bytes | None:
        """Append a chunk and return its new bytes, or None if there is a gap before it.

        The offset alone identifies late, duplicate and reordered chunks.
        """
        if offset > len(self.received):
            return None
        new = data[len(self.received) - offset :]
        if new:
            self.received += new
            self.tokens = max(self.tokens, tokens)
        return new

    def discard_received(self) -> None:
        """Discard a partial answer that cannot be resumed."""
        self.received.clear()
        self.tokens = 0
        self.resend_offset = -1

    def checksum(self) -> int:
        """Return the xxh64 checksum of the answer received so far."""
        return xxhash.xxh64_intdigest(bytes(self.received))

    def make_offer(self, budget: float) -> Offer:
        """Build the message that offers the remaining work."""
        done = bytes(self.received)
        return Offer(
            self.work, self.attempt, budget, self.stage, done, self.tokens, self.kv
        )
