"""Helpers for tests of the agent's core."""

from radishtally.agent import events
from radishtally.agent.core import AgentCore, handle_event
from radishtally.links.kinds import Message
from radishtally.links.messages import CALL, CHAT, Offer, Work

POOL = "pool"


class Driver:
    """Drive one agent's core and record its commands."""

    def __init__(self, slots: int = 1, model: str = "m") -> None:
        self.core = AgentCore("agent-0", POOL)
        self.now = 100.0
        self.log: list[events.Command] = []
        self.read_upstream(slots, model)
        for entry in ("entry-0", "entry-1"):
            self.handle(events.LinkUp(entry))
        self.log.clear()

    def handle(self, event: events.Event) -> list[events.Command]:
        commands = handle_event(event, self.core, self.now)
        self.log += commands
        return commands

    def read_upstream(self, slots: int, model: str = "m") -> None:
        """Report the upstream's state; without slots it is not ready."""
        ready = slots > 0
        state = events.UpstreamRead(ready, slots, 1e6, 1e-6, "mixed", model, "1", ())
        self.handle(state)

    def receive(self, message: Message, entry: str = "entry-0") -> list[Message]:
        """Deliver a message from an entry; return the messages sent in response."""
        commands = self.handle(events.Received(entry, message))
        return [c.message for c in commands if isinstance(c, events.Send)]

    def offer(self, work: Work, attempt: int = 1, **more: object) -> list[Message]:
        entry = more.pop("entry", "entry-0")
        return self.receive(Offer(work, attempt, 30.0, **more), entry)

    def produce(self, request: str, data: bytes, attempt: int = 1) -> None:
        self.handle(events.Produced(request, attempt, data, len(data)))

    def complete(
        self, request: str, attempt: int = 1, status: int = 200, reason: str = "stop"
    ) -> None:
        event = events.Completed(request, attempt, status, reason, 1, 0, (), 0.1)
        self.handle(event)

    def fail(self, request: str, ran: str, attempt: int = 1) -> None:
        self.handle(events.Failed(request, attempt, ran, "failed"))

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and send the ticks that the core asks for."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.core.next_wake(self.now))
            self.handle(events.Tick())

    def list_commands(self, kind: type) -> list[events.Command]:
        return [c for c in self.log if isinstance(c, kind)]

    def list_sent(self, kind: type) -> list[Message]:
        sent = [c.message for c in self.list_commands(events.Send)]
        return [message for message in sent if isinstance(message, kind)]

    def list_runs(self) -> list[tuple[str, int]]:
        return [
            (c.offer.work.request, c.offer.attempt)
            for c in self.list_commands(events.Run)
        ]


def make_text(request: str = "r", **more: object) -> Work:
    """Make a chat request."""
    more.setdefault("max_tokens", 50)
    return Work(request, "team", POOL, CHAT, b"{}", "m", **more)


def make_call(request: str = "r", **more: object) -> Work:
    """Make a call that may not run twice."""
    return Work(request, "team", POOL, CALL, b"body", idempotent=False, **more)
