"""Keep the answers that the agent's upstream gives."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import xxhash

from radishtally.agent.const import CHUNK_BYTES
from radishtally.limits.queue import Job, Running
from radishtally.links.messages import Chunk, Finished, Handover, Lost, Offer

AttemptId = tuple[str, int]
"""Request and attempt."""


@dataclass(slots=True)
class Subscriber:
    """Follow which part of an answer one entry has been sent."""

    host: str
    request: str
    attempt: int
    sent: int


@dataclass(slots=True)
class Answer:
    """Hold a whole answer, earlier attempts' part included, until it may go."""

    data: bytearray = field(default_factory=bytearray)
    tokens: int = 0
    end: Finished | Handover | Lost | None = None
    """Message that ends the answer, for the first subscriber's request."""
    subscribers: list[Subscriber] = field(default_factory=list)

    def append(self, data: bytes, tokens: int) -> None:
        """Add what the upstream has just given."""
        self.data += data
        self.tokens += tokens

    def checksum(self) -> int:
        """Give the xxh64 of the whole answer."""
        return xxhash.xxh64_intdigest(bytes(self.data))

    def subscribe(self, host: str, request: str, attempt: int, offset: int) -> None:
        """Send an entry the answer from an offset on; its older place is forgotten."""
        self.unsubscribe(request, attempt)
        self.subscribers.append(Subscriber(host, request, attempt, offset))

    def unsubscribe(self, request: str, attempt: int) -> None:
        """Send an entry nothing more."""
        self.subscribers = [
            s for s in self.subscribers if (s.request, s.attempt) != (request, attempt)
        ]

    def unsubscribe_host(self, host: str) -> None:
        """Send nothing more over a link that is gone."""
        self.subscribers = [s for s in self.subscribers if s.host != host]

    def read_new(self, subscriber: Subscriber) -> Iterator[Chunk]:
        """Give what a subscriber has not been sent, and count it as sent."""
        while subscriber.sent < len(self.data):
            offset = subscriber.sent
            subscriber.sent = min(len(self.data), offset + CHUNK_BYTES)
            yield Chunk(
                subscriber.request,
                subscriber.attempt,
                offset,
                bytes(self.data[offset : subscriber.sent]),
                self.tokens,
            )

    def read_end(self, subscriber: Subscriber) -> Finished | Handover | Lost | None:
        """Give the message that ends the answer, addressed to a subscriber."""
        if self.end is None:
            return None
        return self.end._replace(request=subscriber.request, attempt=subscriber.attempt)


@dataclass(slots=True)
class Assignment:
    """Follow one attempt from its acceptance until its answer may go."""

    offer: Offer
    job: Job
    body_hash: int
    answer: Answer
    attempt_ids: set[AttemptId] = field(default_factory=set)
    """Attempts that this answer is for; more than one where a key was repeated."""
    started: float | None = None
    last_token: float | None = None
    """Time at which the upstream gave its newest token."""
    last_flush: float = float("-inf")
    ended: float | None = None
    orphaned: float | None = None
    """Time since which no link leads to anybody who waits for the answer."""
    leaving: bool = False
    """Whether the work is on its way to another host."""
    delivered: bool = False
    """Whether an entry has said that it has the answer's end."""

    @property
    def attempt_id(self) -> AttemptId:
        """Give the request and attempt."""
        return self.offer.work.request, self.offer.attempt

    def measure(self) -> Running:
        """Give what is left of work at the upstream."""
        made = self.answer.tokens - self.offer.tokens_done
        return Running(
            self.job,
            self.started or 0.0,
            0 if made > 0 else self.job.prompt_tokens,
            max(0, self.job.output_tokens - made),
        )


def hash_body(offer: Offer) -> int:
    """Hash what a repeat of an idempotency key must have in common."""
    work = offer.work
    head = f"{work.kind}\0{work.method}\0{work.path}\0"
    return xxhash.xxh64_intdigest(head.encode() + work.body)
