"""Answers of the agent's upstream and the attempts that they belong to."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import xxhash

from radishtally.agent.const import MAX_CHUNK_BYTES
from radishtally.limits.queue import Job, Running
from radishtally.links.messages import Chunk, Finished, Handover, Lost, Offer

AttemptId = tuple[str, int]
"""Request and attempt number."""


@dataclass(slots=True)
class Subscriber:
    """Track how much of an answer one entry has been sent."""

    host: str
    request: str
    attempt: int
    sent: int


@dataclass(slots=True)
class Answer:
    """Hold an answer, including the part that earlier attempts produced."""

    data: bytearray = field(default_factory=bytearray)
    tokens: int = 0
    end: Finished | Handover | Lost | None = None
    """Message that ends the answer, addressed to the attempt that ran it."""
    subscribers: list[Subscriber] = field(default_factory=list)

    def append(self, data: bytes, tokens: int) -> None:
        """Append data that the upstream has produced."""
        self.data += data
        self.tokens += tokens

    def checksum(self) -> int:
        """Return the xxh64 of the answer so far."""
        return xxhash.xxh64_intdigest(bytes(self.data))

    def subscribe(self, host: str, request: str, attempt: int, offset: int) -> None:
        """Subscribe an entry from an offset on, replacing an older subscription."""
        self.unsubscribe(request, attempt)
        self.subscribers.append(Subscriber(host, request, attempt, offset))

    def unsubscribe(self, request: str, attempt: int) -> None:
        """Remove the subscription of an attempt."""
        self.subscribers = [
            s for s in self.subscribers if (s.request, s.attempt) != (request, attempt)
        ]

    def unsubscribe_host(self, host: str) -> None:
        """Remove all subscriptions of an entry whose link is down."""
        self.subscribers = [s for s in self.subscribers if s.host != host]

    def read_unsent(self, subscriber: Subscriber) -> Iterator[Chunk]:
        """Yield the unsent data of a subscriber and mark it as sent."""
        while subscriber.sent < len(self.data):
            offset = subscriber.sent
            subscriber.sent = min(len(self.data), offset + MAX_CHUNK_BYTES)
            yield Chunk(
                subscriber.request,
                subscriber.attempt,
                offset,
                bytes(self.data[offset : subscriber.sent]),
                self.tokens,
            )

    def make_end(self, subscriber: Subscriber) -> Finished | Handover | Lost | None:
        """Make the message that ends the answer, addressed to a subscriber."""
        if self.end is None:
            return None
        return self.end._replace(request=subscriber.request, attempt=subscriber.attempt)


@dataclass(slots=True)
class Assignment:
    """Track an accepted attempt until its answer is evicted."""

    offer: Offer
    job: Job
    body_hash: int
    answer: Answer
    attempt_ids: set[AttemptId] = field(default_factory=set)
    """Attempts that get this answer; several if an idempotency key was repeated."""
    started: float | None = None
    last_token: float | None = None
    """Time at which the upstream produced the newest token."""
    last_flush: float = float("-inf")
    ended: float | None = None
    orphaned_at: float | None = None
    """Time since which no entry has subscribed to the answer."""
    is_exporting: bool = False
    """Whether the KV cache is being exported to hand the answer over."""
    delivered: bool = False
    """Whether an entry has acknowledged the answer's end."""

    @property
    def attempt_id(self) -> AttemptId:
        """Id of the attempt that runs the work."""
        return self.offer.work.request, self.offer.attempt

    def measure_remaining(self) -> Running:
        """Return the tokens that remain of work at the upstream."""
        made = self.answer.tokens - self.offer.tokens_done
        return Running(
            self.job,
            self.started or 0.0,
            0 if made > 0 else self.job.prompt_tokens,
            max(0, self.job.output_tokens - made),
        )


def hash_body(offer: Offer) -> int:
    """Hash the parts of a request that must match when its key is repeated."""
    work = offer.work
    head = f"{work.kind}\0{work.method}\0{work.path}\0"
    return xxhash.xxh64_intdigest(head.encode() + work.body)
