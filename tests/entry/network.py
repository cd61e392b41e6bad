"""Model of the links between entries and agents, without I/O.

A link keeps the order of its messages. When it breaks, each end notices independently,
a suffix of the messages in flight is lost, and the others may arrive late, after
messages of newer links.
"""

from collections import deque
from typing import NamedTuple

from radishtally.links.kinds import Message

UP = "up"
DOWN = "down"


class Ends(NamedTuple):
    """Identify the processes at both ends of a link."""

    entry: str
    entry_incarnation: str
    agent: str
    agent_incarnation: str


class ModelLink:
    """Carry messages in both directions until both ends know that the link is down."""

    def __init__(self, ends: Ends) -> None:
        self.ends = ends
        self.queues: dict[str, deque[Message]] = {UP: deque(), DOWN: deque()}
        self.known_up = {UP: False, DOWN: True}
        """Whether the receiving end knows of the link: the agent for UP, the entry for
    DOWN."""
        self.broken = False

    def send(self, direction: str, message: Message) -> None:
        """Queue a message, or lose it if the link is broken."""
        if not self.broken:
            self.queues[direction].append(message)

    def cut(self, kept_up: int, kept_down: int) -> None:
        """Break silently; the given number of messages in flight still arrive."""
        self.broken = True
        for direction, kept in ((UP, kept_up), (DOWN, kept_down)):
            queue = self.queues[direction]
            while len(queue) > kept:
                queue.pop()

    def drop(self, direction: str) -> None:
        """Lose all messages to an end that has died."""
        self.queues[direction].clear()
