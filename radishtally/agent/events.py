"""Events that the agent's core takes and commands that it gives."""

from typing import NamedTuple

from radishtally.links.messages import KvRef, Message, Offer


class LinkUp(NamedTuple):
    """Say that a link to an entry is up."""

    host: str


class LinkDown(NamedTuple):
    """Say that the link to an entry is gone."""

    host: str


class Received(NamedTuple):
    """Bring a message from an entry."""

    host: str
    message: Message


class Produced(NamedTuple):
    """Bring a part of an answer from the upstream."""

    request: str
    attempt: int
    data: bytes
    tokens: int


class Completed(NamedTuple):
    """Say that the upstream has given the whole answer."""

    request: str
    attempt: int
    status: int
    finish_reason: str
    prompt_tokens: int
    output_tokens: int
    headers: tuple[tuple[str, str], ...]
    seconds: float


class Failed(NamedTuple):
    """Say that the upstream failed."""

    request: str
    attempt: int
    ran: str
    reason: str


class Exported(NamedTuple):
    """Say that the KV cache of a cut answer is ready, or could not be had."""

    request: str
    attempt: int
    kv: KvRef | None


class UpstreamRead(NamedTuple):
    """Bring the upstream's state."""

    ready: bool
    slots: int
    prefill_rate: float
    decode_seconds: float
    role: str
    model: str
    version: str
    adapters: tuple[str, ...]


class Drain(NamedTuple):
    """Ask for an end to all work: none new, queued work back, running work out."""

    reason: str
    seconds: float
    """Time that running answers get before they are handed over."""
    final: bool = False
    """The process itself ends; only a new one takes work again."""


class Undrain(NamedTuple):
    """Take back one drain; new work is taken once no other holds."""

    reason: str


class Tick(NamedTuple):
    """Say that time has passed."""


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
    """Send a message to an entry."""

    host: str
    message: Message


class Run(NamedTuple):
    """Give work to the upstream."""

    offer: Offer


class Abort(NamedTuple):
    """End work at the upstream."""

    request: str
    attempt: int


class Export(NamedTuple):
    """End work at the upstream in good order and keep its KV cache."""

    request: str
    attempt: int


class Drained(NamedTuple):
    """Say that no work is left."""


Command = Send | Run | Abort | Export | Drained
