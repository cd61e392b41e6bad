"""Helpers of the tests of the agent's core."""

from radishtally.agent import events
from radishtally.agent.core import AgentCore, handle_event
from radishtally.links.messages import CALL, CHAT, Message, Offer, Work

POOL = "pool"


class Driver:
    """Drive one agent's core and keep what it commands."""

    def __init__(self, slots: int = 1, model: str = "m") -> None:
        self.core = AgentCore("agent-0", POOL)
        self.now = 100.0
        self.log: list[events.Command] = []
        self.read_upstream(slots, model)
        for entry in ("entry-0", "entry-1"):
            self.give(events.LinkUp(entry))
        self.log.clear()

    def give(self, event: events.Event) -> list[events.Command]:
        commands = handle_event(event, self.core, self.now)
        self.log += commands
        return commands

    def read_upstream(self, slots: int, model: str = "m") -> None:
        """Say what the upstream is; without slots it is not ready."""
        ready = slots > 0
        state = events.UpstreamRead(ready, slots, 1e6, 1e-6, "mixed", model, "1", ())
        self.give(state)

    def receive(self, message: Message, entry: str = "entry-0") -> list[Message]:
        """Give a message; return what is sent for it."""
        commands = self.give(events.Received(entry, message))
        return [c.message for c in commands if isinstance(c, events.Send)]

    def offer(self, work: Work, attempt: int = 1, **more: object) -> list[Message]:
        entry = more.pop("entry", "entry-0")
        return self.receive(Offer(work, attempt, 30.0, **more), entry)

    def produce(self, request: str, data: bytes, attempt: int = 1) -> None:
        self.give(events.Produced(request, attempt, data, len(data)))

    def complete(
        self, request: str, attempt: int = 1, status: int = 200, reason: str = "stop"
    ) -> None:
        event = events.Completed(request, attempt, status, reason, 1, 0, (), 0.1)
        self.give(event)

    def fail(self, request: str, ran: str, attempt: int = 1) -> None:
        self.give(events.Failed(request, attempt, ran, "failed"))

    def pass_time(self, seconds: float) -> None:
        """Let time pass, with ticks as the core asks for them."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.core.next_wake(self.now))
            self.give(events.Tick())

    def list_of(self, kind: type) -> list[events.Command]:
        return [c for c in self.log if isinstance(c, kind)]

    def list_sent(self, kind: type) -> list[Message]:
        sent = [c.message for c in self.list_of(events.Send)]
        return [message for message in sent if isinstance(message, kind)]

    def list_runs(self) -> list[tuple[str, int]]:
        return [
            (c.offer.work.request, c.offer.attempt) for c in self.list_of(events.Run)
        ]


def make_text(request: str = "r", **more: object) -> Work:
    """Make a request for text."""
    more.setdefault("max_tokens", 50)
    return Work(request, "team", POOL, CHAT, b"{}", "m", **more)


def make_call(request: str = "r", **more: object) -> Work:
    """Make a call that may not run twice."""
    return Work(request, "team", POOL, CALL, b"body", idempotent=False, **more)
