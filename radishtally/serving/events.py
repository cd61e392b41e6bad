"""Events that the dispatch core handles and commands that it emits."""

from typing import NamedTuple

from radishtally.links.kinds import Message
from radishtally.links.messages import Finished, Hello, KvRef, Work
from radishtally.outcome import Refusal
from radishtally.serving.sources import Source
from radishtally.serving.terms import DEFAULT_TERMS, Terms


class Arrived(NamedTuple):
    """Event: a caller's validated request has arrived."""

    work: Work
    deadline: float
    streamed: bool
    terms: Terms = DEFAULT_TERMS


class CallerGone(NamedTuple):
    """Event: the caller has closed its connection."""

    request: str


class LinkUp(NamedTuple):
    """Event: the link to an agent is up."""

    hello: Hello


class LinkDown(NamedTuple):
    """Event: the link to an agent is down."""

    host: str


class Received(NamedTuple):
    """Event: a message from an agent has arrived."""

    host: str
    message: Message


class Granted(NamedTuple):
    """Event: the claim on the idempotency key of this work was granted."""

    work: Work


class Repeated(NamedTuple):
    """Event: the idempotency key already has a stored outcome."""

    request: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Denied(NamedTuple):
    """Event: the claim was denied; the caller is refused as given."""

    request: str
    refusal: Refusal


class OriginSettled(NamedTuple):
    """Event: no more replies to a query for a stream's origin are expected."""

    stream: bytes


class SourceFound(NamedTuple):
    """Event: a stream that no gateway remembers can only have begun at one source."""

    stream: bytes
    source: Source


class VersionChanged(NamedTuple):
    """Event: a host has begun again under its name at another software version."""

    host: str
    version: str
    """The new version; empty if it can't be told."""
    is_recent: bool
    """Whether it did so within VERSION_LAG_SECONDS before this event."""


class PermitsReceived(NamedTuple):
    """Event: this process may send more requests to a host that has named a limit."""

    host: str


class PlacesChanged(NamedTuple):
    """Event: peers have reported their calls to plain hosts."""


class Tick(NamedTuple):
    """Event: time has passed."""


class Shutdown(NamedTuple):
    """Event: the process exits now although requests are still open."""


Event = (
    Arrived
    | CallerGone
    | LinkUp
    | LinkDown
    | Received
    | Granted
    | Repeated
    | Denied
    | OriginSettled
    | SourceFound
    | VersionChanged
    | PermitsReceived
    | PlacesChanged
    | Tick
    | Shutdown
)


class Send(NamedTuple):
    """Command: send a message to an agent."""

    host: str
    message: Message


class FindOrigin(NamedTuple):
    """Command: ask the peers where a stream began."""

    stream: bytes


class Claim(NamedTuple):
    """Command: claim the idempotency key of work that is not idempotent."""

    work: Work


class Release(NamedTuple):
    """Command: release a claim whose work certainly did not run."""

    work: Work


class Settle(NamedTuple):
    """Command: store the outcome of claimed work."""

    work: Work
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class DropKv(NamedTuple):
    """Command: free a KV cache that no engine will fetch."""

    kv: KvRef


class Begin(NamedTuple):
    """Command: send the caller the head of a streamed answer."""

    request: str
    status: int
    headers: tuple[tuple[str, str], ...]


class Deliver(NamedTuple):
    """Command: send the caller the next part of its answer."""

    request: str
    data: bytes
    tokens: int = 0
    """Tokens of the answer so far; for an event stream the id of the last event."""


class EndStream(NamedTuple):
    """Command: finish a streamed answer, which is complete."""

    request: str
    end: Finished


class AbortAnswer(NamedTuple):
    """Command: abort an answer of which the caller already has a part."""

    request: str
    refusal: Refusal


class SendFullAnswer(NamedTuple):
    """Command: send the complete answer to a caller that has received nothing yet."""

    request: str
    end: Finished
    body: bytes


class Refuse(NamedTuple):
    """Command: refuse a caller that has received nothing yet."""

    request: str
    refusal: Refusal


class RecordStep(NamedTuple):
    """Command: record a step of a request for `explain`."""

    request: str
    text: str


StreamReply = Begin | Deliver | EndStream | AbortAnswer
"""Replies that make up a streamed answer."""

FullReply = SendFullAnswer | Refuse
"""Replies that are the only one to their caller."""

Command = (
    Send
    | FindOrigin
    | Claim
    | Release
    | Settle
    | DropKv
    | StreamReply
    | FullReply
    | RecordStep
)
