"""Helpers for the tests of the dispatch core."""

import random

import xxhash

from radishtally.links.kinds import Message
from radishtally.links.messages import (
    CALL,
    CHAT,
    Chunk,
    Finished,
    Handover,
    Hello,
    KvRef,
    Offer,
    Work,
)
from radishtally.outcome import Refusal
from radishtally.serving import events
from radishtally.serving.core import DispatchCore, handle_event

POOL = "pool"
KV = KvRef("agent-0", "http://127.0.0.1", "handle", 9)


class Driver:
    """Pass events to one dispatch core and record its commands."""

    def __init__(self, hosts: int = 2) -> None:
        self.core = DispatchCore("entry-0", "howrah", random.Random(1))
        self.now = 100.0
        self.log: list[events.Command] = []
        for number in range(hosts):
            host = f"agent-{number}"
            self.core.set_host(host, "howrah", POOL, True)
            self.link_up(host)

    def handle(self, event: events.Event) -> list[events.Command]:
        """Pass an event to the core; return its commands without recorded steps."""
        commands = [
            c
            for c in handle_event(event, self.core, self.now)
            if not isinstance(c, events.RecordStep)
        ]
        self.log += commands
        return commands

    def link_up(self, host: str, incarnation: str = "1") -> list[events.Command]:
        return self.handle(
            events.LinkUp(Hello(host, "howrah", "agent", incarnation, 0))
        )

    def receive(self, host: str, message: Message) -> list[events.Command]:
        return self.handle(events.Received(host, message))

    def pass_time(self, seconds: float) -> list[events.Command]:
        """Advance the clock, with a tick at each time the core asks for."""
        until = self.now + seconds
        commands = []
        while self.core.next_wake() <= until:
            self.now = max(self.now, self.core.next_wake())
            commands += self.handle(events.Tick())
        self.now = until
        return commands

    def open(
        self, work: Work, seconds: float = 30.0, streamed: bool = True
    ) -> list[events.Command]:
        return self.handle(events.Arrived(work, self.now + seconds, streamed))

    def wait_for_offer(self, seconds: float = 40.0) -> tuple[str, Offer]:
        """Advance the clock until one more offer is sent."""
        before, until = len(self.list_offers()), self.now + seconds
        while len(self.list_offers()) == before:
            wake = self.core.next_wake()
            assert wake <= until, "no further offer was sent in time"
            self.pass_time(max(0.0, wake - self.now))
        return self.find_offer()

    def find_offer(self) -> tuple[str, Offer]:
        """Find the last offer and its host."""
        for command in reversed(self.log):
            if isinstance(command, events.Send) and isinstance(command.message, Offer):
                return command.host, command.message
        raise AssertionError("no offer was sent")

    def list_offers(self) -> list[str]:
        return [host for host, _ in self.list_sent(Offer)]

    def list_sent(self, kind: type) -> list[tuple[str, Message]]:
        return [
            (c.host, c.message)
            for c in self.log
            if isinstance(c, events.Send) and isinstance(c.message, kind)
        ]

    def list_commands(self, kind: type | tuple[type, ...]) -> list[events.Command]:
        return [c for c in self.log if isinstance(c, kind)]

    def list_refusals(self) -> list[events.Refuse | events.AbortAnswer]:
        return self.list_commands((events.Refuse, events.AbortAnswer))

    def list_ends(self) -> list[events.SendFullAnswer | events.EndStream]:
        return self.list_commands((events.SendFullAnswer, events.EndStream))

    @property
    def refusal(self) -> Refusal:
        """Return the only refusal."""
        (found,) = self.list_refusals()
        return found.refusal

    @property
    def answer(self) -> bytes:
        """Return the only complete answer as its caller received it."""
        (end,) = self.list_ends()
        delivered = b"".join(part.data for part in self.list_commands(events.Deliver))
        if isinstance(end, events.EndStream):
            return delivered
        assert not delivered
        return end.body


def make_text(request: str = "r", **more: object) -> Work:
    """Build work for generated text."""
    return Work(request, "team", POOL, CHAT, b"{}", "m", max_tokens=9, **more)


def make_call(request: str = "r", **more: object) -> Work:
    """Build a call that is not idempotent."""
    return Work(request, "team", POOL, CALL, b"body", idempotent=False, **more)


def make_chunk(request: str, attempt: int, offset: int, data: bytes) -> Chunk:
    """Build a part of an answer, with one token per byte."""
    return Chunk(request, attempt, offset, data, offset + len(data))


def make_finished(request: str, attempt: int, data: bytes) -> Finished:
    """Build the end of a complete answer."""
    checksum = xxhash.xxh64_intdigest(data)
    return Finished(request, attempt, len(data), checksum, 200, "stop", 5, len(data))


def make_handover(
    request: str, attempt: int, data: bytes, kv: KvRef | None = None
) -> Handover:
    """Build the end of an attempt that continues at another host."""
    return Handover(request, attempt, len(data), xxhash.xxh64_intdigest(data), kv)
