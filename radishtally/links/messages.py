"""Messages between the system's own processes.

A frame on the wire is a MessagePack list of pairs: the kind's number and the message.
"""

from typing import Final, NamedTuple

CHAT: Final = "chat"
COMPLETION: Final = "completion"
CALL: Final = "call"
"""A call of a plain service."""
STREAM: Final = "stream"
"""A generation whose events are passed on as the engine makes them."""

WHOLE: Final = "whole"
PREFILL: Final = "prefill"
DECODE: Final = "decode"
MIXED: Final = "mixed"


LEAVING: Final = "leaving"
"""Reason of a refusal: the upstream drains."""
KEY_REUSED: Final = "key reused"
"""Reason of a refusal: the idempotency key came with another request before."""
NOT_KNOWN: Final = "not known here"
"""Reason of a loss: the agent remembers no such attempt."""
UNREACHED: Final = "out of reach"
"""Reason of a loss: no connection was made, so the host never saw the work."""
REPLACED: Final = "replaced"
"""Reason of a refusal: another instance has the host's address now."""
RESTARTED: Final = "restarted"
"""Reason of a loss: the host has started again, and knows nothing of the attempt."""
ENDED: Final = "host ended"
"""Reason of a loss: the answer broke off, and nothing listens at the host any more."""


class Hello(NamedTuple):
    """Introduce the sender; first message of either side of a link."""

    host: str
    place: str
    role: str
    incarnation: str
    """New with every start of the process."""
    revision: int
    """Configuration revision in force at the sender."""


class Ping(NamedTuple):
    """Ask for a sign of life."""

    sequence: int
    revision: int


class Pong(NamedTuple):
    """Answer a ping."""

    sequence: int
    revision: int


class Work(NamedTuple):
    """Describe what a caller wants; the same over all attempts."""

    request: str
    team: str
    upstream: str
    kind: str
    """CHAT, COMPLETION, CALL or STREAM."""
    body: bytes
    """JSON body for an engine, raw body for a service."""
    model: str = ""
    adapter: str = ""
    method: str = "POST"
    path: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    key: str = ""
    """Idempotency key, unique within the team; empty if the caller gave none."""
    idempotent: bool = True
    priority: int = 0
    """Lower goes first."""
    share: float = 1.0
    """Weight of the team's fair share."""
    prompt_tokens: int = 0
    """Estimate."""
    max_tokens: int = 0
    prefix: int = 0
    """Hash of the prompt's beginning."""


class KvRef(NamedTuple):
    """Tell where the KV cache of a cut answer can be fetched."""

    host: str
    url: str
    handle: str
    tokens: int


class Offer(NamedTuple):
    """Offer work to an agent, which accepts or refuses it."""

    work: Work
    attempt: int
    budget: float
    """Seconds left to the caller's deadline when the message was sent."""
    stage: str = WHOLE
    """WHOLE, or PREFILL for the first token and its KV cache only."""
    done: bytes = b""
    """Part of the answer that earlier attempts gave; only the rest is wanted."""
    tokens_done: int = 0
    kv: KvRef | None = None


class Load(NamedTuple):
    """Report an agent's load."""

    host: str
    queued: int
    running: int
    slots: int
    """Requests that the upstream takes at once."""
    prefill_backlog: float
    """Seconds of prefill accepted and not begun."""
    wait: float
    """Seconds that new work of middling priority would wait now."""
    prefill_rate: float
    """Tokens a second."""
    decode_seconds: float
    """Seconds a token."""
    role: str
    model: str
    version: str
    adapters: tuple[str, ...]
    draining: bool
    prompt_tokens: int = 0
    """Of work accepted since the agent's start; so are the next three."""
    output_tokens: int = 0
    requests: int = 0
    refused: int = 0
    token_seconds: float = 0.0
    """Seconds a token at present, with what else the upstream does."""


class Accepted(NamedTuple):
    """Say that the agent answers for the work from now on."""

    request: str
    attempt: int
    wait: float
    """Seconds predicted until the first token."""
    attached: bool = False
    """The answer was already there under the same idempotency key."""


class Refused(NamedTuple):
    """Say that the work did not run here and won't."""

    request: str
    attempt: int
    reason: str
    retry_after: float
    load: Load | None = None


class Begun(NamedTuple):
    """Say that an answer which is passed on as it comes has begun.

    Made within an entry only, for hosts that it reaches without an agent.
    """

    request: str
    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]


class Chunk(NamedTuple):
    """Carry a part of an attempt's answer."""

    request: str
    attempt: int
    offset: int
    """Place of the first byte within the whole answer, earlier attempts included."""
    data: bytes
    tokens: int
    """Tokens of the whole answer up to the chunk's end: a part that is sent again
    after a break counts no token twice."""


class Finished(NamedTuple):
    """End an attempt's answer; only with it the answer is complete."""

    request: str
    attempt: int
    length: int
    """Bytes of the whole answer, earlier attempts included."""
    checksum: int
    """xxh64 of the whole answer."""
    status: int
    finish_reason: str
    prompt_tokens: int
    output_tokens: int
    headers: tuple[tuple[str, str], ...] = ()


class Handover(NamedTuple):
    """End an attempt in good order with the answer unfinished: go on elsewhere."""

    request: str
    attempt: int
    length: int
    checksum: int
    kv: KvRef | None


class Lost(NamedTuple):
    """Say that the upstream failed the attempt after it was accepted."""

    request: str
    attempt: int
    ran: str
    """Ran.NO or Ran.UNKNOWN."""
    reason: str
    length: int
    """Bytes of the whole answer that may be relied on."""


class Ack(NamedTuple):
    """Confirm that the end of an answer has come; the agent may drop it."""

    request: str
    attempt: int
    offset: int


class Attach(NamedTuple):
    """Ask for an attempt's answer again from an offset, over a new link."""

    request: str
    attempt: int
    offset: int


class Cancel(NamedTuple):
    """Withdraw an attempt; a late offer of it is refused."""

    request: str
    attempt: int


class Cancelled(NamedTuple):
    """Confirm a withdrawal and put up a tombstone for the attempt."""

    request: str
    attempt: int
    ran: str
    """Ran.NO only if the upstream never saw it."""


class Leaving(NamedTuple):
    """Say that the sender takes no new work from now on."""

    host: str
    reason: str


class Hint(NamedTuple):
    """Say that a row of the table is worth reading; it orders nothing by itself."""

    pk: str
    sk: str


class ConfigurationRequest(NamedTuple):
    """Ask for the configuration if the peer has a newer one."""

    revision: int
    hashes: dict[str, str]
    """SHA-256 hex of each file that the sender has."""


class ConfigurationFiles(NamedTuple):
    """Give a configuration: what its files are, and those that the peer lacks."""

    revision: int
    hashes: dict[str, str]
    files: dict[str, str]


class Interval(NamedTuple):
    """Say how far apart the sender's pings over an idle link may be."""

    seconds: float


class WaitingTokens(NamedTuple):
    """Say how many prompt tokens of one priority are still to be read."""

    priority: int
    """Lower goes first."""
    tokens: int


class EngineShare(NamedTuple):
    """Say what one entry has open at an engine that it reaches itself."""

    host: str
    waiting: tuple[WaitingTokens, ...]
    """The most urgent first."""
    answers: int
    start: int = 0
    """Mark of the engine's start that has it; 0 if the sender knows none."""


class FormerShare(NamedTuple):
    """Say the same as two releases before: no engine's start, no priorities."""

    host: str
    tokens: int
    answers: int


class FormerBacklog(NamedTuple):
    """Hold the place of what two releases before tell; it is not taken."""

    shares: tuple[FormerShare, ...]


class EarlierShare(NamedTuple):
    """Say the same as the release before: without priorities."""

    host: str
    tokens: int
    answers: int
    start: int = 0


class EarlierBacklog(NamedTuple):
    """Hold the place of what the release before tells; it is not taken."""

    shares: tuple[EarlierShare, ...]


class Backlog(NamedTuple):
    """Tell the other entries what the sender has open, where that has changed."""

    shares: tuple[EngineShare, ...]


class HashedPart(NamedTuple):
    """Name a part of a prompt by a hash of its name and the model's."""

    key: int
    tokens: int


class PartsRead(NamedTuple):
    """Tell the other entries which parts of prompts an engine was first given.

    Or, from one that has just started, which ones the engine says that it keeps.
    """

    host: str
    start: int
    """Mark of the engine's start."""
    parts: tuple[HashedPart, ...]
    """The least recently used first."""


class Suspicion(NamedTuple):
    """Say how many hosts ended in a row under a request."""

    content: str
    """Digest of what is asked, as it is the same in all repeats."""
    ends: int
    """None if the request was answered since."""
    seconds: float
    """Longest time for which one of them had been answering it."""
    left: float
    """Seconds for which that is remembered."""


class Suspicions(NamedTuple):
    """Tell the other entries under which requests hosts have ended."""

    suspicions: tuple[Suspicion, ...]


class FormerDemandReport(NamedTuple):
    """Hold the place of what the release before tells; it is not taken."""

    upstream: str
    prefill: float
    decode: float


class DemandReport(NamedTuple):
    """Tell the other entries what has come to the sender of late."""

    upstream: str
    requests: float
    prompt_tokens: float
    """Those that no engine was known to keep."""
    answer_tokens: float
    """As callers expect them."""
    ended: float
    """Answers that have ended whole, as are those behind the next two."""
    ended_events: float
    ended_tokens: float


Message = (
    Hello
    | Ping
    | Pong
    | Offer
    | Load
    | Accepted
    | Refused
    | Begun
    | Chunk
    | Finished
    | Handover
    | Lost
    | Ack
    | Attach
    | Cancel
    | Cancelled
    | Leaving
    | Hint
    | ConfigurationRequest
    | ConfigurationFiles
    | Interval
    | FormerBacklog
    | FormerDemandReport
    | EarlierBacklog
    | Backlog
    | DemandReport
    | PartsRead
    | Suspicions
)

KINDS: Final[tuple[type, ...]] = (
    Hello,
    Ping,
    Pong,
    Offer,
    Load,
    Accepted,
    Refused,
    Chunk,
    Finished,
    Handover,
    Lost,
    Ack,
    Attach,
    Cancel,
    Cancelled,
    Leaving,
    Hint,
    ConfigurationRequest,
    ConfigurationFiles,
    Interval,
    FormerBacklog,
    FormerDemandReport,
    EarlierBacklog,
    DemandReport,
    PartsRead,
    Backlog,
    Suspicions,
)
"""A kind's number is its place here: add at the end, never reorder, and give a message
whose fields change a kind of its own; an older release reads neither more nor fewer."""
