"""Messages between an entry and its agents, and those of all links."""

from typing import Final, NamedTuple

from radishtally.numbers import Amount, Count, Integer, NonNegative, Seconds

CHAT: Final = "chat"
COMPLETION: Final = "completion"
CALL: Final = "call"
"""A call to a plain service."""
STREAM: Final = "stream"
"""A generation whose events are forwarded as the engine produces them."""

WHOLE: Final = "whole"
PREFILL: Final = "prefill"
DECODE: Final = "decode"
MIXED: Final = "mixed"


LEAVING: Final = "leaving"
"""Reason of a refusal: the upstream is draining."""
KEY_REUSED: Final = "key reused"
"""Reason of a refusal: the idempotency key was used with another request before."""
NOT_KNOWN: Final = "not known here"
"""Reason of a loss: the agent has no record of the attempt."""
UNREACHED: Final = "out of reach"
"""Reason of a loss: no connection could be made, so the host never got the work."""
REPLACED: Final = "replaced"
"""Reason of a refusal: another instance now has the host's address."""
RESTARTED: Final = "restarted"
"""Reason of a loss: the host was restarted, and has no record of the attempt."""
ENDED: Final = "host ended"
"""Reason of a loss: the answer broke off, and the host refuses connections."""


class Hello(NamedTuple):
    """Introduce the sender; the first message of both sides of a link."""

    host: str
    place: str
    role: str
    incarnation: str
    """Unique to each start of the process."""
    revision: Count
    """Revision of the configuration that is in force at the sender."""


class Ping(NamedTuple):
    """Request a pong, as a heartbeat."""

    sequence: Count
    revision: Count


class Pong(NamedTuple):
    """Answer a ping."""

    sequence: Count
    revision: Count


class Work(NamedTuple):
    """Describe a caller's request; the same in all attempts."""

    request: str
    team: str
    upstream: str
    kind: str
    """CHAT, COMPLETION, CALL or STREAM."""
    body: bytes
    """JSON for an engine, the raw body for a service."""
    model: str = ""
    adapter: str = ""
    method: str = "POST"
    path: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    key: str = ""
    """Idempotency key, unique within the team; empty if the caller sent none."""
    idempotent: bool = True
    priority: Integer = 0
    """Lower goes first."""
    share: Amount = 1.0
    """The team's weight in fair queueing."""
    prompt_tokens: Count = 0
    """Estimated number."""
    max_tokens: Count = 0
    prefix: int = 0
    """Hash of the beginning of the prompt."""


class KvRef(NamedTuple):
    """Locate the KV cache of an interrupted answer."""

    host: str
    url: str
    handle: str
    tokens: Count


class Offer(NamedTuple):
    """Offer work to an agent, which accepts or refuses it."""

    work: Work
    attempt: Count
    budget: Seconds
    """Seconds until the caller's deadline when the message was sent."""
    stage: str = WHOLE
    """WHOLE, or PREFILL for only the first token and its KV cache."""
    done: bytes = b""
    """Part of the answer from earlier attempts; only the rest is requested."""
    tokens_done: Count = 0
    kv: KvRef | None = None


class Load(NamedTuple):
    """Report an agent's load."""

    host: str
    queued: Count
    running: Count
    slots: Count
    """Requests that the upstream runs concurrently."""
    prefill_backlog: NonNegative
    """Seconds of prefill work that is accepted but not started."""
    wait: NonNegative
    """Seconds that new work of medium priority would wait now."""
    prefill_rate: NonNegative
    """Tokens per second."""
    decode_seconds: NonNegative
    """Seconds per token."""
    role: str
    model: str
    version: str
    adapters: tuple[str, ...]
    draining: bool
    prompt_tokens: Count = 0
    """Total of all work accepted since the agent's start, as are the next three."""
    output_tokens: Count = 0
    requests: Count = 0
    refused: Count = 0
    token_seconds: NonNegative = 0.0
    """Seconds per token at the upstream's current load."""


class Accepted(NamedTuple):
    """Confirm that the agent has accepted the work and is now responsible for it."""

    request: str
    attempt: Count
    wait: NonNegative
    """Predicted seconds until the first token."""
    attached: bool = False
    """Whether an answer for the same idempotency key already exists."""


class Refused(NamedTuple):
    """Signal that the work was not run here and will not be."""

    request: str
    attempt: Count
    reason: str
    retry_after: NonNegative
    load: Load | None = None


class Begun(NamedTuple):
    """Signal the head of a streamed answer.

    Used only within an entry, for hosts that it calls without an agent.
    """

    request: str
    attempt: Count
    status: Count
    headers: tuple[tuple[str, str], ...]


class Chunk(NamedTuple):
    """Carry a part of an attempt's answer."""

    request: str
    attempt: Count
    offset: Count
    """Offset of the first byte in the whole answer, including earlier attempts."""
    data: bytes
    tokens: Count
    """Tokens of the whole answer up to the end of the chunk, so that resending a part
    after an interruption counts no token twice."""


class Finished(NamedTuple):
    """Signal the end of an attempt's answer, which is complete only then."""

    request: str
    attempt: Count
    length: Count
    """Bytes of the whole answer, including earlier attempts."""
    checksum: int
    """xxh64 of the whole answer."""
    status: Count
    finish_reason: str
    prompt_tokens: Count
    output_tokens: Count
    headers: tuple[tuple[str, str], ...] = ()


class Handover(NamedTuple):
    """End an attempt gracefully before its answer is complete, to resume elsewhere."""

    request: str
    attempt: Count
    length: Count
    checksum: int
    kv: KvRef | None


class Lost(NamedTuple):
    """Signal that an accepted attempt failed at the upstream."""

    request: str
    attempt: Count
    ran: str
    """Ran.NO or Ran.UNKNOWN."""
    reason: str
    length: Count
    """Bytes of the whole answer that are valid."""


class Ack(NamedTuple):
    """Acknowledge the end of an answer, which the agent may then discard."""

    request: str
    attempt: Count
    offset: Count


class Attach(NamedTuple):
    """Resume an attempt's answer at an offset, over a new link."""

    request: str
    attempt: Count
    offset: Count


class Cancel(NamedTuple):
    """Cancel an attempt; a later offer of it is refused."""

    request: str
    attempt: Count


class Cancelled(NamedTuple):
    """Confirm a cancellation, for which the agent keeps a tombstone of the attempt."""

    request: str
    attempt: Count
    ran: str
    """Ran.NO only if the attempt never reached the upstream."""


class Leaving(NamedTuple):
    """Announce that the sender accepts no new work from now on."""

    host: str
    reason: str


class Hint(NamedTuple):
    """Hint that a row of the table has changed; the row itself is authoritative."""

    pk: str
    sk: str


class ConfigurationRequest(NamedTuple):
    """Request the peer's configuration if it is newer."""

    revision: Count
    hashes: dict[str, str]
    """SHA-256 in hexadecimal of each file that the sender has."""


class ConfigurationFiles(NamedTuple):
    """Send a configuration: hashes of all files, and the files that the peer lacks."""

    revision: Count
    hashes: dict[str, str]
    files: dict[str, str]


class Interval(NamedTuple):
    """Announce the longest interval between the sender's pings over an idle link."""

    seconds: Seconds
