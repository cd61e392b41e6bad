"""Events that the entry's core takes and commands that it gives."""

from typing import NamedTuple

from radishtally.links.messages import Finished, Hello, KvRef, Message, Work
from radishtally.outcome import Refusal
from radishtally.serving.terms import DEFAULT_TERMS, Terms


class Arrived(NamedTuple):
    """Bring a caller's checked request."""

    work: Work
    deadline: float
    streamed: bool
    terms: Terms = DEFAULT_TERMS


class CallerGone(NamedTuple):
    """Say that the caller has closed its connection."""

    request: str


class LinkUp(NamedTuple):
    """Say that a link to an agent is up."""

    hello: Hello


class LinkDown(NamedTuple):
    """Say that the link to an agent is gone."""

    host: str


class Received(NamedTuple):
    """Bring a message from an agent."""

    host: str
    message: Message


class Granted(NamedTuple):
    """Say that the claim on the key of this work is ours."""

    work: Work


class Repeated(NamedTuple):
    """Bring the outcome that the request's key has had before."""

    request: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Denied(NamedTuple):
    """Say that the claim is not ours, and how the caller is refused."""

    request: str
    refusal: Refusal


class Tick(NamedTuple):
    """Say that time has passed."""


class Leave(NamedTuple):
    """Say that the process ends now, with requests still open."""


Event = (
    Arrived
    | CallerGone
    | LinkUp
    | LinkDown
    | Received
    | Granted
    | Repeated
    | Denied
    | Tick
    | Leave
)


class Send(NamedTuple):
    """Send a message to an agent."""

    host: str
    message: Message


class Claim(NamedTuple):
    """Claim the key of work that may not run twice."""

    work: Work


class Release(NamedTuple):
    """Give a claim back: the work surely did not run."""

    work: Work


class Settle(NamedTuple):
    """Keep the outcome of claimed work."""

    work: Work
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class DropKv(NamedTuple):
    """Free a KV cache that nobody will fetch."""

    kv: KvRef


class Begin(NamedTuple):
    """Give the caller the head of an answer that is passed on as it comes."""

    request: str
    status: int
    headers: tuple[tuple[str, str], ...]


class Deliver(NamedTuple):
    """Give the caller the next part of its answer."""

    request: str
    data: bytes
    tokens: int = 0
    """Tokens of the answer up to its end; of a stream of events the last one's id."""


class Finish(NamedTuple):
    """End the caller's answer: it is whole."""

    request: str
    end: Finished
    body: bytes
    """The whole answer."""


class Refuse(NamedTuple):
    """Tell the caller that it gets no answer, or no more of it."""

    request: str
    refusal: Refusal


class Note(NamedTuple):
    """Record a step of a request for `explain`."""

    request: str
    text: str


Command = (
    Send | Claim | Release | Settle | DropKv | Begin | Deliver | Finish | Refuse | Note
)
