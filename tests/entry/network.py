"""Model of the links between entries and agents, without I/O.

A link keeps the order of its messages. When it breaks each end notices in its own
time, any suffix of what is under way is lost, and the rest may arrive late, behind the
messages of newer links.
"""

from collections import deque
from typing import NamedTuple

from radishtally.links.messages import Message

UP = "up"
DOWN = "down"


class Ends(NamedTuple):
    """Name the processes at both ends of a link."""

    entry: str
    entry_incarnation: str
    agent: str
    agent_incarnation: str


class ModelLink:
    """Carry messages both ways until both ends know that the link is gone."""

    def __init__(self, ends: Ends) -> None:
        self.ends = ends
        self.queues: dict[str, deque[Message]] = {UP: deque(), DOWN: deque()}
        self.known_up = {UP: False, DOWN: True}
        """Whether the end that messages go to knows of the link: agent, entry."""
        self.broken = False

    def send(self, direction: str, message: Message) -> None:
        """Put a message on its way, or lose it where the link is broken."""
        if not self.broken:
            self.queues[direction].append(message)

    def cut(self, kept_up: int, kept_down: int) -> None:
        """Break silently; so many messages of either direction still arrive."""
        self.broken = True
        for direction, kept in ((UP, kept_up), (DOWN, kept_down)):
            queue = self.queues[direction]
            while len(queue) > kept:
                queue.pop()

    def drop(self, direction: str) -> None:
        """Lose all that goes to an end that has died."""
        self.queues[direction].clear()
