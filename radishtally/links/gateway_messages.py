"""Messages between the gateways of a deployment, also called entries here."""

from typing import NamedTuple

from radishtally.numbers import Amount, Count, Integer, Seconds


class WaitingTokens(NamedTuple):
    """Count the prompt tokens of one priority that await prefill."""

    priority: Integer
    """Lower goes first."""
    tokens: Count


class EngineShare(NamedTuple):
    """Describe an entry's requests in flight at an engine that it calls itself."""

    host: str
    waiting: tuple[WaitingTokens, ...]
    """Ordered by priority, the most urgent first."""
    answers: Count
    start: int = 0
    """Marker of the start of the engine that runs them; 0 if it is unknown."""


class EngineShareV1(NamedTuple):
    """Describe an engine share in the format of two releases ago.

    It has no engine start and no priorities.
    """

    host: str
    tokens: Count
    answers: Count


class BacklogV1(NamedTuple):
    """Reserve the kind of the backlog of two releases ago, which is ignored."""

    shares: tuple[EngineShareV1, ...]


class EngineShareV2(NamedTuple):
    """Describe an engine share in the previous release's format, without priorities."""

    host: str
    tokens: Count
    answers: Count
    start: int = 0


class BacklogV2(NamedTuple):
    """Reserve the kind of the previous release's backlog, which is ignored."""

    shares: tuple[EngineShareV2, ...]


class Backlog(NamedTuple):
    """Report to the other entries the sender's engine shares that have changed."""

    shares: tuple[EngineShare, ...]


class HashedPart(NamedTuple):
    """Identify a part of a prompt by a hash of its name and the model's."""

    key: int
    tokens: Count


class PartsRead(NamedTuple):
    """Report to the other entries the prompt parts that an engine has newly received.

    An entry that has just started reports the parts that the engine lists as cached.
    """

    host: str
    start: int
    """Marker of the engine's start."""
    parts: tuple[HashedPart, ...]
    """Ordered by use, the least recently used first."""


class RoleOrdered(NamedTuple):
    """Report to the other entries that an engine was ordered to change its role."""

    host: str
    start: int
    """Marker of the engine's start."""
    role: str


class HostsRead(NamedTuple):
    """Report to the other entries that a change of the host list has been read."""

    era: Count
    """Era of the store; 0 if it reports none."""
    version: Count
    """Version of the newest change that was read."""


class ConfigurationRead(NamedTuple):
    """Report to the other entries that a configuration has been read."""

    era: Count
    """Era of the store; 0 if it reports none."""
    version: Count
    """Version of the store at which it was read."""


TableRead = HostsRead | ConfigurationRead


class HostLimited(NamedTuple):
    """Report to the other entries the request limit that a host has named."""

    host: str
    start: int
    """Start time of the host in Unix milliseconds; 0 if it is unknown."""
    limit: Amount
    """Requests a second from all entries together; 0 if the limit has ended."""


class PermitsWanted(NamedTuple):
    """Ask for permits for requests to a limited host, and return unused ones."""

    host: str
    start: int
    """Start time of the host in Unix milliseconds; 0 if it is unknown."""
    count: Count
    """Permits wanted now, in place of those wanted before."""
    demand: Amount
    """Requests a second that the sender would make."""
    unused: Count
    """Permits that have expired unused since the last message."""


class PermitsGranted(NamedTuple):
    """Grant permits for requests to a limited host."""

    host: str
    start: int
    """Start time of the host in Unix milliseconds; 0 if it is unknown."""
    count: Count


class Suspicion(NamedTuple):
    """Report how many hosts in a row ended while they ran a request."""

    content: str
    """Digest of the request's content, which is the same in all retries."""
    ends: Count
    """Zero if the request has been answered since."""
    seconds: Seconds
    """Longest time for which one of these hosts had been running the request."""
    left: Seconds
    """Seconds until the report expires."""


class Suspicions(NamedTuple):
    """Report to the other entries the requests under which hosts have ended."""

    suspicions: tuple[Suspicion, ...]


class CutRun(NamedTuple):
    """Describe a run that was open at a host when it terminated."""

    content: str
    """Digest of the request's content, which is the same in all retries."""
    parts: tuple[int, ...]
    """Keys of the prompt parts that the request may share with others."""
    age: Seconds
    """Seconds from its offer to the end of the host."""
    seconds: Seconds
    """Seconds from the first data of its answer to that end; 0 if there was none."""


class HostTerminated(NamedTuple):
    """Report to the other entries the sender's runs that ended with their host."""

    host: str
    age: Seconds
    """Seconds since the end."""
    runs: tuple[CutRun, ...]
    """Empty if the host turned out to be alive."""
    served: tuple[int, ...]
    """Those of the parts of which the sender has given complete answers."""


class PartsCleared(NamedTuple):
    """Report to the other entries prompt parts that were suspected, and were served."""

    parts: tuple[int, ...]


class PartsServed(NamedTuple):
    """Report to the other entries parts that were served before they were suspected."""

    parts: tuple[int, ...]


class PartsDenied(NamedTuple):
    """Report to the other entries prompt parts under which hosts have terminated."""

    parts: tuple[int, ...]
    """Keys of parts that the evidence doesn't tell apart."""
    ends: Count
    age: Seconds
    """Seconds since the last of these ends: later answers clear the parts."""
    left: Seconds
    """Seconds until one request may try them."""


class DemandReportV1(NamedTuple):
    """Reserve the kind of the previous release's demand report, which is ignored."""

    upstream: str
    prefill: Amount
    decode: Amount


class DemandReport(NamedTuple):
    """Report to the other entries the sender's recent demand for an upstream."""

    upstream: str
    requests: Amount
    prompt_tokens: Amount
    """Only tokens that no engine was known to have cached."""
    answer_tokens: Amount
    """Answer tokens by the callers' estimates."""
    ended: Amount
    """Answers that were completed; the next two fields refer to the same answers."""
    ended_events: Amount
    ended_tokens: Amount


class TeamCount(NamedTuple):
    """Count the requests of a team."""

    team: str
    requests: Count


class UsageCounts(NamedTuple):
    """Report how many requests of each team began at a gateway in one window of time.

    The counts of one process only grow; those that have not changed may be missing.
    """

    gateway: str
    incarnation: str
    """Unique to each start of the gateway's process."""
    window: Count
    is_closed: bool
    """Whether the gateway adds no more to this window."""
    counts: tuple[TeamCount, ...]


class ViewRequest(NamedTuple):
    """Request a confirmation that the configuration in force is the newest one."""

    number: Count
    """Number of the request, unique to the sender's process."""


class ViewConfirmation(NamedTuple):
    """Confirm that a configuration was the newest one in the store."""

    number: Count
    """Number of the request."""
    era: Count
    """Newest era of the store that the sender knows."""
    version: Count
    """Version of the configuration in force at the sender."""
    age: Seconds
    """Seconds since the sender has requested its own confirmation."""


class RememberedStream(NamedTuple):
    """Identify a stream that its caller may still resume."""

    stream: bytes
    """Key of the stream: a digest of the id of the request that began it."""
    left: Seconds
    """Seconds until it is forgotten."""
    age: Seconds
    """Seconds since it began, at least."""


class StreamsBegun(NamedTuple):
    """Report to the other entries where streams of the sender's callers began."""

    upstream: str
    version: str
    """Software version of the host; empty if it can't be told."""
    host: str
    streams: tuple[RememberedStream, ...]


class OriginQuery(NamedTuple):
    """Ask where a stream began that a caller resumes."""

    stream: bytes


class OriginReply(NamedTuple):
    """Answer where a stream began, as far as the sender knows."""

    stream: bytes
    origin: StreamsBegun | None
    """Origin of this one stream, None if the sender does not know it."""


class HostCalls(NamedTuple):
    """Count the sender's open calls at a plain host."""

    host: str
    count: Count


class ClassDemand(NamedTuple):
    """Count the sender's open and waiting calls of one rank and team."""

    rank: Integer
    """Lower goes first."""
    team: int
    """Hash of the team's name."""
    count: Count


class CallLoad(NamedTuple):
    """Report to the other entries the sender's calls to the plain hosts of an upstream.

    It replaces the sender's last report of the upstream.
    """

    upstream: str
    hosts: tuple[HostCalls, ...]
    demand: tuple[ClassDemand, ...]


class RefusedCaller(NamedTuple):
    """Describe a caller that was refused for lack of places."""

    key: str
    """Beginning of the digest of the request's content."""
    seconds_to_due: Seconds
    """Time until it was told to return."""
    seconds_left: Seconds
    """Time until it gives up."""
    asked_seconds: Seconds
    """Time that it had left when it asked."""


class CallersRefused(NamedTuple):
    """Report to the other entries the callers that the sender has refused."""

    callers: tuple[RefusedCaller, ...]
