"""Keep the answers that the agent's upstream gives."""

from dataclasses import dataclass, field

import xxhash

from radishtally.links.messages import Chunk, Finished, Handover, Lost


@dataclass(slots=True)
class Subscriber:
    """Follow which part of an answer one entry has been sent."""

    host: str
    request: str
    attempt: int
    sent: int
    tokens_sent: int


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
        self.subscribers.append(Subscriber(host, request, attempt, offset, 0))

    def unsubscribe(self, request: str, attempt: int) -> None:
        """Send an entry nothing more."""
        self.subscribers = [
            s for s in self.subscribers if (s.request, s.attempt) != (request, attempt)
        ]

    def read_new(self, subscriber: Subscriber) -> Chunk | None:
        """Give what a subscriber has not been sent, and count it as sent."""
        if subscriber.sent >= len(self.data):
            return None
        chunk = Chunk(
            subscriber.request,
            subscriber.attempt,
            subscriber.sent,
            bytes(self.data[subscriber.sent :]),
            self.tokens - subscriber.tokens_sent,
        )
        subscriber.sent = len(self.data)
        subscriber.tokens_sent = self.tokens
        return chunk

    def read_end(self, subscriber: Subscriber) -> Finished | Handover | Lost | None:
        """Give the message that ends the answer, addressed to a subscriber."""
        if self.end is None:
            return None
        return self.end._replace(request=subscriber.request, attempt=subscriber.attempt)
