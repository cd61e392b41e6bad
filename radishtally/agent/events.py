"""Events that the agent's core handles and commands that it emits."""

from typing import NamedTuple

from radishtally.links.kinds import Message
from radishtally.links.messages import KvRef, Offer


class LinkUp(NamedTuple):
    """Event: the link to an entry is up."""

    host: str


class LinkDown(NamedTuple):
    """Event: the link to an entry is down."""

    host: str


class Received(NamedTuple):
    """Event: a message from an entry has arrived."""

    host: str
    message: Message


class Produced(NamedTuple):
    """Event: the upstream has produced a part of an answer."""

    request: str
    attempt: int
    data: bytes
    tokens: int


class Completed(NamedTuple):
    """Event: the upstream has produced the whole answer."""

    request: str
    attempt: int
    status: int
    finish_reason: str
    prompt_tokens: int
    output_tokens: int
    headers: tuple[tuple[str, str], ...]
    seconds: float


class Failed(NamedTuple):
    """Event: the attempt has failed at the upstream."""

    request: str
    attempt: int
    ran: str
    reason: str


class Exported(NamedTuple):
    """Event: the export of an interrupted answer's KV cache has ended.

    Without a KV cache, the next engine prefills the prompt again.
    """

    request: str
    attempt: int
    kv: KvRef | None


class UpstreamRead(NamedTuple):
    """Event: the upstream's state has been read."""

    ready: bool
    slots: int
    prefill_rate: float
    decode_seconds: float
    role: str
    model: str
    version: str
    adapters: tuple[str, ...]


class Drain(NamedTuple):
    """Event: stop accepting work, refuse the queue and finish or hand over the rest."""

    reason: str
    seconds: float
    """Time that running answers get to finish before they are handed over."""
    final: bool = False
    """Whether the process stops after this drain."""


class Undrain(NamedTuple):
    """Event: end one drain; work is accepted again once no drain is active."""

    reason: str


class Tick(NamedTuple):
    """Event: time has passed."""


Event = (
    LinkUp
    | LinkDown
    | Received
    | Produced
    | Completed
    | Failed
    | Exported
    | UpstreamRead
    | Drain
    | Undrain
    | Tick
)


class Send(NamedTuple):
    """Command: send a message to an entry."""

    host: str
    message: Message


class Run(NamedTuple):
    """Command: run work at the upstream."""

    offer: Offer


class Abort(NamedTuple):
    """Command: abort work at the upstream."""

    request: str
    attempt: int


class Export(NamedTuple):
    """Command: stop work at the upstream and export its KV cache."""

    request: str
    attempt: int


class Drained(NamedTuple):
    """Command: report that the drain is complete."""


Command = Send | Run | Abort | Export | Drained
