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


class Shutdown(NamedTuple):
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
    | Shutdown
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


class End(NamedTuple):
    """End an answer of which the caller has a part: it has come whole."""

    request: str
    end: Finished


class AbortAnswer(NamedTuple):
    """Break off an answer of which the caller has a part."""

    request: str
    refusal: Refusal


class Finish(NamedTuple):
    """Give the whole answer to a caller that has no part of one."""

    request: str
    end: Finished
    body: bytes


class Refuse(NamedTuple):
    """Refuse a caller that has no part of an answer."""

    request: str
    refusal: Refusal


class RecordStep(NamedTuple):
    """Record a step of a request for `explain`."""

    request: str
    text: str


StreamReply = Begin | Deliver | End | AbortAnswer
"""What a caller is given of an answer that is passed on as it comes."""

FullReply = Finish | Refuse
"""What a caller is given at once, and nothing before it."""

Command = (
    Send | Claim | Release | Settle | DropKv | StreamReply | FullReply | RecordStep
)
